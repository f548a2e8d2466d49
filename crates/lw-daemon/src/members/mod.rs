//! Runs the membership and the configuration: performs the actions of `lw_member` and returns their results to it.

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
/// Interval of reading the platform's VM list, which itself lags. A leaving upstream must get no new work after 3 s.
const LIST_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of list calls per second of all VMs together. With more VMs, each reads the list less often.
const LIST_POLLS_PER_SECOND: u32 = 32;
/// Kind of router VMs in the platform's list.
const ROUTER_KIND: &str = "router";
/// Timeout of a watch. The platform ends a watch without a change earlier.
const WATCH_TIMEOUT: Duration = Duration::from_secs(50);

/// Number of low bits of a member's incarnation that count its refutations of a suspicion. The bits above are the
/// incarnation of the process.
const REFUTATION_BITS: u32 = 10;

/// The membership of this VM and the operator requests that wait for an answer.
#[derive(Debug)]
pub struct Members {
    /// Membership and configuration.
    pub member: Member,
    waiting_operators: HashMap<u64, oneshot::Sender<PatchOutcome>>,
    last_request: u64,
}

impl Members {
    /// Creates the member that the settings describe.
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
        Self {
            member: Member::new(now, options),
            waiting_operators: HashMap::new(),
            last_request: 0,
        }
    }
}

/// Ticks the member and performs its actions until the process ends.
pub async fn run(tables: Arc<Tables>) {
    loop {
        let now = tables.timer.now();
        let tick = tables.members().member.tick(now);
        perform_actions(&tables, tick.actions);
        tokio::time::sleep(tick.next.saturating_sub(now)).await;
    }
}

/// Reads the platform's VM list until the process ends.
pub async fn poll_vm_list(tables: Arc<Tables>) {
    loop {
        match tables.store.vms().await {
            Ok(list) => {
                let listed = listed_routers(&list);
                let now = tables.timer.now();
                let actions = tables.members().member.on_platform_list(now, &listed);
                perform_actions(&tables, actions);
                tables.set_platform_list(&list);
            }
            Err(e) => log::debug!("member: VM list not read: {e}"),
        }
        let vms = u32::try_from(incarnations(&tables).len()).unwrap_or(u32::MAX);
        tokio::time::sleep(LIST_POLL_INTERVAL * vms.div_ceil(LIST_POLLS_PER_SECOND).max(1)).await;
    }
}

fn listed_routers(list: &VmList) -> Vec<ListedVm> {
    let routers = list.vms.iter().filter(|vm| vm.kind == ROUTER_KIND);
    routers
        .filter_map(|vm| {
            let address = vm.address.parse().ok()?;
            Some(ListedVm { id: vm.id.clone(), address, leaving: vm.leaving })
        })
        .collect()
}

/// Returns the running VMs, leaving ones included, with the incarnations of their processes.
pub fn incarnations(tables: &Tables) -> Vec<(VmId, Incarnation)> {
    let members = tables.members();
    let running = members.member.peers().filter(|peer| peer.is_member());
    running.map(|peer| (peer.id.clone(), peer.incarnation >> REFUTATION_BITS)).collect()
}

/// Notifies the peers that this VM is leaving.
pub fn announce_leaving(tables: &Arc<Tables>) {
    let actions = tables.members().member.leave(tables.timer.now());
    perform_actions(tables, actions);
}

/// Handles a message of a peer and returns the reply.
pub fn on_message(tables: &Arc<Tables>, message: &Message) -> Message {
    let (reply, actions) = tables.members().member.on_request(tables.timer.now(), message);
    perform_actions(tables, actions);
    reply
}

/// Applies an operator's patch made against version `base`.
pub async fn apply_patch(tables: &Arc<Tables>, base: ConfigVersion, patch: &Value) -> PatchOutcome {
    let (tx, rx) = oneshot::channel();
    let now = tables.timer.now();
    let actions = {
        let mut members = tables.members();
        members.last_request += 1;
        let request = members.last_request;
        members.waiting_operators.insert(request, tx);
        members.member.patch(now, request, base, patch.clone())
    };
    perform_actions(tables, actions);
    let outcome = rx.await.unwrap_or(PatchOutcome::Unknown);
    // Another thread may not have installed yet the document that this answer reports as accepted.
    install_config(tables);
    outcome
}

fn perform_actions(tables: &Arc<Tables>, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Send { to, message } => {
                tokio::spawn(send_message(Arc::clone(tables), to, message));
            }
            Action::Store { call, op } => {
                tokio::spawn(call_store(Arc::clone(tables), call, op));
            }
            Action::MemberChanged { id, state } => log::info!("member: {id} is {state:?}"),
            Action::ConfigChanged => install_config(tables),
            Action::Answer { request, outcome } => {
                let waiting = tables.members().waiting_operators.remove(&request);
                if let Some(tx) = waiting {
                    // The operator may have disconnected.
                    let _ = tx.send(outcome);
                }
            }
        }
    }
}

fn install_config(tables: &Tables) {
    let found = match tables.members().member.config() {
        InForce::None => None,
        InForce::Provisional(document) => Some((document.clone(), true)),
        InForce::Accepted(document) => Some((document.clone(), false)),
    };
    if let Some((document, provisional)) = found {
        tables.install(document, provisional);
    }
}

async fn send_message(tables: Arc<Tables>, to: std::net::SocketAddr, message: Message) {
    let call = new_peer_call(&tables, to, PEER_PATH);
    let reply: Result<Message, _> = tables.clients.msgpack(call, &message).await;
    match reply {
        Ok(reply) => {
            let actions = tables.members().member.on_reply(tables.timer.now(), &reply);
            perform_actions(&tables, actions);
        }
        Err(e) => log::debug!("member: no reply from {to}: {e}"),
    }
}

/// Returns a call to the peer interface, with the peer key of the settings.
pub(crate) fn new_peer_call<'a>(
    tables: &Tables,
    to: std::net::SocketAddr,
    path: &'a str,
) -> Call<'a> {
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
            read_outcome(tables.store.watch(key, after, WATCH_TIMEOUT).await)
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
    perform_actions(&tables, actions);
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

/// Locks the members. The documentation of [`crate::tables`] has the lock order.
pub(crate) fn lock(members: &std::sync::Mutex<Members>) -> std::sync::MutexGuard<'_, Members> {
    members.lock().unwrap_or_else(PoisonError::into_inner)
}
