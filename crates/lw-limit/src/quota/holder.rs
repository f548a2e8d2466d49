//! The holder's side: the buckets of the slots that one VM holds.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use lw_types::prelude::*;

use super::Share;

/// Time for which a grant can be returned. It is worthless to the one that returns it after [`super::GRANT_TIME`].
const RETURN_TIME: Duration = Duration::from_secs(1);
/// Longest time that refused requests are told to wait for those that were refused before them. Callers return that were
/// refused within it; a longer queue would consist of callers that gave up.
const QUEUE_TIME_MAX: Duration = Duration::from_secs(2);
/// Time that is stated to a request which is larger than the cap ever grants.
const TOO_LARGE_WAIT: Duration = Duration::from_secs(60);

/// A request for a grant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The slot.
    pub slot: u8,
    /// Number of the request, which identifies its grant.
    pub number: u64,
    /// Workspace that is charged.
    pub workspace: WorkspaceId,
    /// Units that are asked for.
    pub cost: u64,
    /// Version of the configuration at the VM that asks.
    pub config: ConfigVersion,
}

/// A grant, or a part of it, that is not used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Return {
    /// The slot.
    pub slot: u8,
    /// Number of the grant.
    pub number: u64,
    /// Units that were not used.
    pub amount: u64,
}

/// Reply to a request for a grant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reply {
    /// The cost is granted; the bucket has this level now.
    Granted {
        /// Level of the bucket.
        level: f64,
    },
    /// The cost is above what is left.
    Wait {
        /// Time until the cap allows it.
        time: Duration,
        /// Level of the bucket.
        level: f64,
    },
    /// This VM does not hold the slot, or does not know the cap yet.
    NotHolder,
}

/// The slots that a VM holds, with their buckets.
#[derive(Debug, Default)]
pub struct Holder {
    slots: BTreeMap<u8, Slot>,
    shares: HashMap<WorkspaceId, Share>,
    config: ConfigVersion,
    /// Until when the lease on the keys of the slots is certainly valid.
    valid_until: Now,
}

#[derive(Debug)]
struct Slot {
    /// Revision of the slot's key.
    revision: Revision,
    taken_at: Now,
    /// Levels that the former holder handed over.
    former_levels: BTreeMap<WorkspaceId, f64>,
    buckets: HashMap<WorkspaceId, Bucket>,
    /// Grants that can still be returned, by number.
    grants: HashMap<u64, Granted>,
    /// When they were made, with their numbers, oldest first.
    grant_times: VecDeque<(Now, u64)>,
}

#[derive(Debug)]
struct Granted {
    workspace: WorkspaceId,
    cost: u64,
    at: Now,
    /// Number of grants of its bucket up to this one.
    index: u64,
}

#[derive(Debug)]
struct Bucket {
    share: Share,
    level: f64,
    /// Debt above the limit that was left out of the level when the limit was lowered. It counts again when the limit
    /// changes, so that limits that fall and rise again grant nothing twice.
    excess_debt: f64,
    updated_at: Now,
    /// Units that were refused, and whose callers were told to come back, less what was refilled since.
    queued: f64,
    /// Number of grants.
    grant_count: u64,
    /// Highest levels after each of the grants that can still be returned. Each level is below the one before.
    peaks: VecDeque<Peak>,
}

/// A level of a bucket that it did not exceed later.
#[derive(Debug)]
struct Peak {
    level: f64,
    at: Now,
    /// Number of grants before.
    grant_count: u64,
}

impl Bucket {
    fn refill(&mut self, now: Now) {
        let refilled = now.saturating_sub(self.updated_at).as_secs_f64() * self.share.rate;
        self.updated_at = now.max(self.updated_at);
        let level = self.level + refilled;
        self.level = level.min(self.share.capacity);
        // What the level cannot take pays off the rest.
        self.excess_debt = (self.excess_debt - (level - self.level)).max(0.0);
        self.queued = (self.queued - refilled).max(0.0);
        // Between two updates the level only rises, so that the last one is the highest.
        self.record_peak(now);
    }

    fn record_peak(&mut self, now: Now) {
        while self.peaks.front().is_some_and(|peak| now > peak.at + RETURN_TIME) {
            self.peaks.pop_front();
        }
        while self.peaks.back().is_some_and(|peak| peak.level <= self.level) {
            self.peaks.pop_back();
        }
        let (level, grant_count) = (self.level, self.grant_count);
        self.peaks.push_back(Peak { level, at: now, grant_count });
    }

