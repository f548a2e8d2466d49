//! Crowds of callers that stop within a request or an answer and keep their connections open.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::future::join_all;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpSocket, TcpStream},
    time::{Instant, sleep, timeout},
};

use crate::hostile::{Usage, descriptors, peak_kib};

/// Callers that connect at the same time.
const AT_ONCE: usize = 50;
/// Time after which a caller stops to write; a process that does not read lets it wait.
const WRITE_MAX: Duration = Duration::from_secs(5);
/// Time without growth after which the peak memory counts as reached.
const SETTLED: Duration = Duration::from_secs(1);
/// Longest time until an ordinary request is answered beside a crowd; only a failed run takes that long. Nothing that a crowd
/// does ends by a timeout of the process before.
const ANSWER_MAX: Duration = Duration::from_secs(60);
/// Timeouts of the process while a crowd is open.
pub const PATIENCE: Duration = Duration::from_secs(600);
/// Length of a body after a full head.
const SMALL_BODY: usize = 17_000;

/// Where a caller stops.
#[derive(Debug, Clone, Copy)]
pub enum Stop {
    /// Within a head, after this many bytes.
    Head(usize),
    /// One byte before the end of a small body, after a head of this many bytes that lists segments of a prompt.
    Segments(usize),
    /// One byte before the end of a small body, after a head of this many bytes and many fields.
    Fields(usize),
    /// One byte before the end of an announced body of this many bytes.
    Body(usize),
    /// Before the last chunk, after this many bytes in chunks of the given length.
    Chunks(usize, usize),
    /// After the first byte of a large answer.
    Answer,
}

/// Callers that stop at the same place.
pub type Group = (Stop, usize);

/// The requests of an interface, as heads without the lines that state the length of a body and without the empty line.
pub struct Requests {
    pub addr: SocketAddr,
    /// A request with a body.
    pub upload: String,
    /// A request with a body, to which lines about its prompt are added.
    pub prompt: String,
    /// A request without a body, whose answer is large.
    pub large_answer: String,
}

/// Lets crowds come one after the other, each gone before the next, and requires that an ordinary request is answered beside
/// each and after the last.
pub async fn run(
    crowds: &[Vec<Group>],
    pid: u32,
    requests: Requests,
    answered: impl AsyncFn() -> bool,
) -> Result<Usage, String> {
    let requests = Arc::new(requests);
    let mut descriptors_max = 0;
    for (n, crowd) in crowds.iter().enumerate() {
        let open = gather(&requests, crowd).await;
        let mut peak = peak_kib(pid).ok_or("the process has ended")?;
        let mut settled_at = Instant::now() + SETTLED;
        while Instant::now() < settled_at {
            descriptors_max = descriptors_max.max(descriptors(pid));
            sleep(Duration::from_millis(20)).await;
            let now = peak_kib(pid).ok_or("the process has ended")?;
            if now > peak {
                (peak, settled_at) = (now, Instant::now() + SETTLED);
            }
        }
        let place = format!("crowd {n}, {} connections", open.len());
        wait_until_answered(&answered).await.map_err(|e| format!("{place}: {e}"))?;
        drop(open);
    }
    wait_until_answered(&answered).await.map_err(|e| format!("after the last crowd: {e}"))?;
    let peak_kib = peak_kib(pid).ok_or("the process has ended")?;
    Ok(Usage { peak_kib, descriptors: descriptors_max })
}

