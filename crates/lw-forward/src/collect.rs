//! Collects answers of upstreams within limits on their size, since a faulty upstream may send bytes without end.

use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body::Body;
use http_body_util::BodyExt;

use crate::pool::UpstreamAnswerBody;

/// Largest body of an answer that is collected before it is forwarded.
pub const ANSWER_MAX_BYTES: usize = 4 << 20;

/// Why an answer was not collected.
#[derive(Debug, Display, Error)]
pub enum CollectError {
    /// The connection broke before the end of the body.
    #[display("connection broke before the end of its body: {_0}")]
    Broken(hyper::Error),
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
    pub async fn collect(&self, mut body: UpstreamAnswerBody) -> Result<Bytes, CollectError> {
        if body.size_hint().lower() > u64::try_from(ANSWER_MAX_BYTES).unwrap_or(u64::MAX) {
            return Err(CollectError::TooLarge);
        }
        let mut reservation = Reservation { memory: self, bytes: 0 };
        let mut chunks: Vec<Bytes> = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(CollectError::Broken)?;
            // Trailers are not forwarded.
            let Ok(data) = frame.into_data() else { continue };
            // Each chunk uses memory for its `Bytes` too, however short its data is.
            reservation.extend(data.len() + size_of::<Bytes>())?;
            chunks.push(data);
        }
        match chunks.pop() {
            Some(only) if chunks.is_empty() => Ok(only),
            Some(last) => {
                chunks.push(last);
                Ok(chunks.concat().into())
            }
            None => Ok(Bytes::new()),
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
        if self.bytes > ANSWER_MAX_BYTES {
            return Err(CollectError::TooLarge);
        }
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
