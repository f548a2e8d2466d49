//! Memory for callers' bytes: accounting over all of them, and reading of bodies within it.

use std::{fmt::Display, sync::Arc, time::Duration};

use bytes::Bytes;
use derive_more::{Display as DisplayText, Error};
use http_body::{Body, Frame};
use http_body_util::BodyExt;
use lw_types::prelude::*;

mod buffer;
mod caller;
mod held_body;
mod memory;
mod progress;

pub use buffer::Buffer;
pub use caller::{Caller, Callers, Receiving};
pub use held_body::HeldBody;
pub use memory::{CallerMemory, Hold, Holder, NoRoom, SMALL_MAX_BYTES, Shares, Used};
pub use progress::{CallerId, CallerUsage, ProgressTable, Resource, Stage};

/// Time after which a request that was refused for lack of memory may return. The bodies that arrive at the time of a refusal
/// have usually been forwarded or abandoned by then.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Interval between two attempts to find room.
const ROOM_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time for which a request waits for the memory of callers that are being evicted.
const EVICTION_MAX: Duration = Duration::from_millis(200);

/// Limits on one body of a caller.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Largest body in bytes.
    pub bytes_max: usize,
    /// Longest time without any byte of it.
    pub idle_max: Duration,
    /// Longest time until its end. Its request cannot be served afterwards.
    pub time_max: Duration,
}

/// Why a body was not read to its end. Its request has not run.
#[derive(Debug, Clone, PartialEq, Eq, DisplayText, Error)]
pub enum BodyError {
    /// It is larger than the limit.
    #[display("the body is larger than {_0} bytes")]
    TooLarge(#[error(not(source))] usize),
    /// No byte of it arrived for this time.
    #[display("no byte of the body arrived for {_0:?}")]
    Stalled(#[error(not(source))] Duration),
    /// It was not complete after this time.
    #[display("the body did not arrive within {_0:?}")]
    Late(#[error(not(source))] Duration),
    /// There is no memory for it.
    #[display("{_0}")]
    NoRoom(NoRoom),
    /// The connection broke, or the body violates the protocol.
    #[display("{_0}")]
    Broken(#[error(not(source))] String),
}

impl BodyError {
    /// Returns the result code of a request with this body.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        match self {
            Self::TooLarge(_) => ResultCode::BodyTooLarge,
            Self::Stalled(_) | Self::Late(_) => ResultCode::BodyTimeout,
            Self::NoRoom(_) => ResultCode::MemoryExhausted,
            Self::Broken(_) => ResultCode::MalformedBody,
        }
    }

    /// Returns the time after which its caller may return, if that helps.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        matches!(self, Self::NoRoom(_)).then_some(NO_ROOM_RETRY_AFTER)
    }

    /// Returns the name of the reason, for counters and log lines.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::TooLarge(_) => "body_too_large",
            Self::Stalled(_) => "body_stalled",
            Self::Late(_) => "body_late",
            Self::NoRoom(_) => "no_memory",
            Self::Broken(_) => "body_broken",
        }
    }
}

/// Whether the body of a request with this result was not read to its end, so that its connection has to be closed.
///
/// ```
/// use lw_types::prelude::*;
/// assert!(lw_forward::intake::leaves_body_unread(ResultCode::BodyTooLarge));
/// assert!(!lw_forward::intake::leaves_body_unread(ResultCode::UnknownKey));
/// ```
#[must_use]
pub fn leaves_body_unread(code: ResultCode) -> bool {
    matches!(code, ResultCode::BodyTooLarge | ResultCode::BodyTimeout | ResultCode::MemoryExhausted)
}

