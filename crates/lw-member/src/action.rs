//! Actions that the caller of a member performs, and the results it reports back.

use std::net::SocketAddr;

use lw_types::prelude::*;

use crate::{message::Message, view::MemberState};

/// Key of the accepted configuration in the platform's store.
pub const CONFIG_KEY: &str = "config/current";

/// Something for the caller to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// POST `message` to the peer interface at `to` and give the reply to [`crate::Member::on_reply`].
    ///
    /// A lost request or reply needs no report.
    Send {
        /// Peer interface.
        to: SocketAddr,
        /// The request.
        message: Message,
    },
    /// Call the platform's store at [`CONFIG_KEY`] and report to [`crate::Member::on_store_result`].
    Store {
        /// Number to report the outcome with.
        call: u64,
        /// What to do.
        op: StoreCall,
    },
    /// A member changed its state, address or incarnation in the live view.
    MemberChanged {
        /// Name of the member.
        id: VmId,
        /// Its new state.
        state: MemberState,
    },
    /// Another document is in force; read it with [`crate::Member::config`].
    ConfigChanged,
    /// Answer to the operator whose patch was given the number `request`.
    Answer {
        /// Number given to [`crate::Member::patch`].
        request: u64,
        /// The answer.
        outcome: PatchOutcome,
    },
}

/// A call to the platform's store at [`CONFIG_KEY`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Read the value.
    Read,
    /// Write `value` if the key still has revision `prev`; 0 means that the key must be absent.
    Swap {
        /// Revision that the value was read at.
        prev: Revision,
        /// New value, JSON text.
        value: String,
    },
    /// Long poll until the key has a revision above `after`, then read the value.
    Watch {
        /// Last known revision.
        after: Revision,
    },
}

/// Outcome of a [`StoreCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreOutcome {
    /// The value and its revision, after a read or a watch.
    Value(Revision, String),
    /// The key is absent, after a read or a watch.
    Absent,
    /// The swap took effect with this revision.
    Swapped(Revision),
    /// The swap did not take effect because the key has another revision.
    Conflict,
    /// A watch ended without a change.
    Unchanged,
    /// The call did not reach the store (connect failed), or the store said that it did nothing.
    NotRun,
    /// There was no usable answer; a swap may have taken effect.
    Unknown,
}

/// Answer to an operator's patch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PatchOutcome {
    /// Accepted with this version.
    Accepted(ConfigVersion),
    /// The patch was made against another version than the current one.
    Stale {
        /// Current version.
        current: ConfigVersion,
    },
    /// The patch or the patched document is not valid.
    Invalid(String),
    /// Nothing was written, because the store is not available.
    Unavailable,
    /// The store did not confirm the write; it may be in force now or later.
    Unknown,
}

impl PatchOutcome {
    /// The numbered result code of the answer.
    ///
    /// ```
    /// use lw_member::PatchOutcome;
    /// use lw_types::prelude::ResultCode;
    /// assert_eq!(PatchOutcome::Stale { current: 4 }.code(), ResultCode::StaleVersion);
    /// ```
    #[must_use]
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Accepted(_) => ResultCode::Ok,
            Self::Stale { .. } => ResultCode::StaleVersion,
            Self::Invalid(_) => ResultCode::InvalidConfig,
            Self::Unavailable => ResultCode::StoreUnavailable,
            Self::Unknown => ResultCode::StoreUnknown,
        }
    }
}
