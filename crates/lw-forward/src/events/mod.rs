//! Splits a stream of server-sent events at the ends of events, without changing a byte.

use bytes::{Buf, Bytes, BytesMut};

/// Collects the bytes of a stream and gives them out by whole events.
///
/// ```
/// let mut splitter = lw_forward::events::Splitter::default();
/// assert!(splitter.push(b"id: 7\ndata: a").is_none());
/// assert_eq!(splitter.push(b"\n\nid: 8").unwrap(), "id: 7\ndata: a\n\n");
/// assert_eq!(splitter.last_id(), Some(7));
/// ```
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    last_id: Option<u64>,
}

impl Splitter {
    /// Adds bytes and returns the events that they complete, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buf.extend_from_slice(bytes);
        let mut end = 0;
        while let Some(len) = event_len(&self.buf[end..]) {
            let event = &self.buf[end..end + len];
            if let Some(id) = event_id(event) {
                self.last_id = Some(id);
            }
            end += len;
        }
        (end > 0).then(|| self.buf.copy_to_bytes(end))
    }

    /// Drops the beginning of an event that will not be completed.
    pub fn discard_rest(&mut self) {
        self.buf.clear();
    }

    /// Bytes after the last whole event.
    #[must_use]
    pub fn rest(&self) -> usize {
        self.buf.len()
    }

    /// Id of the last whole event that had one.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// Length of the first event with the empty line that ends it.
fn event_len(buf: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, _) in buf.iter().enumerate().filter(|(_, byte)| **byte == b'\n') {
        let line = &buf[line_start..at];
        if line.is_empty() || line == b"\r" {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
