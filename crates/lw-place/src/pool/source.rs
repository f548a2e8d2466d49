//! Where an engine can fetch parts from that it does not hold.

use std::{net::SocketAddr, time::Duration};

use lw_types::prelude::*;

use super::{UpstreamPool, UpstreamState, upstream_state::as_f64};
use crate::{CacheView, cache::SegmentKey};

/// Least tokens of shared parts that are fetched or saved. Transfers of an engine run one after another, so a small
/// one waits behind large ones for longer than its tokens take to read.
const MOVE_MIN_TOKENS: u64 = 1000;
/// Time of a transfer besides its bytes.
const SETUP: Duration = Duration::from_millis(10);
/// Transfers between failure domains take this many times as long.
const AWAY_FACTOR: f64 = 2.0;
/// Transfers that would wait longer than this are not started by engines.
const WAIT_MAX: Duration = Duration::from_millis(1500);

/// The store of KV cache behind the engines.
#[derive(Debug)]
pub(super) struct CacheStore {
    pub addr: SocketAddr,
    pub failure_domain: Domain,
    pub link_bits: f64,
    pub view: CacheView,
    /// When its link has carried all transfers that are known.
    pub link_free: Now,
    /// Unusable until then, since it does not answer.
    pub deprioritized_until: Now,
}

impl CacheStore {
    /// Parts that were on their way to the store are there.
    pub fn read(&mut self, now: Now, segments: &[(SegmentKey, u64)]) {
        for (key, tokens) in segments {
            if self.view.leading_tokens(&[(*key, *tokens)]) == *tokens {
                self.view.insert(now, *key, *tokens, true);
            }
        }
    }
}

/// A holder of leading parts of a prompt.
#[derive(Debug)]
pub(super) struct Source<'a> {
    /// The engine, unless it is the store of KV cache.
    engine: Option<&'a str>,
    addr: SocketAddr,
    failure_domain: &'a Domain,
    link_bits: f64,
    link_free: Now,
    /// Tokens of the parts that it can give.
    tokens: u64,
}

/// A transfer to an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Transfer {
    pub from: SocketAddr,
    /// Tokens beyond those that the engine holds.
    pub tokens: u64,
    pub done: Now,
}

impl UpstreamPool {
    /// Takes the store of KV cache that the configuration names.
    pub fn set_cache_store(
        &mut self,
        addr: SocketAddr,
        failure_domain: &str,
        capacity_tokens: u64,
        link_bits: f64,
    ) {
        if self.store.as_ref().is_some_and(|store| store.addr == addr) {
            return;
        }
        self.store = Some(CacheStore {
            addr,
            failure_domain: failure_domain.to_owned(),
            link_bits,
            view: CacheView::new(capacity_tokens),
            link_free: Now::ZERO,
            deprioritized_until: Now::ZERO,
        });
    }

    /// Takes cache events of the store of KV cache.
    pub fn apply_store_cache_page(&mut self, now: Now, page: &crate::CachePage) {
        if let Some(store) = &mut self.store {
            store.view.apply(now, page);
            store.deprioritized_until = Now::ZERO;
        }
    }

    /// The store of KV cache does not answer, and is not used until `until`.
    pub fn on_store_failure(&mut self, until: Now) {
        if let Some(store) = &mut self.store {
            store.deprioritized_until = until;
        }
    }

    /// Where an engine sends the parts that it reads.
    pub(super) fn save_to(&self, now: Now, unread: u64) -> Option<SocketAddr> {
        let store = self.store.as_ref().filter(|store| now >= store.deprioritized_until)?;
        (unread >= MOVE_MIN_TOKENS).then_some(store.addr)
    }

    /// Who can give leading parts of a prompt, whichever engine asks.
    pub(super) fn sources(&self, now: Now, keys: &[(SegmentKey, u64)]) -> Vec<Source<'_>> {
        let Some(spec) = &self.spec else { return Vec::new() };
        let engines = self.upstreams.values().filter(|source| now >= source.deprioritized_until);
        let engines = engines.map(|source| Source {
            engine: Some(source.upstream.id.as_str()),
            addr: source.upstream.addr,
            failure_domain: &source.upstream.failure_domain,
            link_bits: spec.link_bits,
            link_free: source.link_free,
            tokens: source.cache.fetchable_tokens(keys),
        });
        let store = self.store.as_ref().filter(|store| now >= store.deprioritized_until);
        let store = store.map(|store| Source {
            engine: None,
            addr: store.addr,
            failure_domain: &store.failure_domain,
            link_bits: store.link_bits,
            link_free: store.link_free,
            tokens: store.view.fetchable_tokens(keys),
        });
        engines.chain(store).filter(|source| source.tokens >= MOVE_MIN_TOKENS).collect()
    }

    /// The source from which `target` gets the shared parts first, if a transfer is worth while.
    pub(super) fn transfer(
        &self,
        now: Now,
        target: &UpstreamState,
        sources: &[Source<'_>],
        held: u64,
    ) -> Option<Transfer> {
        let spec = self.spec.as_ref()?;
        let start = now.max(target.link_free);
        let own = Some(target.upstream.id.as_str());
        let others = sources.iter().filter(|source| source.engine != own);
        let transfers = others.filter_map(|source| {
            let tokens = source.tokens.checked_sub(held)?;
            let is_near = *source.failure_domain == target.upstream.failure_domain;
            let away = if is_near { 1.0 } else { AWAY_FACTOR };
            let bits = as_f64(tokens * spec.token_bytes * 8);
            let time = Duration::from_secs_f64(bits / source.link_bits.max(1e6) * away);
            let done = start.max(source.link_free) + SETUP + time;
            Some(Transfer { from: source.addr, tokens, done })
        });
        let worth_while = |transfer: &Transfer| {
            transfer.tokens >= MOVE_MIN_TOKENS && transfer.done < now + WAIT_MAX
        };
        // The most tokens first: what is not fetched has to be read, which takes far longer.
        let best = |a: &Transfer, b: &Transfer| b.tokens.cmp(&a.tokens).then(a.done.cmp(&b.done));
        transfers.filter(worth_while).min_by(best)
    }

    /// Counts a transfer at its source.
    pub(super) fn count_transfer(&mut self, from: SocketAddr, done: Now) {
        if let Some(store) = self.store.as_mut().filter(|store| store.addr == from) {
            store.link_free = store.link_free.max(done);
        }
        for state in self.upstreams.values_mut().filter(|m| m.upstream.addr == from) {
            state.link_free = state.link_free.max(done);
        }
    }
}
