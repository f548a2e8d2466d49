//! The body of an answer, until which its caller counts as served.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use http_body::{Body, Frame, SizeHint};

use crate::intake::{Caller, Stage};

/// A body of an answer. When the HTTP library has taken it, or dropped it, the connection is idle.
#[derive(Debug)]
pub(super) struct ServedBody<B> {
    body: Pin<Box<B>>,
    caller: Caller,
}

impl<B> ServedBody<B> {
    pub(super) fn new(body: B, caller: Caller) -> Self {
        Self { body: Box::pin(body), caller }
    }
}

impl<B> Drop for ServedBody<B> {
    fn drop(&mut self) {
        self.caller.set_stage(Stage::Idle);
    }
}

impl<B: Body> Body for ServedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        self.body.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
