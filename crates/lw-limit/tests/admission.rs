//! Guards against unfair refusals, idle engines under overload, and retry storms after a peak.

use std::{collections::BTreeMap, time::Duration};

use fastrand::Rng;
use lw_limit::admission::{Admission, Options, Outcome, Pressure, Request};
use lw_types::prelude::*;

const STEP: f64 = 0.01;
/// Tokens a second of all engines.
const CAPACITY: f64 = 100_000.0;
/// Lag of the load reports behind the engines' queues, in steps.
const REPORT_LAG: usize = 30;
const PEAK: std::ops::Range<f64> = 10.0..20.0;
const END: f64 = 35.0;
const DEADLINE: f64 = 1.7;
/// Weight, offered load off peak and at the peak, as parts of the capacity. The first two are above their share.
const WORKSPACES: [(u64, f64, f64); 8] = [
    (1, 0.15, 0.9),
    (2, 0.2, 0.8),
    (1, 0.05, 0.06),
    (1, 0.05, 0.06),
    (1, 0.05, 0.06),
    (1, 0.05, 0.06),
    (1, 0.03, 0.03),
    (1, 0.03, 0.03),
];

#[derive(Default)]
struct Figures {
    refused_under_share: u32,
    first_refused_after: u32,
    first_after: u32,
    served_in_peak: f64,
    late_in_peak: f64,
    wait_after: f64,
}

struct Fleet {
    vms: Vec<Admission>,
    queued: f64,
    waits: Vec<f64>,
    rng: Rng,
    returning: BTreeMap<(u64, u64), (usize, u32, u64)>,
    number: u64,
    figures: Figures,
}

impl Fleet {
    /// A fleet where this part of the digests is lost, and its figures after a peak of twice the capacity.
    fn run(seed: u64, vms: u32, loss: f64, class: Class) -> Figures {
        let weights = WORKSPACES.iter().enumerate().map(|(i, w)| (format!("w{i}"), w.0));
        let weights: BTreeMap<_, _> = weights.collect();
        let vms = (0..vms).map(|i| {
            let mut vm = Admission::new(format!("vm-{i}"), Options::default());
            vm.set_weights(weights.clone());
            vm
        });
        let mut fleet = Self {
            vms: vms.collect(),
            queued: 0.0,
            waits: vec![0.0; REPORT_LAG],
            rng: Rng::with_seed(seed),
            returning: BTreeMap::new(),
            number: 0,
            figures: Figures::default(),
        };
        for step in 0_u32.. {
            let now = f64::from(step) * STEP;
            if now >= END {
                break;
            }
            fleet.step(now, loss, class);
        }
        fleet.figures
    }

    fn step(&mut self, now: f64, loss: f64, class: Class) {
        let served = self.queued.min(CAPACITY * STEP);
        self.queued -= served;
        if PEAK.start + 1.0 < now && now < PEAK.end {
            self.figures.served_in_peak += served;
        }
        if now > PEAK.end + 2.0 {
            self.figures.wait_after = self.figures.wait_after.max(self.queued / CAPACITY);
        }
        self.waits.push(self.queued / CAPACITY);
        let seen = self.waits[self.waits.len() - REPORT_LAG];
        let pressure =
            Pressure { is_saturated: seen > 0.1, expected_wait: Duration::from_secs_f64(seen) };
        let at = Duration::from_secs_f64(now);
        for from in 0..self.vms.len() {
            self.vms[from].set_pressure(pressure);
            if self.vms[from].next_digest() <= at {
                let digest = self.vms[from].digest(at);
                for vm in &mut self.vms {
                    if self.rng.f64() >= loss {
                        vm.on_peer_digest(at, digest.clone());
                    }
                }
            }
        }
        for (workspace, &(_, calm, peak)) in WORKSPACES.iter().enumerate() {
            let load = if PEAK.contains(&now) { peak } else { calm };
            let mean = load * CAPACITY / 1_000.0 * STEP;
            let count = mean.floor() + f64::from(u8::from(self.rng.f64() < mean.fract()));
            for _ in (0..100).take_while(|&n| f64::from(n) < count) {
                self.number += 1;
                self.arrive(now, class, workspace, 0, self.number);
            }
        }
        let due = millis(now);
        while let Some(entry) = self.returning.first_entry().filter(|entry| entry.key().0 <= due) {
            let (workspace, attempt, number) = entry.remove();
            self.arrive(now, class, workspace, attempt, number);
        }
    }

