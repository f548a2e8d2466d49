//! Stand-ins for the callers of a VM.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

use super::upstream::MODEL;

/// API key of the workspace `station` of [`super::operator::config`].
pub const KEY: &str = "key-of-the-station";
/// API key of the workspace `quiz`, whose prompt segments are not shared with other workspaces.
pub const OTHER_KEY: &str = "key-of-the-quiz";

/// A caller's request.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Request id.
    pub id: String,
    /// Method.
    pub method: &'static str,
    /// Path, whose prefix selects the route.
    pub path: &'static str,
    /// API key.
    pub key: &'static str,
    /// Further headers, each ending in CRLF.
    pub headers: String,
    /// Body.
    pub body: Vec<u8>,
    /// Deadline in milliseconds from the arrival of the request.
    pub deadline_ms: u64,
}

/// Returns a request for one of the routes of [`super::operator::config`].
#[must_use]
pub fn request(id: &str, path: &'static str) -> CallerRequest {
    let method = if path.starts_with("/look") { "GET" } else { "POST" };
    let headers = if path.starts_with("/long") || path.starts_with("/short") {
        format!("X-Model: {MODEL}\r\nX-Token-Count: 1200,20\r\nX-Prompt-Prefix: a1:1000,b2:200\r\n")
    } else {
        String::new()
    };
    let body = if method == "GET" { Vec::new() } else { b"{}".to_vec() };
    CallerRequest { id: id.into(), method, path, key: KEY, headers, body, deadline_ms: 3000 }
}

impl CallerRequest {
    /// Returns the bytes of the request as HTTP/1.1.
    #[must_use]
    pub fn bytes(&self) -> Vec<u8> {
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {}\r\nX-Credential: {}\r\n\
             X-Deadline-Ms: {}\r\nContent-Length: {}\r\n{}\r\n",
            self.method,
            self.path,
            self.id,
            self.key,
            self.deadline_ms,
            self.body.len(),
            self.headers
        );
        [head.as_bytes(), &self.body].concat()
    }
}

/// An answer that a caller received.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status.
    pub status: u16,
    /// Status line and headers as received.
    pub head: String,
    /// Body without chunk sizes.
    pub body: Vec<u8>,
    /// Whether the body arrived up to its stated length or its last chunk.
    pub is_complete: bool,
}

impl Reply {
    /// Returns the value of a header, whatever the case of its name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(':'));
        lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
    }

    /// Returns the body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A caller's connection to a VM.
#[derive(Debug)]
pub struct Caller {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Caller {
    /// Connects to a VM; returns `None` if the connection fails.
    pub async fn connect(addr: SocketAddr) -> Option<Self> {
        Some(Self { stream: TcpStream::connect(addr).await.ok()?, buf: Vec::new() })
    }

    /// Sends a request.
    pub async fn send(&mut self, request: &CallerRequest) {
        self.send_bytes(&request.bytes()).await;
    }

    /// Sends bytes. A failure is only logged; reading the next answer fails then.
    pub async fn send_bytes(&mut self, bytes: &[u8]) {
        if let Err(e) = self.stream.write_all(bytes).await {
            log::debug!("connection to the VM: {e}");
        }
    }

    /// Reads the next answer; returns `None` if the connection ended before the end of its head.
    pub async fn read_answer(&mut self) -> Option<Reply> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            self.read_more().await?;
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end);
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let mut reply = Reply { status, head, body: Vec::new(), is_complete: false };
        if matches!(status, 204 | 304) {
            reply.is_complete = true;
        } else if reply.header("transfer-encoding").is_some() {
            self.read_chunks(&mut reply).await;
        } else {
            let length = reply.header("content-length").map_or(0, |text| text.parse().unwrap_or(0));
            while self.buf.len() < length && self.read_more().await.is_some() {}
            let received = length.min(self.buf.len());
            reply.body = self.buf.drain(..received).collect();
            reply.is_complete = received == length;
        }
        Some(reply)
    }

    async fn read_chunks(&mut self, reply: &mut Reply) {
        loop {
            let Some(at) = self.buf.windows(2).position(|w| w == b"\r\n") else {
                if self.read_more().await.is_none() {
                    return;
                }
                continue;
            };
            let size = std::str::from_utf8(&self.buf[..at]).unwrap_or_default();
            let Ok(size) = usize::from_str_radix(size, 16) else { return };
            while self.buf.len() < at + 2 + size + 2 {
                if self.read_more().await.is_none() {
                    return;
                }
            }
            reply.body.extend_from_slice(&self.buf[at + 2..at + 2 + size]);
            self.buf.drain(..at + 2 + size + 2);
            if size == 0 {
                reply.is_complete = true;
                return;
            }
        }
    }

    async fn read_more(&mut self) -> Option<()> {
        match self.stream.read_buf(&mut self.buf).await {
            Ok(1..) => Some(()),
            _ => None,
        }
    }
}

/// Sends a request on a new connection and reads its answer; returns `None` if there is none.
pub async fn send(addr: SocketAddr, request: &CallerRequest) -> Option<Reply> {
    let mut caller = Caller::connect(addr).await?;
    caller.send(request).await;
    caller.read_answer().await
}

/// Sends a GET request without credentials on a new connection and reads its answer.
pub async fn get(addr: SocketAddr, path: &str) -> Option<Reply> {
    let mut caller = Caller::connect(addr).await?;
    let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    caller.send_bytes(text.as_bytes()).await;
    caller.read_answer().await
}
