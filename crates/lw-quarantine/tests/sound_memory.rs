//! Guards against memory that grows with the segments of answered prompts: callers choose how many a prompt has.

use std::time::Duration;

use lw_quarantine::evidence::{Evidence, SOUND_SEGMENTS_MAX};

/// More than a thousand segments fit into a request head.
const SEGMENTS: u64 = 1_000;
const PROMPTS: u64 = 400;
const SHARED: u64 = 0;

#[test]
fn sound_segments_are_remembered_within_a_bound_and_shared_ones_longest() {
    let mut evidence = Evidence::default();
    for n in 0..PROMPTS {
        let now = Duration::from_millis(n);
        let mut prompt = vec![SHARED];
        prompt.extend(1 + n * SEGMENTS..(n + 1) * SEGMENTS);
        if n < 2 {
            evidence.record_sound(now, &prompt);
        } else {
            evidence.record_sound(now, &prompt[1..]);
        }
        assert!(evidence.sound_count() <= SOUND_SEGMENTS_MAX, "{n}: {}", evidence.sound_count());
        assert!(prompt[1..].iter().all(|segment| evidence.sound_at(*segment) == Some(now)));
    }
    // Two prompts had it, long ago.
    assert_eq!(evidence.sound_at(SHARED), Some(Duration::from_millis(1)));
}
