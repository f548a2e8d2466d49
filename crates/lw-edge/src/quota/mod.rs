//! Usage caps of workspaces: the wait of a request for its grant, and the slots that this VM holds.
//!
//! [`lw_limit::quota`] decides. What a VM is told of the store and of the fleet are arguments, and so is how messages are sent.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use lw_catalog::{
    routes::{UsageCap, UsageUnit},
    settings::QuotaBounds,
};
use lw_limit::quota::{
    Cap, Rule, Share,
    holder::{Claim, Reply, Return},
    keeper::Keeper,
    requester::{Ask, Decision, Grant, Requester},
    slots_of,
};
use lw_transport::timer::Timer;
use lw_types::prelude::*;
use tokio::sync::oneshot;

mod slots;
mod wire;

pub use wire::{ClaimWire, QuotaNotice, ReplyWire, ReturnWire, SlotEntry};

/// Time in which a VM takes a slot once it may. It is also the time after which a caller returns, probably at another VM,
/// if the holders do not reply to this one.
const TAKING_TIME: Duration = Duration::from_millis(300);

/// Usage caps as one VM enforces them: the slots that it holds, and its requests for grants.
#[derive(Debug, Default)]
pub struct Quota {
    timer: Timer,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    keeper: Keeper,
    requester: Requester,
    /// Bounds that the shares were computed with.
    bounds: Option<QuotaBounds>,
    /// The capped workspaces of the configuration.
    workspaces: HashMap<WorkspaceId, Capped>,
    /// Wakes the request that waits for the reply of this number.
    waiting: HashMap<u64, oneshot::Sender<()>>,
}

/// What is computed once for each capped workspace of a configuration.
#[derive(Debug)]
struct Capped {
    cap: UsageCap,
    share: Share,
    slots: [u8; 2],
}

/// Where a request for a grant goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// The request was sent to the holder.
    Sent,
    /// The slot has no holder that this VM knows.
    NoHolder,
}

/// Outcome of a request for its grant.
#[derive(Debug)]
pub enum Outcome {
    /// It may be sent.
    Admitted(Grant),
    /// It is above the cap.
    Refused {
        /// Time until the cap allows it.
        retry_after: Duration,
    },
    /// No holder replied.
    Unavailable {
        /// Time until a slot is held again, as far as it is known.
        retry_after: Duration,
    },
}

/// A request while it asks for its grant. If it is dropped, a grant that still arrives is given back.
struct Asking<'a> {
    quota: &'a Quota,
    ask: Ask,
    /// Number of the request for a grant that is open.
    number: Option<u64>,
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        let now = self.quota.now();
        let mut state = self.quota.lock();
        if let Some(number) = self.number {
            state.waiting.remove(&number);
        }
        state.requester.abandon(now, &mut self.ask);
    }
}

/// Returns what each slot grants for a usage cap. The slack of the settings is in tokens, so that a cap in requests has none.
#[must_use]
pub fn share(cap: UsageCap, bounds: &QuotaBounds) -> Share {
    let slack = match cap.unit {
        UsageUnit::Tokens { .. } => bounds.slack,
        UsageUnit::Requests => None,
    };
    let rule = Rule { window: bounds.window, overshoot: bounds.overshoot, slack };
    Share::new(Cap { rate: cap.rate, burst: cap.burst }, &rule)
}

impl Quota {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time by the clock that counts suspended time.
    fn now(&self) -> Now {
        self.timer.now_including_suspend()
    }

    /// Returns the request for a grant of a cost.
    pub fn ask(
        &self,
        workspace: &str,
        cap: UsageCap,
        cost: u64,
        config: ConfigVersion,
        bounds: &QuotaBounds,
    ) -> Ask {
        let state = self.lock();
        let known = state.workspaces.get(workspace);
        // The request may have come under another configuration than the one that was applied last.
        let known = known.filter(|known| known.cap == cap && state.bounds == Some(*bounds));
        let (slots, share) = match known {
            Some(Capped { slots, share, .. }) => (*slots, *share),
            None => (slots_of(workspace), share(cap, bounds)),
        };
        Ask::new(workspace, slots, cost, config, share)
    }

    /// Returns the slots of a workspace.
    #[must_use]
    pub fn slots_of(&self, workspace: &str) -> [u8; 2] {
        let known = self.lock().workspaces.get(workspace).map(|known| known.slots);
        known.unwrap_or_else(|| slots_of(workspace))
    }

