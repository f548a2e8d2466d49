//! Mapping of keys to buckets, and of buckets to their owners and store keys.

use lw_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::record::ClaimKey;

/// Returns the bucket of a key, out of `buckets`.
///
/// ```
/// use lw_claim::{bucket::bucket_of, record::ClaimKey};
/// assert!(bucket_of(&ClaimKey::new("station", "desk", "k1"), 16) < 16);
/// ```
#[must_use]
pub fn bucket_of(key: &ClaimKey, buckets: u32) -> u32 {
    let hash = xxh3_64_with_seed(&key.0, 0) % u64::from(buckets.max(1));
    u32::try_from(hash).unwrap_or(0)
}

/// Returns the owner of a bucket by rendezvous hashing over the members. VMs with different views may
/// disagree; this leads to conflicting compare-and-swaps, but never to a second run of a call.
///
/// ```
/// let vms = ["a".to_owned(), "b".to_owned()];
/// assert!(lw_claim::bucket::owner_of(3, &vms).is_some());
/// assert!(lw_claim::bucket::owner_of(3, &[] as &[String]).is_none());
/// ```
#[must_use]
pub fn owner_of<'a>(bucket: u32, vms: impl IntoIterator<Item = &'a VmId>) -> Option<&'a VmId> {
    vms.into_iter().max_by_key(|vm| (xxh3_64_with_seed(vm.as_bytes(), u64::from(bucket)), *vm))
}

/// Returns the store key of a bucket or segment by number. Segments are numbered after the buckets.
///
/// ```
/// assert_eq!(lw_claim::bucket::store_key(3), "claims/3");
/// ```
#[must_use]
pub fn store_key(bucket: u32) -> String {
    format!("claims/{bucket}")
}

/// Returns the number of a segment slot of a bucket, for [`store_key`].
pub(crate) fn segment_number(bucket: u32, buckets: u32, slot: u32) -> u32 {
    bucket + buckets * (1 + slot)
}
