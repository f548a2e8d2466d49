//! A plain service as a bare socket, whose answers no HTTP library sends.

use std::net::SocketAddr;

use lw_standin::loopback::free_address;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};

/// Statuses that are not three digits, or outside of the range that HTTP defines (100 to 599).
pub const BAD_STATUSES: [&str; 6] = ["000", "00", "099", "1000", "600", "999"];
/// Body of an upload that is still being written when its answer breaks off: more than the buffers of the sockets hold.
pub const UPLOAD_BYTES: usize = 4 << 20;
/// Time from the part of an answer to the reset.
const RESET_DELAY: std::time::Duration = std::time::Duration::from_millis(20);

/// Starts a service whose behaviour depends on the last segment of the path: `early` answers 200 without a length while the
/// body is still being sent, and resets after a part; a number is answered as the status; anything else is answered as it should be.
/// `headers` returns further lines for the answer to a request head.
pub async fn start(headers: fn(&str) -> String) -> SocketAddr {
    let addr = free_address();
    let listener = TcpListener::bind(addr).await.expect("bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move { drop(answer(stream, headers).await) });
        }
    });
    addr
}

async fn answer(mut stream: TcpStream, headers: fn(&str) -> String) -> std::io::Result<()> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(at) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Ok(());
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let lines = headers(&head);
    let path = head.split(' ').nth(1).unwrap_or_default();
    let last = path.rsplit('/').next().unwrap_or_default();
    if last == "early" {
        let part = format!("HTTP/1.1 200 OK\r\n{lines}\r\npart of the ans");
        stream.write_all(part.as_bytes()).await?;
        tokio::time::sleep(RESET_DELAY).await;
        return stream.set_zero_linger();
    }
    let length = header(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while bytes.len() < end + length {
        if stream.read_buf(&mut bytes).await? == 0 {
            return Ok(());
        }
    }
    let is_status = last.bytes().all(|byte| byte.is_ascii_digit());
    let status = if is_status { last } else { "200" };
    let text =
        format!("HTTP/1.1 {status} X\r\ncontent-length: 2\r\nconnection: close\r\n{lines}\r\nok");
    stream.write_all(text.as_bytes()).await
}

/// Returns the value of a header in a request head.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
}
