//! Reads and watches of the configuration in the platform's store.

use std::{collections::BTreeMap, time::Duration};

use lw_types::prelude::*;

use super::{patch::PendingPatch, stored::StoredConfig};
use crate::{
    action::{Action, StoreCall, StoreOutcome},
    member::Member,
};

/// VMs in each failure domain that watch the key: the second one covers the time until the failure of the
/// first is detected.
const WATCHERS_PER_DOMAIN: usize = 2;
/// Key by which the watchers are selected with rendezvous hashing.
const WATCH_KEY: &[u8] = b"config/watch";
/// Time until the next call after a first failure; doubles with each further one.
const BACKOFF_MIN: Duration = Duration::from_secs(1);
/// Longest time until the next call after repeated failures.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// Purpose of a store call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallPurpose {
    /// Read after the start, while no document is accepted.
    InitialRead,
    /// Long poll for changes.
    Watch,
    /// Step of the operator's patch with this request number.
    Patch(u64),
}

/// State of the store calls, the watch and the operators' patches.
#[derive(Debug, Default)]
pub(crate) struct StoreAccess {
    next_call: u64,
    pub(super) pending_calls: BTreeMap<u64, (CallPurpose, Now)>,
    revision: Revision,
    is_watcher: bool,
    view_generation: u64,
    next_watch: Now,
    watch_backoff: Duration,
    next_read: Now,
    read_backoff: Duration,
    is_key_absent: bool,
    pub(super) pending_patches: BTreeMap<u64, PendingPatch>,
    pub(super) attempt_count: u64,
}

impl StoreAccess {
    fn has_pending_call(&self, purpose: CallPurpose) -> bool {
        self.pending_calls.values().any(|(other, _)| *other == purpose)
    }
}