    fn arrive(&mut self, now: f64, class: Class, workspace: usize, attempt: u32, number: u64) {
        let tokens = 1 + number * 7_919 % 2_000;
        let id = format!("r{number}");
        let (name, at) = (format!("w{workspace}"), Duration::from_secs_f64(now));
        let remaining = Duration::from_secs_f64(DEADLINE);
        let vm = self.rng.usize(..self.vms.len());
        let request = Request { id: &id, attempt, workspace: &name, class, tokens, remaining };
        let is_first_after = attempt == 0 && now > PEAK.end + 2.0;
        self.figures.first_after += u32::from(is_first_after);
        match self.vms[vm].admit(at, request) {
            Outcome::Admitted => {
                self.queued += as_f64(tokens);
                if PEAK.contains(&now) && self.queued / CAPACITY > DEADLINE {
                    self.figures.late_in_peak += as_f64(tokens);
                }
            }
            Outcome::Refused { retry_after } => {
                self.figures.refused_under_share += u32::from(workspace >= 2);
                self.figures.first_refused_after += u32::from(is_first_after);
                if attempt < 2 {
                    let key = (millis(now + retry_after.as_secs_f64()), number);
                    self.returning.insert(key, (workspace, attempt + 1, number));
                }
            }
        }
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "seconds of a run")]
fn millis(seconds: f64) -> u64 {
    (seconds * 1_000.0) as u64
}

#[expect(clippy::cast_precision_loss, reason = "tokens of one request")]
fn as_f64(tokens: u64) -> f64 {
    tokens as f64
}

/// Runs of each case.
const SEEDS: std::ops::Range<u64> = 0..5;
/// VMs, part of the digests that is lost, class.
const CASES: [(u32, f64, Class); 6] = [
    (8, 0.05, Class::Live),
    (8, 0.05, Class::Standard),
    (9, 0.3, Class::Live),
    (7, 0.3, Class::Bulk),
    (8, 0.5, Class::Live),
    (1, 0.0, Class::Live),
];

/// Guards against the refusal of a workspace under its share, idle engines while work is refused, late answers,
/// and a load after the peak that returning requests keep from being normal within 2 s.
#[test]
fn peak_of_twice_the_capacity_is_shared_and_ends() {
    for ((vms, loss, class), seed) in
        CASES.into_iter().flat_map(|case| SEEDS.map(move |s| (case, s)))
    {
        let figures = Fleet::run(seed, vms, loss, class);
        let case = format!("{vms} VMs, digest loss {loss}, {class:?}, seed {seed}");
        let served = figures.served_in_peak / (CAPACITY * (PEAK.end - PEAK.start - 1.0));
        let late = figures.late_in_peak / (CAPACITY * (PEAK.end - PEAK.start));
        let refused = f64::from(figures.first_refused_after) / f64::from(figures.first_after);
        let wait = figures.wait_after;
        println!(
            "{case}: in time {:.3}, after: refused {refused:.4}, wait {wait:.2} s",
            served - late
        );
        assert_eq!(figures.refused_under_share, 0, "{case}");
        assert!(served - late >= 0.95, "{case}: {served} served, {late} late");
        assert!(refused <= 0.05, "{case}: {refused} of first attempts refused after the peak");
        assert!(wait <= DEADLINE, "{case}: {wait} s wait after the peak");
    }
}

/// Guards against returns that arrive together: no 100 ms may get more than 3 times the mean of its second.
#[test]
fn returns_are_spread() {
    let mut admission = Admission::new("vm-1".into(), Options::default());
    let wait = Duration::from_secs(10);
    admission.set_pressure(Pressure { is_saturated: false, expected_wait: wait });
    let mut buckets = BTreeMap::<u128, u32>::new();
    for number in 0..20_000 {
        let id = format!("request-{number}");
        let remaining = Duration::from_secs(1);
        let request = Request {
            id: &id,
            attempt: 0,
            workspace: "w",
            class: Class::Live,
            tokens: 1,
            remaining,
        };
        let Outcome::Refused { retry_after } = admission.admit(Duration::ZERO, request) else {
            panic!("admitted although the wait is above the deadline");
        };
        assert!(retry_after >= wait, "{retry_after:?}");
        *buckets.entry(retry_after.as_millis() / 100).or_default() += 1;
    }
    assert!(buckets.len() >= 95, "returns fall into {} buckets", buckets.len());
    assert!(buckets.values().all(|&count| count < 600), "{buckets:?}");
}
