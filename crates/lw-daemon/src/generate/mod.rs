//! Carries out one completion: drives the stream assembler with the events of its attempts.

use std::{collections::HashMap, sync::Arc, time::Duration};

use lw_limit::retry::{Carried, Kind};
use lw_metrics::histograms::Measure;
use lw_protocol::{
    caller::{Completion, Failure},
    upstream::{GenerateEvent, Resume},
};
use lw_route::{Candidate, Decision, Hedge, Placement};
use lw_stream::{
    assembler::{Assembler, Options},
    event::{Action, Cause, End, Event, Origin, Usage},
};
use lw_types::prelude::*;
use tokio::{sync::mpsc, task::AbortHandle, time::Instant};

use crate::{callers::Caller, tables::Tables};

mod attempt;

use attempt::{Incoming, Received};

/// Upstream events that wait for the assembler.
const EVENTS_QUEUED: usize = 16;
/// Part of the deadline that one attempt may take to its first event, so that another one still fits.
const FIRST_EVENT_PART: f64 = 0.6;
/// Time within which an interrupted answer must go on at another engine.
const RESUME_DEADLINE: Duration = Duration::from_secs(10);
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
    pub completion: Completion,
    /// The same for the router.
    pub request: lw_route::Request,
    /// Engines to use, best first.
    pub placement: Placement,
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
    engine: UpstreamId,
    task: AbortHandle,
    has_token: bool,
}

struct Driver {
    tables: Arc<Tables>,
    job: Job,
    out: mpsc::Sender<Piece>,
    events: mpsc::Sender<Incoming>,
    running: HashMap<Attempt, Running>,
    tried: Vec<UpstreamId>,
    text: String,
    carried: Carried,
    hedge_at: Option<Now>,
    hedge: Option<Candidate>,
    stall_at: Option<Now>,
    last_token: Option<Now>,
    longest_gap: Duration,
    denied: Vec<(Attempt, ResultCode, Option<Duration>)>,
}

/// Runs a job to its end. Stops its attempts when `out` is closed.
pub async fn run(tables: Arc<Tables>, job: Job, out: mpsc::Sender<Piece>) {
    let now = tables.timer.now();
    let deadline = job.caller.deadline;
    let options = Options {
        first_event: deadline.mul_f64(FIRST_EVENT_PART),
        silence: tables.settings.timeouts.stream_silence,
        ..Options::default()
    };
    let version = job.request.scope.model_version.clone();
    let (assembler, actions) = Assembler::start(job.request.id.clone(), version, options, now);
    let (events, incoming) = mpsc::channel(EVENTS_QUEUED);
    let driver = Driver {
        carried: Carried::received(now, 0, deadline),
        hedge_at: Some(now + job.placement.hedge_after),
        hedge: None,
        stall_at: None,
        tables,
        job,
        out,
        events,
        running: HashMap::new(),
        tried: Vec::new(),
        text: String::new(),
        last_token: None,
        longest_gap: Duration::ZERO,
        denied: Vec::new(),
    };
    driver.drive(assembler, actions, incoming).await;
}

impl Driver {
    async fn drive(
        mut self,
        mut assembler: Assembler,
        actions: Vec<Action>,
        mut incoming: mpsc::Receiver<Incoming>,
    ) {
        self.apply(&mut assembler, actions).await;
        let due = self.job.caller.arrived + self.job.caller.deadline;
        while !assembler.is_over() {
            let now = self.tables.timer.now();
            let wake = self.next_wake(&assembler, due, now);
            let actions = tokio::select! {
                biased;
                () = self.out.closed() => {
                    self.tables.note("stream", &self.job.request.id, "caller left");
                    break;
                }
                Some(event) = incoming.recv() => self.take(&mut assembler, event),
                () = tokio::time::sleep_until(Instant::now() + wake) => {
                    self.wake(&mut assembler, due)
                }
            };
            self.apply(&mut assembler, actions).await;
        }
        for attempt in self.running.keys().copied().collect::<Vec<_>>() {
            self.stop(attempt);
        }
    }

