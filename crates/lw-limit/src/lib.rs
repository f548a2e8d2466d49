//! Admission under overload, workspace limits over all VMs, and the retry budget.

pub mod admission;
pub mod bucket;
pub mod grant;
pub mod retry;
