//! One member's view of all members.

use std::net::SocketAddr;

use lw_types::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::message::{MemberInfo, MemberUpdate};

pub mod ring;

/// Number of buckets into which members are divided, so that a sync transfers only buckets that differ.
pub const BUCKETS: usize = 32;

/// State of a member. Of two states of one incarnation, the later in this order replaces the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// Running; may be selected for new work.
    Alive,
    /// Draining; not selected for new work.
    Leaving,
    /// Unresponsive and not selected; if it is alive, it refutes this with a higher incarnation.
    Suspect,
    /// Suspect for longer than [`crate::Timings::remove_after`]; not selected.
    Removed,
}

/// One member in this VM's view.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Name of the VM.
    pub id: VmId,
    /// Address of its peer interface.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Its highest incarnation received so far.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: MemberState,
    /// Highest accepted configuration version in its messages; 0 if none.
    pub version: ConfigVersion,
    /// Time of the last change of its incarnation or state.
    pub changed_at: Now,
    /// Time at which the last message or indirect acknowledgement of the current incarnation arrived, if any.
    pub last_message: Option<Now>,
    hash: u64,
}

impl Peer {
    /// Whether the member may be selected for new work.
    #[must_use]
    pub fn is_selectable(&self) -> bool {
        self.state == MemberState::Alive
    }

    /// Whether the member is alive or leaving, so that it takes part in the membership protocol.
    #[must_use]
    pub fn is_member(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Leaving)
    }

    /// Returns the update that describes the member; a removed member is described as suspect.
    #[must_use]
    pub fn to_update(&self) -> MemberUpdate {
        match self.state {
            MemberState::Alive => MemberUpdate::Alive(self.to_info()),
            MemberState::Leaving => MemberUpdate::Leaving(self.to_info()),
            MemberState::Suspect | MemberState::Removed => {
                MemberUpdate::Suspect(self.id.clone(), self.incarnation)
            }
        }
    }

    /// Returns its identity and address, as in an update.
    #[must_use]
    pub fn to_info(&self) -> MemberInfo {
        MemberInfo {
            id: self.id.clone(),
            incarnation: self.incarnation,
            address: self.address,
            domain: self.domain.clone(),
        }
    }

    fn bucket(&self) -> usize {
        bucket_of(self.hash)
    }

    fn digest(&self) -> u32 {
        if !self.is_member() {
            return 0;
        }
        let mixed = mix(self.hash ^ mix(self.incarnation << 1 | u64::from(self.is_selectable())));
        u32::try_from(mixed >> 32).unwrap_or_default()
    }
}

/// All members that one VM has on record, with digests that are updated at each change.
#[derive(Debug, Default)]
pub struct View {
    /// Sorted by hash and name, which is the order of the ring.
    peers: Vec<Peer>,
    /// Hashes of `peers` in the same order, stored separately so that a search reads little memory.
    hashes: Vec<u64>,
    buckets: [u32; BUCKETS],
    generation: u64,
}

