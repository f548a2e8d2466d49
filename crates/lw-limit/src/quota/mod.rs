//! Usage caps of workspaces over all VMs: token buckets at a few VMs, which grant the others each request.
//!
//! There are [`SLOTS`] quota slots. One VM, the *holder*, owns a slot by a key in the store. Each capped workspace uses the
//! token buckets of two slots, which have different holders where there are two VMs; a VM with a request asks one of the two
//! holders for its cost. [`holder`] decides what is granted, [`requester`] which holder is asked and what is done with the
//! reply, [`ownership`] which VM takes a slot, and [`keeper`] by which writes to the store.
//!
//! # Arithmetic
//!
//! The rule: in any window *W* the work that runs is at most *(R W + B) (1 + o) + S*, for a cap of rate *R* and burst *B*, an
//! overshoot *o* and a slack *S*.
//!
//! A bucket refills at a rate *r* up to a capacity *C*. It grants a cost while its level is above 0, if the level then
//! stays at or above *-D*. So it grants at most *C + D + r T* in any time *T*.
//!
//! - **Holders replaced.** A new holder starts at *-D*, the least level that its predecessor may have left, and begins after
//!   the predecessor has stopped. So the bound holds for a slot, whoever holds it.
//! - **Validity.** Work that runs in a window was granted at most [`GRANT_TIME`] before it was sent, and is at its engine at
//!   most [`TRAVEL_TIME`] later. So what runs in *W* was granted in *W + V*, where *V* is the sum of the two.
//! - **Caps that change.** A lower limit *D'* raises a level below *-D'* to it, so that a lower rate need not pay off what the
//!   higher one allowed. The debt that this leaves out counts again at the next change, less what was refilled above *C'*
//!   meanwhile. So what is granted over several changes is at most the greatest *C + D* of them and what was refilled.
//! - **Returns.** A grant that is returned gives back its cost, but no more than what the highest level since then left of the
//!   capacity: without the grant, the rest would have been lost there. So the level is at most what it would be without that
//!   grant, and the bound holds for what is not returned.
//!
//! For both slots, with *2 r = min(R, R W (1 + o) / (W + V))*, the rule leaves
//! *E = (R W + B) (1 + o) + S - 2 r (W + V)* for *2 (C + D)*, which is never negative. Nine tenths of it are used.
//! For *W* = 8 s and *o* = 0.1 this is *0.9 (0.14 R + 1.1 B + S)*, and the rate is not reduced.
//!
//! *C* is 0.6 of the burst for each slot, so that two buckets whose levels differ admit a burst, but no more than 0.75 of what
//! the slot has. The rest is *D*. With the smallest caps of 47,000 tokens and *S* = 190,000, *C* is 28,200 and *D* 83,500.
//! A request of more than *D* waits for a level of its cost less *D*. One of more than *C + D* can be granted only by
//! exceeding the bound. If the settings state a slack, it is refused; without one, a full bucket grants it up to what the rule
//! allows in a window.
//!
//! A further attempt of a request that may have run is charged without a decision, and may take the level below *-D*.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

pub mod holder;
pub mod keeper;
pub mod ownership;
pub mod requester;

/// Number of quota slots.
pub const SLOTS: u8 = 24;
/// Number of the slots of the first half.
const HALF: u8 = SLOTS / 2;
/// Time from the sending of a request for a grant until which the grant may be used.
pub const GRANT_TIME: Duration = Duration::from_millis(500);
/// Time within which a request that was sent is at its engine.
pub const TRAVEL_TIME: Duration = Duration::from_millis(160);
/// Time for which a VM waits for the reply of a holder before it asks the other one.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(25);
/// The same for the last holder that is asked. VMs have a fraction of a core, so that a reply may take over 100 ms.
pub const LAST_REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// Fraction of what the rule leaves for the buckets that they use. The rest covers clocks that run at different rates and
/// requests that take longer than [`TRAVEL_TIME`].
const USED_FRACTION: f64 = 0.9;
/// Capacity of a bucket as a fraction of the burst; the two buckets together exceed the burst, since their levels differ.
const CAPACITY_OF_BURST: f64 = 0.6;
/// Largest fraction of capacity and debt that is capacity.
const CAPACITY_MAX_FRACTION: f64 = 0.75;

/// Cap of a workspace, in requests or tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cap {
    /// Units a second.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
}

/// How far usage may exceed a cap for a time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rule {
    /// Time in which usage is counted.
    pub window: Duration,
    /// Fraction by which it may exceed the rate and the burst.
    pub overshoot: f64,
    /// Units by which it may exceed them in addition; none if the settings state none.
    pub slack: Option<f64>,
}

/// What each slot of a workspace grants.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Number of slots that the workspace uses, 1 or 2.
    pub slots: usize,
    /// Units a second.
    pub rate: f64,
    /// Highest level of the bucket.
    pub capacity: f64,
    /// The level may fall to minus this.
    pub debt: f64,
    /// Largest cost that a full bucket grants although it is above capacity and debt; 0 if it grants none.
    pub lenient_max: f64,
}

impl Share {
    /// Returns what each slot grants for a cap, such that the rule holds.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lw_limit::quota::{Cap, Rule, Share};
    /// let rule = Rule { window: Duration::from_secs(8), overshoot: 0.1, slack: Some(190_000.0) };
    /// let share = Share::new(Cap { rate: 47_000.0, burst: 47_000.0 }, &rule);
    /// assert!((share.rate - 23_500.0).abs() < 1e-6);
    /// assert!(share.capacity + share.debt > 95_000.0);
    /// ```
    #[must_use]
    pub fn new(cap: Cap, rule: &Rule) -> Self {
        let Cap { rate, burst } = cap;
        let window = rule.window.as_secs_f64();
        let granted_window = window + (GRANT_TIME + TRAVEL_TIME).as_secs_f64();
        let allowed = (rate * window + burst) * (1.0 + rule.overshoot) + rule.slack.unwrap_or(0.0);
        let rate = rate.min(rate * window * (1.0 + rule.overshoot) / granted_window);
        let depth = (allowed - rate * granted_window) * USED_FRACTION;
        // A bucket of less than one unit would grant nothing.
        let slots = if depth < 2.0 { 1 } else { 2 };
        let count = if slots == 1 { 1.0 } else { 2.0 };
        let depth = depth / count;
        let capacity = (burst * CAPACITY_OF_BURST * 2.0 / count).min(depth * CAPACITY_MAX_FRACTION);
        Self {
            slots,
            rate: rate / count,
            capacity,
            debt: depth - capacity,
            lenient_max: if rule.slack.is_none() { allowed } else { 0.0 },
        }
    }

    /// Returns the level that a bucket must have to grant a cost; none if it never grants it.
    fn level_needed(&self, cost: f64) -> Option<f64> {
        if cost <= self.capacity + self.debt {
            return Some((cost - self.debt).max(0.0));
        }
        (cost <= self.lenient_max).then_some(self.capacity)
    }
}

/// Returns the slots of a workspace, one of each half, of which it uses as many as its share states. VMs rank first for the
/// slots of one half only, so that the two have different holders.
///
/// ```
/// let [first, second] = lw_limit::quota::slots_of("station");
/// assert_ne!(first, second);
/// ```
#[must_use]
pub fn slots_of(workspace: &str) -> [u8; 2] {
    let first_of = |slots: std::ops::Range<u8>| {
        slots.max_by_key(|slot| rendezvous_hash(*slot, workspace)).unwrap_or_default()
    };
    [first_of(0..HALF), first_of(HALF..SLOTS)]
}

fn rendezvous_hash(slot: u8, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), u64::from(slot))
}
