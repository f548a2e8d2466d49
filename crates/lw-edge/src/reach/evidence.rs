//! Tells from the outcomes of connections whether this VM has a path to the upstreams of a service.

use std::{collections::HashMap, time::Duration};

use lw_types::prelude::*;

/// Number of upstreams in a row that cannot be reached from which on the paths to the service count as lost. A few may be down
/// themselves.
const LOST_UPSTREAMS: usize = 3;
/// Least time without any upstream in reach from which on the paths count as lost. A few upstreams that fail at the same time are
/// no sign of that while others answer.
const LOST_TIME: Duration = Duration::from_millis(300);
/// Age from which on a failure is no evidence any more.
const FAILURE_MAX_AGE: Duration = Duration::from_secs(3);
/// Time for which a report of another VM that it has lost its paths holds. Such a VM repeats it each second.
const REPORT_TIME: Duration = Duration::from_millis(2_500);

/// What this VM knows of the paths to the upstreams of one service.
#[derive(Debug, Default)]
struct ServicePaths {
    /// Upstreams that were not reached since any of the service was reached, with the times.
    failed: HashMap<UpstreamId, Now>,
    /// When an upstream was reached last.
    reached_at: Option<Now>,
    is_lost: bool,
    /// VMs that have lost their paths to the service, and until when their reports hold.
    lost_by_others: HashMap<VmId, Now>,
}

/// Evidence of the paths from this VM, and from others, to the upstreams of all services.
///
/// ```
/// use std::time::Duration;
/// use lw_edge::reach::Reach;
/// let ms = Duration::from_millis;
/// let mut reach = Reach::default();
/// reach.record_reached(ms(10), "desk");
/// for (at, upstream) in [(20, "a"), (30, "b"), (320, "c")] {
///     assert!(!reach.is_lost("desk"));
///     reach.record_failure(ms(at), "desk", upstream, 5);
/// }
/// assert!(reach.is_lost("desk"));
/// assert!(reach.record_reached(ms(400), "desk"));
/// assert!(!reach.is_lost("desk"));
/// ```
#[derive(Debug, Default)]
pub struct Reach {
    services: HashMap<String, ServicePaths>,
}

impl Reach {
    /// Records that an upstream of a service was reached. Returns whether the paths had been lost.
    pub fn record_reached(&mut self, now: Now, service: &str) -> bool {
        let paths = self.paths(service);
        paths.reached_at = Some(now);
        paths.failed.clear();
        std::mem::take(&mut paths.is_lost)
    }

    fn paths(&mut self, service: &str) -> &mut ServicePaths {
        self.services.entry(service.to_owned()).or_default()
    }

    /// Records that one of `registered` upstreams of a service was not reached. Returns whether the paths are lost since then.
    pub fn record_failure(
        &mut self,
        now: Now,
        service: &str,
        upstream: &str,
        registered: usize,
    ) -> bool {
        let paths = self.paths(service);
        paths.failed.insert(upstream.to_owned(), now);
        paths.failed.retain(|_, at| now.saturating_sub(*at) < FAILURE_MAX_AGE);
        let is_lost = paths.failed.len() >= LOST_UPSTREAMS.min(registered.max(1))
            && paths.reached_at.is_none_or(|at| now.saturating_sub(at) >= LOST_TIME);
        is_lost && !std::mem::replace(&mut paths.is_lost, true)
    }

    /// Whether the paths to a service are lost.
    #[must_use]
    pub fn is_lost(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|paths| paths.is_lost)
    }

    /// Returns the services to which the paths are lost.
    #[must_use]
    pub fn lost(&self) -> Vec<String> {
        let lost = self.services.iter().filter(|(_, paths)| paths.is_lost);
        lost.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the services of which an upstream was not reached lately, or to which the paths are lost.
    #[must_use]
    pub fn suspected(&self, now: Now) -> Vec<String> {
        let is_recent = |at: &Now| now.saturating_sub(*at) < FAILURE_MAX_AGE;
        let is_suspected =
            |paths: &ServicePaths| paths.is_lost || paths.failed.values().any(is_recent);
        let suspected = self.services.iter().filter(|(_, paths)| is_suspected(paths));
        suspected.map(|(service, _)| service.clone()).collect()
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
