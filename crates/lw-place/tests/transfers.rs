//! Guards against transfers of KV cache that cost more than they save.

mod common;

use common::{engine, ms, pool, prompt, request};
use lw_place::{Prompt, Segment};

/// Guards against small transfers: one waits behind large ones on its engine's link for longer than its prefill takes.
#[test]
fn small_segments_are_neither_fetched_nor_saved() {
    let mut pool = pool();
    pool.put(&engine("e1", "m", 1));
    let segments = vec![Segment { id: 1, tokens: 55 }, Segment { id: 2, tokens: 300 }];
    let small = Prompt { tokens: 355, segments, ..prompt("m") };
    let placement = pool.place(ms(0), &request(&small)).unwrap();
    assert_eq!((placement.fetch_from, placement.save_to), (None, None));
    let placement = pool.place(ms(0), &request(&prompt("m"))).unwrap();
    assert!(placement.save_to.is_some());
}
