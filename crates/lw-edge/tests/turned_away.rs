//! Guards against VMs that do not learn of a change in time when the store turns the followers of their failure domain
//! away: the followers still reply to the others, which must find another source.

use std::time::Duration;

use lw_edge::distribution::source::{Candidate, Source, SourceSelector};

/// Time in which a configuration must be in force, in the tightest deployment with followers.
const CONFIG_APPLY: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(5);
/// When an outage of the store for all VMs begins.
const OUTAGE_AT: Duration = Duration::from_millis(200);
/// Time until a call that the store refuses, or a message, is answered.
const CALL_TIME: Duration = Duration::from_millis(10);
/// Longest time for which a request waits for a change.
const HOLD_TIME: Duration = Duration::from_millis(500);
/// Pause of a follower between two watches, and for which one waits.
const WATCH_PAUSE: Duration = Duration::from_millis(250);
const WATCH_WAIT: Duration = Duration::from_millis(625);

/// A VM of one failure domain in virtual time.
struct Vm {
    selector: SourceSelector,
    /// Whether it has the change.
    has_change: bool,
    /// Time up to which its view contains all changes.
    current_as_of: Duration,
    pending: Option<(Duration, Pending)>,
}

enum Pending {
    Store,
    Vm(usize),
    Wait,
}

/// Runs `count` VMs. The store is away for all of them from 0.2 s on for the time `outage`, and turns `is_refused` away
/// from 4 s on; the change is made at 4.5 s. Returns when each VM has it.
fn run(
    count: usize,
    outage: Duration,
    is_refused: impl Fn(&Candidate, &[Candidate]) -> bool,
) -> Vec<Option<Duration>> {
    let candidate = |n| Candidate { vm: format!("vm-{n}"), capacity: 100 };
    let names: Vec<_> = (0..count).map(candidate).collect();
    let fleet_size = count.max(20);
    let refused: Vec<bool> = names.iter().map(|vm| is_refused(vm, &names)).collect();
    let (turned_away_at, changed_at) = (Duration::from_secs(4), Duration::from_millis(4_500));
    let away = OUTAGE_AT..OUTAGE_AT + outage;
    let mut vms: Vec<Vm> = names.iter().map(|_| Vm::new()).collect();
    let mut got = vec![None; count];
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(13) {
        now += STEP;
        let can_call = |vm: usize| !away.contains(&now) && (!refused[vm] || now < turned_away_at);
        for n in 0..count {
            let is_follower = SourceSelector::is_follower(&names[n], &names, fleet_size);
            match vms[n].pending.take() {
                Some((until, pending)) if now < until => {
                    // A change ends a watch and a held request early.
                    let is_early = match &pending {
                        Pending::Store => now > changed_at && can_call(n),
                        Pending::Vm(other) => {
                            vms[*other].has_change || !vms[*other].selector.offers_changes()
                        }
                        Pending::Wait => false,
                    };
                    if is_early && until > now + CALL_TIME {
                        vms[n].pending = Some((now + CALL_TIME, pending));
                    } else {
                        vms[n].pending = Some((until, pending));
                    }
                    continue;
                }
                Some((_, Pending::Store)) if can_call(n) => {
                    vms[n].selector.record_store_success();
                    vms[n].current_as_of = now;
                    vms[n].has_change |= now > changed_at;
                }
                Some((_, Pending::Store)) => {
                    let pause = Duration::from_millis(100);
                    vms[n].selector.record_store_failure(now, is_follower, pause);
                }
                Some((_, Pending::Vm(other))) if !vms[other].selector.offers_changes() => {
                    vms[n].selector.record_failure(now, &names[other].vm);
                }
                Some((_, Pending::Vm(other))) => {
                    let current_as_of = vms[other].current_as_of.max(vms[n].current_as_of);
                    vms[n].current_as_of = current_as_of.min(now);
                    vms[n].has_change |= vms[other].has_change;
                    let age = Some(now.saturating_sub(vms[n].current_as_of));
                    vms[n].selector.record_reply(
                        now,
                        &names[other].vm,
                        is_follower,
                        age,
                        CONFIG_APPLY,
                    );
                }
                Some((_, Pending::Wait)) | None => {}
            }
            if vms[n].has_change && got[n].is_none() {
                got[n] = Some(now.saturating_sub(changed_at));
            }
            vms[n].pending =
                Some(match vms[n].selector.select(now, &names[n], &names, fleet_size) {
                    Source::Store if can_call(n) => {
                        (now + WATCH_PAUSE + WATCH_WAIT, Pending::Store)
                    }
                    Source::Store => (now + CALL_TIME, Pending::Store),
                    Source::Vm(vm) => {
                        let other = names.iter().position(|name| name.vm == vm).unwrap();
                        let wait = vms[n].selector.request_wait(now, is_follower, HOLD_TIME);
                        (now + wait.max(CALL_TIME), Pending::Vm(other))
                    }
                    Source::Wait(time) => (now + time, Pending::Wait),
                });
        }
    }
    got
}

impl Vm {
    fn new() -> Self {
        Self {
            selector: SourceSelector::default(),
            has_change: false,
            current_as_of: Duration::ZERO,
            pending: None,
        }
    }
}

/// Fails unless each VM gets the change in time, with and without an outage for all VMs before.
fn assert_in_time(count: usize, is_refused: impl Fn(&Candidate, &[Candidate]) -> bool) {
    for outage in [Duration::ZERO, Duration::from_millis(300), Duration::from_millis(1_500)] {
        let got = run(count, outage, &is_refused);
        for (n, time) in got.into_iter().enumerate() {
            let is_in_time = time.is_some_and(|time| time < CONFIG_APPLY);
            assert!(is_in_time, "vm-{n} of {count}, after an outage of {outage:?}: {time:?}");
        }
    }
}

#[test]
fn a_change_arrives_in_time_when_both_followers_are_turned_away() {
    for count in [3, 20, 95] {
        let fleet_size = count.max(20);
        assert_in_time(count, |vm, names| SourceSelector::is_follower(vm, names, fleet_size));
    }
}

#[test]
fn a_change_arrives_in_time_when_the_store_turns_two_of_five_vms_away() {
    for count in [5, 20, 95] {
        let hash = |vm: &Candidate| vm.vm.bytes().map(u32::from).sum::<u32>() % 5;
        assert_in_time(count, |vm, _| hash(vm) < 2);
    }
}
