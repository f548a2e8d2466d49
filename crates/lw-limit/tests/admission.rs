//! Guards against unfair refusals, idle engines under overload, and retry storms after a load peak.

use std::{collections::BTreeMap, time::Duration};

use fastrand::Rng;
use lw_limit::admission::{Admission, Options, Outcome, Pressure, Request};
use lw_types::prelude::*;

const STEP_SECONDS: f64 = 0.01;
/// Capacity of all engines in tokens per second.
const CAPACITY_TOKENS_PER_SECOND: f64 = 100_000.0;
/// Delay of the load reports, in steps.
const REPORT_DELAY_STEPS: usize = 30;
const PEAK_SECONDS: std::ops::Range<f64> = 10.0..20.0;
const END_SECONDS: f64 = 35.0;
const DEADLINE_SECONDS: f64 = 1.7;
/// Weight, and offered load outside and during the load peak as fractions of the capacity. The first two workspaces are
/// above their share.
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
struct Results {
    refused_below_share: u32,
    first_attempts_refused_after_peak: u32,
    first_attempts_after_peak: u32,
    served_in_peak: f64,
    timed_out_in_peak: f64,
    wait_after_peak: f64,
}

struct Fleet {
    vms: Vec<Admission>,
    queued_tokens: f64,
    waits: Vec<f64>,
    rng: Rng,
    retries: BTreeMap<(u64, u64), (usize, u32, u64)>,
    request_number: u64,
    results: Results,
}

impl Fleet {
    /// Runs a fleet that loses a fraction `loss` of the digests through a load peak of twice the capacity.
    fn run(seed: u64, vms: u32, loss: f64, class: Class) -> Results {
        let weights = WORKSPACES.iter().enumerate().map(|(i, w)| (format!("w{i}"), w.0));
        let weights: BTreeMap<_, _> = weights.collect();
        let vms = (0..vms).map(|i| {
            let mut vm = Admission::new(format!("vm-{i}"), Options::default());
            vm.set_weights(weights.clone());
            vm
        });
        let mut fleet = Self {
            vms: vms.collect(),
            queued_tokens: 0.0,
            waits: vec![0.0; REPORT_DELAY_STEPS],
            rng: Rng::with_seed(seed),
            retries: BTreeMap::new(),
            request_number: 0,
            results: Results::default(),
        };
        for step in 0_u32.. {
            let now = f64::from(step) * STEP_SECONDS;
            if now >= END_SECONDS {
                break;
            }
            fleet.step(now, loss, class);
        }
        fleet.results
    }

    fn step(&mut self, now: f64, loss: f64, class: Class) {
        let served = self.queued_tokens.min(CAPACITY_TOKENS_PER_SECOND * STEP_SECONDS);
        self.queued_tokens -= served;
        if PEAK_SECONDS.start + 1.0 < now && now < PEAK_SECONDS.end {
            self.results.served_in_peak += served;
        }
        if now > PEAK_SECONDS.end + 2.0 {
            self.results.wait_after_peak =
                self.results.wait_after_peak.max(self.queued_tokens / CAPACITY_TOKENS_PER_SECOND);
        }
        self.waits.push(self.queued_tokens / CAPACITY_TOKENS_PER_SECOND);
        let reported_wait = self.waits[self.waits.len() - REPORT_DELAY_STEPS];
        let pressure = Pressure {
            is_saturated: reported_wait > 0.1,
            expected_wait: Duration::from_secs_f64(reported_wait),
        };
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
        for (workspace, &(_, normal, peak)) in WORKSPACES.iter().enumerate() {
            let load = if PEAK_SECONDS.contains(&now) { peak } else { normal };
            let mean = load * CAPACITY_TOKENS_PER_SECOND / 1_000.0 * STEP_SECONDS;
            let count = mean.floor() + f64::from(u8::from(self.rng.f64() < mean.fract()));
            for _ in (0..100).take_while(|&n| f64::from(n) < count) {
                self.request_number += 1;
                self.arrive(now, class, workspace, 0, self.request_number);
            }
        }
        let now_ms = millis(now);
        while let Some(entry) = self.retries.first_entry().filter(|entry| entry.key().0 <= now_ms) {
            let (workspace, attempt, request_number) = entry.remove();
            self.arrive(now, class, workspace, attempt, request_number);
        }
    }

