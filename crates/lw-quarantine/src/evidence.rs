//! Crashes of engines with the prompts that were in flight, and answers that show that a segment is sound.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use lw_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// Longest time between the breaks of two attempts, or a break and the report that the engine is down, that belong to
/// the same crash.
const CRASH_SPAN: Duration = Duration::from_secs(1);
/// Time for which evidence counts.
pub(crate) const EVIDENCE_TIME: Duration = Duration::from_secs(300);
/// Crashes that are kept; the oldest are dropped. A set of crashes is one word.
pub(crate) const CRASHES_MAX: usize = 64;
/// Segments with sound answers that are remembered at most. Beyond that, half of them are forgotten.
pub const SOUND_SEGMENTS_MAX: usize = 1 << 17;
/// Suspects of one crash that are kept.
const SUSPECTS_MAX: usize = 64;
/// Times that an own report is sent, since messages between VMs may be lost.
const REPORT_SENDS: u32 = 2;
/// Time until a report is sent again.
const REPORT_REPEAT_TIME: Duration = Duration::from_millis(200);
/// Suspects in one report, which must fit into one datagram.
const REPORT_SUSPECTS_MAX: usize = 16;

/// Bit that marks ids of attempts that are the same at all VMs. The numbers that a VM gives its own attempts are small.
const SHARED_ID_BIT: u64 = 1 << 63;

/// An attempt that broke when its engine went down, before its answer showed that its prompt is sound.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// Number of the attempt, unique at the VM that made it. With the highest bit, an id that all VMs use for it.
    pub attempt_id: u64,
    /// Segments of its prompt.
    pub segments: Vec<SegmentId>,
}

impl Suspect {
    /// Returns an id that is the same at all VMs, whichever of them reports the attempt. A VM that restarts numbers its
    /// attempts anew, hence the upstream and the segments.
    fn shared_id(&self, vm: &str, upstream: &str) -> u64 {
        if self.attempt_id & SHARED_ID_BIT != 0 {
            return self.attempt_id;
        }
        let mut bytes = [vm.as_bytes(), &[0], upstream.as_bytes(), &[0]].concat();
        bytes.extend(self.attempt_id.to_be_bytes());
        bytes.extend(self.segments.iter().flat_map(|segment| segment.to_be_bytes()));
        xxh3_64(&bytes) | SHARED_ID_BIT
    }
}

/// Attempts that broke when an engine went down: of the VM that reports them, or of any with ids that all VMs use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// The engine.
    pub upstream: UpstreamId,
    /// Time since the first of them broke.
    pub age: Duration,
    /// The attempts.
    pub suspects: Vec<Suspect>,
}

/// An engine that went down, and the attempts that broke then, at whichever VM.
#[derive(Debug)]
pub struct Crash {
    upstream: UpstreamId,
    /// When the first attempt broke.
    pub at: Now,
    /// Segments of the attempts by the ids that all VMs use.
    suspects: BTreeMap<u64, Vec<SegmentId>>,
}

impl Crash {
    /// Returns the segments of each suspect.
    pub fn suspects(&self) -> impl Iterator<Item = &[SegmentId]> {
        self.suspects.values().map(Vec::as_slice)
    }
}

/// An own attempt that broke. It becomes evidence when its engine is reported down.
#[derive(Debug)]
struct Broken {
    upstream: UpstreamId,
    at: Now,
    suspect: Suspect,
}

/// An own suspect that is to be reported to the other VMs.
#[derive(Debug)]
struct Unreported {
    broken: Broken,
    due: Now,
    sends_left: u32,
}

/// Latest answers that show that a segment is sound.
#[derive(Debug, Default, Clone, Copy)]
struct SoundAnswers {
    /// Latest answer at this VM.
    own: Option<Now>,
    /// Latest answer that all VMs know of.
    shared: Option<Now>,
    /// When the VMs were last told of an answer.
    told: Option<Now>,
    /// Whether there was more than one.
    is_repeated: bool,
}

impl SoundAnswers {
    /// Returns the order in which segments are forgotten: those of one request first, since a crash with one of them is no
    /// evidence against others, then the oldest.
    fn worth(&self) -> (bool, Option<Now>) {
        (self.is_repeated, self.own.max(self.shared))
    }
}

/// Time after which the VMs are told of the same answer again, since some may have started in between.
const TELL_AGAIN_TIME: Duration = Duration::from_secs(5);

/// What a VM knows about crashes and sound answers.
#[derive(Debug, Default)]
pub struct Evidence {
    crashes: VecDeque<Crash>,
    unconfirmed: Vec<Broken>,
    unreported: Vec<Unreported>,
    down: BTreeMap<UpstreamId, Now>,
    sound: BTreeMap<SegmentId, SoundAnswers>,
}

