//! Guards against streams that are cut while their engine is silent and that the soak does not find, and against findings that
//! a fault of the run explains.

use std::time::Duration;

use lw_soak::{
    callers::{PACED_STREAM_PATHS, RequestRecord},
    checks::{ActiveFault, Trace},
    schedule::{Fault, PathFault},
};
use lw_standin::hosted::{
    caller::{KEY, Reply},
    http::Request,
    upstream::{Behaviour, ReceivedRequest, STREAM_EVENTS, event},
};
use tokio::time::Instant;

const ID: &str = "vm-0-4-1";

/// A stream of one VM that ends 2 s after it was sent.
struct Case {
    status: u16,
    events: u64,
    is_signed: bool,
    behaviour: Behaviour,
    /// A fault, its start and its end, in milliseconds from when the stream is sent. All engines stand still besides.
    fault: Option<(Fault, i64, i64)>,
    ended_ms: u64,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            status: 200,
            events: 2,
            is_signed: true,
            behaviour: Behaviour::Normal,
            fault: None,
            ended_ms: 2_000,
        }
    }
}

fn findings(case: Case) -> Vec<String> {
    let started_at = Instant::now();
    let sent_at = started_at + Duration::from_secs(20);
    let at = |ms: i64| {
        let time = Duration::from_millis(ms.unsigned_abs());
        if ms < 0 { sent_at - time } else { sent_at + time }
    };
    let seal = if case.is_signed { "x-response-seal: engine-0\r\n" } else { "" };
    let reply = Reply {
        status: case.status,
        head: format!("HTTP/1.1 {} X\r\nx-attempt-id: {ID}\r\n{seal}\r\n", case.status),
        body: (1..=case.events).flat_map(event).collect(),
        is_complete: case.status != 200 || case.events == STREAM_EVENTS,
    };
    let headers = [("x-attempt-id".to_owned(), ID.to_owned())];
    let request = Request { headers: headers.into_iter().collect(), ..Request::default() };
    let received =
        ReceivedRequest { request, is_executed: true, behaviour: case.behaviour, at: at(10) };
    let mut faults = vec![(Fault::StallEngines(vec![0, 1, 2]), 500, 2_100)];
    faults.extend(case.fault);
    let active = |(fault, from, to)| ActiveFault { fault, from: at(from), to: at(to) };
    let trace = Trace {
        records: vec![RequestRecord {
            vm: 0,
            id: ID.into(),
            path: PACED_STREAM_PATHS[0],
            key: KEY,
            sent_at,
            ended_at: sent_at + Duration::from_millis(case.ended_ms),
            reply: Some(reply),
        }],
        received: vec![vec![received]],
        limits: Vec::new(),
        started_at,
        orders: Vec::new(),
        active_faults: faults.into_iter().map(active).collect(),
        revocations: Vec::new(),
        leaving: Vec::new(),
        isolations: Vec::new(),
        revocation_time_max: Duration::from_secs(3),
        leaving_time_max: Duration::from_secs(2),
        grace: Duration::from_secs(8),
    };
    trace.findings()
}

/// Guards against a check that excuses a cut stream by the silence of its engines, or by a fault that does not end streams.
#[test]
fn a_stream_that_ends_in_a_silence_is_found() {
    let with_fault = |fault, from, to| Case { fault: Some((fault, from, to)), ..Case::default() };
    let cases = [
        ("its engines stood still", Case::default()),
        (
            "it got a failure of the VM",
            Case { status: 502, events: 0, is_signed: false, ..Case::default() },
        ),
        (
            "its engine answers slowly",
            Case {
                behaviour: Behaviour::DelayedEvents(Duration::from_millis(300)),
                ..Case::default()
            },
        ),
        ("its VM stood still", with_fault(Fault::Pause(0), 500, 1_500)),
        ("the machine stood still", with_fault(Fault::StallMachine, 500, 1_500)),
        ("its VM drains", with_fault(Fault::Drain(0), -1_000, 4_000)),
        ("it was sent late in the drain of its VM", with_fault(Fault::Drain(0), -5_300, 2_200)),
        ("another VM was killed", with_fault(Fault::Kill(1), 500, 2_000)),
        ("a version was set", with_fault(Fault::RewriteConfig, 600, 600)),
        ("a path lost bytes", with_fault(Fault::UpstreamPath(0, PathFault::BlockBoth), 500, 2_000)),
    ];
    for (name, case) in cases {
        assert_eq!(findings(case).len(), 1, "{name}");
    }
}

/// Returns a stream that is sent 2.9 s after its VM was told to end and cut 6.9 s after that.
fn case_of_a_stop() -> Case {
    let fault = Some((Fault::Drain(0), -2_900, 4_600));
    Case { fault, ended_ms: 3_800, ..Case::default() }
}

/// Guards against findings that say nothing about the VMs.
#[test]
fn a_stream_that_ends_for_another_reason_is_not_found() {
    let with_fault = |fault, from, to| Case { fault: Some((fault, from, to)), ..Case::default() };
    let cases = [
        ("it is whole", Case { events: STREAM_EVENTS, ..Case::default() }),
        ("its deadline passed", Case { ended_ms: 4_000, ..Case::default() }),
        (
            "it was refused",
            Case { status: 503, events: 0, is_signed: false, ended_ms: 10, ..Case::default() },
        ),
        ("its engine failed", Case { status: 502, events: 0, ..Case::default() }),
        ("its engine broke off", Case { behaviour: Behaviour::ResetInEvent(2), ..Case::default() }),
        ("its VM was killed", with_fault(Fault::Kill(0), 1_900, 3_000)),
        ("its VM came to the end of its grace", case_of_a_stop()),
        ("a path was reset", with_fault(Fault::UpstreamPath(0, PathFault::Reset), 500, 2_000)),
    ];
    for (name, case) in cases {
        assert_eq!(findings(case), Vec::<String>::new(), "{name}");
    }
}
