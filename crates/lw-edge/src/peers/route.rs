//! Recipients of messages. A message crosses once to each other failure domain, since links between failure domains
//! cost more than links within one.

use std::{collections::BTreeMap, net::SocketAddr};

use lw_types::prelude::*;

use crate::state::keys::VmEntry;

/// Fewest VMs of another failure domain for which one of them relays messages to the others. Fewer each receive them
/// directly.
const RELAY_VMS_MIN: usize = 4;

/// One VM to which a message is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Recipient {
    /// Its address.
    pub addr: SocketAddr,
    /// Whether it relays the message to the other VMs of its failure domain.
    pub is_relay: bool,
}

/// Returns the recipients of a message to all VMs: each VM of the failure domain `direct`, and one of each other failure
/// domain, which relays it. Messages with the same `subject` are sent along the same path, so that they are seldom
/// reordered.
pub fn to_all<'a>(
    own: &str,
    direct: Option<&Domain>,
    subject: u64,
    vms: impl Iterator<Item = (&'a VmId, &'a VmEntry)>,
) -> Vec<Recipient> {
    let mut by_domain: BTreeMap<&Domain, Vec<(&VmId, SocketAddr)>> = BTreeMap::new();
    for (vm, entry) in vms.filter(|(vm, _)| *vm != own) {
        by_domain.entry(&entry.failure_domain).or_default().push((vm, entry.addr));
    }
    let rank = |vm: &str| xxhash_rust::xxh3::xxh3_64_with_seed(vm.as_bytes(), subject);
    let mut recipients = Vec::new();
    for (other_domain, vms) in by_domain {
        let relay = vms.iter().max_by_key(|(vm, _)| rank(vm));
        match relay.filter(|_| direct != Some(other_domain) && vms.len() >= RELAY_VMS_MIN) {
            Some((_, addr)) => recipients.push(Recipient { addr: *addr, is_relay: true }),
            None => recipients
                .extend(vms.iter().map(|(_, addr)| Recipient { addr: *addr, is_relay: false })),
        }
    }
    recipients
}

/// Returns the VMs of a failure domain except the own VM.
pub fn to_domain<'a>(
    own: &str,
    domain: &Domain,
    vms: impl Iterator<Item = (&'a VmId, &'a VmEntry)>,
) -> Vec<Recipient> {
    let others = vms.filter(|(vm, entry)| *vm != own && entry.failure_domain == *domain);
    others.map(|(_, entry)| Recipient { addr: entry.addr, is_relay: false }).collect()
}
