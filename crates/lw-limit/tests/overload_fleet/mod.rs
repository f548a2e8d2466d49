//! Model of a service under overload, in virtual time: engines with slots, VMs that decide on old load reports, lossy
//! digests, and callers that retry.

use std::{collections::VecDeque, time::Duration};

use fastrand::Rng;
use lw_limit::admission::overload::{Arrival, Decision, Key, Level, Overload, Pressure};

const STEP_MS: u64 = 5;
pub const ENGINES: usize = 30;
const SLOTS: usize = 8;
/// Age of the load reports on which VMs decide.
const REPORT_AGE_MS: u64 = 200;
pub const PEAK_MS: std::ops::Range<u64> = 5_000..11_000;
/// Normal service is checked for requests that arrive then and can begin before the end.
pub const NORMAL_MS: std::ops::Range<u64> = PEAK_MS.end + 2_000..END_MS - 500;
const END_MS: u64 = 16_000;
/// Load without a peak, relative to the capacity.
const NORMAL_LOAD: f64 = 0.7;
/// Part of the demand of each of the three large workspaces.
const LARGE_PART: f64 = 0.25;
pub const LARGE: usize = 3;
pub const WORKSPACES: usize = 16;
/// Actual over expected work of requests, on average: VMs do not know the speed of the engines.
const WORK_BIAS: f64 = 1.2;
/// Time after which silent engines are known.
const SILENCE_KNOWN_MS: u64 = 600;
const DIGEST_LOSS: f64 = 0.1;
const DIGEST_PEERS: usize = 6;

/// A kind of requests: priority of the route, work, part of the normal work, target latency, longest wait, deadline.
pub struct Kind {
    route: u8,
    work_ms: f64,
    part: f64,
    target_ms: u64,
    max_wait_ms: u64,
    deadline_ms: u64,
}

pub const KINDS: [Kind; 2] = [
    Kind {
        route: 0,
        work_ms: 60.0,
        part: 0.75,
        target_ms: 500,
        max_wait_ms: 2_400,
        deadline_ms: 6_000,
    },
    Kind {
        route: 2,
        work_ms: 6.0,
        part: 0.25,
        target_ms: 1_200,
        max_wait_ms: 2_400,
        deadline_ms: 3_000,
    },
];

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fault {
    None,
    SilentEngines,
    VmKilled,
    OneWayCut,
    NoDigests,
    FreshVm,
}

/// One run.
#[derive(Clone, Copy)]
pub struct Case {
    pub vms: usize,
    pub seed: u64,
    /// Factors on the demand during the peak: of the kinds, and of the first workspace.
    pub kinds: [f64; 2],
    pub workspace: f64,
    /// Fraction of the callers that ignore the time to return.
    pub ignoring: f64,
    pub fault: Fault,
    /// Whether VMs refuse only by their own expected wait, as before admission.
    pub is_baseline: bool,
}

#[derive(Clone, Copy)]
struct Request {
    workspace: usize,
    kind: usize,
    work_ms: f64,
    arrived_ms: u64,
    attempts: u32,
    rank: u8,
    is_ignoring: bool,
}

#[derive(Default, Clone)]
struct Engine {
    waiting: Vec<Request>,
    /// Ends of the requests that run.
    running: Vec<(f64, Request)>,
    is_silent: bool,
}

/// Short requests at an engine as it reported them; long ones are announced by the VMs that send them.
#[derive(Clone, Copy, Default)]
struct Report {
    running: usize,
    waiting: usize,
}

struct Vm {
    overload: Overload,
    /// Requests sent to each engine since its report.
    sent: Vec<VecDeque<u64>>,
    is_up: bool,
}

/// What was seen. Arrays are by kind; the peak's requests count if not stated otherwise.
#[derive(Default, Debug)]
pub struct Results {
    pub offered: [f64; 2],
    pub served: [f64; 2],
    /// Of the largest tenth of the long requests: offered and served.
    pub large: [f64; 2],
    /// Work that began during the peak, in time and late.
    pub in_time_ms: f64,
    pub late_ms: f64,
    pub refused_under_share: u32,
    /// Of callers that honour the time to return.
    pub refused: f64,
    pub tries_of_refused: f64,
    /// Of all callers.
    pub refusals: u32,
    /// Requests after the peak, and those of them that began in time.
    pub after: f64,
    pub normal_after: f64,
}

