//! Whole answers of upstreams, with bounds on their size: a faulty upstream may send bytes without end.

use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body::Body;
use http_body_util::BodyExt;

use crate::pool::AnswerBody;

/// Longest answer in bytes that is collected before it is passed on.
pub const ANSWER_MAX_BYTES: usize = 4 << 20;

/// Why an answer was not collected.
#[derive(Debug, Display, Error)]
pub enum CollectError {
    /// The connection broke.
    #[display("its body broke: {_0}")]
    Broken(hyper::Error),
    /// It is longer than [`ANSWER_MAX_BYTES`].
    #[display("its body is longer than {ANSWER_MAX_BYTES} bytes")]
    TooLong,
    /// Too much memory is taken by answers that are being collected.
    #[display("no memory for its body")]
    MemoryExhausted,
}

/// Memory for answers that are being collected, over all requests.
#[derive(Debug)]
pub struct AnswerMemory {
    used: AtomicUsize,
    max: usize,
}

impl AnswerMemory {
    /// Room for `max` bytes.
    #[must_use]
    pub fn new(max: usize) -> Self {
        Self { used: AtomicUsize::new(0), max }
    }

    /// Bytes that are taken.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used.load(Ordering::Acquire)
    }

    /// Collects a body. Its connection is closed at once when it is too long.
    ///
    /// # Errors
    ///
    /// Any [`enum@CollectError`].
    pub async fn collect(&self, mut body: AnswerBody) -> Result<Bytes, CollectError> {
        if body.size_hint().lower() > u64::try_from(ANSWER_MAX_BYTES).unwrap_or(u64::MAX) {
            return Err(CollectError::TooLong);
        }
        let mut taken = Taken { room: self, bytes: 0 };
        let mut pieces: Vec<Bytes> = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(CollectError::Broken)?;
            // Trailers are not passed on.
            let Ok(data) = frame.into_data() else { continue };
            // Each piece takes memory of its own, however short it is.
            taken.take(data.len() + size_of::<Bytes>())?;
            pieces.push(data);
        }
        match pieces.pop() {
            Some(whole) if pieces.is_empty() => Ok(whole),
            Some(last) => {
                pieces.push(last);
                Ok(pieces.concat().into())
            }
            None => Ok(Bytes::new()),
        }
    }
}

/// The room that one body takes.
struct Taken<'a> {
    room: &'a AnswerMemory,
    bytes: usize,
}

impl Taken<'_> {
    fn take(&mut self, bytes: usize) -> Result<(), CollectError> {
        self.bytes += bytes;
        let before = self.room.used.fetch_add(bytes, Ordering::AcqRel);
        if self.bytes > ANSWER_MAX_BYTES {
            return Err(CollectError::TooLong);
        }
        if before + bytes > self.room.max { Err(CollectError::MemoryExhausted) } else { Ok(()) }
    }
}

impl Drop for Taken<'_> {
    fn drop(&mut self) {
        self.room.used.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
