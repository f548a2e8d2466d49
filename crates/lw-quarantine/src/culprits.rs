//! Which segments explain the crashes.
//!
//! A segment that crashes each engine that begins to answer on it is in flight at each crash that it causes, in different
//! prompts, and has no sound answers. Sound segments are in flight there by chance: they are seen at fewer crashes, in one
//! prompt that is sent again and again, or have sound answers. Segments that are always in flight together cannot be
//! distinguished and are blamed as a set.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use lw_types::prelude::*;

use crate::{
    SegmentSet,
    evidence::{CRASHES_MAX, Crash},
};

/// Crashes from which on a segment without sound answers is blamed, if it was in different prompts.
const CRASHES_MIN: usize = 3;
/// Crashes from which on a segment is blamed that had sound answers before the first of them: it may have become deadly
/// with other weights or software.
pub(crate) const CRASHES_MIN_ONCE_SOUND: usize = 5;
/// Crashes from which on the segment in the fewest prompts is blamed if several explain the crashes equally well.
const CRASHES_CERTAIN: usize = 5;
/// Crashes of those that must be left without the prompt that was at most of them: a sound request can be sent to one
/// failing engine after the other.
const CRASHES_MIN_OTHER_PROMPTS: usize = 2;
/// Crashes since the last sound answer from which on a segment is blamed although it was in one prompt: more than the
/// attempts of one request and of its caller's retry.
const CRASHES_MIN_ONE_PROMPT: u32 = 5;
/// Crashes from which on copies of a prompt are sent one at a time. Those at the same moment count too, since copies may
/// be sent together.
const CRASHES_MIN_REPEATED: usize = 3;
/// Crashes within this time count as one: a power failure or a network fault ends several engines at once, whereas a
/// request crashes one engine after the other.
const SAME_CAUSE_TIME: Duration = Duration::from_millis(30);

/// Segments that explain crashes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Culprit {
    /// The segments.
    pub segments: SegmentSet,
    /// Crashes that they explain.
    pub crashes: usize,
    /// When the first of these crashes happened.
    pub since: Now,
}

/// What crashes show about the prompts that were in flight.
#[derive(Debug)]
pub struct Findings {
    /// Segments that explain crashes, those that explain most first.
    pub culprits: Vec<Culprit>,
    /// Prompts that were at several crashes as a whole since answers on all their segments were sound.
    pub repeated: BTreeMap<Vec<SegmentId>, Repeated>,
}

/// Crashes with a prompt.
#[derive(Debug, Clone, Copy)]
pub struct Repeated {
    /// When the crash happened from which on single copies are sent.
    pub since: Now,
    /// When the last one happened.
    pub last: Now,
}

/// A suspect of a crash: index of the crash, and index of the suspect there.
type Place = (usize, usize);

/// Returns what the crashes show. `sound_at` returns when the latest sound answer on a segment was received, and `known`
/// contains the sets that are quarantined already. Only the last 64 crashes count.
#[must_use]
pub fn find(
    crashes: &[&Crash],
    sound_at: impl Fn(SegmentId) -> Option<Now>,
    known: &[&SegmentSet],
) -> Findings {
    let crashes = &crashes[crashes.len().saturating_sub(CRASHES_MAX)..];
    let crashes: Vec<_> = crashes.iter().map(|crash| CrashView::new(crash, known)).collect();
    Findings {
        culprits: find_culprits(&crashes, &sound_at),
        repeated: find_repeated(&crashes, &sound_at),
    }
}

