//! The executing VM: requests claims, runs each granted call once and sends its outcome to the owner.

use std::collections::BTreeMap;

use lw_types::prelude::*;

use crate::{
    bucket,
    message::{AttemptId, ClaimStatus, Reply, Request, RequestKind},
    options::Options,
    record::{BodyDigest, ClaimKey, Outcome},
};

/// Actions that the caller of an [`Executor`] performs.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a request to the bucket owner at a VM, which may be this one.
    Send(VmId, Request),
    /// Pass a decision to the call that waits with this attempt number.
    Notify(u64, CallDecision),
}

/// Decision about a call that waits for its claim.
#[derive(Debug, Clone, PartialEq)]
pub enum CallDecision {
    /// Call [`Executor::try_start`] and send the call if it returns true, otherwise answer "not run".
    Run,
    /// Return the recorded answer of an earlier attempt. The body is `None` if no copy is stored.
    Replay {
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer.
        body: Option<Vec<u8>>,
    },
    /// Another attempt is running the call.
    InProgress,
    /// The call may have run, which cannot be determined any more.
    Unknown,
    /// The key was used with a different body.
    KeyReused,
    /// There is no claim; this attempt has not run and will not run.
    NotRun,
}

impl CallDecision {
    /// Returns the result code to answer with, or `None` if it follows from the answer of the call.
    ///
    /// ```
    /// use lw_claim::executor::CallDecision;
    /// use lw_types::prelude::*;
    /// assert_eq!(CallDecision::NotRun.result_code(), Some(ResultCode::ClaimUnavailable));
    /// ```
    #[must_use]
    pub fn result_code(&self) -> Option<ResultCode> {
        match self {
            Self::Run | Self::Replay { .. } => None,
            Self::InProgress => Some(ResultCode::InProgress),
            Self::Unknown => Some(ResultCode::OutcomeUnknown),
            Self::KeyReused => Some(ResultCode::KeyReused),
            Self::NotRun => Some(ResultCode::ClaimUnavailable),
        }
    }
}

/// Progress of an attempt.
#[derive(Debug, Clone, PartialEq)]
enum Phase {
    /// Waiting for a claim. `open_requests` is the number of claim requests sent and not definitely refused.
    Waiting { digest: BodyDigest, open_requests: u32 },
    /// Durably claimed, but not started.
    Granted,
    /// Sent to the service.
    Running,
    /// Finished with this outcome, whose record the owner has not confirmed yet.
    Recording(Outcome),
}

#[derive(Debug, Clone)]
struct PendingAttempt {
    key: ClaimKey,
    requested_at: Now,
    sent_at: Now,
    phase: Phase,
}

/// Claims of the calls that one VM runs.
///
/// `now` must be from a clock that also advances while the process or VM is paused.
///
/// ```
/// use std::time::Duration;
/// use lw_claim::executor::{Action, Executor};
/// use lw_claim::record::{BodyDigest, ClaimKey};
/// let mut executor = Executor::new(Default::default(), "vm1".into(), 1);
/// executor.set_members([("vm1".into(), 1)]);
/// let key = ClaimKey::new("station", "desk", "k1");
/// let (seq, actions) = executor.request_claim(Duration::ZERO, key, BodyDigest::new("POST", "/book", b"{}"));
/// assert_eq!(seq, 1);
/// assert!(matches!(&actions[0], Action::Send(vm, _) if vm == "vm1"));
/// ```
#[derive(Debug)]
pub struct Executor {
    options: Options,
    vm: VmId,
    incarnation: Incarnation,
    last_seq: u64,
    members: BTreeMap<VmId, Incarnation>,
    pending: BTreeMap<u64, PendingAttempt>,
    /// Starting time of the attempts that were started. A delayed grant for one of them must not release its claim.
    started_at: BTreeMap<u64, Now>,
}

impl Executor {
    /// Creates an executor without calls. `incarnation` must be higher than at any earlier start of this VM.
    #[must_use]
    pub fn new(options: Options, vm: VmId, incarnation: Incarnation) -> Self {
        Self {
            options,
            vm,
            incarnation,
            last_seq: 0,
            members: BTreeMap::new(),
            pending: BTreeMap::new(),
            started_at: BTreeMap::new(),
        }
    }

