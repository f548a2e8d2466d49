//! Failure detection: heartbeats, probes, suspicion and removal.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use lw_types::prelude::*;

use super::Member;
use crate::{
    action::Action,
    message::{Body, MemberUpdate, Message},
    view::{MemberState, Peer, ring, ring::Neighbours},
};

/// Members asked to probe a silent one.
const INDIRECT_PROBES: usize = 3;
/// Direct probes sent before others are asked. Most silences are one lost heartbeat, which the first probe
/// settles without the twenty messages that the help of others takes.
const DIRECT_PROBES_FIRST: u32 = 1;
/// Time between two direct probes of a silent member.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// A longer time between two ticks means that this process did not run, so silence proves nothing.
const PROCESS_PAUSE_MIN: Duration = Duration::from_millis(600);
/// Time between two looks for expired suspicions and removals.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);
/// Disputed members probed at the same time. A small side of a partition has too few ring neighbours on the
/// other side: 3 of 12 VMs took up to 8 s to notice the silence of 9 with ring neighbours alone.
const VERIFICATIONS_MAX: usize = 16;
/// Ring neighbours told at once by a member that has just learnt urgent news.
const REACHABLE_NEIGHBOURS_MAX: usize = 2;
/// One in this many members has become suspect lately when a partition is likely.
const PARTITION_SUSPECT_DIVISOR: usize = 10;
/// Time for which suspicions count towards that.
const PARTITION_PERIOD: Duration = Duration::from_secs(5);
/// Probes for others that wait for a reply; older ones are dropped first.
const INDIRECT_PROBES_PENDING_MAX: usize = 64;

#[derive(Debug)]
struct Monitor {
    since: Now,
    probes: u32,
    is_verification: bool,
}

/// State of the failure detector.
#[derive(Debug, Default)]
pub(super) struct FailureDetector {
    neighbours: Neighbours,
    generation: u64,
    monitors: BTreeMap<VmId, Monitor>,
    pending_indirect_probes: Vec<(VmId, VmId)>,
    local_suspicions: Vec<(VmId, Now)>,
    last_message_at: Now,
    last_tick_at: Now,
    next_heartbeat: Now,
    next_expiry: Now,
}

impl FailureDetector {
    pub(super) fn new(now: Now, first_heartbeat: Now) -> Self {
        Self {
            generation: u64::MAX,
            last_message_at: now,
            last_tick_at: now,
            next_heartbeat: first_heartbeat,
            ..Self::default()
        }
    }

    pub(super) fn is_neighbour(&self, id: &str) -> bool {
        let Neighbours { successors, predecessors } = &self.neighbours;
        successors.iter().chain(predecessors).any(|other| other == id)
    }
}

impl Member {
    pub(super) fn tick_detector(&mut self, now: Now, out: &mut Vec<Action>) {
        self.refresh_neighbours(now);
        if now > self.detector.last_tick_at + PROCESS_PAUSE_MIN {
            self.detector.monitors.values_mut().for_each(|w| (w.since, w.probes) = (now, 0));
        }
        self.detector.last_tick_at = now;
        let last_message_at = self.detector.last_message_at;
        self.detector.local_suspicions.retain(|(_, at)| *at > last_message_at);
        if now >= self.detector.next_heartbeat {
            self.detector.next_heartbeat = now + self.options.timings.heartbeat_interval;
            let unresponsive_since = now.saturating_sub(self.options.timings.suspect_after);
            for id in self.detector.neighbours.successors.clone() {
                self.send_to(now, &id, Body::Heartbeat, out);
                let peer = self.view.get(&id);
                let last_message =
                    peer.map(|p| p.last_message.unwrap_or_default().max(p.changed_at));
                // Without this, a VM whose view has only unreachable successors would never learn of it.
                if last_message.is_some_and(|at| at < unresponsive_since) {
                    self.verify_member(now, &id);
                }
            }
        }
        self.probe_monitored(now, out);
        if now >= self.detector.next_expiry {
            self.detector.next_expiry = now + EXPIRY_INTERVAL;
            self.remove_expired(now, out);
        }
    }

