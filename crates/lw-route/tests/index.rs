//! Guards against hits counted for blocks of a dead engine incarnation, and against lost or repeated events.

mod common;

use std::time::Duration;

use common::stored;
use lw_route::{CacheChange, CacheEvent, index::PrefixIndex};
use proptest::prelude::*;

const NOW: Duration = Duration::from_secs(1);

// Failure: events that were under way when the engine crashed bring back blocks that it has lost.
#[test]
fn late_events_of_an_older_incarnation_change_nothing() {
    let mut index = PrefixIndex::new(100);
    index.apply(NOW, stored(1, 1, 11));
    assert_eq!(index.held(&[11]), 1);
    assert!(index.advance(2));
    assert_eq!(index.held(&[11]), 0);
    index.apply(NOW, stored(1, 2, 12));
    assert_eq!(index.held(&[12]), 0);
}

// Failure: an event that is delivered twice or late stores a block again after its eviction.
#[test]
fn repeated_events_change_nothing() {
    let mut index = PrefixIndex::new(100);
    index.apply(NOW, stored(1, 1, 11));
    index.apply(NOW, CacheEvent { incarnation: 1, seq: 2, change: CacheChange::Evicted(11) });
    index.apply(NOW, stored(1, 1, 11));
    assert!(index.is_empty());
}

// Failure: one lost event drops all hints, so one lost packet costs the hit rate of an engine.
#[test]
fn a_gap_drops_nothing_and_is_visible_until_the_cache_is_cleared() {
    let mut index = PrefixIndex::new(100);
    index.apply(NOW, stored(1, 1, 11));
    index.apply(NOW, stored(1, 5, 12));
    assert!(index.has_gap());
    assert_eq!(index.held(&[11, 12]), 2);
    index.apply(NOW, CacheEvent { incarnation: 1, seq: 6, change: CacheChange::Cleared });
    assert!(!index.has_gap() && index.is_empty());
}

proptest! {
    // Failure: a block counts as held although no event of the current incarnation stored it.
    #[test]
    fn held_blocks_belong_to_the_newest_incarnation(
        events in proptest::collection::vec((1_u64..4, 1_u64..20, 0_u64..6, any::<bool>()), 0..60),
    ) {
        let mut index = PrefixIndex::new(100);
        for &(incarnation, seq, block, is_store) in &events {
            let change = if is_store { CacheChange::Stored(block) } else { CacheChange::Evicted(block) };
            index.apply(NOW, CacheEvent { incarnation, seq, change });
        }
        let newest = events.iter().map(|e| e.0).max();
        prop_assert_eq!(index.incarnation(), newest);
        for block in 0..6 {
            let is_known = events.iter().any(|e| Some(e.0) == newest && e.2 == block && e.3);
            prop_assert!(is_known || index.held(&[block]) == 0);
        }
    }

    // Failure: an index grows without bound and uses up the memory of a small VM.
    #[test]
    fn the_index_is_bounded(blocks in proptest::collection::vec(any::<u64>(), 0..300)) {
        let mut index = PrefixIndex::new(50);
        for (i, &block) in blocks.iter().enumerate() {
            index.touch(Duration::from_millis(i as u64), &[block]);
            prop_assert!(index.len() <= 50);
            prop_assert_eq!(index.held(&[block]), 1, "the newest entry must stay");
        }
    }
}
