//! Where an engine can fetch segments from that it has not cached.

use std::{net::SocketAddr, time::Duration};

use lw_types::prelude::*;

use super::{UpstreamPool, UpstreamState, upstream_state::as_f64};
use crate::{CacheView, cache::SegmentKey};

/// Least tokens of shared segments that are fetched or saved. Transfers of an engine run one after another, so a small
/// one waits behind large ones for longer than its prefill takes.
const TRANSFER_MIN_TOKENS: u64 = 1000;
/// Time of a transfer that does not depend on its size.
const TRANSFER_SETUP: Duration = Duration::from_millis(10);
/// Duration of a transfer between failure domains as a multiple of one within a domain.
const CROSS_DOMAIN_TRANSFER_FACTOR: f64 = 2.0;
/// Engines start no transfer that waits longer than this.
const TRANSFER_MAX_WAIT: Duration = Duration::from_millis(1500);

/// The KV cache store behind the engines.
#[derive(Debug)]
pub(super) struct CacheStore {
    pub addr: SocketAddr,
    pub failure_domain: Domain,
    /// Speed of its link, in bits per second.
    pub link_bits: f64,
    pub view: CacheView,
    /// When all recorded transfers over its link are complete.
    pub link_free_at: Now,
    /// Not used until then, since it does not answer.
    pub unavailable_until: Now,
}

impl CacheStore {
    /// Marks segments that were being sent to the store as complete.
    pub fn mark_saved(&mut self, now: Now, segments: &[(SegmentKey, u64)]) {
        for (key, tokens) in segments {
            if self.view.leading_tokens(&[(*key, *tokens)]) == *tokens {
                self.view.insert(now, *key, *tokens, true);
            }
        }
    }
}

/// An engine or the store, which has cached leading segments of a prompt.
#[derive(Debug)]
pub(super) struct Source<'a> {
    /// Id of the engine; `None` for the KV cache store.
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
    /// Sets the KV cache store that the configuration names. The speed of its link is in bits per second.
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
            link_free_at: Now::ZERO,
            unavailable_until: Now::ZERO,
        });
    }

    /// Applies changes of the KV cache store, which shows that it answers.
    pub fn apply_store_cache_page(&mut self, now: Now, page: &crate::CachePage) {
        if let Some(store) = &mut self.store {
            store.view.apply(now, page);
            store.unavailable_until = Now::ZERO;
        }
    }

    /// Records that the KV cache store does not answer; it is not used until `until`.
    pub fn on_store_failure(&mut self, until: Now) {
        if let Some(store) = &mut self.store {
            store.unavailable_until = until;
        }
    }

    /// Returns the address that an engine sends its prefilled segments to, if that is worthwhile.
    pub(super) fn save_to(&self, now: Now, uncached_tokens: u64) -> Option<SocketAddr> {
        let store = self.store.as_ref().filter(|store| now >= store.unavailable_until)?;
        (uncached_tokens >= TRANSFER_MIN_TOKENS).then_some(store.addr)
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
        let store = self.store.as_ref().filter(|store| now >= store.unavailable_until);
        let store = store.map(|store| Source {
            engine: None,
            addr: store.addr,
            failure_domain: &store.failure_domain,
            link_bits: store.link_bits,
            link_free_at: store.link_free_at,
            tokens: store.view.fetchable_tokens(keys),
        });
        engines.chain(store).filter(|source| source.tokens >= TRANSFER_MIN_TOKENS).collect()
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
        if let Some(store) = self.store.as_mut().filter(|store| store.addr == from) {
            store.link_free_at = store.link_free_at.max(done);
        }
        for state in self.upstreams.values_mut().filter(|u| u.upstream.addr == from) {
            state.link_free_at = state.link_free_at.max(done);
        }
    }
}
