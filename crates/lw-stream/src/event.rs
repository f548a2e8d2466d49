//! Events that the assembler processes and actions that it returns.

use derive_more::Display;
use lw_types::prelude::*;

/// Source of an upstream event, as the event itself names it.
#[derive(Debug, Clone, Copy)]
pub struct EventSource<'a> {
    /// Request that the event belongs to.
    pub request: &'a str,
    /// Attempt that the event belongs to.
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
    /// Tokens of the prompt that the engine took from its prefix cache.
    pub cached_prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
}

/// End of an answer as the engine reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct End {
    /// Reason as the engine names it, for instance `stop` or `length`.
    pub finish_reason: String,
    /// Number of tokens of the complete answer, including those before a resume.
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
        /// Incarnation of the engine if known; otherwise that of the attempt's first event becomes binding.
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
    /// The engine reports that the answer is complete. Earlier tokens may still be missing.
    End {
        /// Source of the report.
        source: EventSource<'a>,
        /// Token count, reason and usage.
        end: End,
    },
    /// The connection of an attempt closed before the stream ended.
    Closed {
        /// The attempt.
        attempt: Attempt,
    },
    /// The engine answered an attempt with an error, or the attempt could not be sent.
    Failed {
        /// The attempt.
        attempt: Attempt,
        /// Result code of the failure. One that may not be retried ends the stream when no other attempt runs.
        code: ResultCode,
    },
    /// An attempt requested by [`Action::Start`] is not made, for instance because the retry budget is spent.
    StartRefused {
        /// The attempt of a [`Action::Start`].
        attempt: Attempt,
        /// Reported to the caller when no other attempt runs.
        code: ResultCode,
    },
    /// Requests a hedge: a second attempt beside the first. Ignored after the first token.
    Hedge,
    /// The stream must end: the deadline passed or the caller disconnected.
    Abort {
        /// Reported to the caller.
        code: ResultCode,
    },
    /// The time of [`Assembler::next_tick`](crate::assembler::Assembler::next_tick) has come.
    Tick,
}

/// Why an attempt is started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Cause {
    /// It is the first attempt.
    #[display("first")]
    First,
    /// It is a hedge, because the first token has not arrived in time.
    #[display("hedge")]
    Hedge,
    /// The connection of the previous attempt closed before the stream ended.
    #[display("closed")]
    Closed,
    /// The previous attempt failed with this code.
    #[display("failed: {}", _0.name())]
    Failed(ResultCode),
    /// The running attempts have sent nothing new for some time. They run on beside the new one.
    #[display("silence")]
    Unresponsive,
    /// A token of the previous attempt did not arrive in time, or too many arrived out of order.
    #[display("gap")]
    Gap,
    /// The previous attempt answered from another version or incarnation, or its token count did not match its tokens.
    #[display("mismatch")]
    Mismatch,
}

/// Output of one step, to be carried out in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Sends text to the caller.
    Deliver {
        /// Position of the token; each position is delivered once, in order.
        index: TokenIndex,
        /// Text of the token.
        text: String,
    },
    /// Sends an attempt to an engine, which must not be one that already failed this request.
    Start {
        /// Number of the attempt.
        attempt: Attempt,
        /// Index of the first token that the attempt must produce.
        resume_from: TokenIndex,
        /// Why the attempt is needed.
        cause: Cause,
    },
    /// Cancels an attempt at its engine.
    Cancel {
        /// Number of the attempt.
        attempt: Attempt,
    },
    /// The answer is complete and delivered.
    Finish(End),
    /// The answer cannot be completed; the caller gets an explicit error.
    Fail(ResultCode),
}
