//! From whom a VM hears of changes: a few VMs of each failure domain follow the store, the others ask them. All VMs
//! agree on who follows without a message, as far as they know the same VMs.

use std::time::Duration;

use lw_types::prelude::*;

/// VMs of a failure domain that follow the store. One may be killed, frozen or cut off.
pub const FOLLOWERS: usize = 2;
/// Fewest VMs with which only some follow the store. Below that, all watches together cost less than 2 % of the store's
/// reads.
pub const FLEET_MIN_VMS: usize = 20;
/// Part of the time in which a revoked key must be refused up to which the knowledge of another VM is fresh. The rest,
/// up to the part at which keys are not used any more, is for finding another source.
const FRESH_PART: f64 = 0.5;
/// Time for which a VM that gave no answer, or knows too little, is not asked.
const AVOID_TIME: Duration = Duration::from_secs(2);
/// Time between two tries at the store of a VM that others should serve. When the store answers nobody, all of them try.
const STORE_PERIOD: Duration = Duration::from_secs(1);
/// Delay before the first of these tries, for each VM of the failure domain that comes before: they try one after the
/// other, and those that come later hear from the first.
const RANK_DELAY: Duration = Duration::from_millis(20);

/// Time for which a VM without any source waits before it looks again: another VM may be asked once more by then.
const WAIT_MIN: Duration = Duration::from_millis(10);
const WAIT_MAX: Duration = Duration::from_millis(50);

/// Where a VM looks for changes next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// At the store.
    Store,
    /// At another VM.
    Vm(VmId),
    /// Nowhere for this time.
    Wait(Duration),
}

/// What one VM remembers about its sources.
#[derive(Debug, Default)]
pub struct SourceSelector {
    /// VMs that are not asked until a time.
    avoided: Vec<(VmId, Now)>,
    /// The store is not tried before this time.
    store_at: Now,
    /// Since when no other VM serves this one.
    alone_since: Option<Now>,
}

/// Rank of a VM among the followers of its failure domain; the highest follow.
fn rank(vm: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(vm.as_bytes())
}

impl SourceSelector {
    /// Where the VM `own` looks next. `near` are the VMs of its failure domain, `all` is their number over all domains.
    #[must_use]
    pub fn next(&self, now: Now, own: &str, near: &[VmId], all: usize) -> Source {
        let mut ranked: Vec<&VmId> = near.iter().filter(|vm| *vm != own).collect();
        ranked.sort_by_key(|vm| std::cmp::Reverse(rank(vm)));
        let place = ranked.iter().filter(|vm| rank(vm) > rank(own)).count();
        let is_usable =
            |vm: &&&VmId| !self.avoided.iter().any(|(a, until)| a == **vm && now < *until);
        // Half of the VMs prefer the one follower, half the other.
        let mut others: Vec<&VmId> = ranked.into_iter().take(FOLLOWERS).collect();
        if rank(own).is_multiple_of(2) {
            others.reverse();
        }
        let other = others.iter().find(is_usable).map(|vm| Source::Vm((*vm).clone()));
        if Self::is_follower(own, near, all) {
            return if now >= self.store_at {
                Source::Store
            } else {
                other.unwrap_or(self.wait(now))
            };
        }
        if let Some(other) = other {
            return other;
        }
        let delay = RANK_DELAY * u32::try_from(place).unwrap_or(u32::MAX);
        let first = self.alone_since.map_or(now, |since| since + delay.min(STORE_PERIOD));
        if now >= self.store_at.max(first) { Source::Store } else { self.wait(now) }
    }

    /// Whether the last call to the store failed.
    #[must_use]
    pub fn is_store_lost(&self) -> bool {
        self.store_at > Now::ZERO
    }

    /// How long another VM may hold a question: until the store is tried again, and at most `most`.
    #[must_use]
    pub fn request_wait(&self, now: Now, is_follower: bool, most: Duration) -> Duration {
        if is_follower { self.store_at.saturating_sub(now).min(most) } else { most }
    }

    fn wait(&self, now: Now) -> Source {
        Source::Wait(self.store_at.saturating_sub(now).clamp(WAIT_MIN, WAIT_MAX))
    }

    /// Another VM answered, and this VM's knowledge is now of this age. `revoke` is the time in which a revoked key
    /// must be refused. A follower that the store turns away has no better source, however old the knowledge is.
    pub fn answered(
        &mut self,
        now: Now,
        vm: &str,
        is_follower: bool,
        age: Option<Duration>,
        revoke: Duration,
    ) {
        if is_follower || age.is_some_and(|age| age < revoke.mul_f64(FRESH_PART)) {
            self.alone_since = None;
            self.avoided.retain(|(avoided, until)| avoided != vm && now < *until);
        } else {
            self.failed(now, vm);
        }
    }

    /// Another VM gave no answer.
    pub fn failed(&mut self, now: Now, vm: &str) {
        self.avoided.retain(|(avoided, until)| avoided != vm && now < *until);
        self.avoided.push((vm.to_owned(), now + AVOID_TIME));
        self.alone_since.get_or_insert(now);
    }

    /// The store answered.
    pub fn store_answered(&mut self) {
        self.store_at = Now::ZERO;
    }

    /// The store gave no answer; it is tried again after `pause` by a follower, and later by the others.
    pub fn store_failed(&mut self, now: Now, is_follower: bool, pause: Duration) {
        self.store_at = now + if is_follower { pause } else { STORE_PERIOD };
    }

    /// Whether `own` is to follow the store.
    #[must_use]
    pub fn is_follower(own: &str, near: &[VmId], all: usize) -> bool {
        let before = near.iter().filter(|vm| *vm != own && rank(vm) > rank(own)).count();
        all < FLEET_MIN_VMS || before < FOLLOWERS
    }
}
