//! Claim records, and the bucket value that contains the recent ones.

use std::{collections::BTreeMap, time::Duration};

use lw_types::prelude::*;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    message::{AttemptId, ClaimStatus},
    options::Options,
    segment::{SEGMENTS_MAX, Segment, SegmentSlot},
};

/// Key of a non-repeatable call: digest of workspace, service and idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey(#[serde(with = "bytes16")] pub [u8; 16]);

/// Digest of a call's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BodyDigest(#[serde(with = "bytes16")] pub [u8; 16]);

/// Encodes arrays as binary strings; in a sequence, `MessagePack` uses two bytes for half of the values.
mod bytes16 {
    use serde::{Deserializer, Serializer, de};

    pub fn serialize<S: Serializer>(bytes: &[u8; 16], s: S) -> Result<S::Ok, S::Error> {
        s.serialize_bytes(bytes)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<[u8; 16], D::Error> {
        d.deserialize_bytes(Visitor)
    }

    struct Visitor;

    impl de::Visitor<'_> for Visitor {
        type Value = [u8; 16];

        fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            f.write_str("16 bytes")
        }

        fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<[u8; 16], E> {
            bytes.try_into().map_err(|_| E::invalid_length(bytes.len(), &self))
        }
    }
}

/// Encodes copies of answers as binary strings, for the same reason.
mod bytes_copy {
    use serde::{Deserializer, Serializer, de};

    // serde's `with` requires this signature.
    #[allow(clippy::ref_option)]
    pub fn serialize<S: Serializer>(body: &Option<Vec<u8>>, s: S) -> Result<S::Ok, S::Error> {
        match body {
            Some(body) => s.serialize_bytes(body),
            None => s.serialize_unit(),
        }
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Option<Vec<u8>>, D::Error> {
        d.deserialize_any(Visitor)
    }

    struct Visitor;

    impl de::Visitor<'_> for Visitor {
        type Value = Option<Vec<u8>>;

        fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            f.write_str("bytes or nothing")
        }

        fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Self::Value, E> {
            Ok(Some(bytes.to_vec()))
        }

        fn visit_unit<E: de::Error>(self) -> Result<Self::Value, E> {
            Ok(None)
        }
    }
}

fn truncated_sha256(fields: &[&[u8]]) -> [u8; 16] {
    let mut hash = Sha256::new();
    for field in fields {
        // The length distinguishes ("ab", "c") from ("a", "bc").
        hash.update((field.len() as u64).to_le_bytes());
        hash.update(field);
    }
    let mut digest = [0; 16];
    digest.copy_from_slice(&hash.finalize()[..16]);
    digest
}

impl ClaimKey {
    /// Computes the key of a call.
    ///
    /// ```
    /// use lw_claim::record::ClaimKey;
    /// assert_ne!(ClaimKey::new("ab", "c", "k"), ClaimKey::new("a", "bc", "k"));
    /// ```
    #[must_use]
    pub fn new(workspace: &str, service: &str, idempotency_key: &str) -> Self {
        Self(truncated_sha256(&[
            workspace.as_bytes(),
            service.as_bytes(),
            idempotency_key.as_bytes(),
        ]))
    }
}

impl BodyDigest {
    /// Computes the digest of a body with its method and path, so that a different call with the same key is
    /// detected.
    ///
    /// ```
    /// use lw_claim::record::BodyDigest;
    /// assert_ne!(BodyDigest::new("POST", "/book", b"1"), BodyDigest::new("POST", "/book", b"2"));
    /// ```
    #[must_use]
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        Self(truncated_sha256(&[method.as_bytes(), path.as_bytes(), body]))
    }
}

/// Outcome of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The service answered.
    Done {
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer.
        body: Vec<u8>,
    },
    /// The call was provably not sent.
    NotRun,
    /// The call was sent and no answer was received.
    Unknown,
}

/// State of a claim.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum State {
    /// Claimed by this attempt; it may have run.
    Claimed(AttemptId),
    /// Has run; status and, if it is small and recent, body of the answer.
    Done(u16, #[serde(with = "bytes_copy")] Option<Vec<u8>>),
    /// Released by this attempt without running; another attempt may claim the key.
    NotRun(AttemptId),
    /// Sent, with an unknown outcome.
    Unknown,
}