fn find_culprits(
    crashes: &[CrashView<'_>],
    sound_at: &impl Fn(SegmentId) -> Option<Now>,
) -> Vec<Culprit> {
    if crashes.len() < CRASHES_MIN {
        return Vec::new();
    }
    let mut places: BTreeMap<SegmentId, Vec<Place>> = BTreeMap::new();
    for (n, crash) in crashes.iter().enumerate() {
        for (m, segments) in crash.suspects.iter().enumerate() {
            for segment in *segments {
                let is_sound = sound_at(*segment).is_some_and(|at| at >= crash.at);
                let places = places.entry(*segment).or_default();
                if !is_sound && crash.may_be_due_to(*segment) && places.last() != Some(&(n, m)) {
                    places.push((n, m));
                }
            }
        }
    }
    let mut found = Vec::new();
    let is_once_sound = |segment: SegmentId| sound_at(segment).is_some();
    for once_sound in [false, true] {
        if once_sound {
            drop_undecided(crashes, &mut places, &is_once_sound);
        }
        while let Some(culprit) = best_explanation(crashes, &places, &is_once_sound, once_sound) {
            let is_explained = |(n, _): &Place| crashes[*n].holds(&culprit.segments);
            for places in places.values_mut() {
                places.retain(|place| !is_explained(place));
            }
            found.push(culprit);
        }
    }
    found
}

/// Returns the prompts that were at several crashes as a whole since answers on all their segments were sound. Crashes that a
/// quarantined set explains do not count.
fn find_repeated(
    crashes: &[CrashView<'_>],
    sound_at: &impl Fn(SegmentId) -> Option<Now>,
) -> BTreeMap<Vec<SegmentId>, Repeated> {
    let mut times: BTreeMap<&[SegmentId], Vec<Now>> = BTreeMap::new();
    for crash in crashes.iter().filter(|crash| crash.known_causes.is_empty()) {
        let suspects: BTreeSet<_> = crash.suspects.iter().copied().collect();
        let is_unsound =
            |prompt: &&[SegmentId]| prompt.iter().any(|part| sound_at(*part) < Some(crash.at));
        for prompt in suspects.into_iter().filter(is_unsound) {
            times.entry(prompt).or_default().push(crash.at);
        }
    }
    let repeated = times.into_iter().filter_map(|(prompt, mut times)| {
        times.sort();
        let since = times.get(CRASHES_MIN_REPEATED - 1)?;
        let last = times.last()?;
        Some((prompt.to_vec(), Repeated { since: *since, last: *last }))
    });
    repeated.collect()
}

/// Drops the crashes at which a segment without sound answers was that was at another crash too, in another prompt:
/// with the next crash it may explain them.
fn drop_undecided(
    crashes: &[CrashView<'_>],
    places: &mut BTreeMap<SegmentId, Vec<Place>>,
    is_once_sound: &impl Fn(SegmentId) -> bool,
) {
    let is_undecided = |(segment, places): &(&SegmentId, &Vec<Place>)| {
        !is_once_sound(**segment)
            && count_causes(crashes, places) > 1
            && by_prompt(crashes, places).len() > 1
    };
    let undecided = places.iter().filter(is_undecided).flat_map(|(_, places)| places);
    let undecided: BTreeSet<usize> = undecided.map(|(n, _)| *n).collect();
    for places in places.values_mut() {
        places.retain(|(n, _)| !undecided.contains(n));
    }
}

/// A crash with its suspects in a fixed order.
struct CrashView<'a> {
    at: Now,
    suspects: Vec<&'a [SegmentId]>,
    /// Quarantined sets that one of the suspects holds, which explains the crash.
    known_causes: Vec<&'a SegmentSet>,
}

impl<'a> CrashView<'a> {
    fn new(crash: &'a Crash, known: &[&'a SegmentSet]) -> Self {
        let suspects: Vec<_> = crash.suspects().collect();
        let is_cause = |set: &&SegmentSet| suspects.iter().any(|segments| set.is_within(segments));
        let known_causes = known.iter().copied().filter(is_cause).collect();
        Self { at: crash.at, suspects, known_causes }
    }

    fn holds(&self, set: &SegmentSet) -> bool {
        self.suspects.iter().any(|segments| set.is_within(segments))
    }

    fn may_be_due_to(&self, segment: SegmentId) -> bool {
        self.known_causes.is_empty() || self.known_causes.iter().any(|set| set.contains(segment))
    }
}

/// A segment that may explain crashes.
struct Candidate<'a> {
    segment: SegmentId,
    places: &'a [Place],
    /// Crashes at which it was, one bit each.
    crashes: u64,
    /// Number of these crashes, counting those at the same moment once.
    causes: usize,
    /// Different prompts with it.
    prompts: usize,
    /// Crashes that are left without the prompt that was at most of them.
    other_causes: usize,
    is_once_sound: bool,
}

