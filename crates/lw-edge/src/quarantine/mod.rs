//! Quarantine of prompt segments that crash engines: feeds the evidence of this VM and the others to the decisions, and
//! sends and stores what follows from them.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use lw_catalog::Upstream;
use lw_place::AttemptId;
use lw_platform::store::{Error, KeyWrite, Precondition};
use lw_quarantine::{Action, Quarantine, SegmentSet, StoredSet, Suspect};
use lw_types::prelude::*;
use tokio::sync::Notify;

use crate::{
    peers::{self, Announcement},
    state::{
        Edge, StoreView,
        keys::{self, QuarantineEntry},
    },
};

mod confirm;

/// Period of the decisions while there is evidence to decide on.
const BUSY_PERIOD: Duration = Duration::from_millis(50);
/// Period of the decisions otherwise: sets that other VMs wrote to the store are taken from it.
const IDLE_PERIOD: Duration = Duration::from_millis(250);

/// The quarantine of a VM, shared by its requests and tasks.
#[derive(Debug)]
pub struct SharedQuarantine {
    quarantine: Mutex<Quarantine>,
    /// Wakes the task that decides.
    evidence: Notify,
    /// Wakes the requests in flight when a set is quarantined.
    changed: Notify,
    checks: confirm::Checks,
}

impl SharedQuarantine {
    /// Returns the state of a VM that knows nothing yet.
    #[must_use]
    pub fn new(vm: VmId) -> Self {
        Self {
            quarantine: Mutex::new(Quarantine::new(vm)),
            evidence: Notify::new(),
            changed: Notify::new(),
            checks: confirm::Checks::default(),
        }
    }

