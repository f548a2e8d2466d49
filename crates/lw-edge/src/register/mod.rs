//! Registers this VM in the platform's store, so that the others find it.

use std::{sync::Arc, time::Duration};

use lw_platform::store::{Error, Expected, KeyWrite};

use crate::state::{
    Edge,
    keys::{self, VmEntry},
};

/// Lifetime of the lease on the entry. The others use an entry until it lapses.
const LEASE_TIME: Duration = Duration::from_secs(4);
/// Time between two renewals.
const RENEW_PERIOD: Duration = Duration::from_millis(1300);
/// Pause before the next try after a failure.
const PAUSE: Duration = Duration::from_millis(300);
const PEER_KEY_BYTES: usize = 16;

/// Keeps the entry of this VM until the process ends.
pub async fn run(edge: Arc<Edge>) {
    loop {
        if edge.known().catalog().is_some() {
            let Err(e) = keep(&edge).await;
            log::warn!(target: "member", why = e.to_string(); "entry of this VM not kept");
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn keep(edge: &Edge) -> Result<std::convert::Infallible, Error> {
    create_peer_key(edge).await?;
    let lease = edge
        .counted("lease", edge.store.lease(LEASE_TIME.max(edge.settings.bounds.lease_min)))
        .await?;
    let entry =
        VmEntry { addr: edge.settings.peers, failure_domain: edge.settings.failure_domain.clone() };
    let write = KeyWrite {
        key: format!("{}{}", keys::VM_PREFIX, edge.settings.vm),
        value: serde_json::to_vec(&entry).map_err(|e| Error::Unreadable(e.to_string()))?,
        lease: lease.id,
    };
    edge.counted("write", edge.store.write(Vec::new(), vec![write], Vec::new())).await?;
    loop {
        tokio::time::sleep(RENEW_PERIOD).await;
        match edge.counted("renew", edge.store.renew(lease.id)).await {
            Ok(_) => {}
            Err(Error::Absent) => return Err(Error::Absent),
            Err(e) => {
                log::debug!(target: "member", why = e.to_string(); "lease not renewed");
            }
        }
    }
}

/// The first VM creates the key that authenticates messages between VMs.
async fn create_peer_key(edge: &Edge) -> Result<(), Error> {
    if edge.known().own(keys::PEER_KEY).is_some() {
        return Ok(());
    }
    let mut secret = [0; PEER_KEY_BYTES];
    getrandom::fill(&mut secret).map_err(|e| Error::Unreadable(e.to_string()))?;
    let value = format!("{:032x}", u128::from_be_bytes(secret)).into_bytes();
    let key = keys::PEER_KEY.to_owned();
    let expected = Expected { key: key.clone(), revision: 0 };
    match edge
        .counted(
            "write",
            edge.store.write(vec![expected], vec![KeyWrite { key, value, lease: 0 }], vec![]),
        )
        .await
    {
        Ok(_) | Err(Error::Conflict) => Ok(()),
        Err(e) => Err(e),
    }
}