impl Candidate<'_> {
    fn is_suspicious_enough(&self) -> bool {
        // Copies of a prompt may be sent together and crash several engines at the same moment.
        let is_at_many = self.crashes.count_ones() >= CRASHES_MIN_ONE_PROMPT;
        let causes_min = match (self.other_causes, self.is_once_sound) {
            (..CRASHES_MIN_OTHER_PROMPTS, _) if is_at_many => CRASHES_MIN,
            (..CRASHES_MIN_OTHER_PROMPTS, _) => return false,
            (_, true) => CRASHES_MIN_ONCE_SOUND,
            (_, false) => CRASHES_MIN,
        };
        self.causes >= causes_min
    }

    /// Returns the number of crashes for which it is blamed: in one prompt also those at the same moment, so that sound
    /// answers before the first one do not clear it.
    fn evidence(&self) -> usize {
        match self.other_causes {
            ..CRASHES_MIN_OTHER_PROMPTS => self.crashes.count_ones() as usize,
            _ => self.causes,
        }
    }

    /// Whether `other` explains the same crashes at least as well, so that this one must not be blamed yet.
    fn has_rival(&self, other: &Self) -> bool {
        if other.is_once_sound || other.places == self.places || other.causes < self.causes {
            return false;
        }
        if self.crashes == other.crashes {
            let is_more_specific = (2..self.prompts).contains(&other.prompts);
            return self.is_once_sound || self.causes < CRASHES_CERTAIN || is_more_specific;
        }
        (self.crashes & other.crashes).count_ones() * 2 >= self.crashes.count_ones()
    }
}

/// Returns the segments that explain most of the crashes, as one set if they were always in flight together. Returns
/// none if they explain too few, or if other segments explain the same crashes as well.
fn best_explanation(
    crashes: &[CrashView<'_>],
    places: &BTreeMap<SegmentId, Vec<Place>>,
    is_once_sound: &impl Fn(SegmentId) -> bool,
    once_sound: bool,
) -> Option<Culprit> {
    // A segment at fewer crashes is neither blamed nor explains them as well as one that is.
    let places = places.iter().filter(|(_, places)| places.len() >= CRASHES_MIN);
    let candidates = places.map(|(segment, places)| {
        let prompts = by_prompt(crashes, places);
        let most_frequent = prompts.iter().max_by_key(|(_, places)| places.len());
        let is_other = |(n, m): &&Place| {
            most_frequent.is_none_or(|(prompt, _)| crashes[*n].suspects[*m] != *prompt)
        };
        let other_places: Vec<_> = places.iter().filter(is_other).copied().collect();
        Candidate {
            segment: *segment,
            crashes: places.iter().fold(0, |bits, (n, _)| bits | 1 << n),
            causes: count_causes(crashes, places),
            prompts: prompts.len(),
            other_causes: count_causes(crashes, &other_places),
            is_once_sound: is_once_sound(*segment),
            places,
        }
    });
    let mut candidates: Vec<_> = candidates.collect();
    candidates.sort_by_key(|candidate| (Reverse(candidate.causes), candidate.segment));
    let has_rival =
        |own: &&Candidate<'_>| candidates.iter().any(|candidate| own.has_rival(candidate));
    let examined = candidates.iter().filter(|candidate| candidate.is_once_sound == once_sound);
    let mut suspicious = examined.filter(|candidate| candidate.is_suspicious_enough());
    let best = suspicious.find(|candidate| !has_rival(candidate))?;
    let same = candidates
        .iter()
        .filter(|other| other.is_once_sound == once_sound && other.places == best.places);
    Some(Culprit {
        segments: same.map(|candidate| candidate.segment).collect(),
        crashes: best.evidence(),
        since: best.places.iter().map(|(n, _)| crashes[*n].at).min().unwrap_or_default(),
    })
}

/// Returns the different prompts among the suspects at these places, each with its places.
fn by_prompt<'a>(
    crashes: &[CrashView<'a>],
    places: &[Place],
) -> BTreeMap<&'a [SegmentId], Vec<Place>> {
    let mut prompts: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for (n, m) in places {
        prompts.entry(crashes[*n].suspects[*m]).or_default().push((*n, *m));
    }
    prompts
}

/// Returns the number of crashes among these places, counting crashes at the same moment once.
fn count_causes(crashes: &[CrashView<'_>], places: &[Place]) -> usize {
    let mut times: Vec<_> = places.iter().map(|(n, _)| crashes[*n].at).collect();
    times.sort();
    let mut counted: Option<Now> = None;
    let mut count = 0;
    for at in times {
        if counted.is_none_or(|last| at >= last + SAME_CAUSE_TIME) {
            count += 1;
            counted = Some(at);
        }
    }
    count
}