    /// Locks the quarantine.
    pub fn lock(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `f` with the quarantine and wakes the task that decides, if there is something to decide on.
    pub fn record(&self, f: impl FnOnce(&mut Quarantine)) {
        let mut quarantine = self.lock();
        f(&mut quarantine);
        if quarantine.is_busy() {
            self.evidence.notify_one();
        }
    }

    /// Returns the time until a request with these segments may be served, if it must not be now.
    #[must_use]
    pub fn time_left(&self, now: Now, segments: &[SegmentId]) -> Option<Duration> {
        self.lock().time_left(now, segments)
    }

    /// Claims an attempt at a request with these segments.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may send the request again, if no attempt may begin now.
    pub fn try_begin(&self, now: Now, segments: &[SegmentId]) -> Result<(), Duration> {
        self.lock().try_begin(now, segments)
    }

    /// Whether a request with these segments, whose attempt broke with its engine, may be sent to another one.
    #[must_use]
    pub fn may_send_again(&self, segments: &[SegmentId]) -> bool {
        self.lock().may_send_again(segments)
    }

    /// Waits until a request with these segments must not be served.
    pub async fn wait_until_quarantined(&self, now: impl Fn() -> Now, segments: &[SegmentId]) {
        loop {
            let changed = self.changed.notified();
            if self.time_left(now(), segments).is_some() {
                return;
            }
            changed.await;
        }
    }
}

/// Records that an attempt at an engine broke before its answer showed that its request is sound, and finds out whether the
/// engine is down.
pub(crate) fn record_broken(
    edge: &Arc<Edge>,
    upstream: &Upstream,
    attempt_id: AttemptId,
    segments: &[SegmentId],
) {
    let now = edge.timer.now_including_suspend();
    let suspect = Suspect { attempt_id, segments: segments.to_vec() };
    edge.quarantine.record(|quarantine| quarantine.record_broken(now, &upstream.id, suspect));
    confirm::spawn(edge, upstream);
}

/// Records that the answer to a request went on after its start.
pub(crate) fn record_sound(edge: &Edge, segments: &[SegmentId]) {
    let now = edge.timer.now_including_suspend();
    edge.quarantine.record(|quarantine| quarantine.record_sound(now, segments));
}

/// Records that an engine is down.
pub(crate) fn record_down(edge: &Edge, upstream: &str) {
    let now = edge.timer.now_including_suspend();
    edge.quarantine.record(|quarantine| quarantine.record_down(now, upstream));
}

/// Decides on the evidence until the process ends.
pub async fn run(edge: Arc<Edge>) {
    let mut last_era = None;
    loop {
        let is_busy = edge.quarantine.lock().is_busy();
        if is_busy {
            tokio::time::sleep(BUSY_PERIOD).await;
        } else {
            let evidence = edge.quarantine.evidence.notified();
            // Either the evidence or the end of the period.
            let _ = tokio::time::timeout(IDLE_PERIOD, evidence).await;
        }
        let (era, stored, rank) = {
            let view = edge.store_view();
            (view.era(), stored_sets(&view), store_rank(&view, &edge.settings.vm))
        };
        let now = edge.timer.now_including_suspend();
        let former = std::mem::replace(&mut last_era, era);
        let actions = {
            let mut quarantine = edge.quarantine.lock();
            if former.is_some_and(|former| Some(former) != era) {
                quarantine.on_store_restored(now, rank);
            }
            quarantine.poll(now, &stored, rank)
        };
        for action in actions {
            apply(&edge, action);
        }
    }
}

/// Returns the sets in the store.
fn stored_sets(view: &StoreView) -> HashMap<SegmentSet, StoredSet> {
    let items = view.router_items_below(keys::QUARANTINE_PREFIX);
    let decode = |(key, item): (&String, &crate::state::RouterItem)| {
        let entry: Result<QuarantineEntry, _> = serde_json::from_slice(&item.value);
        let decoded = entry.map_err(|e| e.to_string()).and_then(|entry| {
            let stored = StoredSet { revision: item.revision, crashes: entry.crashes };
            SegmentSet::try_from(&entry).map(|set| (set, stored))
        });
        match decoded {
            Ok(decoded) => Some(decoded),
            Err(e) => {
                log::warn!(target: "quarantine", key = key.as_str(), why = e.as_str();
                    "unreadable entry of a quarantined set");
                None
            }
        }
    };
    items.filter_map(decode).collect()
}

/// Returns the position of this VM among the registered ones by when they registered, the latest first: it is likely to
/// run longest.
fn store_rank(view: &StoreView, own: &VmId) -> u32 {
    let own = view.registered_at(own);
    let others = view.vms().filter(|(vm, _)| view.registered_at(vm) > own);
    u32::try_from(others.count()).unwrap_or(u32::MAX)
}

fn apply(edge: &Arc<Edge>, action: Action) {
    match action {
        Action::Report(report) => peers::announce(edge, Announcement::Crash(&report)),
        Action::Vouch(segments) => peers::announce(edge, Announcement::Sound(&segments)),
        Action::Announce(set, basis) => {
            peers::announce(edge, Announcement::Quarantined(&set, basis));
        }
        Action::AnnounceRelease(set) => peers::announce(edge, Announcement::Released(&set)),
        Action::Store(set, crashes) => {
            let entry = QuarantineEntry::new(&set, crashes);
            let value = match serde_json::to_vec(&entry) {
                Ok(value) => value,
                Err(e) => {
                    return log::error!(target: "quarantine", why = e.to_string(); "set not encoded");
                }
            };
            let key = keys::quarantine(&set);
            let expected = Precondition { key: key.clone(), revision: 0 };
            spawn_write(edge, expected, vec![KeyWrite { key, value, lease: 0 }], Vec::new());
        }
        Action::Unstore(set, revision) => {
            let key = keys::quarantine(&set);
            let expected = Precondition { key: key.clone(), revision };
            spawn_write(edge, expected, Vec::new(), vec![key]);
        }
        Action::LogBlamed(set, crashes) => {
            log::warn!(target: "quarantine", segments = set.to_string(), crashes = crashes;
                "segments crash engines; requests with them are refused");
            edge.quarantine.changed.notify_waiters();
        }
        Action::LogAdopted(set) => {
            log::warn!(target: "quarantine", segments = set.to_string();
                "segments crash engines, as another VM reported; requests with them are refused");
            edge.quarantine.changed.notify_waiters();
        }
        Action::LogTooMany(set) => {
            log::error!(target: "quarantine", segments = set.to_string();
                "segments crash engines, but too many are quarantined already");
        }
        Action::LogReleased(set, reason) => {
            log::warn!(target: "quarantine", segments = set.to_string(), why = reason.to_string();
                "segments released");
        }
    }
}

/// Writes to the store in a task of its own, since the store may be slow. A failure is tried again by a later decision.
fn spawn_write(
    edge: &Arc<Edge>,
    expected: Precondition,
    writes: Vec<KeyWrite>,
    remove: Vec<String>,
) {
    let edge = Arc::clone(edge);
    tokio::spawn(async move {
        let key = expected.key.clone();
        let written = edge.store.write(vec![expected], writes, remove);
        match edge.count_store_call("write", written).await {
            // On a conflict another VM has written the same.
            Ok(_) | Err(Error::Conflict) => {}
            Err(e) => log::warn!(target: "quarantine", key = key.as_str(), why = e.to_string();
                "cannot write a quarantined set to the store"),
        }
    });
}
