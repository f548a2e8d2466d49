//! Upstreams and requests for the tests.

#![allow(dead_code, reason = "each test file uses only some of these")]

use std::{sync::Arc, time::Duration};

use lw_catalog::{EngineSpec, Stage, Upstream, upstreams::LoadedModel};
use lw_place::{CacheScope, CacheStoreSpec, PlacementRequest, Prompt, Segment, UpstreamPool};

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn spec() -> EngineSpec {
    EngineSpec {
        slots: 32,
        cache_tokens: 180_000,
        token_bytes: 18_432,
        link_bits: 88e9,
        tokens_per_event: 6,
        event_calls_max: 12,
        models: vec!["m".into()],
    }
}

/// Returns the KV cache store with this number in its address.
pub fn cache_store(number: u8) -> CacheStoreSpec {
    CacheStoreSpec {
        addr: ([10, 0, 9, number], 1).into(),
        failure_domain: "a".into(),
        tokens: 3_000_000,
        link_bits: 48e9,
    }
}

/// Returns an empty pool of engines for a VM in failure domain `a`, with a KV cache store.
pub fn pool() -> UpstreamPool {
    let mut pool = UpstreamPool::new("a".into());
    pool.configure(Some(spec()));
    pool.set_cache_stores([cache_store(9)]);
    pool
}

pub fn engine(id: &str, model: &str, version: u64) -> Arc<Upstream> {
    engine_in(id, "a", model, version)
}

pub fn engine_in(id: &str, domain: &str, model: &str, version: u64) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: id.into(),
        incarnation: 1,
        service: "s".into(),
        addr: "10.0.0.1:1".parse().unwrap(),
        failure_domain: domain.into(),
        stage: Stage::Ready,
        slots: 32,
        software: "v1".into(),
        models: vec![LoadedModel { model: model.into(), version }],
    })
}

/// Returns a prompt with one shared segment of 13,000 tokens.
pub fn prompt(model: &str) -> Prompt {
    let segments = vec![Segment { id: 1, tokens: 13_000 }, Segment { id: 2, tokens: 4_000 }];
    Prompt { model: model.into(), segments, tokens: 17_000, output_tokens: 20, ..Prompt::default() }
}

pub fn request(prompt: &Prompt) -> PlacementRequest<'_> {
    PlacementRequest {
        prompt: Some(prompt),
        cache_scope: &CacheScope::Shared { isolated_set: 0 },
        request_hash: 7,
        tried: &[],
        software: None,
        has_begun: false,
        returns_to: None,
        peers: 0,
        time_left: ms(6_000),
        time_to_target: ms(500),
        max_wait: ms(2_000),
        stale_weights_time: ms(10_000),
        suspended: Duration::ZERO,
    }
}
