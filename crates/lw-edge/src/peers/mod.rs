//! Messages between VMs, as authenticated datagrams that may be lost.

use std::{sync::Arc, time::Duration};

use lw_transport::datagram::Datagrams;
use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::state::{Edge, keys};

/// Pause between two looks whether the key of the messages is known.
const KEY_POLL: Duration = Duration::from_millis(100);

/// A message from one VM to others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The VM that sends it.
    pub vm: VmId,
    /// What it says.
    pub news: News,
}

/// What a VM tells the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum News {
    /// The weights of an engine are about to be changed; it gets no new work for a while.
    Hold {
        /// The engine.
        upstream: UpstreamId,
        /// For how long, in milliseconds.
        ms: u64,
    },
    /// An engine serves a version of a model's weights.
    Serves {
        /// The engine.
        upstream: UpstreamId,
        /// Its model.
        model: ModelId,
        /// The version.
        version: u64,
    },
}

/// Receives messages and opens the way for sending them, as soon as their key is known.
pub async fn run(edge: Arc<Edge>) {
    let datagrams = loop {
        let key = edge.known().own(keys::PEER_KEY).map(|item| item.value.clone());
        if let Some(key) = key {
            let key = String::from_utf8_lossy(&key).into_owned();
            match Datagrams::bind(edge.settings.peers, &key).await {
                Ok(datagrams) => break Arc::new(datagrams),
                Err(e) => log::warn!("member: {e}"),
            }
        }
        tokio::time::sleep(KEY_POLL).await;
    };
    edge.set_datagrams(Arc::clone(&datagrams));
    loop {
        match datagrams.receive().await {
            Ok(bytes) => match rmp_serde::from_slice::<Message>(&bytes) {
                Ok(message) => take(&edge, &message),
                Err(e) => log::warn!("member: unreadable message: {e}"),
            },
            Err(e) => {
                log::warn!("member: {e}");
                tokio::time::sleep(KEY_POLL).await;
            }
        }
    }
}

fn take(edge: &Edge, message: &Message) {
    let now = edge.timer.now();
    let mut fleets = edge.fleets();
    for fleet in fleets.values_mut() {
        match &message.news {
            News::Hold { upstream, ms } => fleet.hold(upstream, now + Duration::from_millis(*ms)),
            News::Serves { upstream, model, version } => fleet.serves(upstream, model, *version),
        }
    }
}

/// Tells the other VMs, and takes the news itself.
pub async fn tell(edge: &Edge, news: News) {
    let message = Message { vm: edge.settings.vm.clone(), news };
    take(edge, &message);
    let Some(datagrams) = edge.datagrams() else { return };
    let bytes = match rmp_serde::to_vec(&message) {
        Ok(bytes) => bytes,
        Err(e) => return log::error!("member: message not encoded: {e}"),
    };
    let vms = edge.known().vms();
    for (vm, entry) in vms.iter().filter(|(vm, _)| *vm != edge.settings.vm) {
        if let Err(e) = datagrams.send(entry.addr, &bytes).await {
            log::debug!("member: no message to {vm}: {e}");
        }
    }
}
