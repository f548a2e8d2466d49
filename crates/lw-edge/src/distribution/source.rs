//! Selects the source from which a VM gets changes of the store: a few VMs of each failure domain follow the store, the
//! others request the changes from these. Those with the widest links and the most processor time are the followers, since
//! each sends every change to half of the others. VMs that have the same list of VMs agree on them without a message.

use std::time::Duration;

use lw_types::prelude::*;

/// Number of VMs of each failure domain that follow the store. One of them may be killed, frozen or disconnected.
pub const FOLLOWERS: usize = 2;
/// Number of other VMs from which a VM may request changes when the store turns it away: some of them may be turned away
/// too.
const SOURCES_WITHOUT_STORE: usize = 8;
/// Fewest VMs over all failure domains at which only the followers watch the store. With fewer VMs all of them do,
/// since their watches together cost less than 2 % of the store's reads.
pub const FOLLOWER_ROLE_MIN_VMS: usize = 20;
/// Age up to which the view of another VM counts as fresh, as a fraction of the time in which a change must be known. The rest
/// of that time is for finding another source.
const FRESH_AGE_MAX_FRACTION: f64 = 0.5;
/// Time for which no requests are sent to a VM that did not reply, or whose view is too old or incomplete.
const AVOID_TIME: Duration = Duration::from_secs(2);
/// Time between two attempts at the store by a VM that is not a follower. During an outage of the store all VMs make
/// such attempts.
const STORE_RETRY_PERIOD: Duration = Duration::from_secs(1);
/// Delay of the first of these attempts for each VM of the failure domain with a higher rank. The VMs try one after the
/// other, so that later ones can get the changes from the first that succeeds.
const RANK_DELAY: Duration = Duration::from_millis(20);

/// Shortest and longest time for which a VM without any source waits before it selects one again. Another VM may be
/// usable again by then.
const NO_SOURCE_WAIT_MIN: Duration = Duration::from_millis(10);
const NO_SOURCE_WAIT_MAX: Duration = Duration::from_millis(50);

/// Where a VM gets changes next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// From the store.
    Store,
    /// From another VM.
    Vm(VmId),
    /// From nowhere for this time.
    Wait(Duration),
}

/// A VM that may follow the store.
///
/// ```
/// use lw_edge::distribution::source::Candidate;
/// let narrow = Candidate { vm: "vm-1".into(), capacity: 120 };
/// let wide = Candidate { vm: "vm-2".into(), capacity: 10_000 };
/// assert!(wide.rank() > narrow.rank());
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The VM.
    pub vm: VmId,
    /// How much it can send to others, see [`lw_catalog::VmSettings::capacity`].
    pub capacity: u32,
}

impl Candidate {
    /// Returns the rank in the failure domain; the VMs with the highest ranks are the followers. Capacities of the same order of
    /// magnitude count as equal, so that the roles do not move for small differences.
    #[must_use]
    pub fn rank(&self) -> (u32, u64) {
        let hash = xxhash_rust::xxh3::xxh3_64(self.vm.as_bytes());
        (self.capacity.checked_ilog2().unwrap_or_default(), hash)
    }
}

/// Returns the number of other VMs of the failure domain with a higher rank.
fn higher_ranked(local: &Candidate, same_domain: &[Candidate]) -> usize {
    let rank = local.rank();
    same_domain.iter().filter(|vm| vm.vm != local.vm && vm.rank() > rank).count()
}

/// Selects the next source of one VM from the results of its previous attempts.
#[derive(Debug, Default)]
pub struct SourceSelector {
    /// VMs to which no requests are sent, each until a time.
    avoided: Vec<(VmId, Now)>,
    /// Earliest time of the next attempt at the store. Zero if the last attempt succeeded.
    store_retry_at: Now,
    /// Since when requests to other VMs have failed.
    without_peer_since: Option<Now>,
    /// Whether the last call to the store failed.
    is_without_store: bool,
}

