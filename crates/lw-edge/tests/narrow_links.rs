//! Guards against VMs that learn of changes too late since large configurations fill the links between them. The VMs of
//! one failure domain run in virtual time; the store and the links are modelled, the selection of sources, the journals
//! and the encoding are the real ones.

use std::{collections::VecDeque, time::Duration};

use lw_edge::distribution::{
    CHANGE_WAIT, REPLY_BODY_TIME, REPLY_TIMEOUT,
    journal::{Change, Journal},
    source::{Candidate, Source, SourceSelector},
    value::Value,
    wire::ChangeWire,
};
use lw_platform::{
    config::CONFIG_KEY,
    store::{READ_TIME_MAX, WATCH_MAX_BYTES},
};
use lw_types::prelude::*;
use serde_json::json;

const TICK: Duration = Duration::from_millis(5);
/// Time within which a change must be known, as the platform states it for configurations and leaving upstreams.
const KNOWN_TIME: Duration = Duration::from_secs(3);
const FLEET_SIZE: usize = 84;
const WIDE_MBPS: f64 = 200.0;
const NARROW_MBPS: f64 = 10.0;
/// Fraction of each link that requests and their answers leave free.
const FREE_FRACTION: f64 = 0.7;
/// Longest time for which the store holds a watch, pause between two watches, and time limit for an answer beyond the wait.
const WATCH_WAIT: Duration = Duration::from_millis(625);
const WATCH_PAUSE: Duration = Duration::from_millis(250);
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Size of all items of the store except the configuration.
const OTHER_ITEMS_BYTES: usize = 60_000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a configuration with this many routes, as operators write it.
fn configuration(version: u64, routes: usize) -> Vec<u8> {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut name = |prefix: &str| format!("{prefix}{:x}", rng.u32(..));
    let route = |_| {
        json!({ "Name": name("r-"), "Host": name("h") + ".example", "Prefix": format!("/{}/", name("p")),
            "Service": "desk", "Kind": "idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 300,
            "Priority": 1, "MaxAttempts": 2 })
    };
    let routes: Vec<_> = (0..routes).map(route).collect();
    serde_json::to_vec(&json!({ "Version": version, "Routes": routes })).unwrap()
}

/// Returns the size of a reply with these changes.
fn reply_bytes(changes: &[Change]) -> usize {
    let changes: Vec<_> = changes.iter().cloned().map(ChangeWire::from).collect();
    rmp_serde::to_vec(&changes).unwrap().len()
}

/// One change of the store.
struct StoreEvent {
    at: Now,
    change: Change,
    /// Size in an answer of the store, which encodes values as text.
    bytes: usize,
}

/// Bytes on their way to a VM.
struct Transfer {
    left: f64,
    /// The VM that sends them; none for the store.
    from: Option<usize>,
    changes: Vec<Change>,
    revision: Revision,
}

enum Phase {
    /// Selects a source from this time on.
    Select(Now),
    /// Waits at the store or another VM for a change until `answer_at`.
    Held {
        from: Option<usize>,
        answer_at: Now,
        fails_at: Now,
    },
    Receiving {
        transfer: Transfer,
        fails_at: Now,
    },
}

struct Vm {
    id: VmId,
    mbps: f64,
    selector: SourceSelector,
    journal: Journal,
    revision: Revision,
    phase: Phase,
    /// Whether the last changes came from the store.
    is_at_store: bool,
    is_down: bool,
}

struct Domain {
    now: Now,
    vms: Vec<Vm>,
    /// All changes of the store.
    store: Vec<StoreEvent>,
    /// Longest time after which a VM knew a change, by the key of the change.
    slowest: Vec<(String, Duration)>,
}

impl Domain {
    fn new(size: usize) -> Self {
        let vm = |n: usize| {
            let mut journal = Journal::default();
            journal.reset(Position { era: 0, revision: 0 });
            Vm {
                id: format!("edge-vasteras-b-{n}"),
                mbps: if n <= 2 { WIDE_MBPS } else { NARROW_MBPS },
                selector: SourceSelector::default(),
                journal,
                revision: 0,
                phase: Phase::Select(ms(7 * n as u64)),
                is_at_store: false,
                is_down: false,
            }
        };
        Self { now: Now::ZERO, vms: (1..=size).map(vm).collect(), store: vec![], slowest: vec![] }
    }

    /// Lets the store acknowledge a change now.
    fn put(&mut self, key: &str, value: Vec<u8>) {
        let revision = self.store.len() as u64 + 1;
        let bytes = value.len() * 4 / 3 + 150;
        let change = Change { key: key.into(), revision, value: Some(Value::new(value)) };
        self.store.push(StoreEvent { at: self.now, change, bytes });
    }

    fn members(&self) -> Vec<Candidate> {
        let capacity = |vm: &Vm| if vm.mbps > NARROW_MBPS { 10_000 } else { 120 };
        self.vms.iter().map(|vm| Candidate { vm: vm.id.clone(), capacity: capacity(vm) }).collect()
    }

