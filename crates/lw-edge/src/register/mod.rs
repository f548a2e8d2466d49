//! Registers this VM in the platform's store, so that the others find it.

use std::{sync::Arc, time::Duration};

use lw_platform::store::{Error, KeyWrite, Precondition};

use crate::state::{
    Edge,
    keys::{self, VmEntry},
};

/// Lifetime of the lease on the entry. The others use an entry until it lapses.
const LEASE_TIME: Duration = Duration::from_secs(4);
/// Time between two renewals.
const RENEW_PERIOD: Duration = Duration::from_millis(1300);
/// Pause before the next try after a failure, doubled with each further one up to the longest one.
const PAUSE: Duration = Duration::from_millis(300);
const PAUSE_MAX: Duration = Duration::from_millis(2400);
/// Pause between two looks whether the store was read.
const READ_POLL: Duration = Duration::from_millis(50);
/// Longest delay of what one VM does for all.
const FIRST_DELAY_MAX: Duration = Duration::from_secs(1);
const PEER_KEY_BYTES: usize = 16;

/// Delay of what one VM does for all after a start: when all start together, one of the first does it and the others
/// hear of it.
pub(crate) fn first_delay(vm: &str) -> Duration {
    let most = u64::try_from(FIRST_DELAY_MAX.as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(xxhash_rust::xxh3::xxh3_64(vm.as_bytes()) % most)
}

/// Keeps the entry of this VM until the process ends.
pub async fn run(edge: Arc<Edge>) {
    let mut pause = PAUSE;
    loop {
        if edge.known().catalog().is_none() {
            tokio::time::sleep(READ_POLL).await;
            continue;
        }
        let began = edge.timer.now();
        let Err(e) = keep(&edge).await;
        log::warn!(target: "member", why = e.to_string(); "entry of this VM not kept");
        // An entry that was kept for a while is renewed soon.
        if edge.timer.now() > began + LEASE_TIME {
            pause = PAUSE;
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(PAUSE_MAX);
    }
}

async fn keep(edge: &Edge) -> Result<std::convert::Infallible, Error> {
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
    tokio::time::sleep(first_delay(&edge.settings.vm)).await;
    create_peer_key(edge).await?;
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
    let expected = Precondition { key: key.clone(), revision: 0 };
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
