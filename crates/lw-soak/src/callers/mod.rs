//! Callers that keep their connections for as long as these are open.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use lw_standin::hosted::{
    caller::{Caller, CallerRequest, KEY, OTHER_KEY, Reply, get, request},
    operator::VmOptions,
};
use tokio::time::{Instant, sleep, timeout};

/// A path for each route: repeatable calls, calls that run at most once, streams that can be resumed, and
/// streams that cannot.
pub const PATHS: [&str; 4] = ["/look/x", "/book/x", "/long/x", "/short/x"];
/// Paths of streams of 1.5 s, with a pause before each event: those that can be resumed, and those that cannot.
pub const PACED_STREAM_PATHS: [&str; 2] = ["/long/x?pause-ms=300", "/short/x?pause-ms=300"];
/// Deadline of streams, and the time limit of their routes.
pub const STREAM_DEADLINE: Duration = Duration::from_secs(4);
/// Longest wait of a caller for an answer: the longest time limit of a route and the longest time for which a machine
/// stands still.
const ANSWER_WAIT_MAX: Duration = Duration::from_secs(8);
/// Interval between checks of a VM that is not ready.
const READINESS_INTERVAL: Duration = Duration::from_millis(50);

/// One request and its answer.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Number of the VM that received it.
    pub vm: usize,
    /// Its id.
    pub id: String,
    /// Its path.
    pub path: &'static str,
    /// Its key.
    pub key: &'static str,
    /// When it was sent.
    pub sent_at: Instant,
    /// When its answer or its connection ended, or the wait for it was given up.
    pub ended_at: Instant,
    /// The answer; none if the connection ended before the head of the answer or the wait limit passed.
    pub reply: Option<Reply>,
}

/// The records of all callers of a run and the flag that stops them.
#[derive(Debug, Default)]
pub struct CallerGroup {
    records: Mutex<Vec<RequestRecord>>,
    is_stopped: AtomicBool,
}

impl CallerGroup {
    /// Stops each caller after its current request.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Returns the records of all requests that have ended.
    #[must_use]
    pub fn records(&self) -> Vec<RequestRecord> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Whether requests with this path are answered with a stream.
///
/// ```
/// use lw_soak::callers::{PACED_STREAM_PATHS, is_stream};
/// assert!(PACED_STREAM_PATHS.into_iter().all(is_stream) && !is_stream("/look/x"));
/// ```
#[must_use]
pub fn is_stream(path: &str) -> bool {
    path.starts_with("/long/") || path.starts_with("/short/")
}

/// Whether a VM answers its readiness check with status 200 within a second.
pub async fn is_ready(place: &VmOptions) -> bool {
    let reply = timeout(Duration::from_secs(1), get(place.readiness, "/api/readiness")).await;
    reply.ok().flatten().is_some_and(|reply| reply.status == 200)
}

/// Sends requests for random `paths` to one VM, one after the other, until the group is stopped; `name` begins their ids.
pub async fn run_caller(
    group: Arc<CallerGroup>,
    vm: usize,
    place: VmOptions,
    paths: &[&'static str],
    name: String,
    seed: u64,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut connection: Option<Caller> = None;
    let mut number = 0;
    while !group.is_stopped.load(Ordering::Relaxed) {
        sleep(Duration::from_millis(rng.u64(5..80))).await;
        let Some(caller) = &mut connection else {
            if is_ready(&place).await {
                connection = Caller::connect(place.callers).await;
            } else {
                sleep(READINESS_INTERVAL).await;
            }
            continue;
        };
        number += 1;
        let path = paths[rng.usize(0..paths.len())];
        let key = if rng.u8(0..4) == 0 { OTHER_KEY } else { KEY };
        let mut req = CallerRequest { key, ..request(&format!("{name}-{number}"), path) };
        // The prompt's first piece is one of six, so that requests share prompts.
        req.headers = req.headers.replace("a1:", &format!("a{}:", rng.u8(0..6)));
        if is_stream(path) {
            req.deadline_ms = u64::try_from(STREAM_DEADLINE.as_millis()).unwrap_or(u64::MAX);
        }
        let sent_at = Instant::now();
        let exchange = async {
            caller.send(&req).await;
            caller.read_answer().await
        };
        let reply = timeout(ANSWER_WAIT_MAX, exchange).await.ok().flatten();
        let must_reconnect = reply.as_ref().is_none_or(|reply| {
            let connection = reply.header("connection").unwrap_or_default();
            !reply.is_complete || connection.eq_ignore_ascii_case("close")
        });
        if must_reconnect {
            connection = None;
        }
        let record =
            RequestRecord { vm, id: req.id, path, key, sent_at, ended_at: Instant::now(), reply };
        group.records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
    }
}
