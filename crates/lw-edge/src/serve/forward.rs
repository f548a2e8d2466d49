//! Makes attempts of one request until it has an answer for its caller.

use std::{sync::Arc, time::Duration};

use http::{Method, Response};
use lw_catalog::RouteKind;
use lw_forward::collect::CollectError;
use lw_limit::retry::{self, AttemptContext};
use lw_place::{Ended, Placement};
use lw_platform::headers;
use lw_protocol::caller::Failure;
use lw_types::prelude::*;

use super::{
    Call, RETRY_AFTER_LEAVING, admit,
    attempt::{Attempt, IncomingAnswer, SendOutcome},
    quota::Usage,
    record::RequestRecord,
    relay::Relay,
    takeover::{Overlap, SentAttempt, overlap},
};
use crate::{
    answer::{self, Answer},
    state::{Edge, GivenUp},
};

/// `retry-after` of a refusal without a better estimate.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// Unreachable upstreams that one request tries besides its attempts. Each costs at most the connect timeout.
const UNREACHABLE_MAX: usize = 2;
/// Time between two attempts of a request to take over from a silent upstream. Several VMs report the same upstream, and those
/// that refuse now may accept a moment later.
const TAKEOVER_PERIOD: Duration = Duration::from_millis(500);
/// Forwards a request and returns the answer for the caller.
pub(super) async fn run(edge: &Arc<Edge>, call: Arc<Call>, record: RequestRecord) -> Answer {
    let mut driver = Driver::new(edge, &call, record);
    let accepted = tokio::select! {
        accepted = driver.run_attempts() => Some(accepted),
        () = edge.wait_until_given_up(GivenUp::Unanswered) => None,
    };
    match accepted.unwrap_or_else(|| Err(driver.ending_failure())) {
        Ok(Accepted::Complete(answer)) => answer,
        Ok(Accepted::Stream(incoming)) => driver.into_relay(*incoming),
        Err(failure) => {
            driver.record.record_failure(&failure);
            answer::failure_answer(&call.head.request, &failure)
        }
    }
}

/// An upstream's answer that goes to the caller.
enum Accepted {
    /// Its body has been collected.
    Complete(Answer),
    /// It is a stream, of which only the head has been received.
    Stream(Box<IncomingAnswer>),
}

/// What an attempt is made for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    /// The request has no other attempt in flight.
    Serve,
    /// Another attempt is in flight, whose upstream is silent. It is left only for an upstream that answers.
    TakeOver,
    /// No other upstream serves the request than the silent one that it left, which may have gone on since.
    Return,
}

/// Makes the attempts of one request, within the route's limit on attempts and the service's retry budget.
#[derive(Debug)]
pub(super) struct Driver {
    pub edge: Arc<Edge>,
    pub call: Arc<Call>,
    pub record: RequestRecord,
    /// Upstreams of all attempts so far.
    pub tried: Vec<UpstreamId>,
    /// Attempts that may have reached their upstreams.
    attempts_sent: u32,
    /// Whether the next attempt has been charged to the retry budget already.
    is_charged: bool,
    context: AttemptContext,
    may_have_run: bool,
    /// Whether the request stays at this VM although its paths are lost, since no other VM reaches an upstream either.
    pub stays: bool,
    /// Charges to the usage cap of the workspace.
    usage: Usage,
    /// When another attempt may next be made to take over from a silent upstream.
    takeover_at: Now,
    /// Upstreams whose attempts were given up since they were silent, the last one at the end.
    pub left: Vec<UpstreamId>,
    /// The only software version that may go on, once a version has begun the stream.
    pub software: Option<SoftwareVersion>,
}

impl Driver {
    fn new(edge: &Arc<Edge>, call: &Arc<Call>, record: RequestRecord) -> Self {
        let now = edge.timer.now();
        let context = AttemptContext::received(now, 0, call.deadline.saturating_sub(now));
        // The VM that passed the request on may have sent it to upstreams whose answers it does not get.
        let attempts_sent = call.forwarded.as_ref().map_or(0, |forwarded| forwarded.attempts);
        Self {
            edge: Arc::clone(edge),
            call: Arc::clone(call),
            record,
            tried: Vec::new(),
            attempts_sent,
            is_charged: false,
            context,
            may_have_run: attempts_sent > 0,
            stays: false,
            usage: Usage::new(),
            takeover_at: Now::ZERO,
            left: Vec::new(),
            software: None,
        }
    }

