//! Processor time of copying a stream event and memory of an idle stream, measured at a daemon process.
//!
//! `cargo bench -p lw-daemon --bench stream`; exits with status 1 when a bound is not kept.

use std::{fs, process::ExitCode, time::Duration};

use lw_standin::engine;

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Ask, Fleet, Options};

/// Processor time of one stream event.
const EVENT_MAX_US: f64 = 10.0;
/// Memory of one idle stream.
const STREAM_MAX_KIB: f64 = 16.0;
const STREAMS: usize = 400;
const TOKENS: u64 = 250;

fn main() -> ExitCode {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let (event_us, stream_kib) = runtime.block_on(async { (copying().await, idling().await) });
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

/// Tokens come 20 ms apart on each stream, so that events are not merged into larger reads than in use.
async fn copying() -> f64 {
    let fleet = Fleet::start("cost-copy", options(Duration::from_millis(20))).await;
    stream_all(&fleet, 10).await;
    let before = processor_time(fleet.vms[0].pid());
    let events = stream_all(&fleet, TOKENS).await;
    let used = processor_time(fleet.vms[0].pid()).saturating_sub(before);
    let events = f64::from(u32::try_from(events).expect("small"));
    used.as_secs_f64() * 1e6 / events
}

async fn stream_all(fleet: &Fleet, tokens: u64) -> usize {
    let asks = (0..STREAMS).map(|i| async move {
        let prompt = format!("prompt {i}");
        let answer = fleet.ask(Ask::new(0, &prompt, tokens)).await;
        assert!(answer.is_done, "{answer:?}");
        answer.chunks
    });
    futures::future::join_all(asks).await.into_iter().sum()
}

async fn idling() -> f64 {
    let fleet = Fleet::start("cost-idle", options(Duration::from_millis(900))).await;
    stream_all(&fleet, 1).await;
    let before = resident_kib(fleet.vms[0].pid());
    let asks = (0..STREAMS).map(|i| {
        let fleet = &fleet;
        async move {
            let prompt = format!("prompt {i}");
            fleet.ask(Ask::new(0, &prompt, 5)).await
        }
    });
    let measured = async {
        fleet
            .wait("all streams run", async || {
                let status = fleet.status(0).await.unwrap_or_default();
                status["in_flight"] == STREAMS
            })
            .await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        resident_kib(fleet.vms[0].pid())
    };
    let (answers, after) = tokio::join!(futures::future::join_all(asks), measured);
    assert!(answers.iter().all(|answer| answer.is_done));
    let streams = f64::from(u32::try_from(STREAMS).expect("small"));
    (after - before) / streams
}

/// User and system time of a process; the kernel counts in ticks of 10 ms.
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
