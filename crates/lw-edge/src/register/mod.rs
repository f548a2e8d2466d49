//! Registers this VM in the platform's store, so that other VMs find it.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use lw_observe::logs::millis;
use lw_platform::store::{Error, KeyWrite, Lease, Precondition};
use lw_types::prelude::*;

use crate::state::{
    Edge,
    keys::{self, VmEntry},
};

/// Lifetime of the lease on the entry. Other VMs use an entry until it expires.
pub(crate) const LEASE_TIME: Duration = Duration::from_secs(4);
/// Time between two renewals of the lease.
const RENEW_PERIOD: Duration = Duration::from_millis(1300);
/// Shortest and longest pause before the next attempt after a failure; it doubles with each further failure.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(300);
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(2400);
/// Pause between two checks whether a configuration was read from the store.
const CATALOG_POLL_PERIOD: Duration = Duration::from_millis(50);
/// Upper bound of [`startup_delay`].
const STARTUP_DELAY_MAX: Duration = Duration::from_secs(1);
/// Length of the key that authenticates messages between VMs.
const PEER_KEY_BYTES: usize = 16;
/// Fraction of the lease's lifetime that counts as certain. The rest covers clocks that run at different rates.
const CERTAIN_FRACTION: f64 = 0.95;

/// The registration of this VM, as far as it is certain.
#[derive(Debug, Default)]
pub struct Registration {
    registered: Mutex<Option<Registered>>,
}

/// A lease on the entry of this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Registered {
    /// The lease.
    pub lease: Lease,
    /// Until when it has certainly not ended, by the clock that counts suspended time.
    pub valid_until: Now,
}

impl Registration {
    /// Returns the lease on the entry of this VM, unless the VM knows that it is lost.
    #[must_use]
    pub fn get(&self) -> Option<Registered> {
        *self.registered.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the lease, which was created or renewed by a call that was sent at `sent`; none if it is lost.
    fn set(&self, lease: Option<(Lease, Now)>) {
        let registered = lease.map(|(lease, sent)| Registered {
            lease,
            valid_until: sent + lease.ttl.mul_f64(CERTAIN_FRACTION),
        });
        *self.registered.lock().unwrap_or_else(PoisonError::into_inner) = registered;
    }
}

/// Returns the delay after a start before this VM does what only one VM of the fleet needs to do. It depends on the
/// VM's id: if all VMs start together, one of the first does it, and the others see the result in the store.
pub(crate) fn startup_delay(vm: &str) -> Duration {
    Duration::from_millis(xxhash_rust::xxh3::xxh3_64(vm.as_bytes()) % millis(STARTUP_DELAY_MAX))
}

/// Keeps this VM registered until the process ends.
pub async fn run(edge: Arc<Edge>) {
    let mut pause = RETRY_PAUSE_MIN;
    loop {
        if edge.store_view().catalog().is_none() {
            tokio::time::sleep(CATALOG_POLL_PERIOD).await;
            continue;
        }
        let began = edge.timer.now();
        let Err(e) = maintain_entry(&edge).await;
        edge.registration.set(None);
        log::warn!(target: "member", why = e.to_string();
            "cannot keep this VM registered; trying again");
        // The pause starts at its shortest again if the entry was kept for longer than its lease.
        if edge.timer.now() > began + LEASE_TIME {
            pause = RETRY_PAUSE_MIN;
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(RETRY_PAUSE_MAX);
    }
}

/// Registers this VM and renews the lease until it is lost, or the entry is gone.
async fn maintain_entry(edge: &Edge) -> Result<std::convert::Infallible, Error> {
    let sent = edge.timer.now_including_suspend();
    let lease = edge
        .count_store_call("lease", edge.store.lease(LEASE_TIME.max(edge.settings.bounds.lease_min)))
        .await?;
    let entry = VmEntry {
        addr: edge.settings.peers,
        failure_domain: edge.settings.failure_domain.clone(),
        forwarded: Some(edge.settings.forwarded),
        capacity: edge.settings.capacity(),
    };
    let write = KeyWrite {
        key: format!("{}{}", keys::VM_PREFIX, edge.settings.vm),
        value: serde_json::to_vec(&entry).map_err(|e| Error::Unreadable(e.to_string()))?,
        lease: lease.id,
    };
    edge.count_store_call("write", edge.store.write(Vec::new(), vec![write], Vec::new())).await?;
    edge.registration.set(Some((lease, sent)));
    tokio::time::sleep(startup_delay(&edge.settings.vm)).await;
    create_peer_key(edge).await?;
    let mut has_read_entry = false;
    loop {
        tokio::select! {
            () = tokio::time::sleep(RENEW_PERIOD) => {}
            () = edge.wait_for_era_after(lease.era) => return Err(Error::Absent),
        }
        // A late write of a former entry takes the entry along when its lease expires.
        let is_registered = edge.store_view().registered_at(&edge.settings.vm).is_some();
        if has_read_entry && !is_registered {
            return Err(Error::Absent);
        }
        has_read_entry |= is_registered;
        let sent = edge.timer.now_including_suspend();
        match edge.count_store_call("renew", edge.store.renew(&lease)).await {
            Ok(_) => edge.registration.set(Some((lease, sent))),
            Err(Error::Absent) => return Err(Error::Absent),
            Err(e) => {
                log::debug!(target: "member", why = e.to_string();
                    "cannot renew the lease on the entry of this VM");
            }
        }
    }
}

/// Creates the key that authenticates messages between VMs, unless another VM has created it.
async fn create_peer_key(edge: &Edge) -> Result<(), Error> {
    // After a return of the store from an older copy, a VM that has the key writes it again.
    while !edge.store_view().is_settled() {
        tokio::time::sleep(CATALOG_POLL_PERIOD).await;
    }
    if edge.store_view().router_item(keys::PEER_KEY).is_some() {
        return Ok(());
    }
    let mut secret = [0; PEER_KEY_BYTES];
    getrandom::fill(&mut secret).map_err(|e| Error::Unreadable(e.to_string()))?;
    let value = format!("{:032x}", u128::from_be_bytes(secret)).into_bytes();
    let key = keys::PEER_KEY.to_owned();
    let expected = Precondition { key: key.clone(), revision: 0 };
    match edge
        .count_store_call(
            "write",
            edge.store.write(vec![expected], vec![KeyWrite { key, value, lease: 0 }], vec![]),
        )
        .await
    {
        Ok(_) | Err(Error::Conflict) => Ok(()),
        Err(e) => Err(e),
    }
}
