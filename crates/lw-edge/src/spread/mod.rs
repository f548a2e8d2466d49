//! Changes of the store passed on between VMs, with the age of the knowledge that they rest on.
//!
//! A VM asks another one for the changes after its own revision. Ages count from when the question was sent, plus the
//! time for which the other VM held it, so that neither a delayed answer nor a pause of either VM makes knowledge look
//! younger than it is. Questions and answers carry an authentication code and the number of the question.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use lw_transport::{
    auth,
    client::{self, Call},
};
use lw_types::prelude::*;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::sync::Notify;

use crate::{
    serve::{Answer, full, millis},
    state::{Edge, keys},
};

pub mod journal;
pub mod plan;

use journal::{Change, Journal};

/// Path of the questions.
const PATH: &str = "/changes";
/// Largest question in bytes.
const ASK_MAX_BYTES: usize = 1 << 10;
/// Time for which a question waits for a change.
pub const WAIT: Duration = Duration::from_millis(500);
/// Time for an answer besides the wait. VMs of a failure domain are a millisecond apart, but have a part of a core.
const ANSWER_TIME: Duration = Duration::from_millis(400);

/// What a VM passes on.
#[derive(Debug, Default)]
pub struct Spread {
    journal: Mutex<Journal>,
    changed: Notify,
}

impl Spread {
    /// Works on the journal.
    pub fn journal<T>(&self, work: impl FnOnce(&mut Journal) -> T) -> T {
        work(&mut self.journal.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Takes changes and wakes the VMs that wait for some.
    pub fn advance(&self, revision: Revision, changes: Vec<Change>) {
        let has_changes = !changes.is_empty();
        self.journal(|journal| journal.advance(revision, changes));
        if has_changes {
            self.changed.notify_waiters();
        }
    }
}

/// A question for the changes after a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    nonce: u64,
    after: Revision,
    wait_ms: u64,
}

/// The answer to [`Ask`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    nonce: u64,
    knowledge: Option<Knowledge>,
}

/// What another VM knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Knowledge {
    revision: Revision,
    changes: Vec<Change>,
    /// Time for which the question waited, in milliseconds.
    held_ms: u64,
    /// Age of the knowledge when the answer was made, in milliseconds.
    age_ms: u64,
}

/// What another VM told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Told {
    /// All changes up to a revision.
    Changes {
        /// The revision.
        revision: Revision,
        /// The changes that matter.
        changes: Vec<Change>,
        /// Everything that the store had acknowledged by this time is among them.
        confirmed: Now,
    },
    /// It does not know the changes after the revision.
    Unknown,
}

/// Why a VM was not asked or gave no answer.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// No key of the messages is known yet.
    #[display("no key of the messages between VMs is known")]
    NoKey,
    /// The call failed.
    #[display("{_0}")]
    Call(client::Error),
    /// The answer is not authentic, or not one to this question.
    #[display("not an answer to this question")]
    Foreign,
}

/// Asks another VM for the changes after a revision, and lets it wait for some for at most `wait`.
///
/// # Errors
///
/// Any [`enum@Error`].
pub async fn ask(
    edge: &Edge,
    addr: SocketAddr,
    after: Revision,
    wait: Duration,
) -> Result<Told, Error> {
    let key = peer_key(edge).ok_or(Error::NoKey)?;
    let sent = edge.timer.now_suspended();
    let question = Ask { nonce: fastrand::u64(..), after, wait_ms: millis(wait) };
    let mut call = Call::new(Method::POST, addr, PATH, wait + ANSWER_TIME);
    call.body = encode(&key, &question).ok_or(Error::Foreign)?;
    let bytes = edge.clients.send_and_collect(call).await.map_err(Error::Call)?;
    let reply: Reply = decode(&key, &bytes).ok_or(Error::Foreign)?;
    if reply.nonce != question.nonce {
        return Err(Error::Foreign);
    }
    let Some(told) = reply.knowledge else { return Ok(Told::Unknown) };
    let held = Duration::from_millis(told.held_ms).min(wait);
    let confirmed = (sent + held).saturating_sub(Duration::from_millis(told.age_ms));
    Ok(Told::Changes { revision: told.revision, changes: told.changes, confirmed })
}

/// Answers the question of another VM.
///
/// # Errors
///
/// Never.
pub async fn answer(edge: Arc<Edge>, req: Request<Incoming>) -> Result<Answer, Infallible> {
    let status = |status: StatusCode, body: Bytes| {
        let mut response = Response::new(full(body));
        *response.status_mut() = status;
        Ok(response)
    };
    let Some(key) = peer_key(&edge) else {
        return status(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    };
    let arrived = edge.timer.now_suspended();
    let body = Limited::new(req.into_body(), ASK_MAX_BYTES).collect().await;
    let ask: Option<Ask> = body.ok().and_then(|body| decode(&key, &body.to_bytes()));
    let Some(ask) = ask else {
        log::warn!(target: "member", "question without a valid authentication code");
        return status(StatusCode::FORBIDDEN, Bytes::new());
    };
    let knowledge = knowledge(&edge, &ask, arrived).await;
    match encode(&key, &Reply { nonce: ask.nonce, knowledge }) {
        Some(body) => status(StatusCode::OK, body),
        None => status(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
    }
}

/// The changes after a revision, as soon as there is one or the question has waited long enough. None if they are not
/// known.
async fn knowledge(edge: &Edge, ask: &Ask, arrived: Now) -> Option<Knowledge> {
    let wait = Duration::from_millis(ask.wait_ms).min(WAIT);
    let until = tokio::time::Instant::now() + wait;
    loop {
        let news = edge.spread.changed.notified();
        tokio::pin!(news);
        news.as_mut().enable();
        let is_over = tokio::time::Instant::now() >= until;
        // The age is read before the changes, which are then at least as new.
        let now = edge.timer.now_suspended();
        let age = edge.known().age(now)?;
        let (changes, revision) =
            edge.spread.journal(|journal| Some((journal.since(ask.after)?, journal.revision())))?;
        if !changes.is_empty() || is_over {
            return Some(Knowledge {
                revision,
                changes,
                held_ms: millis(now.saturating_sub(arrived)),
                // Rounded up: knowledge must not look younger.
                age_ms: millis(age) + 1,
            });
        }
        // The time is over, or changes came: either way the journal is looked at once more.
        let _ = tokio::time::timeout_at(until, news).await;
    }
}

fn peer_key(edge: &Edge) -> Option<Vec<u8>> {
    edge.known().own(keys::PEER_KEY).map(|item| item.value.clone())
}

fn encode(key: &[u8], message: &impl Serialize) -> Option<Bytes> {
    let packed = rmp_serde::to_vec(message).inspect_err(|e| {
        log::error!(target: "member", why = e.to_string(); "message not encoded");
    });
    Some(auth::sign(key, &packed.ok()?).into())
}

fn decode<T: DeserializeOwned>(key: &[u8], bytes: &[u8]) -> Option<T> {
    rmp_serde::from_slice(auth::verify(key, bytes)?).ok()
}
