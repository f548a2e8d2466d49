//! One attempt of a request at one upstream.

use std::{sync::Arc, time::Duration};

use http::{Request, StatusCode, response::Parts};
use http_body_util::Full;
use lw_forward::pool::{Error, HostKey, Reuse, UpstreamAnswerBody};
use lw_limit::upstream::{Evidence, Origin};
use lw_observe::{logs::millis, metrics};
use lw_place::{AttemptId, Ended, LimitReport, Placement, Prompt};
use lw_platform::headers::{self, AddedHeaders, AnswerHead, NamedLimit};

use lw_types::prelude::*;

use super::{
    Call,
    place::Placed,
    takeover::{SentAttempt, Signals},
};
use crate::{
    limits,
    peers::{self, Announcement},
    quarantine, reach,
    state::Edge,
};

/// Time for which an engine sends an answer, from which on the answer shows that its prompt does not crash the engine:
/// one that does crashes it as the answer begins.
const SOUND_SENDING_TIME: Duration = Duration::from_millis(250);

/// Time since the last bytes of an answer within which its engine is not silent, whatever other VMs report: one of them
/// may have lost its path to the engine. They report an engine that stays silent again after 0.6 s.
const HEARD_TIME: Duration = Duration::from_millis(250);

/// Outcome of sending a request to an upstream.
#[derive(Debug)]
pub(super) enum SendOutcome {
    /// The head of the upstream's answer was received.
    Answer(Box<IncomingAnswer>),
    /// The upstream received nothing of the request.
    Unreachable,
    /// The upstream states that it did not run the request and will not.
    NotRun,
    /// The upstream may have run the request; the reason why that is unknown.
    OutcomeUnknown(String),
    /// No answer was received before the request was due.
    DeadlineExceeded,
}

/// Why an attempt that was sent is not waited for any more.
#[derive(Debug, Clone, Copy)]
enum Abandoned {
    /// Its upstream is silent, and another attempt takes its place.
    Silent,
    /// A segment of its prompt was quarantined.
    Quarantined,
}

/// An answer whose body is still being received.
#[derive(Debug)]
pub(super) struct IncomingAnswer {
    pub head: Parts,
    pub body: UpstreamAnswerBody,
    pub attempt: Attempt,
}

/// Tracks an attempt as in flight at its upstream. An attempt that is dropped counts as cancelled.
#[derive(Debug)]
pub(super) struct Attempt {
    edge: Arc<Edge>,
    call: Arc<Call>,
    placement: Placement,
    id: AttemptId,
    started_at: Now,
    progress: Progress,
    /// Whether the attempt was announced to the other VMs, so that its end must be announced too.
    is_announced: bool,
    is_ended: bool,
}

/// How far the answer to an attempt has come.
#[derive(Debug, Clone, Copy, Default)]
struct Progress {
    /// When the head of a successful stream was received.
    head_at: Option<Now>,
    /// When its last bytes so far were received.
    last_bytes_at: Option<Now>,
}

impl Progress {
    /// Returns the time for which the upstream has sent the answer, until its last bytes.
    fn sending_time(&self) -> Duration {
        let times = self.last_bytes_at.zip(self.head_at);
        times.map_or(Duration::ZERO, |(last, head)| last.saturating_sub(head))
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.end_once(Ended::Cancelled, "the caller left, or another attempt goes on");
    }
}

impl Attempt {
    /// Starts to track an attempt as in flight and announces it to the other VMs if it is large. `number` counts the
    /// attempts of the request from 1.
    pub fn begin(edge: &Arc<Edge>, call: &Arc<Call>, placed: Placed, number: usize) -> Self {
        let Placed { placement, scope } = placed;
        let now = edge.timer.now();
        let sent = |pool: &mut lw_place::UpstreamPool| {
            pool.record_sent(now, &placement, call.prompt.as_ref())
        };
        let (id, announced) = edge.with_upstream_pool(&call.service, sent).unwrap_or_default();
        if let Some(announced) = &announced {
            peers::announce(edge, Announcement::Sent(announced));
        }
        let is_announced = announced.is_some();
        let attempt = Self {
            edge: Arc::clone(edge),
            call: Arc::clone(call),
            placement,
            id,
            started_at: now,
            progress: Progress::default(),
            is_announced,
            is_ended: false,
        };
        attempt.log_placement(number, scope.config);
        attempt.count_prompt_tokens();
        attempt
    }

