//! Splits a stream of server-sent events at the ends of events, without changing a byte.

use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error};

/// Longest event in bytes. Engines send only a few tokens in one.
pub const EVENT_MAX_BYTES: usize = 64 << 10;

/// An event is longer than [`EVENT_MAX_BYTES`], so these bytes are not a stream of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("an event of more than {EVENT_MAX_BYTES} bytes")]
pub struct EventTooLong;

/// Buffers the bytes of a stream and returns them up to the end of the last complete event.
///
/// ```
/// let mut splitter = lw_forward::events::Splitter::default();
/// assert_eq!(splitter.push(b"id: 7\ndata: a"), Ok(None));
/// assert_eq!(splitter.push(b"\n\nid: 8").unwrap().unwrap(), "id: 7\ndata: a\n\n");
/// assert_eq!(splitter.last_id(), Some(7));
/// ```
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    /// Start of the first line that has not been scanned to its end.
    line_start: usize,
    last_id: Option<u64>,
}

impl Splitter {
    /// Adds bytes and returns the events that they complete, if any.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`] when the last, incomplete event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventTooLong> {
        self.buf.extend_from_slice(bytes);
        let mut end = 0;
        while let Some(next) = self.event_end() {
            if let Some(id) = event_id(&self.buf[end..next]) {
                self.last_id = Some(id);
            }
            end = next;
        }
        if self.buf.len() - end > EVENT_MAX_BYTES {
            return Err(EventTooLong);
        }
        self.line_start -= end;
        Ok((end > 0).then(|| self.buf.copy_to_bytes(end)))
    }

    /// Returns the end of the next complete event, including the empty line that ends it.
    fn event_end(&mut self) -> Option<usize> {
        while let Some(len) = self.buf[self.line_start..].iter().position(|byte| *byte == b'\n') {
            let line = &self.buf[self.line_start..self.line_start + len];
            let is_end = line.is_empty() || line == b"\r";
            self.line_start += len + 1;
            if is_end {
                return Some(self.line_start);
            }
        }
        None
    }

    /// Discards the beginning of an event that will not be completed.
    pub fn discard_incomplete(&mut self) {
        self.buf.clear();
        self.line_start = 0;
    }

    /// Number of buffered bytes, all of which belong to an incomplete event.
    #[must_use]
    pub fn incomplete_bytes(&self) -> usize {
        self.buf.len()
    }

    /// Id of the last complete event that had one.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
