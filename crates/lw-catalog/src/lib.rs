//! What a VM on the platform knows about the outside: its own settings, the operators' routes, workspaces and
//! services, and the upstreams that registered themselves.
//!
//! Nothing here has sockets or clocks. The adapter of the platform decodes its messages into these types.

pub mod routes;
pub mod settings;
pub mod upstreams;

pub use routes::{
    CallerLimits, Catalog, EngineSpec, Route, RouteKind, Service, ServiceKind, Workspace,
};
pub use settings::VmSettings;
pub use upstreams::{Directory, Stage, Upstream};