    /// Asks for a grant. `send` sends a request to the holder of its slot. It is not called for slots that this VM holds, of
    /// which the VM's view of the store may not show its own write yet.
    pub async fn acquire(&self, ask: Ask, send: impl Fn(&Claim) -> Route) -> Outcome {
        let mut asking = Asking { quota: self, ask, number: None };
        loop {
            let now = self.now();
            let decision = self.lock().requester.decide(now, &mut asking.ask, fastrand::u64(..));
            let claim = match decision {
                Decision::Admitted(grant) => return Outcome::Admitted(grant),
                Decision::Refused { retry_after } => return Outcome::Refused { retry_after },
                Decision::Unavailable => {
                    let retry_after = self.time_until_held(now, asking.ask.slots());
                    return Outcome::Unavailable { retry_after };
                }
                Decision::Wait(pause) => {
                    tokio::time::sleep(pause).await;
                    continue;
                }
                Decision::Ask(claim) => claim,
            };
            asking.number = Some(claim.number);
            if self.is_holding(claim.slot) {
                let reply = self.decide(&claim);
                self.on_reply(claim.number, reply);
                continue;
            }
            let (wake, woken) = oneshot::channel();
            self.lock().waiting.insert(claim.number, wake);
            match send(&claim) {
                Route::Sent => {
                    // The result is an error if no reply arrived in time.
                    let timeout = asking.ask.reply_timeout(now);
                    let _ = tokio::time::timeout(timeout, woken).await;
                }
                Route::NoHolder => self.on_reply(claim.number, Reply::NotHolder),
            }
            self.lock().waiting.remove(&claim.number);
        }
    }

    /// Whether a grant may still be used.
    #[must_use]
    pub fn is_valid(&self, grant: &Grant) -> bool {
        self.now() < grant.valid_until
    }

    /// Gives back a grant that was not used.
    pub fn give_back(&self, grant: Grant) {
        let now = self.now();
        self.lock().requester.give_back(now, grant);
    }

    /// Decides on a request for a grant from this VM or another one.
    pub fn decide(&self, claim: &Claim) -> Reply {
        let now = self.now();
        self.lock().keeper.holder.decide(now, claim)
    }

    /// Returns the time until one of these slots is held again, as far as it is known.
    fn time_until_held(&self, now: Now, slots: &[u8]) -> Duration {
        let state = self.lock();
        let times = slots.iter().map(|slot| state.keeper.time_until_taken(now, *slot));
        times.min().unwrap_or_default() + TAKING_TIME
    }

    /// Whether this VM holds a slot.
    #[must_use]
    pub fn is_holding(&self, slot: u8) -> bool {
        self.lock().keeper.holder.revision(slot).is_some()
    }

    /// Charges a further attempt to the first slot that has a holder. `send` sends a charge to the holder of its slot. Without
    /// any holder the attempt is not charged.
    pub fn charge_further(
        &self,
        charges: impl Iterator<Item = Claim>,
        send: impl Fn(&Claim) -> Route,
    ) {
        for claim in charges {
            if self.is_holding(claim.slot) {
                return self.charge(&claim);
            }
            if send(&claim) == Route::Sent {
                return;
            }
        }
    }

    /// Charges a further attempt, if this VM holds the slot.
    pub fn charge(&self, claim: &Claim) {
        let now = self.now();
        self.lock().keeper.holder.charge(now, claim);
    }

    /// Records the reply of a holder.
    pub fn on_reply(&self, number: u64, reply: Reply) {
        let now = self.now();
        let mut state = self.lock();
        if state.requester.on_reply(now, number, reply)
            && let Some(wake) = state.waiting.remove(&number)
        {
            // The result is an error if the request does not wait any more.
            let _ = wake.send(());
        }
    }

    /// Takes back a grant, if this VM holds its slot.
    pub fn take_back(&self, returned: &Return) {
        let now = self.now();
        self.lock().keeper.holder.take_back(now, returned);
    }

    /// Returns the last known level of a bucket and its age, for log lines.
    #[must_use]
    pub fn known_level(&self, workspace: &str, slot: u8) -> Option<(f64, Duration)> {
        self.lock().requester.known_level(self.now(), workspace, slot)
    }

    /// Returns the number of slots that this VM holds.
    #[must_use]
    pub fn slot_count(&self) -> usize {
        self.lock().keeper.holder.slots().count()
    }
}

/// A grant of a request. If it is dropped before it was used, it is given back.
#[derive(Debug)]
pub struct Charge {
    quota: Arc<Quota>,
    grant: Option<Grant>,
}

impl Charge {
    /// Returns the charge of a request that got this grant.
    #[must_use]
    pub fn new(quota: Arc<Quota>, grant: Grant) -> Self {
        Self { quota, grant: Some(grant) }
    }

    /// Whether the request may still be sent with it.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.grant.as_ref().is_some_and(|grant| self.quota.is_valid(grant))
    }

    /// Returns the grant, which is then not given back.
    pub fn take(&mut self) -> Option<Grant> {
        self.grant.take()
    }

    /// Restores a grant whose request was sent and has not run.
    pub fn restore(&mut self, grant: Grant) {
        self.grant = Some(grant);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if let Some(grant) = self.grant.take() {
            self.quota.give_back(grant);
        }
    }
}
