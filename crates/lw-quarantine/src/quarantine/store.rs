//! Quarantined sets in the platform's store.

use std::{collections::HashMap, time::Duration};

use lw_types::prelude::*;

use super::{Action, Entry, Quarantine, ReleaseReason, State, StoredSet, is_cleared};
use crate::SegmentSet;

/// Delay before a VM writes to the store what those before it should have written.
const STORE_STEP: Duration = Duration::from_millis(500);
/// Time between two attempts to write the same to the store.
const STORE_RETRY_TIME: Duration = Duration::from_secs(2);

impl Quarantine {
    /// Adopts sets that other VMs wrote to the store, and releases those that were removed from it.
    pub(super) fn compare_with_store(
        &mut self,
        now: Now,
        stored: &HashMap<SegmentSet, StoredSet>,
        rank: u32,
    ) {
        let mut new = Vec::new();
        for (set, StoredSet { revision, crashes }) in stored {
            match self.entries.get_mut(set) {
                None => new.push((set.clone(), *crashes)),
                Some(Entry { state: State::Active { is_stored, .. }, .. }) => *is_stored = true,
                Some(entry) => {
                    if let State::Released { at, revision: released, .. } = &mut entry.state {
                        // Entries up to the first revision that is seen after the release are outdated.
                        if released.is_none() {
                            *released = Some(*revision);
                            entry.store_at = *at + STORE_STEP * rank;
                        } else if *released < Some(*revision) {
                            new.push((set.clone(), *crashes));
                        }
                    }
                }
            }
        }
        new.sort_by(|(a, _), (b, _)| a.len().cmp(&b.len()).then_with(|| a.cmp(b)));
        for (set, crashes) in new {
            let own = |segment| self.evidence.own_sound_at(segment);
            let is_cleared = is_cleared(&set, own, now, crashes);
            if is_cleared {
                self.vouch_for(now, &set);
            }
            if is_cleared || self.active().any(|(known, _)| known.covers(&set)) {
                let state = State::Released { at: now, revision: None, is_on_probation: false };
                self.entries.insert(set, Entry { state, store_at: now });
            } else {
                self.adopt(now, set, now, crashes, true);
            }
        }
        let is_removed = |(set, entry): (&SegmentSet, &Entry)| {
            let was_stored = matches!(entry.state, State::Active { is_stored: true, .. });
            (was_stored && !stored.contains_key(set)).then(|| set.clone())
        };
        let removed: Vec<_> = self.entries.iter().filter_map(is_removed).collect();
        for set in removed {
            self.release(now, &set, ReleaseReason::Elsewhere);
        }
    }

    /// Records that the store has returned from an older copy: sets that it does not contain were lost, not removed, and
    /// their revisions begin anew. `rank` is the position of this VM among those that could write to the store.
    pub fn on_store_restored(&mut self, now: Now, rank: u32) {
        for entry in self.entries.values_mut() {
            match &mut entry.state {
                State::Active { is_stored, .. } => *is_stored = false,
                State::Released { revision, .. } => *revision = None,
            }
            entry.store_at = now + STORE_STEP * rank;
        }
    }

    /// Returns the writes to the store that are due.
    pub(super) fn store_actions(
        &mut self,
        now: Now,
        stored: &HashMap<SegmentSet, StoredSet>,
        rank: u32,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for (set, entry) in &mut self.entries {
            let action = match (&entry.state, stored.get(set)) {
                (State::Active { since, crashes, .. }, None)
                    if now >= *since + STORE_STEP * rank =>
                {
                    Action::Store(set.clone(), *crashes)
                }
                (State::Released { revision: Some(released), .. }, Some(stored))
                    if stored.revision <= *released =>
                {
                    Action::Unstore(set.clone(), stored.revision)
                }
                _ => continue,
            };
            if now >= entry.store_at {
                entry.store_at = now + STORE_RETRY_TIME;
                actions.push(action);
            }
        }
        actions
    }
}