/// One claim.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Digest of the call's body.
    pub digest: BodyDigest,
    /// Unix time of the last change in seconds.
    pub time_s: u64,
    /// State of the claim.
    pub state: State,
}

/// Upper bound of the encoded size of a key and a finished record without its answer: 18 bytes for the key,
/// 18 for the digest, 5 for the time, 12 for the state, and headers.
const RECORD_BYTES_MAX: usize = 58;
/// Upper bound of the encoded size of an attempt id without the VM's name.
const ATTEMPT_ID_BYTES_MAX: usize = 24;

impl Record {
    /// Returns the time since the last change.
    pub(crate) fn age(&self, unix: Duration) -> Duration {
        unix.saturating_sub(Duration::from_secs(self.time_s))
    }

    /// Returns the reply to a claim request for this record, or `None` if the key may be claimed.
    pub(crate) fn claim_status(
        &self,
        digest: BodyDigest,
        attempt: &AttemptId,
        unix: Duration,
        options: &Options,
    ) -> Option<ClaimStatus> {
        let claim_status = match &self.state {
            State::NotRun(released) if released == attempt => {
                ClaimStatus::Refused { maybe_written: false }
            }
            State::NotRun(_) => return None,
            _ if self.digest != digest => ClaimStatus::KeyReused,
            State::Claimed(by) if by == attempt => ClaimStatus::Granted,
            State::Claimed(by) => ClaimStatus::Held(by.clone()),
            State::Done(status, body) => {
                let is_recent = self.age(unix) < options.answer_retention;
                ClaimStatus::Done { status: *status, body: body.clone().filter(|_| is_recent) }
            }
            State::Unknown => ClaimStatus::Unknown,
        };
        Some(claim_status)
    }

    fn is_finished(&self) -> bool {
        matches!(self.state, State::Done(..) | State::Unknown)
    }

    fn size(&self) -> usize {
        RECORD_BYTES_MAX
            + match &self.state {
                State::Claimed(by) | State::NotRun(by) => ATTEMPT_ID_BYTES_MAX + by.vm.len(),
                State::Done(_, body) => body.as_ref().map_or(0, |body| body.len() + 3),
                State::Unknown => 0,
            }
    }
}

/// The recent records of one bucket, and references to the segments with the older ones.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Value {
    records: BTreeMap<ClaimKey, Record>,
    /// Slots of the segments, by number.
    #[serde(rename = "places")]
    slots: Vec<SegmentSlot>,
    /// Upper bound of the encoded size of the records in bytes.
    #[serde(skip)]
    bytes: usize,
}

impl Value {
    /// Decodes a stored value.
    ///
    /// # Errors
    ///
    /// Returns the reason why the bytes are not an encoded value.
    ///
    /// ```
    /// use lw_claim::record::Value;
    /// let value = Value::default();
    /// assert_eq!(Value::decode(&value.encode()).unwrap(), value);
    /// ```
    pub fn decode(bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        let mut value: Self = rmp_serde::from_slice(bytes)?;
        value.recount_bytes();
        Ok(value)
    }

