//! The asking side: which holder a VM asks, and what it does with grants.

use std::{collections::HashMap, time::Duration};

use lw_types::prelude::*;

use super::{
    GRANT_TIME, LAST_REPLY_TIMEOUT, REPLY_TIMEOUT, Share,
    holder::{Claim, Reply, Return},
};

/// Time for which an unused grant is kept for another request before it is returned.
const KEEP_TIME: Duration = Duration::from_millis(40);
/// Longest time for which a request waits in total while its slots are changing holders.
const HOLDER_WAIT_MAX: Duration = Duration::from_millis(150);
/// Time between two looks for a holder meanwhile. A VM notices within 50 ms that it can take a slot.
const HOLDER_POLL: Duration = Duration::from_millis(30);
/// Time for which a holder that did not reply is asked last.
const SILENT_TIME: Duration = Duration::from_secs(1);

/// Permission to send work of one cost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// Slot whose holder granted it.
    pub slot: u8,
    /// Number of the request for it.
    pub number: u64,
    /// Workspace that is charged.
    pub workspace: WorkspaceId,
    /// Units.
    pub cost: u64,
    /// Until when the work may be sent.
    pub valid_until: Now,
}

/// A request of a workspace with a cap, while it asks for its grant.
#[derive(Debug)]
pub struct Ask {
    workspace: WorkspaceId,
    cost: u64,
    config: ConfigVersion,
    share: Share,
    /// The slots of the workspace.
    all_slots: [u8; 2],
    /// Slots that were not asked yet, the next one last.
    slots: Vec<u8>,
    /// Number of the open request for a grant.
    open: Option<u64>,
    shortest_wait: Option<Duration>,
    /// Whether a slot had no holder since the slots were last asked from the first one on.
    has_no_holder: bool,
    /// Until when to wait for holders; none if their absence was not noticed yet.
    wait_end: Option<Now>,
}

/// What to do next about a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// It may be sent.
    Admitted(Grant),
    /// The holder of a slot is to be asked.
    Ask(Claim),
    /// It is above the cap.
    Refused {
        /// Time until the cap allows it.
        retry_after: Duration,
    },
    /// The slots are changing holders. To be decided again after this time.
    Wait(Duration),
    /// No holder replied.
    Unavailable,
}

/// State of the asking side of one VM.
#[derive(Debug, Default)]
pub struct Requester {
    /// Last known level of each bucket, and when it was received.
    levels: HashMap<(WorkspaceId, u8), (f64, Now)>,
    /// When the holder of a slot last failed to reply.
    silent_at: HashMap<u8, Now>,
    open: HashMap<u64, Open>,
    unused: Vec<Unused>,
}

#[derive(Debug)]
struct Open {
    claim: Claim,
    sent_at: Now,
    reply: Option<Reply>,
    /// Whether nobody waits for the reply any more.
    is_abandoned: bool,
}

#[derive(Debug)]
struct Unused {
    grant: Grant,
    since: Now,
}

impl Ask {
    /// Returns the request of a cost. `slots` are those of the workspace, as [`super::slots_of`] returns them.
    #[must_use]
    pub fn new(
        workspace: &str,
        slots: [u8; 2],
        cost: u64,
        config: ConfigVersion,
        share: Share,
    ) -> Self {
        let workspace = workspace.to_owned();
        let mut ask = Self {
            workspace,
            cost,
            config,
            share,
            all_slots: slots,
            slots: Vec::new(),
            open: None,
            shortest_wait: None,
            has_no_holder: false,
            wait_end: None,
        };
        ask.restart();
        ask
    }

    /// Asks the holders of all slots again.
    fn restart(&mut self) {
        self.slots = self.slots().iter().rev().copied().collect();
        self.has_no_holder = false;
    }

    /// Returns the slots whose holders may grant it.
    #[must_use]
    pub fn slots(&self) -> &[u8] {
        &self.all_slots[..self.share.slots.min(self.all_slots.len())]
    }

    /// Returns the cost.
    #[must_use]
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Returns the time to wait for the reply of the holder that is asked now.
    #[must_use]
    pub fn reply_timeout(&self, now: Now) -> Duration {
        let timeout = if self.slots.is_empty() { LAST_REPLY_TIMEOUT } else { REPLY_TIMEOUT };
        self.wait_end.map_or(timeout, |end| timeout.min(end.saturating_sub(now)))
    }

    /// Returns what is charged without a decision, for a further attempt of a request that may have run: one of these, the
    /// first one whose slot has a holder.
    pub fn charges(&self, number: u64) -> impl Iterator<Item = Claim> {
        self.slots.iter().rev().map(move |slot| self.claim(*slot, number))
    }

    fn claim(&self, slot: u8, number: u64) -> Claim {
        let (workspace, cost, config) = (self.workspace.clone(), self.cost, self.config);
        Claim { slot, number, workspace, cost, config }
    }
}

impl Requester {
    /// Decides what to do next about a request. `number` identifies a new request for a grant, and must be unique. If a holder
    /// was asked before, it counts as silent unless its reply was recorded.
    pub fn decide(&mut self, now: Now, ask: &mut Ask, number: u64) -> Decision {
        if let Some(grant) = self.take_unused(now, ask) {
            self.abandon(now, ask);
            return Decision::Admitted(grant);
        }
        if let Some(grant) = self.finish(now, ask) {
            return Decision::Admitted(grant);
        }
        if ask.slots.len() > 1 {
            let mut slots = std::mem::take(&mut ask.slots);
            slots.sort_by(|a, b| {
                let level = |slot| self.expected_level(now, ask, slot);
                // Equal levels are asked in an order that differs between requests.
                let turn = |slot: u8| (u64::from(slot) ^ number) & 1;
                level(*a).total_cmp(&level(*b)).then(turn(*a).cmp(&turn(*b)))
            });
            ask.slots = slots;
        }
        let Some(slot) = ask.slots.pop() else {
            return Self::conclude(now, ask);
        };
        let claim = ask.claim(slot, number);
        ask.open = Some(number);
        let open = Open { claim: claim.clone(), sent_at: now, reply: None, is_abandoned: false };
        self.open.insert(number, open);
        Decision::Ask(claim)
    }

