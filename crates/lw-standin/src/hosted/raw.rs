//! Answers of any bytes: an answer as it should be, or with deviations from it.

use std::time::Duration;

use super::{
    http::{Request, Step},
    upstream::{STREAM_EVENTS, event, first_event, is_stream},
};

/// Body of an answer to a call.
pub const BODY: &str = "ok";
/// Time from the last bytes of an answer to a reset, so that the receiver has read them, and to late bytes after it.
const DELAY: Duration = Duration::from_millis(20);
/// Time for which a silent upstream keeps a connection.
const SILENCE: Duration = Duration::from_secs(60);
/// Most interim answers that are generated, besides those without end.
const INTERIM_MAX: usize = 3;

/// The request id in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerId {
    /// That of the request.
    Own,
    /// None.
    Missing,
    /// That of another request.
    Other,
    /// That of the request and that of another one.
    Two,
}

/// How the length of a body is stated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// With a `content-length`.
    Length,
    /// In chunks of this many bytes.
    Chunked(usize),
    /// In one chunk, with trailers.
    Trailers,
    /// Not at all: the body ends with the connection.
    None,
    /// These lines in the head, and a body without chunks.
    Lines(&'static str),
    /// These lines in the head, and a body in one chunk.
    ChunkedWith(&'static str),
    /// In chunks, with these bytes where the first size is due.
    ChunkSize(&'static str),
}

/// What follows the bytes of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The connection is kept.
    Kept,
    /// The connection is closed.
    Closed,
    /// The connection is reset.
    Reset,
    /// The connection is kept, and the upstream neither reads nor sends.
    Silent,
    /// These bytes at once.
    Then(&'static str),
    /// These bytes a moment later.
    ThenLate(&'static str),
    /// These bytes without end.
    Endless(&'static str),
}

/// An answer to one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawAnswer {
    /// Bytes before the head.
    pub before: String,
    /// Status.
    pub status: u16,
    /// Request id.
    pub id: AnswerId,
    /// Whether it has an authentication code.
    pub is_signed: bool,
    /// Whether it states that the request has not run.
    pub is_not_run: bool,
    /// Further lines of the head.
    pub lines: String,
    /// How the length of the body is stated.
    pub framing: Framing,
    /// Bytes in a stream after this many events that are no event.
    pub junk_after: Option<u64>,
    /// Number of bytes after which the answer breaks off.
    pub cut: Option<usize>,
    /// What follows.
    pub end: End,
    /// Whether each byte is sent by itself.
    pub is_bytewise: bool,
}

impl Default for RawAnswer {
    fn default() -> Self {
        Self {
            before: String::new(),
            status: 200,
            id: AnswerId::Own,
            is_signed: true,
            is_not_run: false,
            lines: String::new(),
            framing: Framing::Length,
            junk_after: None,
            cut: None,
            end: End::Kept,
            is_bytewise: false,
        }
    }
}

/// What an answer tells its receiver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Meaning {
    /// This status, with this body.
    Answer(u16, Vec<u8>),
    /// The request has not run.
    NotRun,
    /// Nothing that can be relied on.
    Nothing,
    /// Nothing before the upstream is given up.
    Silence,
    /// Receivers may take it as this status and body, or reject it.
    Doubtful(u16, Vec<u8>),
}

const INTERIM: [&str; 4] = [
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 102 Processing\r\nx-attempt-id: another\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\nx-response-seal: another\r\n\r\n",
    "HTTP/1.1 199 X\r\ncontent-length: 5\r\n\r\n",
];
/// Complete answers and other bytes that belong to no request.
const EXTRA: [&str; 8] = [
    "HTTP/1.1 200 X\r\nx-response-seal: s\r\ncontent-length: 5\r\n\r\nextra",
    "HTTP/1.1 200 X\r\nx-attempt-id: another\r\nx-response-seal: s\r\ncontent-length: 5\r\n\r\nextra",
    "HTTP/1.1 200 X\r\nx-response-seal: s\r\ntransfer-encoding: chunked\r\n\r\n18\r\nid: 1\ndata: extra\n\nid: 2\n\r\n0\r\n\r\n",
    "HTTP/1.1 404 X\r\ncontent-length: 5\r\n\r\nextra",
    "HTTP/1.1 503 X\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 408 X\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "\0\x01 no answer",
];
/// The right length, stated twice.
const LENGTH_TWICE: &str = "content-length: LEN\r\ncontent-length: LEN\r\n";
const LENGTH_LIST: &str = "content-length: LEN, LEN\r\n";
/// An encoding of the body that no receiver asked for.
const GZIP: &str = "transfer-encoding: gzip, chunked\r\n";
const GZIP_UNTIL_CLOSE: &str = "transfer-encoding: gzip\r\nconnection: close\r\n";
/// Bytes without end after a part of a head.
const ENDLESS: [&str; 3] =
    ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", "x-pad: aaaaaaaaaaaaaaaa\r\n", "\r\r\r\r"];
/// Number of headers above that which receivers accept.
const HEADERS_MANY: usize = 200;
/// Length of a line above that which receivers accept.
const LONG_LINE_BYTES: usize = 300 << 10;

fn pick<T: Copy>(rng: &mut fastrand::Rng, values: &[T]) -> T {
    values[rng.usize(..values.len())]
}

impl RawAnswer {
    /// Returns a random answer: mostly with one or two deviations.
    #[must_use]
    pub fn random(rng: &mut fastrand::Rng) -> Self {
        let mut raw = Self { framing: random_framing(rng), ..Self::default() };
        if raw.framing == Framing::None {
            raw.end = End::Closed;
        }
        for _ in 0..rng.usize(0..3) {
            raw.deviate(rng);
        }
        raw.is_bytewise = rng.usize(..8) == 0;
        raw
    }

    fn deviate(&mut self, rng: &mut fastrand::Rng) {
        match rng.usize(..9) {
            0 => {
                let count = if rng.usize(..5) == 0 { 60 } else { rng.usize(1..=INTERIM_MAX) };
                self.before = (0..count).map(|_| pick(rng, &INTERIM)).collect();
                if rng.usize(..5) == 0 {
                    self.cut = Some(0);
                    self.end = End::Endless(pick(rng, &INTERIM));
                }
            }
            1 => {
                let statuses = [
                    101, 204, 206, 299, 304, 400, 404, 408, 421, 429, 500, 502, 503, 504, 600, 999,
                ];
                self.status = pick(rng, &statuses);
                self.is_not_run = matches!(self.status, 400 | 408 | 429 | 503) && rng.bool();
            }
            2 => self.id = pick(rng, &[AnswerId::Missing, AnswerId::Other, AnswerId::Two]),
            3 => self.is_signed = false,
            4 => self.is_not_run = true,
            5 => self.lines = random_lines(rng),
            6 => self.junk_after = Some(rng.u64(0..STREAM_EVENTS)),
            7 => {
                self.cut = Some(rng.usize(0..260));
                self.end = pick(rng, &[End::Closed, End::Closed, End::Reset, End::Silent]);
            }
            _ => {
                let bytes = pick(rng, &EXTRA);
                let ends = [
                    End::Closed,
                    End::Reset,
                    End::Then(bytes),
                    End::ThenLate(bytes),
                    End::Endless(bytes),
                ];
                self.end = pick(rng, &ends);
                if rng.usize(..4) == 0 {
                    // It stops within the head, which never ends.
                    self.cut = Some(rng.usize(0..60));
                    self.end = End::Endless(pick(rng, &ENDLESS));
                }
            }
        }
    }

    /// Whether the upstream runs the request.
    #[must_use]
    pub fn is_executed(&self) -> bool {
        self.id != AnswerId::Own || !(self.is_not_run || self.status == 421)
    }

    /// Whether the connection must not be used again after this answer.
    #[must_use]
    pub fn ends_connection(&self, request: &Request) -> bool {
        !matches!(self.end, End::Kept | End::Silent)
            || self.has_unknown_end(request)
            || self.lines.contains("connection: close")
    }

    /// Whether a receiver cannot tell where it ends, or whether it is an answer to the request. Bytes that are no event do not
    /// matter for that.
    fn has_unknown_end(&self, request: &Request) -> bool {
        let framed = Self { junk_after: None, ..self.clone() };
        matches!(framed.meaning(request), Meaning::Nothing | Meaning::Silence)
    }

    /// Whether its head, if it is complete, is that of an answer to the request which may be passed on.
    #[must_use]
    pub fn is_relayable(&self) -> bool {
        let names = |name: &str| self.lines.contains(&format!("connection: {name}"));
        let is_success = (200..300).contains(&self.status);
        self.id == AnswerId::Own
            && !names("x-attempt-id")
            && !self.is_not_run
            && !matches!(self.status, 101 | 408 | 421 | 429 | 503)
            && (!is_success || self.is_signed && !names("x-response-seal"))
            && !(is_success && self.lines.contains("content-encoding"))
    }

    fn has_body(&self) -> bool {
        !matches!(self.status, 101 | 204 | 304)
    }

    /// Returns the lines of the head after the status line.
    fn header_lines(&self, request: &Request) -> String {
        let own = request.header("x-attempt-id").unwrap_or_default();
        let own = format!("x-attempt-id: {own}\r\n");
        let other = "x-attempt-id: another\r\n";
        let ids = match self.id {
            AnswerId::Own => own,
            AnswerId::Missing => String::new(),
            AnswerId::Other => other.to_owned(),
            AnswerId::Two => own + other,
        };
        let seal = if self.is_signed { "x-response-seal: s\r\n" } else { "" };
        let not_run = if self.is_not_run { "x-not-executed: 1\r\n" } else { "" };
        format!("{ids}{seal}{not_run}{}", self.lines)
    }

    /// Returns the body without framing.
    fn body(&self, request: &Request) -> Vec<u8> {
        if !self.has_body() {
            return Vec::new();
        }
        if !is_stream(request) {
            return BODY.as_bytes().to_vec();
        }
        let events = first_event(request)..=STREAM_EVENTS;
        let piece = |id: u64| match self.junk_after {
            Some(after) if id == after + 1 => [b"internal error\n\n".to_vec(), event(id)].concat(),
            _ => event(id),
        };
        events.flat_map(piece).collect()
    }

    /// Returns the head, and the body as it is framed.
    fn parts(&self, request: &Request) -> (Vec<u8>, Vec<u8>) {
        let body = self.body(request);
        let one_chunk =
            || [format!("{:x}\r\n", body.len()).as_bytes(), &body, b"\r\n0\r\n"].concat();
        let (lines, framed) = match self.framing {
            Framing::Length => {
                // With 304, it is the length that the body would have.
                let len = if self.status == 304 { BODY.len() } else { body.len() };
                (format!("content-length: {len}\r\n"), body.clone())
            }
            Framing::Chunked(len) => {
                let chunk = |part: &[u8]| {
                    [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat()
                };
                let mut framed: Vec<u8> = body.chunks(len).flat_map(chunk).collect();
                framed.extend(b"0\r\n\r\n");
                ("transfer-encoding: chunked\r\n".into(), framed)
            }
            Framing::Trailers => {
                let trailers = b"x-attempt-id: another\r\nx-not-executed: 1\r\n\r\n";
                ("transfer-encoding: chunked\r\n".into(), [&one_chunk()[..], trailers].concat())
            }
            Framing::None => (String::new(), body.clone()),
            Framing::Lines(lines) => (lines.replace("LEN", &body.len().to_string()), body.clone()),
            Framing::ChunkedWith(lines) => {
                let lines = lines.replace("LEN", &body.len().to_string());
                (lines, [&one_chunk()[..], b"\r\n"].concat())
            }
            Framing::ChunkSize(size) => {
                let framed = [size.as_bytes(), &body, b"\r\n0\r\n\r\n"].concat();
                ("transfer-encoding: chunked\r\n".into(), framed)
            }
        };
        let head =
            format!("HTTP/1.1 {} X\r\n{}{lines}\r\n", self.status, self.header_lines(request));
        (head.into_bytes(), if self.has_body() { framed } else { Vec::new() })
    }

    /// Returns the steps that send it.
    #[must_use]
    pub fn steps(&self, request: &Request) -> Vec<Step> {
        let (head, body) = self.parts(request);
        let mut bytes = [head, body].concat();
        bytes.truncate(self.cut.unwrap_or(usize::MAX));
        bytes.splice(..0, self.before.bytes());
        if let End::Then(extra) = self.end {
            bytes.extend(extra.bytes());
        }
        let mut steps = if self.is_bytewise && bytes.len() < 1_000 {
            bytes.into_iter().map(|byte| Step::Send(vec![byte])).collect()
        } else {
            vec![Step::Send(bytes)]
        };
        match self.end {
            End::Closed => steps.push(Step::Close),
            End::Reset => steps.extend([Step::Wait(DELAY), Step::Reset]),
            End::Silent if self.has_unknown_end(request) => steps.push(Step::Wait(SILENCE)),
            End::ThenLate(extra) => {
                steps.extend([Step::Wait(DELAY), Step::Send(extra.as_bytes().to_vec())]);
            }
            End::Endless(extra) => steps.push(Step::Repeat(extra.as_bytes())),
            End::Kept | End::Then(_) | End::Silent => {}
        }
        steps
    }

    /// Returns what it tells a receiver that keeps to HTTP/1.1 and to the platform's protocol.
    #[must_use]
    pub fn meaning(&self, request: &Request) -> Meaning {
        let framed = match self.framed_body(request) {
            Framed::Whole(body) => body,
            Framed::Broken => return Meaning::Nothing,
            Framed::Silent => return Meaning::Silence,
            Framed::Doubtful => return Meaning::Doubtful(self.status, self.body(request)),
        };
        let is_sealed = self.is_signed && !self.lines.contains("connection: x-response-seal");
        let is_own = self.id == AnswerId::Own && !self.lines.contains("connection: x-attempt-id");
        match self.status {
            _ if !is_own => Meaning::Nothing,
            _ if self.is_not_run => Meaning::NotRun,
            421 => Meaning::NotRun,
            101 | 408 | 429 | 503 => Meaning::Nothing,
            200..=299 if !is_sealed || self.lines.contains("content-encoding") => Meaning::Nothing,
            200..=299 if is_stream(request) && self.junk_after.is_some() && self.has_body() => {
                Meaning::Nothing
            }
            600.. => Meaning::Doubtful(self.status, framed),
            status => Meaning::Answer(status, framed),
        }
    }

    fn framed_body(&self, request: &Request) -> Framed {
        let (head, body) = self.parts(request);
        let is_flood = self.before.lines().filter(|line| line.starts_with("HTTP/1.1")).count() > 16;
        let is_cut = self.cut.is_some_and(|cut| cut < head.len() + body.len());
        let in_head = self.cut.is_some_and(|cut| cut < head.len());
        let is_malformed = self.lines.contains("bad name")
            || self.lines.contains('\u{7f}')
            || self.lines.len() > 2_000;
        let is_chunked_wrong = matches!(self.framing, Framing::ChunkSize(_));
        let is_encoded = self.framing == Framing::ChunkedWith(GZIP)
            || self.framing == Framing::Lines(GZIP_UNTIL_CLOSE);
        let is_repeated = matches!(self.framing, Framing::Lines(LENGTH_TWICE | LENGTH_LIST));
        let is_length_wrong =
            matches!(self.framing, Framing::Lines(_)) && !is_repeated || is_encoded;
        let until_close = self.framing == Framing::None && self.has_body();
        if is_cut && (in_head || !until_close) {
            return if self.end == End::Silent { Framed::Silent } else { Framed::Broken };
        }
        if is_malformed || self.status == 101 {
            return Framed::Broken;
        }
        let is_failure = !(200..300).contains(&self.status);
        if is_flood || self.lines.contains('\t') || is_failure && is_encoded {
            return Framed::Doubtful;
        }
        if !self.has_body() {
            let is_sound = !is_length_wrong
                && !is_repeated
                && !matches!(self.framing, Framing::ChunkedWith(_));
            return if is_sound { Framed::Whole(Vec::new()) } else { Framed::Doubtful };
        }
        if is_length_wrong || is_chunked_wrong {
            return Framed::Broken;
        }
        if matches!(self.framing, Framing::ChunkedWith(_)) || is_repeated {
            return Framed::Doubtful;
        }
        match self.end {
            End::Closed if until_close => {
                let len = self.cut.map_or(usize::MAX, |cut| cut - head.len()).min(body.len());
                let is_whole = len == 0 || !is_stream(request) || body[..len].ends_with(b"\n\n");
                if is_whole { Framed::Whole(body[..len].to_vec()) } else { Framed::Broken }
            }
            End::Kept | End::Silent | End::Then(_) | End::ThenLate(_) if until_close => {
                Framed::Silent
            }
            // What follows belongs to the body then, which has no end or is not the upstream's.
            _ if until_close => Framed::Broken,
            _ => Framed::Whole(self.body(request)),
        }
    }
}

/// How far a receiver can tell where a body ends.
enum Framed {
    Whole(Vec<u8>),
    Broken,
    Silent,
    Doubtful,
}

fn random_framing(rng: &mut fastrand::Rng) -> Framing {
    let wrong = [
        Framing::Lines("content-length: LEN\r\ncontent-length: 1\r\n"),
        Framing::Lines(LENGTH_TWICE),
        Framing::Lines(LENGTH_LIST),
        Framing::Lines("content-length: -1\r\n"),
        Framing::Lines("content-length: 1, LEN\r\n"),
        Framing::Lines("content-length: 99999999999999999999999\r\n"),
        Framing::Lines("content-length: LEN\r\ntransfer-encoding: chunked\r\n"),
        Framing::ChunkedWith(
            "content-length: LEN\r\ncontent-length: LEN\r\ntransfer-encoding: chunked\r\n",
        ),
        Framing::ChunkedWith("content-length: 1\r\ntransfer-encoding: chunked\r\n"),
        Framing::ChunkedWith("transfer-encoding: chunked, chunked\r\n"),
        Framing::ChunkedWith(GZIP),
        Framing::Lines(GZIP_UNTIL_CLOSE),
        Framing::ChunkSize("zz\r\n"),
        Framing::ChunkSize("ffffffffffffffffff\r\n"),
        Framing::ChunkSize("-2\r\n"),
        Framing::ChunkSize("1\r\n"),
        Framing::ChunkSize("\r\n"),
    ];
    match rng.usize(..10) {
        0..=2 => Framing::Length,
        3..=5 => Framing::Chunked(pick(rng, &[1, 7, 4096])),
        6 => Framing::Trailers,
        7 | 8 => Framing::None,
        _ => pick(rng, &wrong),
    }
}

fn random_lines(rng: &mut fastrand::Rng) -> String {
    let lines = [
        "connection: close\r\n",
        "connection: keep-alive\r\nkeep-alive: timeout=5\r\n",
        "connection: x-response-seal\r\n",
        "connection: x-attempt-id\r\n",
        "content-encoding: gzip\r\n",
        "x-weight-versions: \u{e9}\r\nx-instance-load: 1,-2\r\n",
        "x-control: \u{7f}\r\n",
        "bad name: a\r\n",
        "x-folded: a\r\n\tb\r\n",
        "x-long: LONG\r\n",
        "MANY",
    ];
    match pick(rng, &lines) {
        "MANY" => (0..HEADERS_MANY)
            .flat_map(|n| ["x-many-".to_owned(), n.to_string(), ": a\r\n".to_owned()])
            .collect(),
        line => line.replace("LONG", &"a".repeat(LONG_LINE_BYTES)),
    }
}
