//! Guards against workspaces that exceed their limit over all VMs while messages are lost and delayed and VMs are
//! partitioned.

use std::{collections::BTreeMap, time::Duration};

use lw_limit::grant::{
    Demand, Grant, Limits, Members, Options, Rates, Report,
    coordinator::Coordinator,
    limiter::{Limiter, Outcome},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

const LIMIT_REQUESTS_PER_SECOND: f64 = 900.0;
const STEP: Duration = Duration::from_millis(50);

fn config() -> Config {
    Config {
        cases: 60,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    }
}

fn limits() -> Limits {
    [("w".to_owned(), Rates { requests: LIMIT_REQUESTS_PER_SECOND, tokens: 0.0 })].into()
}

/// VMs in virtual time that agree on the members; messages may be lost.
struct Fleet {
    limiters: Vec<Limiter>,
    coordinators: Vec<Coordinator>,
    members: Members,
    now: Duration,
    /// Receiver and report or grant by due time and a random number.
    network: BTreeMap<(Duration, u64), (usize, Result<Report, Grant>)>,
    rng: fastrand::Rng,
}

impl Fleet {
    fn new(vms: usize, seed: u64) -> Self {
        let names: Vec<_> = (0..vms).map(|i| format!("vm-{i}")).collect();
        let mut fleet = Self {
            limiters: Vec::new(),
            coordinators: Vec::new(),
            members: Members { alive: names.clone(), unreachable: Vec::new() },
            now: Duration::ZERO,
            network: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
        };
        for name in names {
            let mut limiter = Limiter::new(name.clone(), Options::default(), Duration::ZERO);
            let mut coordinator = Coordinator::new(name, Options::default());
            limiter.set_members(Duration::ZERO, fleet.members.clone());
            limiter.set_limits(Duration::ZERO, &limits());
            coordinator.set_members(fleet.members.clone());
            coordinator.set_limits(limits());
            fleet.limiters.push(limiter);
            fleet.coordinators.push(coordinator);
        }
        fleet
    }

    fn vm_index(&self, name: &str) -> usize {
        self.members.alive.iter().position(|vm| vm == name).unwrap()
    }

    /// Runs one step in which VM `i` receives `demand[i]` requests. Messages from and to `partitioned` VMs are lost.
    fn step(&mut self, demand: &[u32], loss: f64, partitioned: &[usize]) {
        self.now += STEP;
        for (limiter, &count) in self.limiters.iter_mut().zip(demand) {
            for _ in 0..count {
                limiter.admit(self.now, "w", 1);
            }
        }
        for from in 0..self.limiters.len() {
            if self.limiters[from].next_report(self.now) <= self.now {
                for (to, report) in self.limiters[from].reports(self.now) {
                    self.send(from, self.vm_index(&to), Ok(report), loss, partitioned);
                }
            }
        }
        while let Some(entry) = self.network.first_entry().filter(|e| e.key().0 <= self.now) {
            let (at, message) = entry.remove();
            match message {
                Ok(report) => {
                    let grant = self.coordinators[at].on_report(self.now, &report);
                    self.send(at, self.vm_index(&report.vm), Err(grant), loss, partitioned);
                }
                Err(grant) => self.limiters[at].apply_grant(self.now, &grant),
            }
        }
    }

    fn send(
        &mut self,
        from: usize,
        to: usize,
        message: Result<Report, Grant>,
        loss: f64,
        partitioned: &[usize],
    ) {
        let is_lost =
            self.rng.f64() < loss || partitioned.contains(&from) || partitioned.contains(&to);
        if from == to || !is_lost {
            let delay = if from == to { 0 } else { self.rng.u64(1..200) };
            let key = (self.now + Duration::from_millis(delay), self.rng.u64(..));
            self.network.insert(key, (to, message));
        }
    }

    fn rate_sum(&self) -> f64 {
        self.limiters.iter().map(|limiter| limiter.rate("w").unwrap().requests).sum()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against rates in use with a sum above 110 % of the limit, on average over 10 s, while reports and grants
    /// are lost, delayed and reordered, VMs are partitioned one after another, and demand moves.
    #[test]
    fn rates_stay_within_limit(
        vms in 7..=9_usize,
        seed in any::<u64>(),
        loss in 0.0..0.3_f64,
        phases in prop::collection::vec((0..9_usize, 0..9_usize, prop::bool::ANY), 4..8),
    ) {
        let mut fleet = Fleet::new(vms, seed);
        let mut sums = Vec::new();
        for (loaded, partitioned, is_partitioned) in phases {
            let demand: Vec<_> = (0..vms).map(|vm| if vm == loaded % vms { 60 } else { 4 }).collect();
            let partitioned = [partitioned % vms];
            for _ in 0..100 {
                fleet.step(&demand, loss, if is_partitioned { &partitioned } else { &[] });
                sums.push(fleet.rate_sum());
            }
        }
        for window in sums.windows(200).step_by(20) {
            let mean = window.iter().sum::<f64>() / 200.0;
            prop_assert!(mean <= LIMIT_REQUESTS_PER_SECOND * 1.1, "{mean} of {LIMIT_REQUESTS_PER_SECOND}");
        }
    }
}

/// Guards against a limit that is not used where the demand is, and against a rate that is granted to one VM before
/// another has released it while demand moves between them.
#[test]
fn rates_follow_demand() {
    let mut fleet = Fleet::new(8, 1);
    for loaded in [0, 5, 2, 7] {
        let demand: Vec<_> = (0..8).map(|vm| if vm == loaded { 80 } else { 1 }).collect();
        for _ in 0..60 {
            fleet.step(&demand, 0.0, &[]);
            assert!(
                fleet.rate_sum() <= LIMIT_REQUESTS_PER_SECOND * 1.08,
                "{} while demand moves to {loaded}",
                fleet.rate_sum()
            );
        }
        let rate = fleet.limiters[loaded].rate("w").unwrap().requests;
        assert!(rate >= LIMIT_REQUESTS_PER_SECOND * 0.8, "{rate} at VM {loaded}");
    }
}

/// Guards against a new coordinator that grants rates which VMs without a report yet may be using.
#[test]
fn members_without_report_keep_their_share() {
    let mut coordinator = Fleet::new(8, 3).coordinators.remove(0);
    let arrived = Rates { requests: 2.0 * LIMIT_REQUESTS_PER_SECOND, tokens: 0.0 };
    let entry = Demand { workspace: "w".into(), arrived, in_use: Rates::default(), grant: 0 };
    let report = Report { vm: "vm-0".into(), number: 1, entries: vec![entry] };
    let grant = coordinator.on_report(Duration::from_secs(9), &report);
    assert!(
        grant.rates[0].1.requests <= LIMIT_REQUESTS_PER_SECOND * (1.0 / 8.0 + 0.05) + 0.1,
        "{grant:?}"
    );
}

/// Guards against a partitioned VM that refuses all requests or uses more than its fallback share.
#[test]
fn partitioned_vm_uses_its_fallback_share() {
    let mut fleet = Fleet::new(8, 2);
    let coordinator = fleet.members.coordinator("w").cloned().unwrap();
    let partitioned = (0..8).find(|&vm| vm != fleet.vm_index(&coordinator)).unwrap();
    let demand = [10; 8];
    for _ in 0..40 {
        fleet.step(&demand, 0.0, &[]);
    }
    for _ in 0..60 {
        fleet.step(&demand, 0.0, &[partitioned]);
    }
    let rate = fleet.limiters[partitioned].rate("w").unwrap().requests;
    assert!((rate - LIMIT_REQUESTS_PER_SECOND / 8.0).abs() < 1.0, "{rate}");
    let rate_sum = fleet.rate_sum();
    assert!(
        (LIMIT_REQUESTS_PER_SECOND * 0.9..=LIMIT_REQUESTS_PER_SECOND * 1.1).contains(&rate_sum),
        "{rate_sum} with one VM partitioned"
    );
}

/// Guards against a restarted VM that never receives a grant, since it numbers its reports from 1 again.
#[test]
fn restarted_vm_gets_grants() {
    let mut fleet = Fleet::new(8, 4);
    let demand = [10; 8];
    for _ in 0..200 {
        fleet.step(&demand, 0.0, &[]);
    }
    fleet.limiters[3] = Limiter::new("vm-3".into(), Options::default(), fleet.now);
    fleet.limiters[3].set_members(fleet.now, fleet.members.clone());
    fleet.limiters[3].set_limits(fleet.now, &limits());
    for _ in 0..80 {
        fleet.step(&demand, 0.0, &[]);
    }
    let reports = fleet.limiters[3].reports(fleet.now);
    assert_ne!(reports[0].1.entries[0].grant, 0, "still on the fallback share");
}

/// Guards against an admission check with 1,500 limited workspaces that takes more than a tenth of the 50 us that
/// section 1.4 of the design allows for a decision. The fastest of five runs counts, since other processes interfere.
#[test]
fn admission_check_is_fast_with_many_workspaces() {
    let names: Vec<_> = (0..1_500).map(|i| format!("workspace-{i}")).collect();
    let rates = Rates { requests: 100.0, tokens: 100_000.0 };
    let limits: Limits = names.iter().map(|name| (name.clone(), rates)).collect();
    let mut limiter = Limiter::new("a".into(), Options::default(), Duration::ZERO);
    limiter.set_limits(Duration::ZERO, &limits);
    let cost = (1..6).map(|run| {
        let start = std::time::Instant::now();
        for name in &names {
            limiter.admit(Duration::from_secs(run), name, 900);
        }
        start.elapsed() / 1_500
    });
    let cost = cost.min().unwrap();
    println!("{cost:?} per check");
    assert!(cost < Duration::from_micros(5), "{cost:?}");
}

/// Guards against a burst above 250 ms of the rate after idle time, and a refusal without a retry delay.
#[test]
fn burst_is_bounded() {
    let mut limiter = Limiter::new("a".into(), Options::default(), Duration::ZERO);
    limiter.set_limits(Duration::ZERO, &limits());
    limiter.reports(Duration::from_secs(3));
    let now = Duration::from_secs(3_600);
    let admitted = (0..2_000).filter(|_| limiter.admit(now, "w", 1) == Outcome::Admitted).count();
    assert!((220..=230).contains(&admitted), "{admitted}");
    let Outcome::Refused { retry_after } = limiter.admit(now, "w", 1) else { panic!("admitted") };
    assert!(!retry_after.is_zero());
    assert_eq!(limiter.admit(now + retry_after * 2, "w", 1), Outcome::Admitted);
}

/// Guards against an old grant that replaces or extends a newer one, or that is used after its validity of 2 s.
#[test]
fn outdated_grants_are_ignored() {
    let mut limiter = Limiter::new("a".into(), Options::default(), Duration::ZERO);
    limiter.set_limits(Duration::ZERO, &limits());
    let grant = |number, requests| Grant {
        from: "a".into(),
        number,
        is_partial: false,
        rates: vec![("w".into(), Rates { requests, tokens: 0.0 })],
    };
    let start = Duration::from_secs(10);
    let rate = |limiter: &Limiter| limiter.rate("w").unwrap().requests;
    limiter.reports(start);
    limiter.reports(start + STEP);
    limiter.apply_grant(start + STEP, &grant(2, 50.0));
    limiter.apply_grant(start + STEP, &grant(1, 500.0));
    limiter.apply_grant(start + STEP, &grant(7, 700.0));
    limiter.apply_grant(start + STEP, &Grant { from: "b".into(), ..grant(2, 800.0) });
    assert!((rate(&limiter) - 50.0).abs() < 0.1, "{}", rate(&limiter));
    limiter.reports(start + Duration::from_secs(3));
    assert!((rate(&limiter) - LIMIT_REQUESTS_PER_SECOND).abs() < 0.1, "{}", rate(&limiter));
}