    /// Encodes the value for the store.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self)
            .unwrap_or_else(|e| unreachable!("encoding a bucket value cannot fail: {e}"))
    }

    /// Returns the record of a key, if it is in this value.
    #[must_use]
    pub fn get(&self, key: &ClaimKey) -> Option<&Record> {
        self.records.get(key)
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes expired records and expired copies of answers.
    pub fn expire(&mut self, unix: Duration, options: &Options) {
        self.records.retain(|_, record| record.age(unix) < options.retention);
        for record in self.records.values_mut() {
            let age = record.age(unix);
            if let State::Done(_, body @ Some(_)) = &mut record.state
                && age >= options.answer_retention
            {
                *body = None;
            }
        }
        self.recount_bytes();
    }

    /// Claims a key for an attempt if this is allowed. Returns the status of the claim and whether the value
    /// has changed.
    pub fn claim(
        &mut self,
        key: ClaimKey,
        digest: BodyDigest,
        attempt: &AttemptId,
        unix: Duration,
        options: &Options,
    ) -> (ClaimStatus, bool) {
        let existing = self.records.get(&key);
        if let Some(claim_status) =
            existing.and_then(|r| r.claim_status(digest, attempt, unix, options))
        {
            return (claim_status, false);
        }
        let state = State::Claimed(attempt.clone());
        let record = Record { digest, time_s: unix.as_secs(), state };
        let size = record.size();
        if !self.ensure_capacity(size, options) {
            return (ClaimStatus::Refused { maybe_written: false }, false);
        }
        self.bytes += size;
        if let Some(old) = self.records.insert(key, record) {
            self.bytes -= old.size();
        }
        (ClaimStatus::Granted, true)
    }

    /// Records an outcome if `attempt` holds the claim. Returns whether the value has changed.
    pub fn record(
        &mut self,
        key: ClaimKey,
        attempt: &AttemptId,
        outcome: &Outcome,
        unix: Duration,
        options: &Options,
    ) -> bool {
        match self.records.get(&key) {
            Some(Record { state: State::Claimed(by), .. }) if by == attempt => {}
            _ => return false,
        }
        let state = match outcome {
            Outcome::Done { status, body } => {
                let is_copied = body.len() <= options.max_answer_bytes
                    && self.bytes + body.len() <= options.max_value_bytes;
                State::Done(*status, is_copied.then(|| body.clone()))
            }
            Outcome::NotRun => State::NotRun(attempt.clone()),
            Outcome::Unknown => State::Unknown,
        };
        if let Some(record) = self.records.get_mut(&key) {
            let old = record.size();
            record.state = state;
            record.time_s = unix.as_secs();
            self.bytes = self.bytes + record.size() - old;
        }
        true
    }

    /// Returns an upper bound of the encoded size of the records in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn recount_bytes(&mut self) {
        self.bytes = self.records.values().map(Record::size).sum();
    }

    /// Returns number and revision of the segment slots with records that have not expired.
    pub(crate) fn live_slots(
        &self,
        unix: Duration,
        options: &Options,
    ) -> impl Iterator<Item = (u32, Revision)> {
        let live = (0..).zip(&self.slots).filter(move |(_, slot)| slot.is_live(unix, options));
        live.map(|(number, slot)| (number, slot.revision))
    }

    /// Returns the finished records once they are large enough for a segment, with number and revision of the slot to
    /// write it to.
    pub(crate) fn due_segment(
        &self,
        unix: Duration,
        options: &Options,
    ) -> Option<(u32, Revision, Segment)> {
        let finished = || self.records.iter().filter(|(_, record)| record.is_finished());
        if finished().map(|(_, record)| record.size()).sum::<usize>() < options.segment_bytes {
            return None;
        }
        let free = self.slots.iter().position(|slot| slot.is_free(unix, options));
        let slot = free.or_else(|| Some(self.slots.len()).filter(|n| *n < SEGMENTS_MAX))?;
        let revision = self.slots.get(slot).map_or(0, |slot| slot.revision);
        let records = finished().map(|(key, record)| (*key, record.clone())).collect();
        Some((u32::try_from(slot).ok()?, revision, Segment { records }))
    }

    /// Sets a segment slot after a segment was written to it, or if it has an unexpected revision.
    pub(crate) fn set_slot(&mut self, number: u32, slot: SegmentSlot) {
        let index = number as usize;
        if self.slots.len() <= index {
            self.slots.resize(index + 1, SegmentSlot::default());
        }
        self.slots[index] = slot;
    }

    /// Removes the records that are in a segment.
    pub(crate) fn remove_segment_records(&mut self, segment: &Segment) {
        self.records.retain(|key, _| !segment.records.contains_key(key));
        self.recount_bytes();
    }

    /// Ensures capacity for `additional_bytes` bytes, if necessary by removing released records and copies of answers.
    /// Returns false if the bucket is full of records that prevent a call from running twice; these are kept.
    fn ensure_capacity(&mut self, additional_bytes: usize, options: &Options) -> bool {
        if self.bytes + additional_bytes <= options.max_value_bytes {
            return true;
        }
        self.records.retain(|_, record| !matches!(record.state, State::NotRun(_)));
        for record in self.records.values_mut() {
            if let State::Done(_, body) = &mut record.state {
                *body = None;
            }
        }
        self.recount_bytes();
        self.bytes + additional_bytes <= options.max_value_bytes
    }
}
