//! Lookups in a configuration.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use lw_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use super::{Catalog, CatalogData, Route, Service, ServiceKind, UsageCap, Workspace};

impl From<CatalogData> for Catalog {
    fn from(data: CatalogData) -> Self {
        let resumable_services = resumable_services(&data.routes);
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in data.routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| Reverse(route.prefix.len()));
        }
        let workspaces: Vec<_> = data.workspaces.into_iter().map(Arc::new).collect();
        let keys = |(index, workspace): (usize, &Arc<Workspace>)| {
            workspace.keys.iter().map(move |key| (key.clone(), index)).collect::<Vec<_>>()
        };
        let by_key = workspaces.iter().enumerate().flat_map(keys).collect();
        let services = data.services.into_iter();
        let services = services.map(|service| (service.name.clone(), Arc::new(service))).collect();
        let (version, limits) = (data.version, data.limits);
        let isolated = workspaces.iter().filter(|workspace| workspace.is_isolated);
        let isolated: HashSet<_> = isolated.map(|workspace| workspace.name.clone()).collect();
        let isolated_set = hash_of_set(&isolated);
        Self {
            version,
            limits,
            by_host,
            services,
            resumable_services,
            workspaces,
            by_key,
            isolated,
            isolated_set,
        }
    }
}

/// Returns the services of routes whose streams may be resumed, with the longest timeout of these routes.
fn resumable_services(routes: &[Route]) -> HashMap<String, Duration> {
    let mut services = HashMap::new();
    for route in routes.iter().filter(|route| route.kind.is_resumable()) {
        for target in &route.targets {
            let timeout: &mut Duration = services.entry(target.service.clone()).or_default();
            *timeout = route.timeout.max(*timeout);
        }
    }
    services
}

/// Returns a number that identifies a set of workspaces.
fn hash_of_set(workspaces: &HashSet<WorkspaceId>) -> u64 {
    let mut names: Vec<_> = workspaces.iter().map(String::as_str).collect();
    names.sort_unstable();
    xxh3_64(names.join("\0").as_bytes())
}

impl Catalog {
    /// Whether a workspace is isolated.
    #[must_use]
    pub fn is_isolated(&self, workspace: &str) -> bool {
        self.isolated.contains(workspace)
    }

    /// Returns a number that identifies the set of isolated workspaces.
    #[must_use]
    pub fn isolated_set(&self) -> u64 {
        self.isolated_set
    }

    /// Returns the route of a request: among the routes of `host`, the one with the longest prefix of `path`.
    ///
    /// `host` may include a port and capital letters.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.by_host.get(name) {
            Some(routes) => routes,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns the services of routes whose streams may be resumed, with the longest timeout of these routes.
    pub fn resumable_services(&self) -> impl Iterator<Item = (&String, Duration)> {
        self.resumable_services.iter().map(|(service, timeout)| (service, *timeout))
    }

    /// Returns the KV cache stores.
    pub fn cache_stores(&self) -> impl Iterator<Item = &Arc<Service>> {
        let is_store =
            |service: &&Arc<Service>| matches!(service.kind, ServiceKind::CacheStore { .. });
        self.services.values().filter(is_store)
    }

    /// Whether requests need a key on routes that are not anonymous.
    #[must_use]
    pub fn needs_keys(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Returns the workspaces with a cap on their usage.
    pub fn capped_workspaces(&self) -> impl Iterator<Item = (&Workspace, UsageCap)> {
        self.workspaces.iter().filter_map(|workspace| Some((&**workspace, workspace.cap?)))
    }

    /// Returns the workspace that `key` belongs to.
    #[must_use]
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.by_key.get(key).map(|&index| &self.workspaces[index])
    }
}

impl Route {
    /// Returns the service for a request whose id hashes to `request_hash`: each target gets its share of the hashes.
    ///
    /// All VMs map the same request to the same service, also when its caller sends it again.
    #[must_use]
    pub fn target(&self, request_hash: u64) -> Option<&str> {
        let total: u64 = self.targets.iter().map(|target| target.weight).sum();
        if total == 0 {
            return self.targets.first().map(|target| target.service.as_str());
        }
        let mut offset = request_hash % total;
        for target in &self.targets {
            if offset < target.weight {
                return Some(&target.service);
            }
            offset -= target.weight;
        }
        None
    }
}
