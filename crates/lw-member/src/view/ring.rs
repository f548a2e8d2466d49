//! The ring of members sorted by hash; each member sends heartbeats to a few successors.

use lw_types::prelude::*;

use super::{Peer, View};

/// Heartbeat targets of each member. With two in different failure domains, one observer remains when a
/// complete failure domain is lost.
pub const SUCCESSORS: usize = 2;

/// Most positions searched for successors in other failure domains; limits the work after a change of the view.
const SCAN_MAX: usize = 24;

/// Neighbours of one member on the ring.
#[derive(Debug, Default)]
pub struct Neighbours {
    /// Members to which this one sends heartbeats.
    pub successors: Vec<VmId>,
    /// Members from which this one expects heartbeats.
    pub predecessors: Vec<VmId>,
}

/// Returns the neighbours of `id` among the alive and leaving members.
#[must_use]
pub fn neighbours(view: &View, id: &str) -> Neighbours {
    let ring: Vec<&Peer> = view.iter().filter(|p| p.is_member()).collect();
    let mut found = Neighbours::default();
    for (at, peer) in ring.iter().enumerate() {
        let successors = successors(&ring, at);
        if peer.id == id {
            found.successors = successors.into_iter().map(|p| p.id.clone()).collect();
        } else if successors.iter().any(|p| p.id == id) {
            found.predecessors.push(peer.id.clone());
        }
    }
    found
}

/// Returns the nearest successors in failure domains that differ from the member's own and from each other;
/// where there are too few failure domains, the nearest of any failure domain.
fn successors<'a>(ring: &[&'a Peer], at: usize) -> Vec<&'a Peer> {
    let others = || (1..ring.len().min(SCAN_MAX)).map(|step| ring[(at + step) % ring.len()]);
    let mut chosen: Vec<&Peer> = Vec::with_capacity(SUCCESSORS);
    for peer in others() {
        let is_other_domain = peer.domain != ring[at].domain
            && chosen.iter().all(|other| other.domain != peer.domain);
        if is_other_domain && chosen.len() < SUCCESSORS {
            chosen.push(peer);
        }
        if chosen.len() == SUCCESSORS {
            return chosen;
        }
    }
    for peer in others() {
        if chosen.len() < SUCCESSORS && chosen.iter().all(|other| other.id != peer.id) {
            chosen.push(peer);
        }
    }
    chosen
}
