//! Collects answers of upstreams within limits on their size, since a faulty upstream may send bytes without end.

use std::{fmt::Display, sync::Arc};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body::Body;

use crate::intake::{BodyError, CallerMemory, Holder, collect_body};

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

impl From<BodyError> for CollectError {
    fn from(e: BodyError) -> Self {
        match e {
            BodyError::TooLarge(_) => Self::TooLarge,
            BodyError::NoRoom(_) => Self::MemoryExhausted,
            BodyError::Broken(why) => Self::Broken(why),
            BodyError::Stalled(_) | BodyError::Late(_) => Self::Broken(e.to_string()),
        }
    }
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
        let hold = self.memory.hold(Holder::Answer, body.size_hint().exact());
        Ok(collect_body(hold, None, &mut body, ANSWER_MAX_BYTES, None).await?)
    }
}
