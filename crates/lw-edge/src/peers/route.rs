//! To whom a message goes: links between failure domains cost more than those within.

use std::{collections::BTreeMap, net::SocketAddr};

use lw_types::prelude::*;

use crate::state::keys::VmEntry;

/// Fewest VMs of another failure domain with which one of them passes messages on to the others.
const PASSED_ON_MIN: usize = 4;

/// One VM to which a message is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Recipient {
    /// Its address.
    pub addr: SocketAddr,
    /// Whether it passes the message on to the VMs of its failure domain.
    pub is_relay: bool,
}

/// The recipients of a message to all VMs: each VM of the own failure domain, and one of each other one, which passes it
/// on. Messages with the same `subject` take the same way, so that they seldom overtake each other.
pub fn to_all<'a>(
    own: &str,
    domain: &Domain,
    subject: u64,
    vms: impl Iterator<Item = (&'a VmId, &'a VmEntry)>,
) -> Vec<Recipient> {
    let mut by_domain: BTreeMap<&Domain, Vec<(&VmId, SocketAddr)>> = BTreeMap::new();
    for (vm, entry) in vms.filter(|(vm, _)| *vm != own) {
        by_domain.entry(&entry.failure_domain).or_default().push((vm, entry.addr));
    }
    let rank = |vm: &str| xxhash_rust::xxh3::xxh3_64_with_seed(vm.as_bytes(), subject);
    let mut recipients = Vec::new();
    for (other, vms) in by_domain {
        let first = vms.iter().max_by_key(|(vm, _)| rank(vm));
        match first.filter(|_| other != domain && vms.len() >= PASSED_ON_MIN) {
            Some((_, addr)) => recipients.push(Recipient { addr: *addr, is_relay: true }),
            None => recipients
                .extend(vms.iter().map(|(_, addr)| Recipient { addr: *addr, is_relay: false })),
        }
    }
    recipients
}

/// The other VMs of a failure domain.
pub fn to_domain<'a>(
    own: &str,
    domain: &Domain,
    vms: impl Iterator<Item = (&'a VmId, &'a VmEntry)>,
) -> Vec<Recipient> {
    let others = vms.filter(|(vm, entry)| *vm != own && entry.failure_domain == *domain);
    others.map(|(_, entry)| Recipient { addr: entry.addr, is_relay: false }).collect()
}