    /// Sets the live members. They determine the owner of a bucket and whether the holder of a claim still runs.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = (VmId, Incarnation)>) {
        self.members = members.into_iter().collect();
    }

    /// Returns the number of attempts without a recorded outcome.
    #[must_use]
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Requests a claim. Returns the number of the attempt, which identifies it in later actions.
    pub fn request_claim(
        &mut self,
        now: Now,
        key: ClaimKey,
        digest: BodyDigest,
    ) -> (u64, Vec<Action>) {
        self.last_seq += 1;
        let seq = self.last_seq;
        let phase = Phase::Waiting { digest, open_requests: 0 };
        self.pending.insert(seq, PendingAttempt { key, requested_at: now, sent_at: now, phase });
        (seq, self.send_request(now, seq))
    }

    /// Marks a granted call as started and returns whether it may be sent now. Must be called directly before the call
    /// is sent; returns true at most once for an attempt.
    pub fn try_start(&mut self, now: Now, seq: u64) -> bool {
        let max_start_delay = self.options.claim_timeout + self.options.start_window;
        match self.pending.get_mut(&seq) {
            Some(pending) if pending.phase == Phase::Granted => {
                // After a pause of the VM the record may have expired, so that a start now could be a
                // second run.
                if now.saturating_sub(pending.requested_at) > max_start_delay {
                    pending.phase = Phase::Recording(Outcome::NotRun);
                    return false;
                }
                pending.phase = Phase::Running;
                self.started_at.insert(seq, now);
                true
            }
            _ => false,
        }
    }

    /// Sends the outcome of a started call to the owner. `NotRun` is only for calls that were provably not sent.
    pub fn finish(&mut self, now: Now, seq: u64, outcome: Outcome) -> Vec<Action> {
        match self.pending.get_mut(&seq) {
            Some(pending) if pending.phase == Phase::Running => {
                pending.phase = Phase::Recording(outcome);
                self.send_request(now, seq)
            }
            _ => Vec::new(),
        }
    }

    /// Cancels an attempt that has not been started, for example because its caller has disconnected.
    pub fn cancel(&mut self, now: Now, seq: u64) -> Vec<Action> {
        match self.pending.get(&seq).map(|pending| &pending.phase) {
            Some(Phase::Waiting { .. } | Phase::Granted) => self.close_attempt(now, seq),
            _ => Vec::new(),
        }
    }

    /// Handles a reply of an owner.
    pub fn on_reply(&mut self, now: Now, reply: Reply) -> Vec<Action> {
        let seq = reply.attempt.seq;
        if reply.attempt.vm != self.vm || reply.attempt.incarnation != self.incarnation {
            return Vec::new();
        }
        let Some(pending) = self.pending.get_mut(&seq) else {
            return self.on_reply_after_close(now, &reply);
        };
        match (&mut pending.phase, reply.claim_status) {
            (Phase::Waiting { .. }, ClaimStatus::Granted) => {
                if now.saturating_sub(pending.requested_at) >= self.options.claim_timeout {
                    return self.refuse_call(now, seq);
                }
                pending.phase = Phase::Granted;
                vec![Action::Notify(seq, CallDecision::Run)]
            }
            (Phase::Waiting { open_requests, .. }, ClaimStatus::Refused { maybe_written }) => {
                if !maybe_written {
                    *open_requests = open_requests.saturating_sub(1);
                }
                self.refuse_call(now, seq)
            }
            (Phase::Waiting { .. }, claim_status) => {
                let decision = match claim_status {
                    ClaimStatus::Done { status, body } => CallDecision::Replay { status, body },
                    ClaimStatus::Held(by) if self.is_alive(&by) => CallDecision::InProgress,
                    ClaimStatus::KeyReused => CallDecision::KeyReused,
                    _ => CallDecision::Unknown,
                };
                self.pending.remove(&seq);
                vec![Action::Notify(seq, decision)]
            }
            (Phase::Recording(_), ClaimStatus::Recorded) => {
                self.pending.remove(&seq);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Handles timeouts and resends requests without a reply.
    pub fn tick(&mut self, now: Now) -> Vec<Action> {
        let retention = self.options.retention;
        while let Some(first) = self.started_at.first_entry()
            && now.saturating_sub(*first.get()) >= 2 * retention
        {
            first.remove();
        }
        let seqs: Vec<u64> = self.pending.keys().copied().collect();
        seqs.into_iter().flat_map(|seq| self.tick_attempt(now, seq)).collect()
    }

    /// Returns the time at which the next tick is due, or `None` if there is nothing to wait for.
    #[must_use]
    pub fn next_wake(&self) -> Option<Now> {
        let due_at = |pending: &PendingAttempt| match pending.phase {
            Phase::Waiting { .. } => Some(
                (pending.sent_at + self.options.resend_after)
                    .min(pending.requested_at + self.options.claim_timeout),
            ),
            Phase::Recording(_) => Some(pending.sent_at + self.outcome_resend_delay()),
            Phase::Granted | Phase::Running => None,
        };
        self.pending.values().filter_map(due_at).min()
    }

    /// Returns the time after which an outcome is resent. It is longer than for claims, since outcomes wait at the
    /// owner for a claim with which they can be written.
    fn outcome_resend_delay(&self) -> Now {
        self.options.outcome_delay + 2 * self.options.resend_after
    }

    fn tick_attempt(&mut self, now: Now, seq: u64) -> Vec<Action> {
        let Some(pending) = self.pending.get(&seq) else { return Vec::new() };
        let (unanswered_for, age) =
            (now.saturating_sub(pending.sent_at), now.saturating_sub(pending.requested_at));
        match pending.phase {
            Phase::Waiting { .. } if age >= self.options.claim_timeout => {
                self.refuse_call(now, seq)
            }
            Phase::Waiting { .. } if unanswered_for >= self.options.resend_after => {
                self.send_request(now, seq)
            }
            Phase::Recording(_) if unanswered_for >= self.outcome_resend_delay() => {
                self.send_request(now, seq)
            }
            _ => Vec::new(),
        }
    }

    /// Answers "not run" and closes the attempt, so that it never runs.
    fn refuse_call(&mut self, now: Now, seq: u64) -> Vec<Action> {
        let mut actions = vec![Action::Notify(seq, CallDecision::NotRun)];
        actions.extend(self.close_attempt(now, seq));
        actions
    }

    /// Closes an attempt that has not been started, and releases its claim if it may exist.
    fn close_attempt(&mut self, now: Now, seq: u64) -> Vec<Action> {
        let Some(pending) = self.pending.get_mut(&seq) else { return Vec::new() };
        if matches!(pending.phase, Phase::Waiting { open_requests: 0, .. }) {
            self.pending.remove(&seq);
            return Vec::new();
        }
        pending.phase = Phase::Recording(Outcome::NotRun);
        self.send_request(now, seq)
    }

    /// Handles a reply for a closed attempt. A grant is released if the attempt was never started, otherwise its
    /// outcome is recorded as unknown.
    fn on_reply_after_close(&mut self, now: Now, reply: &Reply) -> Vec<Action> {
        let seq = reply.attempt.seq;
        if reply.claim_status != ClaimStatus::Granted || seq > self.last_seq {
            return Vec::new();
        }
        let is_started = self.started_at.contains_key(&seq);
        let phase = Phase::Recording(if is_started { Outcome::Unknown } else { Outcome::NotRun });
        self.pending
            .insert(seq, PendingAttempt { key: reply.key, requested_at: now, sent_at: now, phase });
        self.send_request(now, seq)
    }

    fn is_alive(&self, attempt: &AttemptId) -> bool {
        self.members.get(&attempt.vm) == Some(&attempt.incarnation)
    }

    fn send_request(&mut self, now: Now, seq: u64) -> Vec<Action> {
        let Some(pending) = self.pending.get_mut(&seq) else { return Vec::new() };
        pending.sent_at = now;
        let bucket = bucket::bucket_of(&pending.key, self.options.buckets);
        let Some(owner) = bucket::owner_of(bucket, self.members.keys()) else {
            return Vec::new();
        };
        let kind = match &mut pending.phase {
            Phase::Waiting { digest, open_requests } => {
                *open_requests += 1;
                RequestKind::Claim(*digest)
            }
            Phase::Recording(outcome) => RequestKind::Record(outcome.clone()),
            Phase::Granted | Phase::Running => return Vec::new(),
        };
        let attempt = AttemptId { vm: self.vm.clone(), incarnation: self.incarnation, seq };
        vec![Action::Send(owner.clone(), Request { bucket, key: pending.key, attempt, kind })]
    }
}
