//! The HTTP service in front of each stand-in: sets fault switches and applies the faults that affect any request.

use std::{
    convert::Infallible,
    future::pending,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{Method, StatusCode};
use http_body::Frame;
use motore::Service;
use volo::context::Context as _;
use volo_http::{
    body::Body, context::ServerContext, error::BoxError, request::Request, response::Response,
};

use super::{App, Call, Control, bad_request, conns::Conns, empty, json};

/// Path of the fault switches.
const FAULTS_PATH: &str = "/faults";

pub(super) struct FaultService<A> {
    app: Arc<A>,
    conns: Arc<Conns>,
    control: Control,
}

impl<A: App> FaultService<A> {
    pub(super) fn new(app: Arc<A>, conns: Arc<Conns>, control: Control) -> Self {
        Self { app, conns, control }
    }

    fn faults_call(&self, call: &Call) -> Response {
        match call.method {
            Method::GET => json(&self.app.switches().get()),
            Method::POST | Method::PUT => match call.json::<A::Faults>() {
                Ok(faults) => {
                    let common = A::http_faults(&faults);
                    if common.silence_open {
                        self.conns.silence_open();
                    }
                    if let Some(ms) = common.down_ms {
                        self.control.down(Duration::from_millis(ms));
                    }
                    self.app.switches().set(faults.clone());
                    json(&faults)
                }
                Err(e) => bad_request(&e),
            },
            _ => empty(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    async fn answer(&self, peer: &str, req: Request) -> Response {
        let path = req.uri().path();
        if path == FAULTS_PATH || A::is_exempt_from_faults(path) {
            let Some(call) = Call::read(req).await else { return empty(StatusCode::BAD_REQUEST) };
            if call.path == FAULTS_PATH {
                return self.faults_call(&call);
            }
            return self.app.clone().call(call).await;
        }
        let faults = self.app.switches().get();
        let common = A::http_faults(&faults);
        if common.silent || self.conns.is_silenced(peer) {
            return pending().await;
        }
        let Some(call) = Call::read(req).await else { return empty(StatusCode::BAD_REQUEST) };
        if common.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(common.delay_ms)).await;
        }
        if common.unavailable {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let response = self.app.clone().call(call).await;
        if self.conns.is_silenced(peer) {
            return pending().await;
        }
        let wrap =
            |inner| ConnectionBody { inner, peer: peer.to_owned(), conns: self.conns.clone() };
        response.map(|body| Body::from_body(wrap(body)))
    }
}

impl<A: App> Service<ServerContext, Request> for FaultService<A> {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, cx: &mut ServerContext, req: Request) -> Result<Response, Infallible> {
        let peer = cx.rpc_info().caller().address().map(|peer| peer.to_string());
        Ok(self.answer(&peer.unwrap_or_default(), req).await)
    }
}

/// Forwards a body until its connection is silenced.
struct ConnectionBody {
    inner: Body,
    peer: String,
    conns: Arc<Conns>,
}

impl http_body::Body for ConnectionBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if self.conns.is_silenced(&self.peer) {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.inner.size_hint()
    }
}