/// Reads a body of a caller. The memory of the result is accounted for until its last copy is dropped. While memory is scarce
/// and the body makes no progress, it gives way to others.
///
/// # Errors
///
/// Any [`enum@BodyError`]. The rest of the body is not read.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// use lw_forward::intake::{BodyError, BodyLimits, CallerMemory, Callers, Shares, read_body};
/// let second = std::time::Duration::from_secs(1);
/// let limits = BodyLimits { bytes_max: 3, idle_max: second, time_max: second };
/// let callers = Callers::new(CallerMemory::new(Shares::of_total(1 << 20)));
/// let caller = callers.insert();
/// let mut body = http_body_util::Full::new(bytes::Bytes::from("abc"));
/// let read = read_body(&caller, &mut body, limits).await.unwrap();
/// assert_eq!((&*read, callers.memory().used().requests), (&b"abc"[..], 3));
/// let mut body = http_body_util::Full::new(bytes::Bytes::from("abcd"));
/// assert_eq!(read_body(&caller, &mut body, limits).await, Err(BodyError::TooLarge(3)));
/// # });
/// ```
pub async fn read_body<B>(
    caller: &Caller,
    body: &mut B,
    limits: BodyLimits,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes, Error: Display> + Unpin,
{
    let BodyLimits { bytes_max, idle_max, time_max } = limits;
    let hold = caller.hold(Holder::Request, body.size_hint().exact());
    let read = collect_body(hold, Some(caller), body, bytes_max, Some(idle_max));
    tokio::time::timeout(time_max, read).await.unwrap_or(Err(BodyError::Late(time_max)))
}

/// Collects a body of at most `bytes_max` bytes within `hold`. Without `idle_max`, nothing limits the time between two frames.
/// The body of a `caller` may be abandoned for the sake of others.
pub(crate) async fn collect_body<B>(
    hold: Hold,
    caller: Option<&Caller>,
    body: &mut B,
    bytes_max: usize,
    idle_max: Option<Duration>,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes, Error: Display> + Unpin,
{
    let announced = body.size_hint().exact();
    if body.size_hint().lower() > u64::try_from(bytes_max).unwrap_or(u64::MAX) {
        return Err(BodyError::TooLarge(bytes_max));
    }
    let mut buffer = Buffer::new(hold, announced);
    if body.is_end_stream() {
        return Ok(buffer.into_bytes());
    }
    let _receiving = caller.map(Caller::receive_body);
    loop {
        let frame = next_frame(caller, body);
        let frame = match idle_max {
            Some(time) => {
                tokio::time::timeout(time, frame).await.map_err(|_| BodyError::Stalled(time))??
            }
            None => frame.await?,
        };
        let Some(frame) = frame else { return Ok(buffer.into_bytes()) };
        // Trailers are not forwarded.
        let Ok(data) = frame.into_data() else { continue };
        if buffer.len() + data.len() > bytes_max {
            return Err(BodyError::TooLarge(bytes_max));
        }
        let mut data = &data[..];
        let pushed = wait_for_room(caller, || buffer.fill(&mut data)).await;
        pushed.map_err(BodyError::NoRoom)?;
    }
}

/// Waits for the next frame of a body, or until the `caller` gives way to others.
async fn next_frame<B>(
    caller: Option<&Caller>,
    body: &mut B,
) -> Result<Option<Frame<Bytes>>, BodyError>
where
    B: Body<Data = Bytes, Error: Display> + Unpin,
{
    let frame = match caller {
        Some(caller) => {
            tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = caller.body_evicted() => return Err(BodyError::NoRoom(caller.evicted())),
            }
        }
        None => body.frame().await,
    };
    frame.transpose().map_err(|e| BodyError::Broken(e.to_string()))
}

/// Repeats `try_hold` while it finds no room and others are being evicted.
///
/// # Errors
///
/// [`NoRoom`] if nobody gives way, or not in time.
pub(crate) async fn wait_for_room<T>(
    caller: Option<&Caller>,
    mut try_hold: impl FnMut() -> Result<T, NoRoom>,
) -> Result<T, NoRoom> {
    let mut left = EVICTION_MAX;
    loop {
        let e = match try_hold() {
            Ok(held) => return Ok(held),
            Err(e) => e,
        };
        if left.is_zero() || !caller.is_some_and(|caller| caller.make_room(&e)) {
            return Err(e);
        }
        tokio::time::sleep(ROOM_INTERVAL).await;
        left = left.saturating_sub(ROOM_INTERVAL);
    }
}

/// Returns data of a stream that is given to its caller, accounted for until the caller's socket has it. Waits for room, at
/// most for `time_max`; the upstream is not read meanwhile.
///
/// # Errors
///
/// [`NoRoom`] if there is none in this time.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// use lw_forward::intake::{CallerMemory, Shares, hold_events};
/// let memory = CallerMemory::new(Shares::of_total(6));
/// let time_max = std::time::Duration::from_millis(50);
/// let first = hold_events(&memory, "first".into(), time_max).await.unwrap();
/// assert_eq!((&*first, memory.used().answers), (&b"first"[..], 5));
/// assert!(hold_events(&memory, "second".into(), time_max).await.is_err());
/// drop(first);
/// assert!(hold_events(&memory, "second".into(), time_max).await.is_ok());
/// # });
/// ```
pub async fn hold_events(
    memory: &Arc<CallerMemory>,
    data: Bytes,
    time_max: Duration,
) -> Result<Bytes, NoRoom> {
    if data.is_empty() {
        return Ok(data);
    }
    let mut hold = memory.hold(Holder::Answer, None);
    let mut left = time_max;
    while let Err(e) = hold.grow(data.len()) {
        if left.is_zero() {
            return Err(e);
        }
        let wait = left.min(ROOM_INTERVAL);
        tokio::time::sleep(wait).await;
        left -= wait;
    }
    Ok(buffer::hold_data(data, hold))
}
