//! The socket of a caller's connection: gives up callers that do not read, and lets a refused caller read its refusal.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep},
};

use super::readers::{SlowReader, SlowReaders};
use crate::drain::{Drain, SendState};

/// Longest time for which the rest of a refused request is read and dropped. Closing a socket with unread data resets the
/// connection, and a caller that is still sending would lose the refusal.
const LINGER_MAX: Duration = Duration::from_millis(500);
/// Maximum number of bytes that are dropped then: as many as the largest bodies that operators usually allow.
const LINGER_MAX_BYTES: usize = 4 << 20;
/// Interval between two checks of a caller's progress, unless the time for unread answers is short.
const CHECK_INTERVAL_MAX: Duration = Duration::from_secs(1);
const SCRATCH_BYTES: usize = 4 << 10;

/// Socket of a caller.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    unread_max: Duration,
    /// Present from the first write that the socket does not accept until all bytes are written.
    waiting: Option<Waiting>,
    readers: Arc<SlowReaders>,
    /// Set while a request with a body is refused.
    is_refusing: Arc<AtomicBool>,
    linger: Option<Linger>,
    end: Arc<CallerEnd>,
}

/// Why a connection ends because its caller reads too little.
#[derive(Debug, Default)]
pub(super) struct CallerEnd {
    /// The caller read nothing for too long.
    pub(super) is_unread: AtomicBool,
    /// Memory was scarce, and the caller read least.
    pub(super) is_slowest: AtomicBool,
}

/// Bytes wait for the caller to read.
#[derive(Debug)]
struct Waiting {
    drain: Drain,
    reader: SlowReader,
    next_check: Pin<Box<Sleep>>,
}

#[derive(Debug)]
struct Linger {
    end: Pin<Box<Sleep>>,
    dropped_bytes: usize,
}

impl CallerStream {
    pub(super) fn new(
        stream: TcpStream,
        unread_max: Duration,
        is_refusing: &Arc<AtomicBool>,
        readers: &Arc<SlowReaders>,
        end: &Arc<CallerEnd>,
    ) -> Self {
        Self {
            stream,
            unread_max,
            waiting: None,
            readers: Arc::clone(readers),
            is_refusing: Arc::clone(is_refusing),
            linger: None,
            end: Arc::clone(end),
        }
    }

    /// Passes on the result of a write, or fails if the caller has read too little.
    ///
    /// The socket accepts bytes again only when a third of its send buffer is free, which may be megabytes. So the bytes that
    /// the caller's system has acknowledged are progress too.
    fn check_progress<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            if let Some(waiting) = &mut self.waiting {
                waiting.drain.record_progress(self.readers.now());
            }
            return written;
        }
        let interval = (self.unread_max / 8).min(CHECK_INTERVAL_MAX);
        let waiting = self.waiting.get_or_insert_with(|| {
            let drain = Drain::new(acked_bytes(&self.stream), self.readers.now());
            let reader = self.readers.add(drain, cx.waker());
            Waiting { drain, reader, next_check: Box::pin(sleep(interval)) }
        });
        let end = loop {
            if waiting.reader.is_closing() {
                break &self.end.is_slowest;
            }
            ready!(waiting.next_check.as_mut().poll(cx));
            let now = self.readers.now();
            waiting.drain.update(acked_bytes(&self.stream), now);
            if waiting.drain.idle_time(now) >= self.unread_max {
                break &self.end.is_unread;
            }
            waiting.next_check.as_mut().reset(Instant::now() + interval);
            waiting.reader.update(waiting.drain, cx.waker());
        };
        end.store(true, Ordering::Release);
        // What the kernel still holds is dropped, instead of kept until the caller's system gives up.
        let _ = self.stream.set_zero_linger();
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, "the caller reads too little")))
    }

    /// Reads and drops what the caller still sends, until it closes its side or a limit is reached.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let linger = self
            .linger
            .get_or_insert_with(|| Linger { end: Box::pin(sleep(LINGER_MAX)), dropped_bytes: 0 });
        let mut scratch = [0; SCRATCH_BYTES];
        while linger.dropped_bytes < LINGER_MAX_BYTES && linger.end.as_mut().poll(cx).is_pending() {
            let mut buf = ReadBuf::new(&mut scratch);
            match ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf)) {
                Ok(()) if !buf.filled().is_empty() => linger.dropped_bytes += buf.filled().len(),
                _ => break,
            }
        }
        Poll::Ready(())
    }
}

/// Returns the bytes that the caller's system has acknowledged, if the kernel tells.
fn acked_bytes(stream: &TcpStream) -> Option<u64> {
    SendState::of(stream).map(|state| state.acked_bytes)
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check_progress(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.check_progress(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes when it has written all that it has.
        self.waiting = None;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        }
        if self.is_refusing.load(Ordering::Acquire) {
            ready!(self.poll_linger(cx));
        }
        Poll::Ready(Ok(()))
    }
}