    /// Returns where the request was sent.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Records that the head of a successful stream was received.
    pub fn on_stream_started(&mut self) {
        let upstream = &self.placement.upstream.id;
        let now = self.edge.timer.now();
        self.progress.head_at = Some(now);
        self.edge.with_upstream_pool(&self.call.service, |pool| {
            pool.record_started(now, upstream, self.id);
        });
        if self.is_announced {
            peers::announce(&self.edge, Announcement::Started(upstream, self.id));
        }
    }

    /// Records that bytes of the stream were received.
    pub fn on_bytes(&mut self) {
        let before = self.progress.sending_time();
        self.progress.last_bytes_at = Some(self.edge.timer.now());
        let is_sound_now = (before..self.progress.sending_time()).contains(&SOUND_SENDING_TIME);
        if is_sound_now {
            self.record_sound();
        }
    }

    fn record_sound(&self) {
        quarantine::record_sound(&self.edge, &self.call.segments);
    }

    /// Ends an attempt whose answer the upstream broke off, or never began.
    pub fn end_broken(self, why: &str) {
        if self.progress.sending_time() < SOUND_SENDING_TIME {
            let (upstream, segments) = (&self.placement.upstream, &self.call.segments);
            quarantine::record_broken(&self.edge, upstream, self.id, segments);
        }
        self.end(Ended::Failed, why);
    }

    /// Ends an attempt that was given up since its upstream is silent. This is no evidence against its prompt: an upstream that
    /// crashes breaks its connections, while one that stands still goes on later.
    pub fn end_silent(self) {
        self.end(Ended::Failed, "the upstream is silent");
    }

    /// Records how many events of the answer have arrived.
    pub fn record_output(&self, events: u64) {
        let upstream = &self.placement.upstream.id;
        self.edge.with_upstream_pool(&self.call.service, |pool| {
            pool.record_output(upstream, self.id, events);
        });
    }

    /// Ends an attempt whose successful answer is complete.
    pub fn end_complete(self) {
        self.record_sound();
        self.end(Ended::Complete, "");
    }

    /// Ends the attempt after a complete answer that is an error.
    pub fn end_error(self, why: &str) {
        let discard = |pool: &mut lw_place::UpstreamPool| {
            pool.discard_sample(&self.placement.upstream.id, self.id);
        };
        self.edge.with_upstream_pool(&self.call.service, discard);
        self.end(Ended::Complete, why);
    }

    /// Ends the attempt. `why` is the reason for the log; it is empty if the attempt ended as it should.
    pub fn end(mut self, how: Ended, why: &str) {
        self.end_once(how, why);
    }

    fn end_once(&mut self, how: Ended, why: &str) {
        if std::mem::replace(&mut self.is_ended, true) {
            return;
        }
        self.count_and_log_end(how, why);
        let now = self.edge.timer.now();
        let upstream = &self.placement.upstream.id;
        self.edge.with_upstream_pool(&self.call.service, |pool| {
            pool.record_ended(now, upstream, self.id, how);
        });
        if self.is_announced {
            peers::announce(&self.edge, Announcement::Ended(upstream, self.id, how));
        }
    }

    /// Counts the attempt by how it ended. Logs it too, unless the line about the request says the same.
    fn count_and_log_end(&self, how: Ended, why: &str) {
        let kind = match how {
            Ended::Complete => "complete",
            Ended::NotRun => "not_run",
            Ended::Failed => "failed",
            Ended::Cancelled => "cancelled",
        };
        metrics::increment(&self.edge.metrics.attempts, kind);
        if matches!(how, Ended::NotRun | Ended::Failed) {
            let ms = millis(self.edge.timer.now().saturating_sub(self.started_at));
            log::warn!(target: "route", request = self.call.head.request.as_str(),
                upstream = self.placement.upstream.id.as_str(), ended = kind, ms = ms,
                sent_ms = millis(self.progress.sending_time()), segments = self.segments(),
                why = why; "attempt ended");
        } else if !why.is_empty() {
            log::info!(target: "route", request = self.call.head.request.as_str(),
                upstream = self.placement.upstream.id.as_str(), ended = kind, why = why;
                "attempt ended");
        }
    }