    /// Decides on a request that no holder has granted.
    fn conclude(now: Now, ask: &mut Ask) -> Decision {
        if let Some(retry_after) = ask.shortest_wait {
            return Decision::Refused { retry_after };
        }
        if ask.has_no_holder {
            let end = *ask.wait_end.get_or_insert(now + HOLDER_WAIT_MAX);
            if now + HOLDER_POLL <= end {
                ask.restart();
                return Decision::Wait(HOLDER_POLL);
            }
        }
        Decision::Unavailable
    }

    /// Records the reply of a holder. Returns whether a request waits for it.
    pub fn on_reply(&mut self, now: Now, number: u64, reply: Reply) -> bool {
        let Some(open) = self.open.get_mut(&number) else { return false };
        let slot = open.claim.slot;
        if let Reply::Granted { level } | Reply::Wait { level, .. } = reply {
            self.levels.insert((open.claim.workspace.clone(), slot), (level, now));
            self.silent_at.remove(&slot);
        }
        if !open.is_abandoned {
            open.reply = Some(reply);
            return true;
        }
        if let Some(open) = self.open.remove(&number)
            && let Reply::Granted { .. } = reply
        {
            self.give_back(now, open.grant());
        }
        false
    }

    /// Takes back a grant that was not used. Another request may use it, or it is returned.
    pub fn give_back(&mut self, now: Now, grant: Grant) {
        self.unused.push(Unused { grant, since: now });
    }

    /// Abandons a request whose caller has left. Its grant, if there is one, is returned.
    pub fn abandon(&mut self, now: Now, ask: &mut Ask) {
        let Some(number) = ask.open.take() else { return };
        if let Some(open) = self.open.get_mut(&number) {
            open.is_abandoned = true;
            if let Some(reply) = open.reply.take() {
                self.on_reply(now, number, reply);
            }
        }
    }

    /// Returns the grants that are to be returned to their holders now.
    pub fn returns(&mut self, now: Now) -> Vec<Return> {
        self.open.retain(|_, open| now < open.sent_at + GRANT_TIME || !open.is_abandoned);
        // No other request can use one that has expired.
        let due = |unused: &mut Unused| {
            now >= unused.since + KEEP_TIME || now >= unused.grant.valid_until
        };
        let due = self.unused.extract_if(.., due);
        due.map(|Unused { grant: Grant { slot, number, cost, .. }, .. }| Return {
            slot,
            number,
            amount: cost,
        })
        .collect()
    }

    /// Returns the last known level of a bucket and its age, for log lines.
    #[must_use]
    pub fn known_level(&self, now: Now, workspace: &str, slot: u8) -> Option<(f64, Duration)> {
        let (level, at) = self.levels.get(&(workspace.to_owned(), slot))?;
        Some((*level, now.saturating_sub(*at)))
    }

    /// Ends the open request for a grant. Returns the grant if there is a valid one.
    fn finish(&mut self, now: Now, ask: &mut Ask) -> Option<Grant> {
        let number = ask.open.take()?;
        let open = self.open.get_mut(&number)?;
        let Some(reply) = open.reply else {
            open.is_abandoned = true;
            self.silent_at.insert(open.claim.slot, now);
            return None;
        };
        let open = self.open.remove(&number)?;
        match reply {
            Reply::Granted { .. } => {
                let grant = open.grant();
                if now < grant.valid_until {
                    return Some(grant);
                }
                self.give_back(now, grant);
            }
            Reply::Wait { time, .. } => {
                ask.shortest_wait = Some(ask.shortest_wait.map_or(time, |other| other.min(time)));
            }
            Reply::NotHolder => ask.has_no_holder = true,
        }
        None
    }

    /// Uses an unused grant of the workspace: the smallest that is large enough.
    fn take_unused(&mut self, now: Now, ask: &Ask) -> Option<Grant> {
        let fits = |(_, Unused { grant, .. }): &(usize, &Unused)| {
            grant.workspace == ask.workspace && grant.cost >= ask.cost && now < grant.valid_until
        };
        let candidates = self.unused.iter().enumerate().filter(fits);
        let (index, _) = candidates.min_by_key(|(_, unused)| unused.grant.cost)?;
        let unused = &mut self.unused[index].grant;
        let grant = Grant { cost: ask.cost, ..unused.clone() };
        unused.cost -= ask.cost;
        if unused.cost == 0 {
            self.unused.swap_remove(index);
        }
        Some(grant)
    }

    fn expected_level(&self, now: Now, ask: &Ask, slot: u8) -> f64 {
        if self.silent_at.get(&slot).is_some_and(|at| now < *at + SILENT_TIME) {
            return f64::NEG_INFINITY;
        }
        let known = self.levels.get(&(ask.workspace.clone(), slot));
        known.map_or(ask.share.capacity, |(level, at)| {
            let refilled = now.saturating_sub(*at).as_secs_f64() * ask.share.rate;
            (level + refilled).min(ask.share.capacity)
        })
    }
}

impl Open {
    fn grant(&self) -> Grant {
        let Claim { slot, number, workspace, cost, .. } = self.claim.clone();
        Grant { slot, number, workspace, cost, valid_until: self.sent_at + GRANT_TIME }
    }
}
