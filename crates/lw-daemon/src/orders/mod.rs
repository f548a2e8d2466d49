//! Sends orders to engines: performs the actions of `lw_order` and returns their results to it.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use http::{Method, StatusCode};
use lw_order::{
    issuer::{Action, Issuer, LeaseResult},
    message::{EngineState, ModelState, Order, Report},
    options::Options,
    plan::Plan,
};
use lw_protocol::{
    platform::PutRequest,
    upstream::{Adapter, EngineOrder, EngineRefusal, LoadReport, OrderRequest, RefusalReason},
};
use lw_transport::{
    client::{Call, Error},
    store,
};
use lw_types::prelude::*;

use crate::tables::Tables;

/// Key that the issuer writes under its lease; the revision of the write is the fencing number.
const ISSUER_KEY: &str = "orders/issuer";
/// Number of VMs that try to acquire the issuer's lease.
const ISSUER_CANDIDATES: usize = 2;
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// The issuer of one VM and what it has received from the engines.
#[derive(Debug)]
pub struct Orders {
    issuer: Issuer,
    options: Options,
    plan_version: Option<ConfigVersion>,
    reports: HashMap<UpstreamId, LoadReport>,
    /// Number of load reports polled so far, over all engines.
    polls: u64,
    /// Fencing number and lease id of the last lease acquired.
    lease: Option<(Revision, u64)>,
}

impl Default for Orders {
    fn default() -> Self {
        let options = Options::default();
        Self {
            issuer: Issuer::new(options.clone()),
            options,
            plan_version: None,
            reports: HashMap::new(),
            polls: 0,
            lease: None,
        }
    }
}

impl Orders {
    /// Returns the state of the rollout.
    #[must_use]
    pub fn status(&self, now: Now) -> lw_order::issuer::Status {
        self.issuer.status(now)
    }

    /// Handles a load report that has just been polled.
    pub fn on_load_report(
        &mut self,
        now: Now,
        engine: &str,
        report: &LoadReport,
        document: &lw_config::document::Document,
    ) {
        self.polls += 1;
        let models = report.models.iter().map(|(name, version)| {
            // Adapters that the configuration does not name do not belong to the desired state.
            let named = document.models.get(name).map(|model| &model.adapters);
            let is_named = |name: &String| named.is_some_and(|named| named.contains_key(name));
            let adapters = report.adapters.iter().filter(|(name, _)| is_named(name));
            let adapters = adapters.map(|(name, version)| (name.clone(), version.clone()));
            let state = ModelState { version: version.clone(), adapters: adapters.collect() };
            (name.clone(), state)
        });
        let state = EngineState { role: report.role.clone(), models: models.collect() };
        let (incarnation, loading) = (report.incarnation, report.loading);
        let engine = engine.to_owned();
        self.reports.insert(engine.clone(), report.clone());
        let seq = self.polls;
        self.issuer.on_report(now, Report { engine, incarnation, seq, loading, state });
    }
}

/// Ticks the issuer and performs its actions until the process ends.
pub async fn run(tables: Arc<Tables>) {
    let mut ticks = tables.timer.subscribe(TICK_INTERVAL);
    loop {
        let now = ticks.tick().await;
        update_issuer(&tables);
        let actions = tables.orders().issuer.tick(now);
        for action in actions {
            match action {
                Action::Acquire { op } => {
                    tokio::spawn(acquire_lease(Arc::clone(&tables), op));
                }
                Action::Renew { op, fence } => {
                    tokio::spawn(renew_lease(Arc::clone(&tables), op, fence));
                }
                Action::Send(order) => {
                    tokio::spawn(send_order(Arc::clone(&tables), order));
                }
            }
        }
    }
}

fn update_issuer(tables: &Tables) {
    let active = tables.active_config();
    let is_eligible = {
        let members = tables.members();
        let owners = members.member.owners(ISSUER_KEY.as_bytes(), ISSUER_CANDIDATES);
        owners.iter().any(|peer| peer.id == tables.settings.vm)
    };
    let mut orders = tables.orders();
    orders.issuer.set_eligible(is_eligible);
    let Some(active) = active.filter(|active| !active.is_provisional) else { return };
    if orders.plan_version != Some(active.document.version) {
        orders.plan_version = Some(active.document.version);
        orders.issuer.set_plan(Plan::new(&active.document));
    }
}