impl Evidence {
    /// Records an own attempt that broke.
    pub fn record_broken(&mut self, now: Now, vm: &VmId, upstream: &str, suspect: Suspect) {
        let broken = Broken { upstream: upstream.to_owned(), at: now, suspect };
        if self.down.get(upstream).is_some_and(|at| now.saturating_sub(*at) <= CRASH_SPAN) {
            self.confirm(now, vm, broken);
        } else {
            self.unconfirmed.push(broken);
        }
    }

    /// Records that an engine is down, as observed by this VM or another one. Returns whether own attempts broke then.
    pub fn record_down(&mut self, now: Now, vm: &VmId, upstream: &str) -> bool {
        self.down.insert(upstream.to_owned(), now);
        let is_confirmed = |broken: &mut Broken| broken.upstream == upstream;
        let confirmed: Vec<_> = self.unconfirmed.extract_if(.., is_confirmed).collect();
        let mut has_own = false;
        for broken in confirmed {
            if now.saturating_sub(broken.at) <= CRASH_SPAN {
                has_own = true;
                self.confirm(now, vm, broken);
            }
        }
        has_own
    }

    fn confirm(&mut self, now: Now, vm: &VmId, broken: Broken) {
        self.add_suspects(broken.at, vm, &broken.upstream, std::slice::from_ref(&broken.suspect));
        self.unreported.push(Unreported { broken, due: now, sends_left: REPORT_SENDS });
    }

    /// Records a report of another VM.
    pub fn record_report(&mut self, now: Now, vm: &VmId, report: &CrashReport) {
        // Reports are repeated, and VMs must not tell each other of a crash for ever.
        if report.age > EVIDENCE_TIME {
            return;
        }
        let at = now.saturating_sub(report.age);
        self.add_suspects(at, vm, &report.upstream, &report.suspects);
    }

    /// Adds attempts that broke with one crash. A message that is received late dates them too late, so that the crash is
    /// recognised by its attempts first.
    fn add_suspects(&mut self, at: Now, vm: &str, upstream: &str, suspects: &[Suspect]) {
        let shared = |own: &Suspect| (own.shared_id(vm, upstream), own.segments.clone());
        let mut crash = Crash {
            upstream: upstream.to_owned(),
            at,
            suspects: suspects.iter().take(SUSPECTS_MAX).map(shared).collect(),
        };
        let has_same = |known: &Crash| {
            known.upstream == upstream
                && crash.suspects.keys().any(|id| known.suspects.contains_key(id))
        };
        let is_close =
            |known: &Crash| known.upstream == upstream && known.at.abs_diff(at) <= CRASH_SPAN;
        let mut same: Vec<_> =
            (0..self.crashes.len()).filter(|n| has_same(&self.crashes[*n])).collect();
        if same.is_empty() {
            same.extend(self.crashes.iter().rposition(is_close));
        }
        let place = same.first().copied();
        for n in same.into_iter().rev() {
            let Some(known) = self.crashes.remove(n) else { continue };
            crash.at = crash.at.min(known.at);
            let added = std::mem::replace(&mut crash.suspects, known.suspects);
            for (id, segments) in added {
                if crash.suspects.len() < SUSPECTS_MAX {
                    crash.suspects.insert(id, segments);
                }
            }
        }
        self.crashes.insert(place.unwrap_or(self.crashes.len()), crash);
        if self.crashes.len() > CRASHES_MAX {
            self.crashes.pop_front();
        }
    }

    /// Records that the answer to a prompt with these segments went on after its start.
    pub fn record_sound(&mut self, now: Now, segments: &[SegmentId]) {
        for segment in segments {
            let sound = self.sound.entry(*segment).or_default();
            sound.is_repeated |= sound.own.max(sound.shared).is_some();
            sound.own = Some(now);
        }
        self.forget_sound();
    }

    /// Forgets half of the segments with sound answers if there are too many: callers choose how many a prompt has.
    fn forget_sound(&mut self) {
        if self.sound.len() <= SOUND_SEGMENTS_MAX {
            return;
        }
        let mut worths: Vec<_> = self.sound.values().map(SoundAnswers::worth).collect();
        let middle = worths.len() / 2;
        let (_, last_forgotten, _) = worths.select_nth_unstable(middle);
        let last_forgotten = *last_forgotten;
        self.sound.retain(|_, sound| sound.worth() > last_forgotten);
    }

    /// Number of segments with sound answers that are remembered.
    #[must_use]
    pub fn sound_count(&self) -> usize {
        self.sound.len()
    }

