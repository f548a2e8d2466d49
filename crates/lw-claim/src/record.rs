//! Claim records and the value of one bucket.

use std::{collections::BTreeMap, time::Duration};

use lw_types::prelude::*;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    message::{AttemptId, ClaimStatus},
    options::Options,
    segment::{Place, SEGMENTS_MAX, Segment},
};

/// Key of a non-repeatable call: digest of workspace, service and idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey(#[serde(with = "bytes16")] pub [u8; 16]);

/// Digest of a call's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BodyDigest(#[serde(with = "bytes16")] pub [u8; 16]);

/// Arrays as binary strings; as a sequence, `MessagePack` needs two bytes for half of the values.
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

/// Copies of answers as binary strings, for the same reason.
mod bytes_copy {
    use serde::{Deserializer, Serializer, de};

    // The signature is given by serde's `with`.
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

fn short_digest(parts: &[&[u8]]) -> [u8; 16] {
    let mut hash = Sha256::new();
    for part in parts {
        // The length keeps ("ab", "c") and ("a", "bc") apart.
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    let mut out = [0; 16];
    out.copy_from_slice(&hash.finalize()[..16]);
    out
}

impl ClaimKey {
    /// The key of a call.
    ///
    /// ```
    /// use lw_claim::record::ClaimKey;
    /// assert_ne!(ClaimKey::new("ab", "c", "k"), ClaimKey::new("a", "bc", "k"));
    /// ```
    #[must_use]
    pub fn new(workspace: &str, service: &str, idempotency_key: &str) -> Self {
        Self(short_digest(&[workspace.as_bytes(), service.as_bytes(), idempotency_key.as_bytes()]))
    }
}

impl BodyDigest {
    /// The digest of a body. The caller passes the method and path as well, so that another call under
    /// the same key is noticed.
    ///
    /// ```
    /// use lw_claim::record::BodyDigest;
    /// assert_ne!(BodyDigest::new("POST", "/book", b"1"), BodyDigest::new("POST", "/book", b"2"));
    /// ```
    #[must_use]
    pub fn new(method: &str, path: &str, body: &[u8]) -> Self {
        Self(short_digest(&[method.as_bytes(), path.as_bytes(), body]))
    }
}

/// How a claimed call ended.
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
    /// The call was sent and no answer came.
    Unknown,
}

/// State of a claim.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum State {
    /// Claimed by this attempt; it may have run.
    Claimed(AttemptId),
    /// Ran; the answer if it was small and is recent.
    Done(u16, #[serde(with = "bytes_copy")] Option<Vec<u8>>),
    /// Released by this attempt without a run; another attempt may claim the key.
    NotRun(AttemptId),
    /// Sent, with an outcome that was never learnt.
    Unknown,
}

/// One claim.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Digest of the body.
    pub digest: BodyDigest,
    /// Unix time of the last change in seconds.
    pub time_s: u64,
    /// State of the claim.
    pub state: State,
}

/// Upper bound of the encoded size of a key and a finished record without its answer, in bytes: 18 for
/// the key, 18 for the digest, 5 for the time, 12 for the state, and headers.
const RECORD_BYTES: usize = 58;
/// What an attempt id adds to it, without the VM's name, in bytes.
const ATTEMPT_BYTES: usize = 24;

impl Record {
    /// Time since the last change.
    pub(crate) fn age(&self, unix: Duration) -> Duration {
        unix.saturating_sub(Duration::from_secs(self.time_s))
    }

    /// What a claim finds here; `None` if it may take the key.
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
        RECORD_BYTES
            + match &self.state {
                State::Claimed(by) | State::NotRun(by) => ATTEMPT_BYTES + by.vm.len(),
                State::Done(_, body) => body.as_ref().map_or(0, |body| body.len() + 3),
                State::Unknown => 0,
            }
    }
}

/// The recent records of one bucket, and where the sealed ones are.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Value {
    records: BTreeMap<ClaimKey, Record>,
    /// Places of the sealed segments.
    places: Vec<Place>,
    /// Upper bound of the encoded size in bytes.
    #[serde(skip)]
    bytes: usize,
}