async fn acquire_lease(tables: Arc<Tables>, op: u64) {
    let result = match write_issuer_key(&tables).await {
        Ok((fence, id)) => {
            log::info!("order: lease acquired, fencing number {fence}");
            tables.orders().lease = Some((fence, id));
            LeaseResult::Granted(fence)
        }
        Err(store::Error::Conflict { .. }) => LeaseResult::Refused,
        Err(e) => {
            log::debug!("order: no lease: {e}");
            LeaseResult::Failed
        }
    };
    tables.orders().issuer.on_lease_result(tables.timer.now(), op, result);
}

async fn write_issuer_key(tables: &Tables) -> Result<(Revision, u64), store::Error> {
    let ttl = tables.orders().options.lease_ttl;
    let lease = tables.store.lease(ttl).await?;
    let value = format!("{}/{}", tables.settings.vm, tables.incarnation);
    let put = PutRequest { value: value.clone(), prev: Some(0), lease: Some(lease.id) };
    let revision = match tables.store.put(ISSUER_KEY, &put).await {
        Ok(answer) => answer.revision,
        Err(e @ store::Error::Unknown(_)) => {
            // The write may have taken effect although its reply was lost.
            let found = tables.store.get(ISSUER_KEY).await?;
            if found.value != value {
                return Err(e);
            }
            found.revision
        }
        Err(e) => return Err(e),
    };
    Ok((revision, lease.id))
}

async fn renew_lease(tables: Arc<Tables>, op: u64, fence: Revision) {
    let lease = tables.orders().lease.filter(|(lease_fence, _)| *lease_fence == fence);
    let result = match lease {
        None => LeaseResult::Refused,
        Some((_, id)) => match tables.store.renew(id).await {
            Ok(_) => LeaseResult::Granted(fence),
            Err(store::Error::Absent) => LeaseResult::Refused,
            Err(_) => LeaseResult::Failed,
        },
    };
    tables.orders().issuer.on_lease_result(tables.timer.now(), op, result);
}

async fn send_order(tables: Arc<Tables>, order: Order) {
    let Some(addr) = engine_address(&tables, &order.engine) else { return };
    let reported = tables.orders().reports.get(&order.engine).cloned().unwrap_or_default();
    for step in order_steps(&order.state, &reported) {
        // Time may have passed since the decision or since the previous step.
        if tables.timer.now() >= order.send_before {
            log::warn!("order: {} not sent: its deadline has passed", order.engine);
            return;
        }
        log::info!("order: {} is sent {step:?}, fencing number {}", order.engine, order.fence);
        let timeout = tables.orders().options.order_delay;
        let call = Call::new(Method::POST, addr, "/orders", timeout);
        let body = OrderRequest { fence: order.fence, order: step };
        let sent: Result<LoadReport, Error> = tables.clients.json(call, Some(&body)).await;
        if let Err(e) = sent {
            log::warn!("order: {} did not accept an order: {e}", order.engine);
            if is_fence_refusal(&e) {
                let now = tables.timer.now();
                tables.orders().issuer.on_order_refused(now, order.fence);
            }
            return;
        }
    }
}

fn engine_address(tables: &Tables, engine: &str) -> Option<SocketAddr> {
    let active = tables.active_config()?;
    active.document.upstreams.get(engine).map(|upstream| upstream.address)
}

/// Returns the orders that lead from the reported to the desired state.
fn order_steps(desired: &EngineState, reported: &LoadReport) -> Vec<EngineOrder> {
    let mut steps = Vec::new();
    if reported.role != desired.role {
        steps.push(EngineOrder::SetRole { role: desired.role.clone() });
    }
    for (model, state) in &desired.models {
        if reported.models.get(model) != Some(&state.version) {
            let (model, version) = (model.clone(), state.version.clone());
            steps.push(EngineOrder::LoadModel { model, version });
        }
        for (name, version) in &state.adapters {
            if reported.adapters.get(name) != Some(version) {
                let adapter = Adapter { name: name.clone(), version: version.clone() };
                steps.push(EngineOrder::LoadAdapter { adapter });
            }
        }
    }
    steps
}

fn is_fence_refusal(e: &Error) -> bool {
    let Error::Status { status: StatusCode::CONFLICT, body } = e else { return false };
    let refusal = serde_json::from_str::<EngineRefusal>(body);
    refusal.is_ok_and(|refusal| refusal.reason == RefusalReason::Fence)
}
