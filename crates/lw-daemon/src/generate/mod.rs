//! Carries out one completion: drives the stream assembler with the events of its attempts.

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
mod choice;
mod kv;

use attempt::{Attempting, Received};
use choice::Denied;

/// Part of the deadline that one attempt may take to its first event, so that another one still fits.
const FIRST_EVENT_PART: f64 = 0.6;
/// Time without a token after which an engine counts as stalled: a few of its steps.
const STALL_AFTER: Duration = Duration::from_millis(150);
/// Longest sleep of the driver when nothing is due.
const IDLE: Duration = Duration::from_secs(3600);

/// A request that was decided on.
#[derive(Debug)]
pub struct Job {
    /// Who asked.
    pub caller: Caller,
    /// What was asked.
    pub completion: CompletionRequest,
    /// The same for the router.
    pub request: lw_route::Request,
    /// Engines to use, best first.
    pub placement: Placement,
    /// Attempts made for it with other weights, and its deadline.
    pub carried: AttemptContext,
}

/// A piece of the answer.
#[derive(Debug)]
pub enum Piece {
    /// Text that follows the pieces before.
    Text(String),
    /// The answer is complete.
    Finish(End),
    /// The answer cannot be completed.
    Fail(Failure),
}

struct Running {
    attempt: Attempt,
    engine: UpstreamId,
    incarnation: Option<Incarnation>,
    io: Attempting,
    has_token: bool,
}

/// A completion under way. Dropping it cancels its attempts at the engines.
///
/// It runs in the task that polls it: a caller who reads slowly holds back its engine, and one who leaves drops it.
pub struct Driver {
    tables: Arc<Tables>,
    job: Job,
    assembler: Assembler,
    running: Vec<Running>,
    tried: Vec<UpstreamId>,
    text: String,
    ready: VecDeque<Piece>,
    due: Now,
    carried: AttemptContext,
    hedge_at: Option<Now>,
    hedge: Option<Candidate>,
    stall_at: Option<Now>,
    last_token: Option<Now>,
    longest_gap: Duration,
    denied: Option<Denied>,
}

impl Driver {
    /// Starts a job with its first attempt.
    #[must_use]
    pub fn start(tables: Arc<Tables>, job: Job) -> Self {
        let now = tables.timer.now();
        let deadline = job.caller.deadline;
        let options = Options {
            first_event_timeout: deadline.mul_f64(FIRST_EVENT_PART),
            idle_timeout: tables.settings.timeouts.stream_silence,
            ..Options::default()
        };
        let version = job.request.scope.model_version.clone();
        let (assembler, actions) = Assembler::start(job.request.id.clone(), version, options, now);
        let mut driver = Self {
            due: job.caller.arrived + deadline,
            carried: job.carried,
            hedge_at: Some(now + job.placement.hedge_after),
            tables,
            job,
            assembler,
            running: Vec::with_capacity(1),
            tried: Vec::with_capacity(1),
            text: String::new(),
            ready: VecDeque::with_capacity(1),
            hedge: None,
            stall_at: None,
            last_token: None,
            longest_gap: Duration::ZERO,
            denied: None,
        };
        driver.apply(actions);
        driver
    }

    /// What another driver for the same caller's request carries after this one failed with `code`.
    #[must_use]
    pub fn carried(&self, code: ResultCode) -> AttemptContext {
        let repeats = Attempt::from(code.ran() != Ran::No);
        AttemptContext { attempt: self.carried.attempt.saturating_add(repeats), ..self.carried }
    }

    /// The next piece of the answer; `None` after the last one.
    pub async fn next(&mut self) -> Option<Piece> {
        loop {
            if let Some(piece) = self.ready.pop_front() {
                return Some(piece);
            }
            if self.assembler.is_over() {
                return None;
            }
            let now = self.tables.timer.now();
            let wake = Instant::now() + self.next_wake(now);
            let actions = tokio::select! {
                biased;
                (attempt, received) = received(&mut self.running) => self.take(attempt, received),
                () = tokio::time::sleep_until(wake) => self.wake(),
            };
            self.apply(actions);
        }
    }

