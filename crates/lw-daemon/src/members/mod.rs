//! Runs the membership and the configuration: performs the actions of `lw_member` and reports back.

use std::{
    collections::HashMap,
    sync::{Arc, PoisonError},
    time::Duration,
};

use http::{HeaderValue, Method, header};
use lw_config::settings::Settings;
use lw_member::{
    Action, InForce, ListedVm, Member, Message, PatchOutcome, StoreCall, StoreOutcome,
};
use lw_protocol::platform::{PutRequest, VmList};
use lw_transport::{client::Call, store};
use lw_types::prelude::*;
use serde_json::Value;
use tokio::sync::oneshot;

use crate::tables::Tables;

/// Path of membership messages at the peer interface.
pub const PEER_PATH: &str = "/peer/member";
/// Period of reading the platform's VM list, which itself lags. A leaving upstream must get no new work after 3 s.
const LIST_PERIOD: Duration = Duration::from_secs(1);
/// Number of VMs from which on each reads the list less often, so that all together stay at this many calls a second.
const LIST_READS_PER_SECOND: u32 = 32;
/// Kind of router VMs in the platform's list.
const ROUTER_KIND: &str = "router";
/// The platform ends a watch without a change before this time.
const WATCH_WAIT: Duration = Duration::from_secs(50);

/// Low bits of a member's incarnation, which it raises to refute a suspicion. The bits above are the
/// incarnation of the process.
const REFUTATION_BITS: u32 = 10;

/// The member of this VM and the operators that wait for an answer.
#[derive(Debug)]
pub struct Members {
    /// Membership and configuration.
    pub member: Member,
    waiting: HashMap<u64, oneshot::Sender<PatchOutcome>>,
    requests: u64,
}

impl Members {
    /// The member described by the settings.
    #[must_use]
    pub fn new(
        settings: &Settings,
        incarnation: Incarnation,
        bootstrap: Option<lw_config::document::Document>,
        now: Now,
    ) -> Self {
        let mut options = lw_member::Options::new(
            &settings.vm,
            settings.listen.peers,
            &settings.failure_domain,
            incarnation << REFUTATION_BITS,
        );
        options.seeds.clone_from(&settings.peers);
        options.bootstrap = bootstrap;
        Self { member: Member::new(now, options), waiting: HashMap::new(), requests: 0 }
    }
}

/// Ticks the member until the process ends.
pub async fn run(tables: Arc<Tables>) {
    loop {
        let now = tables.timer.now();
        let tick = tables.members().member.tick(now);
        perform(&tables, tick.actions);
        tokio::time::sleep(tick.next.saturating_sub(now)).await;
    }
}

/// Reads the platform's VM list until the process ends.
pub async fn follow_list(tables: Arc<Tables>) {
    loop {
        match tables.store.vms().await {
            Ok(list) => {
                let listed = listed(&list);
                let now = tables.timer.now();
                let actions = tables.members().member.on_platform_list(now, &listed);
                perform(&tables, actions);
                tables.set_listed(&list);
            }
            Err(e) => log::debug!("member: no VM list: {e}"),
        }
        let vms = u32::try_from(incarnations(&tables).len()).unwrap_or(u32::MAX);
        tokio::time::sleep(LIST_PERIOD * vms.div_ceil(LIST_READS_PER_SECOND).max(1)).await;
    }
}

fn listed(list: &VmList) -> Vec<ListedVm> {
    let routers = list.vms.iter().filter(|vm| vm.kind == ROUTER_KIND);
    routers
        .filter_map(|vm| {
            let address = vm.address.parse().ok()?;
            Some(ListedVm { id: vm.id.clone(), address, leaving: vm.leaving })
        })
        .collect()
}

/// The VMs that run, leaving ones included, with the incarnations of their processes.
pub fn incarnations(tables: &Tables) -> Vec<(VmId, Incarnation)> {
    let members = tables.members();
    let running = members.member.peers().filter(|peer| peer.is_member());
    running.map(|peer| (peer.id.clone(), peer.incarnation >> REFUTATION_BITS)).collect()
}

/// Tells the peers that this VM is leaving.
pub fn leave(tables: &Arc<Tables>) {
    let actions = tables.members().member.leave(tables.timer.now());
    perform(tables, actions);
}

/// Takes a message of a peer and returns the reply.
pub fn receive(tables: &Arc<Tables>, message: &Message) -> Message {
    let (reply, actions) = tables.members().member.on_request(tables.timer.now(), message);
    perform(tables, actions);
    reply
}