impl Member {
    /// Whether this VM watches the configuration in the store.
    ///
    /// ```
    /// use lw_member::{Member, Options};
    /// let now = std::time::Duration::ZERO;
    /// let options = Options::new("vm-1", "10.0.0.1:7400".parse().unwrap(), "kochi-1", 1);
    /// let mut member = Member::new(now, options);
    /// member.tick(now);
    /// assert!(member.is_watcher());
    /// ```
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.config.store.is_watcher
    }

    /// Handles the outcome of the store call with this number. Late and duplicate outcomes do no harm.
    pub fn on_store_result(&mut self, now: Now, call: u64, outcome: &StoreOutcome) -> Vec<Action> {
        let mut out = Vec::new();
        let purpose = self.config.store.pending_calls.remove(&call).map(|(purpose, _)| purpose);
        let stored = match outcome {
            StoreOutcome::Value(revision, text) => {
                self.install_value(now, *revision, text, &mut out)
            }
            _ => None,
        };
        match purpose {
            Some(CallPurpose::InitialRead) => self.schedule_read(now, outcome),
            Some(CallPurpose::Watch) => self.schedule_watch(now, outcome),
            Some(CallPurpose::Patch(request)) => {
                self.on_patch_store_result(now, request, outcome, stored, &mut out);
            }
            None => {}
        }
        out
    }

    /// Installs a value read from the store if it is newer, and sends it to peers. Returns the parsed value, or
    /// `None` if it cannot be parsed.
    fn install_value(
        &mut self,
        now: Now,
        revision: Revision,
        text: &str,
        out: &mut Vec<Action>,
    ) -> Option<StoredConfig> {
        let stored = StoredConfig::parse(text).ok()?;
        self.config.store.revision = self.config.store.revision.max(revision);
        self.install_stored(now, &stored, out);
        Some(stored)
    }

    /// Installs a stored document with its patches if it is newer, and sends it to peers.
    pub(super) fn install_stored(
        &mut self,
        now: Now,
        stored: &StoredConfig,
        out: &mut Vec<Action>,
    ) {
        let before = self.config.version();
        if stored.document.version == 0 || !self.install(stored.document.clone(), out) {
            return;
        }
        for patch in stored.patches().filter(|patch| patch.version > before) {
            self.config.retain_patch(patch);
        }
        self.push_latest_patch(now, out);
    }

    fn schedule_read(&mut self, now: Now, outcome: &StoreOutcome) {
        let pause = self.config.store.read_backoff;
        let next = (pause * 2).clamp(BACKOFF_MIN, BACKOFF_MAX);
        let jitter = self.jitter(next / 2);
        let store = &mut self.config.store;
        store.is_key_absent = matches!(outcome, StoreOutcome::Absent);
        (store.read_backoff, store.next_read) = (next, now + next / 2 + jitter);
    }

    fn schedule_watch(&mut self, now: Now, outcome: &StoreOutcome) {
        let has_succeeded = matches!(outcome, StoreOutcome::Value(..) | StoreOutcome::Unchanged);
        let pause = self.config.store.watch_backoff;
        let next = if has_succeeded {
            Duration::ZERO
        } else {
            (pause * 2).clamp(BACKOFF_MIN, BACKOFF_MAX)
        };
        let jitter = self.jitter(next / 2);
        let store = &mut self.config.store;
        (store.watch_backoff, store.next_watch) = (next, now + next / 2 + jitter);
    }

    pub(super) fn tick_store(&mut self, now: Now, out: &mut Vec<Action>) {
        self.time_out_calls(now, out);
        self.update_watcher_role();
        let store = &self.config.store;
        let needs_read = self.config.accepted.is_none() && !store.is_key_absent;
        let may_read = now >= store.next_read && !store.has_pending_call(CallPurpose::InitialRead);
        if needs_read && may_read {
            self.call_store(now, CallPurpose::InitialRead, StoreCall::Read, out);
        }
        let store = &self.config.store;
        if store.is_watcher
            && now >= store.next_watch
            && !store.has_pending_call(CallPurpose::Watch)
        {
            let after = store.revision;
            self.call_store(now, CallPurpose::Watch, StoreCall::Watch { after }, out);
        }
    }

    /// Gives store calls without a result in time an unknown outcome.
    fn time_out_calls(&mut self, now: Now, out: &mut Vec<Action>) {
        let timings = &self.options.timings;
        let (call_timeout, watch_timeout) = (timings.call_timeout, timings.watch_timeout);
        let is_timed_out = |(purpose, at): &(CallPurpose, Now)| {
            now >= *at + if *purpose == CallPurpose::Watch { watch_timeout } else { call_timeout }
        };
        let calls = &self.config.store.pending_calls;
        let timed_out: Vec<u64> =
            calls.iter().filter(|(_, c)| is_timed_out(c)).map(|(call, _)| *call).collect();
        for call in timed_out {
            let actions = self.on_store_result(now, call, &StoreOutcome::Unknown);
            out.extend(actions);
        }
    }

    /// Selects the watchers of this failure domain again after a change of the view.
    fn update_watcher_role(&mut self) {
        if self.config.store.view_generation == self.view.generation() {
            return;
        }
        self.config.store.view_generation = self.view.generation();
        let (id, domain) = (&self.options.id, &self.options.domain);
        let in_domain = self
            .view
            .ranked(WATCH_KEY, WATCHERS_PER_DOMAIN, |p| p.is_selectable() && p.domain == *domain);
        self.config.store.is_watcher = in_domain.iter().any(|p| p.id == *id);
    }

    /// Adds a store call to the actions and returns its number.
    pub(super) fn call_store(
        &mut self,
        now: Now,
        purpose: CallPurpose,
        op: StoreCall,
        out: &mut Vec<Action>,
    ) -> u64 {
        let store = &mut self.config.store;
        store.next_call += 1;
        store.pending_calls.insert(store.next_call, (purpose, now));
        out.push(Action::Store { call: store.next_call, op });
        store.next_call
    }

    pub(super) fn record_revision(&mut self, revision: Revision) {
        let store = &mut self.config.store;
        store.revision = store.revision.max(revision);
    }
}
