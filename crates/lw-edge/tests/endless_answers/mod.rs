//! Behaviours of an upstream that sends without end.

#![allow(dead_code, reason = "each test file uses only some of these")]

use lw_standin::hosted::upstream::Behaviour;

/// Size line of a chunk of 4096 bytes.
const CHUNK_SIZE_LINE: &[u8] = b"1000\r\n";

/// Returns one chunk of 4096 bytes that contain no line end.
pub fn chunk() -> &'static [u8] {
    static CHUNK_BYTES: std::sync::OnceLock<Vec<u8>> = std::sync::OnceLock::new();
    CHUNK_BYTES.get_or_init(|| [CHUNK_SIZE_LINE, &[b'a'; 4096], b"\r\n"].concat())
}

pub const CHUNKED_HEAD: &str = "HTTP/1.1 200 X\r\nHEADERS\r\ntransfer-encoding: chunked\r\n\r\n";
pub const UNFRAMED_HEAD: &str = "HTTP/1.1 200 X\r\nHEADERS\r\nconnection: close\r\n\r\n";
const LENGTH_HEAD: &str = "HTTP/1.1 200 X\r\nHEADERS\r\ncontent-length: 1000000000000\r\n\r\n";
const UNFINISHED_HEAD: &str = "HTTP/1.1 200 X\r\nHEADERS\r\nx-more: ";
const UNFINISHED_TRAILERS: &str =
    "HTTP/1.1 200 X\r\nHEADERS\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
const UNFINISHED_CHUNK_EXTENSION: &str =
    "HTTP/1.1 200 X\r\nHEADERS\r\ntransfer-encoding: chunked\r\n\r\n2;";
/// A complete answer. Bytes that follow it belong to no request.
pub const COMPLETE_ANSWER: &str = "HTTP/1.1 200 X\r\nHEADERS\r\ncontent-length: 2\r\n\r\nok";

/// Returns all behaviours in which the head, the body or the trailers of an answer have no end.
pub fn endless_answers() -> Vec<Behaviour> {
    vec![
        Behaviour::Endless(CHUNKED_HEAD, chunk()),
        Behaviour::Endless(UNFRAMED_HEAD, chunk()),
        Behaviour::Endless(LENGTH_HEAD, chunk()),
        Behaviour::Endless(
            UNFINISHED_HEAD,
            b"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
        ),
        Behaviour::Endless("", b"\x00\x01\x02 no answer at all, and without a line end "),
        Behaviour::Endless("", b"HTTP/1.1 100 Continue\r\n\r\n"),
        Behaviour::Endless(
            UNFINISHED_TRAILERS,
            b"x-trailer: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n",
        ),
        Behaviour::Endless(
            UNFINISHED_CHUNK_EXTENSION,
            b"extension=aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa;",
        ),
    ]
}
