//! One attempt of a request at one upstream.

use std::{sync::Arc, time::Duration};

use http::{Request, response::Parts};
use http_body_util::Full;
use lw_forward::pool::{Error, HostKey, ReplyBody, Reuse};
use lw_place::{Choice, Ended, Ticket};
use lw_platform::headers::{self, Forwarding};

use super::Call;
use crate::{
    peers::{self, Announcement},
    state::Edge,
};

/// What came of sending a request.
#[derive(Debug)]
pub(super) enum Sent {
    /// The upstream answers.
    Answer(Box<Running>),
    /// The upstream did not run it and will not.
    NotRun(String),
    /// The upstream may have run it.
    Unknown(String),
    /// No answer came before the request was due.
    Late,
}

/// An answer that is being received.
#[derive(Debug)]
pub(super) struct Running {
    pub head: Parts,
    pub body: ReplyBody,
    pub attempt: Attempt,
}

/// Keeps an attempt in the books of its upstream; one that is dropped counts as cancelled.
#[derive(Debug)]
pub(super) struct Attempt {
    edge: Arc<Edge>,
    call: Arc<Call>,
    choice: Choice,
    ticket: Ticket,
    /// Whether the other VMs know of it.
    is_announced: bool,
    is_over: bool,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.finish(Ended::Cancelled);
    }
}

impl Attempt {
    /// Takes the attempt into the books of its upstream.
    pub fn begin(edge: &Arc<Edge>, call: &Arc<Call>, choice: Choice) -> Self {
        let now = edge.timer.now();
        let sent = |fleet: &mut lw_place::Fleet| fleet.sent(now, &choice, call.prompt.as_ref());
        let (ticket, announced) = edge.with_fleet(&call.service, sent).unwrap_or_default();
        if let Some(announced) = &announced {
            peers::announce(edge, Announcement::Sent(announced));
        }
        let is_announced = announced.is_some();
        Self {
            edge: Arc::clone(edge),
            call: Arc::clone(call),
            choice,
            ticket,
            is_announced,
            is_over: false,
        }
    }

    /// The first event or the head of the answer came.
    pub fn started(&self) {
        let id = &self.choice.upstream.id;
        let now = self.edge.timer.now();
        self.edge.with_fleet(&self.call.service, |fleet| fleet.started(now, id, self.ticket));
        if self.is_announced {
            peers::announce(&self.edge, Announcement::Started(id, self.ticket));
        }
    }

    /// Ends the attempt.
    pub fn end(mut self, how: Ended) {
        self.finish(how);
    }

    fn finish(&mut self, how: Ended) {
        if std::mem::replace(&mut self.is_over, true) {
            return;
        }
        let now = self.edge.timer.now();
        let id = &self.choice.upstream.id;
        self.edge.with_fleet(&self.call.service, |fleet| fleet.ended(now, id, self.ticket, how));
        if self.is_announced {
            peers::announce(&self.edge, Announcement::Ended(id, self.ticket, how));
        }
    }

    /// Sends the request, from the event after `last_event` on if there is one.
    pub async fn send(self, last_event: Option<u64>) -> Sent {
        let (edge, call) = (Arc::clone(&self.edge), Arc::clone(&self.call));
        let now = edge.timer.now();
        let left = call.due.saturating_sub(now);
        let key: HostKey = (self.choice.upstream.addr, self.choice.upstream.id.as_str().into());
        let req = self.request(call.deadline.saturating_sub(now), last_event);
        let reuse = if call.route.kind.may_repeat() { Reuse::Any } else { Reuse::Young };
        let upstream = self.choice.upstream.id.clone();
        let sent = async {
            tokio::select! {
                sent = edge.pool.send(&key, req, reuse) => sent,
                () = self.silenced() => Err(Error::Broken(format!("{upstream} is silent"))),
            }
        };
        match tokio::time::timeout(left, sent).await {
            Err(_) => {
                self.end(Ended::Failed);
                Sent::Late
            }
            Ok(Err(Error::NotSent(e))) => {
                self.end(Ended::Failed);
                Sent::NotRun(e)
            }
            Ok(Err(Error::Broken(e))) => {
                self.end(Ended::Failed);
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
            &Forwarding {
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

    /// Decides whether an answer is the upstream's answer to this request.
    fn judge(self, head: Parts, body: ReplyBody) -> Sent {
        let said = headers::answer_head(&head.headers);
        let now = self.edge.timer.now();
        if let Some(load) = said.load {
            let id = &self.choice.upstream.id;
            self.edge.with_fleet(&self.call.service, |fleet| fleet.on_load(now, id, load));
        }
        let answered = said.request.as_deref();
        if answered.is_some_and(|id| id != self.call.head.request) {
            body.close();
            self.end(Ended::Failed);
            return Sent::Unknown("answer to another request".into());
        }
        if said.is_not_run || head.status == http::StatusCode::MISDIRECTED_REQUEST {
            let text = format!("{} from {}", head.status, self.choice.upstream.id);
            self.end(Ended::NotRun);
            return Sent::NotRun(text);
        }
        if head.status.is_success() && (!said.is_sealed || said.is_encoded) {
            body.close();
            self.end(Ended::Failed);
            return Sent::Unknown("answer without authentication code".into());
        }
        Sent::Answer(Box::new(Running { head, body, attempt: self }))
    }
}