    /// Returns the ids of the prompt's segments, for log lines.
    fn segments(&self) -> String {
        let ids: Vec<_> = self.call.segments.iter().map(|id| format!("{id:x}")).collect();
        ids.join(",")
    }

    /// Logs to which upstream the request is sent, and the values that decided it. `config` is the version of the configuration
    /// that decided the salt.
    fn log_placement(&self, number: usize, config: ConfigVersion) {
        let (call, placement) = (&self.call, &self.placement);
        let now = self.edge.timer.now_including_suspend();
        let (age, known) = {
            let view = self.edge.store_view();
            (view.age(now).map(millis).unwrap_or_default(), view.provenance().clone())
        };
        log::info!(target: "route", request = call.head.request.as_str(), attempt = number,
            upstream = placement.upstream.id.as_str(), service = call.service.as_str(),
            route = call.route.name.as_str(), weights = placement.version.unwrap_or_default(),
            tokens = call.prompt.as_ref().map_or(0, |prompt| prompt.tokens),
            shared = call.prompt.as_ref().map_or(0, Prompt::shared_tokens),
            held = placement.cached_tokens, fetched = placement.fetched_tokens,
            fetch_from = placement.fetch_from.map(|addr| addr.to_string()).unwrap_or_default(),
            salt = placement.salt.as_deref().unwrap_or_default(),
            rank = placement.rank, expected_ms = millis(placement.expected_latency),
            wait_ms = millis(placement.wait),
            load_age_ms = placement.load_age.map_or(-1, |age| i64::try_from(millis(age)).unwrap_or(i64::MAX)),
            left_ms = millis(call.due.saturating_sub(self.started_at)), config = config,
            known_ms = age, known_revision = known.revision, known_from = &*known.from;
            "request sent");
    }

    /// Counts the prompt's tokens by their source: held in the engine's cache, fetched from another cache, or computed
    /// by prefill.
    fn count_prompt_tokens(&self) {
        let Some(prompt) = &self.call.prompt else { return };
        let (held, fetched) = (self.placement.cached_tokens, self.placement.fetched_tokens);
        let prefill = prompt.tokens.saturating_sub(held + fetched);
        for (kind, tokens) in [("held", held), ("fetched", fetched), ("read", prefill)] {
            let label = metrics::KindLabel { kind };
            self.edge.metrics.prompt_tokens.get_or_create(&label).inc_by(tokens);
        }
    }

    /// Sends the request. With `last_event` the upstream resumes the stream after the event of this id.
    pub fn send(self, last_event: Option<u64>) -> SentAttempt {
        SentAttempt::new(self.placement.clone(), |signals| self.exchange(last_event, signals))
    }

