//! Answers of any bytes: generated deviations of upstreams from HTTP/1.1 and the platform's protocol, on each kind of route.
//!
//! `ANY_BYTES_CASES` and `ANY_BYTES_SEED` set the number of cases and the seed of a longer run.

mod common;

use std::{
    collections::HashMap,
    fmt::Debug,
    time::{Duration, Instant},
};

use common::{Reply, Simulation, bounds, config, ms, request};
use lw_catalog::settings::Bounds;
use lw_standin::hosted::{
    http::Request,
    raw::{AnswerId, BODY, End, Framing, Meaning, RawAnswer},
    upstream::{Behaviour, STREAM_EVENTS, Upstream, event},
};

/// Cases of a run in CI.
const CASES: usize = 600;
/// Simulations that run cases side by side.
const SIMULATIONS: usize = 16;
/// Timeout of the routes.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time from the timeout to the answer.
const LATE_MAX: Duration = Duration::from_millis(400);
/// Longest time from the answer until the upstream's connection is closed.
const CLOSE_MAX: Duration = Duration::from_secs(1);
/// Most bytes that an upstream can send in an answer without end, those in the buffers of its socket included.
const ENDLESS_MAX_BYTES: u64 = 24 << 20;
/// Largest memory of this process, and what each case adds to it: its requests at the stand-ins and its log lines.
const PEAK_MAX_KIB: u64 = 64 << 10;
const CASE_KIB: u64 = 16;
/// Time for bytes that an upstream sends late, and for the end of its connection.
const SETTLE_TIME: Duration = Duration::from_millis(60);
/// Time for which an upstream that failed gets no work.
const FAILED_PAUSE: Duration = Duration::from_millis(310);

const IDEMPOTENT: &str = "/look/x";
const AT_MOST_ONCE: &str = "/book/x";
const RESUMABLE: &str = "/long/x";
const NOT_RESUMABLE: &str = "/short/x";

/// A request whose first attempts are answered so, and further ones as they should be.
#[derive(Debug, Clone)]
struct Case {
    path: &'static str,
    answers: Vec<RawAnswer>,
}

impl Case {
    fn random(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let path = [IDEMPOTENT, AT_MOST_ONCE, RESUMABLE, NOT_RESUMABLE][rng.usize(..4)];
        let mut answers = Vec::new();
        if path == RESUMABLE && rng.bool() {
            // The generated answer comes to the request that resumes this stream.
            answers.push(RawAnswer {
                cut: Some(rng.usize(100..200)),
                end: End::Closed,
                ..RawAnswer::default()
            });
        }
        answers.push(RawAnswer::random(&mut rng));
        if rng.usize(..4) == 0 {
            answers.push(RawAnswer::random(&mut rng));
        }
        Self { path, answers }
    }

    fn is_stream(&self) -> bool {
        matches!(self.path, RESUMABLE | NOT_RESUMABLE)
    }

    /// Whether the first answer is that of the upstream to the request.
    fn is_sound(&self) -> bool {
        let mut request = Request::default();
        if self.is_stream() {
            request.headers.insert("x-model".into(), String::new());
        }
        let is_sound = |raw: &RawAnswer| matches!(raw.meaning(&request), Meaning::Answer(200, _));
        self.answers.first().is_none_or(is_sound)
    }

    fn may_repeat(&self) -> bool {
        matches!(self.path, IDEMPOTENT | RESUMABLE)
    }

    fn complete_body(&self) -> Vec<u8> {
        if self.is_stream() {
            return (1..=STREAM_EVENTS).flat_map(event).collect();
        }
        BODY.into()
    }

