//! Collects answers of upstreams within limits on their size, since a faulty upstream may send bytes without end.

use std::{
    fmt::Display,
    sync::atomic::{AtomicUsize, Ordering},
};

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http_body::Body;
use http_body_util::BodyExt;

/// Largest body of an answer that is collected before it is forwarded.
pub const ANSWER_MAX_BYTES: usize = 4 << 20;

/// Length below which the data of chunks is copied.
const SHORT_CHUNK_MAX_BYTES: usize = 4 << 10;
/// Length of the buffers into which it is copied.
const SHORT_CHUNKS_BYTES: usize = 4 * SHORT_CHUNK_MAX_BYTES;

/// Why an answer was not collected.
#[derive(Debug, Display, Error)]
pub enum CollectError {
    /// The connection broke before the end of the body.
    #[display("connection broke before the end of its body: {_0}")]
    Broken(#[error(not(source))] String),
    /// The body is larger than [`ANSWER_MAX_BYTES`].
    #[display("its body is larger than {ANSWER_MAX_BYTES} bytes")]
    TooLarge,
    /// The answers that are being collected use all the memory that is set aside for them.
    #[display("no memory left for its body")]
    MemoryExhausted,
}

/// Limits the memory of the answers that are being collected, over all requests.
#[derive(Debug)]
pub struct AnswerMemory {
    used_bytes: AtomicUsize,
    max_bytes: usize,
}

impl AnswerMemory {
    /// Returns a limit of `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self { used_bytes: AtomicUsize::new(0), max_bytes }
    }

    /// Bytes that are in use.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Acquire)
    }

    /// Collects a complete body. Its connection is closed at once when the body is too large.
    ///
    /// # Errors
    ///
    /// Any [`enum@CollectError`].
    pub async fn collect<B>(&self, mut body: B) -> Result<Bytes, CollectError>
    where
        B: Body<Data = Bytes, Error: Display> + Unpin,
    {
        if body.size_hint().lower() > u64::try_from(ANSWER_MAX_BYTES).unwrap_or(u64::MAX) {
            return Err(CollectError::TooLarge);
        }
        let mut collected = Collected::new(self);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| CollectError::Broken(e.to_string()))?;
            // Trailers are not forwarded.
            if let Ok(data) = frame.into_data() {
                collected.push(data)?;
            }
        }
        Ok(collected.into_bytes())
    }
}

/// The part of a body that was received so far.
struct Collected<'a> {
    reservation: Reservation<'a>,
    chunks: Vec<Bytes>,
    /// Data of short chunks after `chunks`. Each chunk of its own would use much more memory than its data.
    short: BytesMut,
    len: usize,
}

impl<'a> Collected<'a> {
    fn new(memory: &'a AnswerMemory) -> Self {
        let reservation = Reservation { memory, bytes: 0 };
        Self { reservation, chunks: Vec::new(), short: BytesMut::new(), len: 0 }
    }

    fn push(&mut self, data: Bytes) -> Result<(), CollectError> {
        self.len += data.len();
        if self.len > ANSWER_MAX_BYTES {
            return Err(CollectError::TooLarge);
        }
        let is_first = self.chunks.is_empty() && self.short.is_empty();
        if is_first || data.len() >= SHORT_CHUNK_MAX_BYTES {
            self.reservation.extend(data.len())?;
            self.flush_short();
            self.chunks.push(data);
            return Ok(());
        }
        if self.short.capacity() - self.short.len() < data.len() {
            self.reservation.extend(SHORT_CHUNKS_BYTES)?;
            self.flush_short();
            self.short = BytesMut::with_capacity(SHORT_CHUNKS_BYTES);
        }
        self.short.extend_from_slice(&data);
        Ok(())
    }

    fn flush_short(&mut self) {
        if !self.short.is_empty() {
            self.chunks.push(std::mem::take(&mut self.short).freeze());
        }
    }

    fn into_bytes(mut self) -> Bytes {
        self.flush_short();
        match self.chunks.as_slice() {
            [] => Bytes::new(),
            [only] => only.clone(),
            chunks => chunks.concat().into(),
        }
    }
}

/// The memory that one body uses, which is released on drop.
struct Reservation<'a> {
    memory: &'a AnswerMemory,
    bytes: usize,
}

impl Reservation<'_> {
    fn extend(&mut self, bytes: usize) -> Result<(), CollectError> {
        self.bytes += bytes;
        let before = self.memory.used_bytes.fetch_add(bytes, Ordering::AcqRel);
        if before + bytes > self.memory.max_bytes {
            Err(CollectError::MemoryExhausted)
        } else {
            Ok(())
        }
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.memory.used_bytes.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
