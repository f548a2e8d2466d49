//! Guards against bytes of callers that are held beyond the limits, or stay accounted for when they are gone.

use std::{
    collections::VecDeque,
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use lw_forward::{
    collect::{AnswerMemory, CollectError},
    intake::{
        BodyError, BodyLimits, Buffer, Caller, CallerMemory, Callers, Holder, SMALL_MAX_BYTES,
        Shares, Used, read_body,
    },
};

const KIB: usize = 1 << 10;
const LIMITS: BodyLimits = BodyLimits {
    bytes_max: 4 << 20,
    idle_max: Duration::from_secs(10),
    time_max: Duration::from_secs(60),
};

/// A body of given chunks; it never ends if `is_open`.
struct Sent {
    chunks: VecDeque<Bytes>,
    announced: Option<u64>,
    is_open: bool,
}

fn chunks(lengths: impl IntoIterator<Item = usize>) -> Sent {
    let chunks = lengths.into_iter().map(|length| vec![b'x'; length].into()).collect();
    Sent { chunks, announced: None, is_open: false }
}

impl Body for Sent {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.chunks.pop_front() {
            Some(chunk) => Poll::Ready(Some(Ok(Frame::data(chunk)))),
            None if self.is_open => Poll::Pending,
            None => Poll::Ready(None),
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.announced.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

fn memory(total: usize) -> Arc<CallerMemory> {
    CallerMemory::new(Shares::of_total(total))
}

fn caller(memory: &Arc<CallerMemory>) -> Caller {
    Callers::new(Arc::clone(memory)).insert()
}

/// Guards against large bodies that leave no room to small ones.
#[test]
fn large_requests_and_answers_leave_room_to_small_ones() {
    let memory = memory(1024 * KIB);
    let mut held = Vec::new();
    for (holder, share) in [(Holder::Request, 512), (Holder::Answer, 256)] {
        let mut large = memory.hold(holder, Some(4096 * KIB as u64));
        while large.grow(16 * KIB).is_ok() {}
        assert_eq!(large.bytes(), share * KIB, "{holder:?}");
        held.push(large);
    }
    let mut small = Vec::new();
    while let Some(hold) = Some(memory.hold(Holder::Request, Some(64 * KIB as u64)))
        .and_then(|mut hold| hold.grow(64 * KIB).is_ok().then_some(hold))
    {
        small.push(hold);
    }
    assert_eq!(small.len(), 4, "a quarter is left to small requests");
    drop((held, small));
    assert_eq!(memory.used(), Used::default());
}

/// Guards against bodies without an announced length that take what is left to small ones.
#[test]
fn a_body_that_grows_beyond_small_counts_as_large_as_a_whole() {
    let memory = memory(1024 * KIB);
    let mut first = memory.hold(Holder::Request, None);
    first.grow(SMALL_MAX_BYTES).unwrap();
    assert_eq!(memory.used().large_requests, 0);
    first.grow(448 * KIB).unwrap();
    assert_eq!(memory.used().large_requests, 512 * KIB);
    let mut second = memory.hold(Holder::Request, None);
    second.grow(SMALL_MAX_BYTES).unwrap();
    let refused = second.grow(1).unwrap_err();
    assert_eq!(refused.used.total(), 576 * KIB);
    assert_eq!(second.bytes(), SMALL_MAX_BYTES, "what it had stays accounted for");
    first.shrink_to(KIB);
    second.grow(1).unwrap();
    drop((first, second));
    assert_eq!(memory.used(), Used::default());
}

/// Guards against chunks that cost more memory than their data, and against joined data that differs from what was received.
#[test]
fn buffers_hold_little_more_than_their_data() {
    for (piece, count) in [(1, 200 * KIB), (1_400, 1_000), (64 * KIB, 20), (1 << 20, 1), (1, 1)] {
        for is_announced in [false, true] {
            let memory = memory(16 << 20);
            let len = piece * count;
            let announced = is_announced.then_some(len as u64);
            let mut buffer = Buffer::new(memory.hold(Holder::Request, announced), announced);
            let data: Vec<u8> = (0..=250).cycle().take(len).collect();
            for part in data.chunks(piece) {
                buffer.push(part).unwrap();
                let held = memory.used().requests;
                assert!(
                    held >= buffer.len() && held <= buffer.len() + 64 * KIB,
                    "{piece} x {count}: {held} held for {}",
                    buffer.len()
                );
            }
            if is_announced {
                assert_eq!(memory.used().requests, len, "{piece} x {count}");
            }
            let bytes = buffer.into_bytes();
            assert_eq!(bytes, data);
            let copy = bytes.clone();
            drop(bytes);
            assert!(memory.used().requests >= len, "a copy is still in use");
            drop(copy);
            assert_eq!(memory.used(), Used::default());
        }
    }
}

/// Guards against bodies that are read beyond their limits, and against memory that an abandoned body keeps.
#[tokio::test(start_paused = true)]
async fn bodies_are_abandoned_at_each_limit() {
    let memory = memory(1 << 20);
    let open = |lengths: &[usize]| Sent { is_open: true, ..chunks(lengths.iter().copied()) };
    let too_large = BodyLimits { bytes_max: 100, ..LIMITS };
    let announced = Sent { announced: Some(101), ..open(&[]) };
    let cases = [
        ("announced", announced, too_large, "body_too_large"),
        ("just sent", open(&[60, 41]), too_large, "body_too_large"),
        ("no further byte", open(&[60]), LIMITS, "body_stalled"),
        ("no memory", open(&[600 * KIB]), LIMITS, "no_memory"),
        (
            "late",
            open(&[60]),
            BodyLimits { time_max: Duration::from_secs(5), ..LIMITS },
            "body_late",
        ),
    ];
    for (name, mut body, limits, kind) in cases {
        let error = read_body(&caller(&memory), &mut body, limits).await.unwrap_err();
        assert_eq!(error.kind(), kind, "{name}: {error}");
        assert_eq!(memory.used(), Used::default(), "{name}");
    }
}

/// Guards against a limit on progress that a slow caller meets: a byte in less than the longest pause is progress.
#[tokio::test(start_paused = true)]
async fn a_body_that_arrives_slowly_is_read() {
    struct Slow(usize, Option<Pin<Box<tokio::time::Sleep>>>);
    impl Body for Slow {
        type Data = Bytes;
        type Error = Infallible;

        fn poll_frame(
            mut self: Pin<&mut Self>,
            cx: &mut Context<'_>,
        ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
            if self.0 == 0 {
                return Poll::Ready(None);
            }
            let pause = Duration::from_millis(9_900);
            let sleep = self.1.get_or_insert_with(|| Box::pin(tokio::time::sleep(pause)));
            std::task::ready!(Future::poll(sleep.as_mut(), cx));
            self.1 = None;
            self.0 -= 1;
            Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(b"x")))))
        }
    }
    let memory = memory(1 << 20);
    let read = read_body(&caller(&memory), &mut Slow(6, None), LIMITS).await;
    assert_eq!(read, Ok(Bytes::from_static(b"xxxxxx")));
    let late = read_body(&caller(&memory), &mut Slow(7, None), LIMITS).await;
    assert_eq!(late, Err(BodyError::Late(LIMITS.time_max)));
}

/// Guards against answers that callers do not read and that are no longer accounted for.
#[tokio::test]
async fn answers_are_accounted_for_until_they_are_dropped() {
    let memory = memory(1 << 20);
    let answers = AnswerMemory::new(Arc::clone(&memory));
    let first = answers.collect(chunks([200 * KIB])).await.unwrap();
    assert!(answers.used_bytes() >= first.len());
    let error = answers.collect(chunks([100 * KIB])).await.unwrap_err();
    assert!(matches!(error, CollectError::MemoryExhausted), "{error}");
    assert_eq!(answers.collect(chunks([1, 2, 3])).await.unwrap().len(), 6);
    drop(first);
    assert_eq!(answers.collect(chunks([100 * KIB])).await.unwrap().len(), 100 * KIB);
    assert_eq!(answers.used_bytes(), 0);
}