impl View {
    /// Returns the peer with this name.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Peer> {
        self.find(id).ok().map(|at| &self.peers[at])
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        let hash = xxh3_64(id.as_bytes());
        let first = self.hashes.partition_point(|other| *other < hash);
        let same = self.hashes[first..].iter().take_while(|other| **other == hash).count();
        let found = self.peers[first..first + same].binary_search_by(|p| p.id.as_str().cmp(id));
        found.map(|at| first + at).map_err(|at| first + at)
    }

    fn get_mut(&mut self, id: &str) -> Option<&mut Peer> {
        self.find(id).ok().map(|at| &mut self.peers[at])
    }

    /// Returns the peer at this position on the ring.
    ///
    /// # Panics
    ///
    /// If `position` is not below [`View::len`].
    #[must_use]
    pub fn peer_at(&self, position: usize) -> &Peer {
        &self.peers[position]
    }

    /// Iterates over all peers in the order of the ring, including removed ones.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter()
    }

    /// Number of peers in the view, including removed ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether the view has no peers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Number that increases with each change of a state or incarnation.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Digest of the names, incarnations and states of all alive and leaving members.
    #[must_use]
    pub fn digest(&self) -> u32 {
        self.buckets.iter().fold(0, |all, bucket| all ^ bucket)
    }

    /// Digests of the buckets, by index.
    #[must_use]
    pub fn buckets(&self) -> &[u32; BUCKETS] {
        &self.buckets
    }

    /// Iterates over the alive and leaving members of one bucket.
    pub fn bucket(&self, index: usize) -> impl Iterator<Item = &Peer> {
        self.peers.iter().filter(move |p| p.is_member() && p.bucket() == index)
    }

    /// Applies an update and returns whether the view changed. An older update changes nothing.
    pub fn apply(&mut self, now: Now, update: &MemberUpdate) -> bool {
        let (state, info) = match update {
            MemberUpdate::Alive(info) => (MemberState::Alive, info),
            MemberUpdate::Leaving(info) => (MemberState::Leaving, info),
            MemberUpdate::Suspect(id, incarnation) => {
                return self.set_state(now, id, *incarnation, MemberState::Suspect);
            }
        };
        let position = self.find(&info.id);
        let existing = position.ok().map(|at| &self.peers[at]);
        if existing.is_some_and(|p| (p.incarnation, p.state) >= (info.incarnation, state)) {
            return false;
        }
        let previous_message =
            existing.filter(|p| p.incarnation == info.incarnation).and_then(|p| p.last_message);
        let peer = Peer {
            id: info.id.clone(),
            address: info.address,
            domain: info.domain.clone(),
            incarnation: info.incarnation,
            state,
            version: existing
                .filter(|p| p.incarnation == info.incarnation)
                .map_or(0, |p| p.version),
            changed_at: now,
            last_message: previous_message,
            hash: xxh3_64(info.id.as_bytes()),
        };
        self.toggle_digest(&info.id);
        match position {
            Ok(at) => self.peers[at] = peer,
            Err(at) => {
                self.hashes.insert(at, peer.hash);
                self.peers.insert(at, peer);
            }
        }
        self.toggle_digest(&info.id);
        self.generation += 1;
        true
    }

    /// Sets a later state or incarnation of a member in the view; returns whether the view changed.
    pub fn set_state(
        &mut self,
        now: Now,
        id: &str,
        incarnation: Incarnation,
        state: MemberState,
    ) -> bool {
        let newer = |p: &&Peer| (p.incarnation, p.state) < (incarnation, state);
        if !self.get(id).as_ref().is_some_and(newer) {
            return false;
        }
        self.toggle_digest(id);
        if let Some(peer) = self.get_mut(id) {
            (peer.incarnation, peer.state, peer.changed_at) = (incarnation, state, now);
        }
        self.toggle_digest(id);
        self.generation += 1;
        true
    }

    /// Sets a suspected member to alive again, because this VM was isolated when it raised the suspicion.
    pub fn withdraw_suspicion(&mut self, now: Now, id: &str) {
        self.toggle_digest(id);
        if let Some(peer) = self.get_mut(id).filter(|p| p.state == MemberState::Suspect) {
            (peer.state, peer.changed_at, peer.last_message) = (MemberState::Alive, now, None);
        }
        self.toggle_digest(id);
        self.generation += 1;
    }

    /// Records that a message or indirect acknowledgement of the peer's current incarnation arrived, with the
    /// configuration version that it stated.
    pub fn record_message(
        &mut self,
        now: Now,
        id: &str,
        incarnation: Incarnation,
        version: ConfigVersion,
    ) {
        if let Some(peer) = self.get_mut(id).filter(|p| p.incarnation == incarnation) {
            peer.last_message = Some(now);
            peer.version = peer.version.max(version);
        }
    }

    /// Removes a peer from the view.
    pub fn remove(&mut self, id: &str) {
        self.toggle_digest(id);
        if let Ok(at) = self.find(id) {
            self.peers.remove(at);
            self.hashes.remove(at);
        }
        self.generation += 1;
    }

    /// Adds the digest of the peer to its bucket, or takes it out again: XOR does both.
    fn toggle_digest(&mut self, id: &str) {
        if let Some((bucket, digest)) = self.get(id).map(|p| (p.bucket(), p.digest())) {
            self.buckets[bucket] ^= digest;
        }
    }

    /// Returns the `count` highest-ranked selectable members for `key` by rendezvous hashing.
    pub fn owners(&self, key: &[u8], count: usize) -> Vec<&Peer> {
        self.ranked(key, count, Peer::is_selectable)
    }

    /// Returns the `count` highest-ranked members for `key` among those for which `allowed` is true.
    pub fn ranked(&self, key: &[u8], count: usize, allowed: impl Fn(&Peer) -> bool) -> Vec<&Peer> {
        let key = xxh3_64_with_seed(key, RANK_SEED);
        let mut ranks: Vec<_> =
            self.peers.iter().filter(|p| allowed(p)).map(|p| (mix(p.hash ^ key), p)).collect();
        let descending = |a: &(u64, &Peer), b: &(u64, &Peer)| b.0.cmp(&a.0);
        if count < ranks.len() && count > 0 {
            ranks.select_nth_unstable_by(count - 1, descending);
        }
        ranks.truncate(count);
        ranks.sort_unstable_by(descending);
        ranks.into_iter().map(|(_, p)| p).collect()
    }
}

/// Seed that makes ranks independent of positions on the ring, which use the unseeded hash.
const RANK_SEED: u64 = 0x7261_6e6b;

fn bucket_of(hash: u64) -> usize {
    usize::try_from(hash % BUCKETS as u64).unwrap_or_default()
}

/// Mixes the bits with the finalizer of `SplitMix64`.
fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
