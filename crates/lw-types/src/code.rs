//! Numbered result codes of caller and operator answers.
//!
//! `docs/result-codes.md` has the same table; a test compares the two.

use derive_more::Display;

/// Whether a request did any work at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Executed {
    /// Nothing was sent to an upstream that could have run it.
    #[display("no")]
    No,
    /// An upstream ran it, wholly or in part.
    #[display("yes")]
    Yes,
    /// It may have run; the outcome could not be learnt.
    #[display("unknown")]
    Unknown,
}

macro_rules! codes {
    ($($(#[doc = $doc:literal])+ $variant:ident = $number:literal, $name:literal, $status:literal, $ran:ident, $retry:literal;)+) => {
        /// Outcome of a request, with a stable number.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum ResultCode {
            $($(#[doc = $doc])+ $variant,)+
        }

        impl ResultCode {
            /// All codes in the order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$variant,)+];

            /// The stable number.
            ///
            /// ```
            /// assert_eq!(lw_types::code::ResultCode::Ok.number(), 1000);
            /// ```
            #[must_use]
            pub fn number(self) -> u16 {
                match self { $(Self::$variant => $number,)+ }
            }

            /// The stable name, used as `code` in error bodies.
            ///
            /// ```
            /// assert_eq!(lw_types::code::ResultCode::Overloaded.name(), "overloaded");
            /// ```
            #[must_use]
            pub fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)+ }
            }

            /// The HTTP status of an answer with this code.
            ///
            /// ```
            /// assert_eq!(lw_types::code::ResultCode::Overloaded.http_status(), 503);
            /// ```
            #[must_use]
            pub fn http_status(self) -> u16 {
                match self { $(Self::$variant => $status,)+ }
            }

            /// Whether anything ran at an upstream.
            ///
            /// ```
            /// use lw_types::code::{Executed, ResultCode};
            /// assert_eq!(ResultCode::Overloaded.executed(), Executed::No);
            /// ```
            #[must_use]
            pub fn executed(self) -> Executed {
                match self { $(Self::$variant => Executed::$ran,)+ }
            }

            /// Whether the same request may succeed later without a change.
            ///
            /// ```
            /// assert!(lw_types::code::ResultCode::Overloaded.may_retry());
            /// ```
            #[must_use]
            pub fn may_retry(self) -> bool {
                match self { $(Self::$variant => $retry,)+ }
            }
        }
    };
}

codes! {
    /// The answer is complete.
    Ok = 1000, "ok", 200, Yes, false;
    /// The body is not valid JSON or not valid UTF-8.
    MalformedBody = 2000, "malformed_body", 400, No, false;
    /// A field is missing, of the wrong type or out of range.
    InvalidField = 2001, "invalid_field", 400, No, false;
    /// The API key names no workspace.
    UnknownKey = 2002, "unknown_key", 401, No, false;
    /// The workspace may not use this model, adapter or service.
    NotAllowed = 2003, "not_allowed", 403, No, false;
    /// No such model.
    UnknownModel = 2004, "unknown_model", 404, No, false;
    /// No such adapter of the model.
    UnknownAdapter = 2005, "unknown_adapter", 404, No, false;
    /// No such service.
    UnknownService = 2006, "unknown_service", 404, No, false;
    /// No such path or method.
    UnknownPath = 2007, "unknown_path", 404, No, false;
    /// The prompt is longer than the model allows.
    PromptTooLong = 2008, "prompt_too_long", 400, No, false;
    /// The body is larger than the limit.
    BodyTooLarge = 2009, "body_too_large", 413, No, false;
    /// The caller sent its body too slowly.
    BodyTimeout = 2010, "body_timeout", 408, No, true;
    /// The idempotency key was used with another body.
    KeyReused = 2011, "idempotency_key_reused", 422, No, false;
    /// The headers are more or larger than the limit.
    HeadersTooLarge = 2012, "headers_too_large", 431, No, false;
    /// A call that may not be repeated came without an idempotency key.
    KeyMissing = 2013, "idempotency_key_missing", 400, No, false;
    /// The engines cannot answer before the deadline.
    Overloaded = 3000, "overloaded", 503, No, true;
    /// The workspace is above its limit.
    WorkspaceLimit = 3001, "workspace_limit", 429, No, true;
    /// No upstream for the request is available.
    NoUpstream = 3002, "no_upstream", 503, No, true;
    /// The platform's store did not take the claim.
    ClaimUnavailable = 3003, "claim_unavailable", 503, No, true;
    /// The VM is leaving.
    Draining = 3004, "draining", 503, No, true;
    /// The VM has no configuration yet.
    NotReady = 3005, "not_ready", 503, No, true;
    /// A call with the same idempotency key is still running.
    InProgress = 3006, "in_progress", 409, Unknown, true;
    /// The upstream could not be reached and did not receive the call.
    NotSent = 3007, "not_sent", 502, No, true;
    /// The deadline passed before the answer was complete.
    DeadlineExceeded = 4000, "deadline_exceeded", 504, Yes, true;
    /// The stream broke and could not be resumed.
    StreamBroken = 4001, "stream_broken", 502, Yes, true;
    /// The call was sent and its outcome is not known.
    OutcomeUnknown = 4002, "outcome_unknown", 502, Unknown, false;
    /// The upstream answered with an error.
    UpstreamError = 4003, "upstream_error", 502, Yes, true;
    /// The patch names a version that is not the current one.
    StaleVersion = 5000, "stale_version", 409, No, false;
    /// The patched configuration is not valid.
    InvalidConfig = 5001, "invalid_config", 422, No, false;
    /// The platform's store is not available.
    StoreUnavailable = 5002, "store_unavailable", 503, No, true;
    /// The operator token is wrong.
    OperatorDenied = 5003, "operator_denied", 401, No, false;
    /// The store did not confirm the change; it may be in force.
    StoreUnknown = 5004, "store_unknown", 502, Unknown, false;
    /// The request id is not in this VM's decision log.
    UnknownRequest = 5005, "unknown_request", 404, No, false;
    /// A fault of the router itself.
    Internal = 6000, "internal", 500, Unknown, false;
}
