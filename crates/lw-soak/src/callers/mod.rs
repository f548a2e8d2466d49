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

/// Paths of the four kinds of routes.
pub const PATHS: [&str; 4] = ["/look/x", "/book/x", "/long/x", "/short/x"];
/// Longest wait of a caller for an answer, above the time of all routes.
const PATIENCE: Duration = Duration::from_secs(6);
/// Pause after a failed connection, or while the VM is not ready.
const PAUSE: Duration = Duration::from_millis(50);

/// One request and its answer.
#[derive(Debug, Clone)]
pub struct Record {
    /// Number of the VM.
    pub vm: usize,
    /// Id of the request.
    pub id: String,
    /// Its path.
    pub path: &'static str,
    /// Its key.
    pub key: &'static str,
    /// When it was sent.
    pub sent: Instant,
    /// When the answer had ended.
    pub ended: Instant,
    /// The answer; none if the connection ended before its head or the caller lost patience.
    pub reply: Option<Reply>,
}

/// What all callers have in common.
#[derive(Debug, Default)]
pub struct Shared {
    records: Mutex<Vec<Record>>,
    is_over: AtomicBool,
}

impl Shared {
    /// Ends all callers after their request.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }

    /// All records so far.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Whether a VM says that it is ready.
pub async fn is_ready(place: &VmOptions) -> bool {
    let answer = timeout(Duration::from_secs(1), get(place.readiness, "/api/readiness")).await;
    answer.ok().flatten().is_some_and(|reply| reply.status == 200)
}

/// Sends one request after the other to one VM.
pub async fn call(shared: Arc<Shared>, vm: usize, place: VmOptions, name: String, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut connection: Option<Caller> = None;
    let mut number = 0;
    while !shared.is_over.load(Ordering::Relaxed) {
        sleep(Duration::from_millis(rng.u64(5..80))).await;
        let Some(caller) = &mut connection else {
            if is_ready(&place).await {
                connection = Caller::connect(place.callers).await;
            } else {
                sleep(PAUSE).await;
            }
            continue;
        };
        number += 1;
        let path = PATHS[rng.usize(0..PATHS.len())];
        let key = if rng.u8(0..4) == 0 { OTHER_KEY } else { KEY };
        let mut req = CallerRequest { key, ..request(&format!("{name}-{number}"), path) };
        // Some prompts are shared by many requests, others by few.
        req.headers = req.headers.replace("a1:", &format!("a{}:", rng.u8(0..6)));
        let sent = Instant::now();
        let answer = async {
            caller.send(&req).await;
            caller.read_answer().await
        };
        let reply = timeout(PATIENCE, answer).await.ok().flatten();
        let closes = reply.as_ref().is_none_or(|reply| {
            let connection = reply.header("connection").unwrap_or_default();
            !reply.is_complete || connection.eq_ignore_ascii_case("close")
        });
        if closes {
            connection = None;
        }
        let record = Record { vm, id: req.id, path, key, sent, ended: Instant::now(), reply };
        shared.records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
    }
}
