//! Steps of an operator's patch: read, validate, compare-and-swap, and a read to find the outcome of a swap
//! without a reply.

use std::time::Duration;

use lw_types::prelude::*;
use serde_json::Value;

use super::{store::CallPurpose, stored::StoredConfig};
use crate::{
    action::{Action, PatchOutcome, StoreCall, StoreOutcome},
    member::Member,
};

/// Time before the stored value is read again, to find the outcome of a swap or after an unusable value.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// An operator's patch that is not yet answered.
#[derive(Debug)]
pub(super) struct PendingPatch {
    base: ConfigVersion,
    patch: Value,
    attempt: String,
    deadline: Now,
    /// Whether a swap of unknown outcome was sent, which may have taken effect or may still do so.
    may_take_effect: bool,
    /// Time of the next read, while no store call is pending.
    next_read_at: Option<Now>,
    /// The value that the pending swap stores.
    swap_value: Option<StoredConfig>,
}

impl Member {
    /// Starts an operator's patch based on version `base`. The answer is an [`Action::Answer`] with the same
    /// `request`, a number that must be unique for this member.
    ///
    /// The patch is accepted when a swap on `config/current` stores a value whose history has its attempt id.
    /// Until then nothing is disseminated. After a swap without a reply, the value is read: if the history has
    /// the attempt id, the patch was accepted. Otherwise, if the base is still current, the same swap is sent
    /// again with the same revision, so that at most one of the two takes effect.
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
        store.attempt_count += 1;
        let (id, incarnation) = (&self.options.id, self.options.incarnation);
        let attempt = format!("{id}/{incarnation}/{}", store.attempt_count);
        let deadline = now + self.options.timings.patch_deadline;
        let pending = PendingPatch {
            base,
            patch,
            attempt,
            deadline,
            may_take_effect: false,
            next_read_at: None,
            swap_value: None,
        };
        store.pending_patches.insert(request, pending);
        let mut out = Vec::new();
        self.call_store(now, CallPurpose::Patch(request), StoreCall::Read, &mut out);
        out
    }

    /// Answers patches whose deadline is exceeded and sends reads that are due.
    pub(super) fn tick_patches(&mut self, now: Now, out: &mut Vec<Action>) {
        let pending_patches = &self.config.store.pending_patches;
        let timed_out: Vec<_> = pending_patches
            .iter()
            .filter(|(_, pending)| now >= pending.deadline)
            .map(|(request, pending)| {
                (*request, pending.may_take_effect || pending.swap_value.is_some())
            })
            .collect();
        for (request, may_take_effect) in timed_out {
            let outcome =
                if may_take_effect { PatchOutcome::Unknown } else { PatchOutcome::Unavailable };
            self.finish_patch(request, outcome, out);
        }
        let pending_patches = &mut self.config.store.pending_patches;
        let is_due =
            |pending: &mut PendingPatch| pending.next_read_at.take_if(|at| now >= *at).is_some();
        let reads: Vec<u64> = pending_patches
            .iter_mut()
            .filter_map(|(request, pending)| is_due(pending).then_some(*request))
            .collect();
        for request in reads {
            self.call_store(now, CallPurpose::Patch(request), StoreCall::Read, out);
        }
    }

    /// Answers the operator and drops the patch with its pending store calls.
    fn finish_patch(&mut self, request: u64, outcome: PatchOutcome, out: &mut Vec<Action>) {
        let store = &mut self.config.store;
        store.pending_patches.remove(&request);
        store.pending_calls.retain(|_, (purpose, _)| *purpose != CallPurpose::Patch(request));
        out.push(Action::Answer { request, outcome });
    }

    /// Continues a patch with the outcome of its store call; `stored` is the parsed value, if one was read.
    pub(super) fn on_patch_store_result(
        &mut self,
        now: Now,
        request: u64,
        outcome: &StoreOutcome,
        stored: Option<StoredConfig>,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.config.store.pending_patches.get_mut(&request) else { return };
        let swap_value = pending.swap_value.take();
        match outcome {
            StoreOutcome::Swapped(revision) => {
                let Some(stored) = swap_value else { return };
                self.record_revision(*revision);
                let version = stored.document.version;
                self.install_stored(now, &stored, out);
                self.finish_patch(request, PatchOutcome::Accepted(version), out);
            }
            StoreOutcome::Conflict => pending.next_read_at = Some(now),
            StoreOutcome::NotRun if !pending.may_take_effect => {
                self.finish_patch(request, PatchOutcome::Unavailable, out);
            }
            StoreOutcome::Value(revision, _) => {
                let revision = *revision;
                match stored {
                    Some(stored) => self.decide_patch(now, request, revision, &stored, out),
                    None => pending.next_read_at = Some(now + READ_RETRY_INTERVAL),
                }
            }
            StoreOutcome::Absent => self.decide_patch(now, request, 0, &StoredConfig::empty(), out),
            StoreOutcome::NotRun | StoreOutcome::Unknown | StoreOutcome::Unchanged => {
                pending.may_take_effect |= swap_value.is_some();
                let pause = if swap_value.is_some() { Duration::ZERO } else { READ_RETRY_INTERVAL };
                pending.next_read_at = Some(now + pause);
            }
        }
        // After a conflict or a lost reply, the value is read at once instead of at the next tick.
        self.read_if_due(now, request, out);
    }

    /// Reads the stored value for a patch if the time of its next read has come.
    fn read_if_due(&mut self, now: Now, request: u64, out: &mut Vec<Action>) {
        let Some(pending) = self.config.store.pending_patches.get_mut(&request) else { return };
        if pending.next_read_at.take_if(|at| now >= *at).is_some() {
            self.call_store(now, CallPurpose::Patch(request), StoreCall::Read, out);
        }
    }

    /// Evaluates the patch against the value just read: it is already accepted, stale or invalid, or a swap is sent.
    fn decide_patch(
        &mut self,
        now: Now,
        request: u64,
        prev: Revision,
        stored: &StoredConfig,
        out: &mut Vec<Action>,
    ) {
        let newest = stored.document.version.max(self.config.version());
        let Some(pending) = self.config.store.pending_patches.get_mut(&request) else { return };
        if let Some(entry) = stored.history.iter().find(|e| e.attempt == pending.attempt) {
            let version = entry.version;
            return self.finish_patch(request, PatchOutcome::Accepted(version), out);
        }
        if newest != pending.base {
            // Newer entries may already have displaced that of this patch from the history.
            let covers_base = stored.history.first().is_some_and(|e| e.version <= pending.base + 1);
            let is_certain = !pending.may_take_effect || covers_base;
            let stale = PatchOutcome::Stale { current: newest };
            let outcome = if is_certain { stale } else { PatchOutcome::Unknown };
            return self.finish_patch(request, outcome, out);
        }
        let next = stored.patched(&pending.attempt, &pending.patch);
        match next.and_then(|next| Ok((next.to_text()?, next))) {
            Ok((value, next)) => {
                pending.swap_value = Some(next);
                let op = StoreCall::Swap { prev, value };
                self.call_store(now, CallPurpose::Patch(request), op, out);
            }
            Err(e) => self.finish_patch(request, PatchOutcome::Invalid(e), out),
        }
    }
}
