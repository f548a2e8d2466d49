//! Keys of the router in the platform's store, and the values stored there.

use std::{net::SocketAddr, time::Duration};

use lw_limit::quota::SLOTS;
use lw_observe::logs::millis;
use lw_order::handover::{IssuerRecord, LastOrder};
use lw_quarantine::SegmentSet;
use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Prefix of all keys of the router.
pub const PREFIX: &str = "lavenderwood/";
/// Prefix of the keys under which VMs register.
pub const VM_PREFIX: &str = "lavenderwood/vm/";
/// Store key of the secret key that authenticates messages between VMs.
pub const PEER_KEY: &str = "lavenderwood/peer-key";
/// Store key that the issuer of orders holds by a lease; its revision is the fencing number.
pub const ISSUER: &str = "lavenderwood/issuer";
/// Store key of [`LastIssuer`], which is written without a lease and so outlives the issuer.
pub const LAST_ISSUER: &str = "lavenderwood/last-issuer";

/// Store key of [`SettledEra`].
pub const SETTLED_ERA: &str = "lavenderwood/settled-era";

/// Prefix of the keys of [`crate::software::HistoryWire`], which are written without a lease.
pub const SOFTWARE_PREFIX: &str = "lavenderwood/software/";

/// Returns the key of the history of the software versions of a service.
#[must_use]
pub fn software(service: &str) -> String {
    format!("{SOFTWARE_PREFIX}{service}")
}

/// Prefix of the keys of quota slots.
pub const QUOTA_PREFIX: &str = "lavenderwood/quota/";

/// Returns the key of a quota slot.
#[must_use]
pub fn quota(slot: u8) -> String {
    format!("{QUOTA_PREFIX}{slot:02}")
}

/// Returns the quota slot that a key belongs to.
#[must_use]
pub fn quota_slot(key: &str) -> Option<u8> {
    let slot = key.strip_prefix(QUOTA_PREFIX)?.parse().ok()?;
    (slot < SLOTS && quota(slot) == key).then_some(slot)
}

/// Store key of [`QuotaEra`], which is written without a lease.
pub const QUOTA_ERA: &str = "lavenderwood/quota-era";

/// The last era in which a VM has taken quota slots. All leases of earlier eras had ended then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaEra {
    /// The era.
    pub era: Era,
}

/// Prefix of the keys of quarantined sets of segments.
pub const QUARANTINE_PREFIX: &str = "lavenderwood/quarantine/";

/// Returns the key of a quarantined set.
#[must_use]
pub fn quarantine(set: &SegmentSet) -> String {
    format!("{QUARANTINE_PREFIX}{:016x}", set.stable_hash())
}

/// A quarantined set of segments. Its ids are hexadecimal numbers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    segments: Vec<String>,
    /// Number of crashes for which the set was blamed.
    pub crashes: usize,
}

impl QuarantineEntry {
    /// Returns the entry of a set that was blamed for this number of crashes.
    #[must_use]
    pub fn new(set: &SegmentSet, crashes: usize) -> Self {
        Self { segments: set.iter().map(|segment| format!("{segment:x}")).collect(), crashes }
    }
}

impl TryFrom<&QuarantineEntry> for SegmentSet {
    type Error = String;

    fn try_from(entry: &QuarantineEntry) -> Result<Self, String> {
        if entry.segments.is_empty() {
            return Err("no segments".into());
        }
        let parse = |id: &String| u64::from_str_radix(id, 16).map_err(|e| format!("{id:?}: {e}"));
        entry.segments.iter().map(parse).collect()
    }
}

/// Entry under which a VM registers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Address at which the VM receives messages of other VMs.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Domain,
    /// Address at which the VM receives requests that others pass on. VMs of an older release omit this field and receive none.
    #[serde(default)]
    pub forwarded: Option<SocketAddr>,
    /// How much it can send to others. VMs of an older release omit this field.
    #[serde(default)]
    pub capacity: u32,
}

/// The last era in which operators and upstreams have written again what the store had lost before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettledEra {
    /// The era.
    pub era: Era,
}

/// Record of the last issuer of orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastIssuer {
    vm: VmId,
    #[serde(default)]
    is_released: bool,
    #[serde(default)]
    last_orders: Vec<LastOrderWire>,
    /// Era of the store in which the record was written. VMs of an older release omit this field.
    #[serde(default)]
    era: Era,
}

/// Encoded form of [`LastOrder`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct LastOrderWire {
    vm: VmId,
    age_ms: u64,
}

impl LastIssuer {
    /// Returns the stored form of a record that is written in this era.
    #[must_use]
    pub fn new(record: &IssuerRecord, era: Era) -> Self {
        let encode =
            |order: &LastOrder| LastOrderWire { vm: order.vm.clone(), age_ms: millis(order.age) };
        Self {
            vm: record.holder.clone(),
            is_released: record.is_released,
            last_orders: record.last_orders.iter().map(encode).collect(),
            era,
        }
    }

    /// Returns the record, and the era in which it was written. The store may have lost later records of an earlier one.
    #[must_use]
    pub fn into_record_and_era(self) -> (IssuerRecord, Era) {
        let era = self.era;
        (self.into(), era)
    }
}

impl From<LastIssuer> for IssuerRecord {
    fn from(issuer: LastIssuer) -> Self {
        let decode = |order: LastOrderWire| LastOrder {
            vm: order.vm,
            age: Duration::from_millis(order.age_ms),
        };
        Self {
            holder: issuer.vm,
            is_released: issuer.is_released,
            last_orders: issuer.last_orders.into_iter().map(decode).collect(),
        }
    }
}
