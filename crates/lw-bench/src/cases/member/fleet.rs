//! A fleet of members over a lossy network in virtual time, with a stand-in store.
//!
//! Every step checks what must hold at all times: a VM shows only accepted documents, never an older one
//! after a newer one, and never another content for a version.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use lw_config::document::Document;
use lw_member::{
    Action, InForce, ListedVm, Member, MemberState, Message, Options, PatchOutcome, StoreCall,
    StoreOutcome, Timings,
    message::{Body, MemberInfo, MemberUpdate},
};
use lw_types::prelude::*;
use serde_json::Value;

use super::{
    net::{Event, Net, Node, Request, Timed},
    store::{LONG_POLL, Store, Waiting},
};

/// Time of a store call one way.
const STORE_DELAY: Duration = Duration::from_millis(3);
/// Time after which a caller reports a store call without a reply, if it reports at all.
const STORE_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest extra delay of a late swap or reply.
const LATE_MAX: Duration = Duration::from_secs(3);

/// The fleet.
#[derive(Debug)]
pub struct Fleet {
    /// Virtual time.
    pub now: Now,
    /// Faults of the network.
    pub net: Net,
    /// The VMs.
    pub nodes: Vec<Node>,
    /// The platform's store.
    pub store: Store,
    /// Random source of schedules and faults.
    pub rng: fastrand::Rng,
    /// Operators' patches in the order of their request numbers, from 1.
    pub requests: Vec<Request>,
    /// Answers to operators by request number.
    pub answers: BTreeMap<u64, PatchOutcome>,
    /// Times that a living VM was held as suspect by another one, counted at each VM.
    pub false_suspicions: u64,
    /// Times that a living VM was held as removed by another one in the same group.
    pub false_removals: u64,
    /// Time bounds given to members that start.
    pub timings: Timings,
    /// Bootstrap document given to members that start.
    pub bootstrap: Option<Document>,
    by_address: BTreeMap<SocketAddr, usize>,
    by_id: BTreeMap<VmId, usize>,
    queue: BinaryHeap<Timed>,
    sequence: u64,
}

impl Fleet {
    /// `size` VMs in `domains` failure domains; none runs yet.
    #[must_use]
    pub fn new(size: usize, domains: usize, seed: u64) -> Self {
        let mut fleet = Self {
            now: Duration::from_secs(1),
            net: Net::default(),
            nodes: Vec::new(),
            store: Store::default(),
            rng: fastrand::Rng::with_seed(seed),
            requests: Vec::new(),
            answers: BTreeMap::new(),
            false_suspicions: 0,
            false_removals: 0,
            timings: Timings::default(),
            bootstrap: None,
            by_address: BTreeMap::new(),
            by_id: BTreeMap::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
        };
        for index in 0..size {
            let id = format!("vm-{index:04}");
            fleet.by_address.insert(address(index), index);
            fleet.by_id.insert(id.clone(), index);
            fleet.nodes.push(Node {
                member: None,
                id,
                domain: format!("zone-{}", index % domains),
                group: 0,
                start: 0,
                bytes: 0,
                messages: 0,
                shown: 0,
            });
        }
        fleet
    }

    /// Starts all VMs with every VM known to every other, as in a fleet that has run for long.
    pub fn start_converged(&mut self) {
        for node in 0..self.nodes.len() {
            self.start(node);
        }
        let members: Vec<_> =
            self.nodes.iter().enumerate().map(|(i, n)| member_info(i, n)).collect();
        let message = Message {
            from: self.nodes[0].id.clone(),
            incarnation: 1,
            version: 0,
            digest: 0,
            updates: members.into_iter().map(MemberUpdate::Alive).collect(),
            body: Body::Members(Vec::new()),
        };
        let mut message = message;
        for node in 0..self.nodes.len() {
            message.from.clone_from(&self.nodes[(node + 1) % self.nodes.len()].id);
            self.with(node, |member, now| member.on_reply(now, &message));
            if node == 0
                && let Some(member) = &self.nodes[0].member
            {
                // In the order of the ring each entry is appended, which saves most of the time.
                message.updates = member.peers().map(lw_member::Peer::to_update).collect();
            }
        }
    }

