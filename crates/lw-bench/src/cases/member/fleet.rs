//! Simulated fleet of members in virtual time with a lossy network and a model of the store.
//!
//! Each step checks that a VM has only accepted documents in force, never an older one after a newer one, and never
//! another content for a version.

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
    net::{Event, Net, Node, QueuedEvent, Request},
    store::{PendingWatch, Store, WATCH_TIME_MAX},
};

/// One-way delay of a store call.
const STORE_DELAY: Duration = Duration::from_millis(3);
/// Time after which the result of a store call without a reply is reported as unknown, if it is reported at all.
const STORE_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest extra delay of a delayed swap or reply.
const EXTRA_DELAY_MAX: Duration = Duration::from_secs(3);

/// Simulated fleet.
#[derive(Debug)]
pub struct Fleet {
    /// Current virtual time.
    pub now: Now,
    /// Faults of the network.
    pub net: Net,
    /// All VMs, whether they run or not.
    pub nodes: Vec<Node>,
    /// Store of the platform.
    pub store: Store,
    /// Random numbers for schedules and faults.
    pub rng: fastrand::Rng,
    /// Patches of operators in the order of their request numbers, which begin at 1.
    pub requests: Vec<Request>,
    /// Answers to the patches by request number.
    pub answers: BTreeMap<u64, PatchOutcome>,
    /// Number of times that a VM suspected a running and reachable one.
    pub false_suspicions: u64,
    /// Number of times that a VM removed a running and reachable one.
    pub false_removals: u64,
    /// Timings of members that start from now on.
    pub timings: Timings,
    /// Bootstrap document of members that start from now on.
    pub bootstrap: Option<Document>,
    index_by_address: BTreeMap<SocketAddr, usize>,
    index_by_id: BTreeMap<VmId, usize>,
    events: BinaryHeap<QueuedEvent>,
    sequence: u64,
}

