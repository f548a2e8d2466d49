//! Admission under overload: keeps the load of each service up to date and decides for arriving requests.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use lw_limit::admission::overload::{
    Arrival, Decision, Inputs, Level, Overload, Pressure, demand::Entry, name_hash,
};
use lw_types::prelude::*;

/// Time between two updates of the load.
pub const UPDATE_PERIOD: Duration = Duration::from_millis(100);

/// Demand for the engines of one service that a VM tells others.
#[derive(Debug, Clone, PartialEq)]
pub struct Digest {
    /// Hash of the service's name.
    pub service: u32,
    /// Demand of workspaces and levels.
    pub entries: Vec<Entry>,
}

/// Admission to the engines of each service.
#[derive(Debug, Default)]
pub struct SharedAdmission {
    services: Mutex<HashMap<String, Overload>>,
}

impl SharedAdmission {
    /// Records the load of the engines of each service and the number of registered VMs. Returns the digests that are due:
    /// those of services under pressure.
    pub fn update(&self, now: Now, loads: &[(String, Pressure)], vms: usize) -> Vec<Digest> {
        let mut digests = Vec::new();
        for (service, pressure) in loads {
            let update = |overload: &mut Overload| {
                overload.update(now, *pressure, vms);
                overload.digest(now)
            };
            let entries = self.with(service, update);
            digests.extend(entries.map(|entries| Digest { service: name_hash(service), entries }));
        }
        digests
    }

    /// Stores the digest of another VM.
    pub fn apply(&self, now: Now, vm: &str, digest: &Digest) {
        let mut services = self.lock();
        let service = services.iter_mut().find(|(name, _)| name_hash(name) == digest.service);
        if let Some((_, overload)) = service {
            overload.apply(now, vm, digest.entries.clone());
        }
    }

    /// Admits or refuses a request. A refusal comes with what decided.
    pub fn decide(&self, now: Now, service: &str, arrival: &Arrival) -> (Decision, Inputs) {
        self.with(service, |overload| (overload.decide(now, arrival), overload.inputs(arrival.key)))
    }

    /// Returns when the caller of a request may return that no upstream can serve in time.
    pub fn retry_after(&self, now: Now, service: &str, arrival: &Arrival) -> Duration {
        self.with(service, |overload| overload.retry_after(now, arrival))
    }

    /// Returns the estimated capacity of each service, in engines that are busy all the time.
    #[must_use]
    pub fn capacities(&self) -> Vec<(String, f64)> {
        let services = self.lock();
        services.iter().map(|(service, overload)| (service.clone(), overload.capacity())).collect()
    }

    fn with<T>(&self, service: &str, f: impl FnOnce(&mut Overload) -> T) -> T {
        let mut services = self.lock();
        if let Some(overload) = services.get_mut(service) {
            return f(overload);
        }
        f(services.entry(service.to_owned()).or_default())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Overload>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the name of a level in metrics: that of the workspace's priority, then that of the route's.
#[must_use]
pub fn level_name(level: Level) -> String {
    format!("{}.{}", level.workspace, level.route)
}
