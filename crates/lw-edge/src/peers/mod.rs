//! Messages between VMs, as authenticated datagrams that may be lost.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use lw_catalog::Upstream;
use lw_observe::metrics;
use lw_place::{Announced, Ended, Ticket};
use lw_transport::datagram::Datagrams;
use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::state::{Edge, keys};

pub mod route;
mod versions;

use route::Recipient;
pub use versions::OpenAgeRequest;

/// Pause between two looks whether the key of the messages is known.
const KEY_POLL: Duration = Duration::from_millis(100);

/// A message from one VM to others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The VM that sends it.
    pub vm: VmId,
    /// What it says.
    #[serde(rename = "news")]
    pub notice: Notice,
    /// Whether the receiver passes it on to the VMs of its failure domain. VMs of an older release leave it out.
    #[serde(default, rename = "passes_on")]
    pub is_for_relay: bool,
}

/// An attempt as it is announced.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SentAttempt {
    upstream: UpstreamId,
    ticket: u64,
    tokens: u64,
    to_read: u64,
    output_tokens: u64,
    rank: u8,
    parts: Vec<(u64, u64)>,
    fetch_ms: u64,
    is_saved: bool,
}

impl From<&Announced> for SentAttempt {
    fn from(sent: &Announced) -> Self {
        Self {
            upstream: sent.upstream.clone(),
            ticket: sent.ticket,
            tokens: sent.tokens,
            to_read: sent.to_read,
            output_tokens: sent.output_tokens,
            rank: sent.rank,
            parts: sent.parts.clone(),
            fetch_ms: u64::try_from(sent.fetch_time.as_millis()).unwrap_or(u64::MAX),
            is_saved: sent.is_saved,
        }
    }
}

impl From<&SentAttempt> for Announced {
    fn from(sent: &SentAttempt) -> Self {
        Self {
            upstream: sent.upstream.clone(),
            ticket: sent.ticket,
            tokens: sent.tokens,
            to_read: sent.to_read,
            output_tokens: sent.output_tokens,
            rank: sent.rank,
            parts: sent.parts.clone(),
            fetch_time: Duration::from_millis(sent.fetch_ms),
            is_saved: sent.is_saved,
        }
    }
}

/// What a VM tells the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Notice {
    /// The weights of an engine are being changed; it gets no new work for a while, or until it serves the new ones.
    #[serde(rename = "Hold")]
    Pause {
        /// The engine.
        upstream: UpstreamId,
        /// Its model.
        model: ModelId,
        /// The version that it loads.
        version: u64,
        /// For how long, in milliseconds.
        ms: u64,
    },
    /// An engine does not answer and gets no work for a while; after no time it answers again.
    #[serde(rename = "Silent")]
    Unresponsive {
        /// The engine.
        upstream: UpstreamId,
        /// For how long, in milliseconds.
        ms: u64,
    },
    /// An upstream said in an answer that it is leaving.
    Leaving {
        /// The upstream.
        upstream: UpstreamId,
        /// Its run.
        incarnation: Incarnation,
    },
    /// A large request was sent to an engine.
    Sent(SentAttempt),
    /// Its first event came.
    Started {
        /// The engine.
        upstream: UpstreamId,
        /// Number of the attempt at the VM that sent it.
        ticket: u64,
    },
    /// It ended.
    Ended {
        /// The engine.
        upstream: UpstreamId,
        /// Number of the attempt at the VM that sent it.
        ticket: u64,
        /// Whether its answer is complete.
        is_complete: bool,
    },
    /// An engine works slower than usual for a moment, or as usual again.
    #[serde(rename = "Pace")]
    Slowdown {
        /// The engine.
        upstream: UpstreamId,
        /// How long work takes there now, in percent of the usual.
        percent: u32,
    },
    /// Asks for the ages of the named versions of weights.
    #[serde(rename = "AskNamed")]
    VersionAgesRequest {
        /// Where the answer goes.
        addr: SocketAddr,
        /// Number that the answer repeats.
        nonce: u64,
    },
    /// Answers [`Notice::VersionAgesRequest`].
    #[serde(rename = "Named")]
    VersionAges {
        /// Number of the question.
        nonce: u64,
        /// Model, version, and longest time since its naming when this was sent, in milliseconds.
        versions: Vec<(ModelId, u64, u64)>,
    },
    /// An engine serves a version of a model's weights.
    Serves {
        /// The engine.
        upstream: UpstreamId,
        /// Its model.
        model: ModelId,
        /// The version.
        version: u64,
    },
}