impl Fleet {
    /// Creates `size` VMs in `domains` failure domains; none of them runs yet.
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
            index_by_address: BTreeMap::new(),
            index_by_id: BTreeMap::new(),
            events: BinaryHeap::new(),
            sequence: 0,
        };
        for index in 0..size {
            let id = format!("vm-{index:04}");
            fleet.index_by_address.insert(address(index), index);
            fleet.index_by_id.insert(id.clone(), index);
            fleet.nodes.push(Node {
                member: None,
                id,
                domain: format!("zone-{}", index % domains),
                group: 0,
                start: 0,
                bytes: 0,
                messages: 0,
                in_force_version: 0,
            });
        }
        fleet
    }

    /// Starts all VMs with each other as members, as in a fleet that has been running for long.
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
            self.with_member(node, |member, now| member.on_reply(now, &message));
            if node == 0
                && let Some(member) = &self.nodes[0].member
            {
                // In the order of the ring each entry is appended, which avoids most of the insertion time.
                message.updates = member.peers().map(lw_member::Peer::to_update).collect();
            }
        }
    }

    /// Starts the process of a VM with the next incarnation. The first three VMs are its seeds.
    pub fn start(&mut self, node: usize) {
        let seed = self.rng.u64(..);
        let vm = &mut self.nodes[node];
        vm.start += 1;
        vm.in_force_version = 0;
        let mut options = Options::new(&vm.id, address(node), &vm.domain, vm.start);
        options.seed = seed;
        options.seeds = (0..3).map(address).collect();
        options.timings = self.timings.clone();
        options.bootstrap.clone_from(&self.bootstrap);
        vm.member = Some(Member::new(self.now, options));
        let tick_offset = Duration::from_millis(self.rng.u64(..100));
        let tick = Event::Tick(node, self.nodes[node].start);
        self.push(self.now + tick_offset, tick);
    }

    /// Ends the process of a VM without a message to its peers.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].member = None;
    }

    /// Delivers the platform's list of VMs to a VM.
    pub fn give_list(&mut self, node: usize, list: &[ListedVm]) {
        self.with_member(node, |member, now| member.on_platform_list(now, list));
    }

    /// Marks a VM as leaving.
    pub fn leave(&mut self, node: usize) {
        self.with_member(node, Member::leave);
    }

    /// Sends the patch of an operator to a VM; returns its request number.
    pub fn patch(&mut self, node: usize, base: ConfigVersion, patch: Value) -> u64 {
        self.requests.push(Request { node, start: self.nodes[node].start, base });
        let request = self.requests.len() as u64;
        self.with_member(node, |member, now| member.patch(now, request, base, patch));
        request
    }

    /// Returns the indices of the running VMs.
    #[must_use]
    pub fn living(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|i| self.nodes[*i].member.is_some()).collect()
    }

    /// Returns the index of a random running VM.
    pub fn any_living(&mut self) -> usize {
        let living = self.living();
        living[self.rng.usize(..living.len())]
    }

    /// Whether no other running VM selects the VM.
    #[must_use]
    pub fn is_excluded(&self, node: usize) -> bool {
        let id = &self.nodes[node].id;
        let others = self.nodes.iter().filter(|other| other.id != *id);
        others
            .filter_map(|other| other.member.as_ref())
            .all(|member| member.peer(id).is_none_or(|peer| !peer.is_selectable()))
    }

    /// Whether each running VM selects exactly the running VMs of its network group that are not leaving.
    #[must_use]
    pub fn is_converged(&self) -> bool {
        self.nodes.iter().filter_map(|n| Some((n, n.member.as_ref()?))).all(|(node, member)| {
            self.nodes.iter().all(|other| {
                let selected = member.peer(&other.id).is_some_and(lw_member::Peer::is_selectable);
                let is_alive =
                    other.member.as_ref().is_some_and(|m| m.local_peer().is_selectable());
                selected == (is_alive && other.group == node.group)
            })
        })
    }

    /// Whether all running VMs have the version of the store in force.
    #[must_use]
    pub fn is_configured(&self) -> bool {
        let version = self.store.version();
        let members = self.nodes.iter().filter_map(|n| n.member.as_ref());
        members.into_iter().all(|m| m.config().accepted_version().unwrap_or(0) == version)
    }

    /// Runs for `time`.
    pub fn run(&mut self, time: Duration) {
        self.run_until(time, |_| false);
    }

    /// Runs until `is_done` returns true, checked every 20 ms, but at most for `time`. Returns the elapsed time if it
    /// did.
    pub fn run_until(
        &mut self,
        time: Duration,
        is_done: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let started_at = self.now;
        let end = started_at + time;
        let mut next_check = started_at;
        while let Some(QueuedEvent(Reverse((at, _)), _)) = self.events.peek()
            && *at <= end
        {
            let at = *at;
            if at > next_check {
                if is_done(self) {
                    return Some(self.now.saturating_sub(started_at));
                }
                next_check = at + Duration::from_millis(20);
            }
            self.now = at.max(self.now);
            if let Some(QueuedEvent(_, event)) = self.events.pop() {
                self.handle(*event);
            }
        }
        self.now = end;
        is_done(self).then_some(time)
    }

    fn push(&mut self, at: Now, event: Event) {
        self.sequence += 1;
        self.events.push(QueuedEvent(Reverse((at, self.sequence)), Box::new(event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(node, start) => {
                let now = self.now;
                let Some(member) = self.running_member(node, start) else { return };
                let tick = member.tick(now);
                self.push(tick.next, Event::Tick(node, start));
                self.perform_actions(node, tick.actions);
            }
            Event::Request { from, start, to, message } => {
                let now = self.now;
                let Some(member) = self.nodes[to].member.as_mut() else { return };
                let (reply, actions) = member.on_request(now, &message);
                self.count_sent(to, &reply);
                for _ in 0..self.copy_count() {
                    if let Some(at) = self.arrival_time(to, from) {
                        let message = reply.clone();
                        self.push(at, Event::Reply { to: from, start, message });
                    }
                }
                self.perform_actions(to, actions);
            }
            Event::Reply { to, start, message } => {
                let now = self.now;
                let Some(member) = self.running_member(to, start) else { return };
                let actions = member.on_reply(now, &message);
                self.perform_actions(to, actions);
            }
            Event::StoreCallArrives { node, start, call, op } => {
                self.run_store_call(node, start, call, &op);
            }
            Event::StoreResult { node, start, call, outcome } => {
                let now = self.now;
                let Some(member) = self.running_member(node, start) else { return };
                let actions = member.on_store_result(now, call, &outcome);
                self.perform_actions(node, actions);
            }
            Event::WatchTimeout { node, start, call } => {
                let before = self.store.pending_watches.len();
                let is_same_call =
                    |w: &PendingWatch| w.node == node && w.start == start && w.call == call;
                self.store.pending_watches.retain(|w| !is_same_call(w));
                if self.store.pending_watches.len() < before {
                    self.send_store_reply(node, start, call, StoreOutcome::Unchanged);
                }
            }
        }
    }

    fn running_member(&mut self, node: usize, start: u64) -> Option<&mut Member> {
        let vm = &mut self.nodes[node];
        vm.member.as_mut().filter(|_| vm.start == start)
    }

    fn with_member(&mut self, node: usize, step: impl FnOnce(&mut Member, Now) -> Vec<Action>) {
        let now = self.now;
        if let Some(member) = self.nodes[node].member.as_mut() {
            let actions = step(member, now);
            self.perform_actions(node, actions);
        }
    }

    fn perform_actions(&mut self, node: usize, actions: Vec<Action>) {
        self.check_config_in_force(node);
        let start = self.nodes[node].start;
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    self.count_sent(node, &message);
                    let Some(to) = self.index_by_address.get(&to).copied() else { continue };
                    for _ in 0..self.copy_count() {
                        if let Some(at) = self.arrival_time(node, to) {
                            let message = message.clone();
                            self.push(at, Event::Request { from: node, start, to, message });
                        }
                    }
                }
                Action::Store { call, op } => self.call_store(node, call, op),
                Action::MemberChanged { id, state } => self.count_false_change(node, &id, state),
                Action::ConfigChanged => {}
                Action::Answer { request, outcome } => {
                    let before = self.answers.insert(request, outcome);
                    assert!(before.is_none(), "request {request} answered twice");
                }
            }
        }
    }

    fn count_false_change(&mut self, node: usize, id: &str, state: MemberState) {
        let other = &self.nodes[self.index_by_id[id]];
        let is_alive = other.member.is_some() && other.group == self.nodes[node].group;
        match state {
            MemberState::Suspect if is_alive => self.false_suspicions += 1,
            MemberState::Removed if is_alive => self.false_removals += 1,
            _ => {}
        }
    }

    fn count_sent(&mut self, node: usize, message: &Message) {
        let bytes = rmp_serde::to_vec(message).expect("messages can be encoded");
        self.nodes[node].bytes += bytes.len() as u64;
        self.nodes[node].messages += 1;
    }

    fn copy_count(&mut self) -> u32 {
        if self.rng.f64() < self.net.duplicates { 2 } else { 1 }
    }

    /// Returns the time of arrival of a message, or `None` if it is lost.
    fn arrival_time(&mut self, from: usize, to: usize) -> Option<Now> {
        let is_lost = self.rng.f64() < self.net.loss;
        let delay_range = self.net.delay_max.saturating_sub(self.net.delay_min);
        let delay = self.net.delay_min + delay_range.mul_f64(self.rng.f64());
        let is_blocked = self.nodes[from].group != self.nodes[to].group;
        (!is_lost && !is_blocked).then_some(self.now + delay)
    }

    fn call_store(&mut self, node: usize, call: u64, op: StoreCall) {
        let start = self.nodes[node].start;
        if !self.store.faults.is_up || self.nodes[node].group != 0 {
            // A refused connection is reported at once, an unresponsive one after the timeout or never.
            let (after, outcome) = match self.rng.u8(..3) {
                0 => (STORE_DELAY, StoreOutcome::NotRun),
                1 => (STORE_TIMEOUT, StoreOutcome::Unknown),
                _ => return,
            };
            let event = Event::StoreResult { node, start, call, outcome };
            return self.push(self.now + after, event);
        }
        self.store.calls += 1;
        let is_delayed =
            matches!(op, StoreCall::Swap { .. }) && self.rng.f64() < self.store.faults.late_swaps;
        let extra_delay =
            if is_delayed { EXTRA_DELAY_MAX.mul_f64(self.rng.f64()) } else { Duration::ZERO };
        let event = Event::StoreCallArrives { node, start, call, op };
        self.push(self.now + STORE_DELAY + extra_delay, event);
    }

    fn run_store_call(&mut self, node: usize, start: u64, call: u64, op: &StoreCall) {
        let version = self.store.version();
        if let Some(outcome) = self.store.run_call(self.now, op) {
            self.send_store_reply(node, start, call, outcome);
        } else {
            self.store.pending_watches.push(PendingWatch { node, start, call });
            self.push(self.now + WATCH_TIME_MAX, Event::WatchTimeout { node, start, call });
        }
        if self.store.version() > version {
            for watch in std::mem::take(&mut self.store.pending_watches) {
                let value = self.store.read();
                self.send_store_reply(watch.node, watch.start, watch.call, value);
            }
        }
    }

    fn send_store_reply(&mut self, node: usize, start: u64, call: u64, outcome: StoreOutcome) {
        let is_lost = self.rng.f64() < self.store.faults.reply_loss;
        let is_unreachable = !self.store.faults.is_up || self.nodes[node].group != 0;
        let is_delayed = self.rng.f64() < self.store.faults.late_replies;
        let extra_delay =
            if is_delayed { EXTRA_DELAY_MAX.mul_f64(self.rng.f64()) } else { Duration::ZERO };
        let (after, outcome) = match is_lost || is_unreachable {
            false => (STORE_DELAY + extra_delay, outcome),
            true if self.rng.bool() => (STORE_TIMEOUT, StoreOutcome::Unknown),
            true => return,
        };
        self.push(self.now + after, Event::StoreResult { node, start, call, outcome });
    }

    /// Takes the store down; waiting watches end with an unknown result or without any.
    pub fn store_down(&mut self) {
        self.store.faults.is_up = false;
        for watch in std::mem::take(&mut self.store.pending_watches) {
            let PendingWatch { node, start, call } = watch;
            self.send_store_reply(node, start, call, StoreOutcome::Unknown);
        }
    }

    /// Checks the document that a VM has in force against the accepted ones.
    ///
    /// # Panics
    ///
    /// If the VM has a document in force that it must not have.
    fn check_config_in_force(&mut self, node: usize) {
        let vm = &mut self.nodes[node];
        let Some(member) = &vm.member else { return };
        let InForce::Accepted(document) = member.config() else {
            assert_eq!(
                vm.in_force_version, 0,
                "{} has no accepted version in force after version {}",
                vm.id, vm.in_force_version
            );
            return;
        };
        let version = document.version;
        assert!(
            version >= vm.in_force_version,
            "{} returned from version {} to {version}",
            vm.id,
            vm.in_force_version
        );
        if version > vm.in_force_version {
            let accepted = self.store.accepted.get(&version);
            let text = accepted.map(|accepted| accepted.document.as_str());
            let in_force = document.as_json().to_string();
            assert_eq!(
                Some(in_force.as_str()),
                text,
                "{} has another content of version {version} in force",
                vm.id
            );
            vm.in_force_version = version;
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