    async fn run_attempts(&mut self) -> Result<Accepted, Failure> {
        if let Some(answer) = self.pass_on().await? {
            return Ok(Accepted::Complete(answer));
        }
        if self.call.forwarded.is_some() && self.edge.reach.is_lost(&self.call.service) {
            let text = "this VM reaches no upstream of the service either";
            return Err(Failure::new(ResultCode::NoUpstream, text).retry_after(RETRY_AFTER));
        }
        self.bind_to_origin().await?;
        // What a cap refuses is no demand that admission has to divide.
        self.usage.acquire(&self.edge, &self.call, false).await?;
        // The engines have done most of the work for a stream that is resumed.
        if self.call.resumption.is_none() {
            admit::admit(&self.edge, &self.call)?;
        }
        loop {
            if let Some(answer) = self.pass_on().await? {
                return Ok(Accepted::Complete(answer));
            }
            let attempt = match self.next_attempt().await {
                Ok(attempt) => attempt,
                Err(_) if self.may_pass_on() => continue,
                Err(failure) => return Err(failure),
            };
            match self.outcome(attempt.send(None), None).await {
                SendOutcome::Answer(incoming) => {
                    if let Some(accepted) = self.accept_answer(*incoming).await? {
                        return Ok(accepted);
                    }
                }
                SendOutcome::Unreachable => self.on_unreachable(),
                SendOutcome::NotRun => self.usage.on_not_run(),
                SendOutcome::OutcomeUnknown(why) => self.on_outcome_unknown(&why)?,
                SendOutcome::DeadlineExceeded => {
                    let text = "no answer before the deadline";
                    return Err(Failure::new(ResultCode::DeadlineExceeded, text));
                }
            }
        }
    }

    /// Begins the next attempt, if there is an upstream for it and the limits on attempts allow it.
    pub async fn next_attempt(&mut self) -> Result<Attempt, Failure> {
        match self.begin_attempt(Purpose::Serve).await {
            Ok(attempt) => Ok(attempt),
            Err(failure) => self.return_to_silent().await.ok_or(failure),
        }
    }

    /// Records that an attempt is given up since its upstream is silent.
    pub fn leave(&mut self, placement: &Placement) {
        self.left.push(placement.upstream.id.clone());
    }

    /// Begins another attempt at one of the upstreams that were left while they were silent.
    async fn return_to_silent(&mut self) -> Option<Attempt> {
        while !self.left.is_empty() {
            let attempt = self.begin_attempt(Purpose::Return).await;
            let left = self.left.pop();
            match attempt {
                Ok(attempt) => return Some(attempt),
                Err(e) => log::info!(target: "route", request = self.call.head.request.as_str(),
                    upstream = left.as_deref().unwrap_or_default(), why = e.message.as_str();
                    "the request does not return to the upstream that it left"),
            }
        }
        None
    }

    /// Begins an attempt beside one whose upstream is silent, if another upstream may take over.
    pub async fn take_over(&mut self, last_event: Option<u64>) -> Option<SentAttempt> {
        let now = self.edge.timer.now();
        if now < self.takeover_at {
            return None;
        }
        self.takeover_at = now + TAKEOVER_PERIOD;
        match self.begin_attempt(Purpose::TakeOver).await {
            Ok(attempt) => Some(attempt.send(last_event)),
            Err(e) => {
                log::info!(target: "route", request = self.call.head.request.as_str(),
                    why = e.message.as_str(); "no upstream takes over from a silent one");
                None
            }
        }
    }

    /// Waits for the outcome of an attempt. While its upstream is silent, another attempt is made beside it if one can be.
    pub async fn outcome(&mut self, mut sent: SentAttempt, last_event: Option<u64>) -> SendOutcome {
        loop {
            if let Some(outcome) = sent.outcome_or_silence().await {
                return outcome;
            }
            let second = tokio::select! {
                biased;
                outcome = sent.outcome() => return outcome,
                second = self.take_over(last_event) => second,
            };
            let Some(mut second) = second else { continue };
            self.may_have_run = true;
            match overlap(sent.outcome(), &mut second).await {
                Overlap::First(SendOutcome::Answer(answer)) => return SendOutcome::Answer(answer),
                Overlap::First(outcome) => {
                    self.count_unreachable(&outcome);
                    sent = second;
                }
                Overlap::Second(outcome) => {
                    if let Some(answer) = self.success(outcome) {
                        self.leave(&sent.placement);
                        sent.give_up().await;
                        return SendOutcome::Answer(answer);
                    }
                }
                Overlap::SecondSilent => self.leave(&second.placement),
                Overlap::TimeOver => {
                    self.leave(&sent.placement);
                    sent.give_up().await;
                    sent = second;
                }
            }
        }
    }

