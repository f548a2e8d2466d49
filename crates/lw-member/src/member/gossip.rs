//! News on its way: what is still to be told, to whom, and how much at once.

use std::collections::VecDeque;

use lw_types::prelude::*;

use crate::{message::MemberUpdate, options::Timings, view::View};

/// Fewest and most times that one member tells a piece of news; between them it is the binary logarithm of
/// the number of members. Told 9 times at random by each, e^-9 of the members are missed; heartbeats with
/// another digest or version cover the rest.
const TRANSMISSIONS: std::ops::RangeInclusive<u32> = 4..=9;
/// Members told at once by a member that has just learnt urgent news.
pub(super) const URGENT_FANOUT: usize = 3;
/// Members told in each later round.
pub(super) const FANOUT: usize = 2;
/// Most bytes of news in one message.
const MESSAGE_BYTES_MAX: u64 = 600;
/// Bytes of news a second that a member sends on average, a quarter of the control budget of 6 KB a second.
const RATE_BYTES_PER_SECOND: u64 = 1_500;
/// The same after many suspicions: half of the control budget, for the time that a partition is noticed in.
const PARTITION_RATE_BYTES_PER_SECOND: u64 = 3_000;
/// Bytes of news that a member may send at once, enough for the loss of a failure domain of 30 VMs.
const BURST_BYTES_MAX: u64 = 6_000;
/// Part of them kept for exclusions. When a partition ends, all members refute their removal at once.
const RESERVED_BYTES: u64 = 5_000;
/// GossipQueue rounds between two rounds while there is only news of living members.
const ALIVE_ONLY_ROUNDS: u32 = 5;
/// Time for which a change is repeated to ring neighbours whose view differs.
const REPEAT_PERIOD: std::time::Duration = std::time::Duration::from_secs(4);

#[derive(Debug)]
struct QueuedUpdate {
    update: MemberUpdate,
    transmissions_left: u32,
}

/// The queue of news.
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

    /// Whether there is anything to tell.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.patch_transmissions_left == 0
    }

    /// Queues news in place of older news about the same member.
    pub(super) fn enqueue(&mut self, now: Now, update: MemberUpdate, members: usize) {
        let id = update.subject().0.clone();
        self.queue.retain(|queued| *queued.update.subject().0 != id);
        self.recent.retain(|(at, other)| *other != id && *at + REPEAT_PERIOD > now);
        self.recent.push_back((now, id));
        self.queue
            .push(QueuedUpdate { update, transmissions_left: transmissions_for_fleet(members) });
    }

    /// Queues the latest patch.
    pub(super) fn enqueue_patch(&mut self, members: usize) {
        self.patch_transmissions_left = transmissions_for_fleet(members);
    }

    /// Lets more news pass until this time.
    pub(super) fn raise_rate(&mut self, until: Now) {
        self.raised_rate_until = until;
    }

    /// Whether many members have become suspect lately.
    pub(super) fn has_raised_rate(&self, now: Now) -> bool {
        now < self.raised_rate_until
    }

    /// Drops queued suspicions.
    pub(super) fn drop_suspicions(&mut self) {
        self.queue.retain(|queued| !matches!(queued.update, MemberUpdate::Suspect(..)));
    }

    /// The news for one message, suspicions first, within the byte limits.
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
        let mut taken = Vec::new();
        for queued in &mut self.queue {
            let bytes_of_update = encoded_bytes(&queued.update);
            let reserved = if is_alive(&queued.update) { RESERVED_BYTES } else { 0 };
            if bytes + bytes_of_update > MESSAGE_BYTES_MAX.min(self.tokens.saturating_sub(reserved))
            {
                break;
            }
            bytes += bytes_of_update;
            queued.transmissions_left -= 1;
            taken.push(queued.update.clone());
        }
        self.tokens -= bytes;
        self.queue.retain(|queued| queued.transmissions_left > 0);
        taken
    }

    /// Adds recent exclusions for a neighbour whose view differs. Members that are alive can wait for the
    /// comparison of views; repeating them too took half of the traffic after a partition.
    pub(super) fn append_recent_exclusions(
        &self,
        now: Now,
        view: &View,
        update: &mut Vec<MemberUpdate>,
    ) {
        let mut bytes: u64 = update.iter().map(encoded_bytes).sum();
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
            if !update.contains(&item) {
                update.push(item);
            }
        }
    }

    /// Time of the next round, if there is anything to tell.
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

fn transmissions_for_fleet(members: usize) -> u32 {
    members.max(1).ilog2().clamp(*TRANSMISSIONS.start(), *TRANSMISSIONS.end())
}

/// Encoded size, estimated: names, address and numbers.
fn encoded_bytes(update: &MemberUpdate) -> u64 {
    let bytes = match update {
        MemberUpdate::Alive(card) | MemberUpdate::Leaving(card) => {
            card.id.len() + card.domain.len() + 28
        }
        MemberUpdate::Suspect(id, _) => id.len() + 10,
    };
    bytes as u64
}
