//! Keys of the router's own in the platform's store.

use std::{net::SocketAddr, time::Duration};

use lw_order::handover::{IssuerRecord, LastOrder};
use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Beginning of all keys of the router's own.
pub const PREFIX: &str = "lavenderwood/";
/// Beginning of the keys under which VMs register.
pub const VM_PREFIX: &str = "lavenderwood/vm/";
/// Key that authenticates messages between VMs.
pub const PEER_KEY: &str = "lavenderwood/peer-key";
/// Key that the issuer of orders holds by a lease; its revision is the fencing number.
pub const ISSUER: &str = "lavenderwood/issuer";
/// Names the last issuer, without a lease.
pub const LAST_ISSUER: &str = "lavenderwood/last-issuer";

/// How a VM registers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Where it receives messages of other VMs.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Domain,
}

/// The last issuer of orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastIssuer {
    vm: VmId,
    #[serde(default)]
    is_released: bool,
    #[serde(default)]
    last_orders: Vec<LastOrderWire>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct LastOrderWire {
    vm: VmId,
    age_ms: u64,
}

impl LastIssuer {
    /// Whether it gave the lease back.
    #[must_use]
    pub fn is_released(&self) -> bool {
        self.is_released
    }
}

impl From<&IssuerRecord> for LastIssuer {
    fn from(record: &IssuerRecord) -> Self {
        let last = |last: &LastOrder| LastOrderWire {
            vm: last.vm.clone(),
            age_ms: u64::try_from(last.age.as_millis()).unwrap_or(u64::MAX),
        };
        Self {
            vm: record.holder.clone(),
            is_released: record.is_released,
            last_orders: record.last_orders.iter().map(last).collect(),
        }
    }
}

impl From<LastIssuer> for IssuerRecord {
    fn from(issuer: LastIssuer) -> Self {
        let last = |last: LastOrderWire| LastOrder {
            vm: last.vm,
            age: Duration::from_millis(last.age_ms),
        };
        Self {
            holder: issuer.vm,
            is_released: issuer.is_released,
            last_orders: issuer.last_orders.into_iter().map(last).collect(),
        }
    }
}
