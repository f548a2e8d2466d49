//! The two sizes of the product's users, and their capacity.

use crate::sim::{
    Micros, SECOND,
    outcome::Run,
    policy::Policy,
    workload::{Arrival, Phase, Shape, arrivals},
    world::{Fault, Setup, run},
};

/// Seeds of every case; the worst figure counts.
pub const SEEDS: [u64; 3] = [11, 23, 47];
/// Start of measuring: caches are warm and queues have their usual length.
pub const WARM: Micros = 15 * SECOND;
/// Time between digests. Mean of 20 trial seeds at 0.9 x capacity, digests each 100, 50, 20, 5 ms: in time 0.984,
/// 0.989, 0.989, 0.992; without digests about half.
pub const DIGEST_EVERY: Micros = SECOND / 20;
/// Part of the answers that must be in time at capacity.
const IN_TIME: f64 = 0.99;

/// Blocks that a Malabar engine holds. With 220 nothing was evicted within a run, but engines evict within
/// seconds.
const CACHE_BLOCKS: usize = 80;
/// Blocks that a Hellenic engine holds; a dossier has up to 58.
const HELLENIC_CACHE_BLOCKS: usize = 220;

/// Malabar: 12 engines, 3 ms between failure domains.
#[must_use]
pub fn malabar(policy: Policy, arrivals: Vec<Arrival>, until: Micros, seed: u64) -> Setup {
    Setup {
        arrivals,
        engines: 12,
        cache_blocks: CACHE_BLOCKS,
        policy,
        faults: Vec::new(),
        digest_every: Some(DIGEST_EVERY),
        link: 3_000,
        client_link: 1_000,
        until,
        seed,
    }
}

/// Hellenic: 14 engines, 5 ms between failure domains.
#[must_use]
pub fn hellenic(policy: Policy, arrivals: Vec<Arrival>, until: Micros, seed: u64) -> Setup {
    let setup = malabar(policy, arrivals, until, seed);
    Setup {
        engines: 14,
        cache_blocks: HELLENIC_CACHE_BLOCKS,
        link: 5_000,
        client_link: 3_000,
        ..setup
    }
}

/// Arrivals of the Malabar shape at a steady rate.
#[must_use]
pub fn steady(rate: f64, until: Micros, seed: u64) -> Vec<Arrival> {
    arrivals(Shape::Malabar, &[Phase { from: 0, rate, era: 0 }], until, seed)
}

/// Runs Malabar at a steady rate with faults.
#[must_use]
pub fn malabar_run(
    policy: Policy,
    rate: f64,
    until: Micros,
    seed: u64,
    faults: &[(Micros, Fault)],
) -> Run {
    let setup = malabar(policy, steady(rate, until, seed), until, seed);
    run(Setup { faults: faults.to_vec(), ..setup })
}

/// Requests a second of the Malabar shape that the engines can serve: the highest rate at which one of the
/// references answers 99 in 100 in time.
#[must_use]
pub fn capacity(seed: u64) -> f64 {
    let until = 90 * SECOND;
    let serves = |rate: f64| {
        [Policy::Greedy, Policy::PrefixHash].into_iter().any(|p| {
            malabar_run(p, rate, until, seed, &[]).part_in_time(WARM, until - 2 * SECOND) >= IN_TIME
        })
    };
    let (mut low, mut high) = (16.0, 256.0);
    while high - low > 2.0 {
        let middle = f64::midpoint(low, high);
        if serves(middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// Runs `measure` for each seed, in parallel; the results come in the order of [`SEEDS`].
///
/// # Panics
///
/// If a measurement panics.
pub fn each_seed<T: Send>(measure: impl Fn(u64) -> T + Sync) -> Vec<T> {
    std::thread::scope(|scope| {
        let measure = &measure;
        let threads: Vec<_> =
            SEEDS.iter().map(|&seed| scope.spawn(move || measure(seed))).collect();
        threads.into_iter().map(|t| t.join().expect("a measurement panicked")).collect()
    })
}

/// The largest of the seeds' figures.
#[must_use]
pub fn largest<T>(all: &[T], figure: impl Fn(&T) -> f64) -> f64 {
    all.iter().map(figure).fold(f64::MIN, f64::max)
}

/// The smallest of the seeds' figures.
#[must_use]
pub fn smallest<T>(all: &[T], figure: impl Fn(&T) -> f64) -> f64 {
    all.iter().map(figure).fold(f64::MAX, f64::min)
}
