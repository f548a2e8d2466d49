//! Where an engine can fetch segments from that it has not cached.

use std::{net::SocketAddr, time::Duration};

use lw_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{UpstreamPool, UpstreamState, upstream_state::as_f64};
use crate::{CacheView, cache::SegmentKey};

/// Least tokens of shared segments that are fetched or saved. Transfers of an engine run one after another, so a small
/// one waits behind large ones for longer than its prefill takes.
const TRANSFER_MIN_TOKENS: u64 = 1000;
/// Time of a transfer that does not depend on its size.
const TRANSFER_SETUP: Duration = Duration::from_millis(10);
/// Duration of a transfer between failure domains as a multiple of one within a domain.
const CROSS_DOMAIN_TRANSFER_FACTOR: f64 = 2.0;
/// Longest time until a transfer is complete: one that takes longer is not requested.
pub(super) const TRANSFER_MAX_WAIT: Duration = Duration::from_millis(1500);

/// A KV cache store behind the engines, as the configuration names it.
#[derive(Debug, Clone, PartialEq)]
pub struct CacheStoreSpec {
    /// Address.
    pub addr: SocketAddr,
    /// Failure domain.
    pub failure_domain: Domain,
    /// Capacity in tokens.
    pub tokens: u64,
    /// Speed of its link, in bits per second.
    pub link_bits: f64,
}

/// A KV cache store and its view.
#[derive(Debug)]
pub(super) struct CacheStore {
    pub spec: CacheStoreSpec,
    pub view: CacheView,
    /// When all recorded transfers over its link are complete.
    pub link_free_at: Now,
    /// Not used until then, since it does not answer.
    pub unavailable_until: Now,
}

impl CacheStore {
    fn new(spec: CacheStoreSpec) -> Self {
        Self {
            view: CacheView::new(spec.tokens),
            spec,
            link_free_at: Now::ZERO,
            unavailable_until: Now::ZERO,
        }
    }

    /// Marks segments that were being sent to the store as complete.
    pub fn mark_saved(&mut self, now: Now, segments: &[(SegmentKey, u64)]) {
        for (key, tokens) in segments {
            if self.view.leading_tokens(&[(*key, *tokens)]) == *tokens {
                self.view.insert(now, *key, *tokens, true);
            }
        }
    }
}

/// An engine or a store, which has cached leading segments of a prompt.
#[derive(Debug)]
pub(super) struct Source<'a> {
    /// Id of the engine; `None` for a KV cache store.
    engine: Option<&'a str>,
    addr: SocketAddr,
    failure_domain: &'a Domain,
    link_bits: f64,
    link_free_at: Now,
    /// Tokens of the leading segments that can be fetched from it.
    tokens: u64,
}

/// A transfer to an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Transfer {
    pub from: SocketAddr,
    /// Tokens beyond those that the engine has cached.
    pub tokens: u64,
    /// When it is complete.
    pub done: Now,
}

impl UpstreamPool {
    /// Sets the KV cache stores that the configuration names. One that stays keeps its view.
    pub fn set_cache_stores(&mut self, specs: impl IntoIterator<Item = CacheStoreSpec>) {
        let mut former = std::mem::take(&mut self.stores);
        for spec in specs {
            let known = former.iter().position(|store| store.spec == spec);
            let store = known.map(|index| former.swap_remove(index));
            self.stores.push(store.unwrap_or_else(|| CacheStore::new(spec)));
        }
    }

    /// Applies changes of the KV cache store at `addr`, which shows that it answers.
    pub fn apply_store_cache_page(&mut self, now: Now, addr: SocketAddr, page: &crate::CachePage) {
        for store in self.stores.iter_mut().filter(|store| store.spec.addr == addr) {
            store.view.apply(now, page);
            store.unavailable_until = Now::ZERO;
        }
    }

    /// Records that the KV cache store at `addr` does not answer; it is not used until `until`.
    pub fn on_store_failure(&mut self, addr: SocketAddr, until: Now) {
        for store in self.stores.iter_mut().filter(|store| store.spec.addr == addr) {
            store.unavailable_until = until;
        }
    }

