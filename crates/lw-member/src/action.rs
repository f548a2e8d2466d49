//! Actions that the user of a [`crate::Member`] performs, and the results that it passes back.

use std::net::SocketAddr;

use lw_types::prelude::*;

use crate::{message::Message, view::MemberState};

/// Key of the accepted configuration in the platform's store.
pub const CONFIG_KEY: &str = "config/current";

/// Something that the user of a [`crate::Member`] performs.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// POST `message` to the peer interface at `to` and pass the reply to [`crate::Member::on_reply`].
    ///
    /// A lost request or reply is not reported.
    Send {
        /// Peer interface.
        to: SocketAddr,
        /// The request.
        message: Message,
    },
    /// Call the platform's store for [`CONFIG_KEY`] and pass the outcome to [`crate::Member::on_store_result`].
    Store {
        /// Number of the call, passed back with its outcome.
        call: u64,
        /// The call.
        op: StoreCall,
    },
    /// The state, address or incarnation of a member changed in the view.
    MemberChanged {
        /// Name of the member.
        id: VmId,
        /// Its new state.
        state: MemberState,
    },
    /// Another document is in force; read it with [`crate::Member::config`].
    ConfigChanged,
    /// Answer to the operator who sent the patch with the number `request`.
    Answer {
        /// Number that was passed to [`crate::Member::patch`].
        request: u64,
        /// The answer.
        outcome: PatchOutcome,
    },
}

/// A call to the platform's store for [`CONFIG_KEY`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Read the value.
    Read,
    /// Compare-and-swap: write `value` if the key still has revision `prev`; 0 means that the key must be
    /// absent.
    Swap {
        /// Revision at which the current value was read.
        prev: Revision,
        /// New value, JSON text.
        value: String,
    },
    /// Long poll until the key has a revision above `after`, then read the value.
    Watch {
        /// Latest revision that was read or written.
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
    /// The call did not reach the store (the connection failed), or the store replied that it did nothing.
    NotRun,
    /// No usable reply was received; a swap may have taken effect.
    Unknown,
}

/// Answer to an operator's patch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PatchOutcome {
    /// Accepted with this version.
    Accepted(ConfigVersion),
    /// The patch is based on a version other than the current one.
    Stale {
        /// Current version.
        current: ConfigVersion,
    },
    /// The patch or the patched document is not valid.
    Invalid(String),
    /// Nothing was written because the store is not available.
    Unavailable,
    /// The store did not confirm the write; the patch may be in force now or later.
    Unknown,
}

impl PatchOutcome {
    /// Returns the numeric result code of the answer.
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
