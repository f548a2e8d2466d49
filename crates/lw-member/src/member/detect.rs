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
const HELPERS: usize = 3;
/// Direct probes sent before others are asked. Most silences are one lost heartbeat, which the first probe
/// settles without the twenty messages that the help of others takes.
const HELP_FROM: u32 = 1;
/// Time between two direct probes of a silent member.
const PROBE_EVERY: Duration = Duration::from_millis(250);
/// A longer time between two ticks means that this process did not run, so silence proves nothing.
const PAUSE: Duration = Duration::from_millis(600);
/// Time between two looks for expired suspicions and removals.
const EXPIRE_EVERY: Duration = Duration::from_secs(5);
/// Disputed members probed at the same time. A small side of a partition has too few ring neighbours on the
/// other side: 3 of 12 VMs took up to 8 s to notice the silence of 9 with ring neighbours alone.
const DISPUTED_MAX: usize = 16;
/// Ring neighbours told at once by a member that has just learnt urgent news.
const NEAR_MAX: usize = 2;
/// One in this many members has become suspect lately when a partition is likely.
const MASS: usize = 10;
/// Time for which suspicions count towards that.
const LATELY: Duration = Duration::from_secs(5);
/// Probes for others that wait for a reply; older ones are dropped first.
const ASKED_MAX: usize = 64;

#[derive(Debug)]
struct Watch {
    since: Now,
    probes: u32,
    disputed: bool,
}

/// State of the failure detector.
#[derive(Debug, Default)]
pub(super) struct Detect {
    neighbours: Neighbours,
    generation: u64,
    watches: BTreeMap<VmId, Watch>,
    asked: Vec<(VmId, VmId)>,
    raised: Vec<(VmId, Now)>,
    last_heard: Now,
    last_tick: Now,
    next_heartbeat: Now,
    next_expiry: Now,
}

impl Detect {
    pub(super) fn new(now: Now, first_heartbeat: Now) -> Self {
        Self {
            generation: u64::MAX,
            last_heard: now,
            last_tick: now,
            next_heartbeat: first_heartbeat,
            ..Self::default()
        }
    }

    pub(super) fn is_neighbour(&self, id: &str) -> bool {
        let Neighbours { successors, watched } = &self.neighbours;
        successors.iter().chain(watched).any(|other| other == id)
    }
}

impl Member {
    pub(super) fn detect(&mut self, now: Now, out: &mut Vec<Action>) {
        self.refresh_neighbours(now);
        if now > self.detect.last_tick + PAUSE {
            self.detect.watches.values_mut().for_each(|w| (w.since, w.probes) = (now, 0));
        }
        self.detect.last_tick = now;
        let last_heard = self.detect.last_heard;
        self.detect.raised.retain(|(_, at)| *at > last_heard);
        if now >= self.detect.next_heartbeat {
            self.detect.next_heartbeat = now + self.options.timings.heartbeat_interval;
            let silent_since = now.saturating_sub(self.options.timings.suspect_after);
            for id in self.detect.neighbours.successors.clone() {
                self.send_to(now, &id, Body::Heartbeat, out);
                let peer = self.view.get(&id);
                let heard = peer.map(|p| p.last_message.unwrap_or_default().max(p.changed_at));
                // Without this, a VM whose view has only unreachable successors would never learn of it.
                if heard.is_some_and(|at| at < silent_since) {
                    self.dispute(now, &id);
                }
            }
        }
        self.watch(now, out);
        if now >= self.detect.next_expiry {
            self.detect.next_expiry = now + EXPIRE_EVERY;
            self.expire(now, out);
        }
    }

    fn refresh_neighbours(&mut self, now: Now) {
        if self.detect.generation == self.view.generation() {
            return;
        }
        self.detect.generation = self.view.generation();
        self.detect.neighbours = ring::neighbours(&self.view, &self.options.id);
        let Detect { neighbours, watches, .. } = &mut self.detect;
        watches.retain(|id, watch| watch.disputed || neighbours.watched.contains(id));
        for id in &neighbours.watched {
            let fresh = Watch { since: now, probes: 0, disputed: false };
            watches.entry(id.clone()).or_insert(fresh).disputed = false;
        }
        self.doubt_domains(now);
    }

    /// After many suspicions, probes random members of the failure domains that they are in.
    fn doubt_domains(&mut self, now: Now) {
        let is_recent = |p: &&Peer| p.state == MemberState::Suspect && now < p.changed_at + LATELY;
        let domains: BTreeSet<&Domain> =
            self.view.iter().filter(is_recent).map(|p| &p.domain).collect();
        let suspects = self.view.iter().filter(is_recent).count();
        if suspects < 2 || suspects * MASS < self.view.len() {
            return;
        }
        self.gossip.hurry(now + LATELY);
        let quiet_since = now.saturating_sub(self.options.timings.probe_after);
        let doubted = self.view.iter().filter(|p| {
            let is_quiet = p.last_message.is_none_or(|at| at < quiet_since);
            p.is_member() && p.id != self.options.id && is_quiet && domains.contains(&p.domain)
        });
        let doubted = self.rng.choose_multiple(doubted, DISPUTED_MAX);
        let doubted: Vec<VmId> = doubted.into_iter().map(|p| p.id.clone()).collect();
        for id in doubted {
            self.dispute(now, &id);
        }
    }

