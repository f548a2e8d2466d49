//! Ages of named versions of weights, which a VM that starts learns from the others: the store tells the version, not
//! when it was named.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use lw_types::prelude::*;

use super::{Notice, send_to};
use crate::state::Edge;

/// Questions after a start. The others may start at the same time and know nothing either.
const ASK_MAX: usize = 8;
/// Time between two questions.
const ASK_PERIOD: Duration = Duration::from_millis(250);
/// VMs that are asked at a time.
const ASKED_MAX: usize = 4;

/// The open question of this VM.
#[derive(Debug, Default)]
pub struct OpenAgeRequest(Mutex<Option<(u64, Now)>>);

impl OpenAgeRequest {
    fn open(&self) -> MutexGuard<'_, Option<(u64, Now)>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Asks the other VMs until one has told the ages that this VM does not know.
pub(super) async fn ask(edge: &Edge) {
    for _ in 0..ASK_MAX {
        let is_undated = edge.known().versions().any(|(_, named)| !named.is_dated);
        if is_undated {
            let nonce = fastrand::u64(..);
            *edge.asked.open() = Some((nonce, edge.timer.now_suspended()));
            let mut addrs: Vec<_> = {
                let known = edge.known();
                let others = known.vms().filter(|(vm, _)| **vm != edge.settings.vm);
                others.map(|(_, entry)| entry.addr).collect()
            };
            fastrand::shuffle(&mut addrs);
            for addr in addrs.into_iter().take(ASKED_MAX) {
                let news = Notice::VersionAgesRequest { addr: edge.settings.peers, nonce };
                send_to(edge, addr, news);
            }
        }
        tokio::time::sleep(ASK_PERIOD).await;
    }
}

/// Answers the question of another VM, as far as this VM knows.
pub(super) fn tell(edge: &Edge, addr: SocketAddr, nonce: u64) {
    let now = edge.timer.now_suspended();
    let age_ms =
        |since: Now| u64::try_from(now.saturating_sub(since).as_millis()).unwrap_or(u64::MAX);
    let versions: Vec<_> = {
        let known = edge.known();
        let dated = known.versions().filter(|(_, named)| named.is_dated);
        dated.map(|(model, named)| (model.clone(), named.version, age_ms(named.since))).collect()
    };
    if !versions.is_empty() {
        send_to(edge, addr, Notice::VersionAges { nonce, versions });
    }
}

/// Takes the answer to the open question. Ages count from when the question was sent: an answer that is delayed, or is
/// read after a pause, makes a version older than it is and never younger.
pub(super) fn take(edge: &Edge, nonce: u64, versions: &[(ModelId, u64, u64)]) {
    let Some((_, asked_at)) = edge.asked.open().filter(|(asked, _)| *asked == nonce) else {
        return;
    };
    for (model, version, age_ms) in versions {
        let since = asked_at.saturating_sub(Duration::from_millis(*age_ms));
        if edge.known().date_version(model, *version, since) {
            log::info!(target: "order", model = model.as_str(), weights = *version,
                age_ms = *age_ms; "age of a version learned");
            edge.version_named(since, model, *version);
        }
    }
}
