//! Join, anti-entropy sync of views, and reconnection to lost members.

use std::{net::SocketAddr, time::Duration};

use lw_types::prelude::*;

use super::Member;
use crate::{
    action::Action,
    message::{Body, MemberUpdate, Message},
    options::ListedVm,
    view::{BUCKETS, MemberState, Peer},
};

/// Peers contacted at the same time in order to join.
const JOIN_CONTACTS: usize = 2;
/// Shortest time between two attempts to join; up to as much again is added at random.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);
/// Mean time until the next sync after one that changed the view but left a different digest.
const SYNC_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Mean time between two syncs otherwise.
const SYNC_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which a neighbour's digest must differ before a sync is started.
const DIGEST_MISMATCH_MIN: Duration = Duration::from_secs(2);
/// Assumed lag of the platform's list. Without it, each VM that reads a stale `leaving` entry would make the
/// member refute it again.
const PLATFORM_LIST_LAG: Duration = Duration::from_secs(60);
/// Time after its start for which a member syncs more often, because all views are incomplete after a restart
/// of all VMs.
const STARTUP_PERIOD: Duration = Duration::from_secs(60);
/// Members in a reply after which no further bucket is added to it; about 2.5 KB.
const SYNC_MEMBERS_MAX: usize = 64;
/// Time within which a change may not have reached the other member yet.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// The mean time between two attempts of a VM to contact a lost member is this times the number of members in
/// its view. All VMs together then make 12 attempts a second whatever their number, which limits the number of
/// refutations when a partition ends.
const RECONNECT_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(80);
/// Lower bound of the mean time between two such attempts.
const RECONNECT_INTERVAL_MIN: Duration = Duration::from_secs(5);

/// State of joining, syncs and reconnection.
#[derive(Debug, Default)]
pub(super) struct SyncState {
    listed: Vec<ListedVm>,
    has_joined: bool,
    started_at: Now,
    next_sync: Now,
    next_reconnect: Now,
    digest_mismatch: Option<(VmId, Now)>,
    last_repeat: Option<(VmId, Now)>,
}

impl SyncState {
    pub(super) fn new(now: Now) -> Self {
        Self { started_at: now, ..Self::default() }
    }
}

impl Member {
    /// Applies the platform's list of VMs. As the list lags, it only supplies addresses to contact, and its
    /// `leaving` entries exclude a member only until the member refutes them. An entry about a member whose
    /// state or incarnation changed within the last minute is treated as stale.
    ///
    /// ```
    /// use lw_member::{ListedVm, Member, Options};
    /// let now = std::time::Duration::ZERO;
    /// let options = Options::new("vm-1", "10.0.0.1:7400".parse().unwrap(), "kochi-1", 1);
    /// let mut member = Member::new(now, options);
    /// let address = "10.0.0.2:7400".parse().unwrap();
    /// member.on_platform_list(now, &[ListedVm { id: "vm-2".into(), address, leaving: false }]);
    /// assert!(!member.tick(now).actions.is_empty());
    /// ```
    pub fn on_platform_list(&mut self, now: Now, list: &[ListedVm]) -> Vec<Action> {
        let mut out = Vec::new();
        let is_newly_leaving = |entry: &&ListedVm| {
            entry.leaving && !self.sync.listed.iter().any(|old| old.id == entry.id && old.leaving)
        };
        let leaving: Vec<_> = list.iter().filter(is_newly_leaving).map(|e| e.id.clone()).collect();
        for id in leaving {
            let may_exclude =
                |p: &&Peer| p.is_selectable() && now >= p.changed_at + PLATFORM_LIST_LAG;
            let Some(peer) = self.view.get(&id).filter(may_exclude) else { continue };
            if id != self.options.id {
                let info = peer.to_info();
                self.apply_and_broadcast(now, MemberUpdate::Leaving(info), &mut out);
            }
        }
        self.sync.listed = list.to_vec();
        out
    }

