//! Runs one completion: feeds the events of its attempts to the stream assembler and performs its actions.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, task::Poll, time::Duration};

use lw_limit::retry::AttemptContext;
use lw_metrics::histograms::Measure;
use lw_protocol::{
    caller::{CompletionRequest, Failure},
    upstream::{EventRef, GenerateEvent, GenerateRequest, LoadReport, Resume},
};
use lw_route::{Candidate, Placement, router::Event as RouterEvent};
use lw_stream::{
    assembler::{Assembler, Options},
    event::{Action, Cause, End, Event, EventSource, Usage},
};
use lw_transport::client::Reuse;
use lw_types::prelude::*;
use tokio::time::Instant;

use crate::{callers::Caller, tables::Tables};

mod attempt;
mod kv;
mod placement;

use attempt::{AttemptStream, Received};
use placement::Denial;

/// Fraction of the deadline that one attempt may take to its first event, so that time remains for another one.
const FIRST_EVENT_FRACTION: f64 = 0.6;
/// Time without a token after which an engine counts as stalled: a few of its decoding steps.
const STALL_AFTER: Duration = Duration::from_millis(150);
/// Longest sleep of the driver when no timer is set.
const SLEEP_MAX: Duration = Duration::from_secs(3600);

/// A request that was placed.
#[derive(Debug)]
pub struct Job {
    /// Caller of the request.
    pub caller: Caller,
    /// Request of the caller.
    pub completion: CompletionRequest,
    /// The same request in the form that the router uses.
    pub request: lw_route::Request,
    /// Engines to use, best first.
    pub placement: Placement,
    /// Number of attempts already made with other weights, and the deadline.
    pub context: AttemptContext,
}

/// An event of the answer.
#[derive(Debug)]
pub enum AnswerEvent {
    /// Text to append to the answer.
    Text(String),
    /// The answer is complete.
    Finish(End),
    /// The answer cannot be completed.
    Fail(Failure),
}

struct RunningAttempt {
    attempt: Attempt,
    engine: UpstreamId,
    incarnation: Option<Incarnation>,
    stream: AttemptStream,
    has_token: bool,
}

/// A running completion. Dropping it cancels its attempts at the engines.
///
/// It runs in the task that polls it. So a caller that reads slowly slows its engine down, and one that disconnects
/// drops the driver.
pub struct Driver {
    tables: Arc<Tables>,
    job: Job,
    assembler: Assembler,
    running: Vec<RunningAttempt>,
    tried_engines: Vec<UpstreamId>,
    text: String,
    pending_events: VecDeque<AnswerEvent>,
    first_token_due: Now,
    context: AttemptContext,
    hedge_check_at: Option<Now>,
    hedge_candidate: Option<Candidate>,
    stall_at: Option<Now>,
    last_token: Option<Now>,
    longest_gap: Duration,
    denial: Option<Denial>,
}

impl Driver {
    /// Starts a job with its first attempt.
    #[must_use]
    pub fn start(tables: Arc<Tables>, job: Job) -> Self {
        let now = tables.timer.now();
        let deadline = job.caller.deadline;
        let options = Options {
            first_event_timeout: deadline.mul_f64(FIRST_EVENT_FRACTION),
            idle_timeout: tables.settings.timeouts.stream_silence,
            // Before the first token the deadline ends the stream, so a silent attempt may run up to it.
            replacement_timeout: placement::RESUME_DEADLINE.max(deadline),
            ..Options::default()
        };
        let version = job.request.scope.model_version.clone();
        let (assembler, actions) = Assembler::start(job.request.id.clone(), version, options, now);
        let mut driver = Self {
            first_token_due: job.caller.arrived + deadline,
            context: job.context,
            hedge_check_at: Some(now + job.placement.hedge_after),
            tables,
            job,
            assembler,
            running: Vec::with_capacity(1),
            tried_engines: Vec::with_capacity(1),
            text: String::new(),
            pending_events: VecDeque::with_capacity(1),
            hedge_candidate: None,
            stall_at: None,
            last_token: None,
            longest_gap: Duration::ZERO,
            denial: None,
        };
        driver.apply(actions);
        driver
    }

    /// Returns the context for another driver of the same request after this one failed with `code`.
    #[must_use]
    pub fn context_after(&self, code: ResultCode) -> AttemptContext {
        let repeats = Attempt::from(code.executed() != Executed::No);
        AttemptContext { attempt: self.context.attempt.saturating_add(repeats), ..self.context }
    }

