//! Runs admission, workspace limits and the retry budget, and tells the peers what was sent and admitted.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use lw_limit::{
    admission::{self, Admission},
    grant::{
        self, Grant, Limits as WorkspaceLimits, Members, Report,
        coordinator::Coordinator,
        limiter::{self, Limiter},
    },
    retry::{self, Budget},
};
use lw_protocol::{caller::Failure, peer::LoadMessage};
use lw_route::router::Event;
use lw_transport::datagram::Datagrams;
use lw_types::prelude::*;

use crate::{callers::Caller, members, tables::Tables};

/// Path of demand reports at the peer interface; the answer is the grant.
pub const GRANT_PATH: &str = "/peer/grant";
/// Period of load messages, which go out only when something was sent. At 50 ms routers answer 0.989 of the requests
/// in time at 0.9 of the capacity, at 100 ms 0.984.
const LOAD_PERIOD: Duration = Duration::from_millis(50);
/// Most peers that get load messages. The budget of 6 KB/s has no room for more; today's fleets have at most 9 VMs.
const LOAD_PEERS_MAX: usize = 8;

/// The limits of one VM.
#[derive(Debug)]
pub struct Limits {
    /// Fair shares under pressure.
    pub admission: Admission,
    /// Workspace limits, the part of each VM.
    pub limiter: Limiter,
    /// Workspace limits, the part of the coordinator.
    pub coordinator: Coordinator,
    /// Retry budget.
    pub budget: Budget,
    version: Option<ConfigVersion>,
}

impl Limits {
    /// No limits are known yet.
    #[must_use]
    pub fn new(vm: &VmId, min_retries: u64, now: Now) -> Self {
        let grants = grant::Options::default();
        let retries = retry::Options { min_retries, ..retry::Options::default() };
        Self {
            admission: Admission::new(vm.clone(), admission::Options::default()),
            limiter: Limiter::new(vm.clone(), grants.clone(), now),
            coordinator: Coordinator::new(vm.clone(), grants),
            budget: Budget::new(retries),
            version: None,
        }
    }
}

/// Admits a request within its workspace's limit, or refuses it.
///
/// # Errors
///
/// [`ResultCode::WorkspaceLimit`] with the time to come back.
pub fn check_workspace(tables: &Tables, caller: &Caller, tokens: u64) -> Result<(), Failure> {
    let now = tables.timer.now();
    match tables.limits().limiter.admit(now, &caller.workspace, tokens) {
        limiter::Outcome::Admitted => Ok(()),
        limiter::Outcome::Refused { retry_after } => {
            let text = format!("workspace {} is above its limit", caller.workspace);
            Err(Failure::new(ResultCode::WorkspaceLimit, text).retry_after(retry_after))
        }
    }
}

/// Counts a request that arrived and returns the deadline that its workspace's share leaves for the decision.
pub fn offered(tables: &Tables, caller: &Caller, tokens: u64) -> Duration {
    let part = tables.limits().admission.record_offered(&caller.workspace, tokens);
    caller.deadline.mul_f64(part)
}

/// Counts a request that is sent to an engine.
pub fn admitted(tables: &Tables, caller: &Caller, tokens: u64) {
    tables.limits().admission.record_admitted(&caller.workspace, tokens);
}

/// Sends load messages and demand reports until the process ends.
pub async fn run(tables: Arc<Tables>, datagrams: Arc<Datagrams>) {
    let mut ticks = tables.timer.subscribe(LOAD_PERIOD);
    loop {
        let now = ticks.tick().await;
        refresh(&tables, now);
        send_load(&tables, &datagrams, now).await;
        if now >= tables.limits().limiter.next_report(now) {
            let reports = tables.limits().limiter.reports(now);
            for (vm, report) in reports {
                deliver(&tables, &vm, report);
            }
        }
    }
}

