//! Guards against VMs that accept a key later than a revocation may take, whatever the store loses, in virtual time: VMs
//! that are away, start or are paused, a store that returns from older copies, and what it lost written again later.

use std::time::Duration;

use fastrand::Rng;
use lw_edge::state::{RouterItem, StoreView};
use lw_platform::config::decode_catalog;
use lw_standin::hosted::operator::config;
use lw_types::prelude::*;
use proptest::{prelude::*, test_runner::RngSeed};

const REVOKE: Duration = Duration::from_secs(5);
const SETTLED_ERA: &str = "lavenderwood/settled-era";
const STEP_MS: u64 = 10;
const RUN_MS: u64 = 40_000;
/// Longest time from a return until what was lost is written again.
const REWRITE_MAX_MS: u64 = 1_900;
const CASES: u32 = 64;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What the store contains: the version of the configuration and the recorded era.
#[derive(Debug, Clone, Copy)]
struct Content {
    version: ConfigVersion,
    recorded: Option<Era>,
}

/// A store that is away at times and returns from older copies.
struct Store {
    era: Era,
    content: Content,
    /// Its content after each step.
    copies: Vec<Content>,
    /// When each version was acknowledged; the first one has the version 1.
    acknowledged: Vec<u64>,
    returns_at: Option<u64>,
    rewritten_at: Option<u64>,
}

/// A VM that reads the store. A read is sent at one time, answered at another one, and applied later.
struct Vm {
    view: StoreView,
    away_until: u64,
    read: Option<(u64, u64, Era, Content)>,
}

impl Vm {
    fn start() -> Self {
        Self { view: StoreView::new(ms(1_500)), away_until: 0, read: None }
    }

    fn apply(&mut self, now: u64, (sent, era, content): (u64, Era, Content)) {
        let view = &mut self.view;
        view.set_era(era, ms(now));
        view.retain_router_items(|_| false);
        let record = content.recorded.map(|recorded| RouterItem {
            value: format!("{{\"era\":{recorded}}}").into_bytes(),
            revision: 1,
            read_at: ms(now),
        });
        view.set_router_item(SETTLED_ERA, record);
        let text = config(content.version).to_string();
        view.install(decode_catalog(text.as_bytes()).expect("a valid configuration"));
        view.mark_read(ms(sent));
    }
}

/// Rates of what happens, each a second.
#[derive(Debug, Clone)]
struct Options {
    seed: u64,
    vms: usize,
    revocations: f64,
    returns: f64,
    absences: f64,
    restarts: f64,
}

fn run(options: &Options) {
    let mut rng = Rng::with_seed(options.seed);
    let mut store = Store {
        era: 1,
        content: Content { version: 1, recorded: None },
        copies: Vec::new(),
        acknowledged: vec![0],
        returns_at: None,
        rewritten_at: None,
    };
    let mut vms: Vec<Vm> = (0..options.vms).map(|_| Vm::start()).collect();
    for now in (0..RUN_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
        let mut happens = |rate: f64| rng.f64() * 1_000.0 < rate * 10.0;
        let (is_revoked, is_lost) = (happens(options.revocations), happens(options.returns));
        store.step(now, is_revoked, is_lost, &mut rng);
        for vm in &mut vms {
            let mut happens = |rate: f64| rng.f64() * 1_000.0 < rate * 10.0;
            if happens(options.restarts) {
                *vm = Vm::start();
            }
            if happens(options.absences) {
                vm.away_until = now + rng.u64(0..9_000);
            }
            vm.step(now, &mut store, &mut rng);
            check(now, vm, &store, options);
        }
    }
}

impl Store {
    fn step(&mut self, now: u64, is_revoked: bool, is_lost: bool, rng: &mut Rng) {
        if self.returns_at.is_some_and(|at| at <= now) {
            self.returns_at = None;
            self.era += 1;
            let age = rng.usize(0..900).min(self.copies.len() - 1);
            self.content = self.copies[self.copies.len() - 1 - age];
            self.rewritten_at = Some(now + rng.u64(0..REWRITE_MAX_MS));
        }
        if self.rewritten_at.is_some_and(|at| at <= now) && self.returns_at.is_none() {
            self.rewritten_at = None;
            self.content.version = u64::try_from(self.acknowledged.len()).unwrap();
        }
        let is_whole = self.returns_at.is_none() && self.rewritten_at.is_none();
        if is_whole && is_revoked {
            self.acknowledged.push(now);
            self.content.version = u64::try_from(self.acknowledged.len()).unwrap();
        }
        if is_whole && is_lost && now > 0 {
            self.returns_at = Some(now + rng.u64(0..4_000));
        }
        self.copies.push(self.content);
    }
}

impl Vm {
    fn step(&mut self, now: u64, store: &mut Store, rng: &mut Rng) {
        let is_reachable = self.away_until <= now && store.returns_at.is_none();
        // A paused VM applies an answer late.
        if let Some((sent, _, era, content)) = self.read.take_if(|(_, at, ..)| *at <= now) {
            self.apply(now, (sent, era, content));
        }
        if is_reachable && self.read.is_none() {
            let sent = now.saturating_sub(rng.u64(0..1_500));
            self.read = Some((sent, now + rng.u64(0..300), store.era, store.content));
        }
        if is_reachable && self.view.is_settled() && self.view.era() == Some(store.era) {
            store.content.recorded = Some(store.era);
        }
    }
}

/// No VM may use keys when the version after its own was acknowledged longer ago than a revocation may take.
fn check(now: u64, vm: &Vm, store: &Store, options: &Options) {
    let Some(catalog) = vm.view.catalog() else { return };
    let next = store.acknowledged.get(usize::try_from(catalog.version).unwrap());
    let is_overdue = next.is_some_and(|at| ms(now) > ms(*at) + REVOKE);
    assert!(
        !is_overdue || !vm.view.may_use_keys(ms(now), REVOKE),
        "at {now} ms version {} is used, the next one is from {next:?}, {options:?}",
        catalog.version
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(CASES),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_vm_accepts_a_key_whose_revocation_is_overdue(
        seed in any::<u64>(), vms in 1_usize..4, revocations in 0.05..2.0_f64,
        returns in 0.02..0.5_f64, absences in 0.0..0.5_f64, restarts in 0.0..0.5_f64,
    ) {
        run(&Options { seed, vms, revocations, returns, absences, restarts });
    }
}
