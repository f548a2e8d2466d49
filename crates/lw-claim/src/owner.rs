//! The bucket owner: commits the claims and outcomes of many calls with one compare-and-swap.

use std::collections::BTreeMap;

use lw_types::prelude::*;

use crate::{
    message::{Ask, AttemptId, Finding, Reply, Request},
    options::Options,
    record::Value,
};

/// Time of an event on two clocks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Clock {
    /// Monotonic time.
    pub now: Now,
    /// Unix time. Records are dated with it, so VMs' clocks may differ by less than the retention.
    pub unix: Now,
}

/// What the caller performs.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the value of a bucket; the result is passed to [`Owner::on_store`].
    Get {
        /// Number that the result names.
        op: u64,
        /// Bucket to read.
        bucket: u32,
    },
    /// Write the value of a bucket if its revision is still `prev`; 0 means that it has none.
    Put {
        /// Number that the result names.
        op: u64,
        /// Bucket to write.
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

#[derive(Debug)]
struct Queued {
    request: Request,
    since: Now,
    /// The claim was part of a write that may have taken effect.
    maybe_written: bool,
}

#[derive(Debug)]
struct Held {
    value: Value,
    revision: Revision,
    /// When the read or write that confirmed the value was issued.
    confirmed: Now,
}

#[derive(Debug)]
enum Busy {
    Get { op: u64, since: Now },
    Put { op: u64, since: Now, value: Value, batch: Vec<(Queued, Finding)> },
}

#[derive(Debug, Default)]
struct Slot {
    held: Option<Held>,
    queue: Vec<Queued>,
    busy: Option<Busy>,
    last_write: Option<Now>,
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
/// use lw_claim::owner::{Clock, Owner};
/// let mut owner = Owner::new(Default::default());
/// assert!(owner.tick(Clock { now: Duration::ZERO, unix: Duration::from_secs(9) }).is_empty());
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
    pub fn on_request(&mut self, at: Clock, request: Request) -> Vec<Action> {
        let bucket = request.bucket;
        let slot = self.slots.entry(bucket).or_default();
        slot.queue.push(Queued { request, since: at.now, maybe_written: false });
        self.pump(at, bucket)
    }

    /// Takes the result of a store call. Results of calls that were given up are ignored.
    pub fn on_store(&mut self, at: Clock, op: u64, result: StoreResult) -> Vec<Action> {
        let is_current = |slot: &Slot| match &slot.busy {
            Some(Busy::Get { op: busy, .. } | Busy::Put { op: busy, .. }) => *busy == op,
            None => false,
        };
        let Some(slot) = self.slots.values_mut().find(|slot| is_current(slot)) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        match (slot.busy.take(), result) {
            (Some(Busy::Get { since, .. }), StoreResult::Value(revision, bytes)) => {
                // A value that does not decode is treated as a failing store: overwriting it could lose
                // claims.
                match bytes.map_or(Ok(Value::default()), |bytes| Value::decode(&bytes)) {
                    Ok(value) => {
                        slot.held = Some(Held { value, revision, confirmed: since });
                        (self.health, self.lost) = (Health::Up, 0);
                    }
                    Err(_) => self.set_down(at.now),
                }
            }
            (Some(Busy::Put { since, value, batch, .. }), StoreResult::Written(revision)) => {
                slot.held = Some(Held { value, revision, confirmed: since });
                self.lost = 0;
                actions.extend(batch.into_iter().flat_map(|(queued, f)| replies(queued, f)));
            }
            (Some(Busy::Put { batch, .. }), StoreResult::Conflict) => requeue(slot, batch, false),
            (Some(Busy::Put { batch, .. }), StoreResult::Failed) => {
                requeue(slot, batch, false);
                self.set_down(at.now);
            }
            (Some(Busy::Put { batch, .. }), _) => {
                requeue(slot, batch, true);
                self.on_lost(at.now);
            }
            (Some(Busy::Get { .. }), StoreResult::Failed) => self.set_down(at.now),
            (Some(Busy::Get { .. }), _) => self.on_lost(at.now),
            (None, _) => {}
        }
        actions.extend(self.pump_all(at));
        actions
    }

    /// Handles timeouts, batches that are due and probes.
    pub fn tick(&mut self, at: Clock) -> Vec<Action> {
        let timeout = self.options.store_timeout;
        let mut lost = 0;
        for slot in self.slots.values_mut() {
            match slot.busy.take() {
                Some(Busy::Get { since, .. }) if at.now >= since + timeout => lost += 1,
                Some(Busy::Put { since, batch, .. }) if at.now >= since + timeout => {
                    requeue(slot, batch, true);
                    lost += 1;
                }
                busy => slot.busy = busy,
            }
        }
        (0..lost).for_each(|_| self.on_lost(at.now));
        self.pump_all(at)
    }

    /// When the next tick is due, if anything waits.
    #[must_use]
    pub fn next_wake(&self) -> Option<Now> {
        let due = |slot: &Slot| match &slot.busy {
            Some(Busy::Get { since, .. } | Busy::Put { since, .. }) => {
                Some(*since + self.options.store_timeout)
            }
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

    fn pump_all(&mut self, at: Clock) -> Vec<Action> {
        let buckets: Vec<u32> = self.slots.keys().copied().collect();
        buckets.into_iter().flat_map(|bucket| self.pump(at, bucket)).collect()
    }

    fn pump(&mut self, at: Clock, bucket: u32) -> Vec<Action> {
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
        let is_claim = |queued: &&Queued| matches!(queued.request.ask, Ask::Claim(_));
        let oldest = slot.queue.iter().map(|queued| queued.since).min()?;
        let wanted = match slot.queue.iter().find(is_claim) {
            Some(claim) => claim.since,
            None => oldest + self.options.outcome_delay,
        };
        let earliest = slot.last_write.map_or(Now::ZERO, |at| at + self.options.batch_interval);
        Some(wanted.max(earliest))
    }

    fn read(&mut self, now: Now, bucket: u32) -> Vec<Action> {
        self.next_op += 1;
        let op = self.next_op;
        let slot = self.slots.entry(bucket).or_default();
        slot.held = None;
        slot.busy = Some(Busy::Get { op, since: now });
        vec![Action::Get { op, bucket }]
    }

    fn commit(&mut self, at: Clock, bucket: u32) -> Vec<Action> {
        let Some(slot) = self.slots.get_mut(&bucket) else { return Vec::new() };
        let Some(held) = &slot.held else { return self.read(at.now, bucket) };
        let mut value = held.value.clone();
        value.expire(at.unix, &self.options);
        let mut changed = false;
        let mut findings = Vec::with_capacity(slot.queue.len());
        for Queued { request, .. } in &slot.queue {
            let (key, attempt) = (request.key, &request.attempt);
            let (finding, change) = match &request.ask {
                Ask::Claim(digest) => value.claim(key, *digest, attempt, at.unix, &self.options),
                Ask::Record(outcome) => {
                    (Finding::Recorded, value.record(key, attempt, outcome, at.unix, &self.options))
                }
            };
            changed |= change;
            findings.push(finding);
        }
        if changed {
            let bytes = value.encode();
            let prev = held.revision;
            let batch = std::mem::take(&mut slot.queue).into_iter().zip(findings).collect();
            self.next_op += 1;
            let op = self.next_op;
            slot.busy = Some(Busy::Put { op, since: at.now, value, batch });
            slot.last_write = Some(at.now);
            return vec![Action::Put { op, bucket, prev, value: bytes }];
        }
        // An outcome that changes nothing may only be acknowledged from a value read after it came: an
        // older value may lack the claim, and the outcome would be lost.
        let fresh = |queued: &Queued| match queued.request.ask {
            Ask::Record(_) => held.confirmed >= queued.since,
            Ask::Claim(_) => held.confirmed + self.options.cache_age >= at.now,
        };
        if !slot.queue.iter().all(fresh) {
            return self.read(at.now, bucket);
        }
        let queue = std::mem::take(&mut slot.queue);
        queue.into_iter().zip(findings).flat_map(|(queued, f)| replies(queued, f)).collect()
    }

    fn refuse_claims(&mut self, bucket: u32, when: impl Fn(&Queued) -> bool) -> Vec<Action> {
        let Some(slot) = self.slots.get_mut(&bucket) else { return Vec::new() };
        let is_claim =
            |queued: &mut Queued| matches!(queued.request.ask, Ask::Claim(_)) && when(queued);
        let refused: Vec<Queued> = slot.queue.extract_if(.., is_claim).collect();
        let refuse = |queued: Queued| {
            let maybe_written = queued.maybe_written;
            replies(queued, Finding::Refused { maybe_written })
        };
        refused.into_iter().flat_map(refuse).collect()
    }
}

/// Puts a batch whose write did not succeed back in front of the queue.
fn requeue(slot: &mut Slot, batch: Vec<(Queued, Finding)>, lost: bool) {
    let again = batch
        .into_iter()
        .map(|(queued, _)| Queued { maybe_written: queued.maybe_written || lost, ..queued });
    slot.queue.splice(0..0, again);
    slot.held = None;
    if lost {
        // The callers have waited for a whole store timeout; the read-back follows at once.
        slot.last_write = None;
    }
}

/// The reply to a request. A retry that finds a claim also repeats the grant to the claim's holder: if
/// the first grant was lost, the holder releases the claim, and a later retry gets it.
fn replies(queued: Queued, finding: Finding) -> Vec<Action> {
    let Request { bucket, key, attempt, .. } = queued.request;
    let grant = |attempt: &AttemptId| {
        let attempt = attempt.clone();
        Action::Reply(Reply { attempt, bucket, key, finding: Finding::Granted })
    };
    let mut actions = match &finding {
        Finding::Held(by) => vec![grant(by)],
        _ => Vec::new(),
    };
    actions.push(Action::Reply(Reply { attempt, bucket, key, finding }));
    actions
}
