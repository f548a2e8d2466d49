//! Guards against memory that callers use and that is not accounted for, or stays accounted for when they are gone, whatever
//! they send and wherever they stop. Starts a listener on a loopback address.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use fastrand::Rng;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use lw_forward::{
    collect::AnswerMemory,
    intake::{
        BodyLimits, Caller, CallerMemory, ProgressTable, Resource, Shares, Stage, Used, read_body,
    },
    listen::{Connections, Options, serve},
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

const KIB: usize = 1 << 10;
const TOTAL_BYTES: usize = 2_048 * KIB;
const BODY_MAX: usize = 256 * KIB;
const CALLERS: usize = 80;
const CONNECTIONS_MAX: usize = 60;
const SEEDS: std::ops::Range<u64> = 0..6;
/// Timeouts of the listener: longer than a run, so that nothing is released by them.
const PATIENCE: Duration = Duration::from_secs(600);
/// Longest time for an outcome; only a failed run takes that long.
const OUTCOME_MAX: Duration = Duration::from_secs(60);

async fn answer(
    answers: Arc<AnswerMemory>,
    mut req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let refusal = |status| {
        let mut refusal = Response::new(Full::default());
        *refusal.status_mut() = status;
        refusal.headers_mut().insert("connection", "close".parse().expect("a value"));
        Ok(refusal)
    };
    let caller = req.extensions_mut().remove::<Caller>().expect("a connection");
    let Ok(_head) = caller.hold_head(req.headers()) else {
        return refusal(StatusCode::SERVICE_UNAVAILABLE);
    };
    let length: usize = req.uri().path()[1..].parse().expect("a length");
    let limits = BodyLimits { bytes_max: BODY_MAX, idle_max: PATIENCE, time_max: PATIENCE };
    let Ok(_body) = read_body(&caller, req.body_mut(), limits).await else {
        return refusal(StatusCode::SERVICE_UNAVAILABLE);
    };
    match answers.collect(Full::new(Bytes::from(vec![b'y'; length]))).await {
        Ok(body) => Ok(Response::new(Full::new(body))),
        Err(_) => refusal(StatusCode::BAD_GATEWAY),
    }
}

async fn start(memory: &Arc<CallerMemory>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let addr = listener.local_addr().expect("address");
    let options = || Options {
        head_timeout: PATIENCE,
        idle_timeout: PATIENCE,
        head_max_bytes: 16 * KIB,
        head_max_fields: 100,
        unread_max: PATIENCE,
        connections_max: CONNECTIONS_MAX,
    };
    let answers = Arc::new(AnswerMemory::new(Arc::clone(memory)));
    let handler = move |req| answer(Arc::clone(&answers), req);
    let connections = Connections::default().within(Arc::clone(memory));
    tokio::spawn(serve(listener, connections, options, handler));
    addr
}

/// Returns the bytes of some requests, the last of which may stop anywhere.
fn requests(rng: &mut Rng) -> Vec<u8> {
    let mut sent = Vec::new();
    for _ in 0..rng.usize(1..4) {
        let answer = if rng.u8(0..4) == 0 { rng.usize(0..300 * KIB) } else { rng.usize(0..900) };
        let fields = "f: 1\r\n".repeat(rng.usize(0..60));
        let filler = "x".repeat(if rng.bool() { rng.usize(0..15 * KIB) } else { 0 });
        let head = format!("POST /{answer} HTTP/1.1\r\nhost: a\r\nx-long: {filler}\r\n{fields}");
        let body = if rng.bool() { rng.usize(0..BODY_MAX * 5 / 4) } else { rng.usize(0..2_000) };
        sent.extend(head.as_bytes());
        if rng.bool() {
            sent.extend(format!("content-length: {body}\r\n\r\n").as_bytes());
            sent.extend(vec![b'x'; body]);
        } else {
            sent.extend(b"transfer-encoding: chunked\r\n\r\n");
            let length = [1, 100, 1_400, 64 * KIB][rng.usize(0..4)];
            let chunk = format!("{length:x}\r\n{}\r\n", "x".repeat(length));
            sent.extend(chunk.repeat(body.min(length * 4_000) / length).as_bytes());
            sent.extend(b"0\r\n\r\n");
        }
    }
    if rng.u8(0..4) > 0 {
        sent.truncate(rng.usize(0..sent.len()));
    }
    sent
}

