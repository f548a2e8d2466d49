//! Id aliases and the request class.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Name of a VM of the router, unique in the installation.
pub type VmId = String;
/// Name of a failure domain.
pub type Domain = String;
/// Name of a workspace.
pub type WorkspaceId = String;
/// Name of an upstream: a model engine or another service.
pub type UpstreamId = String;
/// Name of a model.
pub type ModelId = String;
/// Id of one caller request, unique over all VMs.
pub type RequestId = String;
/// Number of an attempt of one request, from 0.
pub type Attempt = u32;
/// Position of a token in the answer, from 0.
pub type TokenIndex = u64;
/// Chained hash of a prompt prefix within one cache scope.
pub type BlockHash = u64;
/// Identifies a segment of prompts by its content.
pub type SegmentId = u64;
/// Version of the software that an upstream runs, as it names it.
pub type SoftwareVersion = String;
/// Number that an upstream or VM increments at each start.
pub type Incarnation = u64;
/// Version of the operators' configuration; it only grows, as each change increments it.
pub type ConfigVersion = u64;
/// Revision of a key in the platform's store. The store gives revisions out again in its next [`Era`].
pub type Revision = u64;
/// Number of times that the platform's store returned from an older copy of itself.
pub type Era = u64;
/// A state of the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Era of the store.
    pub era: Era,
    /// Revision in this era.
    pub revision: Revision,
}

/// Point in time on a monotonic clock: the time since an arbitrary epoch of the process or test run.
pub type Now = Duration;

/// Service class of a request. It determines the priority at the engines and the default deadline.
///
/// ```
/// use lw_types::prelude::Class;
/// assert_eq!("live".parse::<Class>(), Ok(Class::Live));
/// assert!(Class::Live < Class::Bulk);
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A person waits for the first token.
    Live,
    /// No special urgency.
    #[default]
    Standard,
    /// Long prompts, whose prefill may wait behind other requests.
    Bulk,
}

impl Class {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Live, Self::Standard, Self::Bulk];

    /// Returns the name used in headers, settings and histograms.
    ///
    /// ```
    /// assert_eq!(lw_types::ids::Class::Bulk.name(), "bulk");
    /// ```
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Standard => "standard",
            Self::Bulk => "bulk",
        }
    }
}

impl std::str::FromStr for Class {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|class| class.name() == s)
            .ok_or_else(|| format!("unknown class {s:?}; allowed are live, standard, bulk"))
    }
}
