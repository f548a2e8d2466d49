//! Moves KV cache to an engine before a request is sent to it.

use std::{net::SocketAddr, time::Duration};

use http::Method;
use lw_protocol::upstream::{KvBlocks, KvExport};
use lw_transport::client::{Call, Clients, Error};
use lw_types::prelude::*;

/// Timeout of a move as a multiple of its expected time. A longer move costs more than recomputing the prefix.
const TIMEOUT_FACTOR: u32 = 2;
const TIMEOUT_MIN: Duration = Duration::from_millis(50);

/// A move of cached blocks of one scope between two engines.
#[derive(Debug)]
pub(super) struct KvMove {
    pub from: SocketAddr,
    pub to: SocketAddr,
    pub model: ModelId,
    pub version: String,
    pub scope: String,
    pub blocks: Vec<BlockHash>,
    pub expected: Duration,
}

impl KvMove {
    /// Performs the move. A failure costs only the recomputation, so it is logged and not returned.
    pub(super) async fn run(self, clients: &Clients) {
        let timeout = (self.expected * TIMEOUT_FACTOR).max(TIMEOUT_MIN);
        match tokio::time::timeout(timeout, self.transfer(clients, timeout)).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => log::debug!("route: KV move from {} failed: {e}", self.from),
            Err(_) => log::debug!("route: KV move from {} took longer than {timeout:?}", self.from),
        }
    }

    async fn transfer(&self, clients: &Clients, timeout: Duration) -> Result<(), Error> {
        let call = Call::new(Method::POST, self.from, "/kv/export", timeout);
        let export = KvExport { blocks: self.blocks.clone() };
        let exported: KvBlocks = clients.json(call, Some(&export)).await?;
        // Blocks of another scope or of other weights must never reach the target.
        let is_as_requested = exported.scope == self.scope
            && exported.version == self.version
            && exported.model == self.model
            && exported.blocks.iter().all(|block| self.blocks.contains(block));
        if !is_as_requested {
            return Err(Error::Unreadable("the exported blocks are of another scope".into()));
        }
        let mut call = Call::new(Method::POST, self.to, "/kv/import", timeout);
        call.body =
            serde_json::to_vec(&exported).map_err(|e| Error::NotSent(e.to_string()))?.into();
        clients.send(call).await.map(drop)
    }
}
