//! Requests sent as given bytes, including ones that an HTTP client library would not send.

use std::{net::SocketAddr, time::Duration};

use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// Longest wait for the end of an answer; only a failed run waits that long.
const WAIT_MAX: Duration = Duration::from_secs(20);

/// An answer; its status is 0 if there was none.
#[derive(Debug, Default)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        let pairs = self.head.lines().filter_map(|line| line.split_once(": "));
        pairs.filter(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value).next()
    }

    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns the number of the error in the body, 0 if it has none.
    pub fn error_number(&self) -> u64 {
        self.json()["error"]["number"].as_u64().unwrap_or(0)
    }

    /// Returns the data of the events of a streamed answer. The request must use HTTP/1.0, as the body must not be
    /// chunked.
    pub fn events(&self) -> Vec<&str> {
        self.body.split("\n\n").filter_map(|event| event.strip_prefix("data: ")).collect()
    }
}

/// Returns the head of a request whose connection ends after the answer; `headers` are lines without line ends.
pub fn request_head(request: &str, key: &str, headers: &[&str]) -> String {
    let bearer = format!("authorization: Bearer {key}");
    let mut lines = vec![request, "host: lavenderwood", "connection: close"];
    if !key.is_empty() {
        lines.push(&bearer);
    }
    lines.extend(headers);
    lines.join("\r\n") + "\r\n\r\n"
}

/// Returns a request with a body of stated length.
pub fn request(request: &str, key: &str, headers: &[&str], body: &[u8]) -> Vec<u8> {
    let length = format!("content-length: {}", body.len());
    let lines: Vec<&str> = headers.iter().copied().chain([length.as_str()]).collect();
    [request_head(request, key, &lines).as_bytes(), body].concat()
}

pub async fn connect(addr: SocketAddr) -> TcpStream {
    timeout(WAIT_MAX, TcpStream::connect(addr)).await.expect("in time").expect("connects")
}

/// Sends bytes and reads the answer up to the end of the connection.
pub async fn send(addr: SocketAddr, bytes: &[u8]) -> Reply {
    let mut stream = connect(addr).await;
    // The daemon may refuse the request and close before it has read everything, so a write may fail although an answer
    // came.
    let _ = timeout(WAIT_MAX, stream.write_all(bytes)).await;
    read_reply(&mut stream).await
}

/// Reads an answer up to the end of the connection.
pub async fn read_reply(stream: &mut TcpStream) -> Reply {
    let mut bytes = Vec::new();
    let end = timeout(WAIT_MAX, stream.read_to_end(&mut bytes)).await.expect("answer ends in time");
    let text = String::from_utf8_lossy(&bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return Reply { head: format!("no answer: {end:?}, {text}"), ..Reply::default() };
    };
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    Reply { status, head: head.to_owned(), body: body.to_owned() }
}
