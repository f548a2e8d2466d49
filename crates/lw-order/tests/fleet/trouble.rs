//! The troubles of a case: one table with a row for each kind.

use proptest::prelude::*;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A VM is killed and comes back without state.
    Restart,
    /// A VM gets SIGTERM, releases its lease, ends, and comes back.
    HandOver,
    /// A VM stands still.
    Pause,
    /// A VM reaches neither store nor engines.
    Cut,
    /// The store turns a VM away.
    TurnedAway,
    /// The store answers nobody; leases go on and expire.
    StoreDown,
    /// The store answers nobody; leases pause.
    StoreDownLeasesPause,
    /// Answers of the store are lost. Half of the calls take place at once, some seconds later, some never.
    AnswersLost,
    /// Answers of the store are late.
    AnswersLate,
    /// The store is away and returns from an older copy.
    StoreRestored,
    /// Orders to engines are lost.
    OrdersLost,
    /// Orders to engines get no answer and are carried out late.
    OrdersLate,
}

/// What a kind of trouble concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    Vm,
    Store,
    Engines,
}

/// One row of the table.
#[derive(Debug)]
pub struct Row {
    pub kind: Kind,
    pub scope: Scope,
    /// Longest duration in ms.
    pub duration_max: u64,
}

const fn row(kind: Kind, scope: Scope, duration_max: u64) -> Row {
    Row { kind, scope, duration_max }
}

pub const TABLE: [Row; 12] = [
    row(Kind::Restart, Scope::Vm, 4_000),
    row(Kind::HandOver, Scope::Vm, 4_000),
    row(Kind::Pause, Scope::Vm, 6_000),
    row(Kind::Cut, Scope::Vm, 8_000),
    row(Kind::TurnedAway, Scope::Vm, 8_000),
    row(Kind::StoreDown, Scope::Store, 6_000),
    row(Kind::StoreDownLeasesPause, Scope::Store, 6_000),
    row(Kind::AnswersLost, Scope::Store, 6_000),
    row(Kind::AnswersLate, Scope::Store, 6_000),
    row(Kind::StoreRestored, Scope::Store, 4_000),
    row(Kind::OrdersLost, Scope::Engines, 6_000),
    row(Kind::OrdersLate, Scope::Engines, 6_000),
];

/// The VM that a trouble concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// The issuer at that time, as the store has it.
    Issuer,
    /// The VM of the trouble before.
    Previous,
    /// The VM with this number, modulo their number.
    Vm(usize),
}

#[derive(Debug, Clone, Copy)]
pub struct Trouble {
    pub kind: Kind,
    /// Start in ms.
    pub at: u64,
    /// Duration in ms.
    pub duration: u64,
    pub target: Target,
}

/// Generated troubles start within this time in ms, so that most of them overlap.
pub const STARTS: std::ops::Range<u64> = 2_500..16_000;

pub fn troubles() -> impl Strategy<Value = Vec<Trouble>> {
    let target = prop_oneof![
        3 => Just(Target::Issuer),
        3 => Just(Target::Previous),
        2 => (0_usize..9).prop_map(Target::Vm),
    ];
    let trouble =
        (0..TABLE.len(), STARTS, 0.05_f64..1.0, target).prop_map(|(row, at, fraction, target)| {
            let Row { kind, duration_max, .. } = TABLE[row];
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                clippy::cast_precision_loss
            )]
            let duration = (duration_max as f64 * fraction) as u64;
            Trouble { kind, at, duration, target }
        });
    prop::collection::vec(trouble, 2..=6)
}