    fn next_wake(&self, assembler: &Assembler, due: Now, now: Now) -> Duration {
        let first_token = (assembler.delivered() == 0).then_some(due);
        let hedge = self.hedge_at.filter(|_| assembler.delivered() == 0);
        let next =
            [assembler.next_tick(), first_token, hedge, self.stall_at].into_iter().flatten().min();
        next.map_or(IDLE, |at| at.saturating_sub(now))
    }

    fn wake(&mut self, assembler: &mut Assembler, due: Now) -> Vec<Action> {
        let now = self.tables.timer.now();
        if assembler.delivered() == 0 && now >= due {
            return assembler.step(now, Event::Abort { code: ResultCode::DeadlineExceeded });
        }
        if self.stall_at.take_if(|at| *at <= now).is_some() {
            self.stalled(now);
        }
        if self.hedge_at.is_some_and(|at| at <= now)
            && assembler.delivered() == 0
            && self.is_hedge_due(now)
        {
            return assembler.step(now, Event::Hedge);
        }
        assembler.step(now, Event::Tick)
    }

    fn take(&mut self, assembler: &mut Assembler, incoming: Incoming) -> Vec<Action> {
        let now = self.tables.timer.now();
        let attempt = incoming.attempt;
        match incoming.received {
            Received::Started => assembler.step(now, Event::Started { attempt, incarnation: None }),
            Received::Event(event) => self.take_event(assembler, now, attempt, *event),
            Received::Closed => {
                self.failed(attempt, "connection closed");
                assembler.step(now, Event::Closed { attempt })
            }
            Received::Failed { code, reason } => {
                self.failed(attempt, &reason);
                assembler.step(now, Event::Failed { attempt, code })
            }
        }
    }

    fn take_event(
        &mut self,
        assembler: &mut Assembler,
        now: Now,
        via: Attempt,
        event: GenerateEvent,
    ) -> Vec<Action> {
        match event {
            GenerateEvent::Token { request, attempt, incarnation, version, index, text } => {
                if attempt == via && request == self.job.request.id {
                    self.first_token(now, via);
                }
                let origin = Origin { request: &request, attempt, incarnation, version: &version };
                assembler.step(now, Event::Token { origin, index, text })
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
                let origin = Origin { request: &request, attempt, incarnation, version: &version };
                let usage = Usage {
                    prompt_tokens,
                    cached_prompt_tokens: cached_tokens,
                    completion_tokens: tokens,
                };
                let end = End { finish_reason: finish, tokens, usage };
                assembler.step(now, Event::End { origin, end })
            }
            GenerateEvent::Error { request, attempt, message } => {
                if request != self.job.request.id || attempt != via {
                    return Vec::new();
                }
                self.failed(via, &message);
                let code = ResultCode::UpstreamError;
                assembler.step(now, Event::Failed { attempt, code })
            }
        }
    }

