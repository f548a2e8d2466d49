//! A load of seeded requests whose answers are checked.

use std::{
    collections::BTreeMap,
    fmt,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use lw_types::prelude::*;
use serde::Serialize;

use crate::client::{Error, Http};

mod call;
mod plan;

pub use self::{
    call::{RequestEnd, RequestResult, call},
    plan::{PlannedRequest, plan_request},
};

/// Largest time that the histograms record; longer ones count as this.
const TIME_MAX_US: u64 = 600_000_000;

/// Options of the load.
#[derive(Debug, Clone)]
pub struct Options {
    /// Addresses of the VMs for callers, used in rotation.
    pub vms: Vec<SocketAddr>,
    /// API key.
    pub key: String,
    /// Model, followed by `:ADAPTER` if one is to be used.
    pub model: String,
    /// Class, if one is to be sent.
    pub class: Option<Class>,
    /// Seed of the requests.
    pub seed: u64,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Number of requests to send.
    pub requests: u64,
    /// Time after which no further request is sent.
    pub time: Duration,
    /// Time without a received byte after which a request fails.
    pub idle_timeout: Duration,
    /// How often a request without a complete answer is sent again, each time to the next VM; after a refusal, only
    /// after the time that it states.
    pub retries: u32,
    /// Number of shared prefixes of the first level.
    pub first_level_prefixes: u32,
    /// Number of shared prefixes of the second level within each of the first.
    pub second_level_prefixes: u32,
    /// Bytes of each shared prefix level.
    pub level_bytes: usize,
    /// Tokens of each answer.
    pub max_tokens: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            vms: Vec::new(),
            key: String::new(),
            model: "m".to_owned(),
            class: None,
            seed: 1,
            callers: 8,
            requests: 100,
            time: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(10),
            retries: 0,
            first_level_prefixes: 2,
            second_level_prefixes: 3,
            level_bytes: 8192,
            max_tokens: 32,
        }
    }
}

/// Counts and times of a finished load.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Outcome {
    /// Requests sent, without retries.
    pub requests: u64,
    /// Retries sent, by how the preceding attempt ended.
    pub retries: BTreeMap<String, u64>,
    /// Requests whose answer was complete and correct.
    pub complete: u64,
    /// Requests whose last attempt was refused, by status and code.
    pub refused: BTreeMap<String, u64>,
    /// Explicit errors in streams by code.
    pub failed: BTreeMap<String, u64>,
    /// Failed connections and timeouts, by error text.
    pub broken: BTreeMap<String, u64>,
    /// Streams that ended without an end mark or an error.
    pub truncated: u64,
    /// Answers with an end mark that are not correct, by what is wrong.
    pub wrong: BTreeMap<String, u64>,
    /// Time to first token.
    pub first_token: Times,
    /// Time from token to token.
    pub gap: Times,
    /// Tokens of the prompts of complete answers.
    pub prompt_tokens: u64,
    /// Prompt tokens from the prefix cache.
    pub cached_tokens: u64,
}

/// Percentiles in milliseconds.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Times {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Largest value.
    pub max_ms: f64,
}

impl Outcome {
    /// Whether every request was answered completely and correctly.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.requests > 0 && self.complete == self.requests
    }

    /// Returns the fraction of the prompt tokens that came from the prefix cache.
    #[must_use]
    #[allow(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
    pub fn cached_fraction(&self) -> f64 {
        self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64
    }
}

struct LoadRun {
    options: Options,
    http: Http,
    next: AtomicU64,
    deadline: Instant,
    totals: Mutex<Totals>,
}

/// Totals of all callers.
struct Totals {
    outcome: Outcome,
    first: Histogram<u64>,
    gap: Histogram<u64>,
}

/// Sends the load and waits for all answers.
///
/// # Errors
///
/// When the HTTP client cannot be made.
pub async fn run(options: Options) -> Result<Outcome, Error> {
    let histogram = || {
        Histogram::new_with_max(TIME_MAX_US, 3).map_err(|e| Error::Answer(format!("times: {e}")))
    };
    let totals = Totals { outcome: Outcome::default(), first: histogram()?, gap: histogram()? };
    let run = Arc::new(LoadRun {
        http: Http::new(options.idle_timeout)?,
        next: AtomicU64::new(0),
        deadline: Instant::now() + options.time,
        totals: Mutex::new(totals),
        options,
    });
    let callers: Vec<_> =
        (0..run.options.callers).map(|_| tokio::spawn(run.clone().run_caller())).collect();
    for caller in callers {
        caller.await.map_err(|e| Error::Answer(e.to_string()))?;
    }
    let totals = run.totals.lock().unwrap_or_else(PoisonError::into_inner);
    let mut outcome = totals.outcome.clone();
    (outcome.first_token, outcome.gap) = (percentiles(&totals.first), percentiles(&totals.gap));
    Ok(outcome)
}

