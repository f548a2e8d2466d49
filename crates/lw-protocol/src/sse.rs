//! Formats server-sent events and parses their `data:` fields incrementally.

use derive_more::{Display, Error};

/// Why a stream of events could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// An event has more bytes than the limit.
    #[display("event longer than {limit} bytes")]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
    /// An event is not valid UTF-8.
    #[display("event is not valid UTF-8")]
    Utf8,
}

/// Formats one event with the given data, which must not contain line breaks.
///
/// ```
/// assert_eq!(lw_protocol::sse::event("{}"), "data: {}\n\n");
/// ```
#[must_use]
pub fn event(data: &str) -> String {
    format!("data: {data}\n\n")
}

/// Parses a byte stream into the data of its events. The result does not depend on how the stream is split into chunks.
///
/// ```
/// use lw_protocol::sse::Parser;
/// let mut parser = Parser::new(1024);
/// assert!(parser.push(b"data: a").unwrap().is_empty());
/// assert_eq!(parser.push(b"b\n\n: comment\n\n").unwrap(), ["ab"]);
/// ```
#[derive(Debug)]
pub struct Parser {
    buf: Vec<u8>,
    data: String,
    has_data: bool,
    limit: usize,
}

impl Parser {
    /// Returns a parser that refuses events of more than `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { buf: Vec::new(), data: String::new(), has_data: false, limit }
    }

    /// Parses bytes and returns the data of each event that they complete.
    ///
    /// # Errors
    ///
    /// [`Error::TooLong`] or [`Error::Utf8`]; the stream cannot be used after that.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<String>, Error> {
        let mut out = Vec::new();
        self.push_with(bytes, |data| out.push(data.to_owned()))?;
        Ok(out)
    }

    /// Parses bytes and calls `on_event` with the data of each event that they complete.
    ///
    /// # Errors
    ///
    /// The same as for [`Parser::push`].
    pub fn push_with(&mut self, bytes: &[u8], mut on_event: impl FnMut(&str)) -> Result<(), Error> {
        self.buf.extend_from_slice(bytes);
        let buf = std::mem::take(&mut self.buf);
        let mut start = 0;
        while let Some(len) = buf[start..].iter().position(|&b| b == b'\n') {
            self.check_size(len)?;
            let line = std::str::from_utf8(&buf[start..start + len]).map_err(|_| Error::Utf8)?;
            self.process_line(line.strip_suffix('\r').unwrap_or(line), &mut on_event);
            start += len + 1;
        }
        self.buf = buf;
        self.buf.drain(..start);
        self.check_size(self.buf.len())
    }

    /// Checks the size of the event so far plus `len` bytes of its next line. The result does not depend on chunk
    /// borders, so that the same event is always either accepted or refused.
    fn check_size(&self, len: usize) -> Result<(), Error> {
        if len + self.data.len() > self.limit {
            return Err(Error::TooLong { limit: self.limit });
        }
        Ok(())
    }

    fn process_line(&mut self, line: &str, on_event: &mut impl FnMut(&str)) {
        if line.is_empty() {
            if std::mem::take(&mut self.has_data) {
                on_event(&self.data);
                self.data.clear();
            }
        } else if let Some(data) = line.strip_prefix("data:") {
            if self.has_data {
                self.data.push('\n');
            }
            self.data.push_str(data.strip_prefix(' ').unwrap_or(data));
            self.has_data = true;
        }
    }
}