    /// Returns the next event of the answer; `None` after the last one.
    pub async fn next(&mut self) -> Option<AnswerEvent> {
        loop {
            if let Some(event) = self.pending_events.pop_front() {
                return Some(event);
            }
            if self.assembler.is_over() {
                return None;
            }
            let now = self.tables.timer.now();
            let wake = Instant::now() + self.time_to_wake(now);
            let actions = tokio::select! {
                biased;
                (attempt, received) = received(&mut self.running) => self.on_received(attempt, received),
                () = tokio::time::sleep_until(wake) => self.on_wake(),
            };
            self.apply(actions);
        }
    }

    fn time_to_wake(&self, now: Now) -> Duration {
        let has_begun = self.assembler.delivered_tokens() > 0;
        let due = (!has_begun).then_some(self.first_token_due);
        let hedge = self.hedge_check_at.filter(|_| !has_begun);
        let next = [self.assembler.next_tick(), due, hedge, self.stall_at];
        next.into_iter().flatten().min().map_or(SLEEP_MAX, |at| at.saturating_sub(now))
    }

    fn on_wake(&mut self) -> Vec<Action> {
        let now = self.tables.timer.now();
        let has_begun = self.assembler.delivered_tokens() > 0;
        if !has_begun && now >= self.first_token_due {
            let code = ResultCode::DeadlineExceeded;
            return self.assembler.step(now, Event::Abort { code });
        }
        if self.stall_at.take_if(|at| *at <= now).is_some() {
            self.report_stall(now);
        }
        if !has_begun && self.hedge_check_at.is_some_and(|at| at <= now) && self.prepare_hedge(now)
        {
            return self.assembler.step(now, Event::Hedge);
        }
        self.assembler.step(now, Event::Tick)
    }

    fn on_received(&mut self, attempt: Attempt, received: Received) -> Vec<Action> {
        let now = self.tables.timer.now();
        match received {
            Received::Started => {
                let incarnation =
                    self.running_attempt(attempt).and_then(|running| running.incarnation);
                self.assembler.step(now, Event::Started { attempt, incarnation })
            }
            Received::Data(data) => match EventRef::parse(&data) {
                Ok(EventRef::Token(token)) => {
                    if token.attempt == attempt && token.request == self.job.request.id {
                        self.record_first_token(now, attempt);
                    }
                    let source = EventSource {
                        request: &token.request,
                        attempt: token.attempt,
                        incarnation: token.incarnation,
                        version: &token.version,
                    };
                    let (index, text) = (token.index, token.text);
                    self.assembler.step(now, Event::Token { source, index, text })
                }
                Ok(EventRef::Other(event)) => self.on_engine_event(now, attempt, *event),
                Err(e) => self.fail_attempt(now, attempt, ResultCode::StreamBroken, &e.to_string()),
            },
            Received::Closed => {
                self.record_failure(attempt, "connection closed");
                self.assembler.step(now, Event::Closed { attempt })
            }
            Received::Failed { code, reason } => self.fail_attempt(now, attempt, code, &reason),
        }
    }

    fn fail_attempt(
        &mut self,
        now: Now,
        attempt: Attempt,
        code: ResultCode,
        reason: &str,
    ) -> Vec<Action> {
        self.record_failure(attempt, reason);
        self.assembler.step(now, Event::Failed { attempt, code })
    }

    fn on_engine_event(&mut self, now: Now, via: Attempt, event: GenerateEvent) -> Vec<Action> {
        match event {
            GenerateEvent::Token { request, attempt, incarnation, version, index, text } => {
                let source =
                    EventSource { request: &request, attempt, incarnation, version: &version };
                self.assembler.step(now, Event::Token { source, index, text })
            }
            GenerateEvent::End {
                request,
                attempt,
                incarnation,
                version,
                tokens,
                finish,
                prompt_tokens,
                cached_tokens,
                load,
            } => {
                self.record_load(via, &load);
                let source =
                    EventSource { request: &request, attempt, incarnation, version: &version };
                let usage = Usage {
                    prompt_tokens,
                    cached_prompt_tokens: cached_tokens,
                    completion_tokens: tokens,
                };
                let end = End { finish_reason: finish, tokens, usage };
                self.assembler.step(now, Event::End { source, end })
            }
            GenerateEvent::Error { request, attempt, message } => {
                if request != self.job.request.id || attempt != via {
                    return Vec::new();
                }
                self.fail_attempt(now, attempt, ResultCode::UpstreamError, &message)
            }
        }
    }

