//! Whether this VM, and others, have a path to the upstreams of a service.

use std::{collections::HashMap, time::Duration};

use lw_types::prelude::*;

/// Time for which a report of another VM that it has lost its paths holds. Such a VM repeats it each second.
const REPORT_TIME: Duration = Duration::from_millis(2_500);

/// Time for which sound upstreams may be silent at most.
const SILENCE_MAX: Duration = Duration::from_secs(2);

/// What this VM knows of the paths to the upstreams of one service.
#[derive(Debug, Default)]
struct ServicePaths {
    /// Whether an upstream was not reached since the last probes.
    is_suspected: bool,
    /// Since when the paths have been lost.
    lost_since: Option<Now>,
    /// VMs that have lost their paths to the service, and until when their reports hold.
    lost_by_others: HashMap<VmId, Now>,
}

/// The paths from this VM, and from others, to the upstreams of all services. Failures of requests raise a suspicion; probes on
/// new connections confirm or refute it, since connections that are open may live on while new ones are refused.
///
/// ```
/// use std::time::Duration;
/// use lw_edge::reach::Reach;
/// let (mut reach, now) = (Reach::default(), Duration::ZERO);
/// reach.suspect("desk");
/// assert_eq!(reach.to_probe(), ["desk"]);
/// assert!(reach.record_probes(now, "desk", false));
/// assert!(reach.is_lost("desk"));
/// assert!(reach.record_probes(now, "desk", true));
/// assert!(!reach.is_lost("desk") && reach.to_probe().is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Reach {
    services: HashMap<String, ServicePaths>,
}

impl Reach {
    /// Records that an upstream of a service was not reached.
    pub fn suspect(&mut self, service: &str) {
        self.services.entry(service.to_owned()).or_default().is_suspected = true;
    }

    /// Returns the services whose upstreams are to be probed: paths are suspected, or lost and may be back.
    #[must_use]
    pub fn to_probe(&self) -> Vec<String> {
        let is_due = |paths: &ServicePaths| paths.is_suspected || paths.lost_since.is_some();
        let due = self.services.iter().filter(|(_, paths)| is_due(paths));
        due.map(|(service, _)| service.clone()).collect()
    }

    /// Records whether any upstream of a service answered a probe. Returns whether the paths are lost or found since then.
    pub fn record_probes(&mut self, now: Now, service: &str, is_reached: bool) -> bool {
        let Some(paths) = self.services.get_mut(service) else { return false };
        paths.is_suspected = false;
        let was_lost = paths.lost_since.is_some();
        paths.lost_since = if is_reached { None } else { paths.lost_since.or(Some(now)) };
        was_lost == is_reached
    }

    /// Whether the paths to a service are lost.
    #[must_use]
    pub fn is_lost(&self, service: &str) -> bool {
        self.lost_since(service).is_some()
    }

    /// Whether the upstreams of a service may only be silent for a moment, though the paths seem to be lost.
    #[must_use]
    pub fn may_be_silent(&self, now: Now, service: &str) -> bool {
        self.lost_since(service).is_some_and(|since| now < since + SILENCE_MAX)
    }

    fn lost_since(&self, service: &str) -> Option<Now> {
        self.services.get(service)?.lost_since
    }

    /// Returns the services to which the paths are lost.
    #[must_use]
    pub fn lost(&self) -> Vec<String> {
        let lost = self.services.iter().filter(|(_, paths)| paths.lost_since.is_some());
        lost.map(|(service, _)| service.clone()).collect()
    }

    /// Records the services to which another VM has lost its paths.
    pub fn record_report(&mut self, now: Now, vm: &str, services: &[String]) {
        for paths in self.services.values_mut() {
            paths.lost_by_others.remove(vm);
        }
        for service in services {
            let paths = self.services.entry(service.clone()).or_default();
            paths.lost_by_others.insert(vm.to_owned(), now + REPORT_TIME);
        }
    }

    /// Whether another VM has lost its paths to a service.
    #[must_use]
    pub fn is_lost_by(&self, now: Now, vm: &str, service: &str) -> bool {
        let until = self.services.get(service).and_then(|paths| paths.lost_by_others.get(vm));
        until.is_some_and(|until| now < *until)
    }
}
