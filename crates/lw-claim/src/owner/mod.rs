//! The bucket owner: commits the claims and outcomes of many calls with one compare-and-swap.

use std::collections::BTreeMap;

use lw_types::prelude::*;

use self::bucket_state::{
    BucketState, LoadedValue, QueuedRequest, SlotUpdate, StoreCall, StoreCallKind, replies,
};
use crate::{
    message::{ClaimStatus, Reply, Request, RequestKind},
    options::Options,
    record::Value,
};

mod bucket_state;
mod commit;

/// Time of an event on two clocks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EventTime {
    /// Monotonic time.
    pub now: Now,
    /// Unix time. It is written to the records, so the clocks of VMs must differ by less than the retention.
    pub unix: Now,
}

/// Actions that the caller of an [`Owner`] performs.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the value of a bucket or segment and pass the result to [`Owner::on_store_result`].
    Get {
        /// Number of the store call, to be passed with its result.
        op: u64,
        /// Number of the bucket or segment, for [`store_key`](crate::bucket::store_key).
        bucket: u32,
    },
    /// Write the value of a bucket or segment if its revision is still `prev`.
    Put {
        /// Number of the store call, to be passed with its result.
        op: u64,
        /// Number of the bucket or segment, for [`store_key`](crate::bucket::store_key).
        bucket: u32,
        /// Revision that must be current; 0 if there must be no value.
        prev: Revision,
        /// Encoded value.
        value: Vec<u8>,
    },
    /// Send a reply to the VM of its attempt.
    Reply(Reply),
}

/// Result of a store call.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreResult {
    /// Revision and value that were read; 0 and `None` if there is no value.
    Value(Revision, Option<Vec<u8>>),
    /// The write took effect with this revision.
    Written(Revision),
    /// The write was refused, since the current revision is a different one.
    Conflict,
    /// The call had no effect and will have none.
    Failed,
    /// No result was received; a write may have taken effect or may still do so.
    Lost,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum StoreHealth {
    Up,
    /// Claims are refused immediately until a probe succeeds.
    Down {
        probe_at: Now,
    },
}

/// The buckets of which this VM receives requests. Calls run at most once even if other VMs own the same buckets in
/// their view.
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
    buckets: BTreeMap<u32, BucketState>,
    next_op: u64,
    store_health: StoreHealth,
    /// Number of store calls lost since the last successful one.
    consecutive_lost_calls: u32,
}

/// Consecutive lost store calls after which the store is considered down. After one lost call the value is read
/// again while its claims wait.
const LOST_CALLS_MAX: u32 = 2;