    fn refresh_neighbours(&mut self, now: Now) {
        if self.detector.generation == self.view.generation() {
            return;
        }
        self.detector.generation = self.view.generation();
        self.detector.neighbours = ring::neighbours(&self.view, &self.options.id);
        let FailureDetector { neighbours, monitors, .. } = &mut self.detector;
        monitors
            .retain(|id, monitor| monitor.is_verification || neighbours.predecessors.contains(id));
        for id in &neighbours.predecessors {
            let fresh = Monitor { since: now, probes: 0, is_verification: false };
            monitors.entry(id.clone()).or_insert(fresh).is_verification = false;
        }
        self.verify_suspect_domains(now);
    }

    /// After many suspicions, probes random members of the failure domains that they are in.
    fn verify_suspect_domains(&mut self, now: Now) {
        let is_recent =
            |p: &&Peer| p.state == MemberState::Suspect && now < p.changed_at + PARTITION_PERIOD;
        let domains: BTreeSet<&Domain> =
            self.view.iter().filter(is_recent).map(|p| &p.domain).collect();
        let suspects = self.view.iter().filter(is_recent).count();
        if suspects < 2 || suspects * PARTITION_SUSPECT_DIVISOR < self.view.len() {
            return;
        }
        self.gossip.raise_rate(now + PARTITION_PERIOD);
        let idle_since = now.saturating_sub(self.options.timings.probe_after);
        let candidates = self.view.iter().filter(|p| {
            let is_idle = p.last_message.is_none_or(|at| at < idle_since);
            p.is_member() && p.id != self.options.id && is_idle && domains.contains(&p.domain)
        });
        let candidates = self.rng.choose_multiple(candidates, VERIFICATIONS_MAX);
        let candidates: Vec<VmId> = candidates.into_iter().map(|p| p.id.clone()).collect();
        for id in candidates {
            self.verify_member(now, &id);
        }
    }

    fn probe_monitored(&mut self, now: Now, out: &mut Vec<Action>) {
        let timings = self.options.timings.clone();
        let mut probes = Vec::new();
        let mut unresponsive = Vec::new();
        let view = &self.view;
        self.detector.monitors.retain(|id, monitor| {
            let Some(peer) = view.get(id).filter(|p| p.is_member()) else { return false };
            let last_message = peer.last_message.unwrap_or_default();
            // A new incarnation starts with a full period, whatever was heard of the former one.
            let idle_time =
                now.saturating_sub(last_message.max(monitor.since).max(peer.changed_at));
            if monitor.is_verification && last_message > monitor.since {
                return false;
            }
            let patience =
                if monitor.is_verification { PROBE_INTERVAL / 2 } else { timings.probe_after };
            if idle_time < patience {
                monitor.probes = 0;
            } else if idle_time >= timings.suspect_after {
                unresponsive.push((id.clone(), peer.incarnation));
            } else if idle_time >= patience + PROBE_INTERVAL * monitor.probes {
                probes.push((
                    id.clone(),
                    !monitor.is_verification && monitor.probes == DIRECT_PROBES_FIRST,
                ));
                monitor.probes += 1;
            }
            true
        });
        for (id, needs_indirect) in probes {
            self.send_to(now, &id, Body::Probe, out);
            let Some(address) = self.view.get(&id).filter(|_| needs_indirect).map(|p| p.address)
            else {
                continue;
            };
            for prober in self.random_members(INDIRECT_PROBES, &id) {
                self.send_to(now, &prober, Body::ProbeFor(id.clone(), address), out);
            }
        }
        for (id, incarnation) in unresponsive {
            self.suspect(now, &id, incarnation, out);
        }
    }

    fn suspect(&mut self, now: Now, id: &VmId, incarnation: Incarnation, out: &mut Vec<Action>) {
        self.detector.local_suspicions.push((id.clone(), now));
        self.apply_and_broadcast(now, MemberUpdate::Suspect(id.clone(), incarnation), out);
        // The suspect is told directly: it refutes at once if it lives.
        if let Some(to) = self.view.get(id).map(|p| p.address) {
            let mut message = self.message(now, Body::Gossip);
            message.updates.push(MemberUpdate::Suspect(id.clone(), incarnation));
            out.push(Action::Send { to, message });
        }
    }

