//! The bucket owner: commits the claims and outcomes of many calls with one compare-and-swap.

use std::collections::BTreeMap;

use lw_types::prelude::*;

use self::slot::{Busy, Call, Held, Pending, Queued, Slot, replies};
use crate::{
    message::{ClaimStatus, Reply, Request, RequestKind},
    options::Options,
    record::Value,
};

mod commit;
mod slot;

/// Time of an event on two clocks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EventTime {
    /// Monotonic time.
    pub now: Now,
    /// Unix time. Records are dated with it, so VMs' clocks may differ by less than the retention.
    pub unix: Now,
}

/// What the caller performs.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the value of a bucket or segment; the result is passed to [`Owner::on_store_result`].
    Get {
        /// Number that the result names.
        op: u64,
        /// Number of the bucket or segment, for [`store_key`](crate::bucket::store_key).
        bucket: u32,
    },
    /// Write the value of a bucket or segment if its revision is still `prev`; 0 means that it has none.
    Put {
        /// Number that the result names.
        op: u64,
        /// Number of the bucket or segment, for [`store_key`](crate::bucket::store_key).
        bucket: u32,
        /// Revision that must be current.
        prev: Revision,
        /// Encoded value.
        value: Vec<u8>,
    },
    /// Send a reply to the VM that its attempt names.
    Reply(Reply),
}

/// Result of a store call.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreResult {
    /// The value read; revision 0 and `None` when there is none.
    Value(Revision, Option<Vec<u8>>),
    /// The write took effect with this revision.
    Written(Revision),
    /// The write was refused, since another revision is current.
    Conflict,
    /// The call certainly had no effect.
    Failed,
    /// No result came; a write may have taken effect, or may yet.
    Lost,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Health {
    Up,
    /// Claims are refused at once until a probe succeeds.
    Down {
        probe_at: Now,
    },
}

/// Buckets that this VM is asked about. Whether it is the agreed owner does not matter for safety.
///
/// ```
/// use std::time::Duration;
/// use lw_claim::owner::{EventTime, Owner};
/// let mut owner = Owner::new(Default::default());
/// assert!(owner.tick(EventTime { now: Duration::ZERO, unix: Duration::from_secs(9) }).is_empty());
/// ```
#[derive(Debug)]
pub struct Owner {
    options: Options,
    slots: BTreeMap<u32, Slot>,
    next_op: u64,
    health: Health,
    /// Store calls lost since the last one that succeeded.
    lost: u32,
}

/// Lost store calls in a row that mean that the store is down. One lost reply is resolved by reading
/// back, while its claims wait.
const LOST_MAX: u32 = 2;

