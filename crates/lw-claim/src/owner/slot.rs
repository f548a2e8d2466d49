//! State of one bucket at its owner.

use std::{collections::BTreeMap, time::Duration};

use lw_types::prelude::*;

use super::Action;
use crate::{
    message::{AttemptId, ClaimStatus, Reply, Request},
    options::Options,
    record::{ClaimKey, Record, Value},
    segment::{Place, Segment},
};

#[derive(Debug)]
pub(super) struct Queued {
    pub request: Request,
    pub since: Now,
    /// The claim was part of a write that may have taken effect.
    pub maybe_written: bool,
}

#[derive(Debug)]
pub(super) struct Held {
    pub value: Value,
    pub revision: Revision,
    /// When the read or write that confirmed the value was issued.
    pub confirmed: Now,
    /// What the next write of the value says about a place.
    pub pending: Pending,
}

/// What is known about a place for a segment and not yet in the value.
#[derive(Debug, Default)]
pub(super) enum Pending {
    #[default]
    Nothing,
    /// The place may have been written with a revision that the value does not name.
    Unsure(u32),
    /// It has this unexpected revision; its content is not referred to.
    Learnt(u32, Revision),
    /// This segment was written.
    Sealed(u32, Revision, Segment),
}

#[derive(Debug)]
pub(super) enum Call {
    /// Read of the bucket's value.
    Get,
    /// Read of the segments of a value that was read, by op.
    Load { held: Held, open: BTreeMap<u64, (u32, Revision)> },
    /// Write of the bucket's value.
    Put { value: Value, batch: Vec<(Queued, ClaimStatus)> },
    /// Write of a segment.
    Seal { place: u32, segment: Segment },
    /// Read of a place, for its revision.
    Learn { place: u32 },
}

#[derive(Debug)]
pub(super) struct Busy {
    pub op: u64,
    pub since: Now,
    pub call: Call,
}

impl Busy {
    pub fn waits_for(&self, op: u64) -> bool {
        match &self.call {
            Call::Load { open, .. } => open.contains_key(&op),
            _ => self.op == op,
        }
    }
}

#[derive(Debug, Default)]
pub(super) struct Slot {
    pub held: Option<Held>,
    pub queue: Vec<Queued>,
    pub busy: Option<Busy>,
    pub last_write: Option<Now>,
    /// Segments by place and revision; they never change.
    pub segments: BTreeMap<(u32, Revision), Segment>,
}

impl Slot {
    /// Handles a store call that failed or was lost. Returns whether it was lost.
    pub fn fail(&mut self, call: Call, lost: bool) {
        match (call, &mut self.held) {
            (Call::Put { batch, .. }, _) => self.requeue(batch, lost),
            (Call::Seal { place, .. }, Some(held)) if lost => held.pending = Pending::Unsure(place),
            _ => {}
        }
    }

    /// Puts a batch whose write did not succeed back in front of the queue.
    pub fn requeue(&mut self, batch: Vec<(Queued, ClaimStatus)>, lost: bool) {
        let again = batch
            .into_iter()
            .map(|(queued, _)| Queued { maybe_written: queued.maybe_written || lost, ..queued });
        self.queue.splice(0..0, again);
        self.held = None;
        if lost {
            // The callers have waited for a whole store timeout; the read-back follows at once.
            self.last_write = None;
        }
    }

    /// Takes a value that was read or written, with what was pending for it.
    pub fn take_written(&mut self, value: Value, revision: Revision, confirmed: Now) {
        let old = self.held.take().map(|held| held.pending);
        if let Some(Pending::Sealed(place, place_revision, segment)) = old {
            self.segments.retain(|(other, _), _| *other != place);
            self.segments.insert((place, place_revision), segment);
        }
        self.held = Some(Held { value, revision, confirmed, pending: Pending::Nothing });
    }

    /// Whether all segments that `value` refers to are held. One may be missing after the clock went back.
    pub fn is_complete(&self, value: &Value, unix: Duration, options: &Options) -> bool {
        value.live_places(unix, options).all(|at| self.segments.contains_key(&at))
    }

    /// The record of a key in the segments that `value` refers to.
    pub fn sealed(
        &self,
        value: &Value,
        key: &ClaimKey,
        unix: Duration,
        options: &Options,
    ) -> Option<&Record> {
        let pending = match self.held.as_ref().map(|held| &held.pending) {
            Some(Pending::Sealed(_, _, segment)) => Some(segment),
            _ => None,
        };
        let stored = value.live_places(unix, options).filter_map(|at| self.segments.get(&at));
        stored.chain(pending).find_map(|segment| segment.get(key, unix, options))
    }
}

impl Held {
    /// Puts what is pending into the value to be written. Returns whether there was something.
    pub fn apply_pending(&self, value: &mut Value) -> bool {
        match &self.pending {
            Pending::Nothing | Pending::Unsure(_) => return false,
            Pending::Learnt(place, revision) => {
                value.set_place(*place, Place { revision: *revision, newest_s: 0 });
            }
            Pending::Sealed(place, revision, segment) => {
                value.set_place(*place, segment.place(*revision));
                value.drop_sealed(segment);
            }
        }
        true
    }
}

/// The reply to a request. A retry that finds a claim also repeats the grant to the claim's holder: if
/// the first grant was lost, the holder releases the claim, and a later retry gets it.
pub(super) fn replies(queued: Queued, claim_status: ClaimStatus) -> Vec<Action> {
    let Request { bucket, key, attempt, .. } = queued.request;
    let grant = |attempt: &AttemptId| {
        let attempt = attempt.clone();
        Action::Reply(Reply { attempt, bucket, key, claim_status: ClaimStatus::Granted })
    };
    let mut actions = match &claim_status {
        ClaimStatus::Held(by) => vec![grant(by)],
        _ => Vec::new(),
    };
    actions.push(Action::Reply(Reply { attempt, bucket, key, claim_status }));
    actions
}
