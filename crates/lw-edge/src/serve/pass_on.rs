//! Passes a request on to another VM while this one has no path to any upstream of its service.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use lw_catalog::RouteKind;
use lw_forward::pool::{Error, HostKey, Reuse, UpstreamAnswer, UpstreamAnswerBody};
use lw_platform::headers;
use lw_protocol::caller::Failure;
use lw_types::prelude::*;
use tokio::{sync::watch, time::Instant};

use super::{
    RETRY_AFTER_UNREADY,
    forward::Driver,
    forwarded::{AnsweredBy, Forwarded, SignedHead},
    record::RequestRecord,
};
use crate::{
    answer::{self, Answer, AnswerBody, BodyError},
    state::{Edge, GivenUp, keys},
};

/// VMs to which one request is passed on, one after the other, while each states that it has not run it.
const VMS_MAX: usize = 3;

/// Another VM that may serve a request.
#[derive(Debug, Clone)]
struct Candidate {
    vm: VmId,
    addr: SocketAddr,
}

/// What became of a request at another VM.
enum Passed {
    /// The answer for the caller.
    Answer(Box<Answer>),
    /// The VM has not run the request, and another one may.
    Elsewhere(String),
    /// The VM may have run the request.
    Unknown(String),
}

impl Driver {
    /// Whether the request may go to another VM: this one has no path to the service, and has received it from its caller.
    pub fn may_pass_on(&self) -> bool {
        let call = &self.call;
        let has_attempts = self.attempts_sent() == 0 || self.attempts_sent() < call.route.attempts;
        let may_run = !self.may_have_run() || call.route.kind.may_repeat();
        call.forwarded.is_none()
            && has_attempts
            && may_run
            && !self.stays
            && self.edge.reach.is_lost(&call.service)
    }

    /// Passes the request on to other VMs if it may be, until one gives the answer. It is none if the request stays at this VM, also
    /// since no other VM reaches an upstream, but they may all be silent for a moment.
    pub async fn pass_on(&mut self) -> Result<Option<Answer>, Failure> {
        if !self.may_pass_on() {
            return Ok(None);
        }
        let candidates = candidates(&self.edge, &self.call.service);
        for candidate in candidates.into_iter().take(VMS_MAX) {
            if self.edge.timer.now() >= self.call.due {
                break;
            }
            log::info!(target: "route", request = self.call.head.request.as_str(),
                vm = candidate.vm.as_str(), attempts = self.attempts_sent();
                "request passed on to another VM");
            self.record.count_attempt();
            match self.pass_on_to(&candidate).await {
                Passed::Answer(answer) => return Ok(Some(*answer)),
                Passed::Elsewhere(why) => {
                    log::warn!(target: "route", request = self.call.head.request.as_str(),
                        vm = candidate.vm.as_str(), why = why.as_str();
                        "another VM has not served the request");
                }
                Passed::Unknown(why) => self.on_outcome_unknown(&why)?,
            }
        }
        if self.may_have_run() {
            return Err(self.refusal("no other VM has answered the request"));
        }
        let now = self.edge.timer.now();
        if self.edge.reach.lock().may_be_silent(now, &self.call.service) {
            self.stays = true;
            return Ok(None);
        }
        let text = "neither this VM nor another one reaches an upstream of the service";
        Err(Failure::new(ResultCode::NoUpstream, text).retry_after(RETRY_AFTER_UNREADY))
    }

    async fn pass_on_to(&mut self, candidate: &Candidate) -> Passed {
        let Some(key) = self.edge.store_view().peer_key() else {
            return Passed::Elsewhere("the key for messages between VMs was not read yet".into());
        };
        let left = self.call.due.saturating_sub(self.edge.timer.now());
        let host: HostKey = (candidate.addr, candidate.vm.as_str().into());
        let repeats = self.call.route.kind.may_repeat();
        let reuse = if repeats { Reuse::Any } else { Reuse::Recent };
        let sent = self.edge.connection_pool.send(&host, self.passed_on_request(&key), reuse);
        let UpstreamAnswer { mut head, body } = match tokio::time::timeout(left, sent).await {
            Err(_) => return Passed::Unknown("no answer before the deadline".into()),
            Ok(Err(Error::NotSent(e))) => return Passed::Elsewhere(e),
            Ok(Err(Error::Broken(e))) => return Passed::Unknown(e),
            Ok(Ok(answer)) => answer,
        };
        match AnsweredBy::take(&key, &self.call.head.request, &mut head.headers) {
            None => {
                body.close();
                Passed::Unknown("the answer is not authentic".into())
            }
            // That VM has not run it, which does not say that an attempt of this one has not.
            Some(AnsweredBy::Vm(code))
                if is_for_another_vm(code)
                    || self.may_have_run() && code.executed() == Executed::No =>
            {
                body.close();
                Passed::Elsewhere(format!("it answered {}", code.name()))
            }
            Some(_) => {
                let mut headers = headers::end_to_end(&head.headers);
                headers.remove(http::header::CONTENT_LENGTH);
                self.answer_of(head.status, headers, body).await
            }
        }
    }

