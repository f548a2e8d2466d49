//! Queue of updates to gossip, with limits on repetitions and bytes.

use std::collections::VecDeque;

use lw_types::prelude::*;

use crate::{message::MemberUpdate, options::Timings, view::View};

/// Fewest and most times that a member sends one update; in between, the binary logarithm of the number of
/// members. If each member sends it 9 times to random members, a fraction of e^-9 does not receive it; these
/// get it after a heartbeat shows a different digest or version.
const TRANSMISSIONS: std::ops::RangeInclusive<u32> = 4..=9;
/// Random members to which urgent updates are sent at once.
pub(super) const URGENT_FANOUT: usize = 3;
/// Random members to which updates are sent in each gossip round.
pub(super) const FANOUT: usize = 2;
/// Most bytes of updates in one message.
const MESSAGE_BYTES_MAX: u64 = 600;
/// Average bytes of updates that a member may send each second: a quarter of its budget of 6 KB/s for control
/// traffic.
const RATE_BYTES_PER_SECOND: u64 = 1_500;
/// The same after many suspicions, while a partition is being detected: half of the budget.
const PARTITION_RATE_BYTES_PER_SECOND: u64 = 3_000;
/// Bytes of updates that a member may send at once: enough to report the loss of a failure domain of 30 VMs.
const BURST_BYTES_MAX: u64 = 6_000;
/// Bytes of the burst reserved for exclusions: when a partition ends, all members refute their removal at the
/// same time, and their `Alive` updates must not use up the burst.
const RESERVED_BYTES: u64 = 5_000;
/// Gossip intervals between two rounds while only `Alive` updates are queued.
const ALIVE_ONLY_ROUNDS: u32 = 5;
/// Time for which an exclusion is repeated to ring neighbours whose view differs.
const REPEAT_PERIOD: std::time::Duration = std::time::Duration::from_secs(4);

/// An update and the number of times that it is still to be sent.
#[derive(Debug)]
struct QueuedUpdate {
    update: MemberUpdate,
    transmissions_left: u32,
}

/// The queue of updates, with a token bucket that limits the bytes sent.
#[derive(Debug, Default)]
pub(super) struct GossipQueue {
    queue: Vec<QueuedUpdate>,
    recent: VecDeque<(Now, VmId)>,
    tokens: u64,
    raised_rate_until: Now,
    refilled_at: Now,
    pub(super) next_round: Now,
    pub(super) patch_transmissions_left: u32,
}

impl GossipQueue {
    pub(super) fn new(now: Now) -> Self {
        Self { tokens: BURST_BYTES_MAX, refilled_at: now, ..Self::default() }
    }

    /// Whether neither updates nor a patch are to be sent.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.patch_transmissions_left == 0
    }

    /// Queues an update in place of an earlier one about the same member.
    pub(super) fn enqueue(&mut self, now: Now, update: MemberUpdate, members: usize) {
        let id = update.subject().0.clone();
        self.queue.retain(|queued| *queued.update.subject().0 != id);
        self.recent.retain(|(at, other)| *other != id && *at + REPEAT_PERIOD > now);
        self.recent.push_back((now, id));
        self.queue.push(QueuedUpdate { update, transmissions_left: transmission_count(members) });
    }

    /// Queues the latest configuration patch, in place of an earlier one.
    pub(super) fn enqueue_patch(&mut self, members: usize) {
        self.patch_transmissions_left = transmission_count(members);
    }

    /// Uses the higher byte rate until this time.
    pub(super) fn raise_rate(&mut self, until: Now) {
        self.raised_rate_until = until;
    }

    /// Whether the higher byte rate applies, because many members have become suspect.
    pub(super) fn has_raised_rate(&self, now: Now) -> bool {
        now < self.raised_rate_until
    }

    /// Drops queued suspicions.
    pub(super) fn drop_suspicions(&mut self) {
        self.queue.retain(|queued| !matches!(queued.update, MemberUpdate::Suspect(..)));
    }

    /// Returns the updates for one message, suspicions first, within the byte limits.
    pub(super) fn next_batch(&mut self, now: Now) -> Vec<MemberUpdate> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        let elapsed =
            u64::try_from(now.saturating_sub(self.refilled_at).as_millis()).unwrap_or(u64::MAX);
        if elapsed > 0 {
            let rate = if self.has_raised_rate(now) {
                PARTITION_RATE_BYTES_PER_SECOND
            } else {
                RATE_BYTES_PER_SECOND
            };
            let refill = elapsed.saturating_mul(rate) / 1000;
            self.tokens = self.tokens.saturating_add(refill).min(BURST_BYTES_MAX);
            self.refilled_at = now;
        }
        let urgency = |update: &MemberUpdate| match update {
            MemberUpdate::Suspect(..) => 0,
            MemberUpdate::Leaving(_) => 1,
            MemberUpdate::Alive(_) => 2,
        };
        self.queue
            .sort_by_key(|queued| (urgency(&queued.update), u32::MAX - queued.transmissions_left));
        let mut bytes = 0;
        let mut batch = Vec::new();
        for queued in &mut self.queue {
            let update_bytes = encoded_bytes(&queued.update);
            let reserved = if is_alive(&queued.update) { RESERVED_BYTES } else { 0 };
            if bytes + update_bytes > MESSAGE_BYTES_MAX.min(self.tokens.saturating_sub(reserved)) {
                break;
            }
            bytes += update_bytes;
            queued.transmissions_left -= 1;
            batch.push(queued.update.clone());
        }
        self.tokens -= bytes;
        self.queue.retain(|queued| queued.transmissions_left > 0);
        batch
    }

    /// Appends recent exclusions for a neighbour whose view differs. `Alive` updates are left to the
    /// anti-entropy sync; with them, repetitions made up half of the traffic after a partition.
    pub(super) fn append_recent_exclusions(
        &self,
        now: Now,
        view: &View,
        updates: &mut Vec<MemberUpdate>,
    ) {
        let mut bytes: u64 = updates.iter().map(encoded_bytes).sum();
        for (at, id) in self.recent.iter().rev() {
            let Some(peer) = view.get(id).filter(|_| *at + REPEAT_PERIOD > now) else { continue };
            if peer.is_selectable() {
                continue;
            }
            let item = peer.to_update();
            bytes += encoded_bytes(&item);
            if bytes > MESSAGE_BYTES_MAX {
                break;
            }
            if !updates.contains(&item) {
                updates.push(item);
            }
        }
    }

    /// Sets the time of the next gossip round.
    pub(super) fn schedule_round(&mut self, now: Now, timings: &Timings) {
        let is_alive_only =
            self.patch_transmissions_left == 0 && self.queue.iter().all(|r| is_alive(&r.update));
        self.next_round =
            now + timings.gossip_interval * if is_alive_only { ALIVE_ONLY_ROUNDS } else { 1 };
    }
}

fn is_alive(update: &MemberUpdate) -> bool {
    matches!(update, MemberUpdate::Alive(_))
}

fn transmission_count(members: usize) -> u32 {
    members.max(1).ilog2().clamp(*TRANSMISSIONS.start(), *TRANSMISSIONS.end())
}

/// Estimates the encoded size of an update from its names, address and numbers.
fn encoded_bytes(update: &MemberUpdate) -> u64 {
    let bytes = match update {
        MemberUpdate::Alive(info) | MemberUpdate::Leaving(info) => {
            info.id.len() + info.domain.len() + 28
        }
        MemberUpdate::Suspect(id, _) => id.len() + 10,
    };
    bytes as u64
}
