//! Ages of target versions of weights. A VM that starts requests them from the others, since the store contains the
//! version but not the time at which it became the target.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use lw_observe::logs::millis;
use lw_types::prelude::*;

use super::{Notice, random_others, send_to};
use crate::state::Edge;

/// Requests after a start. One may not be enough, since the other VMs may start at the same time and have no ages
/// either.
const REQUESTS_MAX: usize = 8;
/// Time between two requests.
const REQUEST_PERIOD: Duration = Duration::from_millis(250);
/// VMs to which one request is sent.
const RECIPIENTS_MAX: usize = 4;

/// The last request of this VM for ages of versions: its nonce, and when it was sent by the clock that counts suspended
/// time.
#[derive(Debug, Default)]
pub struct VersionAgeQuery(Mutex<Option<(u64, Now)>>);

impl VersionAgeQuery {
    fn lock(&self) -> MutexGuard<'_, Option<(u64, Now)>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Requests missing ages from the other VMs a few times after a start, as long as any is missing.
pub(super) async fn request_ages(edge: &Edge) {
    for _ in 0..REQUESTS_MAX {
        let is_undated = edge.store_view().target_versions().any(|(_, target)| !target.is_dated);
        if is_undated {
            let nonce = fastrand::u64(..);
            *edge.version_age_query.lock() = Some((nonce, edge.timer.now_including_suspend()));
            for addr in random_others(edge, RECIPIENTS_MAX) {
                let notice = Notice::VersionAgesRequest { addr: edge.settings.peers, nonce };
                send_to(edge, addr, notice);
            }
        }
        tokio::time::sleep(REQUEST_PERIOD).await;
    }
}

/// Replies to another VM with the ages that this VM has.
pub(super) fn reply(edge: &Edge, addr: SocketAddr, nonce: u64) {
    let now = edge.timer.now_including_suspend();
    let age_ms = |since: Now| millis(now.saturating_sub(since));
    let versions: Vec<_> = {
        let view = edge.store_view();
        let dated = view.target_versions().filter(|(_, target)| target.is_dated);
        dated.map(|(model, target)| (model.clone(), target.version, age_ms(target.since))).collect()
    };
    if !versions.is_empty() {
        send_to(edge, addr, Notice::VersionAges { nonce, versions });
    }
}

/// Applies the reply to the last request. Ages are counted back from when the request was sent, so that a reply that is
/// delayed, or read after a pause, makes a version appear older than it is and never younger.
pub(super) fn apply_reply(edge: &Edge, nonce: u64, versions: &[(ModelId, u64, u64)]) {
    let Some((_, sent_at)) = edge.version_age_query.lock().filter(|(sent, _)| *sent == nonce)
    else {
        return;
    };
    for (model, version, age_ms) in versions {
        let since = sent_at.saturating_sub(Duration::from_millis(*age_ms));
        if edge.store_view().set_target_since(model, *version, since) {
            log::info!(target: "order", model = model.as_str(), weights = *version,
                age_ms = *age_ms; "age of a version learned");
            edge.set_target_version(since, model, *version);
        }
    }
}
