//! The flow of an operator's patch: read, validate, compare-and-swap, settle a lost reply.

use std::time::Duration;

use lw_types::prelude::*;
use serde_json::Value;

use super::{store::Purpose, stored::StoredConfig};
use crate::{
    action::{Action, PatchOutcome, StoreCall, StoreOutcome},
    member::Member,
};

/// Pause before the store is asked again about a write of unknown outcome.
const SETTLE_PAUSE: Duration = Duration::from_millis(200);

/// One operator's patch.
#[derive(Debug)]
pub(super) struct Job {
    base: ConfigVersion,
    patch: Value,
    attempt: String,
    deadline: Now,
    /// A swap was sent whose outcome is not known, so it may take effect at any time.
    in_doubt: bool,
    /// Time of the next read, while no call is under way.
    again: Option<Now>,
    /// The value that the last swap would store, with its version.
    swap: Option<StoredConfig>,
}

impl Member {
    /// Starts an operator's patch against version `base`. The answer is an [`Action::Answer`] with the same
    /// `request`, which the caller chooses and does not use again.
    ///
    /// The patch is accepted by the one swap on `config/current` that carries its attempt id. Until then
    /// nothing is disseminated. A swap without a reply is settled by a read: the history in the value names
    /// the attempt. If it does not and the base is still current, the same swap is sent again with the same
    /// revision, so that at most one of the two takes effect.
    ///
    /// ```
    /// use lw_member::{Action, Member, Options, PatchOutcome, StoreCall, StoreOutcome};
    /// let now = std::time::Duration::ZERO;
    /// let options = Options::new("vm-1", "10.0.0.1:7400".parse().unwrap(), "kochi-1", 1);
    /// let mut member = Member::new(now, options);
    /// let actions = member.patch(now, 7, 0, serde_json::json!({ "workspaces": {} }));
    /// let Action::Store { call, op: StoreCall::Read } = actions[0] else { panic!() };
    /// let actions = member.on_store_result(now, call, &StoreOutcome::Absent);
    /// let Action::Store { call, op: StoreCall::Swap { prev: 0, .. } } = actions[0] else { panic!() };
    /// let actions = member.on_store_result(now, call, &StoreOutcome::Swapped(1));
    /// let accepted = Action::Answer { request: 7, outcome: PatchOutcome::Accepted(1) };
    /// assert!(actions.contains(&accepted));
    /// ```
    pub fn patch(
        &mut self,
        now: Now,
        request: u64,
        base: ConfigVersion,
        patch: Value,
    ) -> Vec<Action> {
        let current = self.config.version();
        if base < current {
            let outcome = PatchOutcome::Stale { current };
            return vec![Action::Answer { request, outcome }];
        }
        let store = &mut self.config.store;
        store.attempts += 1;
        let (id, incarnation) = (&self.options.id, self.options.incarnation);
        let attempt = format!("{id}/{incarnation}/{}", store.attempts);
        let deadline = now + self.options.timings.patch_deadline;
        let job = Job { base, patch, attempt, deadline, in_doubt: false, again: None, swap: None };
        store.jobs.insert(request, job);
        let mut out = Vec::new();
        self.call_store(now, Purpose::Patch(request), StoreCall::Read, &mut out);
        out
    }

    pub(super) fn tick_patches(&mut self, now: Now, out: &mut Vec<Action>) {
        let jobs = &self.config.store.jobs;
        let late: Vec<_> = jobs
            .iter()
            .filter(|(_, job)| now >= job.deadline)
            .map(|(request, job)| (*request, job.in_doubt || job.swap.is_some()))
            .collect();
        for (request, in_doubt) in late {
            let outcome = if in_doubt { PatchOutcome::Unknown } else { PatchOutcome::Unavailable };
            self.answer(request, outcome, out);
        }
        let jobs = &mut self.config.store.jobs;
        let due = |job: &mut Job| job.again.take_if(|at| now >= *at).is_some();
        let reads: Vec<u64> =
            jobs.iter_mut().filter_map(|(request, job)| due(job).then_some(*request)).collect();
        for request in reads {
            self.call_store(now, Purpose::Patch(request), StoreCall::Read, out);
        }
    }

    fn answer(&mut self, request: u64, outcome: PatchOutcome, out: &mut Vec<Action>) {
        let store = &mut self.config.store;
        store.jobs.remove(&request);
        store.calls.retain(|_, (purpose, _)| *purpose != Purpose::Patch(request));
        out.push(Action::Answer { request, outcome });
    }

    pub(super) fn step_patch(
        &mut self,
        now: Now,
        request: u64,
        outcome: &StoreOutcome,
        stored: Option<StoredConfig>,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.config.store.jobs.get_mut(&request) else { return };
        let swap = job.swap.take();
        match outcome {
            StoreOutcome::Swapped(revision) => {
                let Some(stored) = swap else { return };
                self.saw_revision(*revision);
                let version = stored.document.version;
                self.take_stored(now, &stored, out);
                self.answer(request, PatchOutcome::Accepted(version), out);
            }
            StoreOutcome::Conflict => job.again = Some(now),
            StoreOutcome::NotRun if !job.in_doubt => {
                self.answer(request, PatchOutcome::Unavailable, out);
            }
            StoreOutcome::Value(revision, _) => {
                let revision = *revision;
                match stored {
                    Some(stored) => self.swap(now, request, revision, &stored, out),
                    None => job.again = Some(now + SETTLE_PAUSE),
                }
            }
            StoreOutcome::Absent => self.swap(now, request, 0, &StoredConfig::empty(), out),
            StoreOutcome::NotRun | StoreOutcome::Unknown | StoreOutcome::Unchanged => {
                job.in_doubt |= swap.is_some();
                let pause = if swap.is_some() { Duration::ZERO } else { SETTLE_PAUSE };
                job.again = Some(now + pause);
            }
        }
        // A conflict or a lost reply is settled by a read without waiting for the next tick.
        self.read_again(now, request, out);
    }

    fn read_again(&mut self, now: Now, request: u64, out: &mut Vec<Action>) {
        let Some(job) = self.config.store.jobs.get_mut(&request) else { return };
        if job.again.take_if(|at| now >= *at).is_some() {
            self.call_store(now, Purpose::Patch(request), StoreCall::Read, out);
        }
    }

    /// Decides on the value just read: accepted before, stale, invalid, or to be swapped.
    fn swap(
        &mut self,
        now: Now,
        request: u64,
        prev: Revision,
        stored: &StoredConfig,
        out: &mut Vec<Action>,
    ) {
        let newest = stored.document.version.max(self.config.version());
        let Some(job) = self.config.store.jobs.get_mut(&request) else { return };
        if let Some(entry) = stored.history.iter().find(|e| e.attempt == job.attempt) {
            let version = entry.version;
            return self.answer(request, PatchOutcome::Accepted(version), out);
        }
        if newest != job.base {
            // The own entry may already have left the history.
            let reaches = stored.history.first().is_some_and(|e| e.version <= job.base + 1);
            let is_settled = !job.in_doubt || reaches;
            let stale = PatchOutcome::Stale { current: newest };
            let outcome = if is_settled { stale } else { PatchOutcome::Unknown };
            return self.answer(request, outcome, out);
        }
        let next = stored.patched(&job.attempt, &job.patch);
        match next.and_then(|next| Ok((next.to_text()?, next))) {
            Ok((value, next)) => {
                job.swap = Some(next);
                let op = StoreCall::Swap { prev, value };
                self.call_store(now, Purpose::Patch(request), op, out);
            }
            Err(fault) => self.answer(request, PatchOutcome::Invalid(fault), out),
        }
    }
}
