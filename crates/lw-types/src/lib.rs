//! Types that the crates of the router share: ids and result codes.

pub mod code;
pub mod ids;
pub mod prelude;
