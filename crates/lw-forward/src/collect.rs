//! Collects answers of upstreams within limits on their size, since a faulty upstream may send bytes without end.

use std::{fmt::Display, sync::Arc};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body::Body;
use http_body_util::BodyExt;

use crate::intake::{Buffer, CallerMemory, Holder};

/// Largest body of an answer that is collected before it is forwarded.
pub const ANSWER_MAX_BYTES: usize = 4 << 20;

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

/// Collects answers in the memory for callers' bytes.
#[derive(Debug)]
pub struct AnswerMemory {
    memory: Arc<CallerMemory>,
}

impl AnswerMemory {
    /// Returns a collector that accounts for its answers in `memory`.
    #[must_use]
    pub fn new(memory: Arc<CallerMemory>) -> Self {
        Self { memory }
    }

    /// Bytes of answers that are in use: of those that are being collected, and of those that callers have not read.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.memory.used().answers
    }

    /// Collects a complete body. Its connection is closed at once when the body is too large. The memory of the result is
    /// accounted for until its last copy is dropped.
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
        let announced = body.size_hint().exact();
        let mut buffer = Buffer::new(self.memory.hold(Holder::Answer, announced), announced);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| CollectError::Broken(e.to_string()))?;
            // Trailers are not forwarded.
            let Ok(data) = frame.into_data() else { continue };
            if buffer.len() + data.len() > ANSWER_MAX_BYTES {
                return Err(CollectError::TooLarge);
            }
            buffer.push(&data).map_err(|_| CollectError::MemoryExhausted)?;
        }
        Ok(buffer.into_bytes())
    }
}
