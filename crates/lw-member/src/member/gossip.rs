//! News on its way: what is still to be told, to whom, and how much at once.

use std::collections::VecDeque;

use lw_types::prelude::*;

use crate::{message::MemberUpdate, options::Timings, view::View};

/// Fewest and most times that one member tells a piece of news; between them it is the binary logarithm of
/// the number of members. Told 9 times at random by each, e^-9 of the members are missed; heartbeats with
/// another digest or version cover the rest.
const TELLS: std::ops::RangeInclusive<u32> = 4..=9;
/// Members told at once by a member that has just learnt urgent news.
pub(super) const BURST: usize = 3;
/// Members told in each later round.
pub(super) const FANOUT: usize = 2;
/// Most bytes of news in one message.
const MESSAGE_BYTES: u64 = 600;
/// Bytes of news a second that a member sends on average, a quarter of the control budget of 6 KB a second.
const RATE: u64 = 1_500;
/// The same after many suspicions: half of the control budget, for the time that a partition is noticed in.
const RATE_HURRIED: u64 = 3_000;
/// Bytes of news that a member may send at once, enough for the loss of a failure domain of 30 VMs.
const BURST_BYTES: u64 = 6_000;
/// Part of them kept for exclusions. When a partition ends, all members refute their removal at once.
const RESERVED_BYTES: u64 = 5_000;
/// Gossip rounds between two rounds while there is only news of living members.
const RELAXED_ROUNDS: u32 = 5;
/// Time for which a change is repeated to ring neighbours whose view differs.
const RECENT: std::time::Duration = std::time::Duration::from_secs(4);

#[derive(Debug)]
struct Rumour {
    news: MemberUpdate,
    left: u32,
}

/// The queue of news.
#[derive(Debug, Default)]
pub(super) struct Gossip {
    queue: Vec<Rumour>,
    recent: VecDeque<(Now, VmId)>,
    tokens: u64,
    hurry_until: Now,
    refilled: Now,
    pub(super) next_round: Now,
    pub(super) patch_tells: u32,
}

impl Gossip {
    pub(super) fn new(now: Now) -> Self {
        Self { tokens: BURST_BYTES, refilled: now, ..Self::default() }
    }

    /// Whether there is anything to tell.
    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.patch_tells == 0
    }

    /// Queues news in place of older news about the same member.
    pub(super) fn add(&mut self, now: Now, news: MemberUpdate, members: usize) {
        let id = news.subject().0.clone();
        self.queue.retain(|rumour| *rumour.news.subject().0 != id);
        self.recent.retain(|(at, other)| *other != id && *at + RECENT > now);
        self.recent.push_back((now, id));
        self.queue.push(Rumour { news, left: tells(members) });
    }

    /// Queues the latest patch.
    pub(super) fn add_patch(&mut self, members: usize) {
        self.patch_tells = tells(members);
    }

    /// Lets more news pass until this time.
    pub(super) fn hurry(&mut self, until: Now) {
        self.hurry_until = until;
    }

    /// Whether many members have become suspect lately.
    pub(super) fn is_hurried(&self, now: Now) -> bool {
        now < self.hurry_until
    }

    /// Drops queued suspicions.
    pub(super) fn drop_suspicions(&mut self) {
        self.queue.retain(|rumour| !matches!(rumour.news, MemberUpdate::Suspect(..)));
    }

    /// The news for one message, suspicions first, within the byte limits.
    pub(super) fn take(&mut self, now: Now) -> Vec<MemberUpdate> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        let elapsed =
            u64::try_from(now.saturating_sub(self.refilled).as_millis()).unwrap_or(u64::MAX);
        if elapsed > 0 {
            let rate = if self.is_hurried(now) { RATE_HURRIED } else { RATE };
            let refill = elapsed.saturating_mul(rate) / 1000;
            self.tokens = self.tokens.saturating_add(refill).min(BURST_BYTES);
            self.refilled = now;
        }
        let urgency = |news: &MemberUpdate| match news {
            MemberUpdate::Suspect(..) => 0,
            MemberUpdate::Leaving(_) => 1,
            MemberUpdate::Alive(_) => 2,
        };
        self.queue.sort_by_key(|rumour| (urgency(&rumour.news), u32::MAX - rumour.left));
        let mut bytes = 0;
        let mut taken = Vec::new();
        for rumour in &mut self.queue {
            let size = size(&rumour.news);
            let reserved = if is_alive(&rumour.news) { RESERVED_BYTES } else { 0 };
            if bytes + size > MESSAGE_BYTES.min(self.tokens.saturating_sub(reserved)) {
                break;
            }
            bytes += size;
            rumour.left -= 1;
            taken.push(rumour.news.clone());
        }
        self.tokens -= bytes;
        self.queue.retain(|rumour| rumour.left > 0);
        taken
    }

    /// Adds recent exclusions for a neighbour whose view differs. Members that are alive can wait for the
    /// comparison of views; repeating them too took half of the traffic after a partition.
    pub(super) fn repeat(&self, now: Now, view: &View, news: &mut Vec<MemberUpdate>) {
        let mut bytes: u64 = news.iter().map(size).sum();
        for (at, id) in self.recent.iter().rev() {
            let Some(peer) = view.get(id).filter(|_| *at + RECENT > now) else { continue };
            if peer.is_selectable() {
                continue;
            }
            let item = peer.to_update();
            bytes += size(&item);
            if bytes > MESSAGE_BYTES {
                break;
            }
            if !news.contains(&item) {
                news.push(item);
            }
        }
    }

    /// Time of the next round, if there is anything to tell.
    pub(super) fn schedule(&mut self, now: Now, timings: &Timings) {
        let is_relaxed = self.patch_tells == 0 && self.queue.iter().all(|r| is_alive(&r.news));
        self.next_round =
            now + timings.gossip_interval * if is_relaxed { RELAXED_ROUNDS } else { 1 };
    }
}

fn is_alive(news: &MemberUpdate) -> bool {
    matches!(news, MemberUpdate::Alive(_))
}

fn tells(members: usize) -> u32 {
    members.max(1).ilog2().clamp(*TELLS.start(), *TELLS.end())
}

/// Encoded size, estimated: names, address and numbers.
fn size(news: &MemberUpdate) -> u64 {
    let bytes = match news {
        MemberUpdate::Alive(card) | MemberUpdate::Leaving(card) => {
            card.id.len() + card.domain.len() + 28
        }
        MemberUpdate::Suspect(id, _) => id.len() + 10,
    };
    bytes as u64
}
