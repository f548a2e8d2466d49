//! Moves KV cache to an engine before it gets a request.

use std::{net::SocketAddr, time::Duration};

use http::Method;
use lw_protocol::upstream::{KvBlocks, KvExport};
use lw_transport::client::{Call, Clients, Error};
use lw_types::prelude::*;

/// Time-out of a move as a multiple of its expected time. A longer one costs more than recomputing.
const PATIENCE: u32 = 2;
const TIMEOUT_MIN: Duration = Duration::from_millis(50);

/// A move of cached blocks of one scope between two engines.
#[derive(Debug)]
pub(super) struct Move {
    pub from: SocketAddr,
    pub to: SocketAddr,
    pub model: ModelId,
    pub version: String,
    pub scope: String,
    pub blocks: Vec<BlockHash>,
    pub expected: Duration,
}

impl Move {
    /// Carries the move out. A failure costs only the recomputation, so it is not passed on.
    pub(super) async fn run(self, clients: &Clients) {
        let timeout = (self.expected * PATIENCE).max(TIMEOUT_MIN);
        match tokio::time::timeout(timeout, self.exchange(clients, timeout)).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => log::debug!("route: KV move from {} failed: {e}", self.from),
            Err(_) => log::debug!("route: KV move from {} took over {timeout:?}", self.from),
        }
    }

    async fn exchange(&self, clients: &Clients, timeout: Duration) -> Result<(), Error> {
        let call = Call::new(Method::POST, self.from, "/kv/export", timeout);
        let wanted = KvExport { blocks: self.blocks.clone() };
        let moved: KvBlocks = clients.json(call, Some(&wanted)).await?;
        // Blocks of another scope or of other weights must never reach the target.
        let is_ours = moved.scope == self.scope
            && moved.version == self.version
            && moved.model == self.model
            && moved.blocks.iter().all(|block| self.blocks.contains(block));
        if !is_ours {
            return Err(Error::Unreadable("the exported blocks are of another scope".into()));
        }
        let mut call = Call::new(Method::POST, self.to, "/kv/import", timeout);
        call.body = serde_json::to_vec(&moved).map_err(|e| Error::NotSent(e.to_string()))?.into();
        clients.send(call).await.map(drop)
    }
}