    async fn exchange(self, last_event: Option<u64>, mut signals: Signals) -> SendOutcome {
        let (edge, call) = (Arc::clone(&self.edge), Arc::clone(&self.call));
        let now = edge.timer.now();
        let left = call.due.saturating_sub(now);
        let key: HostKey =
            (self.placement.upstream.addr, self.placement.upstream.id.as_str().into());
        let req = self.request(call.deadline.saturating_sub(now), last_event);
        let reuse = if call.route.kind.may_repeat() { Reuse::Any } else { Reuse::Recent };
        let sent = async {
            let answer = edge.connection_pool.send(&key, req, reuse);
            tokio::pin!(answer);
            loop {
                tokio::select! {
                    sent = &mut answer => return Ok(sent),
                    () = self.upstream_silent() => signals.report_silence(),
                    () = signals.given_up() => return Err(Abandoned::Silent),
                    () = self.quarantined() => return Err(Abandoned::Quarantined),
                }
            }
        };
        match tokio::time::timeout(left, sent).await {
            Err(_) => {
                reach::suspect(&edge, &call.service);
                self.end(Ended::Failed, "no answer before the deadline");
                SendOutcome::DeadlineExceeded
            }
            Ok(Err(Abandoned::Silent)) => {
                self.end_silent();
                SendOutcome::OutcomeUnknown("the upstream is silent".into())
            }
            Ok(Err(Abandoned::Quarantined)) => {
                let why = "a segment of its prompt was quarantined";
                self.end(Ended::Cancelled, why);
                SendOutcome::OutcomeUnknown(why.into())
            }
            Ok(Ok(Err(Error::NotSent(e)))) => {
                quarantine::record_down(&edge, &self.placement.upstream.id);
                reach::suspect(&edge, &call.service);
                self.end(Ended::Failed, &e);
                SendOutcome::Unreachable
            }
            Ok(Ok(Err(Error::Broken(e)))) => {
                self.end_broken(&e);
                SendOutcome::OutcomeUnknown(e)
            }
            Ok(Ok(Ok(reply))) => self.check_answer(reply.head, reply.body),
        }
    }

