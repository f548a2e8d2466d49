//! Types that every crate of the router shares: ids, result codes and the prelude.

pub mod code;
pub mod ids;
pub mod prelude;
