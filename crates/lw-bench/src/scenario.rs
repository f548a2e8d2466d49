//! Setups of the two simulated installations, and the rate that one of them can serve.

use crate::sim::{
    Micros, SECOND,
    results::RunResult,
    routing::RoutingPolicy,
    simulation::{Fault, Setup, run},
    workload::{Arrival, Phase, Shape, arrivals},
};

/// Seeds of the cases; the worst result counts.
pub const SEEDS: [u64; 3] = [11, 23, 47];
/// Time from which a run is measured, when caches are warm and queues have reached their usual length.
pub const MEASURE_FROM: Micros = 15 * SECOND;
/// Time between digests. At 0.9 x capacity, the mean fraction of requests answered in time over 20 seeds is 0.984,
/// 0.989, 0.989 and 0.992 with digests every 100, 50, 20 and 5 ms, and about half without digests.
pub const DIGEST_INTERVAL: Micros = SECOND / 20;
/// Least fraction of requests that are answered in time at a rate that counts as served.
const IN_TIME_FRACTION_MIN: f64 = 0.99;

/// Blocks that an engine caches. With 220 nothing is evicted within a run, while real engines evict within seconds.
const CONVERSATIONS_CACHE_BLOCKS: usize = 80;
/// Blocks that an engine caches; a long document has up to 58.
const DOCUMENTS_CACHE_BLOCKS: usize = 220;

/// Returns the setup for conversations: 12 engines, 3 ms between failure domains.
#[must_use]
pub fn conversations_setup(
    policy: RoutingPolicy,
    arrivals: Vec<Arrival>,
    until: Micros,
    seed: u64,
) -> Setup {
    Setup {
        arrivals,
        engines: 12,
        cache_blocks: CONVERSATIONS_CACHE_BLOCKS,
        policy,
        faults: Vec::new(),
        digest_interval: Some(DIGEST_INTERVAL),
        link_delay: 3_000,
        caller_link_delay: 1_000,
        until,
        seed,
    }
}

/// Returns the setup for approvals and long documents: 14 engines, 5 ms between failure domains.
#[must_use]
pub fn documents_setup(
    policy: RoutingPolicy,
    arrivals: Vec<Arrival>,
    until: Micros,
    seed: u64,
) -> Setup {
    let setup = conversations_setup(policy, arrivals, until, seed);
    Setup {
        engines: 14,
        cache_blocks: DOCUMENTS_CACHE_BLOCKS,
        link_delay: 5_000,
        caller_link_delay: 3_000,
        ..setup
    }
}

/// Returns the arrivals of conversations at a steady rate per second.
#[must_use]
pub fn steady_conversations(rate: f64, until: Micros, seed: u64) -> Vec<Arrival> {
    arrivals(Shape::Conversations, &[Phase { from: 0, rate, prefix_set: 0 }], until, seed)
}

/// Runs conversations at a steady rate per second with faults.
#[must_use]
pub fn run_conversations(
    policy: RoutingPolicy,
    rate: f64,
    until: Micros,
    seed: u64,
    faults: &[(Micros, Fault)],
) -> RunResult {
    let setup = conversations_setup(policy, steady_conversations(rate, until, seed), until, seed);
    run(Setup { faults: faults.to_vec(), ..setup })
}

/// Returns the requests per second of conversations that the engines can serve: the highest rate, within 2/s, at which
/// greedy or prefix hash answers 99 in 100 in time.
#[must_use]
pub fn capacity(seed: u64) -> f64 {
    let until = 90 * SECOND;
    let is_served = |rate: f64| {
        [RoutingPolicy::Greedy, RoutingPolicy::PrefixHash].into_iter().any(|p| {
            run_conversations(p, rate, until, seed, &[])
                .in_time_fraction(MEASURE_FROM, until - 2 * SECOND)
                >= IN_TIME_FRACTION_MIN
        })
    };
    let (mut low, mut high) = (16.0, 256.0);
    while high - low > 2.0 {
        let middle = f64::midpoint(low, high);
        if is_served(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// Runs `measure` for each seed in parallel; the results are in the order of [`SEEDS`].
///
/// # Panics
///
/// If a measurement panics.
pub fn for_each_seed<T: Send>(measure: impl Fn(u64) -> T + Sync) -> Vec<T> {
    std::thread::scope(|scope| {
        let measure = &measure;
        let threads: Vec<_> =
            SEEDS.iter().map(|&seed| scope.spawn(move || measure(seed))).collect();
        threads.into_iter().map(|t| t.join().expect("a measurement panicked")).collect()
    })
}

/// Returns the largest value over the results of all seeds.
#[must_use]
pub fn largest<T>(results: &[T], value: impl Fn(&T) -> f64) -> f64 {
    results.iter().map(value).fold(f64::MIN, f64::max)
}

/// Returns the smallest value over the results of all seeds.
#[must_use]
pub fn smallest<T>(results: &[T], value: impl Fn(&T) -> f64) -> f64 {
    results.iter().map(value).fold(f64::MAX, f64::min)
}