/// Sends requests in pieces, reads some of the answers, and keeps the connection open.
async fn call(addr: SocketAddr, mut rng: Rng) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(addr).await.ok()?;
    let sent = requests(&mut rng);
    let piece = [700, 8 * KIB, 1 << 20][rng.usize(0..3)];
    let reads = rng.bool();
    for part in sent.chunks(piece) {
        // The listener may close the connection, or not read on.
        let written = timeout(Duration::from_millis(200), stream.write_all(part)).await;
        if !matches!(written, Ok(Ok(()))) {
            break;
        }
        if reads {
            let _ = stream.try_read(&mut [0; 4 * KIB]);
        }
        if rng.u8(0..8) == 0 {
            sleep(Duration::from_millis(rng.u64(0..3))).await;
        }
    }
    Some(stream)
}

async fn is_answered(addr: SocketAddr) -> bool {
    let request =
        b"POST /2 HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{}";
    let exchange = async {
        let mut stream = TcpStream::connect(addr).await.ok()?;
        stream.write_all(request).await.ok()?;
        let mut reply = Vec::new();
        stream.read_to_end(&mut reply).await.ok()?;
        Some(reply)
    };
    let reply = timeout(Duration::from_secs(5), exchange).await.ok().flatten();
    reply.is_some_and(|reply| reply.starts_with(b"HTTP/1.1 200") && reply.ends_with(b"yy"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn any_mix_of_callers_is_held_within_the_total_and_released() {
    for seed in SEEDS {
        let shares = Shares { total: TOTAL_BYTES, ..Shares::of_total(TOTAL_BYTES / 2) };
        let memory = CallerMemory::new(shares);
        let addr = start(&memory).await;
        let is_over = Arc::new(AtomicBool::new(false));
        let watch = tokio::spawn({
            let (memory, is_over) = (Arc::clone(&memory), Arc::clone(&is_over));
            async move {
                let mut peak = 0;
                while !is_over.load(Ordering::Relaxed) {
                    peak = peak.max(memory.used().total());
                    sleep(Duration::from_micros(200)).await;
                }
                peak
            }
        });
        let mut rng = Rng::with_seed(seed);
        let callers: Vec<_> = (0..CALLERS).map(|_| tokio::spawn(call(addr, rng.fork()))).collect();
        let mut open = Vec::new();
        for caller in callers {
            open.push(timeout(OUTCOME_MAX, caller).await.expect("in time").expect("no panic"));
        }
        let answered = async {
            while !is_answered(addr).await {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(OUTCOME_MAX, answered).await.unwrap_or_else(|_| panic!("seed {seed}: no answer"));
        drop(open);
        let released = async {
            while memory.used() != Used::default() {
                sleep(Duration::from_millis(20)).await;
            }
        };
        let is_released = timeout(OUTCOME_MAX, released).await;
        is_over.store(true, Ordering::Relaxed);
        let peak = watch.await.expect("no panic");
        assert!(is_released.is_ok(), "seed {seed}: {:?} is still held", memory.used());
        assert!(peak <= TOTAL_BYTES && peak > TOTAL_BYTES / 4, "seed {seed}: {peak} bytes held");
    }
}

/// Guards against callers that give way although others have made no progress for longer, or although they are served.
#[test]
fn callers_give_way_in_order() {
    let second = Duration::from_secs(1);
    let mut table = ProgressTable::default();
    let mut add = |name, since: u32, stage: Option<Stage>| {
        let id = table.insert(since * second, Arc::default(), name);
        if let Some(stage) = stage {
            table.set_stage(id, since * second, stage);
        }
        id
    };
    add("idle for long", 0, Some(Stage::Idle));
    add("served", 0, Some(Stage::Busy));
    add("stopped in a body", 3, Some(Stage::Body));
    let slow = add("slow", 1, None);
    let trickling = add("trickling", 2, None);
    let sending = add("reads an answer", 0, Some(Stage::Idle));
    table.set_sending(sending, Duration::ZERO, true);
    table.record_received(slow, 9 * second, 2 * KIB);
    for at in 3..10 {
        table.record_received(trickling, at * second, 1);
    }
    let mut evicted = Vec::new();
    for count in 1..=6 {
        let next = table.evict(10 * second, Resource::Connections, count, Duration::ZERO);
        evicted.extend(next.into_iter().map(|(_, name)| name));
    }
    assert_eq!(evicted, ["trickling", "stopped in a body", "slow", "idle for long"]);
}
