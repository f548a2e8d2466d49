//! Admission under overload, limits of workspaces and upstreams over all VMs, and the retry budget.

pub mod admission;
pub mod bucket;
pub mod grant;
pub mod quota;
pub mod retry;
pub mod upstream;