async fn wait_until_answered(answered: &impl AsyncFn() -> bool) -> Result<(), String> {
    let is_answered = async {
        while !answered().await {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(ANSWER_MAX, is_answered).await.map_err(|_| "no ordinary request is answered".to_owned())
}

/// Opens the connections of a crowd, its groups mixed, and returns those that the process has accepted.
async fn gather(requests: &Arc<Requests>, crowd: &[Group]) -> Vec<TcpStream> {
    let mut left = crowd.to_vec();
    let mut callers = Vec::new();
    while left.iter().any(|(_, count)| *count > 0) {
        for (stop, count) in left.iter_mut().filter(|(_, count)| *count > 0) {
            *count -= 1;
            callers.push(*stop);
        }
    }
    let mut open = Vec::new();
    for batch in callers.chunks(AT_ONCE) {
        let sent = join_all(batch.iter().map(|stop| send(requests, *stop))).await;
        open.extend(sent.into_iter().flatten());
    }
    open
}

/// Sends a request up to where it stops, and returns the open connection.
async fn send(requests: &Requests, stop: Stop) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    if matches!(stop, Stop::Answer) {
        // A small buffer, so that the answer is not held by the kernel.
        socket.set_recv_buffer_size(4 << 10).ok()?;
    }
    let mut stream = timeout(WRITE_MAX, socket.connect(requests.addr)).await.ok()?.ok()?;
    // The process may close the connection meanwhile.
    let _ = timeout(WRITE_MAX, stream.write_all(&bytes(requests, stop))).await;
    if matches!(stop, Stop::Answer) {
        let _ = timeout(WRITE_MAX, stream.read_u8()).await;
    }
    Some(stream)
}

fn bytes(requests: &Requests, stop: Stop) -> Vec<u8> {
    let Requests { upload, prompt, large_answer, .. } = requests;
    let announced = |bytes: usize| format!("content-length: {bytes}\r\n");
    let short_of = |head: String, bytes: usize| {
        [head.as_bytes(), b"\r\n", vec![b'x'; bytes - 1].as_slice()].concat()
    };
    match stop {
        Stop::Head(bytes) => {
            let head = format!("{upload}x-long: ");
            let filler = bytes.saturating_sub(head.len());
            [head.as_bytes(), vec![b'x'; filler].as_slice()].concat()
        }
        Stop::Segments(bytes) => {
            let mut head = format!("{prompt}{}x-prompt-prefix: 0:6", announced(SMALL_BODY));
            for n in 1.. {
                let segment = format!(",{n:x}:6");
                if head.len() + segment.len() + 4 > bytes {
                    break;
                }
                head.push_str(&segment);
            }
            short_of(head + "\r\n", SMALL_BODY)
        }
        Stop::Fields(bytes) => {
            let mut head = format!("{prompt}{}", announced(SMALL_BODY));
            for n in 0.. {
                let field = format!("f{n:x}:\r\n");
                if head.len() + field.len() + 2 > bytes {
                    break;
                }
                head.push_str(&field);
            }
            short_of(head, SMALL_BODY)
        }
        Stop::Body(bytes) => short_of(format!("{upload}{}", announced(bytes)), bytes),
        Stop::Chunks(bytes, length) => {
            let mut sent = format!("{upload}transfer-encoding: chunked\r\n\r\n").into_bytes();
            let chunk =
                [format!("{length:x}\r\n").as_bytes(), &vec![b'x'; length], b"\r\n"].concat();
            sent.extend(chunk.repeat(bytes / length));
            sent
        }
        Stop::Answer => format!("{large_answer}\r\n").into_bytes(),
    }
}

/// Returns a crowd that mixes all kinds of stops, drawn with this seed.
pub fn mixed(seed: u64, count: usize, head_max: usize, body_max: usize) -> Vec<Group> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut groups = Vec::new();
    let mut left = count;
    while left > 0 {
        let callers = rng.usize(1..=left.min(count / 8));
        left -= callers;
        let head = rng.usize(500..=head_max);
        // Small bodies are as frequent as large ones.
        let longest = if rng.bool() { SMALL_BODY } else { body_max };
        let body = rng.usize(2..=longest);
        let stop = match rng.u8(0..6) {
            0 => Stop::Head(head),
            1 => Stop::Segments(head),
            2 => Stop::Fields(head),
            3 => Stop::Body(body),
            4 => Stop::Chunks(body.min(256 << 10), [1, 100, 1_400][rng.usize(0..3)]),
            _ => Stop::Answer,
        };
        groups.push((stop, callers));
    }
    groups
}