    /// Takes back units of a grant that was made within [`RETURN_TIME`], less those that would have been lost at the capacity if
    /// they had not been granted. Returns what counts.
    fn take_back(&mut self, now: Now, amount: f64, index: u64) -> f64 {
        self.refill(now);
        let first = self.peaks.partition_point(|peak| peak.grant_count < index);
        let Some(highest) = self.peaks.get(first) else { return 0.0 };
        let credit = amount.min(self.share.capacity - highest.level).max(0.0);
        self.level += credit;
        // Without the grant, the levels since would have been as much higher.
        self.peaks.iter_mut().skip(first).for_each(|peak| peak.level += credit);
        let raised = self.peaks[first].level;
        let kept = self.peaks.iter().take(first).filter(|peak| peak.level > raised).count();
        self.peaks.drain(kept..first);
        credit
    }

    fn set_share(&mut self, now: Now, share: Share) {
        self.refill(now);
        self.share = share;
        let level = self.full_level().min(share.capacity);
        self.level = level.max(-share.debt);
        self.excess_debt = self.level - level;
        self.queued = 0.0;
        self.peaks.clear();
        self.record_peak(now);
    }

    /// Returns the level with the debt that was left out.
    fn full_level(&self) -> f64 {
        self.level - self.excess_debt
    }

    /// Grants a cost, or returns how long to wait for it.
    fn grant(&mut self, now: Now, cost: u64) -> Reply {
        self.refill(now);
        let cost = units(cost);
        let Some(needed) = self.share.level_needed(cost) else {
            return Reply::Wait { time: TOO_LARGE_WAIT, level: self.level };
        };
        if self.level > 0.0 && self.level >= needed {
            self.level -= cost;
            self.grant_count += 1;
            self.record_peak(now);
            return Reply::Granted { level: self.level };
        }
        let missing = (needed - self.level).max(0.0) + self.queued;
        let queue_max = self.share.rate * QUEUE_TIME_MAX.as_secs_f64();
        // The other holder counts the same request, which needs one of them only.
        let slots = if self.share.slots > 1 { 2.0 } else { 1.0 };
        self.queued = (self.queued + cost / slots).min(queue_max);
        let time = Duration::try_from_secs_f64(missing / self.share.rate);
        // A level of exactly 0 grants nothing.
        let time = time.unwrap_or(TOO_LARGE_WAIT).min(TOO_LARGE_WAIT) + Duration::from_millis(1);
        Reply::Wait { time, level: self.level }
    }
}

impl Holder {
    /// Applies the caps of a configuration. A lower one clips the levels, also to its limit of debts. Grants that are out can
    /// no longer be returned, since what their buckets refilled meanwhile is not known. The buckets of caps that were removed
    /// are dropped: the rule has no bound for any window that begins before such a cap is binding again.
    pub fn configure(
        &mut self,
        now: Now,
        config: ConfigVersion,
        shares: HashMap<WorkspaceId, Share>,
    ) {
        for slot in self.slots.values_mut() {
            slot.former_levels.retain(|workspace, _| shares.contains_key(workspace));
            slot.buckets.retain(|workspace, bucket| {
                let share = shares.get(workspace);
                share.inspect(|share| bucket.set_share(now, **share)).is_some()
            });
            slot.grants.clear();
            slot.grant_times.clear();
        }
        (self.shares, self.config) = (shares, config);
    }

    /// Sets until when the lease on the keys of the slots is certainly valid.
    pub fn set_valid_until(&mut self, valid_until: Now) {
        self.valid_until = valid_until;
    }

    /// Forgets all slots, since the lease on their keys is lost. Returns those that were held.
    pub fn clear(&mut self) -> impl Iterator<Item = u8> {
        std::mem::take(&mut self.slots).into_keys()
    }

    /// Begins to hold a slot whose key this VM has written at a revision, or at an earlier one. `levels` are those that the
    /// former holder handed over; without them, the buckets start at their lowest level.
    pub fn take(
        &mut self,
        now: Now,
        slot: u8,
        revision: Revision,
        levels: BTreeMap<WorkspaceId, f64>,
    ) {
        let slot_state = Slot {
            revision,
            taken_at: now,
            former_levels: levels,
            buckets: HashMap::new(),
            grants: HashMap::new(),
            grant_times: VecDeque::new(),
        };
        self.slots.insert(slot, slot_state);
    }

    /// Stops holding a slot. Returns the revision of its key and the levels for the next holder.
    pub fn release(
        &mut self,
        now: Now,
        slot: u8,
    ) -> Option<(Revision, BTreeMap<WorkspaceId, f64>)> {
        let mut released = self.slots.remove(&slot)?;
        for (workspace, share) in &self.shares {
            released.bucket(now, workspace, *share);
        }
        let levels = released.buckets.into_iter().map(|(workspace, mut bucket)| {
            bucket.refill(now);
            (workspace, bucket.full_level())
        });
        Some((released.revision, levels.collect()))
    }