    /// Returns the changes of the store after a revision, and the bytes that a VM receives until it has them. An answer that is
    /// too long is followed by a read of the whole store, which lists only the newest configuration.
    fn store_answer(&self, after: Revision) -> (Vec<Change>, usize) {
        let later = &self.store[usize::try_from(after).unwrap()..];
        let bytes: usize = later.iter().map(|event| event.bytes).sum();
        let configs = self.store.iter().filter(|event| event.change.key == CONFIG_KEY);
        let newest = configs.last().map_or(0, |event| event.bytes);
        let bytes = if bytes > WATCH_MAX_BYTES { newest + OTHER_ITEMS_BYTES } else { bytes };
        (later.iter().map(|event| event.change.clone()).collect(), bytes)
    }

    /// Moves all transfers on by a tick. The links of the sender and of the receiver are shared evenly.
    fn transfer(&mut self) {
        let mut sending = vec![0_u32; self.vms.len()];
        for vm in &self.vms {
            if let Phase::Receiving { transfer: Transfer { from: Some(from), .. }, .. } = &vm.phase
            {
                sending[*from] += 1;
            }
        }
        let rates: Vec<f64> = self.vms.iter().map(|vm| vm.mbps).collect();
        let bytes = |mbps: f64| mbps * FREE_FRACTION * 1e6 / 8.0 * TICK.as_secs_f64();
        for (n, vm) in self.vms.iter_mut().enumerate() {
            if let Phase::Receiving { transfer, .. } = &mut vm.phase {
                let sender = transfer
                    .from
                    .map_or(f64::MAX, |from| bytes(rates[from]) / f64::from(sending[from]));
                transfer.left -= bytes(rates[n]).min(sender);
            }
        }
    }

    fn step(&mut self) {
        self.now += TICK;
        self.transfer();
        let members = self.members();
        for n in 0..self.vms.len() {
            if !self.vms[n].is_down {
                self.step_vm(n, &members);
            }
        }
    }

    fn step_vm(&mut self, n: usize, members: &[Candidate]) {
        let now = self.now;
        let is_follower = SourceSelector::is_follower(&members[n], members, FLEET_SIZE);
        match std::mem::replace(&mut self.vms[n].phase, Phase::Select(now)) {
            Phase::Select(at) if now < at => self.vms[n].phase = Phase::Select(at),
            Phase::Select(_) => self.select(n, members, is_follower),
            Phase::Held { from, fails_at, .. } if now >= fails_at => {
                self.fail(n, from, is_follower);
            }
            Phase::Held { from, answer_at, fails_at } => {
                // Some bytes arrive in each tick, so that only the time of the whole body is limited.
                let time = from.map_or(READ_TIME_MAX, |_| REPLY_BODY_TIME.total_max);
                self.vms[n].phase = match self.answer(n, from, answer_at) {
                    Some(transfer) => Phase::Receiving { transfer, fails_at: now + time },
                    None => Phase::Held { from, answer_at, fails_at },
                };
            }
            Phase::Receiving { transfer, .. } if transfer.left <= 0.0 => {
                self.apply(n, transfer, is_follower);
            }
            Phase::Receiving { transfer, fails_at } if now >= fails_at => {
                self.fail(n, transfer.from, is_follower);
            }
            receiving @ Phase::Receiving { .. } => self.vms[n].phase = receiving,
        }
    }

    fn select(&mut self, n: usize, members: &[Candidate], is_follower: bool) {
        let now = self.now;
        let vm = &self.vms[n];
        self.vms[n].phase = match vm.selector.select(now, &members[n], members, FLEET_SIZE) {
            Source::Store => {
                let has_failed = vm.selector.has_store_failed();
                let wait = if has_failed { ms(1) } else { WATCH_WAIT };
                let has_pause = vm.is_at_store && !has_failed;
                let pause = if has_pause { WATCH_PAUSE } else { Duration::ZERO };
                let answer_at = now + pause + wait;
                Phase::Held { from: None, answer_at, fails_at: answer_at + STORE_TIMEOUT }
            }
            Source::Vm(id) => {
                let from = members.iter().position(|vm| vm.vm == id);
                let wait = vm.selector.request_wait(now, is_follower, CHANGE_WAIT);
                let answer_at = now + wait;
                Phase::Held { from, answer_at, fails_at: answer_at + REPLY_TIMEOUT }
            }
            Source::Wait(time) => Phase::Select(now + time),
        };
    }

    /// Returns the answer of a source as soon as it has changes or was held long enough.
    fn answer(&self, n: usize, from: Option<usize>, answer_at: Now) -> Option<Transfer> {
        let after = self.vms[n].revision;
        let (changes, revision, bytes) = match from {
            None => {
                let (changes, bytes) = self.store_answer(after);
                (changes, self.store.len() as u64, bytes)
            }
            Some(from) if self.vms[from].is_down => return None,
            Some(from) => {
                let journal = &self.vms[from].journal;
                let changes = journal.changes_after(Position { era: 0, revision: after })?;
                let bytes = reply_bytes(&changes);
                (changes, journal.revision(), bytes)
            }
        };
        let is_due = !changes.is_empty() || self.now >= answer_at;
        is_due.then(|| Transfer { left: bytes_f64(bytes), from, changes, revision })
    }

