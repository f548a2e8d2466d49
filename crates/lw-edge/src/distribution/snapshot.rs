//! Transfer of the whole view of the store to a VM that starts.
//!
//! If each VM of a large fleet reads a large store when all start at once, the bytes grow with the product of VMs and upstreams.
//! The items are compressed: entries of upstreams differ in a few characters, and the links of VMs are narrow.

use std::{
    io::{Read, Write},
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use http::Method;
use lw_observe::logs::millis;
use lw_transport::{auth, client::Call};
use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{Error, journal::Change};
use crate::state::Edge;

/// HTTP path of the requests.
pub(super) const PATH: &str = "/snapshot";
/// Time limit for a reply. 150 kB over a link of 10 Mbit/s take 0.12 s, and several VMs may ask at once.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time for which an encoded snapshot is sent again. While a fleet starts, the store changes all the time; the VM that asked gets
/// the changes after it as any other VM does.
const CACHE_TIME: Duration = Duration::from_secs(2);
/// Most bytes of the decoded items.
const ITEMS_MAX_BYTES: u64 = 64 << 20;

/// A request for a snapshot.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct SnapshotRequest {
    nonce: u64,
}

/// What precedes the compressed items of a reply.
#[derive(Debug, Serialize, Deserialize)]
struct Head {
    nonce: u64,
    era: Era,
    revision: Revision,
    /// Age of the view, in milliseconds. `None` while the store has not settled after its return from an older copy.
    age_ms: Option<u64>,
}

/// The whole store as another VM sees it.
#[derive(Debug)]
pub struct Snapshot {
    /// All changes up to it are contained.
    pub position: Position,
    /// All changes that the store had acknowledged by this time are contained. `None` if that is not known of any time in this era.
    pub current_as_of: Option<Now>,
    /// The items, except those whose value cannot be read.
    pub items: Vec<Change>,
}

/// The snapshot that was encoded last.
#[derive(Debug, Default)]
pub(super) struct Cache(Mutex<Option<Encoded>>);

#[derive(Debug, Clone)]
struct Encoded {
    position: Position,
    current_as_of: Option<Now>,
    made_at: Now,
    items: Bytes,
}

/// Requests a snapshot from another VM. `key` authenticates messages between VMs; a VM that starts has not installed it yet.
///
/// # Errors
///
/// Returns any [`enum@Error`].
pub async fn request(edge: &Edge, key: &[u8], addr: SocketAddr) -> Result<Snapshot, Error> {
    let sent = edge.timer.now_including_suspend();
    let request = SnapshotRequest { nonce: fastrand::u64(..) };
    let mut call = Call::new(Method::POST, addr, PATH, REPLY_TIMEOUT);
    call.body = super::encode(key, &request).ok_or(Error::InvalidReply)?;
    let bytes = edge.clients.send_and_collect(call).await.map_err(Error::Call)?;
    let mut packed = auth::verify(key, &bytes).ok_or(Error::InvalidReply)?;
    let head: Head = rmp_serde::from_read(&mut packed).map_err(|_| Error::InvalidReply)?;
    if head.nonce != request.nonce {
        return Err(Error::InvalidReply);
    }
    let mut items = Vec::new();
    let decoded = DeflateDecoder::new(packed).take(ITEMS_MAX_BYTES).read_to_end(&mut items);
    decoded.map_err(|_| Error::InvalidReply)?;
    let items = rmp_serde::from_slice(&items).map_err(|_| Error::InvalidReply)?;
    let since = |age_ms| sent.saturating_sub(Duration::from_millis(age_ms));
    let position = Position { era: head.era, revision: head.revision };
    Ok(Snapshot { position, current_as_of: head.age_ms.map(since), items })
}

/// Returns the signed reply to a request; none if this VM has not read the store, or keeps no items.
pub(super) fn reply(edge: &Edge, key: &[u8], request: &SnapshotRequest) -> Option<Bytes> {
    let now = edge.timer.now_including_suspend();
    let encoded = encoded(edge, now)?;
    let head = Head {
        nonce: request.nonce,
        era: encoded.position.era,
        revision: encoded.position.revision,
        // Rounded up, so that the view does not look younger than it is.
        age_ms: encoded.current_as_of.map(|as_of| millis(now.saturating_sub(as_of)) + 1),
    };
    let mut body = rmp_serde::to_vec(&head).inspect_err(log_error).ok()?;
    body.extend_from_slice(&encoded.items);
    Some(auth::sign(key, &body).into())
}

/// Returns the snapshot that was encoded last, or encodes one.
fn encoded(edge: &Edge, now: Now) -> Option<Encoded> {
    let mut cached = edge.distribution.snapshots.0.lock().unwrap_or_else(PoisonError::into_inner);
    let era = edge.store_view().era();
    let is_usable = |encoded: &&Encoded| {
        Some(encoded.position.era) == era && now < encoded.made_at + CACHE_TIME
    };
    if let Some(encoded) = cached.as_ref().filter(is_usable) {
        return Some(encoded.clone());
    }
    // The age is read before the items, which are then at least as new as it states.
    let current_as_of = {
        let view = edge.store_view();
        view.age(now).filter(|_| view.is_settled()).map(|age| now.saturating_sub(age))
    };
    let (position, items) = edge.distribution.with_journal(|journal| {
        let (position, items) = journal.items()?;
        Some((position, rmp_serde::to_vec(&items.collect::<Vec<_>>())))
    })?;
    let items = items.inspect_err(log_error).ok()?;
    let mut deflater = DeflateEncoder::new(Vec::new(), Compression::fast());
    let items = deflater.write_all(&items).and_then(|()| deflater.finish());
    let items = items.inspect_err(log_error).ok()?.into();
    let encoded = Encoded { position, current_as_of, made_at: now, items };
    *cached = Some(encoded.clone());
    Some(encoded)
}

fn log_error(e: &impl std::fmt::Display) {
    log::error!(target: "config", why = e.to_string(); "cannot encode the view of the store");
}
