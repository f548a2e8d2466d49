//! The faults of a schedule, and the options and plans of a run.

use std::time::Duration;

use lw_order::{
    message::{EngineState, ModelState},
    options::Options,
    plan::Plan,
};

pub const ENGINE_COUNT: usize = 8;

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FaultKind {
    /// The VM that is about to send the next order is killed and comes back without state.
    KillIssuer,
    /// The VM that sends the next order is paused before its next step.
    PauseIssuer,
    /// The VM that sends the next order is paused between its decision and the sending.
    PauseBeforeSend,
    /// The engine that starts the next load crashes during it.
    CrashInLoad,
    /// The engine that starts the next load sends no reports for a while.
    UnresponsiveLoad,
    /// An engine crashes.
    Crash,
    LostOrders,
    /// Orders take up to the longest order delay.
    DelayedOrders,
    /// Orders take far longer than the longest order delay.
    OverdueOrders,
    LostReports,
    /// The lease store does not answer.
    StoreDown,
    LostLeaseReplies,
    /// A newer configuration names the other version of the weights.
    NewConfig,
}

pub const FAULT_KINDS: [FaultKind; 13] = [
    FaultKind::KillIssuer,
    FaultKind::PauseIssuer,
    FaultKind::PauseBeforeSend,
    FaultKind::CrashInLoad,
    FaultKind::UnresponsiveLoad,
    FaultKind::Crash,
    FaultKind::LostOrders,
    FaultKind::DelayedOrders,
    FaultKind::OverdueOrders,
    FaultKind::LostReports,
    FaultKind::StoreDown,
    FaultKind::LostLeaseReplies,
    FaultKind::NewConfig,
];

#[derive(Debug, Clone, Copy)]
pub struct Fault {
    /// Start of the fault in virtual time.
    pub at_ms: u64,
    pub duration_ms: u64,
    pub kind: FaultKind,
}

#[derive(Debug, Clone)]
pub struct Schedule {
    pub seed: u64,
    pub vms: usize,
    pub faults: Vec<Fault>,
}

/// Returns the options and the load time in ms of a seed. They alternate by seed: the default options, a slow weight
/// store, and short leases with long loads.
pub fn options_and_load_ms(seed: u64) -> (Options, u64) {
    let default = Options::default();
    let ms = Duration::from_millis;
    match seed % 3 {
        0 => (default, 2_000),
        1 => (Options { store_loads: 1, store_window: ms(3_000), ..default }, 2_000),
        _ => {
            let (lease_ttl, lease_margin, lease_interval) = (ms(1_500), ms(250), ms(200));
            let store_timeout = ms(200);
            let options =
                Options { lease_ttl, lease_margin, lease_interval, store_timeout, ..default };
            (options, 8_000)
        }
    }
}

fn state(role: &str, version: u64) -> EngineState {
    // Odd versions of the configuration name the first weights, so that newer configurations return to them.
    let version = if version % 2 == 1 { "w1" } else { "w2" };
    let model = ModelState { version: version.into(), ..ModelState::default() };
    EngineState { role: role.into(), models: [("m".to_owned(), model)].into() }
}

/// Returns a plan with five engines of role `a` (minimum 3) and the others of role `b` (minimum 2). From
/// version 2 on, one engine has moved to role `b`.
pub fn plan(version: u64) -> Plan {
    let role = |n: usize| if n < 5 && (n != 4 || version == 1) { "a" } else { "b" };
    let target = |n| (format!("e{n}"), state(role(n), version));
    let minimums = [("a".to_owned(), 3), ("b".to_owned(), 2)].into();
    Plan { version, targets: (0..ENGINE_COUNT).map(target).collect(), minimums, ..Plan::default() }
}
