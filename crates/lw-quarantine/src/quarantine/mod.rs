//! The quarantined sets of segments, and what has to be sent and stored about them.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use lw_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    CrashReport, SegmentSet, Suspect,
    culprits::{self, CRASHES_MIN_ONCE_SOUND},
    evidence::Evidence,
};
use held::HeldPrompts;

mod action;
mod held;
mod store;

pub use action::{Action, Basis, ReleaseReason, StoredSet};

/// Time after a crash in which reports and sound answers of other VMs are awaited before anything is decided on it.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Longest delay with which a VM reports what others may report too. Each VM has its own, so that few do.
const STAGGER_MAX: Duration = Duration::from_millis(150);
/// Crashes with a segment from which on requests that hold it are not sent again after a crash.
const SUSPICION_MAX: usize = 2;
/// Time for which a set is quarantined.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// Time after the end of a quarantine in which one crash is enough to renew it.
const PROBATION_TIME: Duration = Duration::from_secs(600);
/// Time for which the end of a quarantine is remembered, at least.
const RELEASE_MEMORY: Duration = Duration::from_secs(60);
/// Time after which a quarantine that is not in the store is announced to the other VMs again.
const ANNOUNCE_REPEAT_TIME: Duration = Duration::from_secs(1);
/// Sets that are quarantined at a time.
const SETS_MAX: usize = 64;
/// Period in which expired state is removed.
const CLEANUP_PERIOD: Duration = Duration::from_secs(10);

/// State of a set that is or was quarantined.
#[derive(Debug)]
enum State {
    /// Requests that hold the set are refused.
    Active {
        since: Now,
        /// When the first of the crashes happened.
        evidence_from: Now,
        /// Number of crashes.
        crashes: usize,
        /// Whether the set was seen in the store.
        is_stored: bool,
        announce_at: Option<Now>,
    },
    /// The set was released; its entry in the store up to this revision is to be removed.
    Released { at: Now, revision: Option<Revision>, is_on_probation: bool },
}

#[derive(Debug)]
struct Entry {
    state: State,
    /// When the store may be written next on behalf of this set.
    store_at: Now,
}

/// The quarantined sets of segments as one VM knows them, and its evidence. All times are by the clock that counts
/// suspended time.
///
/// ```
/// use std::time::Duration;
/// use lw_quarantine::{Quarantine, Suspect};
/// let mut quarantine = Quarantine::new("vm-1".into());
/// for n in 0..3 {
///     let now = Duration::from_secs(n);
///     let suspect = Suspect { attempt_id: n, segments: vec![7, 100 + n] };
///     quarantine.record_broken(now, &format!("engine-{n}"), suspect);
///     quarantine.record_down(now, &format!("engine-{n}"));
/// }
/// let now = Duration::from_secs(4);
/// quarantine.poll(now, &Default::default(), 0);
/// assert!(quarantine.time_left(now, &[7, 200]).is_some());
/// assert!(quarantine.time_left(now, &[8, 200]).is_none());
/// ```
#[derive(Debug)]
pub struct Quarantine {
    vm: VmId,
    evidence: Evidence,
    entries: BTreeMap<SegmentSet, Entry>,
    held: HeldPrompts,
    /// Actions that follow from what was recorded since the last poll.
    pending: Vec<Action>,
    /// When the newest crash became known, until the segments of its suspects were vouched for.
    vouch_at: Option<Now>,
    /// When the crashes known so far have settled, until they were decided on.
    decide_at: Option<Now>,
    cleanup_at: Now,
}

impl Quarantine {
    /// Returns the state of a VM that knows nothing yet.
    #[must_use]
    pub fn new(vm: VmId) -> Self {
        Self {
            vm,
            evidence: Evidence::default(),
            entries: BTreeMap::new(),
            held: HeldPrompts::default(),
            pending: Vec::new(),
            vouch_at: None,
            decide_at: None,
            cleanup_at: Now::ZERO,
        }
    }

    /// Returns the time until the release of a quarantined set that the prompt holds, if there is one.
    #[must_use]
    pub fn time_left(&self, now: Now, prompt: &[SegmentId]) -> Option<Duration> {
        let active = self.active().filter(|(set, _)| set.is_within(prompt));
        active.map(|(_, since)| (since + QUARANTINE_TIME).saturating_sub(now)).max()
    }

    /// Whether a request that broke with its engine may be sent to another one. It may not if engines crashed with a
    /// segment of its prompt before, none of whose answers was sound: the next engine would probably crash too.
    #[must_use]
    pub fn may_send_again(&self, prompt: &[SegmentId]) -> bool {
        let is_suspected = |segment: &SegmentId| {
            self.evidence.sound_at(*segment).is_none()
                && self.evidence.suspicion(*segment) >= SUSPICION_MAX
        };
        !prompt.iter().any(is_suspected)
    }