impl Owner {
    /// Creates an owner without cached values.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            buckets: BTreeMap::new(),
            next_op: 0,
            store_health: StoreHealth::Up,
            consecutive_lost_calls: 0,
        }
    }

    /// Handles a request of an executing VM.
    pub fn on_request(&mut self, at: EventTime, request: Request) -> Vec<Action> {
        let bucket = request.bucket;
        let state = self.buckets.entry(bucket).or_default();
        state.queue.push(QueuedRequest { request, received_at: at.now, maybe_written: false });
        self.process_bucket(at, bucket)
    }

    /// Handles the result of a store call. Results of calls that have timed out are ignored.
    pub fn on_store_result(&mut self, at: EventTime, op: u64, result: StoreResult) -> Vec<Action> {
        let is_current = |state: &BucketState| {
            state.store_call.as_ref().is_some_and(|store_call| store_call.waits_for(op))
        };
        let Some((&bucket, state)) = self.buckets.iter_mut().find(|(_, state)| is_current(state))
        else {
            return Vec::new();
        };
        let Some(StoreCall { op: call_op, issued_at, kind }) = state.store_call.take() else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        match (kind, result) {
            (StoreCallKind::ReadValue, StoreResult::Value(revision, bytes)) => {
                // A value that cannot be decoded is treated like a failed call, since overwriting it could lose
                // claims.
                match bytes.map_or(Ok(Value::default()), |bytes| Value::decode(&bytes)) {
                    Ok(value) => {
                        (self.store_health, self.consecutive_lost_calls) = (StoreHealth::Up, 0);
                        let slot_update = SlotUpdate::None;
                        let loaded =
                            LoadedValue { value, revision, confirmed_at: issued_at, slot_update };
                        actions.extend(self.load_segments(at, bucket, loaded));
                    }
                    Err(_) => self.mark_store_down(at.now),
                }
            }
            (
                StoreCallKind::ReadSegments { loaded, mut open_reads },
                StoreResult::Value(revision, bytes),
            ) => {
                let slot = open_reads.remove(&op).unwrap_or_default();
                if !Self::cache_segment(state, slot, (revision, bytes)) {
                    // No claim can be granted without the records of an unreadable or missing segment.
                    self.mark_store_down(at.now);
                } else if open_reads.is_empty() {
                    state.loaded = Some(loaded);
                } else {
                    let kind = StoreCallKind::ReadSegments { loaded, open_reads };
                    state.store_call = Some(StoreCall { op: call_op, issued_at, kind });
                }
            }
            (StoreCallKind::WriteValue { value, batch }, StoreResult::Written(revision)) => {
                state.cache_written_value(value, revision, issued_at);
                self.consecutive_lost_calls = 0;
                actions
                    .extend(batch.into_iter().flat_map(|(queued, status)| replies(queued, status)));
            }
            (StoreCallKind::WriteValue { batch, .. }, StoreResult::Conflict) => {
                state.requeue(batch, false);
            }
            (StoreCallKind::WriteSegment { slot, segment }, StoreResult::Written(revision)) => {
                self.consecutive_lost_calls = 0;
                if let Some(loaded) = &mut state.loaded {
                    loaded.slot_update = SlotUpdate::SegmentWritten(slot, revision, segment);
                }
            }
            (kind @ StoreCallKind::WriteSegment { .. }, StoreResult::Conflict) => {
                state.fail(kind, true);
            }
            (StoreCallKind::ReadSlotRevision { slot }, StoreResult::Value(revision, _)) => {
                self.consecutive_lost_calls = 0;
                if let Some(loaded) = &mut state.loaded {
                    loaded.slot_update = SlotUpdate::RevisionRead(slot, revision);
                }
            }
            (kind, StoreResult::Failed) => {
                state.fail(kind, false);
                self.mark_store_down(at.now);
            }
            (kind, _) => {
                state.fail(kind, true);
                self.record_lost_call(at.now);
            }
        }
        actions.extend(self.process_all_buckets(at));
        actions
    }

    /// Handles timeouts, due commits and probes of the store.
    pub fn tick(&mut self, at: EventTime) -> Vec<Action> {
        let timeout = self.options.store_timeout;
        let mut lost_calls = 0;
        for state in self.buckets.values_mut() {
            if let Some(store_call) =
                state.store_call.take_if(|store_call| at.now >= store_call.issued_at + timeout)
            {
                state.fail(store_call.kind, true);
                lost_calls += 1;
            }
        }
        (0..lost_calls).for_each(|_| self.record_lost_call(at.now));
        self.process_all_buckets(at)
    }

    /// Returns the time at which the next tick is due, or `None` if there is nothing to wait for.
    #[must_use]
    pub fn next_wake(&self) -> Option<Now> {
        let commit_due = |state: &BucketState| match &state.store_call {
            Some(store_call) => Some(store_call.issued_at + self.options.store_timeout),
            None if self.store_health != StoreHealth::Up => None,
            None => self.commit_due(state),
        };
        let probe = match self.store_health {
            StoreHealth::Down { probe_at } if !self.is_probing() => Some(probe_at),
            _ => None,
        };
        self.buckets.values().filter_map(commit_due).chain(probe).min()
    }

    fn is_probing(&self) -> bool {
        self.buckets.values().any(|state| state.store_call.is_some())
    }

    fn record_lost_call(&mut self, now: Now) {
        self.consecutive_lost_calls += 1;
        if self.consecutive_lost_calls >= LOST_CALLS_MAX || self.store_health != StoreHealth::Up {
            self.mark_store_down(now);
        }
    }

    fn mark_store_down(&mut self, now: Now) {
        self.store_health = StoreHealth::Down { probe_at: now + self.options.probe_interval };
    }

    fn process_all_buckets(&mut self, at: EventTime) -> Vec<Action> {
        let buckets: Vec<u32> = self.buckets.keys().copied().collect();
        buckets.into_iter().flat_map(|bucket| self.process_bucket(at, bucket)).collect()
    }

    fn process_bucket(&mut self, at: EventTime, bucket: u32) -> Vec<Action> {
        if let StoreHealth::Down { probe_at } = self.store_health {
            let mut actions = self.refuse_claims(bucket, |_| true);
            if at.now >= probe_at && !self.is_probing() {
                actions.extend(self.read_value(at.now, bucket));
            }
            return actions;
        }
        // No executing VM waits for a claim that is older than the timeout, for example after a pause of this VM.
        let timeout = self.options.claim_timeout;
        let mut actions =
            self.refuse_claims(bucket, |queued| at.now >= queued.received_at + timeout);
        if let Some(state) = self.buckets.get(&bucket)
            && state.store_call.is_none()
            && self.commit_due(state).is_some_and(|commit_due| commit_due <= at.now)
        {
            actions.extend(self.commit(at, bucket));
        }
        actions
    }

    /// Returns the time at which the queue of a bucket is to be committed. Claims are committed at once unless the last
    /// write was less than a batch interval ago; outcomes wait up to `outcome_delay` for a claim to be written with.
    fn commit_due(&self, state: &BucketState) -> Option<Now> {
        let is_claim =
            |queued: &&QueuedRequest| matches!(queued.request.kind, RequestKind::Claim(_));
        let oldest = state.queue.iter().map(|queued| queued.received_at).min()?;
        let requested = match state.queue.iter().find(is_claim) {
            Some(claim) => claim.received_at,
            None => oldest + self.options.outcome_delay,
        };
        let earliest = state.last_write.map_or(Now::ZERO, |at| at + self.options.batch_interval);
        Some(requested.max(earliest))
    }

    /// Removes the claim requests for which `is_refused` returns true from the queue and refuses them.
    fn refuse_claims(
        &mut self,
        bucket: u32,
        is_refused: impl Fn(&QueuedRequest) -> bool,
    ) -> Vec<Action> {
        let Some(state) = self.buckets.get_mut(&bucket) else { return Vec::new() };
        let is_claim = |queued: &mut QueuedRequest| {
            matches!(queued.request.kind, RequestKind::Claim(_)) && is_refused(queued)
        };
        let refused: Vec<QueuedRequest> = state.queue.extract_if(.., is_claim).collect();
        let refuse = |queued: QueuedRequest| {
            let maybe_written = queued.maybe_written;
            replies(queued, ClaimStatus::Refused { maybe_written })
        };
        refused.into_iter().flat_map(refuse).collect()
    }
}
