//! The executing VM: asks for claims, runs each granted call once and has its outcome recorded.

use std::collections::BTreeMap;

use lw_types::prelude::*;

use crate::{
    bucket,
    message::{AttemptId, ClaimStatus, Reply, Request, RequestKind},
    options::Options,
    record::{BodyDigest, ClaimKey, Outcome},
};

/// What the caller performs.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a request to the owner at this VM (which may be the own one).
    Send(VmId, Request),
    /// Tell the waiting call what to do.
    Notify(u64, CallDecision),
}

/// What a waiting call does next.
#[derive(Debug, Clone, PartialEq)]
pub enum CallDecision {
    /// Call [`Executor::try_start`] and send the call if it returns true, else answer "not run".
    Run,
    /// Answer with the recorded answer. The body is `None` when no copy is held.
    Replay {
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer.
        body: Option<Vec<u8>>,
    },
    /// Another attempt is running the call.
    InProgress,
    /// The call may have run; nobody will learn it.
    Unknown,
    /// The key was used with another body.
    KeyReused,
    /// No claim; this attempt has not run and will not.
    NotRun,
}

impl CallDecision {
    /// The result code of an answer with this verdict; `None` where the call or its copy gives it.
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

#[derive(Debug, Clone, PartialEq)]
enum Phase {
    /// Asked for a claim. `open` counts requests sent and not definitely refused.
    Waiting { digest: BodyDigest, open: u32 },
    /// Durably claimed, not started.
    Granted,
    /// Sent to the service.
    Running,
    /// Ended; waits until the outcome is durable.
    Recording(Outcome),
}

#[derive(Debug, Clone)]
struct Pending {
    key: ClaimKey,
    begun: Now,
    sent: Now,
    phase: Phase,
}

/// Claims of the calls that this VM executes.
///
/// `now` must come from a clock that also advances while the process or VM is paused.
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
    pending: BTreeMap<u64, Pending>,
    /// Attempts that were started, with the time of the start. A late grant for one of them must not
    /// release it.
    started: BTreeMap<u64, Now>,
}

impl Executor {
    /// An executor without calls. `incarnation` must be higher than at any earlier start of this VM.
    #[must_use]
    pub fn new(options: Options, vm: VmId, incarnation: Incarnation) -> Self {
        Self {
            options,
            vm,
            incarnation,
            last_seq: 0,
            members: BTreeMap::new(),
            pending: BTreeMap::new(),
            started: BTreeMap::new(),
        }
    }

