//! Numbered result codes in the answers to callers and operators.
//!
//! `docs/result-codes.md` has the same table; a test compares the two.

use derive_more::Display;

/// Whether an upstream executed any of a request. The text is written out as `ran` in error bodies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Executed {
    /// No upstream executed any of it.
    #[display("no")]
    No,
    /// An upstream executed all or some of it.
    #[display("yes")]
    Yes,
    /// It is not known whether an upstream executed it.
    #[display("unknown")]
    Unknown,
}

macro_rules! codes {
    ($($(#[doc = $doc:literal])+ $variant:ident = $number:literal, $name:literal, $status:literal, $ran:ident, $retry:literal;)+) => {
        /// Outcome of a request, with a number and a name that stay the same in later releases.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum ResultCode {
            $($(#[doc = $doc])+ $variant,)+
        }

        impl ResultCode {
            /// All codes, by ascending number.
            pub const ALL: &[Self] = &[$(Self::$variant,)+];

            /// Returns the number of the code.
            ///
            /// ```
            /// assert_eq!(lw_types::code::ResultCode::Ok.number(), 1000);
            /// ```
            #[must_use]
            pub fn number(self) -> u16 {
                match self { $(Self::$variant => $number,)+ }
            }

            /// Returns the name of the code, which is `code` in error bodies.
            ///
            /// ```
            /// assert_eq!(lw_types::code::ResultCode::Overloaded.name(), "overloaded");
            /// ```
            #[must_use]
            pub fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)+ }
            }

            /// Returns the HTTP status of an answer with this code.
            ///
            /// ```
            /// assert_eq!(lw_types::code::ResultCode::Overloaded.http_status(), 503);
            /// ```
            #[must_use]
            pub fn http_status(self) -> u16 {
                match self { $(Self::$variant => $status,)+ }
            }

            /// Returns whether an upstream executed any of a request with this outcome.
            ///
            /// ```
            /// use lw_types::code::{Executed, ResultCode};
            /// assert_eq!(ResultCode::Overloaded.executed(), Executed::No);
            /// ```
            #[must_use]
            pub fn executed(self) -> Executed {
                match self { $(Self::$variant => Executed::$ran,)+ }
            }

            /// Whether the same request may succeed if the caller sends it again later.
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
    /// The API key belongs to no workspace.
    UnknownKey = 2002, "unknown_key", 401, No, false;
    /// The workspace may not use this model, adapter or service.
    NotAllowed = 2003, "not_allowed", 403, No, false;
    /// The model does not exist.
    UnknownModel = 2004, "unknown_model", 404, No, false;
    /// The model has no adapter of this name.
    UnknownAdapter = 2005, "unknown_adapter", 404, No, false;
    /// The service does not exist.
    UnknownService = 2006, "unknown_service", 404, No, false;
    /// The path does not exist, or not with this method.
    UnknownPath = 2007, "unknown_path", 404, No, false;
    /// The prompt is longer than the model allows.
    PromptTooLong = 2008, "prompt_too_long", 400, No, false;
    /// The body is above its size limit.
    BodyTooLarge = 2009, "body_too_large", 413, No, false;
    /// The caller sent its body too slowly.
    BodyTimeout = 2010, "body_timeout", 408, No, true;
    /// The idempotency key was used with another body.
    KeyReused = 2011, "idempotency_key_reused", 422, No, false;
    /// The number or size of the headers is above its limit.
    HeadersTooLarge = 2012, "headers_too_large", 431, No, false;
    /// A call that may not be repeated has no idempotency key.
    KeyMissing = 2013, "idempotency_key_missing", 400, No, false;
    /// The engines cannot answer before the deadline.
    Overloaded = 3000, "overloaded", 503, No, true;
    /// The workspace is above its limit.
    WorkspaceLimit = 3001, "workspace_limit", 429, No, true;
    /// No upstream is available for the request.
    NoUpstream = 3002, "no_upstream", 503, No, true;
    /// The platform's store did not accept the claim.
    ClaimUnavailable = 3003, "claim_unavailable", 503, No, true;
    /// The VM is leaving and accepts no requests.
    Draining = 3004, "draining", 503, No, true;
    /// The VM has not received a configuration yet.
    NotReady = 3005, "not_ready", 503, No, true;
    /// A call with the same idempotency key is still running.
    InProgress = 3006, "in_progress", 409, Unknown, true;
    /// The upstream could not be reached and did not receive the call.
    NotSent = 3007, "not_sent", 502, No, true;
    /// Requests with segments of this request crashed upstreams.
    Quarantined = 3008, "quarantined", 503, No, true;
    /// The memory for callers' bytes has no room for the body.
    MemoryExhausted = 3009, "memory_exhausted", 503, No, true;
    /// No upstream of the software version that began the stream is left.
    VersionGone = 3010, "version_gone", 503, No, false;
    /// It cannot be told which software version began the stream.
    OriginUnknown = 3011, "origin_unknown", 503, No, true;
    /// The deadline passed before the answer was complete.
    DeadlineExceeded = 4000, "deadline_exceeded", 504, Yes, true;
    /// The stream ended early and could not be resumed.
    StreamBroken = 4001, "stream_broken", 502, Yes, true;
    /// The call was sent, but its outcome is not known.
    OutcomeUnknown = 4002, "outcome_unknown", 502, Unknown, false;
    /// The upstream answered with an error.
    UpstreamError = 4003, "upstream_error", 502, Yes, true;
    /// The patch is based on a version that is not the current one.
    StaleVersion = 5000, "stale_version", 409, No, false;
    /// The patched configuration is not valid.
    InvalidConfig = 5001, "invalid_config", 422, No, false;
    /// The platform's store is not available.
    StoreUnavailable = 5002, "store_unavailable", 503, No, true;
    /// The operator token is wrong.
    OperatorDenied = 5003, "operator_denied", 401, No, false;
    /// The store did not confirm the change, which may have taken effect.
    StoreUnknown = 5004, "store_unknown", 502, Unknown, false;
    /// The request id is not in this VM's decision log.
    UnknownRequest = 5005, "unknown_request", 404, No, false;
    /// A fault of the router itself.
    Internal = 6000, "internal", 500, Unknown, false;
}
