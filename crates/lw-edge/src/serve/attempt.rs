//! One attempt of a request at one upstream.

use std::{sync::Arc, time::Duration};

use http::{Request, response::Parts};
use http_body_util::Full;
use lw_forward::pool::{AnswerBody, Error, HostKey, Reuse};
use lw_observe::metrics;
use lw_place::{AttemptId, Ended, Placement, Prompt};
use lw_platform::headers::{self, AddedHeaders, AnswerHead};

use lw_types::prelude::*;

use super::{Call, record::millis};
use crate::{
    peers::{self, Announcement},
    state::Edge,
};

/// What came of sending a request.
#[derive(Debug)]
pub(super) enum Sent {
    /// The upstream answers.
    Answer(Box<Running>),
    /// The upstream got nothing of it.
    Unreached,
    /// The upstream did not run it and will not.
    NotRun,
    /// The upstream may have run it.
    Unknown(String),
    /// No answer came before the request was due.
    Late,
}

/// An answer that is being received.
#[derive(Debug)]
pub(super) struct Running {
    pub head: Parts,
    pub body: AnswerBody,
    pub attempt: Attempt,
}

/// Keeps an attempt in the books of its upstream; one that is dropped counts as cancelled.
#[derive(Debug)]
pub(super) struct Attempt {
    edge: Arc<Edge>,
    call: Arc<Call>,
    choice: Placement,
    ticket: AttemptId,
    begun: Now,
    /// Whether the other VMs know of it.
    is_announced: bool,
    is_over: bool,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.finish(Ended::Cancelled, "the caller left");
    }
}

impl Attempt {
    /// Takes the attempt into the books of its upstream.
    pub fn begin(edge: &Arc<Edge>, call: &Arc<Call>, choice: Placement, number: usize) -> Self {
        let now = edge.timer.now();
        let sent = |fleet: &mut lw_place::UpstreamPool| {
            fleet.record_sent(now, &choice, call.prompt.as_ref())
        };
        let (ticket, announced) = edge.with_fleet(&call.service, sent).unwrap_or_default();
        if let Some(announced) = &announced {
            peers::announce(edge, Announcement::Sent(announced));
        }
        let is_announced = announced.is_some();
        let attempt = Self {
            edge: Arc::clone(edge),
            call: Arc::clone(call),
            choice,
            ticket,
            begun: now,
            is_announced,
            is_over: false,
        };
        attempt.tell_choice(number);
        attempt.count_tokens();
        attempt
    }

    /// The first event or the head of the answer came.
    pub fn started(&self) {
        let id = &self.choice.upstream.id;
        let now = self.edge.timer.now();
        self.edge
            .with_fleet(&self.call.service, |fleet| fleet.record_started(now, id, self.ticket));
        if self.is_announced {
            peers::announce(&self.edge, Announcement::Started(id, self.ticket));
        }
    }

    /// Ends the attempt; `why` is said unless it went as it should.
    pub fn end(mut self, how: Ended, why: &str) {
        self.finish(how, why);
    }

    fn finish(&mut self, how: Ended, why: &str) {
        if std::mem::replace(&mut self.is_over, true) {
            return;
        }
        self.tell(how, why);
        let now = self.edge.timer.now();
        let id = &self.choice.upstream.id;
        self.edge
            .with_fleet(&self.call.service, |fleet| fleet.record_ended(now, id, self.ticket, how));
        if self.is_announced {
            peers::announce(&self.edge, Announcement::Ended(id, self.ticket, how));
        }
    }

    /// Says how the attempt ended, unless the line about the request says the same.
    fn tell(&self, how: Ended, why: &str) {
        let kind = match how {
            Ended::Complete => "complete",
            Ended::NotRun => "not_run",
            Ended::Failed => "failed",
            Ended::Cancelled => "cancelled",
        };
        metrics::count(&self.edge.metrics.attempts, kind);
        if matches!(how, Ended::NotRun | Ended::Failed) {
            let ms = millis(self.edge.timer.now().saturating_sub(self.begun));
            log::warn!(target: "route", request = self.call.head.request.as_str(),
                upstream = self.choice.upstream.id.as_str(), ended = kind, ms = ms, why = why;
                "attempt ended");
        } else if !why.is_empty() {
            log::info!(target: "route", request = self.call.head.request.as_str(),
                upstream = self.choice.upstream.id.as_str(), ended = kind, why = why;
                "attempt ended");
        }
    }

    /// Says where the request goes, and what decided it.
    fn tell_choice(&self, number: usize) {
        let (call, choice) = (&self.call, &self.choice);
        let known = self.edge.known();
        let config = known.catalog().map_or(0, |catalog| catalog.version);
        let age = known.age(self.edge.timer.now_suspended()).map(millis).unwrap_or_default();
        drop(known);
        log::info!(target: "route", request = call.head.request.as_str(), attempt = number,
            upstream = choice.upstream.id.as_str(), service = call.service.as_str(),
            route = call.route.name.as_str(), weights = choice.version.unwrap_or_default(),
            tokens = call.prompt.as_ref().map_or(0, |prompt| prompt.tokens),
            shared = call.prompt.as_ref().map_or(0, Prompt::shared_tokens),
            held = choice.cached_tokens, fetched = choice.fetched_tokens,
            fetch_from = choice.fetch_from.map(|addr| addr.to_string()).unwrap_or_default(),
            rank = choice.rank, expected_ms = millis(choice.expected_latency),
            left_ms = millis(call.due.saturating_sub(self.begun)), config = config,
            known_ms = age; "request sent");
    }

