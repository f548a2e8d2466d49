//! Prompts that were at several crashes, but not at enough to be blamed. Each VM may send one copy at first, then few VMs do,
//! one copy at a time, so that a sound one is released by an answer and a deadly one does not reach engines again and again.

use std::{collections::BTreeMap, time::Duration};

use lw_types::prelude::*;

use super::{Action, Quarantine};
use crate::{culprits::Repeated, evidence::EVIDENCE_TIME};

/// Time after the crash from which on a prompt is held in which each VM may send one copy: its caller returns at any VM.
const OPEN_TIME: Duration = Duration::from_secs(2);
/// Time for which a VM may send the next copy, before it is another one's turn.
const TURN_TIME: Duration = Duration::from_secs(2);
/// VMs that take turns, so that the loss of one does not hold a sound prompt for long.
const TURNS: u128 = 2;
/// Time after which a caller may send a request again that is held.
const RETRY_TIME: Duration = Duration::from_secs(1);

/// Time after which the crashes with a held prompt are reported again: VMs may have started or missed a message since.
const REPORT_TIME: Duration = Duration::from_secs(1);

/// Prompts of which single copies are sent.
#[derive(Debug, Default)]
pub(super) struct HeldPrompts {
    prompts: BTreeMap<Vec<SegmentId>, Held>,
    /// Position of this VM among those that take turns.
    rank: u32,
}

#[derive(Debug)]
struct Held {
    crashes: Repeated,
    /// When this VM sent the last copy.
    sent_at: Option<Now>,
    /// When this VM reports the crashes again, unless another one does before.
    report_at: Now,
}

impl HeldPrompts {
    /// Replaces the prompts by those that are at several crashes now, each with its crashes.
    pub(super) fn update(&mut self, now: Now, repeated: BTreeMap<Vec<SegmentId>, Repeated>) {
        let mut former = std::mem::take(&mut self.prompts);
        let held = repeated.into_iter().map(|(prompt, crashes)| {
            let report_at = now + REPORT_TIME;
            let held = former.remove(&prompt);
            let held = held.unwrap_or(Held { crashes, sent_at: None, report_at });
            (prompt, Held { crashes, ..held })
        });
        self.prompts = held.collect();
    }

    pub(super) fn is_empty(&self) -> bool {
        self.prompts.is_empty()
    }

    /// Records that another VM has reported a crash with this prompt.
    pub(super) fn record_report(&mut self, now: Now, prompt: &[SegmentId], stagger: Duration) {
        if let Some(held) = self.prompts.get_mut(prompt) {
            held.report_at = now + REPORT_TIME + stagger;
        }
    }

    /// Returns the prompts whose crashes are to be reported again now.
    pub(super) fn due_reports(&mut self, now: Now) -> Vec<&[SegmentId]> {
        let mut due = Vec::new();
        for (prompt, held) in self.prompts.iter_mut().filter(|(_, held)| held.report_at <= now) {
            held.report_at = now + REPORT_TIME;
            due.push(prompt.as_slice());
        }
        due
    }

    pub(super) fn set_rank(&mut self, rank: u32) {
        self.rank = rank;
    }

    pub(super) fn try_begin(&mut self, now: Now, prompt: &[SegmentId]) -> Result<(), Duration> {
        let Some(held) = self.prompts.get_mut(prompt) else { return Ok(()) };
        if now < held.crashes.since + OPEN_TIME && held.sent_at.is_none() {
            held.sent_at = Some(now);
            return Ok(());
        }
        // All VMs know about the same time of the last crash, so that their turns do not overlap by much.
        let since = now.saturating_sub(held.crashes.last);
        let turns = since.as_millis() / TURN_TIME.as_millis();
        let is_own_turn = turns % TURNS == u128::from(self.rank);
        let has_sent = held.sent_at.is_some_and(|at| now < at + TURN_TIME);
        if !is_own_turn || has_sent {
            return Err(RETRY_TIME);
        }
        held.sent_at = Some(now);
        Ok(())
    }

    /// Removes a prompt that had a sound answer. Returns whether it was held.
    pub(super) fn remove(&mut self, prompt: &[SegmentId]) -> bool {
        self.prompts.remove(prompt).is_some()
    }

    /// Keeps the prompts that are still to be held, on their segments and the times of their last crashes.
    pub(super) fn retain(&mut self, is_held: impl Fn(&[SegmentId], Now) -> bool) {
        self.prompts.retain(|prompt, held| is_held(prompt, held.crashes.last));
    }

    /// Removes the prompts whose last crashes no longer count.
    pub(super) fn remove_expired(&mut self, now: Now) {
        self.prompts.retain(|_, held| now.saturating_sub(held.crashes.last) <= EVIDENCE_TIME);
    }
}

impl Quarantine {
    /// Claims an attempt at a request with this prompt. A prompt that was at several crashes since its last sound answer is sent
    /// by each VM once at first, then by few VMs, one copy at a time.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may send the request again.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lw_quarantine::{Quarantine, Suspect};
    /// let mut quarantine = Quarantine::new("vm-1".into());
    /// let prompt = [7, 100];
    /// for n in 0..3 {
    ///     let now = Duration::from_secs(n);
    ///     let suspect = Suspect { attempt_id: n, segments: prompt.to_vec() };
    ///     quarantine.record_broken(now, &format!("engine-{n}"), suspect);
    ///     quarantine.record_down(now, &format!("engine-{n}"));
    /// }
    /// let now = Duration::from_secs(3);
    /// quarantine.poll(now, &Default::default(), 0);
    /// assert!(quarantine.try_begin(now, &prompt).is_ok());
    /// assert!(quarantine.try_begin(now, &prompt).is_err());
    /// assert!(quarantine.try_begin(now, &[7, 101]).is_ok());
    /// ```
    pub fn try_begin(&mut self, now: Now, prompt: &[SegmentId]) -> Result<(), Duration> {
        self.held.try_begin(now, prompt)
    }

    /// Releases the prompts on each of whose segments an answer was sound since their last crash.
    pub(super) fn release_sound_prompts(&mut self) {
        let sound_at = |segment: &SegmentId| self.evidence.sound_at(*segment);
        self.held.retain(|prompt, crash| prompt.iter().any(|part| sound_at(part) < Some(crash)));
    }

    /// Returns the reports on crashes with held prompts that are to be repeated now.
    pub(super) fn repeated_reports(&mut self, now: Now) -> Vec<Action> {
        let mut actions = Vec::new();
        for prompt in self.held.due_reports(now) {
            // Without the sound answers, a VM that has just started would suspect the segments that other prompts share.
            // Those of others were received later than they were sent, and must not seem younger with each repetition.
            let age = |segment: &SegmentId| {
                let own = self.evidence.own_sound_at(*segment);
                let at = self.evidence.sound_at(*segment)?;
                let margin = if own == Some(at) { Duration::ZERO } else { REPORT_TIME };
                Some((*segment, now.saturating_sub(at) + margin))
            };
            let sound: Vec<_> = prompt.iter().filter_map(age).collect();
            actions.extend((!sound.is_empty()).then_some(Action::Vouch(sound)));
            let reports = self.evidence.reports_of(now, prompt);
            actions.extend(reports.into_iter().map(Action::Report));
        }
        actions
    }
}