    /// Returns the quarantined sets with the time until their release.
    pub fn sets(&self, now: Now) -> impl Iterator<Item = (&SegmentSet, Duration)> {
        self.active().map(move |(set, since)| (set, (since + QUARANTINE_TIME).saturating_sub(now)))
    }

    /// Returns the quarantined sets and since when they are.
    fn active(&self) -> impl Iterator<Item = (&SegmentSet, Now)> {
        self.entries.iter().filter_map(|(set, entry)| match entry.state {
            State::Active { since, .. } => Some((set, since)),
            State::Released { .. } => None,
        })
    }

    /// Records that an own attempt broke before its answer showed that its prompt is sound.
    pub fn record_broken(&mut self, now: Now, upstream: &str, suspect: Suspect) {
        if !suspect.segments.is_empty() {
            self.evidence.record_broken(now, &self.vm, upstream, suspect);
            self.schedule(now);
        }
    }

    /// Records that an engine is down, as this VM or another one observed.
    pub fn record_down(&mut self, now: Now, upstream: &str) {
        if self.evidence.record_down(now, &self.vm, upstream) {
            self.schedule(now);
        }
    }

    /// Records a report of another VM.
    pub fn record_report(&mut self, now: Now, vm: &VmId, report: &CrashReport) {
        self.evidence.record_report(now, vm, report);
        for suspect in &report.suspects {
            self.held.record_report(now, &suspect.segments, stagger(&self.vm));
        }
        self.schedule(now);
    }

    fn schedule(&mut self, now: Now) {
        self.vouch_at = self.vouch_at.or(Some(now + stagger(&self.vm)));
        self.decide_at = self.decide_at.or(Some(now + SETTLE_TIME));
    }

    /// Records that the answer to a prompt with these segments went on after its start.
    pub fn record_sound(&mut self, now: Now, prompt: &[SegmentId]) {
        self.evidence.record_sound(now, prompt);
        if self.held.remove(prompt) {
            // The other VMs hold it too.
            self.vouch_at = Some(now);
        }
        let cleared: Vec<_> = self
            .active()
            .filter(|(set, _)| set.is_within(prompt))
            .map(|(set, _)| set.clone())
            .collect();
        for set in cleared {
            self.pending.push(Action::AnnounceRelease(set.clone()));
            self.release(now, &set, ReleaseReason::Sound);
        }
    }

    /// Records that another VM had a sound answer on these segments so long ago.
    pub fn record_vouched(&mut self, now: Now, segments: &[(SegmentId, Duration)]) {
        for (segment, age) in segments {
            let at = now.saturating_sub(*age);
            self.evidence.record_shared_sound(now, at, *segment);
        }
        let is_vouched = |set: &SegmentSet| segments.iter().any(|(own, _)| set.contains(*own));
        let mut cleared = Vec::new();
        for (set, entry) in self.entries.iter().filter(|(set, _)| is_vouched(set)) {
            let State::Active { evidence_from, crashes, .. } = entry.state else { continue };
            let sound_at = |segment| self.evidence.sound_at(segment);
            if is_cleared(set, sound_at, evidence_from, crashes) {
                cleared.push(set.clone());
            }
        }
        for set in cleared {
            self.release(now, &set, ReleaseReason::Sound);
        }
        self.release_sound_prompts();
    }

    /// Records that another VM quarantines a set.
    pub fn record_announced(&mut self, now: Now, set: SegmentSet, basis: Basis) {
        let evidence_from = now.saturating_sub(basis.age);
        match self.entries.get_mut(&set).map(|entry| &mut entry.state) {
            Some(State::Active { announce_at, .. }) => {
                // One announcement is enough, unless it was lost.
                if announce_at.is_some() {
                    *announce_at = Some(now + ANNOUNCE_REPEAT_TIME + stagger(&self.vm));
                }
                return;
            }
            Some(State::Released { at, .. }) if *at >= evidence_from => return,
            _ => {}
        }
        // This VM may have had sound answers that the other one did not know of.
        let own = |segment| self.evidence.own_sound_at(segment);
        if is_cleared(&set, own, evidence_from, basis.crashes) {
            self.vouch_for(now, &set);
            return;
        }
        self.adopt(now, set, evidence_from, basis.crashes, false);
    }

    /// Tells the other VMs of the own sound answers on the segments of a set. Those of other VMs may have been received late,
    /// so that they seem to be younger than the crashes.
    fn vouch_for(&mut self, now: Now, set: &SegmentSet) {
        let age =
            |segment| Some((segment, now.saturating_sub(self.evidence.own_sound_at(segment)?)));
        self.pending.push(Action::Vouch(set.iter().filter_map(age).collect()));
    }

