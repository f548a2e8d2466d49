//! Placement of requests on engines: prompt fingerprints, prefix index, engine health, hedges.
//!
//! Each VM decides alone. What made its decisions nearly as good as those of one VM that sees all sent work are
//! digests between peers each 50 ms ([`digest`]): without them 54 % of the requests were in time at 0.9 of the
//! engines' capacity, with them 99 %. Section 2.1 of `docs/design.md` has the other ways that were weighed.
//!
//! [`router::Router`] holds no socket, clock, thread or random source. Callers pass the time.

pub mod digest;
pub mod engine;
pub mod fingerprint;
pub mod health;
pub mod index;
pub mod load;
pub mod options;
pub mod request;
pub mod router;

pub use digest::{Digest, DigestEntry};
pub use engine::{CacheChange, CacheEvent, Engine, LoadReport, LoadedVersion};
pub use fingerprint::{CacheScope, Fingerprint};
pub use options::{KvMoveCost, Options};
pub use request::{
    Candidate, Decision, Hedge, KvImport, Placement, PlacementReason, Refusal, Rejected, Request,
};
pub use router::{Event, Router};