    /// Counts the prompt's tokens by where the engine gets them from.
    fn count_tokens(&self) {
        let Some(prompt) = &self.call.prompt else { return };
        let (held, fetched) = (self.choice.cached_tokens, self.choice.fetched_tokens);
        let read = prompt.tokens.saturating_sub(held + fetched);
        for (kind, tokens) in [("held", held), ("fetched", fetched), ("read", read)] {
            let label = metrics::KindLabel { kind };
            self.edge.metrics.prompt_tokens.get_or_create(&label).inc_by(tokens);
        }
    }

    /// Sends the request, from the event after `last_event` on if there is one.
    pub async fn send(self, last_event: Option<u64>) -> Sent {
        let (edge, call) = (Arc::clone(&self.edge), Arc::clone(&self.call));
        let now = edge.timer.now();
        let left = call.due.saturating_sub(now);
        let key: HostKey = (self.choice.upstream.addr, self.choice.upstream.id.as_str().into());
        let req = self.request(call.deadline.saturating_sub(now), last_event);
        let reuse = if call.route.kind.may_repeat() { Reuse::Any } else { Reuse::Recent };
        let upstream = self.choice.upstream.id.clone();
        let sent = async {
            tokio::select! {
                sent = edge.pool.send(&key, req, reuse) => sent,
                () = self.silenced() => Err(Error::Broken(format!("{upstream} is silent"))),
            }
        };
        match tokio::time::timeout(left, sent).await {
            Err(_) => {
                self.end(Ended::Failed, "no answer before the deadline");
                Sent::Late
            }
            Ok(Err(Error::NotSent(e))) => {
                self.end(Ended::Failed, &e);
                Sent::Unreached
            }
            Ok(Err(Error::Broken(e))) => {
                self.end(Ended::Failed, &e);
                Sent::Unknown(e)
            }
            Ok(Ok(reply)) => self.judge(reply.head, reply.body),
        }
    }

    /// Returns when the upstream has gone silent, if the request may go on elsewhere.
    pub async fn silenced(&self) {
        if self.call.route.kind.may_repeat() {
            return self.edge.silenced(&self.choice.upstream.id).await;
        }
        std::future::pending::<()>().await;
    }

    fn request(&self, left: Duration, last_event: Option<u64>) -> Request<Full<bytes::Bytes>> {
        let (call, choice) = (&self.call, &self.choice);
        let workspace = call.workspace.as_ref();
        let headers = headers::forwarded(
            &call.headers,
            &AddedHeaders {
                upstream: &choice.upstream.id,
                deadline: left,
                workspace: workspace.map(|workspace| workspace.name.as_str()),
                version: choice.version,
                priority: call.prompt.as_ref().map(|_| choice.rank),
                salt: choice.salt.as_deref(),
                fetch_from: choice.fetch_from,
                save_to: choice.save_to,
                last_event: last_event.or(call.head.last_event),
            },
        );
        let mut req = Request::new(Full::new(call.body.clone()));
        *req.method_mut() = call.method.clone();
        *req.uri_mut() = call.target.clone();
        *req.headers_mut() = headers;
        req
    }

    /// Takes what an upstream says about further requests: that it is leaving, or wants none for a while.
    fn heed(&self, head: &Parts, said: &AnswerHead) {
        let upstream = &self.choice.upstream;
        let is_own = |id: &str| id == self.call.head.request;
        if !said.request.as_deref().is_none_or(is_own) {
            return;
        }
        if said.availability.is_leaving
            && self.edge.upstream_leaves(&upstream.id, upstream.incarnation)
        {
            peers::announce(&self.edge, Announcement::Leaving(upstream));
        }
        let is_refusal = head.status == http::StatusCode::SERVICE_UNAVAILABLE;
        if let Some(time) = said.availability.back_off.filter(|_| is_refusal) {
            let until = self.edge.timer.now() + time;
            self.edge.with_fleet(&self.call.service, |fleet| fleet.back_off(&upstream.id, until));
            log::info!(target: "route", upstream = upstream.id.as_str(), ms = millis(time);
                "upstream wants nothing for a while");
        }
    }

    /// Decides whether an answer is the upstream's answer to this request.
    fn judge(self, head: Parts, body: AnswerBody) -> Sent {
        let said = headers::answer_head(&head.headers);
        let now = self.edge.timer.now();
        if let Some(load) = said.load {
            let id = &self.choice.upstream.id;
            let is_news =
                self.edge.with_fleet(&self.call.service, |fleet| fleet.on_load(now, id, load));
            if is_news == Some(true) {
                let pace = Announcement::Pace(&self.choice.upstream, load.slowness_percent);
                peers::announce(&self.edge, pace);
            }
        }
        self.heed(&head, &said);
        let answered = said.request.as_deref();
        if answered.is_some_and(|id| id != self.call.head.request) {
            body.close();
            let why = "answer to another request";
            self.end(Ended::Failed, why);
            return Sent::Unknown(why.into());
        }
        if said.is_not_run || head.status == http::StatusCode::MISDIRECTED_REQUEST {
            let text = format!("{} from {}", head.status, self.choice.upstream.id);
            self.end(Ended::NotRun, &text);
            return Sent::NotRun;
        }
        if head.status.is_success() && (!said.is_signed || said.is_encoded) {
            body.close();
            let why = "answer without authentication code";
            self.end(Ended::Failed, why);
            return Sent::Unknown(why.into());
        }
        Sent::Answer(Box::new(Running { head, body, attempt: self }))
    }
}
