//! Load of the engines of a service, and the work that a request is expected to take there, for admission.

use std::time::Duration;

use lw_limit::admission::overload::Pressure;
use lw_types::prelude::*;

use super::{UpstreamPool, UpstreamState, as_f64, queue::NewRequest, upstream_state::LOAD_MAX_AGE};
use crate::{
    Prompt, RANK_MAX,
    work::{EngineCost, Speed},
};

/// Rank behind all others.
const LAST_RANK: u8 = 2 * RANK_MAX + 1;
/// Fewest engines with a current load report that stand for all. Short requests of other VMs show only in these reports, and
/// in a large fleet a VM hears of each engine every few seconds only.
const REPORTS_MIN: usize = 4;
/// Longest wait at one engine that counts; a request that never fits waits forever.
const WAIT_MAX_MS: f64 = 10_000.0;
/// Prefill from which on attempts at the same engine wait for each other, in tokens.
const LONG_PREFILL_TOKENS: u64 = 1500;
/// Attempts that have not begun to answer and yet do not wait: the prefill of one is running.
const PREFILLS: usize = 1;

/// Time that work takes at the engines of a service, as a multiple of the usual.
#[derive(Debug, Clone, Copy)]
pub(super) struct MeanSpeed {
    /// Mean over the engines.
    factor: f64,
    /// Mean of each engine's factor divided by its slots.
    factor_per_slot: f64,
}

impl UpstreamPool {
    /// Returns the load of the engines that may get requests now; none if the service has no engines. Without pressure
    /// the wait is 0, since it is not needed.
    #[must_use]
    pub fn pressure(&self, now: Now) -> Option<Pressure> {
        let capacity_tokens = self.spec.as_ref()?.cache_tokens;
        let usable = self.upstreams.values();
        let usable: Vec<_> =
            usable.filter(|u| u.is_open(now) && now >= u.deprioritized_until).collect();
        let mut pressure = Pressure { engines: saturating(usable.len()), ..Pressure::default() };
        let mut ages = Duration::ZERO;
        let reported: Vec<_> = usable.iter().copied().filter(|u| u.has_report(now)).collect();
        let sample = if reported.len() >= REPORTS_MIN { reported } else { usable };
        for state in &sample {
            let slots = state.load.map_or(state.upstream.slots, |(_, load)| load.slots).max(1);
            let (running, waiting) = state.running_and_waiting(now);
            pressure.slots += slots;
            pressure.taken += running.min(slots);
            pressure.waiting += waiting;
            ages += state.load.map_or(LOAD_MAX_AGE, |(at, _)| now.saturating_sub(at));
        }
        let sampled = saturating(sample.len().max(1));
        pressure.age = ages / sampled;
        for sum in [&mut pressure.slots, &mut pressure.taken, &mut pressure.waiting] {
            *sum = sum.saturating_mul(pressure.engines) / sampled;
        }
        if !pressure.has_room() {
            let wait = |state: &&UpstreamState| {
                state.wait_behind_all_ms(now, capacity_tokens, self.cost(state))
            };
            let mut waits: Vec<_> = sample.iter().map(wait).collect();
            waits.sort_by(f64::total_cmp);
            // Without the engines that are slow or silent, and those that have just been used less.
            let middle = &waits[waits.len() / 4..waits.len() - waits.len() / 4];
            let mean = middle.iter().sum::<f64>() / f64::from(saturating(middle.len().max(1)));
            pressure.wait = Duration::try_from_secs_f64(mean / 1000.0).unwrap_or_default();
        }
        Some(pressure)
    }

    /// Updates the means over all engines that [`Self::expected_work_ms`] uses, so that an arriving request does not
    /// iterate over them.
    pub fn update_mean_speed(&mut self) {
        let mut mean = MeanSpeed { factor: 0.0, factor_per_slot: 0.0 };
        let engines = as_f64(u64::try_from(self.upstreams.len()).unwrap_or(u64::MAX));
        for state in self.upstreams.values() {
            let slots = state.load.map_or(state.upstream.slots, |(_, load)| load.slots).max(1);
            mean.factor += state.speed.factor() / engines;
            mean.factor_per_slot += state.speed.factor() / f64::from(slots) / engines;
        }
        self.mean_speed = (!self.upstreams.is_empty()).then_some(mean);
    }

    /// Returns the milliseconds for which a request is expected to keep one engine busy, if its shared segments are
    /// cached there. Engines decode as many requests at a time as they have slots. The speeds are those of the last
    /// [`Self::update_mean_speed`].
    #[must_use]
    pub fn expected_work_ms(&self, prompt: &Prompt) -> f64 {
        let slots = self.spec.as_ref().map_or(1, |spec| spec.slots.max(1));
        let usual = MeanSpeed { factor: 1.0, factor_per_slot: 1.0 / f64::from(slots) };
        let mean = self.mean_speed.unwrap_or(usual);
        // Callers state these numbers.
        let capacity_tokens = self.spec.as_ref().map_or(u64::MAX, |spec| spec.cache_tokens);
        let tokens = prompt.tokens.saturating_sub(prompt.shared_tokens()).min(capacity_tokens);
        let cost = self.costs.at(&Speed::default());
        cost.prefill_ms(tokens) * mean.factor
            + cost.decode_ms(prompt.output_tokens) * mean.factor_per_slot
    }
}

impl UpstreamState {
    /// Whether the load that it reported still counts.
    fn has_report(&self, now: Now) -> bool {
        self.load.is_some_and(|(at, _)| now.saturating_sub(at) < LOAD_MAX_AGE)
    }

    /// Returns the milliseconds until an engine can start the prefill of a request that is less urgent than all others and
    /// takes as much memory as they do on average.
    fn wait_behind_all_ms(&self, now: Now, capacity_tokens: u64, cost: EngineCost<'_>) -> f64 {
        let in_flight = u64::try_from(self.in_flight.len()).unwrap_or(u64::MAX);
        let tokens = self.in_flight.values().map(|f| f.tokens).sum::<u64>();
        let tokens = tokens.checked_div(in_flight).unwrap_or_default();
        let new = NewRequest { rank: LAST_RANK, tokens, peers: 0 };
        let wait_ms = self.wait_ms(now, new, capacity_tokens, cost) - self.step_ms(now);
        wait_ms.clamp(0.0, WAIT_MAX_MS)
    }

    /// Returns the requests that run and those that wait, as tracked here or as reported lately, whichever is more.
    fn running_and_waiting(&self, now: Now) -> (u32, u32) {
        let load = self.load.filter(|(at, _)| now.saturating_sub(*at) < LOAD_MAX_AGE);
        let (running, waiting) = load.map_or((0, 0), |(_, load)| (load.running, load.waiting));
        let begun = self.in_flight.values().filter(|f| f.started_at.is_some()).count();
        let tracked = saturating(self.in_flight.len() - begun);
        let long = self
            .in_flight
            .values()
            .filter(|f| f.started_at.is_none() && f.prefill_tokens >= LONG_PREFILL_TOKENS);
        let queued = saturating(long.count().saturating_sub(PREFILLS));
        (running.max(saturating(begun) + tracked), waiting.max(queued))
    }
}

fn saturating(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
