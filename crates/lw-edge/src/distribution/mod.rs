//! Distribution of changes of the store between VMs, with the age of the view of the store that they come from.
//!
//! A VM requests the changes after its own revision from another one. The age of the view is counted from when the
//! request was sent, plus the time for which the other VM held it, so that neither a delayed reply nor a pause of
//! either VM makes the view look younger than it is. Requests and replies carry an authentication code and the nonce
//! of the request.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use lw_observe::logs::millis;
use lw_transport::{
    auth,
    client::{self, BodyTime, Call},
};
use lw_types::prelude::*;
use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::Notify;

use crate::{
    answer::{Answer, full_body},
    state::Edge,
};

pub mod journal;
pub mod source;
pub mod value;
pub mod wire;

use journal::{Change, Journal};
use wire::{ChangeWire, ChangesReplyWire, ChangesRequest, PlainChangeWire, ViewWire};

/// HTTP path of the requests.
const PATH: &str = "/changes";
/// Encoding of values that the requesting VM accepts, in the header of the request, and that the reply uses.
const DEFLATE: HeaderValue = HeaderValue::from_static("deflate");
/// Largest size of a request in bytes.
const REQUEST_MAX_BYTES: usize = 1 << 10;
/// Longest time for which a request waits for a change.
pub const CHANGE_WAIT: Duration = Duration::from_millis(500);
/// Time limit until a reply begins, in addition to the wait. VMs of a failure domain are a millisecond apart, but each has
/// only a fraction of a core.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limits of a reply that has begun.
pub const REPLY_BODY_TIME: BodyTime =
    BodyTime { pause_max: REPLY_TIMEOUT, total_max: Duration::from_secs(2) };

/// The changes of the store that a VM offers to others.
#[derive(Debug, Default)]
pub struct ChangeDistribution {
    journal: Mutex<Journal>,
    /// Wakes the requests that wait for changes.
    changed: Notify,
    /// Whether the last call of this VM to the store failed.
    is_without_store: AtomicBool,
}

impl ChangeDistribution {
    /// Sets whether the last call of this VM to the store failed. If it did, requests for changes are told so at once,
    /// since the other VMs may be able to get them elsewhere.
    pub fn set_without_store(&self, is_without_store: bool) {
        let was_without_store = self.is_without_store.swap(is_without_store, Ordering::AcqRel);
        if is_without_store && !was_without_store {
            self.changed.notify_waiters();
        }
    }

    /// Calls `f` with the journal.
    pub fn with_journal<T>(&self, f: impl FnOnce(&mut Journal) -> T) -> T {
        f(&mut self.journal.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Appends the changes up to `revision` to the journal and wakes the requests that wait for changes.
    pub fn advance(&self, revision: Revision, changes: Vec<Change>) {
        let has_changes = !changes.is_empty();
        self.with_journal(|journal| journal.advance(revision, changes));
        if has_changes {
            self.changed.notify_waiters();
        }
    }
}

/// The reply of another VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangesReply {
    /// All changes up to a revision of the era that was requested.
    Changes {
        /// The revision.
        revision: Revision,
        /// The changes, except those that make no difference to any VM.
        changes: Vec<Change>,
        /// All changes that the store had acknowledged by this time are included. `None` if that is not known of any
        /// time in this era.
        current_as_of: Option<Now>,
        /// Size of the encoded reply.
        bytes: usize,
    },
    /// The other VM does not have all changes after the position, which may be of another era, or cannot get further ones
    /// from the store.
    Unknown,
}

/// Why another VM returned no changes.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The key that authenticates messages between VMs was not read yet.
    #[display("the key for messages between VMs was not read yet")]
    NoKey,
    /// The call failed.
    #[display("{_0}")]
    Call(client::Error),
    /// The reply is not authentic, cannot be decoded, or belongs to another request.
    #[display("the reply is not authentic or belongs to another request")]
    InvalidReply,
}

/// Requests the changes after a position from another VM, which may wait for a change for at most `wait`.
///
/// # Errors
///
/// Returns any [`enum@Error`].
pub async fn request_changes(
    edge: &Edge,
    addr: SocketAddr,
    after: Position,
    wait: Duration,
) -> Result<ChangesReply, Error> {
    let key = edge.store_view().peer_key().ok_or(Error::NoKey)?;
    let sent = edge.timer.now_including_suspend();
    let request = ChangesRequest {
        nonce: fastrand::u64(..),
        after: after.revision,
        wait_ms: millis(wait),
        era: after.era,
    };
    let mut call = Call::new(Method::POST, addr, PATH, wait + REPLY_TIMEOUT);
    call.body = encode(&key, &request).ok_or(Error::InvalidReply)?;
    call.body_time = Some(REPLY_BODY_TIME);
    call.headers.insert(header::ACCEPT_ENCODING, DEFLATE);
    let answer = edge.clients.collect(call).await.map_err(Error::Call)?;
    let is_deflated = uses_deflate(answer.headers(), &header::CONTENT_ENCODING);
    let bytes = client::success_body(answer).map_err(Error::Call)?;
    let reply = if is_deflated {
        decode::<ChangesReplyWire<ChangeWire>>(&key, &bytes).map(ChangesReplyWire::into_changes)
    } else {
        decode::<ChangesReplyWire<PlainChangeWire>>(&key, &bytes)
            .map(ChangesReplyWire::into_changes)
    };
    let reply = reply.filter(|reply| reply.nonce == request.nonce).ok_or(Error::InvalidReply)?;
    let Some(view) = reply.view else { return Ok(ChangesReply::Unknown) };
    let held = Duration::from_millis(view.held_ms).min(wait);
    let since = |age_ms| (sent + held).saturating_sub(Duration::from_millis(age_ms));
    let current_as_of = view.age_ms.map(since);
    let ViewWire { revision, changes, .. } = view;
    Ok(ChangesReply::Changes { revision, changes, current_as_of, bytes: bytes.len() })
}

