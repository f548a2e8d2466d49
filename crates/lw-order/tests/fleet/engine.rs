//! A model of an engine that carries out orders to load weights.

use lw_types::prelude::*;

#[derive(Debug, Clone, Copy)]
pub enum Call {
    Report,
    Order { fence: Revision, version: u64, expected_orders: u64 },
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Answer {
    Report {
        version: u64,
        is_loading: bool,
        orders: u64,
    },
    Accepted,
    AlreadyLoaded,
    /// Another order is in progress, or the number of accepted orders differs.
    Busy,
    Fenced,
}

#[derive(Debug, Default)]
pub struct Engine {
    pub version: u64,
    /// The version that is being loaded, and the end of the load in ms.
    load: Option<(u64, u64)>,
    orders: u64,
    fence: Revision,
}

impl Engine {
    /// Ends a load that is over.
    pub fn advance(&mut self, now: u64) {
        if let Some((version, _)) = self.load.take_if(|(_, end)| *end <= now) {
            self.version = version;
        }
    }

    pub fn execute(&mut self, now: u64, call: Call, is_fenced: bool, load_ms: u64) -> Answer {
        self.advance(now);
        let Call::Order { fence, version, expected_orders } = call else {
            let (version, is_loading) = (self.version, self.load.is_some());
            return Answer::Report { version, is_loading, orders: self.orders };
        };
        if is_fenced && fence < self.fence {
            return Answer::Fenced;
        }
        self.fence = self.fence.max(fence);
        if self.load.is_some() || expected_orders != self.orders {
            return Answer::Busy;
        }
        if self.version == version {
            return Answer::AlreadyLoaded;
        }
        self.orders += 1;
        self.load = Some((version, now + load_ms));
        Answer::Accepted
    }
}
