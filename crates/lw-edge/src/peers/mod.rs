//! Messages between VMs. They are authenticated datagrams and may be lost or reordered.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use lw_catalog::Upstream;
use lw_observe::{logs::millis, metrics};
use lw_place::{AnnouncedAttempt, AttemptId, Ended, LimitReport, UpstreamPool};
use lw_quarantine::{Basis, CrashReport, SegmentSet};
use lw_transport::datagram::Datagrams;
use lw_types::prelude::*;

use crate::{quarantine, reach, state::Edge};

mod attempt;
mod demand;
mod limits;
mod notice;
mod origin;
mod quota;
pub(crate) mod rejections;
pub mod route;
mod speeds;
mod suspicion;
mod versions;

pub use attempt::SentAttempt;
pub use demand::DemandWire;
pub(crate) use demand::send as send_demand;
pub use limits::{LimitWire, TurnWire};
pub(crate) use limits::{ask_for_turn, request as request_limits};
pub use notice::{Message, Notice};
pub use origin::{OriginRequestWire, OriginsWire};
pub(crate) use origin::{ask as ask_for_origin, tell as tell_origins};
pub(crate) use quota::{ask_for_grant, charge, return_grants};
use route::Recipient;
pub use speeds::SpeedsWire;
use suspicion::SoundWire;
pub use versions::VersionAgeQuery;