    /// Returns why the answer must not be given to the caller, if so. `received` are the requests that upstreams received.
    fn check(&self, id: &str, reply: &Reply, received: &[(Request, bool)]) -> Result<(), String> {
        let runs = received.iter().filter(|(_, is_executed)| *is_executed).count();
        let runs_max = if self.may_repeat() { 2 } else { 1 };
        ensure(runs <= runs_max, || format!("it ran {runs} times"))?;
        let is_own = reply.header("x-attempt-id") == Some(id);
        ensure(is_own, || "not the request's id".into())?;
        let ids = reply.head.to_ascii_lowercase().matches("x-attempt-id").count();
        ensure(ids == 1, || "more than one id".into())?;
        let framing = ["content-length:", "transfer-encoding:"];
        let count_of = |name| reply.head.to_ascii_lowercase().matches(name).count();
        let framings: usize = framing.map(count_of).iter().sum();
        let length = reply.header("content-length").map(str::parse::<usize>);
        let is_framed = framings == 1 && length.is_none_or(|length| length.is_ok());
        ensure(is_framed || matches!(reply.status, 204 | 304), || {
            "its length is not clear".into()
        })?;
        let is_promise = matches!(reply.status, 408 | 421 | 429 | 503);
        ensure(!is_promise || runs == 0, || {
            "it ran, and the status states that it has not".into()
        })?;
        ensure(reply.status >= 200, || "an interim answer".into())?;
        let seal = reply.header("x-response-seal");
        let is_success = (200..300).contains(&reply.status);
        ensure(!is_success || seal.is_some(), || "a success without authentication code".into())?;
        let is_raw = seal == Some("s") || seal.is_none() && !matches!(reply.status, 502..=504);
        if is_raw && !is_promise {
            let of_raw = |raw: &RawAnswer| raw.status == reply.status && raw.is_relayable();
            ensure(self.answers.iter().any(of_raw), || {
                "an answer that must not be relayed".into()
            })?;
        }
        if is_success {
            self.check_body(reply, received)?;
        }
        Ok(())
    }

    fn check_body(&self, reply: &Reply, received: &[(Request, bool)]) -> Result<(), String> {
        let complete = self.complete_body();
        let is_part = complete.starts_with(&reply.body);
        ensure(is_part, || "other bytes than the upstream's".into())?;
        let may_end = |(raw, (request, _)): (&RawAnswer, &(Request, bool))| match raw
            .meaning(request)
        {
            Meaning::Answer(_, body) | Meaning::Doubtful(_, body) => reply.body.ends_with(&body),
            _ => false,
        };
        let is_whole = reply.body == complete || self.answers.iter().zip(received).any(may_end);
        ensure(!reply.is_complete || is_whole, || {
            "an incomplete answer that appears complete".into()
        })
    }

    /// Checks an answer where only the first attempt was not answered as it should be.
    fn check_first(&self, reply: &Reply, received: &[(Request, bool)]) -> Result<(), String> {
        let ([raw], Some((request, _))) = (&self.answers[..], received.first()) else {
            return Ok(());
        };
        let runs = received.iter().filter(|(_, is_executed)| *is_executed).count();
        let is_complete_one = reply.status == 200 && reply.is_complete;
        match raw.meaning(request) {
            Meaning::Answer(500.., _) if self.path == IDEMPOTENT => {
                ensure(is_complete_one && runs == 2, || "it was not tried elsewhere".into())
            }
            Meaning::Answer(status, _) => {
                let is_passed = reply.status == status && reply.is_complete && runs == 1;
                ensure(is_passed, || format!("the answer {status} was not passed on"))
            }
            Meaning::NotRun if self.path != NOT_RESUMABLE => {
                ensure(is_complete_one && runs == 1, || "not run elsewhere after a refusal".into())
            }
            Meaning::NotRun => ensure(reply.status == 503, || "no refusal".into()),
            // A body without a length and without end may not reach its limit before the deadline.
            Meaning::Nothing
                if reply.status == 504
                    && raw.framing == Framing::None
                    && matches!(raw.end, End::Endless(_)) =>
            {
                Ok(())
            }
            Meaning::Nothing if self.may_repeat() && raw.is_executed() => {
                // No engine resumes a stream after its last event.
                let is_whole = is_complete_one || reply.body == self.complete_body();
                ensure(is_whole && runs == 2, || "it was not tried elsewhere".into())
            }
            Meaning::Nothing | Meaning::Silence | Meaning::Doubtful(..) => Ok(()),
        }
    }
}

fn ensure(is_true: bool, why: impl FnOnce() -> String) -> Result<(), String> {
    if is_true { Ok(()) } else { Err(why()) }
}