    fn apply(&mut self, actions: Vec<Action>) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Deliver { text, .. } => self.deliver(text),
                Action::Start { attempt, resume_from, cause } => {
                    if let Err(denial) = self.start_attempt(attempt, resume_from, cause) {
                        let now = self.tables.timer.now();
                        let code = denial.0;
                        self.denial = Some(denial);
                        actions.extend(
                            self.assembler.step(now, Event::StartRefused { attempt, code }),
                        );
                    }
                }
                Action::Cancel { attempt } => self.end_attempt(attempt, cancelled_event),
                Action::Finish(end) => self.finish(end),
                Action::Fail(code) => self.fail(code),
            }
        }
    }

    fn deliver(&mut self, text: String) {
        let now = self.tables.timer.now();
        match self.last_token.replace(now) {
            None => {
                let time = now.saturating_sub(self.job.caller.arrived);
                self.record_time(Measure::FirstToken, time);
                self.tables.statsd.time("first_token", time);
            }
            Some(before) => self.longest_gap = self.longest_gap.max(now.saturating_sub(before)),
        }
        self.stall_at = Some(now + STALL_AFTER);
        self.text.push_str(&text);
        self.pending_events.push_back(AnswerEvent::Text(text));
    }

    fn finish(&mut self, end: End) {
        let now = self.tables.timer.now();
        self.record_time(Measure::CompleteAnswer, now.saturating_sub(self.job.caller.arrived));
        if end.tokens > 1 {
            self.record_time(Measure::TokenGap, self.longest_gap);
        }
        self.tables.statsd.count_result(ResultCode::Ok);
        let what = format!(
            "complete: {} tokens, {} of {} prompt tokens cached",
            end.tokens, end.usage.cached_prompt_tokens, end.usage.prompt_tokens
        );
        self.record_step("stream", &what);
        while let Some(attempt) = self.running.first().map(|running| running.attempt) {
            self.end_attempt(attempt, |request, attempt| RouterEvent::Finished {
                request,
                attempt,
            });
        }
        self.pending_events.push_back(AnswerEvent::Finish(end));
    }

    fn fail(&mut self, code: ResultCode) {
        let mut failure = Failure::new(code, failure_text(code));
        if let Some((denial, Some(time))) = self.denial
            && denial == code
        {
            failure = failure.retry_after(time);
        }
        self.record_step("stream", &format!("failed: {}", code.name()));
        // A failure before the first token is counted where the error answer is sent to the caller.
        if self.assembler.delivered_tokens() > 0 {
            self.tables.statsd.count_result(code);
        }
        self.pending_events.push_back(AnswerEvent::Fail(failure));
    }

    fn start_attempt(
        &mut self,
        attempt: Attempt,
        resume_from: TokenIndex,
        cause: Cause,
    ) -> Result<(), Denial> {
        let candidate = self.candidate_for(cause, resume_from)?;
        self.record_step("stream", &format!("attempt {attempt} ({cause}) at {}", candidate.engine));
        let addr = self.engine_address(&candidate.engine).ok_or((ResultCode::NoUpstream, None))?;
        let sent = RouterEvent::Sent { request: &self.job.request, attempt, candidate: &candidate };
        self.tables.router().record(self.tables.timer.now(), sent);
        let resume =
            (resume_from > 0).then(|| Resume { from: resume_from, text: self.text.clone() });
        let mut body = attempt::request_body(&self.job, attempt, candidate.incarnation, resume);
        let remaining = self.first_token_due.saturating_sub(self.tables.timer.now());
        body.deadline_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        let reuse = if cause == Cause::First { Reuse::Pooled } else { Reuse::Fresh };
        let kv_move = self.kv_move(&candidate, addr, &body);
        let stream = AttemptStream::new(&self.tables.clients, addr, &body, reuse, kv_move);
        self.tried_engines.push(candidate.engine.clone());
        let Candidate { engine, incarnation, .. } = candidate;
        self.running.push(RunningAttempt {
            attempt,
            engine,
            incarnation,
            stream,
            has_token: false,
        });
        Ok(())
    }

    /// Returns the KV move to make before an attempt, if the placement includes one.
    fn kv_move(
        &self,
        candidate: &Candidate,
        to: SocketAddr,
        body: &GenerateRequest,
    ) -> Option<kv::KvMove> {
        let import = candidate.import.as_ref()?;
        let from = self.engine_address(&import.from)?;
        let what = format!("moves {} tokens of KV cache from {}", import.tokens, import.from);
        self.record_step("route", &what);
        Some(kv::KvMove {
            from,
            to,
            model: body.model.clone(),
            version: body.version.clone(),
            scope: body.scope.clone(),
            blocks: body.blocks.iter().copied().take(import.blocks).collect(),
            expected: import.expected,
        })
    }

    /// Reports to the router that the engines of the running attempts have stopped sending tokens.
    fn report_stall(&self, now: Now) {
        for running in &self.running {
            let request = &self.job.request.id;
            let event = RouterEvent::Stalled { request, attempt: running.attempt };
            self.tables.router().record(now, event);
        }
    }

    fn running_attempt(&mut self, attempt: Attempt) -> Option<&mut RunningAttempt> {
        self.running.iter_mut().find(|running| running.attempt == attempt)
    }

    fn record_first_token(&mut self, now: Now, attempt: Attempt) {
        let is_first = self
            .running_attempt(attempt)
            .is_some_and(|running| !std::mem::replace(&mut running.has_token, true));
        if is_first {
            let event = RouterEvent::FirstToken { request: &self.job.request.id, attempt };
            self.tables.router().record(now, event);
        }
    }

    fn record_load(&mut self, attempt: Attempt, load: &LoadReport) {
        let Some(engine) = self.running_attempt(attempt).map(|running| running.engine.clone())
        else {
            return;
        };
        let report = lw_route::LoadReport::from(load);
        let event = RouterEvent::Load { engine: &engine, report: &report };
        self.tables.router().record(self.tables.timer.now(), event);
    }

    fn record_failure(&mut self, attempt: Attempt, reason: &str) {
        let Some(running) = self.running_attempt(attempt) else { return };
        let what = format!("attempt {attempt} at {} failed: {reason}", running.engine);
        log::warn!("stream: {} {what}", self.job.request.id);
        self.record_step("stream", &what);
        self.end_attempt(attempt, |request, attempt| RouterEvent::Failed { request, attempt });
    }

    fn end_attempt(
        &mut self,
        attempt: Attempt,
        event: impl for<'a> Fn(&'a str, Attempt) -> RouterEvent<'a>,
    ) {
        let Some(at) = self.running.iter().position(|running| running.attempt == attempt) else {
            return;
        };
        self.running.swap_remove(at);
        let now = self.tables.timer.now();
        self.tables.router().record(now, event(&self.job.request.id, attempt));
    }

    fn record_time(&self, measure: Measure, time: Duration) {
        let caller = &self.job.caller;
        self.tables.histograms.record(&caller.workspace, caller.class, measure, time);
    }

    fn record_step(&self, component: &str, step: &str) {
        self.tables.record_step(component, &self.job.request.id, step);
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        if !self.assembler.is_over() {
            self.record_step("stream", "caller disconnected");
        }
        while let Some(attempt) = self.running.first().map(|running| running.attempt) {
            self.end_attempt(attempt, cancelled_event);
        }
    }
}

fn cancelled_event(request: &str, attempt: Attempt) -> RouterEvent<'_> {
    RouterEvent::Cancelled { request, attempt }
}

/// Waits until any running attempt receives something; never returns if none is running.
async fn received(running: &mut [RunningAttempt]) -> (Attempt, Received) {
    std::future::poll_fn(|cx| {
        for running in running.iter_mut() {
            if let Poll::Ready(received) = running.stream.poll_next(cx) {
                return Poll::Ready((running.attempt, received));
            }
        }
        Poll::Pending
    })
    .await
}

fn failure_text(code: ResultCode) -> &'static str {
    match code {
        ResultCode::DeadlineExceeded => "the first token did not arrive before the deadline",
        ResultCode::Overloaded => "no engine can answer before the deadline",
        ResultCode::NoUpstream => "no engine for the model is available",
        ResultCode::NotSent => "no engine could be reached",
        _ => "the answer was interrupted and could not be resumed",
    }
}
