//! Runs admission, workspace limits and the retry budget, and reports sent and admitted requests to the peers.

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
/// Interval of load messages, which are sent only if there is something to report. At 0.9 of the capacity,
/// routers answer 0.989 of the requests within their deadline with 50 ms, and 0.984 with 100 ms.
const LOAD_MESSAGE_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of peers that load messages are sent to. The budget of 6 KB/s allows no more; fleets have at most 9
/// VMs today.
const LOAD_PEERS_MAX: usize = 8;

/// Admission, workspace limits and retry budget of one VM.
#[derive(Debug)]
pub struct Limits {
    /// Shares of the workspaces under pressure.
    pub admission: Admission,
    /// Admits requests within the workspace limits at this VM.
    pub limiter: Limiter,
    /// Grants rates to the VMs, for the workspaces that this VM coordinates.
    pub coordinator: Coordinator,
    /// Retry budget.
    pub budget: Budget,
    config_version: Option<ConfigVersion>,
}

impl Limits {
    /// Starts without workspace limits, until a configuration is active.
    #[must_use]
    pub fn new(vm: &VmId, min_retries: u64, now: Now) -> Self {
        let grants = grant::Options::default();
        let retries = retry::Options { min_retries, ..retry::Options::default() };
        Self {
            admission: Admission::new(vm.clone(), admission::Options::default()),
            limiter: Limiter::new(vm.clone(), grants.clone(), now),
            coordinator: Coordinator::new(vm.clone(), grants),
            budget: Budget::new(retries),
            config_version: None,
        }
    }
}

/// Admits a request within its workspace's limit, or refuses it.
///
/// # Errors
///
/// [`ResultCode::WorkspaceLimit`] with the time after which to retry.
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

/// Counts a request that arrived. Returns its deadline for placement, shortened if the workspace is above its share.
pub fn record_offered(tables: &Tables, caller: &Caller, tokens: u64) -> Duration {
    let fraction = tables.limits().admission.record_offered(&caller.workspace, tokens);
    caller.deadline.mul_f64(fraction)
}

/// Counts a request that is sent to an engine.
pub fn record_admitted(tables: &Tables, caller: &Caller, tokens: u64) {
    tables.limits().admission.record_admitted(&caller.workspace, tokens);
}

/// Sends load messages and demand reports until the process ends.
pub async fn run(tables: Arc<Tables>, datagrams: Arc<Datagrams>) {
    let mut ticks = tables.timer.subscribe(LOAD_MESSAGE_INTERVAL);
    loop {
        let now = ticks.tick().await;
        update_limits(&tables, now);
        send_load(&tables, &datagrams, now).await;
        if now >= tables.limits().limiter.next_report(now) {
            let reports = tables.limits().limiter.reports(now);
            for (vm, report) in reports {
                send_demand_report(&tables, &vm, report);
            }
        }
    }
}

/// Applies changes of the members and of the configuration.
fn update_limits(tables: &Tables, now: Now) {
    let active = tables.active_config();
    let members = sharing_members(tables);
    let mut limits = tables.limits();
    limits.limiter.set_members(now, members.clone());
    limits.coordinator.set_members(members);
    let Some(active) = active else { return };
    if limits.config_version == Some(active.document.version) {
        return;
    }
    limits.config_version = Some(active.document.version);
    let rates: WorkspaceLimits = grant::limits_of(&active.document);
    limits.limiter.set_limits(now, &rates);
    limits.coordinator.set_limits(rates);
    let workspaces = &active.document.workspaces;
    let weights = workspaces.iter().map(|(id, workspace)| (id.clone(), workspace.share)).collect();
    limits.admission.set_weights(weights);
}

/// Returns the VMs that share the workspace limits.
fn sharing_members(tables: &Tables) -> Members {
    let members = tables.members();
    let mut sharing_members = Members::default();
    for peer in members.member.peers() {
        match peer.state {
            lw_member::MemberState::Alive => sharing_members.alive.push(peer.id.clone()),
            lw_member::MemberState::Suspect => sharing_members.unreachable.push(peer.id.clone()),
            // In a long partition the VMs on the other side are removed here and still use their share of the limits.
            lw_member::MemberState::Removed if tables.is_listed(&peer.id) => {
                sharing_members.unreachable.push(peer.id.clone());
            }
            lw_member::MemberState::Leaving | lw_member::MemberState::Removed => {}
        }
    }
    sharing_members
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

/// Receives load messages of peers until the process ends.
pub async fn receive_load_messages(tables: Arc<Tables>, datagrams: Arc<Datagrams>) {
    while let Ok(bytes) = datagrams.receive().await {
        match rmp_serde::from_slice(&bytes) {
            Ok(message) => on_load_message(&tables, message),
            Err(e) => log::debug!("route: unreadable load message: {e}"),
        }
    }
}

fn load_peers(tables: &Tables) -> Vec<SocketAddr> {
    let members = tables.members();
    let local_vm = &tables.settings.vm;
    let others = members.member.peers().filter(|peer| peer.is_member() && peer.id != *local_vm);
    others.map(|peer| peer.address).take(LOAD_PEERS_MAX).collect()
}

fn on_load_message(tables: &Tables, message: LoadMessage) {
    let now = tables.timer.now();
    let digest = lw_route::Digest::from(&message);
    tables.router().record(now, Event::PeerDigest { digest: &digest });
    if let Some(digest) = message.admission {
        tables.limits().admission.on_peer_digest(now, digest);
    }
}

/// Handles a demand report and returns the grant.
#[must_use]
pub fn on_demand_report(tables: &Tables, report: &Report) -> Grant {
    tables.limits().coordinator.on_report(tables.timer.now(), report)
}

fn send_demand_report(tables: &Arc<Tables>, vm: &str, report: Report) {
    if vm == tables.settings.vm {
        let grant = on_demand_report(tables, &report);
        tables.limits().limiter.apply_grant(tables.timer.now(), &grant);
        return;
    }
    let Some(to) = tables.members().member.peer(vm).map(|peer| peer.address) else { return };
    let tables = Arc::clone(tables);
    tokio::spawn(async move {
        let call = members::new_peer_call(&tables, to, GRANT_PATH);
        match tables.clients.msgpack(call, &report).await {
            Ok(grant) => tables.limits().limiter.apply_grant(tables.timer.now(), &grant),
            Err(e) => log::debug!("limit: no grant received from {to}: {e}"),
        }
    });
}