    /// Returns the answer with which an upstream takes over from a silent one.
    pub fn success(&mut self, outcome: SendOutcome) -> Option<Box<IncomingAnswer>> {
        match outcome {
            SendOutcome::Answer(answer) if answer.head.status.is_success() => return Some(answer),
            SendOutcome::Answer(answer) => {
                let why = format!("it answered {}, the silent one is kept", answer.head.status);
                answer.attempt.end(Ended::Complete, &why);
            }
            outcome => self.count_unreachable(&outcome),
        }
        None
    }

    fn count_unreachable(&mut self, outcome: &SendOutcome) {
        if matches!(outcome, SendOutcome::Unreachable) {
            self.on_unreachable();
        }
    }

    async fn begin_attempt(&mut self, purpose: Purpose) -> Result<Attempt, Failure> {
        let may_have_run = self.may_have_run || purpose != Purpose::Serve;
        self.usage.acquire(&self.edge, &self.call, may_have_run).await?;
        let mut placed = self.place_as_registered(purpose).await?;
        // The wait for the turn of a limited upstream may take longer than the grant is valid.
        while !self.usage.is_ready(&self.call, may_have_run) {
            self.usage.acquire(&self.edge, &self.call, may_have_run).await?;
            placed = self.place_as_registered(purpose).await?;
        }
        self.check_held()?;
        self.charge(purpose)?;
        self.usage.on_attempt(&self.edge, &self.call);
        self.attempts_sent += 1;
        self.tried.push(placed.placement.upstream.id.clone());
        self.record.count_attempt();
        Ok(Attempt::begin(&self.edge, &self.call, placed, self.tried.len()))
    }

    /// Refuses a request that crashes upstreams.
    pub fn check_quarantine(&self, purpose: Purpose) -> Result<(), Failure> {
        let now = self.edge.timer.now_including_suspend();
        let time_left = self.edge.quarantine.time_left(now, &self.call.segments);
        let Some(time_left) = time_left else { return self.check_suspicion(purpose) };
        let why = "requests with segments of this one crashed upstreams";
        if self.may_have_run {
            return Err(Failure::new(ResultCode::OutcomeUnknown, why));
        }
        Err(Failure::new(ResultCode::Quarantined, why).retry_after(time_left))
    }

    /// Refuses an attempt at a request that crashed upstreams, unless this VM may send one copy of it now.
    fn check_held(&self) -> Result<(), Failure> {
        let now = self.edge.timer.now_including_suspend();
        self.edge.quarantine.try_begin(now, &self.call.segments).map_err(|time_left| {
            let why =
                "upstreams crashed with this request, and another copy of it may be in flight";
            if self.may_have_run {
                return Failure::new(ResultCode::OutcomeUnknown, why);
            }
            Failure::new(ResultCode::Quarantined, why).retry_after(time_left)
        })
    }

    /// Refuses a further attempt at a request that may crash its engine.
    fn check_suspicion(&self, purpose: Purpose) -> Result<(), Failure> {
        let may_have_run = self.may_have_run || purpose != Purpose::Serve;
        if !may_have_run || self.edge.quarantine.may_send_again(&self.call.segments) {
            return Ok(());
        }
        let why = "upstreams crashed with segments of this request";
        Err(Failure::new(ResultCode::OutcomeUnknown, why))
    }

    /// Excludes the last attempt from the limits on attempts, since it did not reach its upstream.
    pub fn on_unreachable(&mut self) {
        self.usage.on_not_run();
        self.attempts_sent -= 1;
        self.is_charged = true;
    }

    /// Charges the next attempt to the limits on attempts. One that returns is at no further upstream, so that it needs the
    /// retry budget only.
    fn charge(&mut self, purpose: Purpose) -> Result<(), Failure> {
        let attempts = self.call.route.attempts;
        let is_further = purpose != Purpose::Return;
        let upstreams_max = usize::try_from(attempts).unwrap_or(usize::MAX) + UNREACHABLE_MAX;
        if is_further && self.tried.len() >= upstreams_max {
            return Err(self.refusal("too many upstreams cannot be reached"));
        }
        if is_further && self.attempts_sent > 0 && self.attempts_sent >= attempts {
            return Err(self.refusal("no attempts left"));
        }
        if std::mem::take(&mut self.is_charged) {
            return Ok(());
        }
        if self.attempts_sent == 0 {
            let (now, context) = (self.edge.timer.now(), self.context);
            let arrive = |budget: &mut retry::Budget| budget.record_arrival(now, context);
            return match self.edge.with_retry_budget(&self.call.service, arrive) {
                Ok(()) => Ok(()),
                Err(e) => Err(self.refusal(&e.to_string())),
            };
        }
        let (now, context) = (self.edge.timer.now(), self.context);
        let spend = |budget: &mut retry::Budget| budget.spend(now, retry::Kind::Retry, context);
        let charged = self.edge.with_retry_budget(&self.call.service, spend);
        self.context = charged.map_err(|e| self.refusal(&e.to_string()))?;
        Ok(())
    }