    /// Records that another VM released a set.
    pub fn record_released(&mut self, now: Now, set: &SegmentSet) {
        self.discard_evidence(now, set);
        if self.entries.get(set).is_some_and(|entry| matches!(entry.state, State::Active { .. })) {
            self.release(now, set, ReleaseReason::Elsewhere);
        }
    }

    /// Lets no crash until now count against the segments of a set.
    fn discard_evidence(&mut self, now: Now, set: &SegmentSet) {
        for segment in set.iter() {
            self.evidence.record_shared_sound(now, now, segment);
        }
        self.release_sound_prompts();
    }

    fn adopt(
        &mut self,
        now: Now,
        set: SegmentSet,
        evidence_from: Now,
        crashes: usize,
        is_stored: bool,
    ) {
        if self.active().count() >= SETS_MAX {
            self.pending.push(Action::LogTooMany(set));
            return;
        }
        self.pending.push(Action::LogAdopted(set.clone()));
        let state =
            State::Active { since: now, evidence_from, crashes, is_stored, announce_at: None };
        self.activate(now, set, state);
    }

    fn activate(&mut self, now: Now, set: SegmentSet, state: State) {
        let covered: Vec<_> = self
            .active()
            .filter(|(other, _)| set.covers(other) && **other != set)
            .map(|(other, _)| other.clone())
            .collect();
        for other in covered {
            self.release(now, &other, ReleaseReason::Covered);
        }
        self.held.retain(|prompt, _| !set.is_within(prompt));
        self.entries.insert(set, Entry { state, store_at: now });
    }

    fn release(&mut self, now: Now, set: &SegmentSet, reason: ReleaseReason) {
        if matches!(reason, ReleaseReason::Sound | ReleaseReason::Elsewhere) {
            self.discard_evidence(now, set);
        }
        let Some(entry) = self.entries.get_mut(set) else { return };
        let is_on_probation = reason == ReleaseReason::Expired;
        entry.state = State::Released { at: now, revision: None, is_on_probation };
        entry.store_at = now;
        self.pending.push(Action::LogReleased(set.clone(), reason));
    }