    /// Records that the VMs were told of a sound answer on this segment at `at`.
    pub fn record_shared_sound(&mut self, now: Now, at: Now, segment: SegmentId) {
        let sound = self.sound.entry(segment).or_default();
        sound.shared = sound.shared.max(Some(at));
        sound.told = Some(now);
        self.forget_sound();
    }

    /// Returns when the latest sound answer on a segment was received, as far as this VM knows.
    #[must_use]
    pub fn sound_at(&self, segment: SegmentId) -> Option<Now> {
        let sound = self.sound.get(&segment)?;
        sound.own.max(sound.shared)
    }

    /// Returns when the latest own sound answer on a segment was received.
    #[must_use]
    pub fn own_sound_at(&self, segment: SegmentId) -> Option<Now> {
        self.sound.get(&segment)?.own
    }

    /// Returns the time of an own sound answer on a segment if other VMs may not know of it.
    #[must_use]
    pub fn unshared_sound_at(&self, now: Now, segment: SegmentId) -> Option<Now> {
        let sound = self.sound.get(&segment)?;
        let is_known = sound.shared >= sound.own
            && sound.told.is_some_and(|told| now.saturating_sub(told) < TELL_AGAIN_TIME);
        sound.own.filter(|_| !is_known)
    }

    /// Returns the crashes, in the order in which they became known.
    pub fn crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter()
    }

    /// Returns the reports that are to be sent now.
    pub fn due_reports(&mut self, now: Now) -> Vec<CrashReport> {
        let mut by_upstream: BTreeMap<UpstreamId, Vec<(Now, Suspect)>> = BTreeMap::new();
        for unreported in self.unreported.iter_mut().filter(|unreported| unreported.due <= now) {
            unreported.due = now + REPORT_REPEAT_TIME;
            unreported.sends_left -= 1;
            let Broken { upstream, at, suspect } = &unreported.broken;
            by_upstream.entry(upstream.clone()).or_default().push((*at, suspect.clone()));
        }
        self.unreported.retain(|unreported| unreported.sends_left > 0);
        let mut reports = Vec::new();
        for (upstream, suspects) in by_upstream {
            for suspects in suspects.chunks(REPORT_SUSPECTS_MAX) {
                let first = suspects.iter().map(|(at, _)| *at).min().unwrap_or(now);
                reports.push(CrashReport {
                    upstream: upstream.clone(),
                    age: now.saturating_sub(first),
                    suspects: suspects.iter().map(|(_, suspect)| suspect.clone()).collect(),
                });
            }
        }
        reports
    }

    /// Returns a report on each crash with this prompt, at whichever VM its attempts broke.
    #[must_use]
    pub fn reports_of(&self, now: Now, prompt: &[SegmentId]) -> Vec<CrashReport> {
        let report = |crash: &Crash| {
            let is_same = |(_, segments): &(&u64, &Vec<SegmentId>)| *segments == prompt;
            let suspects = crash.suspects.iter().filter(is_same).take(REPORT_SUSPECTS_MAX);
            let suspect = |(id, segments): (&u64, &Vec<SegmentId>)| Suspect {
                attempt_id: *id,
                segments: segments.clone(),
            };
            CrashReport {
                upstream: crash.upstream.clone(),
                age: now.saturating_sub(crash.at),
                suspects: suspects.map(suspect).collect(),
            }
        };
        let reports = self.crashes.iter().map(report);
        reports
            .filter(|report| !report.suspects.is_empty() && report.age <= EVIDENCE_TIME)
            .collect()
    }

    /// Returns the number of engines that went down, or broke own attempts, while prompts with a segment were in flight.
    #[must_use]
    pub fn suspicion(&self, segment: SegmentId) -> usize {
        let holds = |segments: &[SegmentId]| segments.contains(&segment);
        let crashes = self.crashes.iter().filter(|crash| crash.suspects().any(holds)).count();
        let own = self.unconfirmed.iter().filter(|broken| holds(&broken.suspect.segments));
        crashes + own.count()
    }

    /// Whether own suspects wait for a confirmation or are to be reported.
    #[must_use]
    pub fn has_open_reports(&self) -> bool {
        !self.unconfirmed.is_empty() || !self.unreported.is_empty()
    }

    /// Drops evidence that no longer counts.
    pub fn remove_expired(&mut self, now: Now) {
        let is_young = |at: Now, max: Duration| now.saturating_sub(at) <= max;
        self.unconfirmed.retain(|broken| is_young(broken.at, CRASH_SPAN));
        self.down.retain(|_, at| is_young(*at, CRASH_SPAN));
        self.crashes.retain(|crash| is_young(crash.at, EVIDENCE_TIME));
        self.sound.retain(|_, sound| {
            sound.own.max(sound.shared).is_some_and(|at| is_young(at, EVIDENCE_TIME))
        });
    }
}