/// Time between two checks whether the key that authenticates messages has been read from the store, and pause after
/// a socket error.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Opens the socket for messages as soon as their key has been read from the store, then receives messages.
pub async fn run(edge: Arc<Edge>) {
    let datagrams = loop {
        let key = edge.store_view().peer_key();
        if let Some(key) = key {
            let key = String::from_utf8_lossy(&key).into_owned();
            match Datagrams::bind(edge.settings.peers, &key).await {
                Ok(datagrams) => break Arc::new(datagrams),
                Err(e) => log::warn!(target: "member", why = e.to_string();
                    "cannot open the socket for messages between VMs"),
            }
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    };
    edge.set_datagrams(Arc::clone(&datagrams));
    tokio::join!(versions::request_ages(&edge), speeds::request(&edge), receive(&edge, &datagrams));
}

async fn receive(edge: &Edge, datagrams: &Datagrams) {
    loop {
        match datagrams.receive().await {
            Ok(bytes) => match rmp_serde::from_slice::<Message>(&bytes) {
                Ok(message) => {
                    apply(edge, &message);
                    if message.is_for_relay {
                        relay(edge, message);
                    }
                }
                Err(e) => log::warn!(target: "member", why = e.to_string(); "unreadable message"),
            },
            Err(e) => {
                log::warn!(target: "member", why = e.to_string(); "cannot receive a message");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Applies a notice to the state of this VM.
fn apply(edge: &Edge, message: &Message) {
    match &message.notice {
        Notice::Unresponsive { upstream, ms: 1.. } => {
            quarantine::record_down(edge, upstream);
            edge.notify_unresponsive(upstream);
        }
        Notice::Crash { .. }
        | Notice::Sound(_)
        | Notice::Quarantined { .. }
        | Notice::Released { .. } => return suspicion::apply(edge, message),
        Notice::Leaving { upstream, incarnation } => {
            edge.mark_upstream_leaving(upstream, *incarnation);
            return;
        }
        Notice::PathsLost { services } => return reach::apply_report(edge, &message.vm, services),
        Notice::Limits(reports) => return limits::apply(edge, reports),
        Notice::Demand { service, entries } => {
            return demand::apply(edge, &message.vm, *service, entries);
        }
        Notice::LimitsRequest { addr } => return limits::reply(edge, *addr),
        Notice::TurnRequest(turn) => return limits::lend_turn(edge, &message.vm, turn),
        Notice::Turn(turn) => return limits::accept_turn(edge, turn),
        Notice::Quota(notice) => return quota::apply(edge, notice),
        Notice::OriginRequest(request) => return origin::reply(edge, request),
        Notice::Origins(origins) => return origin::apply(edge, origins),
        Notice::Origin { nonce, software } => return edge.software.on_reply(*nonce, software),
        Notice::SpeedsRequest { addr } => return speeds::reply(edge, *addr),
        Notice::Speeds(speeds) => return speeds::apply(edge, &message.vm, speeds),
        Notice::VersionAgesRequest { addr, nonce } => return versions::reply(edge, *addr, *nonce),
        Notice::VersionAges { nonce, versions } => {
            return versions::apply_reply(edge, *nonce, versions);
        }
        _ => {}
    }
    let now = edge.timer.now();
    let vm = &message.vm;
    let mut pools = edge.upstream_pools();
    for pool in pools.values_mut() {
        match &message.notice {
            Notice::Pause { upstream, model, version, ms } => {
                pause(pool, upstream, (model, *version), now + Duration::from_millis(*ms));
            }
            Notice::Loading { model, version, ms, upstreams } => {
                let until = now + Duration::from_millis(*ms);
                for upstream in upstreams {
                    pause(pool, upstream, (model, *version), until);
                }
            }
            Notice::Loaded { model, version, upstreams } => {
                for upstream in upstreams {
                    pool.record_version(upstream, model, *version);
                }
            }
            Notice::Unresponsive { upstream, ms } => {
                pool.deprioritize(upstream, now + Duration::from_millis(*ms));
            }
            Notice::Leaving { .. }
            | Notice::PathsLost { .. }
            | Notice::Crash { .. }
            | Notice::Sound(_)
            | Notice::Quarantined { .. }
            | Notice::Released { .. }
            | Notice::Limits(_)
            | Notice::Demand { .. }
            | Notice::LimitsRequest { .. }
            | Notice::TurnRequest(_)
            | Notice::Turn(_)
            | Notice::Quota(_)
            | Notice::OriginRequest(_)
            | Notice::Origin { .. }
            | Notice::Origins(_)
            | Notice::SpeedsRequest { .. }
            | Notice::Speeds(_)
            | Notice::VersionAgesRequest { .. }
            | Notice::VersionAges { .. } => {}
            Notice::Rejected { upstream, max } => {
                pool.record_rejection(now, upstream, *max, rejections::return_pause());
            }
            Notice::Slowdown { upstream, percent } => {
                pool.on_slowdown(now, upstream, *percent);
            }
            Notice::Serves { upstream, model, version } => {
                pool.record_version(upstream, model, *version);
            }
            Notice::Sent(sent) => pool.record_remote_sent(now, vm, &sent.into()),
            Notice::Started { upstream, attempt_id } => {
                pool.record_remote_started(now, vm, upstream, *attempt_id);
            }
            Notice::Ended { upstream, attempt_id, is_complete } => {
                let how = if *is_complete { Ended::Complete } else { Ended::Failed };
                pool.record_remote_ended(now, vm, upstream, *attempt_id, how);
            }
        }
    }
}

/// Pauses an engine that loads a version, unless it serves the version already: messages may be reordered.
fn pause(pool: &mut UpstreamPool, upstream: &str, (model, version): (&str, u64), until: Now) {
    if pool.version(upstream, model).is_some_and(|served| served < version) {
        pool.pause(upstream, until);
    }
}

/// What a VM announces to the others about an attempt or a prompt.
#[derive(Debug, Clone, Copy)]
pub enum Announcement<'a> {
    /// The attempt was sent.
    Sent(&'a AnnouncedAttempt),
    /// Its answer has begun.
    Started(&'a str, AttemptId),
    /// The attempt ended.
    Ended(&'a str, AttemptId, Ended),
    /// An engine's slowdown has changed; it is in percent of the normal time. Only VMs in the engine's failure domain
    /// are notified: they send it most of its requests, and the value is outdated within half a second.
    Slowdown(&'a Upstream, u32),
    /// An upstream stated that it is leaving.
    Leaving(&'a Upstream),
    /// An upstream rejected a request, and so many rejections in a second make it fail.
    Rejected(&'a Upstream, u32),
    /// Attempts broke when an engine went down.
    Crash(&'a CrashReport),
    /// Answers on these segments were sound, so long ago.
    Sound(&'a [(SegmentId, Duration)]),
    /// Segments are quarantined.
    Quarantined(&'a SegmentSet, Basis),
    /// Segments are released.
    Released(&'a SegmentSet),
    /// Limits of upstreams, as of this time.
    Limits(Now, &'a [LimitReport]),
}

/// Sends an announcement to other VMs without waiting. A message that cannot be sent at once is dropped.
pub fn announce(edge: &Edge, announcement: Announcement<'_>) {
    let (notice, path) = match announcement {
        Announcement::Sent(sent) => (Notice::Sent(sent.into()), Path::Relayed(sent.attempt_id)),
        Announcement::Started(upstream, attempt_id) => (
            Notice::Started { upstream: upstream.to_owned(), attempt_id },
            Path::Relayed(attempt_id),
        ),
        Announcement::Ended(upstream, attempt_id, how) => {
            let is_complete = how == Ended::Complete;
            let upstream = upstream.to_owned();
            (Notice::Ended { upstream, attempt_id, is_complete }, Path::Relayed(attempt_id))
        }
        Announcement::Slowdown(upstream, percent) => {
            let notice = Notice::Slowdown { upstream: upstream.id.clone(), percent };
            (notice, Path::Domain(&upstream.failure_domain))
        }
        Announcement::Leaving(upstream) => {
            let (upstream, incarnation) = (upstream.id.clone(), upstream.incarnation);
            (Notice::Leaving { upstream, incarnation }, Path::Direct)
        }
        Announcement::Rejected(upstream, max) => {
            let notice = Notice::Rejected { upstream: upstream.id.clone(), max };
            (notice, Path::Relayed(fastrand::u64(..)))
        }
        Announcement::Crash(report) => (report.into(), Path::Relayed(fastrand::u64(..))),
        Announcement::Sound(segments) => {
            let segments = segments.iter().map(SoundWire::from).collect();
            (Notice::Sound(segments), Path::Relayed(fastrand::u64(..)))
        }
        Announcement::Quarantined(set, Basis { age, crashes }) => {
            let segments = set.iter().collect();
            (Notice::Quarantined { segments, age_ms: millis(age), crashes }, Path::Direct)
        }
        Announcement::Released(set) => {
            (Notice::Released { segments: set.iter().collect() }, Path::Direct)
        }
        Announcement::Limits(now, reports) => {
            let reports = reports.iter().map(|report| LimitWire::from((now, report))).collect();
            (Notice::Limits(reports), Path::Relayed(fastrand::u64(..)))
        }
    };
    send(edge, notice, path);
}

/// Reports the services to which this VM has lost its paths to all other VMs.
pub(crate) fn report_lost(edge: &Edge, services: Vec<String>) {
    send(edge, Notice::PathsLost { services }, Path::Direct);
}

/// Applies a notice at this VM and sends it to all others.
pub fn broadcast(edge: &Edge, notice: Notice) {
    apply_own(edge, notice.clone());
    send(edge, notice, Path::Direct);
}

/// Applies a notice at this VM only.
pub(crate) fn apply_own(edge: &Edge, notice: Notice) {
    let vm = edge.settings.vm.clone();
    apply(edge, &Message { vm, notice, is_for_relay: false });
}

/// Sends a notice to all other VMs through one relay in each failure domain. The relays differ between notices, so that no
/// VM relays them all.
pub(crate) fn send_through_relays(edge: &Edge, notice: Notice) {
    send(edge, notice, Path::RelayedEverywhere(fastrand::u64(..)));
}

/// Path of a message to other VMs.
#[derive(Debug, Clone, Copy)]
enum Path<'a> {
    /// To each VM directly. For messages that are rare and must arrive soon.
    Direct,
    /// To each VM of one failure domain directly.
    Domain(&'a Domain),
    /// To each VM of the own failure domain directly, and to those of each other failure domain through one relay, or
    /// directly if they are few. The number is the subject: messages with the same subject are sent along the same
    /// path.
    Relayed(u64),
    /// As [`Path::Relayed`], and through a relay in the own failure domain too. For what one VM sends about all engines.
    RelayedEverywhere(u64),
}

fn send(edge: &Edge, notice: Notice, path: Path<'_>) {
    let (own, domain) = (&edge.settings.vm, &edge.settings.failure_domain);
    let recipients = {
        let view = edge.store_view();
        match path {
            Path::Direct => {
                let others = view.vms().filter(|(vm, _)| *vm != own);
                let to = |addr| Recipient { addr, is_relay: false };
                others.map(|(_, entry)| to(entry.addr)).collect()
            }
            Path::Domain(domain) => route::to_domain(own, domain, view.vms()),
            Path::Relayed(subject) => route::to_all(own, Some(domain), subject, view.vms()),
            Path::RelayedEverywhere(subject) => route::to_all(own, None, subject, view.vms()),
        }
    };
    send_message(edge, Message { vm: own.clone(), notice, is_for_relay: false }, &recipients);
}

/// Returns the addresses of at most `max` other VMs, selected at random.
fn random_others(edge: &Edge, max: usize) -> Vec<SocketAddr> {
    let mut addrs: Vec<_> = {
        let view = edge.store_view();
        let others = view.vms().filter(|(vm, _)| **vm != edge.settings.vm);
        others.map(|(_, entry)| entry.addr).collect()
    };
    fastrand::shuffle(&mut addrs);
    addrs.truncate(max);
    addrs
}

/// Sends a notice to one VM.
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
        let datagram = datagrams.sign(&bytes);
        for to in recipients {
            try_send(edge, datagrams, to.addr, &datagram);
        }
    }
}

/// Relays a message to the other VMs of this failure domain.
fn relay(edge: &Edge, message: Message) {
    let (own, domain) = (&edge.settings.vm, &edge.settings.failure_domain);
    let recipients = {
        let view = edge.store_view();
        let others = view.vms().filter(|(vm, _)| **vm != message.vm);
        route::to_domain(own, domain, others)
    };
    send_message(edge, message, &recipients);
}

fn try_send(edge: &Edge, datagrams: &Datagrams, addr: SocketAddr, datagram: &[u8]) {
    let sent = datagrams.try_send(addr, datagram);
    let kind = if sent.is_ok() { "sent" } else { "lost" };
    metrics::increment(&edge.metrics.messages, kind);
    if let Err(e) = sent {
        log::debug!(target: "member", addr = addr.to_string(), why = e.to_string();
            "message not sent");
    }
}
