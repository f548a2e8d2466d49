//! Finds out whether an upstream is down after an attempt there broke. Failed calls for cache events tell that too late, or not at
//! all, for upstreams that no VM of their failure domain follows, or that name a limit.

use std::{
    collections::HashSet,
    io::ErrorKind,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use lw_catalog::Upstream;
use lw_types::prelude::*;
use tokio::net::TcpStream;

use super::record_down;
use crate::state::Edge;

/// Connections that are opened to find out whether an upstream is down. One that crashes may accept some a moment longer.
const CONNECTIONS: u32 = 2;
/// Time between two of them, and time limit of each.
const PERIOD: Duration = Duration::from_millis(300);

/// Upstreams that are being checked.
#[derive(Debug, Default)]
pub(super) struct Checks(Mutex<HashSet<UpstreamId>>);

impl Checks {
    fn begin(&self, upstream: &str) -> bool {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(upstream.to_owned())
    }

    fn end(&self, upstream: &str) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).remove(upstream);
    }
}

/// Checks whether an upstream refuses connections, unless that is being checked already.
pub(super) fn spawn(edge: &Arc<Edge>, upstream: &Upstream) {
    if !edge.quarantine.checks.begin(&upstream.id) {
        return;
    }
    let (edge, id, addr) = (Arc::clone(edge), upstream.id.clone(), upstream.addr);
    tokio::spawn(async move {
        for _ in 0..CONNECTIONS {
            if refuses_connections(addr).await {
                record_down(&edge, &id);
                break;
            }
            tokio::time::sleep(PERIOD).await;
        }
        edge.quarantine.checks.end(&id);
    });
}

async fn refuses_connections(addr: SocketAddr) -> bool {
    let connected = tokio::time::timeout(PERIOD, TcpStream::connect(addr)).await;
    matches!(connected, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused)
}
