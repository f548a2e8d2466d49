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

/// Random members requested to probe an unresponsive one.
const INDIRECT_PROBES: usize = 3;
/// Direct probes sent before the first indirect ones. Mostly a single heartbeat was lost, and one direct probe
/// shows this without the twenty messages of the indirect probes.
const DIRECT_PROBES_FIRST: u32 = 1;
/// Time between two direct probes of an unresponsive member.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// After a longer time between two ticks, this process itself was paused, so missing messages of others prove
/// nothing.
const PROCESS_PAUSE_MIN: Duration = Duration::from_millis(600);
/// Time between two checks for suspect members to remove and removed members to delete.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);
/// Members verified at the same time, in addition to the predecessors on the ring. The smaller side of a
/// partition monitors too few members of the other side: with predecessors alone, 3 of 12 VMs took up to 8 s
/// to detect the loss of the other 9.
const VERIFICATIONS_MAX: usize = 16;
/// Reachable ring neighbours to which urgent updates are sent.
const REACHABLE_NEIGHBOURS_MAX: usize = 2;
/// A partition is likely when one in this many members has recently become suspect.
const PARTITION_SUSPECT_DIVISOR: usize = 10;
/// Time for which a suspicion counts as recent and, after many of them, updates are sent at the higher rate.
const PARTITION_PERIOD: Duration = Duration::from_secs(5);
/// Most indirect probes that wait for a reply; the oldest is dropped first.
const INDIRECT_PROBES_PENDING_MAX: usize = 64;

/// State of a member from which messages are expected.
#[derive(Debug)]
struct Monitor {
    /// Start of the monitoring; set again after this process was paused or isolated.
    since: Now,
    /// Direct probes sent since the last message.
    probes: u32,
    /// Whether it is not a predecessor on the ring but is probed until it replies or becomes suspect.
    is_verification: bool,
}