/// Cases that failed before.
fn corpus() -> Vec<Case> {
    let mut cases = Vec::new();
    let mut add = |raw: RawAnswer| {
        for path in [IDEMPOTENT, AT_MOST_ONCE, RESUMABLE, NOT_RESUMABLE] {
            cases.push(Case { path, answers: vec![raw.clone()] });
        }
    };
    let normal = RawAnswer::default;
    for status in [200, 304, 400, 404, 500] {
        for framing in [Framing::Length, Framing::None] {
            let end = if framing == Framing::None { End::Closed } else { End::Kept };
            add(RawAnswer { status, id: AnswerId::Missing, framing, end, ..normal() });
        }
    }
    add(RawAnswer { status: 101, ..normal() });
    add(RawAnswer { status: 304, ..normal() });
    add(RawAnswer { id: AnswerId::Two, ..normal() });
    add(RawAnswer { lines: "connection: x-response-seal\r\n".into(), ..normal() });
    add(RawAnswer { lines: "connection: x-attempt-id\r\n".into(), ..normal() });
    for lines in ["content-length: LEN, LEN\r\n", "content-length: LEN\r\ncontent-length: LEN\r\n"]
    {
        add(RawAnswer { framing: Framing::Lines(lines), ..normal() });
    }
    let gzip = Framing::ChunkedWith("transfer-encoding: gzip, chunked\r\n");
    add(RawAnswer { framing: gzip, ..normal() });
    cases
}

async fn start() -> Simulation {
    let bounds = Bounds { retry_floor: 1_000_000, ..bounds() };
    let simulation = Simulation::start_with(bounds).await;
    let mut config = config(4);
    let routes = config["Routes"].as_array_mut().expect("routes");
    let timeout = u64::try_from(TIMEOUT.as_millis()).unwrap();
    for route in routes {
        route["TimeoutMs"] = timeout.into();
    }
    simulation.store.put("op/config", &config);
    let is_applied = async |simulation: &Simulation| {
        let edge = &simulation.vm.as_ref().expect("the VM runs").edge;
        edge.store_view().catalog().is_some_and(|catalog| catalog.version == 4)
    };
    simulation.wait_until("the configuration is in force", is_applied).await;
    simulation
}

/// Sends the request of a case and the next one, and returns what is wrong with their answers.
async fn run(simulation: &Simulation, number: usize, case: &Case) -> Result<(), String> {
    let endless_before = endless_bytes(simulation);
    for raw in &case.answers {
        simulation.faults.push(Behaviour::Raw(Box::new(raw.clone())));
    }
    let id = format!("case-{number}");
    let mut req = request(&id, case.path);
    // Another prompt each time, so that none is quarantined.
    req.headers =
        req.headers.replace("a1:1000,b2:200", &format!("a{number:x}:1000,b{number:x}:200"));
    let started = Instant::now();
    let reply = tokio::time::timeout(TIMEOUT + LATE_MAX, simulation.send(&req)).await;
    let reply = reply.map_err(|_| "no answer in time".to_owned())?;
    let reply = reply.ok_or_else(|| "the connection was closed without an answer".to_owned())?;
    let answered = started.elapsed();
    simulation.faults.clear();
    let received = received_in_order(simulation, &id);
    let context = |why: String| {
        let start: String = reply.text().chars().take(200).collect();
        format!(
            "{why}\nafter {answered:?}, {} attempts, complete: {}\n{}{start}",
            received.len(),
            reply.is_complete,
            reply.head
        )
    };
    case.check(&id, &reply, &received).map_err(context)?;
    case.check_first(&reply, &received).map_err(context)?;
    // Bytes that are left on a connection must not answer this request.
    let next_id = format!("next-{number}");
    let path = if case.is_stream() { NOT_RESUMABLE } else { AT_MOST_ONCE };
    let next = Case { path, answers: Vec::new() };
    let reply = simulation.send(&request(&next_id, path)).await;
    let reply = reply.ok_or_else(|| "the next request got no answer".to_owned())?;
    let received = received_in_order(simulation, &next_id);
    next.check(&next_id, &reply, &received)
        .map_err(|why| format!("the next request: {why}\n{}{}", reply.head, reply.text()))?;
    let closed_at = Instant::now() + CLOSE_MAX;
    while open_requests(simulation) > 0 {
        let open = || upstreams(simulation).map(|u| (u.id.clone(), u.open_caller_requests()));
        ensure(Instant::now() < closed_at, || {
            format!("a connection is kept: {:?}", open().collect::<Vec<_>>())
        })?;
        tokio::time::sleep(ms(2)).await;
    }
    let answer_memory =
        simulation.vm.as_ref().expect("the VM runs").edge.answer_memory.used_bytes();
    ensure(answer_memory == 0, || format!("{answer_memory} bytes are still reserved"))?;
    let endless = endless_bytes(simulation) - endless_before;
    ensure(endless < ENDLESS_MAX_BYTES, || format!("{endless} bytes of an answer were read"))?;
    if case.answers.iter().any(|raw| raw.end != End::Kept) {
        tokio::time::sleep(SETTLE_TIME).await;
    }
    Ok(())
}

