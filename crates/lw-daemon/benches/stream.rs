//! Measures the processor time that a daemon process takes to copy a stream event, and its memory for an idle stream.
//!
//! `cargo bench -p lw-daemon --bench stream`; exits with status 1 when a bound is not kept.

use std::{fs, process::ExitCode, time::Duration};

use lw_standin::engine;

#[path = "../tests/common/mod.rs"]
mod common;

use common::{CompletionRequest, Fleet, Options};

/// Bound on the processor time of one stream event.
const EVENT_MAX_US: f64 = 10.0;
/// Bound on the resident memory of one idle stream.
const STREAM_MAX_KIB: f64 = 16.0;
/// Number of concurrent streams.
const STREAMS: usize = 400;
/// Events of each stream in the measured run.
const TOKENS: u64 = 250;

fn main() -> ExitCode {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let (event_us, stream_kib) =
        runtime.block_on(async { (measure_event_us().await, measure_idle_stream_kib().await) });
    println!("stream event: {event_us:.2} us of processor time, bound {EVENT_MAX_US}");
    println!("idle stream: {stream_kib:.1} KiB, bound {STREAM_MAX_KIB}");
    if event_us <= EVENT_MAX_US && stream_kib <= STREAM_MAX_KIB {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn options(token_time: Duration) -> Options {
    let engine = engine::Options {
        token_time,
        running_max: STREAMS,
        queue_max: STREAMS,
        prefill_per_block: Duration::ZERO,
        ..engine::Options::default()
    };
    let settings = "limits:\n  min_retries: 0\n".to_owned();
    Options { engines: 4, services: 0, engine, settings, ..Options::default() }
}

/// Returns the processor time per stream event in microseconds. Tokens are 20 ms apart on each stream, so that no more
/// events than in production are read at once.
async fn measure_event_us() -> f64 {
    let fleet = Fleet::start("cost-copy", options(Duration::from_millis(20))).await;
    run_streams(&fleet, 10).await;
    let before = processor_time(fleet.vms[0].pid());
    let events = run_streams(&fleet, TOKENS).await;
    let used = processor_time(fleet.vms[0].pid()).saturating_sub(before);
    let events = f64::from(u32::try_from(events).expect("small"));
    used.as_secs_f64() * 1e6 / events
}

/// Requests all streams at once and returns how many events they had.
async fn run_streams(fleet: &Fleet, tokens: u64) -> usize {
    let requests = (0..STREAMS).map(|i| async move {
        let prompt = format!("prompt {i}");
        let answer = fleet.complete(CompletionRequest::new(0, &prompt, tokens)).await;
        assert!(answer.is_done, "{answer:?}");
        answer.chunks
    });
    futures::future::join_all(requests).await.into_iter().sum()
}

/// Returns the resident memory per open stream in KiB, while each waits 900 ms between tokens.
async fn measure_idle_stream_kib() -> f64 {
    let fleet = Fleet::start("cost-idle", options(Duration::from_millis(900))).await;
    run_streams(&fleet, 1).await;
    let before = resident_kib(fleet.vms[0].pid());
    let requests = (0..STREAMS).map(|i| {
        let fleet = &fleet;
        async move {
            let prompt = format!("prompt {i}");
            fleet.complete(CompletionRequest::new(0, &prompt, 5)).await
        }
    });
    let measured = async {
        fleet
            .wait_until("all streams are in flight", async || {
                let status = fleet.status(0).await.unwrap_or_default();
                status["in_flight"] == STREAMS
            })
            .await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        resident_kib(fleet.vms[0].pid())
    };
    let (answers, after) = tokio::join!(futures::future::join_all(requests), measured);
    assert!(answers.iter().all(|answer| answer.is_done));
    let streams = f64::from(u32::try_from(STREAMS).expect("small"));
    (after - before) / streams
}

/// Returns the user and system time of a process, which the kernel counts in ticks of 10 ms.
fn processor_time(pid: u32) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).expect("process runs");
    let fields: Vec<&str> = stat[stat.rfind(')').expect("name") + 2..].split(' ').collect();
    let ticks: u64 = fields[11..13].iter().map(|f| f.parse::<u64>().expect("ticks")).sum();
    Duration::from_millis(ticks * 10)
}

fn resident_kib(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("process runs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("VmRSS");
    line.split_whitespace().nth(1).and_then(|kib| kib.parse().ok()).expect("KiB")
}
