//! The view that one member has of all members.

use std::net::SocketAddr;

use lw_types::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::message::{MemberInfo, MemberUpdate};

pub mod ring;

/// Buckets in which two views are compared.
pub const BUCKETS: usize = 32;

/// State of a member. Of two states of one incarnation the later in this order is right.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// Takes part and may be selected.
    Alive,
    /// Drains its work and is not selected.
    Leaving,
    /// Silent; not selected, and refutes this with a higher incarnation if it lives.
    Suspect,
    /// Silent for long; not selected.
    Removed,
}

/// One member as this VM sees it.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Name of the VM.
    pub id: VmId,
    /// Address of its peer interface.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Its highest known incarnation.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: MemberState,
    /// Accepted configuration version that it named last; 0 if none.
    pub version: ConfigVersion,
    /// Time of the last change of incarnation or state.
    pub changed_at: Now,
    /// Time of the last sign of life of the current incarnation, if there was one.
    pub last_message: Option<Now>,
    hash: u64,
}

impl Peer {
    /// Whether it may be selected for new work.
    #[must_use]
    pub fn is_selectable(&self) -> bool {
        self.state == MemberState::Alive
    }

    /// Whether it takes part in the protocol: alive or leaving.
    #[must_use]
    pub fn is_member(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Leaving)
    }

    /// The news that describes it; a removed member is described as suspect.
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

    /// Its card.
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

/// All known members, with digests that are kept up to date at each change.
#[derive(Debug, Default)]
pub struct View {
    /// Sorted by hash and name, the order of the ring.
    peers: Vec<Peer>,
    /// Hashes of `peers`, apart from them so that a search touches little memory.
    hashes: Vec<u64>,
    buckets: [u32; BUCKETS],
    generation: u64,
}

impl View {
    /// The peer of this name.
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

    /// The peer at this position on the ring.
    #[must_use]
    pub fn at(&self, position: usize) -> &Peer {
        &self.peers[position]
    }

    /// All peers in the order of the ring, removed ones included.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter()
    }

    /// Number of known peers, removed ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no peer is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Number that grows with each change of a state or incarnation.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Digest of the names, incarnations and states of the alive and leaving members.
    #[must_use]
    pub fn digest(&self) -> u32 {
        self.buckets.iter().fold(0, |all, bucket| all ^ bucket)
    }

    /// Digests of the buckets.
    #[must_use]
    pub fn buckets(&self) -> &[u32; BUCKETS] {
        &self.buckets
    }

    /// Alive and leaving members of one bucket.
    pub fn bucket(&self, index: usize) -> impl Iterator<Item = &Peer> {
        self.peers.iter().filter(move |p| p.is_member() && p.bucket() == index)
    }

    /// Applies news; returns whether anything changed. Older news changes nothing.
    pub fn apply(&mut self, now: Now, news: &MemberUpdate) -> bool {
        let (state, card) = match news {
            MemberUpdate::Alive(card) => (MemberState::Alive, card),
            MemberUpdate::Leaving(card) => (MemberState::Leaving, card),
            MemberUpdate::Suspect(id, incarnation) => {
                return self.set(now, id, *incarnation, MemberState::Suspect);
            }
        };
        let position = self.find(&card.id);
        let known = position.ok().map(|at| &self.peers[at]);
        if known.is_some_and(|p| (p.incarnation, p.state) >= (card.incarnation, state)) {
            return false;
        }
        let kept = known.filter(|p| p.incarnation == card.incarnation).and_then(|p| p.last_message);
        let peer = Peer {
            id: card.id.clone(),
            address: card.address,
            domain: card.domain.clone(),
            incarnation: card.incarnation,
            state,
            version: known.filter(|p| p.incarnation == card.incarnation).map_or(0, |p| p.version),
            changed_at: now,
            last_message: kept,
            hash: xxh3_64(card.id.as_bytes()),
        };
        self.toggle(&card.id);
        match position {
            Ok(at) => self.peers[at] = peer,
            Err(at) => {
                self.hashes.insert(at, peer.hash);
                self.peers.insert(at, peer);
            }
        }
        self.toggle(&card.id);
        self.generation += 1;
        true
    }

    /// Moves a known member to a later state of this incarnation; returns whether anything changed.
    pub fn set(
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
        self.toggle(id);
        if let Some(peer) = self.get_mut(id) {
            (peer.incarnation, peer.state, peer.changed_at) = (incarnation, state, now);
        }
        self.toggle(id);
        self.generation += 1;
        true
    }

    /// Takes back the suspicion of a member that this VM raised while it was cut off itself.
    pub fn withdraw(&mut self, now: Now, id: &str) {
        self.toggle(id);
        if let Some(peer) = self.get_mut(id).filter(|p| p.state == MemberState::Suspect) {
            (peer.state, peer.changed_at, peer.last_message) = (MemberState::Alive, now, None);
        }
        self.toggle(id);
        self.generation += 1;
    }

    /// Records a sign of life of the known incarnation and the configuration version that it named.
    pub fn heard(&mut self, now: Now, id: &str, incarnation: Incarnation, version: ConfigVersion) {
        if let Some(peer) = self.get_mut(id).filter(|p| p.incarnation == incarnation) {
            peer.last_message = Some(now);
            peer.version = peer.version.max(version);
        }
    }

    /// Drops a peer.
    pub fn forget(&mut self, id: &str) {
        self.toggle(id);
        if let Ok(at) = self.find(id) {
            self.peers.remove(at);
            self.hashes.remove(at);
        }
        self.generation += 1;
    }

    fn toggle(&mut self, id: &str) {
        if let Some((bucket, digest)) = self.get(id).map(|p| (p.bucket(), p.digest())) {
            self.buckets[bucket] ^= digest;
        }
    }

    /// The `count` highest-ranked selectable members for `key` by rendezvous hashing.
    pub fn owners(&self, key: &[u8], count: usize) -> Vec<&Peer> {
        self.ranked(key, count, Peer::is_selectable)
    }

    /// The `count` highest-ranked members for `key` among those that `allowed` accepts.
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

/// Separates ranks from positions on the ring, which use the unseeded hash.
const RANK_SEED: u64 = 0x7261_6e6b;

fn bucket_of(hash: u64) -> usize {
    usize::try_from(hash % BUCKETS as u64).unwrap_or_default()
}

/// Finalizer of `SplitMix64`.
fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