impl Owner {
    /// An owner that holds no values.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self { options, slots: BTreeMap::new(), next_op: 0, health: Health::Up, lost: 0 }
    }

    /// Takes a request of an executing VM.
    pub fn on_request(&mut self, at: EventTime, request: Request) -> Vec<Action> {
        let bucket = request.bucket;
        let slot = self.slots.entry(bucket).or_default();
        slot.queue.push(Queued { request, since: at.now, maybe_written: false });
        self.pump(at, bucket)
    }

    /// Takes the result of a store call. Results of calls that were given up are ignored.
    pub fn on_store_result(&mut self, at: EventTime, op: u64, result: StoreResult) -> Vec<Action> {
        let is_current = |slot: &Slot| slot.busy.as_ref().is_some_and(|busy| busy.waits_for(op));
        let Some((&bucket, slot)) = self.slots.iter_mut().find(|(_, slot)| is_current(slot)) else {
            return Vec::new();
        };
        let Some(Busy { op: call_op, since, call }) = slot.busy.take() else { return Vec::new() };
        let mut actions = Vec::new();
        match (call, result) {
            (Call::Get, StoreResult::Value(revision, bytes)) => {
                // A value that does not decode is treated as a failing store: overwriting it could lose
                // claims.
                match bytes.map_or(Ok(Value::default()), |bytes| Value::decode(&bytes)) {
                    Ok(value) => {
                        (self.health, self.lost) = (Health::Up, 0);
                        let pending = Pending::Nothing;
                        let held = Held { value, revision, confirmed: since, pending };
                        actions.extend(self.load(at, bucket, held));
                    }
                    Err(_) => self.set_down(at.now),
                }
            }
            (Call::Load { held, mut open }, StoreResult::Value(revision, bytes)) => {
                let place = open.remove(&op).unwrap_or_default();
                if !Self::take_segment(slot, place, (revision, bytes)) {
                    // Records are missing or not readable; no claim can be decided without them.
                    self.set_down(at.now);
                } else if open.is_empty() {
                    slot.held = Some(held);
                } else {
                    let call = Call::Load { held, open };
                    slot.busy = Some(Busy { op: call_op, since, call });
                }
            }
            (Call::Put { value, batch }, StoreResult::Written(revision)) => {
                slot.take_written(value, revision, since);
                self.lost = 0;
                actions.extend(batch.into_iter().flat_map(|(queued, f)| replies(queued, f)));
            }
            (Call::Put { batch, .. }, StoreResult::Conflict) => slot.requeue(batch, false),
            (Call::Seal { place, segment }, StoreResult::Written(revision)) => {
                self.lost = 0;
                if let Some(held) = &mut slot.held {
                    held.pending = Pending::Sealed(place, revision, segment);
                }
            }
            (call @ Call::Seal { .. }, StoreResult::Conflict) => slot.fail(call, true),
            (Call::Learn { place }, StoreResult::Value(revision, _)) => {
                self.lost = 0;
                if let Some(held) = &mut slot.held {
                    held.pending = Pending::Learnt(place, revision);
                }
            }
            (call, StoreResult::Failed) => {
                slot.fail(call, false);
                self.set_down(at.now);
            }
            (call, _) => {
                slot.fail(call, true);
                self.on_lost(at.now);
            }
        }
        actions.extend(self.pump_all(at));
        actions
    }

    /// Handles timeouts, batches that are due and probes.
    pub fn tick(&mut self, at: EventTime) -> Vec<Action> {
        let timeout = self.options.store_timeout;
        let mut lost = 0;
        for slot in self.slots.values_mut() {
            if let Some(busy) = slot.busy.take_if(|busy| at.now >= busy.since + timeout) {
                slot.fail(busy.call, true);
                lost += 1;
            }
        }
        (0..lost).for_each(|_| self.on_lost(at.now));
        self.pump_all(at)
    }

    /// When the next tick is due, if anything waits.
    #[must_use]
    pub fn next_wake(&self) -> Option<Now> {
        let due = |slot: &Slot| match &slot.busy {
            Some(busy) => Some(busy.since + self.options.store_timeout),
            None if self.health != Health::Up => None,
            None => self.due(slot),
        };
        let probe = match self.health {
            Health::Down { probe_at } if !self.is_probing() => Some(probe_at),
            _ => None,
        };
        self.slots.values().filter_map(due).chain(probe).min()
    }

    fn is_probing(&self) -> bool {
        self.slots.values().any(|slot| slot.busy.is_some())
    }

    fn on_lost(&mut self, now: Now) {
        self.lost += 1;
        if self.lost >= LOST_MAX || self.health != Health::Up {
            self.set_down(now);
        }
    }

    fn set_down(&mut self, now: Now) {
        self.health = Health::Down { probe_at: now + self.options.probe_interval };
    }

    fn pump_all(&mut self, at: EventTime) -> Vec<Action> {
        let buckets: Vec<u32> = self.slots.keys().copied().collect();
        buckets.into_iter().flat_map(|bucket| self.pump(at, bucket)).collect()
    }

    fn pump(&mut self, at: EventTime, bucket: u32) -> Vec<Action> {
        if let Health::Down { probe_at } = self.health {
            let mut actions = self.refuse_claims(bucket, |_| true);
            if at.now >= probe_at && !self.is_probing() {
                actions.extend(self.read(at.now, bucket));
            }
            return actions;
        }
        // Nobody waits for a claim that is older than the timeout, for instance after a pause.
        let timeout = self.options.claim_timeout;
        let mut actions = self.refuse_claims(bucket, |queued| at.now >= queued.since + timeout);
        if let Some(slot) = self.slots.get(&bucket)
            && slot.busy.is_none()
            && self.due(slot).is_some_and(|due| due <= at.now)
        {
            actions.extend(self.commit(at, bucket));
        }
        actions
    }

    /// When the queue of a slot is to be committed. Claims go at once unless the last write was less than
    /// a batch interval ago; outcomes alone wait for a claim to share the write.
    fn due(&self, slot: &Slot) -> Option<Now> {
        let is_claim = |queued: &&Queued| matches!(queued.request.kind, RequestKind::Claim(_));
        let oldest = slot.queue.iter().map(|queued| queued.since).min()?;
        let wanted = match slot.queue.iter().find(is_claim) {
            Some(claim) => claim.since,
            None => oldest + self.options.outcome_delay,
        };
        let earliest = slot.last_write.map_or(Now::ZERO, |at| at + self.options.batch_interval);
        Some(wanted.max(earliest))
    }

    fn refuse_claims(&mut self, bucket: u32, when: impl Fn(&Queued) -> bool) -> Vec<Action> {
        let Some(slot) = self.slots.get_mut(&bucket) else { return Vec::new() };
        let is_claim = |queued: &mut Queued| {
            matches!(queued.request.kind, RequestKind::Claim(_)) && when(queued)
        };
        let refused: Vec<Queued> = slot.queue.extract_if(.., is_claim).collect();
        let refuse = |queued: Queued| {
            let maybe_written = queued.maybe_written;
            replies(queued, ClaimStatus::Refused { maybe_written })
        };
        refused.into_iter().flat_map(refuse).collect()
    }
}
