//! Splits a stream of server-sent events at the ends of events, without changing a byte.

use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error};

/// Longest event in bytes. Engines send only a few tokens in one.
pub const EVENT_MAX_BYTES: usize = 64 << 10;

/// Why bytes are not the next events of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum StreamError {
    /// An event is longer than [`EVENT_MAX_BYTES`].
    #[display("an event of more than {EVENT_MAX_BYTES} bytes")]
    TooLong,
    /// A line is no field of an event, or an event has no id.
    #[display("bytes that are no event")]
    NotAnEvent,
    /// The id of an event is not above that of the event before it.
    #[display("event {id} after event {last}")]
    OutOfSequence {
        /// Id of the event.
        #[error(not(source))]
        id: u64,
        /// Id of the event before it.
        last: u64,
    },
}

/// Buffers the bytes of a stream and returns them up to the end of the last complete event. Events have ascending ids.
///
/// ```
/// use lw_forward::events::{Splitter, StreamError};
///
/// let mut splitter = Splitter::default();
/// assert_eq!(splitter.push(b"id: 7\ndata: a"), Ok(None));
/// assert_eq!(splitter.push(b"\n\nid: 8").unwrap().unwrap(), "id: 7\ndata: a\n\n");
/// assert_eq!(splitter.last_id(), Some(7));
/// splitter.discard_incomplete();
/// assert_eq!(splitter.push(b"HTTP/1.1 502 Bad Gateway\r\n\r\n"), Err(StreamError::NotAnEvent));
/// ```
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    /// Start of the first line that has not been scanned to its end.
    line_start: usize,
    last_id: Option<u64>,
    /// What is wrong with the first bytes of the buffer.
    error: Option<StreamError>,
}

impl Splitter {
    /// Returns a splitter for the events after the one with this id.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Adds bytes and returns the events that they complete, if any.
    ///
    /// # Errors
    ///
    /// When the bytes are not the next events, once all events before them have been returned. Until
    /// [`Splitter::discard_incomplete`] is called, further calls return the same error.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, StreamError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        self.buf.extend_from_slice(bytes);
        let mut end = 0;
        while let Some(next) = self.event_end() {
            match check_event(&self.buf[end..next], self.last_id) {
                Ok(id) => self.last_id = id.or(self.last_id),
                Err(error) => {
                    self.error = Some(error);
                    break;
                }
            }
            end = next;
        }
        if self.buf.len() - end > EVENT_MAX_BYTES {
            self.error.get_or_insert(StreamError::TooLong);
        }
        self.line_start -= end;
        match self.error {
            Some(error) if end == 0 => Err(error),
            _ => Ok((end > 0).then(|| self.buf.copy_to_bytes(end))),
        }
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
        self.error = None;
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

/// Checks an event with its empty line and returns its id. Comments alone have none.
fn check_event(event: &[u8], last: Option<u64>) -> Result<Option<u64>, StreamError> {
    let lines =
        event.split(|byte| *byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let mut id = None;
    let mut has_fields = false;
    for line in lines.filter(|line| !line.is_empty() && !line.starts_with(b":")) {
        has_fields = true;
        let colon = line.iter().position(|byte| *byte == b':').ok_or(StreamError::NotAnEvent)?;
        match &line[..colon] {
            b"id" => {
                let text = std::str::from_utf8(&line[colon + 1..]).ok();
                let number = text.and_then(|text| text.trim().parse().ok());
                id = Some(number.ok_or(StreamError::NotAnEvent)?);
            }
            b"data" | b"event" | b"retry" => {}
            name if name.starts_with(b"x-") => {}
            _ => return Err(StreamError::NotAnEvent),
        }
    }
    match (id, last) {
        (None, _) if has_fields => Err(StreamError::NotAnEvent),
        (Some(id), Some(last)) if id <= last => Err(StreamError::OutOfSequence { id, last }),
        _ => Ok(id),
    }
}