    /// Starts the process of a VM with the next incarnation. The first three VMs are its seeds.
    pub fn start(&mut self, node: usize) {
        let seed = self.rng.u64(..);
        let vm = &mut self.nodes[node];
        vm.start += 1;
        vm.shown = 0;
        let mut options = Options::new(&vm.id, address(node), &vm.domain, vm.start);
        options.seed = seed;
        options.seeds = (0..3).map(address).collect();
        options.timings = self.timings.clone();
        options.bootstrap.clone_from(&self.bootstrap);
        vm.member = Some(Member::new(self.now, options));
        let phase = Duration::from_millis(self.rng.u64(..100));
        let tick = Event::Tick(node, self.nodes[node].start);
        self.push(self.now + phase, tick);
    }

    /// Ends the process of a VM without a word.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].member = None;
    }

    /// Gives a VM the platform's list.
    pub fn give_list(&mut self, node: usize, list: &[ListedVm]) {
        self.with(node, |member, now| member.on_platform_list(now, list));
    }

    /// Marks a VM as leaving.
    pub fn leave(&mut self, node: usize) {
        self.with(node, Member::leave);
    }

    /// Sends an operator's patch to a VM; returns its request number.
    pub fn patch(&mut self, node: usize, base: ConfigVersion, patch: Value) -> u64 {
        self.requests.push(Request { node, start: self.nodes[node].start, base });
        let request = self.requests.len() as u64;
        self.with(node, |member, now| member.patch(now, request, base, patch));
        request
    }

    /// Indices of the VMs that run.
    #[must_use]
    pub fn living(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|i| self.nodes[*i].member.is_some()).collect()
    }

    /// A random VM that runs.
    pub fn any_living(&mut self) -> usize {
        let living = self.living();
        living[self.rng.usize(..living.len())]
    }

    /// Whether no living VM of another name selects the VM.
    #[must_use]
    pub fn is_excluded(&self, node: usize) -> bool {
        let id = &self.nodes[node].id;
        let others = self.nodes.iter().filter(|other| other.id != *id);
        others
            .filter_map(|other| other.member.as_ref())
            .all(|member| member.peer(id).is_none_or(|peer| !peer.is_selectable()))
    }

    /// Whether all living VMs select exactly the living VMs of their group.
    #[must_use]
    pub fn is_converged(&self) -> bool {
        self.nodes.iter().filter_map(|n| Some((n, n.member.as_ref()?))).all(|(node, member)| {
            self.nodes.iter().all(|other| {
                let selected = member.peer(&other.id).is_some_and(lw_member::Peer::is_selectable);
                let lives = other.member.as_ref().is_some_and(|m| m.local_peer().is_selectable());
                selected == (lives && other.group == node.group)
            })
        })
    }

    /// Whether all living VMs have the store's version in force.
    #[must_use]
    pub fn is_configured(&self) -> bool {
        let version = self.store.version();
        let members = self.nodes.iter().filter_map(|n| n.member.as_ref());
        members.into_iter().all(|m| m.config().accepted_version().unwrap_or(0) == version)
    }

    /// Runs until `end`.
    pub fn run(&mut self, time: Duration) {
        self.run_until(time, |_| false);
    }

    /// Runs until `done` or for at most `time`; returns the time taken if done. `done` is asked every 20 ms.
    pub fn run_until(&mut self, time: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let begin = self.now;
        let end = begin + time;
        let mut ask = begin;
        while let Some(Timed(Reverse((at, _)), _)) = self.queue.peek()
            && *at <= end
        {
            let at = *at;
            if at > ask {
                if done(self) {
                    return Some(self.now.saturating_sub(begin));
                }
                ask = at + Duration::from_millis(20);
            }
            self.now = at.max(self.now);
            if let Some(Timed(_, event)) = self.queue.pop() {
                self.handle(*event);
            }
        }
        self.now = end;
        done(self).then_some(time)
    }

    fn push(&mut self, at: Now, event: Event) {
        self.sequence += 1;
        self.queue.push(Timed(Reverse((at, self.sequence)), Box::new(event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(node, start) => {
                let now = self.now;
                let Some(member) = self.process(node, start) else { return };
                let tick = member.tick(now);
                self.push(tick.next, Event::Tick(node, start));
                self.perform(node, tick.actions);
            }
            Event::Request { from, start, to, message } => {
                let now = self.now;
                let Some(member) = self.nodes[to].member.as_mut() else { return };
                let (reply, actions) = member.on_request(now, &message);
                self.count(to, &reply);
                for _ in 0..self.copies() {
                    if let Some(at) = self.arrival(to, from) {
                        let message = reply.clone();
                        self.push(at, Event::Reply { to: from, start, message });
                    }
                }
                self.perform(to, actions);
            }
            Event::Reply { to, start, message } => {
                let now = self.now;
                let Some(member) = self.process(to, start) else { return };
                let actions = member.on_reply(now, &message);
                self.perform(to, actions);
            }
            Event::StoreRuns { node, start, call, op } => self.run_store(node, start, call, &op),
            Event::StoreResult { node, start, call, outcome } => {
                let now = self.now;
                let Some(member) = self.process(node, start) else { return };
                let actions = member.on_store_result(now, call, &outcome);
                self.perform(node, actions);
            }
            Event::PollEnds { node, start, call } => {
                let before = self.store.waiting.len();
                let same = |w: &Waiting| w.node == node && w.start == start && w.call == call;
                self.store.waiting.retain(|w| !same(w));
                if self.store.waiting.len() < before {
                    self.store_reply(node, start, call, StoreOutcome::Unchanged);
                }
            }
        }
    }

    fn process(&mut self, node: usize, start: u64) -> Option<&mut Member> {
        let vm = &mut self.nodes[node];
        vm.member.as_mut().filter(|_| vm.start == start)
    }

    fn with(&mut self, node: usize, step: impl FnOnce(&mut Member, Now) -> Vec<Action>) {
        let now = self.now;
        if let Some(member) = self.nodes[node].member.as_mut() {
            let actions = step(member, now);
            self.perform(node, actions);
        }
    }

    fn perform(&mut self, node: usize, actions: Vec<Action>) {
        self.check(node);
        let start = self.nodes[node].start;
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    self.count(node, &message);
                    let Some(to) = self.by_address.get(&to).copied() else { continue };
                    for _ in 0..self.copies() {
                        if let Some(at) = self.arrival(node, to) {
                            let message = message.clone();
                            self.push(at, Event::Request { from: node, start, to, message });
                        }
                    }
                }
                Action::Store { call, op } => self.call_store(node, call, op),
                Action::MemberChanged { id, state } => self.note_change(node, &id, state),
                Action::ConfigChanged => {}
                Action::Answer { request, outcome } => {
                    let before = self.answers.insert(request, outcome);
                    assert!(before.is_none(), "request {request} answered twice");
                }
            }
        }
    }

    fn note_change(&mut self, node: usize, id: &str, state: MemberState) {
        let other = &self.nodes[self.by_id[id]];
        let lives = other.member.is_some() && other.group == self.nodes[node].group;
        match state {
            MemberState::Suspect if lives => self.false_suspicions += 1,
            MemberState::Removed if lives => self.false_removals += 1,
            _ => {}
        }
    }

    fn count(&mut self, node: usize, message: &Message) {
        let bytes = rmp_serde::to_vec(message).expect("messages can be encoded");
        self.nodes[node].bytes += bytes.len() as u64;
        self.nodes[node].messages += 1;
    }

    fn copies(&mut self) -> u32 {
        if self.rng.f64() < self.net.duplicates { 2 } else { 1 }
    }

    /// Time of arrival, unless the message is lost.
    fn arrival(&mut self, from: usize, to: usize) -> Option<Now> {
        let is_lost = self.rng.f64() < self.net.loss;
        let spread = self.net.delay_max.saturating_sub(self.net.delay_min);
        let delay = self.net.delay_min + spread.mul_f64(self.rng.f64());
        let is_blocked = self.nodes[from].group != self.nodes[to].group;
        (!is_lost && !is_blocked).then_some(self.now + delay)
    }

    fn call_store(&mut self, node: usize, call: u64, op: StoreCall) {
        let start = self.nodes[node].start;
        if !self.store.faults.up || self.nodes[node].group != 0 {
            // A refused connection is reported at once, a silent one late or never.
            let (after, outcome) = match self.rng.u8(..3) {
                0 => (STORE_DELAY, StoreOutcome::NotRun),
                1 => (STORE_TIMEOUT, StoreOutcome::Unknown),
                _ => return,
            };
            let event = Event::StoreResult { node, start, call, outcome };
            return self.push(self.now + after, event);
        }
        self.store.calls += 1;
        let is_late =
            matches!(op, StoreCall::Swap { .. }) && self.rng.f64() < self.store.faults.late_swaps;
        let late = if is_late { LATE_MAX.mul_f64(self.rng.f64()) } else { Duration::ZERO };
        let event = Event::StoreRuns { node, start, call, op };
        self.push(self.now + STORE_DELAY + late, event);
    }

    fn run_store(&mut self, node: usize, start: u64, call: u64, op: &StoreCall) {
        let version = self.store.version();
        if let Some(outcome) = self.store.run(self.now, op) {
            self.store_reply(node, start, call, outcome);
        } else {
            self.store.waiting.push(Waiting { node, start, call });
            self.push(self.now + LONG_POLL, Event::PollEnds { node, start, call });
        }
        if self.store.version() > version {
            for waiting in std::mem::take(&mut self.store.waiting) {
                let value = self.store.read();
                self.store_reply(waiting.node, waiting.start, waiting.call, value);
            }
        }
    }

    fn store_reply(&mut self, node: usize, start: u64, call: u64, outcome: StoreOutcome) {
        let is_lost = self.rng.f64() < self.store.faults.reply_loss;
        let is_cut = !self.store.faults.up || self.nodes[node].group != 0;
        let is_late = self.rng.f64() < self.store.faults.late_replies;
        let late = if is_late { LATE_MAX.mul_f64(self.rng.f64()) } else { Duration::ZERO };
        let (after, outcome) = match is_lost || is_cut {
            false => (STORE_DELAY + late, outcome),
            true if self.rng.bool() => (STORE_TIMEOUT, StoreOutcome::Unknown),
            true => return,
        };
        self.push(self.now + after, Event::StoreResult { node, start, call, outcome });
    }

    /// Takes the store down; waiting watches end without a usable result or in silence.
    pub fn store_down(&mut self) {
        self.store.faults.up = false;
        for waiting in std::mem::take(&mut self.store.waiting) {
            let Waiting { node, start, call } = waiting;
            self.store_reply(node, start, call, StoreOutcome::Unknown);
        }
    }

    /// # Panics
    ///
    /// When the VM shows a document that it must not show.
    fn check(&mut self, node: usize) {
        let vm = &mut self.nodes[node];
        let Some(member) = &vm.member else { return };
        let InForce::Accepted(document) = member.config() else {
            assert_eq!(vm.shown, 0, "{} lost its accepted version {}", vm.id, vm.shown);
            return;
        };
        let version = document.version;
        assert!(version >= vm.shown, "{} went back from {} to {version}", vm.id, vm.shown);
        if version > vm.shown {
            let accepted = self.store.accepted.get(&version);
            let text = accepted.map(|accepted| accepted.document.as_str());
            let shown = document.as_json().to_string();
            assert_eq!(Some(shown.as_str()), text, "{} shows another version {version}", vm.id);
            vm.shown = version;
        }
    }
}

fn address(index: usize) -> SocketAddr {
    let index = u32::try_from(index).unwrap_or(u32::MAX);
    SocketAddr::from((Ipv4Addr::from(0x0a00_0001 + index), 7400))
}

fn member_info(index: usize, node: &Node) -> MemberInfo {
    MemberInfo {
        id: node.id.clone(),
        incarnation: node.start,
        address: address(index),
        domain: node.domain.clone(),
    }
}