impl SourceSelector {
    /// Returns the next source of the VM `local`. `same_domain` lists the VMs of its failure domain; `fleet_size` is
    /// the number of VMs in all failure domains.
    #[must_use]
    pub fn select(
        &self,
        now: Now,
        local: &Candidate,
        same_domain: &[Candidate],
        fleet_size: usize,
    ) -> Source {
        let mut ranked: Vec<_> = same_domain.iter().filter(|vm| vm.vm != local.vm).collect();
        ranked.sort_by_cached_key(|vm| std::cmp::Reverse(vm.rank()));
        let higher_ranked = higher_ranked(local, same_domain);
        let ranked: Vec<&VmId> = ranked.into_iter().map(|vm| &vm.vm).collect();
        let is_usable = |vm: &&&VmId| {
            !self.avoided.iter().any(|(avoided, until)| avoided == **vm && now < *until)
        };
        // Half of the VMs prefer the first follower, half the second.
        let mut followers: Vec<&VmId> = ranked.iter().copied().take(FOLLOWERS).collect();
        if local.rank().1.is_multiple_of(2) {
            followers.reverse();
        }
        let to_source = |vm: &&VmId| Source::Vm((*vm).clone());
        let other = followers.iter().find(is_usable).map(to_source);
        // A VM without the store and both followers looks for others that have changes.
        let further = ranked.iter().take(SOURCES_WITHOUT_STORE).find(is_usable).map(to_source);
        let further = further.filter(|_| self.has_store_failed());
        if Self::is_follower(local, same_domain, fleet_size) {
            return if now >= self.store_retry_at {
                Source::Store
            } else {
                other.or(further).unwrap_or(self.wait(now))
            };
        }
        if let Some(other) = other {
            return other;
        }
        let delay = RANK_DELAY * u32::try_from(higher_ranked).unwrap_or(u32::MAX);
        let first_attempt_at =
            self.without_peer_since.map_or(now, |since| since + delay.min(STORE_RETRY_PERIOD));
        if now >= self.store_retry_at.max(first_attempt_at) {
            Source::Store
        } else {
            further.unwrap_or(self.wait(now))
        }
    }

    /// Whether the last call to the store failed.
    #[must_use]
    pub fn has_store_failed(&self) -> bool {
        self.store_retry_at > Now::ZERO
    }

    /// Whether this VM offers changes to others. It offers none if it cannot get further ones itself, since the others may
    /// be able to get them elsewhere.
    #[must_use]
    pub fn offers_changes(&self) -> bool {
        !self.is_without_store
    }

    /// Returns how long another VM may hold a request: for a follower until its next attempt at the store, not at all after
    /// another VM did not reply, and at most `max`.
    #[must_use]
    pub fn request_wait(&self, now: Now, is_follower: bool, max: Duration) -> Duration {
        match self.without_peer_since {
            _ if is_follower => self.store_retry_at.saturating_sub(now).min(max),
            Some(_) => Duration::ZERO,
            None => max,
        }
    }

    fn wait(&self, now: Now) -> Source {
        Source::Wait(
            self.store_retry_at.saturating_sub(now).clamp(NO_SOURCE_WAIT_MIN, NO_SOURCE_WAIT_MAX),
        )
    }

    /// Records that another VM replied, after which this VM's view has this age. `known_within` is the time in which a change
    /// must be known. A view that is too old counts as a failure, except at a follower whose calls to
    /// the store fail: it has no better source.
    pub fn record_reply(
        &mut self,
        now: Now,
        vm: &str,
        is_follower: bool,
        age: Option<Duration>,
        known_within: Duration,
    ) {
        if is_follower || age.is_some_and(|age| age < known_within.mul_f64(FRESH_AGE_MAX_FRACTION))
        {
            self.without_peer_since = None;
            self.avoided.retain(|(avoided, until)| avoided != vm && now < *until);
        } else {
            self.record_failure(now, vm);
        }
    }

    /// Records that another VM did not reply with changes; it gets no further requests for a while.
    pub fn record_failure(&mut self, now: Now, vm: &str) {
        self.avoided.retain(|(avoided, until)| avoided != vm && now < *until);
        self.avoided.push((vm.to_owned(), now + AVOID_TIME));
        self.without_peer_since.get_or_insert(now);
    }

    /// Records that a call to the store succeeded.
    pub fn record_store_success(&mut self) {
        self.store_retry_at = Now::ZERO;
        self.is_without_store = false;
    }

    /// Records that a call to the store failed; a follower tries again after `pause`, other VMs later.
    pub fn record_store_failure(&mut self, now: Now, is_follower: bool, pause: Duration) {
        self.is_without_store = true;
        self.store_retry_at = now + if is_follower { pause } else { STORE_RETRY_PERIOD };
    }

    /// Whether the VM `local` is to follow the store.
    #[must_use]
    pub fn is_follower(local: &Candidate, same_domain: &[Candidate], fleet_size: usize) -> bool {
        fleet_size < FOLLOWER_ROLE_MIN_VMS || higher_ranked(local, same_domain) < FOLLOWERS
    }
}