    /// Starts a join, a sync or a reconnection when it is due.
    pub(super) fn tick_sync(&mut self, now: Now, out: &mut Vec<Action>) {
        if !self.sync.has_joined && now >= self.sync.next_sync {
            self.sync.next_sync = now + JOIN_INTERVAL + self.jitter(JOIN_INTERVAL);
            let mut addresses = self.contact_addresses();
            self.rng.shuffle(&mut addresses);
            for to in addresses.into_iter().take(JOIN_CONTACTS) {
                self.send_sync(now, to, out);
            }
        }
        let is_starting = now < self.sync.started_at + STARTUP_PERIOD;
        let (mismatch_min, pause) = if is_starting {
            (SYNC_RETRY_INTERVAL, SYNC_RETRY_INTERVAL)
        } else {
            (DIGEST_MISMATCH_MIN, SYNC_INTERVAL)
        };
        let due =
            self.sync.digest_mismatch.as_ref().filter(|(_, since)| now >= *since + mismatch_min);
        if let Some((id, _)) = due.filter(|_| self.sync.has_joined && now >= self.sync.next_sync) {
            let to = self.view.get(id).map(|p| p.address);
            self.sync.digest_mismatch = None;
            self.sync.next_sync = now + pause / 2 + self.jitter(pause);
            if let Some(to) = to {
                self.send_sync(now, to, out);
            }
        }
        if now >= self.sync.next_reconnect {
            let size = u32::try_from(self.view.len()).unwrap_or(u32::MAX);
            let pause = (RECONNECT_INTERVAL_PER_MEMBER * size).max(RECONNECT_INTERVAL_MIN);
            self.sync.next_reconnect = now + pause / 2 + self.jitter(pause);
            self.contact_lost_member(now, out);
        }
    }

    fn send_sync(&mut self, now: Now, to: SocketAddr, out: &mut Vec<Action>) {
        let buckets = self.view.buckets().to_vec();
        let mut message = self.message(now, Body::Sync(buckets));
        message.updates.push(self.own_update());
        out.push(Action::Send { to, message });
    }

    /// Returns the addresses from the options, the platform's list and the view, without that of this VM.
    fn contact_addresses(&self) -> Vec<SocketAddr> {
        let listed = self.sync.listed.iter().map(|entry| entry.address);
        let in_view = self.view.iter().filter(|p| p.is_member()).map(|p| p.address);
        let mut all: Vec<_> =
            self.options.seeds.iter().copied().chain(listed).chain(in_view).collect();
        all.sort_unstable();
        all.dedup();
        all.retain(|address| *address != self.options.address);
        all
    }

    /// Probes one random VM that may be running but is not alive or leaving in this view.
    fn contact_lost_member(&mut self, now: Now, out: &mut Vec<Action>) {
        let members: std::collections::BTreeSet<SocketAddr> =
            self.view.iter().filter(|p| p.is_member()).map(|p| p.address).collect();
        let lost = self.view.iter().filter(|p| !p.is_member()).map(|p| p.address);
        let mut lost: Vec<_> = lost.chain(self.contact_addresses()).collect();
        lost.retain(|address| !members.contains(address) && *address != self.options.address);
        let Some(to) = self.rng.choice(lost) else { return };
        let suspicion = self.view.iter().find(|p| p.address == to).map(Peer::to_update);
        let mut message = self.message(now, Body::Probe);
        message.updates.extend(suspicion);
        message.updates.push(self.own_update());
        out.push(Action::Send { to, message });
    }

    /// Collects the updates for the reply to a sync: the members of buckets that differ, starting at a random
    /// bucket.
    pub(super) fn sync_reply(&mut self, buckets: &[u32], updates: &mut Vec<MemberUpdate>) -> Body {
        let start = self.rng.usize(..BUCKETS);
        let mut complete_buckets = Vec::new();
        let own = *self.view.buckets();
        for index in (0..BUCKETS).map(|step| (start + step) % BUCKETS) {
            if buckets.get(index) == Some(&own[index]) {
                continue;
            }
            if updates.len() >= SYNC_MEMBERS_MAX {
                break;
            }
            updates.extend(self.view.bucket(index).map(Peer::to_update));
            complete_buckets.extend(u8::try_from(index));
        }
        Body::Members(complete_buckets)
    }