/// Replies to a [`ChangesRequest`] of another VM.
///
/// # Errors
///
/// Returns no error; failures are HTTP statuses.
pub async fn answer(edge: Arc<Edge>, req: Request<Incoming>) -> Result<Answer, Infallible> {
    let status = |status: StatusCode, body: Bytes| {
        let mut response = Response::new(full_body(body));
        *response.status_mut() = status;
        Ok(response)
    };
    let Some(key) = edge.store_view().peer_key() else {
        return status(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    };
    let arrived = edge.timer.now_including_suspend();
    let accepts_deflate = uses_deflate(req.headers(), &header::ACCEPT_ENCODING);
    let body = Limited::new(req.into_body(), REQUEST_MAX_BYTES).collect().await;
    let request: Option<ChangesRequest> = body.ok().and_then(|body| decode(&key, &body.to_bytes()));
    let Some(request) = request else {
        log::warn!(target: "member",
            "rejected a request for changes without a valid authentication code");
        return status(StatusCode::FORBIDDEN, Bytes::new());
    };
    let view = wait_for_changes(&edge, &request, arrived).await;
    let reply = ChangesReplyWire { nonce: request.nonce, view };
    let body = if accepts_deflate {
        encode(&key, &reply.map(|change| Some(ChangeWire::from(change))))
    } else {
        encode(&key, &reply.map(plain_change))
    };
    let Some(body) = body else {
        return status(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new());
    };
    let mut response = status(StatusCode::OK, body)?;
    if accepts_deflate {
        response.headers_mut().insert(header::CONTENT_ENCODING, DEFLATE);
    }
    Ok(response)
}

/// Returns a change for a VM of an older release, or none if its value cannot be decompressed.
fn plain_change(change: Change) -> Option<PlainChangeWire> {
    let change = PlainChangeWire::try_from(change);
    let log_error = |e: &std::io::Error| {
        log::error!(target: "member", why = e.to_string(); "unreadable value in the journal");
    };
    change.inspect_err(log_error).ok()
}

/// Whether a header names the compression of values.
fn uses_deflate(headers: &HeaderMap, name: &HeaderName) -> bool {
    headers.get(name) == Some(&DEFLATE)
}

/// Returns the requested changes as soon as there is one or the request has waited long enough. Returns `None` if this
/// VM does not have all of them, or cannot get further ones from the store.
async fn wait_for_changes(
    edge: &Edge,
    request: &ChangesRequest,
    arrived: Now,
) -> Option<ViewWire<Change>> {
    let after = Position { era: request.era, revision: request.after };
    let wait = Duration::from_millis(request.wait_ms).min(CHANGE_WAIT);
    let until = tokio::time::Instant::now() + wait;
    loop {
        let notified = edge.distribution.changed.notified();
        tokio::pin!(notified);
        notified.as_mut().enable();
        if edge.distribution.is_without_store.load(Ordering::Acquire) {
            return None;
        }
        let is_over = tokio::time::Instant::now() >= until;
        // The age is read before the changes, which are then at least as new as the age states.
        let now = edge.timer.now_including_suspend();
        let age = {
            let view = edge.store_view();
            view.age(now).filter(|_| view.is_settled())
        };
        let (changes, revision) = edge
            .distribution
            .with_journal(|journal| Some((journal.changes_after(after)?, journal.revision())))?;
        if !changes.is_empty() || is_over {
            return Some(ViewWire {
                revision,
                changes,
                held_ms: millis(now.saturating_sub(arrived)),
                // Rounded up, so that the view does not look younger than it is.
                age_ms: age.map(|age| millis(age) + 1),
            });
        }
        // The journal is read again after a change and also when the time is over.
        let _ = tokio::time::timeout_at(until, notified).await;
    }
}

fn encode(key: &[u8], message: &impl Serialize) -> Option<Bytes> {
    let packed = rmp_serde::to_vec(message).inspect_err(|e| {
        log::error!(target: "member", why = e.to_string(); "cannot encode a message to another VM");
    });
    Some(auth::sign(key, &packed.ok()?).into())
}

fn decode<T: DeserializeOwned>(key: &[u8], bytes: &[u8]) -> Option<T> {
    rmp_serde::from_slice(auth::verify(key, bytes)?).ok()
}
