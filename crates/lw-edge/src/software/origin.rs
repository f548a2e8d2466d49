//! Finds out which software version began a stream that a caller takes up again.

use std::time::Duration;

use derive_more::{Display, Error};
use lw_observe::metrics;
use lw_place::software::{History, Origin};
use lw_platform::store;
use lw_types::prelude::*;
use tokio::{sync::oneshot, time::timeout};

use super::{StreamId, decode, lock};
use crate::{
    peers,
    state::{Edge, keys},
};

/// Longest wait for the store. Its answer usually takes a few milliseconds.
const READ_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for another VM's reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(120);

/// Why it is not known which software version began a stream.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub(crate) enum OriginError {
    /// Several versions may have begun it, and no VM remembers.
    #[display("several software versions may have begun the stream")]
    Ambiguous,
    /// The store did not answer, and no VM remembers.
    #[display("the software versions in service cannot be read: {_0}")]
    Unreadable(#[error(not(source))] String),
}

/// The last read of a history.
#[derive(Debug)]
pub(super) struct Read {
    /// When the read was sent.
    sent_at: Now,
    history: Result<History, String>,
}

/// Returns the software version that began a stream. `id_hash` is the hash of the id of the request that brought its first event,
/// if the caller states one.
///
/// # Errors
///
/// When that is not known.
pub(crate) async fn find(
    edge: &Edge,
    service: &str,
    id_hash: Option<u64>,
) -> Result<SoftwareVersion, OriginError> {
    let stream = id_hash.map(|id| StreamId::new(service, id));
    if let Some(software) = stream.and_then(|stream| edge.software.remembered(stream)) {
        count(edge, "remembered");
        return Ok(software);
    }
    let recorded = recorded(edge, service, id_hash).await;
    if recorded.is_ok() {
        count(edge, "recorded");
        return recorded;
    }
    let replied = match stream {
        Some(stream) => ask(edge, stream).await,
        None => None,
    };
    count(edge, if replied.is_some() { "replied" } else { "unknown" });
    replied.map_or(recorded, Ok)
}

fn count(edge: &Edge, kind: &'static str) {
    metrics::increment(&edge.metrics.stream_origins, kind);
}

/// Returns the version that the history in the store tells. It is read after the request has arrived: another VM may have begun
/// the stream under an assignment that this one has not received yet.
async fn recorded(
    edge: &Edge,
    service: &str,
    id_hash: Option<u64>,
) -> Result<SoftwareVersion, OriginError> {
    let arrived = edge.timer.now();
    let mut reads = edge.software.reads.lock().await;
    let is_fresh = reads.get(service).is_some_and(|read| read.sent_at >= arrived);
    if !is_fresh {
        let sent_at = edge.timer.now();
        let history = read(edge, service).await;
        reads.insert(service.to_owned(), Read { sent_at, history });
    }
    let Some(Read { history, .. }) = reads.get(service) else { return Err(OriginError::Ambiguous) };
    let history = history.as_ref().map_err(|e| OriginError::Unreadable(e.clone()))?;
    let origin = match id_hash {
        Some(id_hash) => history.origin(id_hash),
        None => history.only_version(),
    };
    match origin {
        Origin::Version(software) => Ok(software.to_owned()),
        Origin::Ambiguous => Err(OriginError::Ambiguous),
    }
}

async fn read(edge: &Edge, service: &str) -> Result<History, String> {
    let key = keys::software(service);
    let page = edge.count_store_call("range", edge.store.range(&key, None));
    let page = timeout(READ_TIMEOUT, page).await.map_err(|_| "no answer in time".to_owned())?;
    let page = page.map_err(|e: store::Error| e.to_string())?;
    let item = page.entries.iter().find(|item| item.key == key).ok_or("there are none")?;
    let value = item.value.as_ref().map_err(ToString::to_string)?;
    let history = decode(&key, value).ok_or("they cannot be decoded")?;
    if history.era != page.position.era {
        return Err("they are of an older copy of the store".into());
    }
    Ok(history)
}

/// Asks the other VMs which version began a stream.
async fn ask(edge: &Edge, stream: StreamId) -> Option<SoftwareVersion> {
    if edge.store_view().vms().all(|(vm, _)| *vm == edge.settings.vm) {
        return None;
    }
    let nonce = fastrand::u64(..);
    let (wake, woken) = oneshot::channel();
    lock(&edge.software.waiting).insert(nonce, wake);
    peers::ask_for_origin(edge, stream, nonce);
    let reply = timeout(REPLY_TIMEOUT, woken).await;
    lock(&edge.software.waiting).remove(&nonce);
    reply.ok()?.ok()
}