    fn remove_expired(&mut self, now: Now, out: &mut Vec<Action>) {
        let timings = &self.options.timings;
        let mut removed = Vec::new();
        let mut expired = Vec::new();
        for peer in self.view.iter() {
            let age = now.saturating_sub(peer.changed_at);
            if peer.state == MemberState::Suspect && age >= timings.remove_after {
                removed.push((peer.id.clone(), peer.incarnation));
            } else if peer.state == MemberState::Removed && age >= timings.forget_after {
                expired.push(peer.id.clone());
            }
        }
        for (id, incarnation) in removed {
            self.view.set_state(now, &id, incarnation, MemberState::Removed);
            out.push(Action::MemberChanged { id, state: MemberState::Removed });
        }
        for id in &expired {
            self.view.remove(id);
        }
    }

    /// Ring neighbours heard lately. Random members alone are no safe targets for news: after a partition
    /// most of them may be out of reach.
    pub(super) fn reachable_neighbours(&self, now: Now) -> Vec<VmId> {
        let Neighbours { successors, predecessors } = &self.detector.neighbours;
        let patience = self.options.timings.probe_after;
        let is_reachable = |id: &&VmId| {
            let last_message =
                self.view.get(id).filter(|p| p.is_member()).and_then(|p| p.last_message);
            last_message.is_some_and(|at| now < at + patience)
        };
        let mut reachable: Vec<VmId> =
            successors.iter().chain(predecessors).filter(is_reachable).cloned().collect();
        reachable.truncate(REACHABLE_NEIGHBOURS_MAX);
        reachable
    }

    /// Records the sender's sign of life.
    pub(super) fn record_sender(&mut self, now: Now, message: &Message, out: &mut Vec<Action>) {
        let idle_time = now.saturating_sub(self.detector.last_message_at);
        if idle_time >= self.options.timings.suspect_after {
            self.withdraw_local_suspicions(now, out);
        }
        self.detector.last_message_at = now;
        self.view.record_message(now, &message.from, message.incarnation, message.version);
    }

    /// This VM heard nobody for as long as a suspicion takes, so it was cut off itself: what it
    /// suspected meanwhile is taken back and not told to the others.
    fn withdraw_local_suspicions(&mut self, now: Now, out: &mut Vec<Action>) {
        self.gossip.drop_suspicions();
        for (id, at) in std::mem::take(&mut self.detector.local_suspicions) {
            let is_suspect = self.view.get(&id).is_some_and(|p| p.state == MemberState::Suspect);
            if at > self.detector.last_message_at && is_suspect {
                self.view.withdraw_suspicion(now, &id);
                out.push(Action::MemberChanged { id, state: MemberState::Alive });
            }
        }
        self.detector.monitors.values_mut().for_each(|w| (w.since, w.probes) = (now, 0));
    }

    /// Probes a member that another view does not hold as alive, unless too many are probed already.
    pub(super) fn verify_member(&mut self, now: Now, id: &VmId) {
        let is_verification = self.detector.monitors.values().filter(|w| w.is_verification).count();
        if is_verification < VERIFICATIONS_MAX && !self.detector.monitors.contains_key(id) {
            let monitor = Monitor { since: now, probes: 0, is_verification: true };
            self.detector.monitors.insert(id.clone(), monitor);
        }
    }

    pub(super) fn add_indirect_probe(&mut self, from: VmId, target: VmId) {
        if self.detector.pending_indirect_probes.len() == INDIRECT_PROBES_PENDING_MAX {
            self.detector.pending_indirect_probes.remove(0);
        }
        self.detector.pending_indirect_probes.push((target, from));
    }

    /// Tells those who asked for a probe of the sender that it lives.
    pub(super) fn confirm_indirect_probes(
        &mut self,
        now: Now,
        message: &Message,
        out: &mut Vec<Action>,
    ) {
        let pending_indirect_probes = std::mem::take(&mut self.detector.pending_indirect_probes);
        let (confirmed, waiting) =
            pending_indirect_probes.into_iter().partition(|(id, _)| *id == message.from);
        self.detector.pending_indirect_probes = waiting;
        let confirmed: Vec<(VmId, VmId)> = confirmed;
        for (id, requester) in confirmed {
            self.send_to(now, &requester, Body::Vouch(id, message.incarnation), out);
        }
    }
}