pub struct Fleet {
    case: Case,
    rng: Rng,
    now: u64,
    vms: Vec<Vm>,
    engines: Vec<Engine>,
    reports: VecDeque<Vec<Report>>,
    returns: Vec<(u64, Request)>,
    pub results: Results,
}

impl Fleet {
    pub fn run(case: Case) -> Results {
        let vm = || Vm {
            overload: Overload::default(),
            sent: vec![VecDeque::new(); ENGINES],
            is_up: true,
        };
        let mut fleet = Self {
            case,
            rng: Rng::with_seed(case.seed),
            now: 0,
            vms: (0..case.vms).map(|_| vm()).collect(),
            engines: vec![Engine::default(); ENGINES],
            reports: VecDeque::new(),
            returns: Vec::new(),
            results: Results::default(),
        };
        while fleet.now < END_MS {
            fleet.step();
            fleet.now += STEP_MS;
        }
        fleet.results
    }

    fn is_usable(&self, engine: usize) -> bool {
        !self.engines[engine].is_silent || self.now < PEAK_MS.start + SILENCE_KNOWN_MS
    }

    fn step(&mut self) {
        self.faults();
        for engine in 0..ENGINES {
            self.run_engine(engine);
        }
        let report = |e: &Engine| Report {
            running: e.running.iter().filter(|(_, r)| r.kind == 1).count(),
            waiting: e.waiting.iter().filter(|r| r.kind == 1).count(),
        };
        self.reports.push_back(self.engines.iter().map(report).collect());
        if self.reports.len() as u64 > REPORT_AGE_MS / STEP_MS {
            self.reports.pop_front();
        }
        for vm in 0..self.vms.len() {
            // The VMs update at different times.
            if (self.now + 5 * vm as u64).is_multiple_of(100) {
                self.update(vm);
                self.send_digest(vm);
            }
        }
        let now = self.now;
        let due: Vec<_> = self.returns.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, request) in due {
            self.arrive(request);
        }
        self.new_requests();
    }

    fn faults(&mut self) {
        let at = |ms| self.now == PEAK_MS.start + ms;
        match self.case.fault {
            Fault::SilentEngines if at(0) => {
                self.engines[..ENGINES / 6].iter_mut().for_each(|e| e.is_silent = true);
            }
            // The VMs send the requests of silent engines to others.
            Fault::SilentEngines if at(SILENCE_KNOWN_MS) => {
                for engine in 0..ENGINES / 6 {
                    let engine = &mut self.engines[engine];
                    let mut lost = std::mem::take(&mut engine.waiting);
                    lost.extend(engine.running.drain(..).map(|(_, request)| request));
                    for request in lost {
                        let vm = self.rng.usize(..self.vms.len());
                        self.send(vm, request);
                    }
                }
            }
            Fault::VmKilled if at(2_000) => self.vms[0].is_up = false,
            Fault::VmKilled if at(3_000) => self.restart(0),
            Fault::FreshVm if at(2_000) => (0..3).for_each(|vm| self.restart(vm)),
            _ => {}
        }
    }

    fn restart(&mut self, vm: usize) {
        self.vms[vm].overload = Overload::default();
        self.vms[vm].is_up = true;
    }

    fn run_engine(&mut self, engine: usize) {
        let now = self.now as f64;
        let Engine { waiting, running, is_silent } = &mut self.engines[engine];
        if *is_silent {
            return;
        }
        running.retain(|(end, _)| *end > now);
        while running.len() < SLOTS && !waiting.is_empty() {
            let first = (0..waiting.len()).min_by_key(|i| (waiting[*i].rank, *i)).unwrap();
            let request = waiting.remove(first);
            let kind = &KINDS[request.kind];
            let waited = self.now - request.arrived_ms;
            if waited > kind.max_wait_ms.min(kind.deadline_ms) {
                continue;
            }
            let time = request.work_ms * as_f64(SLOTS);
            running.push((now + time, request));
            let results = &mut self.results;
            let is_in_time = waited <= kind.target_ms;
            if PEAK_MS.contains(&self.now) {
                results.in_time_ms += if is_in_time { request.work_ms } else { 0.0 };
                results.late_ms += if is_in_time { 0.0 } else { request.work_ms };
            }
            if PEAK_MS.contains(&request.arrived_ms) {
                results.served[request.kind] += 1.0;
                results.large[1] += f64::from(u8::from(is_large(&request)));
            }
            if NORMAL_MS.contains(&request.arrived_ms) && is_in_time {
                results.normal_after += 1.0;
            }
        }
    }

    /// Returns how many requests run and wait at an engine and for how long another one would wait, as a VM sees it that
    /// has sent so many short ones since the report.
    fn load(&self, engine: usize, sent: usize) -> (usize, usize, f64) {
        let (report, engine) = (self.reports[0][engine], &self.engines[engine]);
        let long = engine.waiting.iter().filter(|request| request.kind == 0);
        let long_ms: f64 = long.clone().map(|request| request.work_ms / WORK_BIAS).sum();
        let running = engine.running.iter().filter(|(_, r)| r.kind == 0).count() + report.running;
        let waiting = long.count() + report.waiting + sent;
        let short_ms = as_f64(report.waiting + sent) * KINDS[1].work_ms;
        let is_free = running + waiting < SLOTS;
        (running.min(SLOTS), waiting, if is_free { 0.0 } else { long_ms + short_ms })
    }

    fn update(&mut self, vm: usize) {
        let sent = &mut self.vms[vm].sent;
        let oldest = self.now.saturating_sub(REPORT_AGE_MS);
        for sent in sent.iter_mut() {
            sent.retain(|at| *at > oldest);
        }
        let usable: Vec<_> = (0..ENGINES).filter(|engine| self.is_usable(*engine)).collect();
        let mut waits: Vec<_> = usable.iter().map(|e| self.load(*e, 0).2).collect();
        waits.sort_by(f64::total_cmp);
        let middle = &waits[waits.len() / 4..waits.len() - waits.len() / 4];
        let sum = |f: fn((usize, usize, f64)) -> usize| {
            usable.iter().map(|e| f(self.load(*e, 0))).sum::<usize>() as u32
        };
        let pressure = Pressure {
            engines: usable.len() as u32,
            slots: (usable.len() * SLOTS) as u32,
            taken: sum(|load| load.0),
            waiting: sum(|load| load.1),
            wait: Duration::from_secs_f64(
                middle.iter().sum::<f64>() / as_f64(middle.len()) / 1_000.0,
            ),
            age: Duration::from_millis(REPORT_AGE_MS),
        };
        self.vms[vm].overload.update(Duration::from_millis(self.now), pressure, self.case.vms);
    }

    fn send_digest(&mut self, from: usize) {
        let vms = self.vms.len();
        let now = Duration::from_millis(self.now);
        let Some(entries) = self.vms[from].overload.digest(now).filter(|_| self.vms[from].is_up)
        else {
            return;
        };
        for _ in 0..DIGEST_PEERS.min(vms - 1) {
            let to = self.rng.usize(..vms);
            let is_lost = match self.case.fault {
                Fault::NoDigests => true,
                Fault::OneWayCut if from < vms / 3 && to >= vms / 3 => true,
                _ => to == from || self.rng.f64() < DIGEST_LOSS,
            };
            if !is_lost {
                self.vms[to].overload.apply(now, &format!("vm-{from}"), entries.clone());
            }
        }
    }

    fn new_requests(&mut self) {
        let in_peak = PEAK_MS.contains(&self.now);
        for (kind, properties) in KINDS.iter().enumerate() {
            for workspace in 0..WORKSPACES {
                let small = (1.0 - LARGE_PART * as_f64(LARGE)) / as_f64(WORKSPACES - LARGE);
                let mut load = NORMAL_LOAD * properties.part / properties.work_ms / WORK_BIAS
                    * if workspace < LARGE { LARGE_PART } else { small };
                if in_peak {
                    load *= self.case.kinds[kind];
                    load *= if workspace == 0 { self.case.workspace } else { 1.0 };
                }
                let mean = load * as_f64(ENGINES) * STEP_MS as f64;
                let count = mean.floor() as u32 + u32::from(self.rng.f64() < mean.fract());
                for _ in 0..count {
                    // Work is heavy-tailed: Pareto with shape 2.5, mean 1, cut at 5.5.
                    let tail = (0.6 / (1.0 - self.rng.f64()).powf(0.4)).min(5.5);
                    let work_ms = properties.work_ms * WORK_BIAS * tail;
                    let is_ignoring = self.rng.f64() < self.case.ignoring;
                    let (arrived_ms, attempts, rank) = (self.now, 0, 0);
                    let request = Request {
                        workspace,
                        kind,
                        work_ms,
                        arrived_ms,
                        attempts,
                        rank,
                        is_ignoring,
                    };
                    if in_peak {
                        self.results.offered[kind] += 1.0;
                        self.results.large[0] += f64::from(u8::from(is_large(&request)));
                    }
                    if NORMAL_MS.contains(&self.now) {
                        self.results.after += 1.0;
                    }
                    self.arrive(request);
                }
            }
        }
    }

    fn arrive(&mut self, mut request: Request) {
        let up: Vec<_> = (0..self.vms.len()).filter(|vm| self.vms[*vm].is_up).collect();
        let vm = up[self.rng.usize(..up.len())];
        request.attempts += 1;
        let kind = &KINDS[request.kind];
        let left = Duration::from_millis(kind.deadline_ms - (self.now - request.arrived_ms));
        let arrival = Arrival {
            id_hash: self.rng.u64(..),
            key: Key::new(
                &format!("w{}", request.workspace),
                Level { workspace: 0, route: kind.route },
            ),
            // The estimate errs by a factor of up to 1.5 besides the bias.
            work_ms: request.work_ms / WORK_BIAS * (0.67 + self.rng.f64() * 0.83),
            target_latency: Duration::from_millis(kind.target_ms),
            time_left: left,
        };
        let now = Duration::from_millis(self.now);
        if !self.case.is_baseline {
            let decision = self.vms[vm].overload.decide(now, &arrival);
            if let Decision::Refused { retry_after } = decision {
                return self.refuse(request, retry_after, left);
            }
        }
        if let Some(wait) = self.send(vm, request) {
            let retry_after = if self.case.is_baseline {
                wait
            } else {
                self.vms[vm].overload.retry_after(now, &arrival)
            };
            self.refuse(request, retry_after, left);
        }
    }

    /// Sends a request to the best of three engines. Returns the expected wait if that is too long.
    fn send(&mut self, vm: usize, mut request: Request) -> Option<Duration> {
        let kind = &KINDS[request.kind];
        let best = (0..8).filter_map(|_| {
            let engine = self.rng.usize(..ENGINES);
            let sent =
                self.vms[vm].sent[engine].iter().filter(|at| **at + REPORT_AGE_MS > self.now);
            let wait = self.load(engine, sent.count()).2;
            self.is_usable(engine).then_some((wait, engine))
        });
        let (wait, engine) = best.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let is_late = wait > kind.target_ms as f64 * 1.75;
        if is_late && wait > kind.max_wait_ms as f64 * 0.5 {
            return Some(Duration::from_secs_f64(wait / 1_000.0));
        }
        request.rank = kind.route + if is_late { 5 } else { 0 };
        if request.kind == 1 {
            self.vms[vm].sent[engine].push_back(self.now);
        }
        self.engines[engine].waiting.push(request);
        None
    }

    fn refuse(&mut self, request: Request, retry_after: Duration, left: Duration) {
        let in_peak = PEAK_MS.contains(&request.arrived_ms);
        let results = &mut self.results;
        results.refusals += u32::from(in_peak);
        // The small workspaces are below an equal share in each case.
        results.refused_under_share += u32::from(in_peak && request.workspace >= LARGE);
        let retry_after = retry_after.as_millis() as u64;
        let wait = match request.is_ignoring {
            true if request.attempts < 5 => Some(50),
            false if request.attempts < 2 && retry_after <= left.as_millis() as u64 / 3 => {
                Some(retry_after)
            }
            _ => None,
        };
        match wait {
            Some(wait) => self.returns.push((self.now + wait, request)),
            None if !request.is_ignoring && in_peak => {
                results.refused += 1.0;
                results.tries_of_refused += f64::from(request.attempts);
            }
            None => {}
        }
    }
}

/// Whether a request is of the largest tenth of the long ones.
fn is_large(request: &Request) -> bool {
    request.kind == 0 && request.work_ms > KINDS[0].work_ms * WORK_BIAS * 1.5
}

fn as_f64(count: usize) -> f64 {
    count as f64
}
