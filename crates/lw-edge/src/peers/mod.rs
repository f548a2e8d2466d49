//! Messages between VMs, as authenticated datagrams that may be lost.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use lw_catalog::Upstream;
use lw_observe::metrics;
use lw_place::{AnnouncedAttempt, AttemptId, Ended};
use lw_transport::datagram::Datagrams;
use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::state::{Edge, keys};

pub mod route;
mod versions;

use route::Recipient;
pub use versions::Asked;

/// Pause between two looks whether the key of the messages is known.
const KEY_POLL: Duration = Duration::from_millis(100);

/// A message from one VM to others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The VM that sends it.
    pub vm: VmId,
    /// What it says.
    pub news: News,
    /// Whether the receiver passes it on to the VMs of its failure domain. VMs of an older release leave it out.
    #[serde(default)]
    pub passes_on: bool,
}

/// An attempt as it is announced.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SentWire {
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

impl From<&AnnouncedAttempt> for SentWire {
    fn from(sent: &AnnouncedAttempt) -> Self {
        Self {
            upstream: sent.upstream.clone(),
            ticket: sent.attempt_id,
            tokens: sent.tokens,
            to_read: sent.prefill_tokens,
            output_tokens: sent.output_tokens,
            rank: sent.rank,
            parts: sent.segments.clone(),
            fetch_ms: u64::try_from(sent.fetch_time.as_millis()).unwrap_or(u64::MAX),
            is_saved: sent.is_saved,
        }
    }
}

impl From<&SentWire> for AnnouncedAttempt {
    fn from(sent: &SentWire) -> Self {
        Self {
            upstream: sent.upstream.clone(),
            attempt_id: sent.ticket,
            tokens: sent.tokens,
            prefill_tokens: sent.to_read,
            output_tokens: sent.output_tokens,
            rank: sent.rank,
            segments: sent.parts.clone(),
            fetch_time: Duration::from_millis(sent.fetch_ms),
            is_saved: sent.is_saved,
        }
    }
}