    fn arrive(
        &mut self,
        now: f64,
        class: Class,
        workspace: usize,
        attempt: u32,
        request_number: u64,
    ) {
        let tokens = 1 + request_number * 7_919 % 2_000;
        let id = format!("r{request_number}");
        let (name, at) = (format!("w{workspace}"), Duration::from_secs_f64(now));
        let remaining = Duration::from_secs_f64(DEADLINE_SECONDS);
        let vm = self.rng.usize(..self.vms.len());
        let request = Request { id: &id, attempt, workspace: &name, class, tokens, remaining };
        let is_first_attempt_after_peak = attempt == 0 && now > PEAK_SECONDS.end + 2.0;
        self.results.first_attempts_after_peak += u32::from(is_first_attempt_after_peak);
        match self.vms[vm].admit(at, request) {
            Outcome::Admitted => {
                self.queued_tokens += as_f64(tokens);
                if PEAK_SECONDS.contains(&now)
                    && self.queued_tokens / CAPACITY_TOKENS_PER_SECOND > DEADLINE_SECONDS
                {
                    self.results.timed_out_in_peak += as_f64(tokens);
                }
            }
            Outcome::Refused { retry_after } => {
                self.results.refused_below_share += u32::from(workspace >= 2);
                self.results.first_attempts_refused_after_peak +=
                    u32::from(is_first_attempt_after_peak);
                if attempt < 2 {
                    let key = (millis(now + retry_after.as_secs_f64()), request_number);
                    self.retries.insert(key, (workspace, attempt + 1, request_number));
                }
            }
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the seconds of a run are not negative"
)]
fn millis(seconds: f64) -> u64 {
    (seconds * 1_000.0) as u64
}

#[expect(clippy::cast_precision_loss, reason = "requests have far fewer than 2^52 tokens")]
fn as_f64(tokens: u64) -> f64 {
    tokens as f64
}

/// Seeds with which each case runs.
const SEEDS: std::ops::Range<u64> = 0..5;
/// Number of VMs, fraction of the digests that is lost, class.
const CASES: [(u32, f64, Class); 6] = [
    (8, 0.05, Class::Live),
    (8, 0.05, Class::Standard),
    (9, 0.3, Class::Live),
    (7, 0.3, Class::Bulk),
    (8, 0.5, Class::Live),
    (1, 0.0, Class::Live),
];

/// Guards against the refusal of a workspace below its share, idle engines while requests are refused, answers after
/// the deadline, and retried requests that delay the return to normal load by more than 2 s after the load peak.
#[test]
fn load_peak_is_shared_fairly_and_its_effects_end() {
    for ((vms, loss, class), seed) in
        CASES.into_iter().flat_map(|case| SEEDS.map(move |s| (case, s)))
    {
        let results = Fleet::run(seed, vms, loss, class);
        let case = format!("{vms} VMs, digest loss {loss}, {class:?}, seed {seed}");
        let served = results.served_in_peak
            / (CAPACITY_TOKENS_PER_SECOND * (PEAK_SECONDS.end - PEAK_SECONDS.start - 1.0));
        let timed_out = results.timed_out_in_peak
            / (CAPACITY_TOKENS_PER_SECOND * (PEAK_SECONDS.end - PEAK_SECONDS.start));
        let refused = f64::from(results.first_attempts_refused_after_peak)
            / f64::from(results.first_attempts_after_peak);
        let wait = results.wait_after_peak;
        println!(
            "{case}: in time {:.3}, after: refused {refused:.4}, wait {wait:.2} s",
            served - timed_out
        );
        assert_eq!(results.refused_below_share, 0, "{case}");
        assert!(
            served - timed_out >= 0.95,
            "{case}: {served} served, {timed_out} after the deadline"
        );
        assert!(refused <= 0.05, "{case}: {refused} of first attempts refused after the peak");
        assert!(wait <= DEADLINE_SECONDS, "{case}: {wait} s wait after the peak");
    }
}

/// Guards against retries that arrive together: no 100 ms may get more than 3 times the mean of its second.
#[test]
fn retry_delays_are_jittered() {
    let mut admission = Admission::new("vm-1".into(), Options::default());
    let wait = Duration::from_secs(10);
    admission.set_pressure(Pressure { is_saturated: false, expected_wait: wait });
    let mut buckets = BTreeMap::<u128, u32>::new();
    for request_number in 0..20_000 {
        let id = format!("request-{request_number}");
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
    assert!(buckets.len() >= 95, "retries fall into {} buckets", buckets.len());
    assert!(buckets.values().all(|&count| count < 600), "{buckets:?}");
}
