//! Attempts of one request until it has its answer.

use std::{sync::Arc, time::Duration};

use http::Response;
use lw_catalog::Kind;
use lw_limit::retry::{self, Carried};
use lw_place::{Ask, Choice, Ended, Refusal};
use lw_platform::headers;
use lw_protocol::caller::Failure;
use lw_types::prelude::*;

use super::{
    Call,
    answer::{self, Answer},
    attempt::{Attempt, Running, Sent},
    record::Record,
    relay::Relay,
};
use crate::state::Edge;

/// When to come back after a refusal without a better estimate.
const COME_BACK: Duration = Duration::from_millis(300);
/// Upstreams that cannot be reached which one request tries besides its attempts. Each takes the time of a connection
/// at most.
const UNREACHED_MAX: usize = 2;
/// Time before the end of the bound on old weights from which on requests begin on new ones only. A request may wait
/// at its engine for most of it.
const VERSION_MARGIN: Duration = Duration::from_secs(2);

/// Forwards a request and returns the answer for the caller.
pub(super) async fn run(edge: &Arc<Edge>, call: Arc<Call>, record: Record) -> Answer {
    let mut driver = Driver::new(edge, &call, record);
    match driver.answer().await {
        Ok(Passed::Whole(answer)) => answer,
        Ok(Passed::Stream(running)) => driver.into_relay(*running),
        Err(failure) => {
            driver.record.failed(&failure);
            answer::failure(&call.head.request, &failure)
        }
    }
}

/// An answer that is passed on.
enum Passed {
    /// It was read as a whole.
    Whole(Answer),
    /// It is a stream that has begun.
    Stream(Box<Running>),
}

/// The attempts of one request.
#[derive(Debug)]
pub(super) struct Driver {
    pub edge: Arc<Edge>,
    pub call: Arc<Call>,
    pub record: Record,
    tried: Vec<UpstreamId>,
    /// Attempts that may have reached their upstreams.
    sent: u32,
    /// Whether the next attempt is in the retry budget already.
    is_paid: bool,
    carried: Carried,
    may_have_run: bool,
}

impl Driver {
    fn new(edge: &Arc<Edge>, call: &Arc<Call>, record: Record) -> Self {
        let now = edge.timer.now();
        let carried = Carried::received(now, 0, call.deadline.saturating_sub(now));
        Self {
            edge: Arc::clone(edge),
            call: Arc::clone(call),
            record,
            tried: Vec::new(),
            sent: 0,
            is_paid: false,
            carried,
            may_have_run: false,
        }
    }

    async fn answer(&mut self) -> Result<Passed, Failure> {
        loop {
            let attempt = self.next_attempt()?;
            match attempt.send(None).await {
                Sent::Answer(running) => {
                    if let Some(passed) = self.accept(*running).await? {
                        return Ok(passed);
                    }
                }
                Sent::Unreached => self.unreached(),
                Sent::NotRun => {}
                Sent::Unknown(why) => self.unknown(&why)?,
                Sent::Late => {
                    let text = "no answer before the deadline";
                    return Err(Failure::new(ResultCode::DeadlineExceeded, text));
                }
            }
        }
    }

    /// The next attempt, if there is an upstream for it and the bounds on attempts allow it.
    pub fn next_attempt(&mut self) -> Result<Attempt, Failure> {
        let choice = self.choose()?;
        self.pay()?;
        self.sent += 1;
        self.tried.push(choice.upstream.id.clone());
        self.record.attempted();
        Ok(Attempt::begin(&self.edge, &self.call, choice, self.tried.len()))
    }

    /// The last attempt did not reach its upstream, so it does not count.
    pub fn unreached(&mut self) {
        self.sent -= 1;
        self.is_paid = true;
    }