    fn next_wake(&self, now: Now) -> Duration {
        let has_begun = self.assembler.delivered_tokens() > 0;
        let due = (!has_begun).then_some(self.due);
        let hedge = self.hedge_at.filter(|_| !has_begun);
        let next = [self.assembler.next_tick(), due, hedge, self.stall_at];
        next.into_iter().flatten().min().map_or(IDLE, |at| at.saturating_sub(now))
    }

    fn wake(&mut self) -> Vec<Action> {
        let now = self.tables.timer.now();
        let has_begun = self.assembler.delivered_tokens() > 0;
        if !has_begun && now >= self.due {
            let code = ResultCode::DeadlineExceeded;
            return self.assembler.step(now, Event::Abort { code });
        }
        if self.stall_at.take_if(|at| *at <= now).is_some() {
            self.stalled(now);
        }
        if !has_begun && self.hedge_at.is_some_and(|at| at <= now) && self.is_hedge_due(now) {
            return self.assembler.step(now, Event::Hedge);
        }
        self.assembler.step(now, Event::Tick)
    }

    fn take(&mut self, attempt: Attempt, received: Received) -> Vec<Action> {
        let now = self.tables.timer.now();
        match received {
            Received::Started => {
                let incarnation = self.running(attempt).and_then(|running| running.incarnation);
                self.assembler.step(now, Event::Started { attempt, incarnation })
            }
            Received::Data(data) => match EventRef::parse(&data) {
                Ok(EventRef::Token(token)) => {
                    if token.attempt == attempt && token.request == self.job.request.id {
                        self.first_token(now, attempt);
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
                Ok(EventRef::Other(event)) => self.take_other(now, attempt, *event),
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

    fn take_other(&mut self, now: Now, via: Attempt, event: GenerateEvent) -> Vec<Action> {
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
                self.report(via, &load);
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
                    if let Err(denied) = self.start_attempt(attempt, resume_from, cause) {
                        let now = self.tables.timer.now();
                        let code = denied.0;
                        self.denied = Some(denied);
                        actions.extend(
                            self.assembler.step(now, Event::StartRefused { attempt, code }),
                        );
                    }
                }
                Action::Cancel { attempt } => self.end_attempt(attempt, cancelled),
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
        self.ready.push_back(Piece::Text(text));
    }

    fn finish(&mut self, end: End) {
        let now = self.tables.timer.now();
        self.record_time(Measure::Whole, now.saturating_sub(self.job.caller.arrived));
        if end.tokens > 1 {
            self.record_time(Measure::TokenGap, self.longest_gap);
        }
        self.tables.statsd.result(ResultCode::Ok);
        let what = format!(
            "complete: {} tokens, {} of {} prompt tokens cached",
            end.tokens, end.usage.cached_prompt_tokens, end.usage.prompt_tokens
        );
        self.note("stream", &what);
        while let Some(attempt) = self.running.first().map(|running| running.attempt) {
            self.end_attempt(attempt, |request, attempt| RouterEvent::Finished {
                request,
                attempt,
            });
        }
        self.ready.push_back(Piece::Finish(end));
    }

    fn fail(&mut self, code: ResultCode) {
        let mut failure = Failure::new(code, describe(code));
        if let Some((denied, Some(time))) = self.denied
            && denied == code
        {
            failure = failure.retry_after(time);
        }
        self.note("stream", &format!("failed: {}", code.name()));
        // A failure before the first token is counted where the caller gets its error answer.
        if self.assembler.delivered_tokens() > 0 {
            self.tables.statsd.result(code);
        }
        self.ready.push_back(Piece::Fail(failure));
    }

    fn start_attempt(
        &mut self,
        attempt: Attempt,
        resume_from: TokenIndex,
        cause: Cause,
    ) -> Result<(), Denied> {
        let candidate = self.choose(cause, resume_from)?;
        self.note("stream", &format!("attempt {attempt} ({cause}) at {}", candidate.engine));
        let upstreams = &self.job.caller.active.document.upstreams;
        let upstream = upstreams.get(&candidate.engine).ok_or((ResultCode::NoUpstream, None))?;
        let addr = upstream.address;
        let sent = RouterEvent::Sent { request: &self.job.request, attempt, candidate: &candidate };
        self.tables.router().record(self.tables.timer.now(), sent);
        let resume =
            (resume_from > 0).then(|| Resume { from: resume_from, text: self.text.clone() });
        let mut body = attempt::body(&self.job, attempt, candidate.incarnation, resume);
        let left = self.due.saturating_sub(self.tables.timer.now());
        body.deadline_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let reuse = if cause == Cause::First { Reuse::Pooled } else { Reuse::Fresh };
        let moved = self.kv_move(&candidate, addr, &body);
        let io = Attempting::new(&self.tables.clients, addr, &body, reuse, moved);
        self.tried.push(candidate.engine.clone());
        let Candidate { engine, incarnation, .. } = candidate;
        self.running.push(Running { attempt, engine, incarnation, io, has_token: false });
        Ok(())
    }

    /// The KV move that makes the first token of an attempt earlier, if there is one.
    fn kv_move(
        &self,
        candidate: &Candidate,
        to: SocketAddr,
        body: &GenerateRequest,
    ) -> Option<kv::Move> {
        let import = candidate.import.as_ref()?;
        let from = self.job.caller.active.document.upstreams.get(&import.from)?.address;
        let what = format!("moves {} tokens of KV cache from {}", import.tokens, import.from);
        self.note("route", &what);
        Some(kv::Move {
            from,
            to,
            model: body.model.clone(),
            version: body.version.clone(),
            scope: body.scope.clone(),
            blocks: body.blocks.iter().copied().take(import.blocks).collect(),
            expected: import.expected,
        })
    }

    /// Tells the router that the engines of the running attempts have stopped giving tokens.
    fn stalled(&self, now: Now) {
        for running in &self.running {
            let request = &self.job.request.id;
            let event = RouterEvent::Stalled { request, attempt: running.attempt };
            self.tables.router().record(now, event);
        }
    }

    fn running(&mut self, attempt: Attempt) -> Option<&mut Running> {
        self.running.iter_mut().find(|running| running.attempt == attempt)
    }

    fn first_token(&mut self, now: Now, attempt: Attempt) {
        let is_first = self
            .running(attempt)
            .is_some_and(|running| !std::mem::replace(&mut running.has_token, true));
        if is_first {
            let event = RouterEvent::FirstToken { request: &self.job.request.id, attempt };
            self.tables.router().record(now, event);
        }
    }

    fn report(&mut self, attempt: Attempt, load: &LoadReport) {
        let Some(engine) = self.running(attempt).map(|running| running.engine.clone()) else {
            return;
        };
        let report = lw_route::LoadReport::from(load);
        let event = RouterEvent::Load { engine: &engine, report: &report };
        self.tables.router().record(self.tables.timer.now(), event);
    }

    fn record_failure(&mut self, attempt: Attempt, reason: &str) {
        let Some(running) = self.running(attempt) else { return };
        let what = format!("attempt {attempt} at {} failed: {reason}", running.engine);
        log::warn!("stream: {} {what}", self.job.request.id);
        self.note("stream", &what);
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

    fn note(&self, part: &str, what: &str) {
        self.tables.note(part, &self.job.request.id, what);
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        if !self.assembler.is_over() {
            self.note("stream", "caller left");
        }
        while let Some(attempt) = self.running.first().map(|running| running.attempt) {
            self.end_attempt(attempt, cancelled);
        }
    }
}

fn cancelled(request: &str, attempt: Attempt) -> RouterEvent<'_> {
    RouterEvent::Cancelled { request, attempt }
}

/// Waits until any running attempt receives something; for ever when there is none.
async fn received(running: &mut [Running]) -> (Attempt, Received) {
    std::future::poll_fn(|cx| {
        for running in running.iter_mut() {
            if let Poll::Ready(received) = running.io.poll_next(cx) {
                return Poll::Ready((running.attempt, received));
            }
        }
        Poll::Pending
    })
    .await
}

fn describe(code: ResultCode) -> &'static str {
    match code {
        ResultCode::DeadlineExceeded => "the first token did not arrive before the deadline",
        ResultCode::Overloaded => "no engine can answer before the deadline",
        ResultCode::NoUpstream => "no engine for the model is available",
        ResultCode::NotSent => "no engine could be reached",
        _ => "the answer was interrupted and could not be resumed",
    }
}
