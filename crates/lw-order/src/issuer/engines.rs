//! The engines as the issuer sees them, and the selection of the next one to load.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use lw_types::prelude::*;

use crate::{
    message::{EngineState, Report},
    options::Options,
    plan::Plan,
};

/// Time until the next search for an engine to load after one that found none. Each search counts the
/// serving engines among all engines.
const SEARCH_INTERVAL: Duration = Duration::from_millis(300);

#[derive(Debug)]
struct Engine {
    report: Report,
    reported_at: Now,
}

/// An order whose effect no report shows yet; the engine may be loading.
#[derive(Debug)]
struct InFlightOrder {
    state: EngineState,
    sent_at: Now,
}

#[derive(Debug, Default)]
pub(super) struct EngineTable {
    engines: BTreeMap<UpstreamId, Engine>,
    /// Engines whose reported state is not the desired one.
    mismatched: BTreeSet<UpstreamId>,
    /// Engines that report that they are loading.
    reported_loading: BTreeSet<UpstreamId>,
    in_flight: BTreeMap<UpstreamId, InFlightOrder>,
    /// Times of the orders that may have started a load in the weight store's window.
    recent_orders: VecDeque<Now>,
    next_search: Now,
}

impl EngineTable {
    pub fn set_plan(&mut self, plan: &Plan) {
        let is_mismatched = |(id, engine): &(&UpstreamId, &Engine)| {
            plan.targets.get(*id).is_some_and(|target| *target != engine.report.state)
        };
        self.mismatched =
            self.engines.iter().filter(is_mismatched).map(|(id, _)| id.clone()).collect();
        self.next_search = Now::ZERO;
    }

    pub fn on_report(&mut self, now: Now, report: Report, plan: &Plan) {
        let sequence = |report: &Report| (report.incarnation, report.seq);
        if let Some(previous) = self.engines.get(&report.engine)
            && sequence(&previous.report) >= sequence(&report)
        {
            return;
        }
        let id = &report.engine;
        let is_mismatched = plan.targets.get(id).is_some_and(|target| *target != report.state);
        set_membership(&mut self.mismatched, id, is_mismatched);
        set_membership(&mut self.reported_loading, id, report.loading);
        self.engines.insert(id.clone(), Engine { report, reported_at: now });
    }

    pub fn remove_engine(&mut self, id: &str) {
        self.engines.remove(id);
        self.mismatched.remove(id);
        self.reported_loading.remove(id);
        self.in_flight.remove(id);
    }

    /// Prepares for the first order under a new lease. An engine that became unresponsive, or from which
    /// this VM has received no report, may have an order of the former issuer and counts as loading until
    /// that load must have ended.
    pub fn prepare_for_lease(&mut self, now: Now, plan: &Plan, options: &Options) {
        self.in_flight.clear();
        self.recent_orders.clear();
        for id in plan.targets.keys().filter(|id| !self.engines.contains_key(*id)) {
            let order = InFlightOrder { state: EngineState::default(), sent_at: now };
            self.in_flight.insert(id.clone(), order);
        }
        for (id, engine) in &self.engines {
            let latest_order_at = engine.reported_at + options.report_timeout;
            if now >= latest_order_at
                && now < latest_order_at + options.arrival_delay_max() + options.load_time_max
            {
                let order =
                    InFlightOrder { state: EngineState::default(), sent_at: latest_order_at };
                self.in_flight.insert(id.clone(), order);
            }
        }
    }

    /// Returns the number of engines that are loading or may be loading.
    pub fn loading_count(&self, now: Now, plan: &Plan, options: &Options) -> usize {
        let reported = self.reported_loading.iter().filter(|id| {
            let may_be_loading = now < self.engines[*id].reported_at + options.load_time_max;
            may_be_loading && !self.in_flight.contains_key(*id)
        });
        let is_past_load_time =
            |order: &&InFlightOrder| plan.load_time.is_some_and(|time| now >= order.sent_at + time);
        self.in_flight.values().filter(|order| !is_past_load_time(order)).count() + reported.count()
    }