    /// Takes an attempt out of the bounds on attempts.
    fn pay(&mut self) -> Result<(), Failure> {
        let attempts = self.call.route.attempts;
        if self.tried.len() >= usize::try_from(attempts).unwrap_or(usize::MAX) + UNREACHED_MAX {
            return Err(self.refused("too many upstreams that cannot be reached"));
        }
        if std::mem::take(&mut self.is_paid) {
            return Ok(());
        }
        let (now, carried) = (self.edge.timer.now(), self.carried);
        if self.sent == 0 {
            let arrived = |budget: &mut retry::Budget| budget.arrive(now, carried);
            return match self.edge.with_budget(&self.call.service, arrived) {
                Ok(()) => Ok(()),
                Err(e) => Err(self.refused(&e.to_string())),
            };
        }
        if self.sent >= attempts {
            return Err(self.refused("no attempts left"));
        }
        let spend = |budget: &mut retry::Budget| budget.spend(now, retry::Kind::Retry, carried);
        let paid = self.edge.with_budget(&self.call.service, spend);
        self.carried = paid.map_err(|e| self.refused(&e.to_string()))?;
        Ok(())
    }

    fn choose(&self) -> Result<Choice, Failure> {
        let now = self.edge.timer.now();
        let target = self.call.arrived + self.call.route.target_latency;
        let ask = Ask {
            prompt: self.call.prompt.as_ref(),
            spread: self.call.spread,
            tried: &self.tried,
            peers: self.edge.known().vms_max().saturating_sub(1),
            left: self.call.due.saturating_sub(now),
            on_time: target.saturating_sub(now),
            patience: self.call.route.patience(),
            suspended: self.edge.timer.now_suspended().saturating_sub(now),
            version_time: self.edge.bounds().version.saturating_sub(VERSION_MARGIN),
        };
        let chosen = self.edge.with_fleet(&self.call.service, |fleet| fleet.choose(now, &ask));
        let chosen = chosen.ok_or_else(|| self.refused("the service is not known"))?;
        chosen.map_err(|e| match e {
            Refusal::Late(time) | Refusal::Unwanted(time) => {
                self.refused(&e.to_string()).retry_after(time)
            }
            Refusal::None | Refusal::Closed => self.refused(&e.to_string()),
        })
    }

    /// The failure when there is no further attempt: it says "not run" only if that is true.
    fn refused(&self, why: &str) -> Failure {
        if self.may_have_run {
            return Failure::new(ResultCode::OutcomeUnknown, why);
        }
        Failure::new(ResultCode::Overloaded, why).retry_after(COME_BACK)
    }

    /// An attempt may have run; goes on only if the request may run again.
    pub fn unknown(&mut self, why: &str) -> Result<(), Failure> {
        self.may_have_run = true;
        if self.call.route.kind.may_repeat() {
            return Ok(());
        }
        Err(Failure::new(ResultCode::OutcomeUnknown, why))
    }

    /// Passes an answer on, or returns none if another attempt is to be made instead.
    async fn accept(&mut self, running: Running) -> Result<Option<Passed>, Failure> {
        self.record.first_byte();
        let status = running.head.status;
        if matches!(self.call.route.kind, Kind::Stream { .. }) && status.is_success() {
            running.attempt.started();
            self.may_have_run = true;
            return Ok(Some(Passed::Stream(Box::new(running))));
        }
        let left = self.call.due.saturating_sub(self.edge.timer.now());
        let Running { head, body, attempt } = running;
        let bytes = match tokio::time::timeout(left, self.edge.room.collect(body)).await {
            Err(_) => {
                attempt.end(Ended::Failed, "its body is late");
                let text = "no whole answer before the deadline";
                return Err(Failure::new(ResultCode::DeadlineExceeded, text));
            }
            Ok(Err(e)) => {
                let why = e.to_string();
                attempt.end(Ended::Failed, &why);
                self.unknown(&why)?;
                return Ok(None);
            }
            Ok(Ok(bytes)) => bytes,
        };
        let may_repeat = self.call.route.kind == Kind::Idempotent && status.is_server_error();
        if may_repeat && self.sent < self.call.route.attempts {
            attempt.end(Ended::Complete, &format!("it answered {status}, tried again"));
            self.may_have_run = true;
            return Ok(None);
        }
        attempt.end(Ended::Complete, "");
        self.record.answered(status.as_u16());
        let mut response = Response::new(answer::full_body(bytes));
        *response.status_mut() = status;
        *response.headers_mut() = headers::end_to_end(&head.headers);
        Ok(Some(Passed::Whole(response)))
    }

    fn into_relay(self, running: Running) -> Answer {
        let mut headers = headers::end_to_end(&running.head.headers);
        headers.remove(http::header::CONTENT_LENGTH);
        let status = running.head.status;
        let mut response = Response::new(Relay::new(self, running).into_body());
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }
}