/// Receives messages and opens the way for sending them, as soon as their key is known.
pub async fn run(edge: Arc<Edge>) {
    let datagrams = loop {
        let key = edge.known().own(keys::PEER_KEY).map(|item| item.value.clone());
        if let Some(key) = key {
            let key = String::from_utf8_lossy(&key).into_owned();
            match Datagrams::bind(edge.settings.peers, &key).await {
                Ok(datagrams) => break Arc::new(datagrams),
                Err(e) => log::warn!(target: "member", why = e.to_string(); "no datagrams yet"),
            }
        }
        tokio::time::sleep(KEY_POLL).await;
    };
    edge.set_datagrams(Arc::clone(&datagrams));
    tokio::join!(versions::ask(&edge), receive(&edge, &datagrams));
}

async fn receive(edge: &Edge, datagrams: &Datagrams) {
    loop {
        match datagrams.receive().await {
            Ok(bytes) => match rmp_serde::from_slice::<Message>(&bytes) {
                Ok(message) => {
                    take(edge, &message);
                    if message.is_for_relay {
                        pass_on(edge, message);
                    }
                }
                Err(e) => log::warn!(target: "member", why = e.to_string(); "unreadable message"),
            },
            Err(e) => {
                log::warn!(target: "member", why = e.to_string(); "no message received");
                tokio::time::sleep(KEY_POLL).await;
            }
        }
    }
}

fn take(edge: &Edge, message: &Message) {
    match &message.notice {
        Notice::Unresponsive { upstream, ms: 1.. } => edge.silence(upstream),
        Notice::Leaving { upstream, incarnation } => {
            edge.upstream_leaves(upstream, *incarnation);
            return;
        }
        Notice::VersionAgesRequest { addr, nonce } => return versions::tell(edge, *addr, *nonce),
        Notice::VersionAges { nonce, versions } => return versions::take(edge, *nonce, versions),
        _ => {}
    }
    let now = edge.timer.now();
    let vm = &message.vm;
    let mut fleets = edge.fleets();
    for fleet in fleets.values_mut() {
        match &message.notice {
            Notice::Pause { upstream, model, version, ms } => {
                // Messages may overtake each other.
                if fleet.version(upstream, model).is_some_and(|served| served < *version) {
                    fleet.hold(upstream, now + Duration::from_millis(*ms));
                }
            }
            Notice::Unresponsive { upstream, ms } => {
                fleet.avoid(upstream, now + Duration::from_millis(*ms));
            }
            Notice::Leaving { .. }
            | Notice::VersionAgesRequest { .. }
            | Notice::VersionAges { .. } => {}
            Notice::Slowdown { upstream, percent } => fleet.on_pace(now, upstream, *percent),
            Notice::Serves { upstream, model, version } => fleet.serves(upstream, model, *version),
            Notice::Sent(sent) => fleet.announced(now, vm, &sent.into()),
            Notice::Started { upstream, ticket } => {
                fleet.announced_start(now, vm, upstream, *ticket)
            }
            Notice::Ended { upstream, ticket, is_complete } => {
                let how = if *is_complete { Ended::Complete } else { Ended::Failed };
                fleet.announced_end(now, vm, upstream, *ticket, how);
            }
        }
    }
}