impl LoadRun {
    async fn run_caller(self: Arc<Self>) {
        loop {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            if number >= self.options.requests || Instant::now() >= self.deadline {
                return;
            }
            self.send_request(number).await;
        }
    }

    async fn send_request(&self, number: u64) {
        let planned = plan_request(&self.options, number);
        let mut vm_index = usize::try_from(number).unwrap_or(0);
        let mut retries = 0;
        loop {
            let Some(&vm) = self.options.vms.get(vm_index % self.options.vms.len().max(1)) else {
                return;
            };
            let result = call(&self.http, &self.options, vm, &planned).await;
            let may_retry = !matches!(result.end, RequestEnd::Complete | RequestEnd::Wrong(_));
            if !may_retry || retries == self.options.retries {
                return self
                    .totals
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .add_result(&result);
            }
            retries += 1;
            vm_index += 1;
            let name = result.end.name();
            {
                let mut totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
                *totals.outcome.retries.entry(name).or_default() += 1;
            }
            if let Some(time) = result.retry_after {
                tokio::time::sleep(time).await;
            }
        }
    }
}

impl Totals {
    fn add_result(&mut self, result: &RequestResult) {
        let outcome = &mut self.outcome;
        outcome.requests += 1;
        let count = |map: &mut BTreeMap<String, u64>, key: &String| {
            *map.entry(key.clone()).or_default() += 1;
        };
        match &result.end {
            RequestEnd::Complete => {
                outcome.complete += 1;
                outcome.prompt_tokens += result.prompt_tokens;
                outcome.cached_tokens += result.cached_tokens;
            }
            RequestEnd::Refused(code) => count(&mut outcome.refused, code),
            RequestEnd::Failed(code) => count(&mut outcome.failed, code),
            RequestEnd::Broken(error) => count(&mut outcome.broken, error),
            RequestEnd::Wrong(defect) => count(&mut outcome.wrong, defect),
            RequestEnd::Truncated => outcome.truncated += 1,
        }
        if let Some(first) = result.first {
            self.first.saturating_record(micros(first));
        }
        for gap in &result.gaps {
            self.gap.saturating_record(micros(*gap));
        }
    }
}

fn micros(time: Duration) -> u64 {
    time.as_micros().try_into().unwrap_or(u64::MAX)
}

#[allow(clippy::cast_precision_loss, reason = "times are far below 2^52 us")]
fn percentiles(histogram: &Histogram<u64>) -> Times {
    let ms = |us: u64| us as f64 / 1000.0;
    Times {
        count: histogram.len(),
        p50_ms: ms(histogram.value_at_quantile(0.5)),
        p95_ms: ms(histogram.value_at_quantile(0.95)),
        p99_ms: ms(histogram.value_at_quantile(0.99)),
        max_ms: ms(histogram.max()),
    }
}

impl fmt::Display for Times {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { count, p50_ms, p95_ms, p99_ms, max_ms } = self;
        write!(
            f,
            "p50 {p50_ms:.1} ms, p95 {p95_ms:.1} ms, p99 {p99_ms:.1} ms, max {max_ms:.1} ms of {count}"
        )
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "requests      {}", self.requests)?;
        writeln!(f, "complete      {}", self.complete)?;
        writeln!(f, "truncated     {}", self.truncated)?;
        let maps = [
            ("retries", &self.retries),
            ("refused", &self.refused),
            ("failed", &self.failed),
            ("broken", &self.broken),
            ("wrong", &self.wrong),
        ];
        for (name, map) in maps {
            writeln!(f, "{name:13} {}", map.values().sum::<u64>())?;
            for (detail, count) in map {
                writeln!(f, "  {count:5} x {detail}")?;
            }
        }
        writeln!(f, "first token   {}", self.first_token)?;
        writeln!(f, "token gap     {}", self.gap)?;
        write!(
            f,
            "cached tokens {} of {} ({:.1} %)",
            self.cached_tokens,
            self.prompt_tokens,
            100.0 * self.cached_fraction()
        )
    }
}
