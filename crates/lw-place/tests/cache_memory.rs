//! Guards against views of caches that grow with the segments that callers name, whatever sizes they state.

use std::time::Duration;

use lw_place::CacheView;

const CAPACITY_TOKENS: u64 = 16_000;

#[test]
fn segments_of_any_size_stay_within_the_capacity() {
    for tokens in [0, 1, 15, 16, 100] {
        let mut view = CacheView::new(CAPACITY_TOKENS);
        for key in 0..20_000 {
            view.insert(Duration::from_millis(key), key, tokens, true);
        }
        let kept = CAPACITY_TOKENS / tokens.max(16);
        assert_eq!(view.segment_count() as u64, kept, "{tokens} tokens each");
        // The last ones are kept.
        let newest = [(19_999, tokens), (20_000 - kept, tokens)];
        assert_eq!(view.fetchable_tokens(&newest), 2 * tokens);
        assert_eq!(view.fetchable_tokens(&[(19_999 - kept, 1)]), 0);
    }
}
