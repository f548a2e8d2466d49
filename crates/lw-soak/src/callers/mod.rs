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
/// Longest wait of a caller for an answer; longer than the time limit of any route.
const ANSWER_WAIT_MAX: Duration = Duration::from_secs(6);
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

/// Whether a VM answers its readiness check with status 200 within a second.
pub async fn is_ready(place: &VmOptions) -> bool {
    let reply = timeout(Duration::from_secs(1), get(place.readiness, "/api/readiness")).await;
    reply.ok().flatten().is_some_and(|reply| reply.status == 200)
}

/// Sends requests to one VM, one after the other, until the group is stopped; `name` begins their ids.
pub async fn run_caller(
    group: Arc<CallerGroup>,
    vm: usize,
    place: VmOptions,
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
        let path = PATHS[rng.usize(0..PATHS.len())];
        let key = if rng.u8(0..4) == 0 { OTHER_KEY } else { KEY };
        let mut req = CallerRequest { key, ..request(&format!("{name}-{number}"), path) };
        // The prompt's first piece is one of six, so that requests share prompts.
        req.headers = req.headers.replace("a1:", &format!("a{}:", rng.u8(0..6)));
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