/// What a VM tells the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum News {
    /// The weights of an engine are being changed; it gets no new work for a while, or until it serves the new ones.
    Hold {
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
    Silent {
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
    Sent(SentWire),
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
    Pace {
        /// The engine.
        upstream: UpstreamId,
        /// How long work takes there now, in percent of the usual.
        percent: u32,
    },
    /// Asks for the ages of the named versions of weights.
    AskNamed {
        /// Where the answer goes.
        addr: SocketAddr,
        /// Number that the answer repeats.
        nonce: u64,
    },
    /// Answers [`News::AskNamed`].
    Named {
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
                    if message.passes_on {
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
    match &message.news {
        News::Silent { upstream, ms: 1.. } => edge.silence(upstream),
        News::Leaving { upstream, incarnation } => {
            edge.upstream_leaves(upstream, *incarnation);
            return;
        }
        News::AskNamed { addr, nonce } => return versions::tell(edge, *addr, *nonce),
        News::Named { nonce, versions } => return versions::take(edge, *nonce, versions),
        _ => {}
    }
    let now = edge.timer.now();
    let vm = &message.vm;
    let mut fleets = edge.fleets();
    for fleet in fleets.values_mut() {
        match &message.news {
            News::Hold { upstream, model, version, ms } => {
                // Messages may overtake each other.
                if fleet.version(upstream, model).is_some_and(|served| served < *version) {
                    fleet.pause(upstream, now + Duration::from_millis(*ms));
                }
            }
            News::Silent { upstream, ms } => {
                fleet.deprioritize(upstream, now + Duration::from_millis(*ms));
            }
            News::Leaving { .. } | News::AskNamed { .. } | News::Named { .. } => {}
            News::Pace { upstream, percent } => fleet.on_slowdown(now, upstream, *percent),
            News::Serves { upstream, model, version } => {
                fleet.record_version(upstream, model, *version)
            }
            News::Sent(sent) => fleet.record_remote_sent(now, vm, &sent.into()),
            News::Started { upstream, ticket } => {
                fleet.record_remote_started(now, vm, upstream, *ticket)
            }
            News::Ended { upstream, ticket, is_complete } => {
                let how = if *is_complete { Ended::Complete } else { Ended::Failed };
                fleet.record_remote_ended(now, vm, upstream, *ticket, how);
            }
        }
    }
}

/// What is announced about an attempt.
#[derive(Debug, Clone, Copy)]
pub enum Announcement<'a> {
    /// It was sent.
    Sent(&'a AnnouncedAttempt),
    /// Its first event came.
    Started(&'a str, AttemptId),
    /// It ended.
    Ended(&'a str, AttemptId, Ended),
    /// An engine's pace has changed, in percent of the usual. Only VMs in its failure domain are told: they send it
    /// most of its requests, and the news is old within half a second.
    Pace(&'a Upstream, u32),
    /// An upstream said that it is leaving.
    Leaving(&'a Upstream),
}

/// Announces an attempt to the other VMs without waiting; a message that cannot be sent now is left out.
pub fn announce(edge: &Edge, announcement: Announcement<'_>) {
    let (news, way) = match announcement {
        Announcement::Sent(sent) => (News::Sent(sent.into()), Way::PassedOn(sent.attempt_id)),
        Announcement::Started(upstream, ticket) => {
            (News::Started { upstream: upstream.to_owned(), ticket }, Way::PassedOn(ticket))
        }
        Announcement::Ended(upstream, ticket, how) => {
            let is_complete = how == Ended::Complete;
            let upstream = upstream.to_owned();
            (News::Ended { upstream, ticket, is_complete }, Way::PassedOn(ticket))
        }
        Announcement::Pace(upstream, percent) => {
            let news = News::Pace { upstream: upstream.id.clone(), percent };
            (news, Way::Domain(&upstream.failure_domain))
        }
        Announcement::Leaving(upstream) => {
            let (upstream, incarnation) = (upstream.id.clone(), upstream.incarnation);
            (News::Leaving { upstream, incarnation }, Way::Direct)
        }
    };
    send(edge, news, way);
}

/// Tells the other VMs, and takes the news itself.
pub fn tell(edge: &Edge, news: News) {
    let vm = edge.settings.vm.clone();
    take(edge, &Message { vm, news: news.clone(), passes_on: false });
    send(edge, news, Way::Direct);
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

fn send(edge: &Edge, news: News, way: Way<'_>) {
    let (own, domain) = (&edge.settings.vm, &edge.settings.failure_domain);
    let recipients = {
        let known = edge.known();
        match way {
            Way::Direct => {
                let others = known.vms().filter(|(vm, _)| *vm != own);
                let to = |addr| Recipient { addr, passes_on: false };
                others.map(|(_, entry)| to(entry.addr)).collect()
            }
            Way::Domain(domain) => route::to_domain(own, domain, known.vms()),
            Way::PassedOn(subject) => route::to_all(own, domain, subject, known.vms()),
        }
    };
    send_message(edge, Message { vm: own.clone(), news, passes_on: false }, &recipients);
}

/// Sends to one VM.
fn send_to(edge: &Edge, addr: SocketAddr, news: News) {
    let message = Message { vm: edge.settings.vm.clone(), news, passes_on: false };
    send_message(edge, message, &[Recipient { addr, passes_on: false }]);
}

fn send_message(edge: &Edge, mut message: Message, recipients: &[Recipient]) {
    let Some(datagrams) = edge.datagrams() else { return };
    for passes_on in [false, true] {
        let mut recipients = recipients.iter().filter(|to| to.passes_on == passes_on).peekable();
        if recipients.peek().is_none() {
            continue;
        }
        message.passes_on = passes_on;
        let bytes = match rmp_serde::to_vec(&message) {
            Ok(bytes) => bytes,
            Err(e) => {
                log::error!(target: "member", why = e.to_string(); "message not encoded");
                return;
            }
        };
        let datagram = datagrams.sign(&bytes);
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