    /// Whether [`Quarantine::poll`] should be called again soon.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.pending.is_empty()
            || self.vouch_at.is_some()
            || self.decide_at.is_some()
            || !self.held.is_empty()
            || self.evidence.has_open_reports()
    }

    /// Decides on what was recorded, and returns what is to be done. `stored` contains the sets in the store with their
    /// revisions, and `rank` is the position of this VM among those that could write to the store.
    pub fn poll(
        &mut self,
        now: Now,
        stored: &HashMap<SegmentSet, StoredSet>,
        rank: u32,
    ) -> Vec<Action> {
        self.held.set_rank(rank);
        let reports = self.evidence.due_reports(now);
        let mut actions: Vec<_> = reports.into_iter().map(Action::Report).collect();
        actions.extend(self.repeated_reports(now));
        if self.vouch_at.is_some_and(|at| at <= now) {
            self.vouch_at = None;
            actions.extend(self.vouch(now));
        }
        if self.decide_at.is_some_and(|at| at <= now) {
            self.decide(now);
        }
        self.renew_on_probation(now);
        self.expire(now);
        self.compare_with_store(now, stored, rank);
        actions.append(&mut self.pending);
        actions.extend(self.store_actions(now, stored, rank));
        actions.extend(self.announcements(now));
        if now >= self.cleanup_at {
            self.cleanup_at = now + CLEANUP_PERIOD;
            self.evidence.remove_expired(now);
            self.held.remove_expired(now);
            self.forget_released(now, stored);
        }
        actions
    }

    /// Returns the own sound answers that other VMs need to know: those on segments that were suspects at two or more
    /// crashes.
    fn vouch(&mut self, now: Now) -> Option<Action> {
        let mut crashes: BTreeMap<SegmentId, usize> = BTreeMap::new();
        for crash in self.evidence.crashes() {
            let segments: BTreeSet<_> = crash.suspects().flatten().copied().collect();
            for segment in segments {
                *crashes.entry(segment).or_default() += 1;
            }
        }
        let mut vouched = Vec::new();
        for segment in
            crashes.into_iter().filter(|(_, count)| *count > 1).map(|(segment, _)| segment)
        {
            if let Some(at) = self.evidence.unshared_sound_at(now, segment) {
                self.evidence.record_shared_sound(now, at, segment);
                vouched.push((segment, now.saturating_sub(at)));
            }
        }
        (!vouched.is_empty()).then_some(Action::Vouch(vouched))
    }

    /// Blames the segments that explain the crashes that have settled.
    fn decide(&mut self, now: Now) {
        let is_settled = |at: Now| at + SETTLE_TIME <= now;
        let mut crashes: Vec<_> = self.evidence.crashes().collect();
        let known = crashes.len();
        crashes.retain(|crash| is_settled(crash.at));
        self.decide_at = (crashes.len() < known).then_some(now + SETTLE_TIME / 3);
        let active: Vec<_> = self.active().map(|(set, _)| set).collect();
        let found = culprits::find(&crashes, |segment| self.evidence.sound_at(segment), &active);
        self.held.update(now, found.repeated);
        for culprit in found.culprits {
            self.blame(now, culprit.segments, culprit.crashes, culprit.since);
        }
    }

    fn blame(&mut self, now: Now, set: SegmentSet, crashes: usize, since: Now) {
        if self.active().any(|(known, _)| known.covers(&set)) {
            return;
        }
        if self.active().count() >= SETS_MAX {
            self.pending.push(Action::LogTooMany(set));
            return;
        }
        self.pending.push(Action::LogBlamed(set.clone(), crashes));
        let state = State::Active {
            since: now,
            evidence_from: since,
            crashes,
            is_stored: false,
            announce_at: Some(now + stagger(&self.vm)),
        };
        self.activate(now, set, state);
    }

    /// Quarantines a set again that was released since its time was over, if an engine has crashed with it since.
    fn renew_on_probation(&mut self, now: Now) {
        let mut renewed = Vec::new();
        for (set, entry) in &self.entries {
            let State::Released { at, is_on_probation: true, .. } = entry.state else { continue };
            let is_crash_with_it = |crash: &&crate::evidence::Crash| {
                crash.at > at && crash.suspects().any(|segments| set.is_within(segments))
            };
            if let Some(crash) = self.evidence.crashes().find(is_crash_with_it) {
                renewed.push((set.clone(), crash.at));
            }
        }
        for (set, since) in renewed {
            self.blame(now, set, 1, since);
        }
    }

    fn expire(&mut self, now: Now) {
        let expired: Vec<_> = self
            .active()
            .filter(|(_, since)| now.saturating_sub(*since) >= QUARANTINE_TIME)
            .map(|(set, _)| set.clone())
            .collect();
        for set in expired {
            self.release(now, &set, ReleaseReason::Expired);
        }
    }

    /// Announces the sets that this VM blames, repeatedly until they are in the store.
    fn announcements(&mut self, now: Now) -> Vec<Action> {
        let mut actions = Vec::new();
        for (set, entry) in &mut self.entries {
            let State::Active { evidence_from, crashes, is_stored, announce_at, .. } =
                &mut entry.state
            else {
                continue;
            };
            if announce_at.is_some_and(|at| at <= now) {
                *announce_at = (!*is_stored).then_some(now + ANNOUNCE_REPEAT_TIME);
                let age = now.saturating_sub(*evidence_from);
                actions.push(Action::Announce(set.clone(), Basis { age, crashes: *crashes }));
            }
        }
        actions
    }

    fn forget_released(&mut self, now: Now, stored: &HashMap<SegmentSet, StoredSet>) {
        self.entries.retain(|set, entry| match entry.state {
            State::Active { .. } => true,
            State::Released { at, is_on_probation, .. } => {
                let memory = if is_on_probation { PROBATION_TIME } else { RELEASE_MEMORY };
                stored.contains_key(set) || now.saturating_sub(at) < memory
            }
        });
    }
}

/// Whether a sound answer at `sound_at` clears a segment that is blamed for this number of crashes since `evidence_from`.
/// One before the first crash does if they are few.
fn clears(sound_at: Now, evidence_from: Now, crashes: usize) -> bool {
    sound_at > evidence_from || crashes < CRASHES_MIN_ONCE_SOUND
}

/// Whether each segment of a set that is blamed for this number of crashes has a sound answer that clears it.
fn is_cleared(
    set: &SegmentSet,
    sound_at: impl Fn(SegmentId) -> Option<Now>,
    evidence_from: Now,
    crashes: usize,
) -> bool {
    // Segments that are always in flight together may have become deadly in one prompt, of which few crashes are enough.
    let crashes = if set.single().is_some() { crashes } else { CRASHES_MIN_ONCE_SOUND };
    set.iter().all(|segment| sound_at(segment).is_some_and(|at| clears(at, evidence_from, crashes)))
}

/// Returns the delay with which this VM reports what others may report too.
fn stagger(vm: &str) -> Duration {
    const STEPS: u64 = 1024;
    let step = u32::try_from(xxh3_64(vm.as_bytes()) % STEPS).unwrap_or_default();
    STAGGER_MAX.mul_f64(f64::from(step) / 1024.0)
}
