//! Guards against blocks of an earlier engine incarnation that count as cached, and against lost or repeated events.

mod common;

use std::time::Duration;

use common::stored_event;
use lw_route::{CacheChange, CacheEvent, index::PrefixIndex};
use proptest::prelude::*;

const NOW: Duration = Duration::from_secs(1);

// Failure: cache events that arrive after a crash of the engine add blocks that it has lost.
#[test]
fn late_events_of_an_older_incarnation_change_nothing() {
    let mut index = PrefixIndex::new(100);
    index.apply(NOW, stored_event(1, 1, 11));
    assert_eq!(index.cached_prefix_len(&[11]), 1);
    assert!(index.advance_incarnation(2));
    assert_eq!(index.cached_prefix_len(&[11]), 0);
    index.apply(NOW, stored_event(1, 2, 12));
    assert_eq!(index.cached_prefix_len(&[12]), 0);
}

// Failure: an event that is delivered twice or late adds a block again after its eviction.
#[test]
fn repeated_events_change_nothing() {
    let mut index = PrefixIndex::new(100);
    index.apply(NOW, stored_event(1, 1, 11));
    index.apply(NOW, CacheEvent { incarnation: 1, seq: 2, change: CacheChange::Evicted(11) });
    index.apply(NOW, stored_event(1, 1, 11));
    assert!(index.is_empty());
}

// Failure: one lost event removes all blocks, so one lost packet lowers the hit rate of an engine.
#[test]
fn a_gap_removes_no_blocks_and_is_reported_until_the_cache_is_cleared() {
    let mut index = PrefixIndex::new(100);
    index.apply(NOW, stored_event(1, 1, 11));
    index.apply(NOW, stored_event(1, 5, 12));
    assert!(index.has_gap());
    assert_eq!(index.cached_prefix_len(&[11, 12]), 2);
    index.apply(NOW, CacheEvent { incarnation: 1, seq: 6, change: CacheChange::Cleared });
    assert!(!index.has_gap() && index.is_empty());
}

proptest! {
    // Failure: a block counts as cached although no event of the current incarnation stored it.
    #[test]
    fn cached_blocks_belong_to_the_newest_incarnation(
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
            let was_stored = events.iter().any(|e| Some(e.0) == newest && e.2 == block && e.3);
            prop_assert!(was_stored || index.cached_prefix_len(&[block]) == 0);
        }
    }

    // Failure: an index grows without bound and uses up the memory of a small VM.
    #[test]
    fn the_index_is_bounded(blocks in proptest::collection::vec(any::<u64>(), 0..300)) {
        let mut index = PrefixIndex::new(50);
        for (i, &block) in blocks.iter().enumerate() {
            index.record_sent(Duration::from_millis(i as u64), &[block]);
            prop_assert!(index.len() <= 50);
            prop_assert_eq!(index.cached_prefix_len(&[block]), 1, "the newest entry must stay");
        }
    }
}
