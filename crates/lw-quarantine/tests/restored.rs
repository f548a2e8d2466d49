//! Guards against a quarantine that ends, or comes back, because the store returned from an older copy.

use std::{collections::HashMap, time::Duration};

use lw_quarantine::{Action, Basis, Quarantine, SegmentSet, StoredSet};

const NONE: [(SegmentSet, StoredSet); 0] = [];

fn set() -> SegmentSet {
    SegmentSet::from_iter([7])
}

fn stored(revision: u64) -> [(SegmentSet, StoredSet); 1] {
    [(set(), StoredSet { revision, crashes: 5 })]
}

/// Polls at a time in seconds, with the sets that the store contains.
fn poll(
    quarantine: &mut Quarantine,
    at: u64,
    stored: impl IntoIterator<Item = (SegmentSet, StoredSet)>,
) -> Vec<Action> {
    quarantine.poll(Duration::from_secs(at), &HashMap::from_iter(stored), 0)
}

/// A quarantined set that the store contains at revision 9.
fn quarantined() -> Quarantine {
    let mut quarantine = Quarantine::new("vm-1".into());
    let basis = Basis { age: Duration::ZERO, crashes: 5 };
    quarantine.record_announced(Duration::from_secs(1), set(), basis);
    poll(&mut quarantine, 2, stored(9));
    quarantine
}

fn is_quarantined(quarantine: &Quarantine, at: u64) -> bool {
    quarantine.time_left(Duration::from_secs(at), &[7]).is_some()
}

#[test]
fn a_set_that_was_lost_is_stored_again_and_one_that_was_removed_is_released() {
    let mut lost = quarantined();
    lost.on_store_restored(Duration::from_secs(3), 0);
    let actions = poll(&mut lost, 3, NONE);
    assert!(actions.contains(&Action::Store(set(), 5)), "{actions:?}");
    assert!(is_quarantined(&lost, 3));
    let mut removed = quarantined();
    poll(&mut removed, 3, NONE);
    assert!(!is_quarantined(&removed, 3));
}

#[test]
fn a_released_set_that_the_copy_contains_is_removed_again() {
    let mut quarantine = quarantined();
    quarantine.record_released(Duration::from_secs(3), &set());
    poll(&mut quarantine, 3, stored(9));
    poll(&mut quarantine, 4, NONE);
    quarantine.on_store_restored(Duration::from_secs(5), 0);
    let actions = poll(&mut quarantine, 5, stored(4));
    assert!(actions.contains(&Action::Unstore(set(), 4)), "{actions:?}");
    assert!(!is_quarantined(&quarantine, 5));
}