    /// Applies the reply to a sync.
    pub(super) fn apply_sync_reply(
        &mut self,
        now: Now,
        message: &Message,
        complete_buckets: &[u8],
        out: &mut Vec<Action>,
    ) {
        let mut has_changed = false;
        let mut excluded = Vec::new();
        for update in &message.updates {
            let (id, incarnation) = update.subject();
            if self.apply_update(now, update, out) {
                has_changed = true;
            } else if self.view.get(id).is_some_and(|p| {
                p.incarnation == incarnation
                    && matches!(p.state, MemberState::Suspect | MemberState::Removed)
            }) {
                excluded.push(id.clone());
            }
        }
        let included: std::collections::BTreeSet<&VmId> =
            message.updates.iter().map(|update| update.subject().0).collect();
        let missing: Vec<VmId> = complete_buckets
            .iter()
            .flat_map(|index| self.view.bucket(usize::from(*index)))
            .filter(|p| !included.contains(&p.id) && p.id != self.options.id)
            .filter(|p| {
                now >= p.changed_at + PROPAGATION_TIME
                    && p.last_message.is_none_or(|at| now >= at + PROPAGATION_TIME)
            })
            .map(|p| p.id.clone())
            .collect();
        for id in &missing {
            self.verify_member(now, id);
        }
        for id in excluded.into_iter().filter(|id| *id != message.from).take(1) {
            self.send_suspicion(now, &id, out);
        }
        let has_same_digest = message.digest == self.view.digest();
        if has_same_digest || !has_changed {
            self.sync.has_joined = true;
        } else {
            self.sync.next_sync = now + SYNC_RETRY_INTERVAL / 2 + self.jitter(SYNC_RETRY_INTERVAL);
        }
    }

    /// Sends a member the suspicion about itself, so that it can refute it.
    fn send_suspicion(&mut self, now: Now, id: &str, out: &mut Vec<Action>) {
        let Some((to, update)) = self.view.get(id).map(|p| (p.address, p.to_update())) else {
            return;
        };
        let mut message = self.message(now, Body::Probe);
        message.updates.push(update);
        out.push(Action::Send { to, message });
    }

    /// Records since when the digest of a ring neighbour has differed from the local one.
    pub(super) fn compare_digests(&mut self, now: Now, message: &Message) {
        if message.digest == self.view.digest() {
            if self.sync.digest_mismatch.as_ref().is_some_and(|(id, _)| *id == message.from) {
                self.sync.digest_mismatch = None;
            }
        } else if self.sync.digest_mismatch.is_none() {
            // The sender has this VM as a neighbour, or verifies it, even if it is no neighbour in the local view.
            let is_direct = matches!(message.body, Body::Heartbeat | Body::Probe);
            if is_direct || self.detector.is_neighbour(&message.from) {
                self.sync.digest_mismatch = Some((message.from.clone(), now));
            }
        }
    }

    /// Repeats recent exclusions to a ring neighbour whose reply shows a different view, at most once in each
    /// heartbeat interval.
    pub(super) fn repeat_exclusions(&mut self, now: Now, message: &Message, out: &mut Vec<Action>) {
        let has_other_view = message.digest != self.view.digest();
        if !has_other_view || !self.detector.is_neighbour(&message.from) {
            return;
        }
        let pause = self.options.timings.heartbeat_interval;
        if self
            .sync
            .last_repeat
            .as_ref()
            .is_some_and(|(id, at)| *id == message.from && now < *at + pause)
        {
            return;
        }
        let mut updates = Vec::new();
        self.gossip.append_recent_exclusions(now, &self.view, &mut updates);
        let Some(to) = self.view.get(&message.from).map(|p| p.address) else { return };
        if !updates.is_empty() {
            self.sync.last_repeat = Some((message.from.clone(), now));
            let mut message = self.message(now, Body::Gossip);
            message.updates = updates;
            out.push(Action::Send { to, message });
        }
    }
}
