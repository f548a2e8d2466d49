//! Events that the assembler takes and actions that it returns.

use derive_more::Display;
use lw_types::prelude::*;

/// What an upstream event says about its source.
#[derive(Debug, Clone, Copy)]
pub struct EventSource<'a> {
    /// Request that the event answers.
    pub request: &'a str,
    /// Attempt that the event answers.
    pub attempt: Attempt,
    /// Incarnation of the engine that produced it.
    pub incarnation: Incarnation,
    /// Version of the weights that produced it.
    pub version: &'a str,
}

/// Token counts of one answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that came from the engine's cache.
    pub cached_prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
}

/// The engine's statement that the answer is complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct End {
    /// Reason as the engine names it, for instance `stop` or `length`.
    pub finish_reason: String,
    /// Tokens of the whole answer, including those before a resume.
    pub tokens: u64,
    /// Token counts to report to the caller.
    pub usage: Usage,
}

/// Input of one step.
#[derive(Debug, Clone)]
pub enum Event<'a> {
    /// An attempt was sent to an engine.
    Started {
        /// The attempt of a [`Action::Start`].
        attempt: Attempt,
        /// Incarnation of the engine if known; otherwise that of the first event is binding.
        incarnation: Option<Incarnation>,
    },
    /// One token of the answer.
    Token {
        /// Source of the token.
        source: EventSource<'a>,
        /// Position in the answer.
        index: TokenIndex,
        /// Text of the token; it may be empty.
        text: String,
    },
    /// The engine has sent the whole answer.
    End {
        /// Source of the statement.
        source: EventSource<'a>,
        /// Token count, reason and usage.
        end: End,
    },
    /// The connection of an attempt closed without an end event that was accepted.
    Closed {
        /// The attempt.
        attempt: Attempt,
    },
    /// An attempt failed with an error answer, or could not be sent.
    Failed {
        /// The attempt.
        attempt: Attempt,
        /// The failure. A code that may not be retried ends the stream.
        code: ResultCode,
    },
    /// An attempt that was asked for is not made, for instance for lack of retry budget.
    StartRefused {
        /// The attempt of a [`Action::Start`].
        attempt: Attempt,
        /// Reported to the caller when no other attempt is under way.
        code: ResultCode,
    },
    /// The router wants a second attempt beside the first. Ignored after the first token.
    Hedge,
    /// The request is given up: the deadline passed or the caller left.
    Abort {
        /// Reported to the caller.
        code: ResultCode,
    },
    /// Time has passed.
    Tick,
}

/// Why an attempt is started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Cause {
    /// It is the first.
    #[display("first")]
    First,
    /// The first token is late.
    #[display("hedge")]
    Hedge,
    /// The connection of the attempt before closed early.
    #[display("closed")]
    Closed,
    /// The attempt before failed with this code.
    #[display("failed: {}", _0.name())]
    Failed(ResultCode),
    /// The attempt before was silent for too long.
    #[display("silence")]
    Unresponsive,
    /// A token of the attempt before did not arrive in time, or too many were out of order.
    #[display("gap")]
    Gap,
    /// The attempt before answered from another version or incarnation, or contradicted its own token count.
    #[display("mismatch")]
    Mismatch,
}

/// Output of one step, to be carried out in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Pass text to the caller.
    Deliver {
        /// Position of the token; each position is delivered once, in order.
        index: TokenIndex,
        /// Text of the token.
        text: String,
    },
    /// Send an attempt to an engine, which must not be one that already failed this request.
    Start {
        /// Number of the attempt.
        attempt: Attempt,
        /// Index of the first token that the attempt must produce.
        resume_from: TokenIndex,
        /// Why the attempt is needed.
        cause: Cause,
    },
    /// Stop an attempt at its engine.
    Cancel {
        /// Number of the attempt.
        attempt: Attempt,
    },
    /// The caller has the whole answer.
    Finish(End),
    /// The answer cannot be completed; the caller gets an explicit error.
    Fail(ResultCode),
}
