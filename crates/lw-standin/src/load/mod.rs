//! Seeded callers that check each answer.

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
    call::{Answered, Ended, call},
    plan::{Planned, planned},
};

/// Largest time that the histograms tell apart, in microseconds.
const TIME_MAX_US: u64 = 600_000_000;

/// Options of the load.
#[derive(Debug, Clone)]
pub struct Options {
    /// Callers' addresses of the VMs, used in turn.
    pub vms: Vec<SocketAddr>,
    /// API key.
    pub key: String,
    /// Model, with `:ADAPTER` if one is to be used.
    pub model: String,
    /// Class, if one is to be sent.
    pub class: Option<Class>,
    /// Seed of the requests.
    pub seed: u64,
    /// Callers that send at the same time.
    pub callers: usize,
    /// Requests to send.
    pub requests: u64,
    /// Time after which no request is begun.
    pub time: Duration,
    /// Silence after which a caller gives up.
    pub silence: Duration,
    /// Times that a request without a whole answer is sent again, each time to the next VM; a refused one waits for
    /// the time that the refusal states.
    pub retries: u32,
    /// Prefixes of the first level.
    pub stations: u32,
    /// Prefixes of the second level in each of the first.
    pub programmes: u32,
    /// Bytes of each shared level.
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
            silence: Duration::from_secs(10),
            retries: 0,
            stations: 2,
            programmes: 3,
            level_bytes: 8192,
            max_tokens: 32,
        }
    }
}

/// What came of the load.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Outcome {
    /// Requests sent, without retries.
    pub requests: u64,
    /// Retries sent, by how the attempt before ended.
    pub retries: BTreeMap<String, u64>,
    /// Requests whose answer was whole and in order.
    pub complete: u64,
    /// Last refusals by status and code.
    pub refused: BTreeMap<String, u64>,
    /// Explicit errors in streams by code.
    pub failed: BTreeMap<String, u64>,
    /// Connections that could not be made, broke or went silent, by what was seen.
    pub broken: BTreeMap<String, u64>,
    /// Streams that ended without an end mark or an error.
    pub truncated: u64,
    /// Answers that look complete and are not, by what is wrong.
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
    /// Values.
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
    /// Whether every request has its whole answer.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.requests > 0 && self.complete == self.requests
    }

    /// Share of the prompt tokens that came from the prefix cache.
    #[must_use]
    #[allow(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
    pub fn cached_share(&self) -> f64 {
        self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64
    }
}

struct Run {
    options: Options,
    http: Http,
    next: AtomicU64,
    ends: Instant,
    sums: Mutex<Sums>,
}

struct Sums {
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
    let sums = Sums { outcome: Outcome::default(), first: histogram()?, gap: histogram()? };
    let run = Arc::new(Run {
        http: Http::new(options.silence)?,
        next: AtomicU64::new(0),
        ends: Instant::now() + options.time,
        sums: Mutex::new(sums),
        options,
    });
    let callers: Vec<_> =
        (0..run.options.callers).map(|_| tokio::spawn(run.clone().caller())).collect();
    for caller in callers {
        caller.await.map_err(|e| Error::Answer(e.to_string()))?;
    }
    let sums = run.sums.lock().unwrap_or_else(PoisonError::into_inner);
    let mut outcome = sums.outcome.clone();
    (outcome.first_token, outcome.gap) = (times(&sums.first), times(&sums.gap));
    Ok(outcome)
}

impl Run {
    async fn caller(self: Arc<Self>) {
        loop {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            if number >= self.options.requests || Instant::now() >= self.ends {
                return;
            }
            self.request(number).await;
        }
    }

    async fn request(&self, number: u64) {
        let planned = planned(&self.options, number);
        let mut turn = usize::try_from(number).unwrap_or(0);
        let mut retries = 0;
        loop {
            let Some(&vm) = self.options.vms.get(turn % self.options.vms.len().max(1)) else {
                return;
            };
            let answered = call(&self.http, &self.options, vm, &planned).await;
            let may_repeat = !matches!(answered.ended, Ended::Complete | Ended::Wrong(_));
            if !may_repeat || retries == self.options.retries {
                return self.sums.lock().unwrap_or_else(PoisonError::into_inner).add(&answered);
            }
            retries += 1;
            turn += 1;
            let name = answered.ended.name();
            {
                let mut sums = self.sums.lock().unwrap_or_else(PoisonError::into_inner);
                *sums.outcome.retries.entry(name).or_default() += 1;
            }
            if let Some(time) = answered.retry_after {
                tokio::time::sleep(time).await;
            }
        }
    }
}

impl Sums {
    fn add(&mut self, answered: &Answered) {
        let outcome = &mut self.outcome;
        outcome.requests += 1;
        let count = |map: &mut BTreeMap<String, u64>, key: &String| {
            *map.entry(key.clone()).or_default() += 1;
        };
        match &answered.ended {
            Ended::Complete => {
                outcome.complete += 1;
                outcome.prompt_tokens += answered.prompt_tokens;
                outcome.cached_tokens += answered.cached_tokens;
            }
            Ended::Refused(code) => count(&mut outcome.refused, code),
            Ended::Failed(code) => count(&mut outcome.failed, code),
            Ended::Broken(why) => count(&mut outcome.broken, why),
            Ended::Wrong(why) => count(&mut outcome.wrong, why),
            Ended::Truncated => outcome.truncated += 1,
        }
        if let Some(first) = answered.first {
            self.first.saturating_record(micros(first));
        }
        for gap in &answered.gaps {
            self.gap.saturating_record(micros(*gap));
        }
    }
}

fn micros(time: Duration) -> u64 {
    time.as_micros().try_into().unwrap_or(u64::MAX)
}

#[allow(clippy::cast_precision_loss, reason = "times are far below 2^52 us")]
fn times(histogram: &Histogram<u64>) -> Times {
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
            for (what, count) in map {
                writeln!(f, "  {count:5} x {what}")?;
            }
        }
        writeln!(f, "first token   {}", self.first_token)?;
        writeln!(f, "token gap     {}", self.gap)?;
        write!(
            f,
            "cached tokens {} of {} ({:.1} %)",
            self.cached_tokens,
            self.prompt_tokens,
            100.0 * self.cached_share()
        )
    }
}