/// What is announced about an attempt.
#[derive(Debug, Clone, Copy)]
pub enum Announcement<'a> {
    /// It was sent.
    Sent(&'a Announced),
    /// Its first event came.
    Started(&'a str, Ticket),
    /// It ended.
    Ended(&'a str, Ticket, Ended),
    /// An engine's pace has changed, in percent of the usual. Only VMs in its failure domain are told: they send it
    /// most of its requests, and the news is old within half a second.
    Slowdown(&'a Upstream, u32),
    /// An upstream said that it is leaving.
    Leaving(&'a Upstream),
}

/// Announces an attempt to the other VMs without waiting; a message that cannot be sent now is left out.
pub fn announce(edge: &Edge, announcement: Announcement<'_>) {
    let (notice, way) = match announcement {
        Announcement::Sent(sent) => (Notice::Sent(sent.into()), Way::PassedOn(sent.ticket)),
        Announcement::Started(upstream, ticket) => {
            (Notice::Started { upstream: upstream.to_owned(), ticket }, Way::PassedOn(ticket))
        }
        Announcement::Ended(upstream, ticket, how) => {
            let is_complete = how == Ended::Complete;
            let upstream = upstream.to_owned();
            (Notice::Ended { upstream, ticket, is_complete }, Way::PassedOn(ticket))
        }
        Announcement::Slowdown(upstream, percent) => {
            let notice = Notice::Slowdown { upstream: upstream.id.clone(), percent };
            (notice, Way::Domain(&upstream.failure_domain))
        }
        Announcement::Leaving(upstream) => {
            let (upstream, incarnation) = (upstream.id.clone(), upstream.incarnation);
            (Notice::Leaving { upstream, incarnation }, Way::Direct)
        }
    };
    send(edge, notice, way);
}

/// Tells the other VMs, and takes the news itself.
pub fn broadcast(edge: &Edge, notice: Notice) {
    let vm = edge.settings.vm.clone();
    take(edge, &Message { vm, notice: notice.clone(), is_for_relay: false });
    send(edge, notice, Way::Direct);
}

/// Ways of a message to other VMs.
#[derive(Debug, Clone, Copy)]
enum Way<'a> {
    /// To each VM directly: it is rare and must arrive soon.
    Direct,
    /// To the VMs of one failure domain.
    Domain(&'a Domain),
    /// To one VM of each other failure domain, which passes it on. Messages with the same subject take the same way.
    PassedOn(u64),
}

fn send(edge: &Edge, notice: Notice, way: Way<'_>) {
    let (own, domain) = (&edge.settings.vm, &edge.settings.failure_domain);
    let recipients = {
        let known = edge.known();
        match way {
            Way::Direct => {
                let others = known.vms().filter(|(vm, _)| *vm != own);
                let to = |addr| Recipient { addr, is_relay: false };
                others.map(|(_, entry)| to(entry.addr)).collect()
            }
            Way::Domain(domain) => route::to_domain(own, domain, known.vms()),
            Way::PassedOn(subject) => route::to_all(own, domain, subject, known.vms()),
        }
    };
    send_message(edge, Message { vm: own.clone(), notice, is_for_relay: false }, &recipients);
}

/// Sends to one VM.
fn send_to(edge: &Edge, addr: SocketAddr, notice: Notice) {
    let message = Message { vm: edge.settings.vm.clone(), notice, is_for_relay: false };
    send_message(edge, message, &[Recipient { addr, is_relay: false }]);
}

fn send_message(edge: &Edge, mut message: Message, recipients: &[Recipient]) {
    let Some(datagrams) = edge.datagrams() else { return };
    for is_relay in [false, true] {
        let mut recipients = recipients.iter().filter(|to| to.is_relay == is_relay).peekable();
        if recipients.peek().is_none() {
            continue;
        }
        message.is_for_relay = is_relay;
        let bytes = match rmp_serde::to_vec(&message) {
            Ok(bytes) => bytes,
            Err(e) => {
                log::error!(target: "member", why = e.to_string(); "message not encoded");
                return;
            }
        };
        let datagram = datagrams.seal(&bytes);
        for to in recipients {
            try_send(edge, datagrams, to.addr, &datagram);
        }
    }
}

/// Passes a message from another failure domain on to the VMs of this one.
fn pass_on(edge: &Edge, message: Message) {
    let (own, domain) = (&edge.settings.vm, &edge.settings.failure_domain);
    let recipients = route::to_domain(own, domain, edge.known().vms());
    send_message(edge, message, &recipients);
}

fn try_send(edge: &Edge, datagrams: &Datagrams, addr: SocketAddr, datagram: &[u8]) {
    let sent = datagrams.try_send(addr, datagram);
    let kind = if sent.is_ok() { "sent" } else { "lost" };
    metrics::count(&edge.metrics.messages, kind);
    if let Err(e) = sent {
        log::debug!(target: "member", addr = addr.to_string(), why = e.to_string(); "message lost");
    }
}