/// State of the failure detector.
#[derive(Debug, Default)]
pub(super) struct FailureDetector {
    neighbours: Neighbours,
    generation: u64,
    monitors: BTreeMap<VmId, Monitor>,
    /// Probed member and the member that requested the probe.
    pending_indirect_probes: Vec<(VmId, VmId)>,
    /// Suspicions that this VM has raised since it received the last message from any member.
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
    /// Sends heartbeats and probes that are due and applies timeouts.
    pub(super) fn tick_detector(&mut self, now: Now, out: &mut Vec<Action>) {
        self.refresh_neighbours(now);
        if now > self.detector.last_tick_at + PROCESS_PAUSE_MIN {
            self.detector.monitors.values_mut().for_each(|m| (m.since, m.probes) = (now, 0));
        }
        self.detector.last_tick_at = now;
        let last_message_at = self.detector.last_message_at;
        self.detector.local_suspicions.retain(|(_, at)| *at > last_message_at);
        if now >= self.detector.next_heartbeat {
            self.detector.next_heartbeat = now + self.options.timings.heartbeat_interval;
            let reply_expected_since = now.saturating_sub(self.options.timings.suspect_after);
            for id in self.detector.neighbours.successors.clone() {
                self.send_to(now, &id, Body::Heartbeat, out);
                let peer = self.view.get(&id);
                let last_message =
                    peer.map(|p| p.last_message.unwrap_or_default().max(p.changed_at));
                // Otherwise a VM that has only unreachable successors in its view would never detect this.
                if last_message.is_some_and(|at| at < reply_expected_since) {
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

    /// After many suspicions, verifies random members in the failure domains of the suspect members.
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

    /// Probes monitored members without recent messages, and suspects those without a reply.
    fn probe_monitored(&mut self, now: Now, out: &mut Vec<Action>) {
        let timings = self.options.timings.clone();
        let mut probes = Vec::new();
        let mut unresponsive = Vec::new();
        let view = &self.view;
        self.detector.monitors.retain(|id, monitor| {
            let Some(peer) = view.get(id).filter(|p| p.is_member()) else { return false };
            let last_message = peer.last_message.unwrap_or_default();
            // A new incarnation starts with a full period, whenever the last message of the previous one arrived.
            let idle_time =
                now.saturating_sub(last_message.max(monitor.since).max(peer.changed_at));
            if monitor.is_verification && last_message > monitor.since {
                return false;
            }
            let idle_time_max =
                if monitor.is_verification { PROBE_INTERVAL / 2 } else { timings.probe_after };
            if idle_time < idle_time_max {
                monitor.probes = 0;
            } else if idle_time >= timings.suspect_after {
                unresponsive.push((id.clone(), peer.incarnation));
            } else if idle_time >= idle_time_max + PROBE_INTERVAL * monitor.probes {
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
        // The suspicion is sent to the suspect itself, which refutes it at once if it is alive.
        if let Some(to) = self.view.get(id).map(|p| p.address) {
            let mut message = self.message(now, Body::Gossip);
            message.updates.push(MemberUpdate::Suspect(id.clone(), incarnation));
            out.push(Action::Send { to, message });
        }
    }

    /// Marks members that have been suspect for long as removed, and deletes old removed ones from the view.
    fn remove_expired(&mut self, now: Now, out: &mut Vec<Action>) {
        let timings = &self.options.timings;
        let mut removed = Vec::new();
        let mut deleted = Vec::new();
        for peer in self.view.iter() {
            let age = now.saturating_sub(peer.changed_at);
            if peer.state == MemberState::Suspect && age >= timings.remove_after {
                removed.push((peer.id.clone(), peer.incarnation));
            } else if peer.state == MemberState::Removed && age >= timings.forget_after {
                deleted.push(peer.id.clone());
            }
        }
        for (id, incarnation) in removed {
            self.view.set_state(now, &id, incarnation, MemberState::Removed);
            out.push(Action::MemberChanged { id, state: MemberState::Removed });
        }
        for id in &deleted {
            self.view.remove(id);
        }
    }

    /// Returns ring neighbours from which a message arrived recently. Updates are not sent to random members
    /// alone, because most of these may be unreachable in a partition.
    pub(super) fn reachable_neighbours(&self, now: Now) -> Vec<VmId> {
        let Neighbours { successors, predecessors } = &self.detector.neighbours;
        let idle_time_max = self.options.timings.probe_after;
        let is_reachable = |id: &&VmId| {
            let last_message =
                self.view.get(id).filter(|p| p.is_member()).and_then(|p| p.last_message);
            last_message.is_some_and(|at| now < at + idle_time_max)
        };
        let mut reachable: Vec<VmId> =
            successors.iter().chain(predecessors).filter(is_reachable).cloned().collect();
        reachable.truncate(REACHABLE_NEIGHBOURS_MAX);
        reachable
    }

    /// Records that the sender is alive. If it is the first message after a long gap, suspicions raised in the gap
    /// are withdrawn.
    pub(super) fn record_sender(&mut self, now: Now, message: &Message, out: &mut Vec<Action>) {
        let idle_time = now.saturating_sub(self.detector.last_message_at);
        if idle_time >= self.options.timings.suspect_after {
            self.withdraw_local_suspicions(now, out);
        }
        self.detector.last_message_at = now;
        self.view.record_message(now, &message.from, message.incarnation, message.version);
    }

    /// Withdraws the suspicions that this VM raised while it was isolated, and does not broadcast them. It was
    /// isolated if it received no message from any member for as long as a suspicion takes.
    fn withdraw_local_suspicions(&mut self, now: Now, out: &mut Vec<Action>) {
        self.gossip.drop_suspicions();
        for (id, at) in std::mem::take(&mut self.detector.local_suspicions) {
            let is_suspect = self.view.get(&id).is_some_and(|p| p.state == MemberState::Suspect);
            if at > self.detector.last_message_at && is_suspect {
                self.view.withdraw_suspicion(now, &id);
                out.push(Action::MemberChanged { id, state: MemberState::Alive });
            }
        }
        self.detector.monitors.values_mut().for_each(|m| (m.since, m.probes) = (now, 0));
    }

    /// Starts probing a member that may be dead although it is alive or leaving in this view, unless too many
    /// are being verified.
    pub(super) fn verify_member(&mut self, now: Now, id: &VmId) {
        let verifications = self.detector.monitors.values().filter(|m| m.is_verification).count();
        if verifications < VERIFICATIONS_MAX && !self.detector.monitors.contains_key(id) {
            let monitor = Monitor { since: now, probes: 0, is_verification: true };
            self.detector.monitors.insert(id.clone(), monitor);
        }
    }

    /// Records that `from` requested a probe of `target`.
    pub(super) fn add_indirect_probe(&mut self, from: VmId, target: VmId) {
        if self.detector.pending_indirect_probes.len() == INDIRECT_PROBES_PENDING_MAX {
            self.detector.pending_indirect_probes.remove(0);
        }
        self.detector.pending_indirect_probes.push((target, from));
    }

    /// Sends acknowledgements to the members that requested an indirect probe of the sender.
    pub(super) fn confirm_indirect_probes(
        &mut self,
        now: Now,
        message: &Message,
        out: &mut Vec<Action>,
    ) {
        let pending = std::mem::take(&mut self.detector.pending_indirect_probes);
        let (confirmed, waiting) = pending.into_iter().partition(|(id, _)| *id == message.from);
        self.detector.pending_indirect_probes = waiting;
        let confirmed: Vec<(VmId, VmId)> = confirmed;
        for (id, requester) in confirmed {
            self.send_to(now, &requester, Body::Vouch(id, message.incarnation), out);
        }
    }
}