    /// Sets the live members. They decide whom to ask and whether a holder of a claim is gone.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = (VmId, Incarnation)>) {
        self.members = members.into_iter().collect();
    }

    /// Number of attempts that are not finished and recorded.
    #[must_use]
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Asks for a claim. Returns the number of the attempt, which later answers name.
    pub fn request_claim(
        &mut self,
        now: Now,
        key: ClaimKey,
        digest: BodyDigest,
    ) -> (u64, Vec<Action>) {
        self.last_seq += 1;
        let seq = self.last_seq;
        let phase = Phase::Waiting { digest, open: 0 };
        self.pending.insert(seq, Pending { key, begun: now, sent: now, phase });
        (seq, self.send(now, seq))
    }

    /// Whether the call may be sent now. To be called directly before the call is sent; it returns true
    /// at most once for an attempt.
    pub fn try_start(&mut self, now: Now, seq: u64) -> bool {
        let window = self.options.claim_timeout + self.options.start_window;
        match self.pending.get_mut(&seq) {
            Some(pending) if pending.phase == Phase::Granted => {
                // After a pause the record may be past its retention, so that a late start could be a
                // second run.
                if now.saturating_sub(pending.begun) > window {
                    pending.phase = Phase::Recording(Outcome::NotRun);
                    return false;
                }
                pending.phase = Phase::Running;
                self.started.insert(seq, now);
                true
            }
            _ => false,
        }
    }

    /// Records how a started call ended. `NotRun` is only for calls that provably were not sent.
    pub fn finish(&mut self, now: Now, seq: u64, outcome: Outcome) -> Vec<Action> {
        match self.pending.get_mut(&seq) {
            Some(pending) if pending.phase == Phase::Running => {
                pending.phase = Phase::Recording(outcome);
                self.send(now, seq)
            }
            _ => Vec::new(),
        }
    }

    /// Gives up on an attempt that has not been started, for instance when its caller went away.
    pub fn cancel(&mut self, now: Now, seq: u64) -> Vec<Action> {
        match self.pending.get(&seq).map(|pending| &pending.phase) {
            Some(Phase::Waiting { .. } | Phase::Granted) => self.close(now, seq),
            _ => Vec::new(),
        }
    }

    /// Takes a reply of an owner.
    pub fn on_reply(&mut self, now: Now, reply: Reply) -> Vec<Action> {
        let seq = reply.attempt.seq;
        if reply.attempt.vm != self.vm || reply.attempt.incarnation != self.incarnation {
            return Vec::new();
        }
        let Some(pending) = self.pending.get_mut(&seq) else {
            return self.on_late(now, &reply);
        };
        match (&mut pending.phase, reply.claim_status) {
            (Phase::Waiting { .. }, ClaimStatus::Granted) => {
                if now.saturating_sub(pending.begun) >= self.options.claim_timeout {
                    return self.refuse(now, seq);
                }
                pending.phase = Phase::Granted;
                vec![Action::Notify(seq, CallDecision::Run)]
            }
            (Phase::Waiting { open, .. }, ClaimStatus::Refused { maybe_written }) => {
                if !maybe_written {
                    *open = open.saturating_sub(1);
                }
                self.refuse(now, seq)
            }
            (Phase::Waiting { .. }, claim_status) => {
                let verdict = match claim_status {
                    ClaimStatus::Done { status, body } => CallDecision::Replay { status, body },
                    ClaimStatus::Held(by) if self.is_alive(&by) => CallDecision::InProgress,
                    ClaimStatus::KeyReused => CallDecision::KeyReused,
                    _ => CallDecision::Unknown,
                };
                self.pending.remove(&seq);
                vec![Action::Notify(seq, verdict)]
            }
            (Phase::Recording(_), ClaimStatus::Recorded) => {
                self.pending.remove(&seq);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Handles timeouts and sends again what got no reply.
    pub fn tick(&mut self, now: Now) -> Vec<Action> {
        let retention = self.options.retention;
        while let Some(first) = self.started.first_entry()
            && now.saturating_sub(*first.get()) >= 2 * retention
        {
            first.remove();
        }
        let seqs: Vec<u64> = self.pending.keys().copied().collect();
        seqs.into_iter().flat_map(|seq| self.tick_one(now, seq)).collect()
    }

    /// When the next tick is due, if anything waits.
    #[must_use]
    pub fn next_wake(&self) -> Option<Now> {
        let due = |pending: &Pending| match pending.phase {
            Phase::Waiting { .. } => Some(
                (pending.sent + self.options.resend_after)
                    .min(pending.begun + self.options.claim_timeout),
            ),
            Phase::Recording(_) => Some(pending.sent + self.record_resend()),
            Phase::Granted | Phase::Running => None,
        };
        self.pending.values().filter_map(due).min()
    }

    /// Outcomes wait at the owner for a write to share, so their repetition must wait longer.
    fn record_resend(&self) -> Now {
        self.options.outcome_delay + 2 * self.options.resend_after
    }

    fn tick_one(&mut self, now: Now, seq: u64) -> Vec<Action> {
        let Some(pending) = self.pending.get(&seq) else { return Vec::new() };
        let (silent, age) = (now.saturating_sub(pending.sent), now.saturating_sub(pending.begun));
        match pending.phase {
            Phase::Waiting { .. } if age >= self.options.claim_timeout => self.refuse(now, seq),
            Phase::Waiting { .. } if silent >= self.options.resend_after => self.send(now, seq),
            Phase::Recording(_) if silent >= self.record_resend() => self.send(now, seq),
            _ => Vec::new(),
        }
    }

    /// Answers "not run" and makes sure that the attempt never runs.
    fn refuse(&mut self, now: Now, seq: u64) -> Vec<Action> {
        let mut actions = vec![Action::Notify(seq, CallDecision::NotRun)];
        actions.extend(self.close(now, seq));
        actions
    }

    /// Closes an attempt that has not been started. Its claim is released where it may exist.
    fn close(&mut self, now: Now, seq: u64) -> Vec<Action> {
        let Some(pending) = self.pending.get_mut(&seq) else { return Vec::new() };
        if matches!(pending.phase, Phase::Waiting { open: 0, .. }) {
            self.pending.remove(&seq);
            return Vec::new();
        }
        pending.phase = Phase::Recording(Outcome::NotRun);
        self.send(now, seq)
    }

    /// A grant for an attempt that is no longer known here: the claim came late. It is released if the
    /// attempt was never started.
    fn on_late(&mut self, now: Now, reply: &Reply) -> Vec<Action> {
        let seq = reply.attempt.seq;
        if reply.claim_status != ClaimStatus::Granted || seq > self.last_seq {
            return Vec::new();
        }
        let ran = self.started.contains_key(&seq);
        let phase = Phase::Recording(if ran { Outcome::Unknown } else { Outcome::NotRun });
        self.pending.insert(seq, Pending { key: reply.key, begun: now, sent: now, phase });
        self.send(now, seq)
    }

    fn is_alive(&self, attempt: &AttemptId) -> bool {
        self.members.get(&attempt.vm) == Some(&attempt.incarnation)
    }

    fn send(&mut self, now: Now, seq: u64) -> Vec<Action> {
        let Some(pending) = self.pending.get_mut(&seq) else { return Vec::new() };
        pending.sent = now;
        let bucket = bucket::bucket_of(&pending.key, self.options.buckets);
        let Some(owner) = bucket::owner_of(bucket, self.members.keys()) else {
            return Vec::new();
        };
        let kind = match &mut pending.phase {
            Phase::Waiting { digest, open } => {
                *open += 1;
                RequestKind::Claim(*digest)
            }
            Phase::Recording(outcome) => RequestKind::Record(outcome.clone()),
            Phase::Granted | Phase::Running => return Vec::new(),
        };
        let attempt = AttemptId { vm: self.vm.clone(), incarnation: self.incarnation, seq };
        vec![Action::Send(owner.clone(), Request { bucket, key: pending.key, attempt, kind })]
    }
}