    async fn apply(&mut self, assembler: &mut Assembler, actions: Vec<Action>) {
        let mut actions = std::collections::VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Deliver { text, .. } => self.deliver(text).await,
                Action::Start { attempt, resume_from, cause } => {
                    if let Err((code, retry_after)) = self.start(attempt, resume_from, cause) {
                        self.denied.push((attempt, code, retry_after));
                        let now = self.tables.timer.now();
                        actions.extend(assembler.step(now, Event::Denied { attempt, code }));
                    }
                }
                Action::Cancel { attempt } => self.stop(attempt),
                Action::Finish(end) => self.finish(end).await,
                Action::Fail(code) => self.fail(code).await,
            }
        }
    }

    async fn deliver(&mut self, text: String) {
        let now = self.tables.timer.now();
        let caller = &self.job.caller;
        match self.last_token.replace(now) {
            None => {
                let time = now.saturating_sub(caller.arrived);
                let histograms = &self.tables.histograms;
                histograms.record(&caller.workspace, caller.class, Measure::FirstToken, time);
                self.tables.statsd.time("first_token", time);
            }
            Some(before) => self.longest_gap = self.longest_gap.max(now.saturating_sub(before)),
        }
        self.stall_at = Some(now + STALL_AFTER);
        self.text.push_str(&text);
        let _ = self.out.send(Piece::Text(text)).await;
    }

    async fn finish(&mut self, end: End) {
        let now = self.tables.timer.now();
        let caller = &self.job.caller;
        let (workspace, class) = (&caller.workspace, caller.class);
        let time = now.saturating_sub(caller.arrived);
        self.tables.histograms.record(workspace, class, Measure::Whole, time);
        if end.tokens > 1 {
            self.tables.histograms.record(workspace, class, Measure::TokenGap, self.longest_gap);
        }
        self.tables.statsd.result(ResultCode::Ok);
        let usage = &end.usage;
        let what = format!(
            "complete: {} tokens, {} of {} prompt tokens cached",
            end.tokens, usage.cached_prompt_tokens, usage.prompt_tokens
        );
        self.tables.note("stream", &self.job.request.id, &what);
        for attempt in self.running.keys().copied().collect::<Vec<_>>() {
            self.end(attempt, |request, attempt| lw_route::router::Event::Finished {
                request,
                attempt,
            });
        }
        let _ = self.out.send(Piece::Finish(end)).await;
    }

    async fn fail(&mut self, code: ResultCode) {
        let mut failure = Failure::new(code, describe(code));
        if let Some((.., Some(time))) = self.denied.iter().find(|(_, denied, _)| *denied == code) {
            failure = failure.retry_after(*time);
        }
        self.tables.note("stream", &self.job.request.id, &format!("failed: {}", code.name()));
        let _ = self.out.send(Piece::Fail(failure)).await;
    }

    /// Sends an attempt to the best engine that this request has not used yet.
    fn start(
        &mut self,
        attempt: Attempt,
        resume_from: TokenIndex,
        cause: Cause,
    ) -> Result<(), (ResultCode, Option<Duration>)> {
        let candidate = self.choose(cause, resume_from)?;
        let now = self.tables.timer.now();
        let what = format!("attempt {attempt} ({cause}) at {}", candidate.engine);
        self.tables.note("stream", &self.job.request.id, &what);
        let addr = self.job.caller.active.document.upstreams.get(&candidate.engine);
        let addr = addr.map(|upstream| upstream.address).ok_or((ResultCode::NoUpstream, None))?;
        self.tables.router().record(
            now,
            lw_route::router::Event::Sent {
                request: &self.job.request,
                attempt,
                candidate: &candidate,
            },
        );
        let resume =
            (resume_from > 0).then(|| Resume { from: resume_from, text: self.text.clone() });
        let plan = attempt::Plan { attempt, addr, is_first: cause == Cause::First };
        let body = attempt::body(&self.job, attempt, candidate.incarnation, resume);
        let task = attempt::spawn(Arc::clone(&self.tables), plan, body, self.events.clone());
        self.tried.push(candidate.engine.clone());
        self.running.insert(attempt, Running { engine: candidate.engine, task, has_token: false });
        Ok(())
    }

    fn choose(
        &mut self,
        cause: Cause,
        resume_from: TokenIndex,
    ) -> Result<Candidate, (ResultCode, Option<Duration>)> {
        let now = self.tables.timer.now();
        match cause {
            Cause::First => {
                self.tables.limits().budget.earn(now, self.carried);
                let first = self.job.placement.candidates.first().cloned();
                return first.ok_or((ResultCode::NoUpstream, None));
            }
            Cause::Hedge => return self.hedge.take().ok_or((ResultCode::Overloaded, None)),
            _ => {}
        }
        if resume_from > 0 {
            self.carried.deadline = now + RESUME_DEADLINE;
        }
        let spent = self.tables.limits().budget.spend(now, Kind::Retry, self.carried);
        match spent {
            Ok(carried) => self.carried = carried,
            Err(e) => {
                self.tables.note("limit", &self.job.request.id, &format!("no retry: {e}"));
                return Err((ResultCode::StreamBroken, None));
            }
        }
        let mut request = self.job.request.clone();
        request.avoid.clone_from(&self.tried);
        request.deadline = if resume_from > 0 {
            RESUME_DEADLINE
        } else {
            (self.job.caller.arrived + self.job.caller.deadline).saturating_sub(now)
        };
        let mut router = self.tables.router();
        match router.decide(now, &request) {
            Decision::Send(placement) => {
                placement.candidates.into_iter().next().ok_or((ResultCode::NoUpstream, None))
            }
            Decision::Refuse(refusal) => Err((refusal.code, Some(refusal.retry_after))),
        }
    }

    /// Asks the router whether a second attempt is worth it and keeps the engine for it.
    fn is_hedge_due(&mut self, now: Now) -> bool {
        self.hedge_at = None;
        let Some(&attempt) = self.running.keys().next().filter(|_| self.running.len() == 1) else {
            return false;
        };
        let mut request = self.job.request.clone();
        request.avoid.clone_from(&self.tried);
        request.deadline = (self.job.caller.arrived + self.job.caller.deadline).saturating_sub(now);
        let due = self.tables.router().hedge_due(now, &request, attempt);
        match due {
            Some(Hedge::Later(time)) => {
                self.hedge_at = Some(now + time);
                false
            }
            Some(Hedge::Send(candidate)) => {
                let spent = self.tables.limits().budget.spend(now, Kind::Hedge, self.carried);
                match spent {
                    Ok(carried) => {
                        self.carried = carried;
                        self.hedge = Some(candidate);
                        true
                    }
                    Err(_) => false,
                }
            }
            None => false,
        }
    }

    /// Tells the router that the engines of the running attempts have stopped giving tokens.
    fn stalled(&self, now: Now) {
        for &attempt in self.running.keys() {
            let request = &self.job.request.id;
            let event = lw_route::router::Event::Stalled { request, attempt };
            self.tables.router().record(now, event);
        }
    }

    fn first_token(&mut self, now: Now, attempt: Attempt) {
        let Some(running) = self.running.get_mut(&attempt) else { return };
        if !std::mem::replace(&mut running.has_token, true) {
            let event =
                lw_route::router::Event::FirstToken { request: &self.job.request.id, attempt };
            self.tables.router().record(now, event);
        }
    }

    fn report(&self, attempt: Attempt, load: &lw_protocol::upstream::LoadReport) {
        let Some(running) = self.running.get(&attempt) else { return };
        let report = lw_route::LoadReport::from(load);
        let event = lw_route::router::Event::Load { engine: &running.engine, report: &report };
        self.tables.router().record(self.tables.timer.now(), event);
    }

    fn failed(&mut self, attempt: Attempt, reason: &str) {
        let Some(running) = self.running.get(&attempt) else { return };
        let what = format!("attempt {attempt} at {} failed: {reason}", running.engine);
        log::warn!("stream: {} {what}", self.job.request.id);
        self.tables.note("stream", &self.job.request.id, &what);
        self.end(attempt, |request, attempt| lw_route::router::Event::Failed { request, attempt });
    }

    fn stop(&mut self, attempt: Attempt) {
        self.end(attempt, |request, attempt| lw_route::router::Event::Cancelled {
            request,
            attempt,
        });
    }

    fn end(
        &mut self,
        attempt: Attempt,
        event: impl for<'a> Fn(&'a str, Attempt) -> lw_route::router::Event<'a>,
    ) {
        if let Some(running) = self.running.remove(&attempt) {
            running.task.abort();
            let now = self.tables.timer.now();
            self.tables.router().record(now, event(&self.job.request.id, attempt));
        }
    }
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
