//! Faults, bounds and plans of the schedules.

use std::time::Duration;

use lw_order::{
    message::{EngineState, ModelState},
    options::Options,
    plan::Plan,
};

pub const ENGINES: usize = 8;

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    /// The VM that sends the next order dies.
    KillIssuer,
    /// It is paused before its next step.
    PauseIssuer,
    /// It is paused between its decision and the sending.
    PauseBeforeSend,
    /// The engine that starts the next load crashes during it.
    CrashInLoad,
    /// The engine that starts the next load sends no reports for a while.
    SilentLoad,
    /// An engine crashes.
    Crash,
    LostOrders,
    /// Orders take up to the longest order delay.
    LateOrders,
    /// Orders take far longer than the longest order delay.
    OverdueOrders,
    LostReports,
    StoreDown,
    LostLeaseReplies,
    /// A newer configuration with the other version of the weights.
    NewConfig,
}

pub const KINDS: [Kind; 13] = [
    Kind::KillIssuer,
    Kind::PauseIssuer,
    Kind::PauseBeforeSend,
    Kind::CrashInLoad,
    Kind::SilentLoad,
    Kind::Crash,
    Kind::LostOrders,
    Kind::LateOrders,
    Kind::OverdueOrders,
    Kind::LostReports,
    Kind::StoreDown,
    Kind::LostLeaseReplies,
    Kind::NewConfig,
];

#[derive(Debug, Clone, Copy)]
pub struct Fault {
    pub at: u64,
    pub ms: u64,
    pub kind: Kind,
}

#[derive(Debug, Clone)]
pub struct Schedule {
    pub seed: u64,
    pub vms: usize,
    pub faults: Vec<Fault>,
}

/// Bounds and load time, in turn by seed: usual ones, a slow weight store, short leases with long loads.
pub fn settings(seed: u64) -> (Options, u64) {
    let usual = Options::default();
    let ms = Duration::from_millis;
    match seed % 3 {
        0 => (usual, 2_000),
        1 => (Options { store_loads: 1, store_window: ms(3_000), ..usual }, 2_000),
        _ => {
            let (lease_ttl, lease_margin, lease_interval) = (ms(1_500), ms(250), ms(200));
            let store_timeout = ms(200);
            let options =
                Options { lease_ttl, lease_margin, lease_interval, store_timeout, ..usual };
            (options, 8_000)
        }
    }
}

fn state(role: &str, version: u64) -> EngineState {
    // Odd configurations have the old weights: a newer configuration goes back to them.
    let version = if version % 2 == 1 { "w1" } else { "w2" };
    let model = ModelState { version: version.into(), ..ModelState::default() };
    EngineState { role: role.into(), models: [("m".to_owned(), model)].into() }
}

/// Five engines of role `a` (minimum 3), the rest of role `b` (minimum 2); from version 2 on one engine
/// has moved to role `b`.
pub fn plan(version: u64) -> Plan {
    let role = |n: usize| if n < 5 && (n != 4 || version == 1) { "a" } else { "b" };
    let target = |n| (format!("e{n}"), state(role(n), version));
    let minimums = [("a".to_owned(), 3), ("b".to_owned(), 2)].into();
    Plan { version, targets: (0..ENGINES).map(target).collect(), minimums, ..Plan::default() }
}
