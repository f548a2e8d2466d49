//! Sets of segments that are quarantined together.

use std::collections::BTreeSet;

use lw_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// Segments that are quarantined together: a prompt is refused if it holds all of them.
///
/// ```
/// use lw_quarantine::SegmentSet;
/// let set = SegmentSet::from_iter([3, 1]);
/// assert!(set.is_within(&[1, 2, 3]));
/// assert!(!set.is_within(&[1, 2]));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentSet(BTreeSet<SegmentId>);

impl FromIterator<SegmentId> for SegmentSet {
    fn from_iter<I: IntoIterator<Item = SegmentId>>(segments: I) -> Self {
        Self(segments.into_iter().collect())
    }
}

impl SegmentSet {
    /// Whether a prompt with these segments holds the whole set.
    #[must_use]
    pub fn is_within(&self, prompt: &[SegmentId]) -> bool {
        !self.0.is_empty() && self.0.iter().all(|segment| prompt.contains(segment))
    }

    /// Whether each prompt that holds `other` also holds this set.
    #[must_use]
    pub fn covers(&self, other: &Self) -> bool {
        !self.0.is_empty() && self.0.is_subset(&other.0)
    }

    /// Whether the set contains a segment.
    #[must_use]
    pub fn contains(&self, segment: SegmentId) -> bool {
        self.0.contains(&segment)
    }

    /// Returns the only segment of the set, if it has exactly one.
    #[must_use]
    pub fn single(&self) -> Option<SegmentId> {
        if self.0.len() == 1 { self.0.first().copied() } else { None }
    }

    /// Returns the number of segments.
    #[must_use]
    #[expect(clippy::len_without_is_empty, reason = "no set in use is empty")]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the segments in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = SegmentId> {
        self.0.iter().copied()
    }

    /// Returns a hash that is the same at all VMs.
    #[must_use]
    pub fn stable_hash(&self) -> u64 {
        let bytes: Vec<u8> = self.iter().flat_map(SegmentId::to_be_bytes).collect();
        xxh3_64(&bytes)
    }
}

impl std::fmt::Display for SegmentSet {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (n, segment) in self.iter().enumerate() {
            let separator = if n == 0 { "" } else { "," };
            write!(f, "{separator}{segment:x}")?;
        }
        Ok(())
    }
}