/// Applies an operator's patch made against version `base`.
pub async fn apply(tables: &Arc<Tables>, base: ConfigVersion, patch: &Value) -> PatchOutcome {
    let (tx, rx) = oneshot::channel();
    let now = tables.timer.now();
    let actions = {
        let mut members = tables.members();
        members.requests += 1;
        let request = members.requests;
        members.waiting.insert(request, tx);
        members.member.patch(now, request, base, patch.clone())
    };
    perform(tables, actions);
    let outcome = rx.await.unwrap_or(PatchOutcome::Unknown);
    // Another thread may still be about to install what this answer says is accepted.
    install(tables);
    outcome
}

fn perform(tables: &Arc<Tables>, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Send { to, message } => {
                tokio::spawn(send(Arc::clone(tables), to, message));
            }
            Action::Store { call, op } => {
                tokio::spawn(call_store(Arc::clone(tables), call, op));
            }
            Action::MemberChanged { id, state } => log::info!("member: {id} is {state:?}"),
            Action::ConfigChanged => install(tables),
            Action::Answer { request, outcome } => {
                let waiting = tables.members().waiting.remove(&request);
                if let Some(tx) = waiting {
                    // The operator may have left.
                    let _ = tx.send(outcome);
                }
            }
        }
    }
}

fn install(tables: &Tables) {
    let found = match tables.members().member.config() {
        InForce::None => None,
        InForce::Provisional(document) => Some((document.clone(), true)),
        InForce::Accepted(document) => Some((document.clone(), false)),
    };
    if let Some((document, provisional)) = found {
        tables.install(document, provisional);
    }
}

async fn send(tables: Arc<Tables>, to: std::net::SocketAddr, message: Message) {
    let call = peer_call(&tables, to, PEER_PATH);
    let reply: Result<Message, _> = tables.clients.packed(call, &message).await;
    match reply {
        Ok(reply) => {
            let actions = tables.members().member.on_reply(tables.timer.now(), &reply);
            perform(&tables, actions);
        }
        Err(e) => log::debug!("member: no reply from {to}: {e}"),
    }
}

/// A call to the peer interface with the key of the settings.
pub(crate) fn peer_call<'a>(tables: &Tables, to: std::net::SocketAddr, path: &'a str) -> Call<'a> {
    let mut call = Call::new(Method::POST, to, path, tables.settings.timeouts.peer);
    let key = format!("Bearer {}", tables.settings.peer_key.expose_secret());
    if let Ok(mut value) = HeaderValue::from_str(&key) {
        value.set_sensitive(true);
        call.headers.insert(header::AUTHORIZATION, value);
    }
    call
}

async fn call_store(tables: Arc<Tables>, call: u64, op: StoreCall) {
    let key = lw_member::action::CONFIG_KEY;
    let outcome = match op {
        StoreCall::Read => read_outcome(tables.store.get(key).await),
        StoreCall::Watch { after } => {
            read_outcome(tables.store.watch(key, after, WATCH_WAIT).await)
        }
        StoreCall::Swap { prev, value } => {
            let put = PutRequest { value, prev: Some(prev), lease: None };
            match tables.store.put(key, &put).await {
                Ok(answer) => StoreOutcome::Swapped(answer.revision),
                Err(store::Error::Conflict { .. }) => StoreOutcome::Conflict,
                Err(store::Error::Unavailable(_)) => StoreOutcome::NotRun,
                Err(_) => StoreOutcome::Unknown,
            }
        }
    };
    let actions = tables.members().member.on_store_result(tables.timer.now(), call, &outcome);
    perform(&tables, actions);
}

fn read_outcome(read: Result<lw_protocol::platform::KeyValue, store::Error>) -> StoreOutcome {
    match read {
        Ok(found) => StoreOutcome::Value(found.revision, found.value),
        Err(store::Error::Absent) => StoreOutcome::Absent,
        Err(store::Error::Unchanged) => StoreOutcome::Unchanged,
        Err(store::Error::Unavailable(_)) => StoreOutcome::NotRun,
        Err(_) => StoreOutcome::Unknown,
    }
}

/// The lock of the members, see [`Tables`] for the lock order.
pub(crate) fn lock(members: &std::sync::Mutex<Members>) -> std::sync::MutexGuard<'_, Members> {
    members.lock().unwrap_or_else(PoisonError::into_inner)
}
