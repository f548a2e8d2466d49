//! Ways in which an upstream sends without end.

#![allow(dead_code, reason = "each test file uses a part")]

use lw_standin::hosted::upstream::Behaviour;

const CHUNK: &[u8] = b"1000\r\n";

/// One chunk of 4096 bytes without a line end.
pub fn chunk() -> &'static [u8] {
    static CHUNK_BYTES: std::sync::OnceLock<Vec<u8>> = std::sync::OnceLock::new();
    CHUNK_BYTES.get_or_init(|| [CHUNK, &[b'a'; 4096], b"\r\n"].concat())
}

pub const CHUNKED_HEAD: &str = "HTTP/1.1 200 X\r\nHEADERS\r\ntransfer-encoding: chunked\r\n\r\n";
pub const UNFRAMED_HEAD: &str = "HTTP/1.1 200 X\r\nHEADERS\r\nconnection: close\r\n\r\n";
const LENGTH: &str = "HTTP/1.1 200 X\r\nHEADERS\r\ncontent-length: 1000000000000\r\n\r\n";
const BEGUN_HEAD: &str = "HTTP/1.1 200 X\r\nHEADERS\r\nx-more: ";
const TRAILERS: &str =
    "HTTP/1.1 200 X\r\nHEADERS\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
const EXTENSION: &str = "HTTP/1.1 200 X\r\nHEADERS\r\ntransfer-encoding: chunked\r\n\r\n2;";
/// A whole answer; what follows belongs to no request.
pub const COMPLETE_ANSWER: &str = "HTTP/1.1 200 X\r\nHEADERS\r\ncontent-length: 2\r\n\r\nok";

/// The ways in which an upstream sends without end.
pub fn endless_answers() -> Vec<Behaviour> {
    vec![
        Behaviour::Endless(CHUNKED_HEAD, chunk()),
        Behaviour::Endless(UNFRAMED_HEAD, chunk()),
        Behaviour::Endless(LENGTH, chunk()),
        Behaviour::Endless(
            BEGUN_HEAD,
            b"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
        ),
        Behaviour::Endless("", b"\x00\x01\x02 no answer at all, and without a line end "),
        Behaviour::Endless(
            TRAILERS,
            b"x-trailer: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n",
        ),
        Behaviour::Endless(
            EXTENSION,
            b"extension=aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa;",
        ),
    ]
}
