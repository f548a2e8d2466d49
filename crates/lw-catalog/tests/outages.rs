//! Guards against upstreams that are used although they are gone, or dropped although they run, after any sequence of failed
//! calls to the store, answers and changes of an entry, in virtual time.

use std::time::Duration;

use lw_catalog::{Directory, Stage, Upstream, upstreams::Change};
use lw_types::prelude::*;
use proptest::prelude::*;

const ID: &str = "engine-1";
/// Time within which an upstream that is gone must get no requests any more, as the platform states it.
const DRAIN: Duration = Duration::from_secs(2);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time limit of a call that is not held.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn upstream() -> Upstream {
    Upstream {
        id: ID.into(),
        incarnation: 1,
        service: "llm".into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "a".into(),
        stage: Stage::Ready,
        slots: 8,
        software: "v1".into(),
        models: Vec::new(),
    }
}

#[derive(Debug, Clone, Copy)]
enum Event {
    /// A watch is cut.
    Cut,
    /// A call is not answered in time.
    Timeout,
    /// A call is answered.
    Answer,
    /// The upstream's entry is removed.
    Remove,
    /// The upstream writes its entry.
    Write,
    /// Another program writes the entry.
    Spoil,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => Just(Event::Cut),
        2 => Just(Event::Timeout),
        3 => Just(Event::Answer),
        2 => Just(Event::Remove),
        1 => Just(Event::Write),
        1 => Just(Event::Spoil),
    ]
}

/// What the test knows of the store and the entry.
#[derive(Debug, Default)]
struct Model {
    /// Since when no call was answered.
    silent_since: Option<Now>,
    /// Last time at which an outage of a heartbeat or more went on or ended.
    outage_at: Option<Now>,
    /// Since when the entry has been missing or unusable.
    missing_since: Option<Now>,
    /// Whether it was missing so soon after an outage that a running upstream may have to write it again.
    may_come_back: bool,
    is_spoilt: bool,
}

impl Model {
    fn record_silence(&mut self, now: Now) {
        if self.silent_since.is_some_and(|since| now.saturating_sub(since) >= HEARTBEAT) {
            self.outage_at = Some(now);
        }
    }

    fn apply(&mut self, now: Now, event: Event) {
        match event {
            Event::Cut | Event::Timeout => {
                let silence =
                    if matches!(event, Event::Cut) { Duration::ZERO } else { CALL_TIMEOUT };
                self.silent_since.get_or_insert(now.saturating_sub(silence));
                self.record_silence(now);
            }
            Event::Answer => {
                self.record_silence(now);
                self.silent_since = None;
            }
            Event::Remove | Event::Spoil => {
                let is_outage_over = self.outage_at.is_none_or(|at| now >= at + DRAIN);
                self.missing_since.get_or_insert(now);
                self.may_come_back |= !is_outage_over;
                self.is_spoilt |= matches!(event, Event::Spoil);
            }
            Event::Write => {
                self.missing_since = None;
                (self.may_come_back, self.is_spoilt) = (false, false);
            }
        }
    }
}

fn apply(directory: &mut Directory, now: Now, event: Event) {
    match event {
        Event::Cut => directory.on_store_failure(now, now, HEARTBEAT),
        Event::Timeout => {
            directory.on_store_failure(now, now.saturating_sub(CALL_TIMEOUT), HEARTBEAT);
        }
        Event::Answer => drop(directory.on_store_answer(now, HEARTBEAT)),
        Event::Remove => drop(directory.remove(now, ID)),
        Event::Write => drop(directory.put(now, ID, Some(upstream()))),
        Event::Spoil => drop(directory.put(now, ID, None)),
    }
}

/// Applies the changes that become due until `now`, each at its time.
fn apply_due_until(directory: &mut Directory, now: Now) {
    while let Some(at) = directory.next_due().filter(|at| *at <= now) {
        directory.apply_due_changes(at);
    }
}

proptest! {
    #[test]
    fn an_entry_is_used_while_it_exists_and_for_a_bounded_time_after_an_outage(
        events in prop::collection::vec((0_u64..900, event()), 1..60),
    ) {
        let (mut directory, mut model, mut now) = (Directory::default(), Model::default(), ms(5_000));
        directory.put(now, ID, Some(upstream()));
        for (pause, event) in events {
            now += ms(pause);
            apply_due_until(&mut directory, now);
            apply(&mut directory, now, event);
            model.apply(now, event);
            let is_used = directory.get(ID).is_some();
            match model.missing_since {
                None => prop_assert!(is_used, "{event:?} at {now:?}: dropped, {model:?}"),
                Some(since) if is_used => {
                    let is_expected = model.may_come_back || model.is_spoilt;
                    prop_assert!(is_expected, "{event:?} at {now:?}: there was no outage, {model:?}");
                    prop_assert!(now < since + DRAIN, "{event:?} at {now:?}: too late, {model:?}");
                }
                Some(_) => {}
            }
        }
        apply_due_until(&mut directory, now + DRAIN);
        prop_assert_eq!(directory.get(ID).is_some(), model.missing_since.is_none());
        prop_assert_eq!(directory.next_due(), None);
    }
}

/// Guards against running upstreams that are dropped since their entries expired in an outage.
#[test]
fn an_entry_that_expires_in_an_outage_is_used_until_it_must_be_back() {
    for (silence, is_kept) in [(ms(100), false), (ms(1_100), false), (ms(1_300), true)] {
        let (mut directory, failed) = (Directory::default(), ms(5_000));
        directory.put(ms(1_000), ID, Some(upstream()));
        directory.on_store_failure(failed, failed, HEARTBEAT);
        let answered = failed + silence;
        let outage = directory.on_store_answer(answered, HEARTBEAT);
        assert_eq!(outage, is_kept.then_some(silence));
        let changes = directory.remove(answered, ID);
        let gone = vec![Change::Gone(ID.to_owned())];
        assert_eq!(changes, if is_kept { Vec::new() } else { gone.clone() }, "{silence:?}");
        apply_due_until(&mut directory, answered + ms(1_500));
        assert_eq!(directory.get(ID).is_some(), is_kept, "{silence:?}");
        apply_due_until(&mut directory, answered + DRAIN);
        assert!(directory.get(ID).is_none(), "{silence:?}");
    }
}

/// Guards against an outage that is not noticed since another VM reports the store's answer before this VM gets one.
#[test]
fn an_answer_that_another_vm_got_ends_an_outage_only_if_it_is_later() {
    let (mut directory, failed) = (Directory::default(), ms(5_000));
    directory.put(ms(1_000), ID, Some(upstream()));
    directory.on_store_failure(failed, failed, HEARTBEAT);
    assert_eq!(directory.on_store_answer(failed.saturating_sub(ms(10)), HEARTBEAT), None);
    assert_eq!(directory.on_store_answer(failed + ms(2_000), HEARTBEAT), Some(ms(2_000)));
    assert_eq!(directory.remove(failed + ms(2_100), ID), []);
}
