//! A router VM on the platform: forwards callers' requests to the upstreams that are registered in the platform's
//! store.

pub mod admission;
pub mod answer;
pub mod distribution;
pub mod feeds;
pub mod follow;
pub mod intake;
pub mod limits;
pub mod observe;
pub mod orders;
pub mod peers;
pub mod quarantine;
pub mod quota;
pub mod reach;
pub mod register;
pub mod restore;
pub mod run;
pub mod serve;
pub mod software;
pub mod state;