/// Returns the requests with this id that upstreams received, and whether they ran them.
fn received_in_order(simulation: &Simulation, id: &str) -> Vec<(Request, bool)> {
    let mut received = simulation.received(id);
    received.sort_by_key(|got| got.at);
    received.into_iter().map(|got| (got.request, got.is_executed)).collect()
}

fn upstreams(simulation: &Simulation) -> impl Iterator<Item = &Upstream> {
    simulation.servers.iter().chain(&simulation.engines)
}

fn open_requests(simulation: &Simulation) -> usize {
    upstreams(simulation).map(Upstream::open_caller_requests).sum()
}

fn endless_bytes(simulation: &Simulation) -> u64 {
    upstreams(simulation).map(Upstream::endless_bytes).sum()
}

/// Returns requests that were sent on a connection after an answer that leaves its state unknown.
fn sent_on_bad_connections(simulation: &Simulation) -> Vec<String> {
    let mut found = Vec::new();
    for upstream in upstreams(simulation) {
        let mut bad = HashMap::new();
        for got in upstream.received() {
            let id = got.request.header("x-attempt-id").unwrap_or_default();
            if let Some(after) = bad.get(&got.request.connection) {
                found.push(format!("{id}, after {after}"));
            }
            // The request after late bytes may be sent before they arrive.
            if let Behaviour::Raw(raw) = &got.behaviour
                && raw.ends_connection(&got.request)
                && !matches!(raw.end, End::ThenLate(_) | End::Reset | End::Closed)
            {
                bad.insert(got.request.connection, format!("{id}: {}", brief(raw)));
            }
        }
    }
    found
}

fn number_from_env(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|text| text.parse().expect("a number"))
}

/// Runs cases side by side and fails with all that is wrong.
async fn run_all(cases: Vec<(String, Case)>) {
    let workers = (0..SIMULATIONS).map(|worker| {
        let cases = cases.iter().enumerate().skip(worker).step_by(SIMULATIONS);
        async move {
            let simulation = start().await;
            let mut failures = Vec::new();
            let mut failed_at = None::<Instant>;
            for (number, (name, case)) in cases {
                // The upstream of another attempt must not have failed a moment ago.
                if let Some(at) = failed_at.filter(|_| !case.is_sound()) {
                    tokio::time::sleep(FAILED_PAUSE.saturating_sub(at.elapsed())).await;
                }
                if let Err(why) = run(&simulation, number, case).await {
                    failures.push(format!("{name}, case {number}: {why}\n{}", brief(case)));
                    simulation.faults.clear();
                    tokio::time::sleep(SETTLE_TIME).await;
                }
                if !case.is_sound() {
                    failed_at = Some(Instant::now());
                }
            }
            let reused = sent_on_bad_connections(&simulation);
            failures.extend(reused.iter().map(|id| format!("sent on a bad connection: {id}")));
            failures
        }
    });
    let failures = futures::future::join_all(workers).await.concat();
    assert!(failures.is_empty(), "{} failures:\n\n{}", failures.len(), failures.join("\n\n"));
}

/// Returns the text of a case without the middle of long lines.
fn brief(case: &impl Debug) -> String {
    let text = format!("{case:?}");
    if text.len() < 2_000 {
        return text;
    }
    format!("{}...{}", &text[..1_500], &text[text.len() - 300..])
}

/// Returns the largest memory use of this process so far, in KiB.
fn peak_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

/// Guards against answers that once reached callers although they were not the answers to their requests.
#[tokio::test]
async fn cases_that_failed_before() {
    run_all(corpus().into_iter().map(|case| ("corpus".to_owned(), case)).collect()).await;
}

/// Guards against answers of upstreams that reach a caller as the whole answer to its request though they are not, requests that
/// run too often, promises that are not kept, connections that are used again, and bytes that are read without end.
#[tokio::test]
async fn generated_answers() {
    let count = number_from_env("ANY_BYTES_CASES").map_or(CASES, |n| usize::try_from(n).unwrap());
    let seed = number_from_env("ANY_BYTES_SEED").unwrap_or(1);
    let first = seed.wrapping_mul(1_000_000);
    let cases = (first..).take(count).map(|seed| (format!("seed {seed}"), Case::random(seed)));
    run_all(cases.collect()).await;
    println!("{count} cases from seed {first}, peak memory {} KiB", peak_kib());
    let peak_max = PEAK_MAX_KIB + CASE_KIB * u64::try_from(count).unwrap();
    assert!(peak_kib() < peak_max, "peak memory {} KiB", peak_kib());
}
