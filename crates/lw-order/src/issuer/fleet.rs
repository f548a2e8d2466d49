//! What the issuer knows about the engines, and which one is loaded next.

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

/// Time between two searches for an engine to load when the last one found none. A search counts the
/// serving engines of the whole fleet.
const SEARCH_INTERVAL: Duration = Duration::from_millis(300);

#[derive(Debug)]
struct Engine {
    report: Report,
    seen: Now,
}

/// An order whose effect is not yet known; the engine may be loading.
#[derive(Debug)]
struct Flight {
    state: EngineState,
    sent: Now,
}

#[derive(Debug, Default)]
pub(super) struct Fleet {
    engines: BTreeMap<UpstreamId, Engine>,
    /// Engines that report another state than the desired one.
    wrong: BTreeSet<UpstreamId>,
    /// Engines that report a load.
    loading: BTreeSet<UpstreamId>,
    flights: BTreeMap<UpstreamId, Flight>,
    /// Times of the orders that may have started a load in the weight store's window.
    sent: VecDeque<Now>,
    next_search: Now,
}

impl Fleet {
    pub fn set_plan(&mut self, plan: &Plan) {
        let is_wrong = |(id, engine): &(&UpstreamId, &Engine)| {
            plan.targets.get(*id).is_some_and(|target| *target != engine.report.state)
        };
        self.wrong = self.engines.iter().filter(is_wrong).map(|(id, _)| id.clone()).collect();
        self.next_search = Now::ZERO;
    }

    pub fn on_report(&mut self, now: Now, report: Report, plan: &Plan) {
        let number = |report: &Report| (report.incarnation, report.seq);
        if let Some(known) = self.engines.get(&report.engine)
            && number(&known.report) >= number(&report)
        {
            return;
        }
        let id = &report.engine;
        let is_wrong = plan.targets.get(id).is_some_and(|target| *target != report.state);
        set_member(&mut self.wrong, id, is_wrong);
        set_member(&mut self.loading, id, report.loading);
        self.engines.insert(id.clone(), Engine { report, seen: now });
    }

    pub fn remove_engine(&mut self, id: &str) {
        self.engines.remove(id);
        self.wrong.remove(id);
        self.loading.remove(id);
        self.flights.remove(id);
    }

    /// Starts a new term. An engine that went silent, or has sent no report to this VM, may have an order
    /// of the former issuer and counts as loading until that must be over.
    pub fn take_over(&mut self, now: Now, plan: &Plan, options: &Options) {
        self.flights.clear();
        self.sent.clear();
        for id in plan.targets.keys().filter(|id| !self.engines.contains_key(*id)) {
            let flight = Flight { state: EngineState::default(), sent: now };
            self.flights.insert(id.clone(), flight);
        }
        for (id, engine) in &self.engines {
            let last_order = engine.seen + options.report_timeout;
            if now >= last_order && now < last_order + options.arrival() + options.load_time_max {
                let flight = Flight { state: EngineState::default(), sent: last_order };
                self.flights.insert(id.clone(), flight);
            }
        }
    }

    /// Engines that are loading or may be.
    pub fn loading(&self, now: Now, plan: &Plan, options: &Options) -> usize {
        let reported = self.loading.iter().filter(|id| {
            let may_load = now < self.engines[*id].seen + options.load_time_max;
            may_load && !self.flights.contains_key(*id)
        });
        let is_over =
            |flight: &&Flight| plan.load_time.is_some_and(|time| now >= flight.sent + time);
        self.flights.values().filter(|flight| !is_over(flight)).count() + reported.count()
    }