    fn watch(&mut self, now: Now, out: &mut Vec<Action>) {
        let timings = self.options.timings.clone();
        let mut probes = Vec::new();
        let mut silent = Vec::new();
        let view = &self.view;
        self.detect.watches.retain(|id, watch| {
            let Some(peer) = view.get(id).filter(|p| p.is_member()) else { return false };
            let heard = peer.last_message.unwrap_or_default();
            // A new incarnation starts with a full period, whatever was heard of the former one.
            let silence = now.saturating_sub(heard.max(watch.since).max(peer.changed_at));
            if watch.disputed && heard > watch.since {
                return false;
            }
            let patience = if watch.disputed { PROBE_EVERY / 2 } else { timings.probe_after };
            if silence < patience {
                watch.probes = 0;
            } else if silence >= timings.suspect_after {
                silent.push((id.clone(), peer.incarnation));
            } else if silence >= patience + PROBE_EVERY * watch.probes {
                probes.push((id.clone(), !watch.disputed && watch.probes == HELP_FROM));
                watch.probes += 1;
            }
            true
        });
        for (id, needs_help) in probes {
            self.send_to(now, &id, Body::Probe, out);
            let Some(address) = self.view.get(&id).filter(|_| needs_help).map(|p| p.address) else {
                continue;
            };
            for helper in self.random_members(HELPERS, &id) {
                self.send_to(now, &helper, Body::ProbeFor(id.clone(), address), out);
            }
        }
        for (id, incarnation) in silent {
            self.suspect(now, &id, incarnation, out);
        }
    }

    fn suspect(&mut self, now: Now, id: &VmId, incarnation: Incarnation, out: &mut Vec<Action>) {
        self.detect.raised.push((id.clone(), now));
        self.learn(now, MemberUpdate::Suspect(id.clone(), incarnation), out);
        // The suspect is told directly: it refutes at once if it lives.
        if let Some(to) = self.view.get(id).map(|p| p.address) {
            let mut message = self.message(now, Body::Gossip);
            message.updates.push(MemberUpdate::Suspect(id.clone(), incarnation));
            out.push(Action::Send { to, message });
        }
    }

    fn expire(&mut self, now: Now, out: &mut Vec<Action>) {
        let timings = &self.options.timings;
        let mut removed = Vec::new();
        let mut forgotten = Vec::new();
        for peer in self.view.iter() {
            let age = now.saturating_sub(peer.changed_at);
            if peer.state == MemberState::Suspect && age >= timings.remove_after {
                removed.push((peer.id.clone(), peer.incarnation));
            } else if peer.state == MemberState::Removed && age >= timings.forget_after {
                forgotten.push(peer.id.clone());
            }
        }
        for (id, incarnation) in removed {
            self.view.set(now, &id, incarnation, MemberState::Removed);
            out.push(Action::MemberChanged { id, state: MemberState::Removed });
        }
        for id in &forgotten {
            self.view.forget(id);
        }
    }

    /// Ring neighbours heard lately. Random members alone are no safe targets for news: after a partition
    /// most of them may be out of reach.
    pub(super) fn near_members(&self, now: Now) -> Vec<VmId> {
        let Neighbours { successors, watched } = &self.detect.neighbours;
        let patience = self.options.timings.probe_after;
        let is_near = |id: &&VmId| {
            let heard = self.view.get(id).filter(|p| p.is_member()).and_then(|p| p.last_message);
            heard.is_some_and(|at| now < at + patience)
        };
        let mut near: Vec<VmId> =
            successors.iter().chain(watched).filter(is_near).cloned().collect();
        near.truncate(NEAR_MAX);
        near
    }

    /// Records the sender's sign of life.
    pub(super) fn sign_of_life(&mut self, now: Now, message: &Message, out: &mut Vec<Action>) {
        let cut_off = now.saturating_sub(self.detect.last_heard);
        if cut_off >= self.options.timings.suspect_after {
            self.reconnected(now, out);
        }
        self.detect.last_heard = now;
        self.view.heard(now, &message.from, message.incarnation, message.version);
    }

    /// This VM heard nobody for as long as a suspicion takes, so it was cut off itself: what it
    /// suspected meanwhile is taken back and not told to the others.
    fn reconnected(&mut self, now: Now, out: &mut Vec<Action>) {
        self.gossip.drop_suspicions();
        for (id, at) in std::mem::take(&mut self.detect.raised) {
            let is_suspect = self.view.get(&id).is_some_and(|p| p.state == MemberState::Suspect);
            if at > self.detect.last_heard && is_suspect {
                self.view.withdraw(now, &id);
                out.push(Action::MemberChanged { id, state: MemberState::Alive });
            }
        }
        self.detect.watches.values_mut().for_each(|w| (w.since, w.probes) = (now, 0));
    }

    /// Probes a member that another view does not hold as alive, unless too many are probed already.
    pub(super) fn dispute(&mut self, now: Now, id: &VmId) {
        let disputed = self.detect.watches.values().filter(|w| w.disputed).count();
        if disputed < DISPUTED_MAX && !self.detect.watches.contains_key(id) {
            let watch = Watch { since: now, probes: 0, disputed: true };
            self.detect.watches.insert(id.clone(), watch);
        }
    }

    pub(super) fn probe_for(&mut self, from: VmId, target: VmId) {
        if self.detect.asked.len() == ASKED_MAX {
            self.detect.asked.remove(0);
        }
        self.detect.asked.push((target, from));
    }

    /// Tells those who asked for a probe of the sender that it lives.
    pub(super) fn vouch(&mut self, now: Now, message: &Message, out: &mut Vec<Action>) {
        let asked = std::mem::take(&mut self.detect.asked);
        let (vouched, waiting) = asked.into_iter().partition(|(id, _)| *id == message.from);
        self.detect.asked = waiting;
        let vouched: Vec<(VmId, VmId)> = vouched;
        for (id, asker) in vouched {
            self.send_to(now, &asker, Body::Vouch(id, message.incarnation), out);
        }
    }
}
