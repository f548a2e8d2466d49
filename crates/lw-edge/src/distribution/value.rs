//! Values of changes, compressed where that makes a difference to the link of a VM that sends them to many others.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use lw_transport::client::ANSWER_MAX_BYTES;

/// Size in bytes from which on a value is compressed.
const DEFLATE_MIN_BYTES: usize = 4 << 10;

/// A value of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Value {
    /// As in the store.
    Plain(Bytes),
    /// Compressed with DEFLATE.
    Deflated(Bytes),
}

impl Value {
    /// Returns a value for the journal. A large one is compressed, once for all VMs to which it is sent.
    ///
    /// ```
    /// use lw_edge::distribution::value::Value;
    /// let large = Value::new(vec![b'a'; 100_000]);
    /// assert!(large.bytes() < 1_000);
    /// assert_eq!(large.inflate().unwrap().len(), 100_000);
    /// assert_eq!(Value::new(b"small".to_vec()), Value::Plain(b"small"[..].into()));
    /// ```
    #[must_use]
    pub fn new(value: Vec<u8>) -> Self {
        if value.len() < DEFLATE_MIN_BYTES {
            return Self::Plain(value.into());
        }
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let deflated = encoder.write_all(&value).and_then(|()| encoder.finish());
        match deflated {
            Ok(deflated) if deflated.len() < value.len() => Self::Deflated(deflated.into()),
            Ok(_) => Self::Plain(value.into()),
            Err(e) => {
                log::error!(target: "member", why = e.to_string(); "cannot compress a value");
                Self::Plain(value.into())
            }
        }
    }

    /// Returns the number of bytes that the value takes in memory and in messages.
    #[must_use]
    pub fn bytes(&self) -> usize {
        match self {
            Self::Plain(bytes) | Self::Deflated(bytes) => bytes.len(),
        }
    }

    /// Returns the value as in the store.
    ///
    /// # Errors
    ///
    /// When it cannot be decompressed, or is larger than any value of the store.
    pub fn inflate(&self) -> std::io::Result<Vec<u8>> {
        let deflated = match self {
            Self::Plain(bytes) => return Ok(bytes.to_vec()),
            Self::Deflated(deflated) => deflated,
        };
        let bytes_max = u64::try_from(ANSWER_MAX_BYTES).unwrap_or(u64::MAX);
        let mut decoder = DeflateDecoder::new(&deflated[..]).take(bytes_max + 1);
        let mut value = Vec::new();
        decoder.read_to_end(&mut value)?;
        if value.len() > ANSWER_MAX_BYTES {
            return Err(std::io::Error::other("the value is too long"));
        }
        Ok(value)
    }
}