    /// Returns the number of attempts that may have reached upstreams.
    pub fn attempts_sent(&self) -> u32 {
        self.attempts_sent
    }

    /// Whether an attempt so far may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns the failure of a request that gets no further attempt. Its code says "not run" only if no attempt may
    /// have run.
    pub fn refusal(&self, why: &str) -> Failure {
        if self.may_have_run {
            return Failure::new(ResultCode::OutcomeUnknown, why);
        }
        Failure::new(ResultCode::Overloaded, why).retry_after(RETRY_AFTER)
    }

    /// Returns the failure of a request that is given up since the process ends.
    fn ending_failure(&self) -> Failure {
        let why = "this VM ends before the answer";
        if self.attempts_sent > 0 {
            return Failure::new(ResultCode::OutcomeUnknown, why);
        }
        Failure::new(ResultCode::Draining, why).retry_after(RETRY_AFTER_LEAVING)
    }

    /// Records that an attempt may have run.
    ///
    /// # Errors
    ///
    /// When the request must not run again.
    pub fn on_outcome_unknown(&mut self, why: &str) -> Result<(), Failure> {
        self.may_have_run = true;
        if self.call.route.kind.may_repeat() {
            return Ok(());
        }
        Err(Failure::new(ResultCode::OutcomeUnknown, why))
    }

    /// Accepts an answer for the caller, or returns none if another attempt is to be made instead.
    async fn accept_answer(
        &mut self,
        mut incoming: IncomingAnswer,
    ) -> Result<Option<Accepted>, Failure> {
        self.record.record_first_byte();
        let status = incoming.head.status;
        if matches!(self.call.route.kind, RouteKind::Stream { .. }) && status.is_success() {
            incoming.attempt.on_stream_started();
            self.may_have_run = true;
            return Ok(Some(Accepted::Stream(Box::new(incoming))));
        }
        let left = self.call.due.saturating_sub(self.edge.timer.now());
        let IncomingAnswer { head, body, attempt } = incoming;
        let bytes = match tokio::time::timeout(left, self.edge.answer_memory.collect(body)).await {
            Err(_) => {
                attempt.end(Ended::Failed, "its body was not complete before the deadline");
                let text = "no complete answer before the deadline";
                return Err(Failure::new(ResultCode::DeadlineExceeded, text));
            }
            // The upstream did nothing wrong, and another answer would find no memory either.
            Ok(Err(e @ CollectError::MemoryExhausted)) => {
                let why = e.to_string();
                attempt.end(Ended::Cancelled, &why);
                return Err(Failure::new(ResultCode::OutcomeUnknown, why));
            }
            Ok(Err(e)) => {
                let why = e.to_string();
                attempt.end_broken(&why);
                self.on_outcome_unknown(&why)?;
                return Ok(None);
            }
            Ok(Ok(bytes)) => bytes,
        };
        let may_repeat = self.call.route.kind == RouteKind::Idempotent && status.is_server_error();
        if may_repeat && self.attempts_sent < self.call.route.attempts {
            attempt.end_error(&format!("it answered {status}; the request is retried"));
            self.may_have_run = true;
            return Ok(None);
        }
        if status.is_success() {
            attempt.end_complete();
        } else {
            attempt.end_error("");
        }
        self.record.record_answer(status.as_u16());
        let mut response = Response::new(answer::full_body(bytes));
        *response.status_mut() = status;
        let mut headers = headers::end_to_end(&head.headers);
        if self.call.method != Method::HEAD {
            // The HTTP library states the length of the body.
            headers.remove(http::header::CONTENT_LENGTH);
        }
        *response.headers_mut() = headers;
        Ok(Some(Accepted::Complete(response)))
    }

    fn into_relay(self, incoming: IncomingAnswer) -> Answer {
        let mut headers = headers::end_to_end(&incoming.head.headers);
        headers.remove(http::header::CONTENT_LENGTH);
        let status = incoming.head.status;
        let mut response = Response::new(Relay::new(self, incoming).into_body());
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }
}
