//! The body of an upstream's answer.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, header, response::Parts};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use super::Conn;

/// The body of an answer. Its connection returns to the pool when the body was read to its end, else it is closed.
#[derive(Debug)]
pub struct UpstreamAnswerBody {
    incoming: Incoming,
    conn: Option<Conn>,
    keep_alive: Option<Duration>,
    may_reuse: bool,
}

impl UpstreamAnswerBody {
    pub(super) fn new(incoming: Incoming, conn: Conn, head: &Parts) -> Self {
        let may_reuse = !has_close_option(&head.headers);
        Self { incoming, conn: Some(conn), keep_alive: keep_alive(&head.headers), may_reuse }
    }

    /// Closes the connection, for instance since the answer belongs to another request.
    pub fn close(mut self) {
        self.conn = None;
    }

    fn release_connection(&mut self) {
        if let Some(conn) = self.conn.take()
            && self.may_reuse
        {
            let pool = std::sync::Arc::clone(&conn.pool);
            pool.check_in(conn, self.keep_alive);
        }
    }
}

impl Drop for UpstreamAnswerBody {
    fn drop(&mut self) {
        // An empty body may never be polled. It is released only here, since its answer may still prove not to be genuine.
        if self.incoming.is_end_stream() {
            self.release_connection();
        }
    }
}

fn has_close_option(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut options = values.filter_map(|v| v.to_str().ok()).flat_map(|v| v.split(','));
    options.any(|option| option.trim().eq_ignore_ascii_case("close"))
}

fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|field| field.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

impl Body for UpstreamAnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => self.release_connection(),
            Poll::Ready(Some(Ok(_))) if self.incoming.is_end_stream() => self.release_connection(),
            Poll::Ready(Some(Err(_))) => self.conn = None,
            _ => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
