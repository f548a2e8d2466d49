//! `POST /orders`, `POST /kv/export` and `POST /kv/import`.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::StatusCode;
use lw_protocol::upstream::{EngineOrder, KvBlocks, KvExport, OrderRequest, RefusalReason};

use super::{Engine, cache::Owner, options::scaled};
use crate::serve::{Response, empty, json};

impl Engine {
    /// Applies an order and answers with the load report; weights are loaded after the answer.
    pub(super) fn apply_order(self: Arc<Self>, req: OrderRequest) -> Response {
        {
            let mut state = self.state.lock();
            if self.options.is_fencing_checked && req.fence < state.fence {
                drop(state);
                return self.refusal(RefusalReason::Fence);
            }
            state.fence = state.fence.max(req.fence);
        }
        match req.order {
            EngineOrder::SetRole { role } => {
                self.state.lock().update_report(Instant::now(), |load| load.role = role);
            }
            EngineOrder::LoadModel { model, version } => self.clone().load_model(model, version),
            EngineOrder::LoadAdapter { adapter } => {
                self.clone().load_adapter(adapter.name, adapter.version);
            }
        }
        json(&self.load_report(Duration::ZERO))
    }

    fn load_model(self: Arc<Self>, model: String, version: String) {
        {
            let mut state = self.state.lock();
            let loading = state.loading_models.get(&model);
            if loading.or(state.report.models.get(&model)) == Some(&version) {
                return;
            }
            state.loading_models.insert(model.clone(), version.clone());
            state.update_report(Instant::now(), |_| {});
        }
        tokio::spawn(async move {
            self.wait_load_time().await;
            let mut state = self.state.lock();
            // A newer order for the same model replaces this one.
            if state.loading_models.get(&model) == Some(&version) {
                state.loading_models.remove(&model);
                let gap = self.switches.get().event_gap_every;
                state.cache.remove_model(Instant::now(), &model, gap);
                state.update_report(Instant::now(), |load| {
                    load.models.insert(model, version);
                });
                self.cache_changed.notify_waiters();
            }
        });
    }

    fn load_adapter(self: Arc<Self>, name: String, version: String) {
        {
            let mut state = self.state.lock();
            let loading = state.loading_adapters.get(&name);
            if loading.or(state.report.adapters.get(&name)) == Some(&version) {
                return;
            }
            state.loading_adapters.insert(name.clone(), version.clone());
            state.update_report(Instant::now(), |_| {});
        }
        tokio::spawn(async move {
            self.wait_load_time().await;
            let mut state = self.state.lock();
            if state.loading_adapters.get(&name) == Some(&version) {
                state.loading_adapters.remove(&name);
                state.update_report(Instant::now(), |load| {
                    load.adapters.insert(name, version);
                });
            }
        });
    }

    async fn wait_load_time(&self) {
        let percent = self.switches.get().load_percent;
        tokio::time::sleep(scaled(self.options.load_time, percent)).await;
    }

    /// Returns the cached ones of the blocks that have the same owner as the first cached one.
    pub(super) fn export_blocks(&self, req: &KvExport) -> Response {
        let state = self.state.lock();
        let Some(owner) = req.blocks.iter().find_map(|&block| state.cache.owner_of(block)) else {
            return empty(StatusCode::NOT_FOUND);
        };
        let cached =
            req.blocks.iter().copied().filter(|&block| state.cache.contains(&owner, block));
        let blocks = cached.collect();
        json(&KvBlocks { model: owner.model, version: owner.version, scope: owner.scope, blocks })
    }

    /// Imports blocks if the loaded version of the model computed them.
    pub(super) fn import_blocks(&self, req: KvBlocks) -> Response {
        let mut state = self.state.lock();
        if state.report.models.get(&req.model) != Some(&req.version)
            || state.loading_models.contains_key(&req.model)
        {
            drop(state);
            return self.refusal(RefusalReason::Version);
        }
        let owner = Owner { scope: req.scope, model: req.model, version: req.version };
        let gap = self.switches.get().event_gap_every;
        for block in req.blocks {
            state.cache.store(Instant::now(), &owner, block, gap);
        }
        drop(state);
        self.cache_changed.notify_waiters();
        empty(StatusCode::NO_CONTENT)
    }
}
