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
use crate::{
    drain::{Drain, SendState},
    intake::{Caller, Hold},
};

/// Longest time for which the rest of a refused request is read and dropped. Closing a socket with unread data resets the
/// connection, and a caller that is still sending would lose the refusal.
const LINGER_MAX: Duration = Duration::from_millis(500);
/// Maximum number of bytes that are dropped then: as many as the largest bodies that operators usually allow.
const LINGER_MAX_BYTES: usize = 4 << 20;
/// Interval between two checks of a caller's progress, unless the time for unread answers is short.
const CHECK_INTERVAL_MAX: Duration = Duration::from_secs(1);
const SCRATCH_BYTES: usize = 4 << 10;
/// Bytes that are read at a time. The HTTP library doubles its buffer each time that one is filled.
const READ_MAX_BYTES: usize = 16 << 10;
/// Written bytes from which on the kernel is asked whether the caller's system has received them.
const UNDELIVERED_MIN_BYTES: usize = 64 << 10;
/// Bytes of a head that the memory of a connection without a request has room for.
const FIRST_BUFFER_BYTES: usize = 8 << 10;

/// What is held for a connection.
#[derive(Debug)]
pub(super) struct Account {
    caller: Caller,
    hold: Hold,
    /// Bytes held without a request.
    base_bytes: usize,
    /// Number of the request whose head is being received, and its bytes so far.
    head: (u64, usize),
}

impl Account {
    /// Returns the account of a connection without a request, whose memory is in `hold`.
    pub(super) fn new(caller: Caller, hold: Hold) -> Self {
        let base_bytes = hold.bytes();
        Self { caller, hold, base_bytes, head: (0, 0) }
    }

    /// Returns the connection.
    pub(super) fn caller(&self) -> &Caller {
        &self.caller
    }

    /// Records received bytes, and holds the buffer of a head that grows.
    fn record_received(&mut self, bytes: usize) -> io::Result<()> {
        let request = self.caller.record_received(bytes);
        if request != Some(self.head.0) {
            self.head = (request.unwrap_or(self.head.0), 0);
            self.hold.shrink_to(self.base_bytes);
        }
        if request.is_none() {
            return Ok(());
        }
        self.head.1 += bytes;
        let buffer = self.head.1.next_power_of_two().saturating_sub(FIRST_BUFFER_BYTES);
        let more = (self.base_bytes + buffer).saturating_sub(self.hold.bytes());
        if more == 0 {
            return Ok(());
        }
        self.hold.grow(more).map_err(|e| {
            self.caller.close();
            io::Error::new(io::ErrorKind::OutOfMemory, e)
        })
    }
}

/// Socket of a caller.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    account: Account,
    unread_max: Duration,
    /// Present from the first write that the socket does not accept until all bytes are written.
    waiting: Option<Waiting>,
    /// Present while the kernel may hold bytes that are written.
    undelivered: Option<Undelivered>,
    /// Bytes written since the kernel was known to hold none.
    written_bytes: usize,
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

/// The kernel may hold bytes for the caller.
#[derive(Debug)]
struct Undelivered {
    drain: Drain,
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
        account: Account,
        is_refusing: &Arc<AtomicBool>,
        readers: &Arc<SlowReaders>,
        end: &Arc<CallerEnd>,
    ) -> Self {
        Self {
            stream,
            account,
            unread_max,
            waiting: None,
            undelivered: None,
            written_bytes: 0,
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
        let interval = self.check_interval();
        let waiting = self.waiting.get_or_insert_with(|| {
            let drain = Drain::new(acked_bytes(&self.stream), self.readers.now());
            let reader = self.readers.add(drain, cx.waker());
            self.account.caller.set_sending(true);
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
        Poll::Ready(Err(self.give_up(end)))
    }

    /// Counts written bytes, and watches whether they are delivered once they are many.
    fn record_written(&mut self, written: &Poll<io::Result<usize>>) {
        let Poll::Ready(Ok(bytes)) = written else { return };
        self.written_bytes += bytes;
        if self.undelivered.is_none() && self.written_bytes >= UNDELIVERED_MIN_BYTES {
            let drain = Drain::new(None, self.readers.now());
            let next_check = Box::pin(sleep(self.check_interval()));
            self.undelivered = Some(Undelivered { drain, next_check });
        }
    }

    /// Whether the caller has received nothing for too long of the bytes that the kernel holds for it.
    fn is_undelivered(&mut self, cx: &mut Context<'_>) -> bool {
        let interval = self.check_interval();
        let Some(undelivered) = &mut self.undelivered else { return false };
        while undelivered.next_check.as_mut().poll(cx).is_ready() {
            let now = self.readers.now();
            let state = SendState::of(&self.stream).filter(|state| state.queued_bytes > 0);
            let Some(state) = state else {
                (self.undelivered, self.written_bytes) = (None, 0);
                return false;
            };
            undelivered.drain.update(Some(state.acked_bytes), now);
            if undelivered.drain.idle_time(now) >= self.unread_max {
                return true;
            }
            undelivered.next_check.as_mut().reset(Instant::now() + interval);
        }
        false
    }

    fn check_interval(&self) -> Duration {
        (self.unread_max / 8).min(CHECK_INTERVAL_MAX)
    }

    /// Ends a connection whose caller reads too little.
    fn give_up(&self, end: &AtomicBool) -> io::Error {
        end.store(true, Ordering::Release);
        // What the kernel still holds is dropped, instead of kept until the caller's system gives up.
        let _ = self.stream.set_zero_linger();
        io::Error::new(io::ErrorKind::TimedOut, "the caller reads too little")
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
        if self.account.caller.is_closing(cx) {
            // What the kernel still holds is dropped.
            let _ = self.stream.set_zero_linger();
            let text = "the caller made no progress while connections or memory were scarce";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::ConnectionAborted, text)));
        }
        if self.is_undelivered(cx) {
            return Poll::Ready(Err(self.give_up(&self.end.is_unread)));
        }
        let read = if buf.remaining() <= READ_MAX_BYTES {
            let before = buf.filled().len();
            ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
            buf.filled().len() - before
        } else {
            let mut part = ReadBuf::new(buf.initialize_unfilled_to(READ_MAX_BYTES));
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
            let read = part.filled().len();
            buf.advance(read);
            read
        };
        Poll::Ready(self.account.record_received(read))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_written(&written);
        self.check_progress(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_written(&written);
        self.check_progress(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes when it has written all that it has.
        if self.waiting.take().is_some() {
            self.account.caller.set_sending(false);
        }
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
