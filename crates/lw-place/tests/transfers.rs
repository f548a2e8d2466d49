//! Guards against transfers of KV cache that cost more than they save.

mod common;

use common::{engine, ms, pool, prompt, request};
use lw_place::{Prompt, Segment, UpstreamPool};

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
/// Returns a pool with three KV cache stores, listed from the one with this number on, and one engine.
fn pool_with_stores(first: u8) -> UpstreamPool {
    let mut pool = common::pool();
    pool.set_cache_stores((0..3).map(|n| common::cache_store((first + n) % 3 + 1)));
    pool.put(&engine("e-1", "m", 1));
    pool
}

fn prompt_number(number: u64) -> Prompt {
    let mut prompt = prompt("m");
    prompt.segments[0].id = 1000 + number;
    prompt.segments[1].id = 2000 + number;
    prompt
}

/// Guards against stores that are configured and never used, and against VMs that look for a prompt in different stores.
#[test]
fn all_vms_keep_each_prompt_in_the_same_of_several_stores() {
    let pools = [pool_with_stores(0), pool_with_stores(2)];
    let mut used = std::collections::BTreeMap::<_, usize>::new();
    for number in 0..300 {
        let prompt = prompt_number(number);
        let saved = pools.each_ref().map(|pool| {
            pool.place(ms(0), &request(&prompt)).unwrap().save_to.expect("the prompt is saved")
        });
        assert_eq!(saved[0], saved[1], "prompt {number}");
        *used.entry(saved[0]).or_default() += 1;
    }
    assert_eq!(used.len(), 3);
    assert!(used.values().all(|count| (70..130).contains(count)), "{used:?}");
}

/// Guards against one failed store that ends the use of the others.
#[test]
fn a_store_that_does_not_answer_is_left_out_alone() {
    let mut pool = pool_with_stores(0);
    let failed = common::cache_store(1).addr;
    pool.on_store_failure(failed, ms(5_000));
    let saved = |pool: &UpstreamPool, now| -> Vec<_> {
        let save_to = |n| pool.place(now, &request(&prompt_number(n))).unwrap().save_to;
        (0..60).map(save_to).collect()
    };
    let during = saved(&pool, ms(100));
    assert!(during.iter().all(|addr| *addr != Some(failed)));
    assert!(during.iter().any(Option::is_some));
    assert!(saved(&pool, ms(5_000)).contains(&Some(failed)));
}

/// Guards against segments that are recorded at another store than the one that has them.
#[test]
fn a_saved_prompt_is_fetched_from_its_store_after_the_engine_is_gone() {
    for number in 0..20 {
        let mut pool = pool_with_stores(0);
        let prompt = prompt_number(number);
        let placement = pool.place(ms(0), &request(&prompt)).unwrap();
        let (id, _) = pool.record_sent(ms(0), &placement, Some(&prompt));
        pool.record_started(ms(300), "e-1", id);
        pool.remove("e-1");
        pool.put(&engine("e-2", "m", 1));
        let again = pool.place(ms(400), &request(&prompt)).unwrap();
        assert_eq!(again.fetch_from, placement.save_to, "prompt {number}");
    }
}
