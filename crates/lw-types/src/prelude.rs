//! All types of this crate, for `use lw_types::prelude::*`.

pub use crate::code::{Executed, ResultCode};
pub use crate::ids::{
    Attempt, BlockHash, Class, ConfigVersion, Domain, Era, Incarnation, ModelId, Now, Position,
    RequestId, Revision, SegmentId, SoftwareVersion, TokenIndex, UpstreamId, VmId, WorkspaceId,
};
