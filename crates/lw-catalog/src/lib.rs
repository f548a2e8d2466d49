//! Data that a VM on the platform receives from outside: its own settings, the operators' routes, workspaces and
//! services, and the registered upstreams.
//!
//! Nothing here has sockets or clocks. The platform adapter decodes the platform's messages into these types.

pub mod routes;
pub mod settings;
pub mod upstreams;

pub use routes::{
    CallerLimits, Catalog, EngineSpec, Route, RouteKind, Service, ServiceKind, Workspace,
};
pub use settings::VmSettings;
pub use upstreams::{Directory, Stage, Upstream};