    /// Returns the request for another VM: the caller's, with the time that is left.
    fn passed_on_request(&self, key: &[u8]) -> Request<Full<Bytes>> {
        let call = &self.call;
        let left = call.deadline.saturating_sub(self.edge.timer.now());
        let mut headers = headers::passed_on(&call.headers, left);
        let head =
            SignedHead { method: &call.method, target: &call.target, id: &call.head.request };
        let vm = self.edge.settings.vm.clone();
        Forwarded { vm, attempts: self.attempts_sent() }.write(key, head, &mut headers);
        let mut req = Request::new(Full::new(call.body.clone()));
        *req.method_mut() = call.method.clone();
        *req.uri_mut() = call.target.clone();
        *req.headers_mut() = headers;
        req
    }

    /// Returns the answer for the caller. A stream is passed through, any other answer is read to its end first.
    async fn answer_of(
        &mut self,
        status: http::StatusCode,
        headers: HeaderMap,
        body: UpstreamAnswerBody,
    ) -> Passed {
        self.record.record_first_byte();
        let is_stream = matches!(self.call.route.kind, RouteKind::Stream { .. });
        let body = if is_stream && status.is_success() {
            self.stream_body(status.as_u16(), body)
        } else {
            let left = self.call.due.saturating_sub(self.edge.timer.now());
            let collected = tokio::time::timeout(left, self.edge.answer_memory.collect(body)).await;
            match collected {
                Err(_) => return Passed::Unknown("its answer is not complete in time".into()),
                Ok(Err(e)) => return Passed::Unknown(e.to_string()),
                Ok(Ok(bytes)) => {
                    self.record.record_answer(status.as_u16());
                    answer::full_body(bytes)
                }
            }
        };
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        Passed::Answer(Box::new(response))
    }

    /// Returns a body that passes a stream through. If the other VM breaks it off, so does this one.
    fn stream_body(&mut self, status: u16, body: UpstreamAnswerBody) -> AnswerBody {
        // One subscription for all chunks.
        let given_up = self.edge.watch_given_up();
        let left = self.call.due.saturating_sub(self.edge.timer.now());
        let end = Instant::now() + left;
        let passed =
            PassedStream { body, given_up, end, record: self.record.take(), status, bytes: 0 };
        answer::stream_body(passed, |mut passed| async move {
            Ok(passed.next().await?.map(|bytes| (bytes, passed)))
        })
    }
}

/// A stream that another VM answers with.
struct PassedStream {
    body: UpstreamAnswerBody,
    given_up: watch::Receiver<GivenUp>,
    /// When its request is due.
    end: Instant,
    record: RequestRecord,
    status: u16,
    /// Bytes given to the caller.
    bytes: u64,
}

impl PassedStream {
    /// Returns the next bytes for the caller, or none at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        let received = tokio::select! {
            frame = tokio::time::timeout_at(self.end, self.body.frame()) => match frame {
                Ok(frame) => frame.transpose().map_err(|e| e.to_string()),
                Err(_) => Err("the deadline passed".to_owned()),
            },
            _ = self.given_up.wait_for(|given_up| *given_up >= GivenUp::Streams) => {
                Err("this VM ends before the stream".to_owned())
            }
        };
        match received {
            Ok(Some(frame)) => {
                // Frames without data are trailers, which are not passed on.
                let data = frame.into_data().unwrap_or_default();
                self.bytes += u64::try_from(data.len()).unwrap_or(u64::MAX);
                self.record.record_chunk();
                Ok(Some(data))
            }
            Ok(None) => {
                self.record.record_answer(self.status);
                Ok(None)
            }
            Err(why) => {
                self.record.record_broken_stream(&why, self.bytes);
                Err(why.into())
            }
        }
    }
}

/// Whether another VM may serve a request that one has not run: it is leaving, has no path either, or another configuration.
fn is_for_another_vm(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::Draining
            | ResultCode::NotReady
            | ResultCode::NoUpstream
            | ResultCode::UnknownPath
            | ResultCode::UnknownKey
            | ResultCode::MemoryExhausted
    )
}

/// Returns the VMs that may have a path to a service in random order, those of this failure domain first.
fn candidates(edge: &Edge, service: &str) -> Vec<Candidate> {
    let now = edge.timer.now();
    let mut found: Vec<(bool, Candidate)> = {
        let view = edge.store_view();
        let reach = edge.reach.lock();
        let others = view
            .vms()
            .filter(|(vm, _)| **vm != edge.settings.vm && !reach.is_lost_by(now, vm, service));
        let candidate = |(vm, entry): (&VmId, &keys::VmEntry)| {
            let is_distant = entry.failure_domain != edge.settings.failure_domain;
            Some((is_distant, Candidate { vm: vm.clone(), addr: entry.forwarded? }))
        };
        others.filter_map(candidate).collect()
    };
    fastrand::shuffle(&mut found);
    found.sort_by_key(|(is_distant, _)| *is_distant);
    found.into_iter().map(|(_, candidate)| candidate).collect()
}