    /// Returns the KV cache store that keeps a prompt with these segments, by rendezvous hashing of the last shared one: all
    /// VMs select the same one without a message, and the stores together keep each prompt once.
    pub(super) fn home_store(&self, keys: &[(SegmentKey, u64)]) -> Option<usize> {
        let (_, shared) = keys.split_last()?;
        let (key, _) = shared.last()?;
        let rank =
            |store: &CacheStore| xxh3_64_with_seed(store.spec.addr.to_string().as_bytes(), *key);
        let ranked = self.stores.iter().enumerate().max_by_key(|(_, store)| rank(store));
        ranked.map(|(index, _)| index)
    }

    /// Returns the address that an engine sends its prefilled segments to, if that is worthwhile.
    pub(super) fn save_to(
        &self,
        now: Now,
        keys: &[(SegmentKey, u64)],
        uncached_tokens: u64,
    ) -> Option<SocketAddr> {
        if uncached_tokens < TRANSFER_MIN_TOKENS {
            return None;
        }
        let store = &self.stores[self.home_store(keys)?];
        (now >= store.unavailable_until).then_some(store.spec.addr)
    }

    /// Returns who can provide leading segments of a prompt to any engine.
    pub(super) fn sources(&self, now: Now, keys: &[(SegmentKey, u64)]) -> Vec<Source<'_>> {
        let Some(spec) = &self.spec else { return Vec::new() };
        let engines = self.upstreams.values().filter(|source| now >= source.deprioritized_until);
        let engines = engines.map(|source| Source {
            engine: Some(source.upstream.id.as_str()),
            addr: source.upstream.addr,
            failure_domain: &source.upstream.failure_domain,
            link_bits: spec.link_bits,
            link_free_at: source.link_free_at,
            tokens: source.cache.fetchable_tokens(keys),
        });
        let stores = self.stores.iter().filter(|store| now >= store.unavailable_until);
        let stores = stores.map(|store| Source {
            engine: None,
            addr: store.spec.addr,
            failure_domain: &store.spec.failure_domain,
            link_bits: store.spec.link_bits,
            link_free_at: store.link_free_at,
            tokens: store.view.fetchable_tokens(keys),
        });
        engines.chain(stores).filter(|source| source.tokens >= TRANSFER_MIN_TOKENS).collect()
    }

    /// Returns the best transfer of shared segments to `target`, if any is worthwhile.
    pub(super) fn transfer(
        &self,
        now: Now,
        target: &UpstreamState,
        sources: &[Source<'_>],
        cached_tokens: u64,
    ) -> Option<Transfer> {
        let spec = self.spec.as_ref()?;
        let start = now.max(target.link_free_at);
        let target_id = Some(target.upstream.id.as_str());
        let others = sources.iter().filter(|source| source.engine != target_id);
        let transfers = others.filter_map(|source| {
            let tokens = source.tokens.checked_sub(cached_tokens)?;
            let is_same_domain = *source.failure_domain == target.upstream.failure_domain;
            let domain_factor = if is_same_domain { 1.0 } else { CROSS_DOMAIN_TRANSFER_FACTOR };
            let bits = as_f64(tokens * spec.token_bytes * 8);
            let time = Duration::from_secs_f64(bits / source.link_bits.max(1e6) * domain_factor);
            let done = start.max(source.link_free_at) + TRANSFER_SETUP + time;
            Some(Transfer { from: source.addr, tokens, done })
        });
        let is_worthwhile = |transfer: &Transfer| {
            transfer.tokens >= TRANSFER_MIN_TOKENS && transfer.done < now + TRANSFER_MAX_WAIT
        };
        // Prefers the most tokens: the prefill of tokens that are not fetched takes far longer.
        let by_benefit =
            |a: &Transfer, b: &Transfer| b.tokens.cmp(&a.tokens).then(a.done.cmp(&b.done));
        transfers.filter(is_worthwhile).min_by(by_benefit)
    }

    /// Reserves the link of the source until a transfer is complete.
    pub(super) fn reserve_link(&mut self, from: SocketAddr, done: Now) {
        for store in self.stores.iter_mut().filter(|store| store.spec.addr == from) {
            store.link_free_at = store.link_free_at.max(done);
        }
        for state in self.upstreams.values_mut().filter(|u| u.upstream.addr == from) {
            state.link_free_at = state.link_free_at.max(done);
        }
    }
}