impl Value {
    /// Decodes a stored value.
    ///
    /// # Errors
    ///
    /// Names the fault in bytes that are not an encoded value.
    ///
    /// ```
    /// use lw_claim::record::Value;
    /// let value = Value::default();
    /// assert_eq!(Value::decode(&value.encode()).unwrap(), value);
    /// ```
    pub fn decode(bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        let mut value: Self = rmp_serde::from_slice(bytes)?;
        value.count_bytes();
        Ok(value)
    }

    /// Encodes the value for the store.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).unwrap_or_else(|e| unreachable!("a value always encodes: {e}"))
    }

    /// The record of a key.
    #[must_use]
    pub fn get(&self, key: &ClaimKey) -> Option<&Record> {
        self.records.get(key)
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Drops records past their retention and copies of answers past theirs.
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
        self.count_bytes();
    }

    /// Claims a key for an attempt where that is allowed. Returns the finding and whether the value
    /// changed.
    pub fn claim(
        &mut self,
        key: ClaimKey,
        digest: BodyDigest,
        attempt: &AttemptId,
        unix: Duration,
        options: &Options,
    ) -> (ClaimStatus, bool) {
        let known = self.records.get(&key);
        if let Some(claim_status) =
            known.and_then(|r| r.claim_status(digest, attempt, unix, options))
        {
            return (claim_status, false);
        }
        let state = State::Claimed(attempt.clone());
        let record = Record { digest, time_s: unix.as_secs(), state };
        let size = record.size();
        if !self.make_room(size, options) {
            return (ClaimStatus::Refused { maybe_written: false }, false);
        }
        self.bytes += size;
        if let Some(old) = self.records.insert(key, record) {
            self.bytes -= old.size();
        }
        (ClaimStatus::Granted, true)
    }

    /// Records an outcome. Only the attempt that holds the claim changes it. Returns whether the value
    /// changed.
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
                let copied = body.len() <= options.max_answer_bytes
                    && self.bytes + body.len() <= options.max_value_bytes;
                State::Done(*status, copied.then(|| body.clone()))
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

    /// Upper bound of the encoded size in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn count_bytes(&mut self) {
        self.bytes = self.records.values().map(Record::size).sum();
    }

    /// The places of segments whose records still count.
    pub(crate) fn live_places(
        &self,
        unix: Duration,
        options: &Options,
    ) -> impl Iterator<Item = (u32, Revision)> {
        let live = (0..).zip(&self.places).filter(move |(_, place)| place.is_live(unix, options));
        live.map(|(number, place)| (number, place.revision))
    }

    /// The finished records, with the place to write them to, when they are large enough for a segment.
    pub(crate) fn segment_due(
        &self,
        unix: Duration,
        options: &Options,
    ) -> Option<(u32, Revision, Segment)> {
        let finished = || self.records.iter().filter(|(_, record)| record.is_finished());
        if finished().map(|(_, record)| record.size()).sum::<usize>() < options.segment_bytes {
            return None;
        }
        let free = self.places.iter().position(|place| place.is_free(unix, options));
        let place = free.or_else(|| Some(self.places.len()).filter(|n| *n < SEGMENTS_MAX))?;
        let revision = self.places.get(place).map_or(0, |place| place.revision);
        let records = finished().map(|(key, record)| (*key, record.clone())).collect();
        Some((u32::try_from(place).ok()?, revision, Segment { records }))
    }

    /// Sets a place: after a segment was written there, or when it has an unexpected revision.
    pub(crate) fn set_place(&mut self, number: u32, place: Place) {
        let index = number as usize;
        if self.places.len() <= index {
            self.places.resize(index + 1, Place::default());
        }
        self.places[index] = place;
    }

    /// Drops the records that a segment holds.
    pub(crate) fn drop_sealed(&mut self, segment: &Segment) {
        self.records.retain(|key, _| !segment.records.contains_key(key));
        self.count_bytes();
    }

    /// Makes room by dropping released records and copies of answers. Records that keep a call from
    /// running twice stay; a bucket full of them takes no new claims.
    fn make_room(&mut self, more: usize, options: &Options) -> bool {
        if self.bytes + more <= options.max_value_bytes {
            return true;
        }
        self.records.retain(|_, record| !matches!(record.state, State::NotRun(_)));
        for record in self.records.values_mut() {
            if let State::Done(_, body) = &mut record.state {
                *body = None;
            }
        }
        self.count_bytes();
        self.bytes + more <= options.max_value_bytes
    }
}