    /// Returns the engines that are not in their desired state, with the reason.
    pub fn remaining<'a>(
        &'a self,
        now: Now,
        plan: &'a Plan,
        options: &'a Options,
    ) -> impl Iterator<Item = (&'a UpstreamId, &'static str)> {
        plan.targets.iter().filter_map(move |(id, target)| {
            let reason = match self.engines.get(id) {
                None => "no report",
                Some(engine) if now >= engine.reported_at + options.report_timeout => "silent",
                Some(engine) if engine.report.loading => "loading",
                Some(_) if self.in_flight.contains_key(id) => "ordered",
                Some(engine) if engine.report.state != *target => "waiting",
                Some(_) => return None,
            };
            Some((id, reason))
        })
    }

    /// Returns the engines that get an order now, with their desired states.
    pub fn due_orders(
        &mut self,
        now: Now,
        plan: &Plan,
        options: &Options,
    ) -> Vec<(UpstreamId, EngineState)> {
        self.remove_completed(now, options);
        let window = options.store_window + options.arrival_delay_max();
        while self.recent_orders.front().is_some_and(|sent_at| now >= *sent_at + window) {
            self.recent_orders.pop_front();
        }
        let mut orders = Vec::new();
        while self.recent_orders.len() < options.store_loads
            && self.loading_count(now, plan, options)
                < plan.loading_max.unwrap_or(options.loading_max)
            && now >= self.next_search
        {
            let Some(id) = self.next_to_load(now, plan, options) else {
                self.next_search = now + SEARCH_INTERVAL;
                break;
            };
            let state = plan.targets[&id].clone();
            self.in_flight.insert(id.clone(), InFlightOrder { state: state.clone(), sent_at: now });
            self.recent_orders.push_back(now);
            orders.push((id, state));
        }
        orders
    }

    /// Removes the in-flight orders whose effect shows in a report, and those whose effect should have shown
    /// by now.
    fn remove_completed(&mut self, now: Now, options: &Options) {
        let engines = &self.engines;
        self.in_flight.retain(|id, order| {
            let latest_arrival = order.sent_at + options.arrival_delay_max();
            let Some(engine) = engines.get(id) else {
                return now < latest_arrival + options.load_time_max;
            };
            if now >= engine.reported_at + options.report_timeout {
                return now < latest_arrival + options.load_time_max;
            }
            if engine.report.loading {
                return true;
            }
            // An earlier report may show the state before the order arrived.
            let has_ordered_state = engine.report.state == order.state;
            !has_ordered_state && engine.reported_at < latest_arrival + options.report_lag
        });
    }

    /// Returns the next engine to load: one that serves nothing if there is any, otherwise one whose role
    /// has more serving engines than its minimum.
    fn next_to_load(&self, now: Now, plan: &Plan, options: &Options) -> Option<UpstreamId> {
        let is_available = |id: &&UpstreamId| {
            let engine = &self.engines[*id];
            let is_idle = !engine.report.loading && !self.in_flight.contains_key(*id);
            is_idle && now < engine.reported_at + options.report_timeout
        };
        let mismatched: Vec<_> = self.mismatched.iter().filter(is_available).collect();
        if mismatched.is_empty() {
            return None;
        }
        let surplus = self.surplus_by_role(now, plan, options);
        let may_load = |id: &&&UpstreamId| {
            let state = &self.engines[**id].report.state;
            // A role without a minimum may have all its engines loading.
            state.models.is_empty() || surplus.get(state.role.as_str()).is_none_or(|n| *n > 0)
        };
        let is_empty = |id: &&&UpstreamId| self.engines[**id].report.state.models.is_empty();
        let rank = |id: &&&UpstreamId| plan.ranks.get(**id).copied();
        let next = mismatched.iter().filter(is_empty).min_by_key(rank);
        let next = next.or_else(|| mismatched.iter().filter(may_load).min_by_key(rank));
        next.map(|id| (*id).clone())
    }

    /// Returns the number of serving engines of each role above its minimum.
    fn surplus_by_role<'a>(
        &self,
        now: Now,
        plan: &'a Plan,
        options: &Options,
    ) -> BTreeMap<&'a str, usize> {
        let mut serving: BTreeMap<&str, usize> = BTreeMap::new();
        for (id, engine) in &self.engines {
            let state = &engine.report.state;
            let is_serving = !engine.report.loading && !state.models.is_empty();
            let has_known_state = now < engine.reported_at + options.report_timeout
                && !self.in_flight.contains_key(id);
            // A leaving engine has no target and is about to stop serving.
            if is_serving && has_known_state && plan.targets.contains_key(id) {
                *serving.entry(state.role.as_str()).or_default() += 1;
            }
        }
        let surplus = |(role, minimum): (&'a String, &usize)| {
            let count = serving.get(role.as_str()).copied().unwrap_or(0);
            (role.as_str(), count.saturating_sub(*minimum))
        };
        plan.minimums.iter().map(surplus).collect()
    }
}

fn set_membership(set: &mut BTreeSet<UpstreamId>, id: &UpstreamId, is_member: bool) {
    if !is_member {
        set.remove(id);
    } else if !set.contains(id) {
        set.insert(id.clone());
    }
}