/// Takes over changes of the members and of the configuration.
fn refresh(tables: &Tables, now: Now) {
    let active = tables.active();
    let members = sharing(tables);
    let mut limits = tables.limits();
    limits.limiter.set_members(now, members.clone());
    limits.coordinator.set_members(members);
    let Some(active) = active else { return };
    if limits.version == Some(active.document.version) {
        return;
    }
    limits.version = Some(active.document.version);
    let rates: WorkspaceLimits = grant::limits_of(&active.document);
    limits.limiter.set_limits(now, &rates);
    limits.coordinator.set_limits(rates);
    let workspaces = &active.document.workspaces;
    let weights = workspaces.iter().map(|(id, workspace)| (id.clone(), workspace.share)).collect();
    limits.admission.set_weights(weights);
}

/// The VMs that share the workspace limits.
fn sharing(tables: &Tables) -> Members {
    let members = tables.members();
    let mut sharing = Members::default();
    for peer in members.member.peers() {
        match peer.state {
            lw_member::MemberState::Alive => sharing.alive.push(peer.id.clone()),
            lw_member::MemberState::Suspect => sharing.unreachable.push(peer.id.clone()),
            // In a long partition the other side is removed here and still uses its part of the limits.
            lw_member::MemberState::Removed if tables.is_listed(&peer.id) => {
                sharing.unreachable.push(peer.id.clone());
            }
            lw_member::MemberState::Leaving | lw_member::MemberState::Removed => {}
        }
    }
    sharing
}

async fn send_load(tables: &Tables, datagrams: &Datagrams, now: Now) {
    let digest = tables.router().digest(now);
    let mut message = LoadMessage::from(&digest);
    {
        let mut limits = tables.limits();
        if now >= limits.admission.next_digest() {
            message.admission = Some(limits.admission.digest(now));
        }
    }
    let has_usage = message.admission.as_ref().is_some_and(|digest| !digest.usage.is_empty());
    if message.engines.is_empty() && !has_usage {
        return;
    }
    let Ok(bytes) = rmp_serde::to_vec(&message) else { return };
    for to in load_peers(tables) {
        if let Err(e) = datagrams.send(to, &bytes).await {
            log::debug!("route: load message to {to} failed: {e}");
        }
    }
}

/// Takes load messages of peers until the process ends.
pub async fn receive(tables: Arc<Tables>, datagrams: Arc<Datagrams>) {
    while let Ok(bytes) = datagrams.receive().await {
        match rmp_serde::from_slice(&bytes) {
            Ok(message) => receive_load(&tables, message),
            Err(e) => log::debug!("route: unreadable load message: {e}"),
        }
    }
}

fn load_peers(tables: &Tables) -> Vec<SocketAddr> {
    let members = tables.members();
    let own = &tables.settings.vm;
    let others = members.member.peers().filter(|peer| peer.is_member() && peer.id != *own);
    others.map(|peer| peer.address).take(LOAD_PEERS_MAX).collect()
}

fn receive_load(tables: &Tables, message: LoadMessage) {
    let now = tables.timer.now();
    let digest = lw_route::Digest::from(&message);
    tables.router().record(now, Event::PeerDigest { digest: &digest });
    if let Some(digest) = message.admission {
        tables.limits().admission.on_peer_digest(now, digest);
    }
}

/// Answers a demand report.
#[must_use]
pub fn receive_report(tables: &Tables, report: &Report) -> Grant {
    tables.limits().coordinator.on_report(tables.timer.now(), report)
}

fn deliver(tables: &Arc<Tables>, vm: &str, report: Report) {
    if vm == tables.settings.vm {
        let grant = receive_report(tables, &report);
        tables.limits().limiter.apply_grant(tables.timer.now(), &grant);
        return;
    }
    let Some(to) = tables.members().member.peer(vm).map(|peer| peer.address) else { return };
    let tables = Arc::clone(tables);
    tokio::spawn(async move {
        let call = members::peer_call(&tables, to, GRANT_PATH);
        match tables.clients.msgpack(call, &report).await {
            Ok(grant) => tables.limits().limiter.apply_grant(tables.timer.now(), &grant),
            Err(e) => log::debug!("limit: no grant from {to}: {e}"),
        }
    });
}