    /// Returns when the upstream is reported as silent and has sent nothing of this answer lately. Waits forever if the request
    /// must not run again elsewhere.
    pub async fn upstream_silent(&self) {
        while self.call.route.kind.may_repeat() {
            self.edge.wait_until_unresponsive(&self.placement.upstream.id).await;
            let heard_at = self.progress.last_bytes_at.max(self.progress.head_at);
            if heard_at.is_none_or(|at| self.edge.timer.now() >= at + HEARD_TIME) {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Returns when a segment of the prompt is quarantined: the engine would crash when it begins to answer.
    async fn quarantined(&self) {
        if self.call.prompt.is_none() {
            return std::future::pending().await;
        }
        let now = || self.edge.timer.now_including_suspend();
        self.edge.quarantine.wait_until_quarantined(now, &self.call.segments).await;
    }

    fn request(&self, left: Duration, last_event: Option<u64>) -> Request<Full<bytes::Bytes>> {
        let (call, placement) = (&self.call, &self.placement);
        let workspace = call.workspace.as_ref();
        let headers = headers::forwarded(
            &call.headers,
            &AddedHeaders {
                upstream: &placement.upstream.id,
                deadline: left,
                workspace: workspace.map(|workspace| workspace.name.as_str()),
                version: placement.version,
                priority: call.prompt.as_ref().map(|_| placement.rank),
                salt: placement.salt.as_deref(),
                fetch_from: placement.fetch_from,
                save_to: placement.save_to,
                last_event: last_event.or(call.head.last_event),
            },
        );
        let mut req = Request::new(Full::new(call.body.clone()));
        *req.method_mut() = call.method.clone();
        *req.uri_mut() = call.target.clone();
        *req.headers_mut() = headers;
        req
    }

    /// Applies what the answer says about further requests: that the upstream is leaving, or accepts none for a while.
    fn apply_upstream_state(&self, head: &Parts, answer: &AnswerHead) {
        let upstream = &self.placement.upstream;
        let is_own = |id: &str| id == self.call.head.request;
        if !answer.request.as_deref().is_none_or(is_own) {
            return;
        }
        if answer.availability.is_leaving
            && self.edge.mark_upstream_leaving(&upstream.id, upstream.incarnation)
        {
            peers::announce(&self.edge, Announcement::Leaving(upstream));
        }
        self.observe_limit(head, answer);
        let is_refusal = head.status == StatusCode::SERVICE_UNAVAILABLE;
        if let Some(max) = answer.availability.rejections_max {
            peers::rejections::observe(&self.edge, upstream, max, is_refusal);
        }
        if let Some(pause) = answer.availability.back_off.filter(|_| is_refusal) {
            let until = self.edge.timer.now() + pause;
            self.edge.with_upstream_pool(&self.call.service, |pool| {
                pool.back_off(&upstream.id, until);
            });
            log::info!(target: "route", upstream = upstream.id.as_str(), ms = millis(pause);
                "upstream accepts no requests for a while");
        }
    }

    /// Applies what the answer states about the upstream's limit. That it names none is taken only from an answer that is
    /// certainly the upstream's own to this request.
    fn observe_limit(&self, head: &Parts, answer: &AnswerHead) {
        let is_elsewhere = head.status == StatusCode::MISDIRECTED_REQUEST;
        let is_forged = head.status.is_success() && !answer.is_signed;
        let limit = match answer.availability.limit {
            NamedLimit::PerSecond(limit) if !is_elsewhere && !is_forged => Some(limit),
            NamedLimit::None if answer.is_signed && answer.request.is_some() => None,
            _ => return,
        };
        let upstream = &self.placement.upstream;
        let is_tracked = |pool: &mut lw_place::UpstreamPool| pool.has_named_limit(&upstream.id);
        if limit.is_none()
            && self.edge.with_upstream_pool(&self.call.service, is_tracked) != Some(true)
        {
            return;
        }
        let now = self.edge.timer.now();
        let report = LimitReport {
            upstream: upstream.id.clone(),
            incarnation: upstream.incarnation,
            evidence: Evidence { limit, sent_at: self.started_at, received_at: now },
        };
        let observe =
            |pool: &mut lw_place::UpstreamPool| pool.observe_limit(now, &report, Origin::Own);
        if self.edge.with_upstream_pool(&self.call.service, observe) == Some(true) {
            limits::log_change(&report, &self.edge.settings.vm);
        }
    }

    /// Checks whether the head is a genuine answer of the upstream to this request.
    fn check_answer(self, head: Parts, body: UpstreamAnswerBody) -> SendOutcome {
        let answer = headers::answer_head(&head.headers);
        let now = self.edge.timer.now();
        if let Some(load) = answer.load {
            let id = &self.placement.upstream.id;
            let has_changed = self
                .edge
                .with_upstream_pool(&self.call.service, |pool| pool.on_load(now, id, load));
            if has_changed == Some(true) {
                let slowdown =
                    Announcement::Slowdown(&self.placement.upstream, load.slowness_percent);
                peers::announce(&self.edge, slowdown);
            }
        }
        self.apply_upstream_state(&head, &answer);
        match answer.request.as_deref() {
            Some(id) if id == self.call.head.request => {}
            Some(_) => return self.end_unknown(body, "answer to another request"),
            // It may be a second answer to an earlier request, and the answer to this one follows.
            None => return self.end_unknown(body, "answer without the request's id"),
        }
        match refusal(head.status, &answer) {
            Some(Executed::No) => {
                let text = format!("{} from {}", head.status, self.placement.upstream.id);
                self.end(Ended::NotRun, &text);
                return SendOutcome::NotRun;
            }
            Some(_) => return self.end_unknown(body, "refusal that does not state \"not run\""),
            None => {}
        }
        if head.status.is_success() && (!answer.is_signed || answer.is_encoded) {
            return self.end_unknown(body, "answer without authentication code");
        }
        SendOutcome::Answer(Box::new(IncomingAnswer { head, body, attempt: self }))
    }

    /// Ends the attempt and closes its connection, since the answer does not tell what became of the request.
    fn end_unknown(self, body: UpstreamAnswerBody, why: &str) -> SendOutcome {
        body.close();
        self.end(Ended::Failed, why);
        SendOutcome::OutcomeUnknown(why.into())
    }
}

/// Returns what a refusal states about its request, or `None` if the answer is no refusal. Callers are promised that a
/// request which is answered with one of these statuses has not run.
fn refusal(status: StatusCode, answer: &AnswerHead) -> Option<Executed> {
    match status {
        StatusCode::MISDIRECTED_REQUEST => Some(Executed::No),
        _ if answer.is_not_run => Some(Executed::No),
        StatusCode::REQUEST_TIMEOUT
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::SERVICE_UNAVAILABLE => Some(Executed::Unknown),
        _ => None,
    }
}
