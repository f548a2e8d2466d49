//! The body of an upstream's answer that is passed on as it arrives, held until its caller's socket has it.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::{CallerMemory, NoRoom, hold_events};

/// Data below this length is copied, since it may keep a whole read buffer in memory.
const COPIED_MAX_BYTES: usize = 16 << 10;

type Waiting = Pin<Box<dyn Future<Output = Result<Bytes, NoRoom>> + Send + Sync>>;

/// Why a body broke off.
type Error = Box<dyn std::error::Error + Send + Sync>;

/// A body whose data is held until its last copy is dropped. Data that finds no room waits for it; the upstream is not read
/// meanwhile.
pub struct HeldBody<B> {
    body: B,
    memory: Arc<CallerMemory>,
    wait_max: Duration,
    waiting: Option<Waiting>,
}

impl<B> HeldBody<B> {
    /// Returns a body whose data waits at most this long for room. It breaks off afterwards.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
    /// use http_body_util::BodyExt as _;
    /// use lw_forward::intake::{CallerMemory, HeldBody, Shares};
    /// let memory = CallerMemory::new(Shares::of_total(6));
    /// let body = http_body_util::Full::new(bytes::Bytes::from("data"));
    /// let mut body = HeldBody::new(body, memory.clone(), std::time::Duration::from_secs(1));
    /// let data = body.frame().await.unwrap().unwrap();
    /// assert_eq!(memory.used().answers, 4);
    /// drop(data);
    /// assert_eq!(memory.used().answers, 0);
    /// # });
    /// ```
    #[must_use]
    pub fn new(body: B, memory: Arc<CallerMemory>, wait_max: Duration) -> Self {
        Self { body, memory, wait_max, waiting: None }
    }
}

impl<B> Body for HeldBody<B>
where
    B: Body<Data = Bytes, Error: Into<Error>> + Unpin,
{
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let this = &mut *self;
        loop {
            if let Some(waiting) = &mut this.waiting {
                let held = ready!(waiting.as_mut().poll(cx));
                this.waiting = None;
                return Poll::Ready(Some(held.map(Frame::data).map_err(Into::into)));
            }
            let frame = match ready!(Pin::new(&mut this.body).poll_frame(cx)) {
                Some(Ok(frame)) => frame,
                Some(Err(e)) => return Poll::Ready(Some(Err(e.into()))),
                None => return Poll::Ready(None),
            };
            let data = match frame.into_data() {
                Ok(data) if data.len() < COPIED_MAX_BYTES => Bytes::copy_from_slice(&data),
                Ok(data) => data,
                Err(frame) => return Poll::Ready(Some(Ok(frame))),
            };
            let (memory, wait_max) = (Arc::clone(&this.memory), this.wait_max);
            this.waiting =
                Some(Box::pin(async move { hold_events(&memory, data, wait_max).await }));
        }
    }

    fn is_end_stream(&self) -> bool {
        self.waiting.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