    /// Forgets a slot whose key is another VM's.
    pub fn forget(&mut self, slot: u8) -> bool {
        self.slots.remove(&slot).is_some()
    }

    /// Returns the slots that this VM holds, with the revisions of their keys.
    pub fn slots(&self) -> impl Iterator<Item = (u8, Revision)> {
        self.slots.iter().map(|(slot, state)| (*slot, state.revision))
    }

    /// Returns the revision of the key of a slot that this VM holds, or an upper bound if it is not known yet.
    #[must_use]
    pub fn revision(&self, slot: u8) -> Option<Revision> {
        Some(self.slots.get(&slot)?.revision)
    }

    /// Sets the revision of the key of a slot that this VM holds.
    pub fn set_revision(&mut self, slot: u8, revision: Revision) {
        if let Some(slot) = self.slots.get_mut(&slot) {
            slot.revision = revision;
        }
    }

    /// Returns the version of the configuration that was applied.
    #[must_use]
    pub fn config(&self) -> ConfigVersion {
        self.config
    }

    /// Decides on a request for a grant.
    pub fn decide(&mut self, now: Now, claim: &Claim) -> Reply {
        if now >= self.valid_until {
            return Reply::NotHolder;
        }
        let Some(slot) = self.slots.get_mut(&claim.slot) else { return Reply::NotHolder };
        let Some(share) = self.shares.get(&claim.workspace) else {
            // The cap was removed, unless the one that asks has a later configuration.
            let is_removed = self.config >= claim.config;
            return if is_removed { Reply::Granted { level: 0.0 } } else { Reply::NotHolder };
        };
        slot.remove_expired(now);
        let is_repeated = slot.grants.contains_key(&claim.number);
        let bucket = slot.bucket(now, &claim.workspace, *share);
        if is_repeated {
            return Reply::Granted { level: bucket.level };
        }
        let reply = bucket.grant(now, claim.cost);
        if let Reply::Granted { .. } = reply {
            let index = bucket.grant_count;
            let (workspace, cost) = (claim.workspace.clone(), claim.cost);
            slot.grants.insert(claim.number, Granted { workspace, cost, at: now, index });
            slot.grant_times.push_back((now, claim.number));
        }
        reply
    }

    /// Charges a cost that was not asked for: a further attempt of a request that may have run.
    pub fn charge(&mut self, now: Now, claim: &Claim) {
        let share = self.shares.get(&claim.workspace);
        let Some((slot, share)) = self.slots.get_mut(&claim.slot).zip(share) else { return };
        slot.bucket(now, &claim.workspace, *share).level -= units(claim.cost);
    }

    /// Takes back a grant, or a part of it. Returns whether it counts.
    pub fn take_back(&mut self, now: Now, returned: &Return) -> bool {
        let Some(slot) = self.slots.get_mut(&returned.slot) else { return false };
        let Some(grant) = slot.grants.remove(&returned.number) else { return false };
        let bucket = slot.buckets.get_mut(&grant.workspace);
        let Some(bucket) = bucket.filter(|_| now < grant.at + RETURN_TIME) else { return false };
        bucket.take_back(now, units(returned.amount.min(grant.cost)), grant.index) > 0.0
    }
}

impl Slot {
    /// Removes the grants that cannot be returned any more.
    fn remove_expired(&mut self, now: Now) {
        while let Some(&(at, number)) = self.grant_times.front()
            && now >= at + RETURN_TIME
        {
            self.grant_times.pop_front();
            // One that was returned may have been made again later.
            if self.grants.get(&number).is_some_and(|grant| grant.at == at) {
                self.grants.remove(&number);
            }
        }
    }

    /// Returns the bucket of a workspace as of now.
    fn bucket(&mut self, now: Now, workspace: &str, share: Share) -> &mut Bucket {
        let (taken_at, former) = (self.taken_at, self.former_levels.get(workspace));
        let level = former.copied().unwrap_or(-share.debt).min(share.capacity);
        let bucket = self.buckets.entry(workspace.to_owned()).or_insert_with(|| Bucket {
            share,
            level: level.max(-share.debt),
            excess_debt: (-share.debt - level).max(0.0),
            updated_at: taken_at,
            queued: 0.0,
            grant_count: 0,
            peaks: VecDeque::new(),
        });
        bucket.refill(now);
        bucket
    }
}

fn units(cost: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "a cost need not be exact beyond 2^52")]
    let units = cost as f64;
    units
}
