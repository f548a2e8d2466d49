//! The ring of members, on which each sends heartbeats to a few successors.

use lw_types::prelude::*;

use super::{Peer, View};

/// Heartbeat targets of each member. Two in different failure domains still leave one observer when a
/// whole failure domain is lost.
pub const SUCCESSORS: usize = 2;

/// Members passed over at most in the search for another failure domain; bounds the cost of a change.
const WALK_MAX: usize = 24;

/// Neighbours of one member on the ring.
#[derive(Debug, Default)]
pub struct Neighbours {
    /// Members that this one sends heartbeats to.
    pub successors: Vec<VmId>,
    /// Members whose heartbeats this one expects.
    pub watched: Vec<VmId>,
}

/// The neighbours of `id` among the alive and leaving members.
#[must_use]
pub fn neighbours(view: &View, id: &str) -> Neighbours {
    let ring: Vec<&Peer> = view.iter().filter(|p| p.is_member()).collect();
    let mut found = Neighbours::default();
    for (at, peer) in ring.iter().enumerate() {
        let successors = successors(&ring, at);
        if peer.id == id {
            found.successors = successors.into_iter().map(|p| p.id.clone()).collect();
        } else if successors.iter().any(|p| p.id == id) {
            found.watched.push(peer.id.clone());
        }
    }
    found
}

/// The nearest successors in failure domains other than the member's own and each other's; the nearest of
/// all where there are too few failure domains.
fn successors<'a>(ring: &[&'a Peer], at: usize) -> Vec<&'a Peer> {
    let others = || (1..ring.len().min(WALK_MAX)).map(|step| ring[(at + step) % ring.len()]);
    let mut chosen: Vec<&Peer> = Vec::with_capacity(SUCCESSORS);
    for peer in others() {
        let elsewhere = peer.domain != ring[at].domain
            && chosen.iter().all(|other| other.domain != peer.domain);
        if elsewhere && chosen.len() < SUCCESSORS {
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