    /// Engines that are not in their desired state, with the reason.
    pub fn remaining<'a>(
        &'a self,
        now: Now,
        plan: &'a Plan,
        options: &'a Options,
    ) -> impl Iterator<Item = (&'a UpstreamId, &'static str)> {
        plan.targets.iter().filter_map(move |(id, target)| {
            let reason = match self.engines.get(id) {
                None => "no report",
                Some(engine) if now >= engine.seen + options.report_timeout => "silent",
                Some(engine) if engine.report.loading => "loading",
                Some(_) if self.flights.contains_key(id) => "ordered",
                Some(engine) if engine.report.state != *target => "waiting",
                Some(_) => return None,
            };
            Some((id, reason))
        })
    }

    /// The engines to be ordered now, with their states.
    pub fn next(
        &mut self,
        now: Now,
        plan: &Plan,
        options: &Options,
    ) -> Vec<(UpstreamId, EngineState)> {
        self.settle(now, options);
        let window = options.store_window + options.arrival();
        while self.sent.front().is_some_and(|sent| now >= *sent + window) {
            self.sent.pop_front();
        }
        let mut orders = Vec::new();
        while self.sent.len() < options.store_loads
            && self.loading(now, plan, options) < plan.loading_max.unwrap_or(options.loading_max)
            && now >= self.next_search
        {
            let Some(id) = self.choose(now, plan, options) else {
                self.next_search = now + SEARCH_INTERVAL;
                break;
            };
            let state = plan.targets[&id].clone();
            self.flights.insert(id.clone(), Flight { state: state.clone(), sent: now });
            self.sent.push_back(now);
            orders.push((id, state));
        }
        orders
    }

    /// Ends the flights whose effect is known.
    fn settle(&mut self, now: Now, options: &Options) {
        let engines = &self.engines;
        self.flights.retain(|id, flight| {
            let arrived = flight.sent + options.arrival();
            let Some(engine) = engines.get(id) else {
                return now < arrived + options.load_time_max;
            };
            if now >= engine.seen + options.report_timeout {
                return now < arrived + options.load_time_max;
            }
            if engine.report.loading {
                return true;
            }
            // An earlier report may show the state before the order came.
            let is_done = engine.report.state == flight.state;
            !is_done && engine.seen < arrived + options.report_lag
        });
    }

    /// The next engine to load: first one that serves nothing, then one that its role can spare.
    fn choose(&self, now: Now, plan: &Plan, options: &Options) -> Option<UpstreamId> {
        let is_free = |id: &&UpstreamId| {
            let engine = &self.engines[*id];
            let idle = !engine.report.loading && !self.flights.contains_key(*id);
            idle && now < engine.seen + options.report_timeout
        };
        let wrong: Vec<_> = self.wrong.iter().filter(is_free).collect();
        if wrong.is_empty() {
            return None;
        }
        let spare = self.spare(now, plan, options);
        let may_load = |id: &&&UpstreamId| {
            let state = &self.engines[**id].report.state;
            // Engines of a role without a minimum may always be taken.
            state.models.is_empty() || spare.get(state.role.as_str()).is_none_or(|n| *n > 0)
        };
        let is_empty = |id: &&&UpstreamId| self.engines[**id].report.state.models.is_empty();
        let rank = |id: &&&UpstreamId| plan.ranks.get(**id).copied();
        let first = wrong.iter().filter(is_empty).min_by_key(rank);
        let first = first.or_else(|| wrong.iter().filter(may_load).min_by_key(rank));
        first.map(|id| (*id).clone())
    }

    /// Serving engines of each role above its minimum.
    fn spare<'a>(&self, now: Now, plan: &'a Plan, options: &Options) -> BTreeMap<&'a str, usize> {
        let mut serving: BTreeMap<&str, usize> = BTreeMap::new();
        for (id, engine) in &self.engines {
            let state = &engine.report.state;
            let serves = !engine.report.loading && !state.models.is_empty();
            let known =
                now < engine.seen + options.report_timeout && !self.flights.contains_key(id);
            // A leaving engine has no target and is about to stop serving.
            if serves && known && plan.targets.contains_key(id) {
                *serving.entry(state.role.as_str()).or_default() += 1;
            }
        }
        let above = |(role, minimum): (&'a String, &usize)| {
            let count = serving.get(role.as_str()).copied().unwrap_or(0);
            (role.as_str(), count.saturating_sub(*minimum))
        };
        plan.minimums.iter().map(above).collect()
    }
}

fn set_member(set: &mut BTreeSet<UpstreamId>, id: &UpstreamId, is_member: bool) {
    if !is_member {
        set.remove(id);
    } else if !set.contains(id) {
        set.insert(id.clone());
    }
}