    fn fail(&mut self, n: usize, from: Option<usize>, is_follower: bool) {
        let (now, source) = (self.now, from.map(|from| self.vms[from].id.clone()));
        let selector = &mut self.vms[n].selector;
        match source {
            Some(source) => selector.record_failure(now, &source),
            None => selector.record_store_failure(now, is_follower, STORE_RETRY_PAUSE),
        }
    }

    fn apply(&mut self, n: usize, transfer: Transfer, is_follower: bool) {
        let now = self.now;
        let source = transfer.from.map(|from| self.vms[from].id.clone());
        let vm = &mut self.vms[n];
        let revision = transfer.revision.max(vm.revision);
        for StoreEvent { at, change, .. } in &self.store {
            if change.revision > vm.revision && change.revision <= revision {
                self.slowest.push((change.key.clone(), now.saturating_sub(*at)));
            }
        }
        vm.revision = revision;
        vm.journal.advance(revision, transfer.changes);
        vm.is_at_store = source.is_none();
        match source {
            Some(source) => {
                vm.selector.record_reply(now, &source, is_follower, Some(ms(500)), KNOWN_TIME);
            }
            None => vm.selector.record_store_success(),
        }
    }

    /// Returns the longest time after which a VM that is up knew a change of keys that begin with `prefix`.
    fn slowest(&self, prefix: &str) -> Duration {
        let known = self.slowest.iter().filter(|(key, _)| key.starts_with(prefix));
        let missed = self.vms.iter().filter(|vm| !vm.is_down).flat_map(|vm| {
            let after = usize::try_from(vm.revision).unwrap();
            self.store[after..]
                .iter()
                .map(|event| (&event.change.key, self.now.saturating_sub(event.at)))
        });
        let missed = missed.filter(|(key, _)| key.starts_with(prefix)).map(|(_, time)| time);
        known.map(|(_, time)| *time).chain(missed).max().unwrap_or_default()
    }
}

/// Removes the first time if it is due.
fn take_due(times: &mut VecDeque<Now>, now: Now) -> bool {
    let is_due = times.front().is_some_and(|at| *at <= now);
    if is_due {
        times.pop_front();
    }
    is_due
}

fn bytes_f64(bytes: usize) -> f64 {
    f64::from(u32::try_from(bytes).expect("a few megabytes"))
}

/// Lets the store take twelve configurations 0.2 s apart while upstreams leave, with these VMs down from shortly before.
fn run(routes: usize, down: impl Fn(&Domain) -> Vec<usize>) -> Domain {
    let mut domain = Domain::new(28);
    domain.put(CONFIG_KEY, configuration(1, routes));
    while domain.now < ms(4_000) {
        domain.step();
    }
    for n in down(&domain) {
        domain.vms[n].is_down = true;
    }
    domain.slowest.clear();
    let mut due: VecDeque<Now> = (0..12).map(|n| ms(5_000 + 200 * n)).collect();
    let mut leaving: VecDeque<Now> = (0..14).map(|n| ms(4_500 + 250 * n)).collect();
    while domain.now < ms(14_000) {
        if take_due(&mut leaving, domain.now) {
            domain.put(&format!("servers/{}", leaving.len()), vec![b'x'; 300]);
        }
        if take_due(&mut due, domain.now) {
            let version = 13 - due.len() as u64;
            domain.put(CONFIG_KEY, configuration(version, routes));
        }
        domain.step();
    }
    domain
}

fn assert_known_in_time(domain: &Domain) {
    let (servers, config) = (domain.slowest("servers/"), domain.slowest(CONFIG_KEY));
    println!("leaving upstreams known after at most {servers:?}, configurations {config:?}");
    assert!(servers <= KNOWN_TIME, "a leaving upstream is known after {servers:?}");
    assert!(config <= KNOWN_TIME, "a configuration is known after {config:?}");
}

#[test]
fn leaving_upstreams_are_known_in_time_beside_large_configurations_in_quick_succession() {
    assert_known_in_time(&run(1_600, |_| vec![]));
}

#[test]
fn leaving_upstreams_are_known_in_time_when_all_vms_with_wide_links_are_down() {
    assert_known_in_time(&run(1_600, |_| vec![0, 1]));
}

#[test]
fn leaving_upstreams_are_known_in_time_when_the_followers_are_down() {
    let followers = |domain: &Domain| {
        let members = domain.members();
        let is_follower =
            |vm: &usize| SourceSelector::is_follower(&members[*vm], &members, FLEET_SIZE);
        (0..members.len()).filter(is_follower).collect()
    };
    assert_known_in_time(&run(1_600, followers));
}
