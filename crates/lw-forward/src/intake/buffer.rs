//! Collects the data of a body in buffers of its own.
//!
//! The HTTP library returns data as slices of its read buffers, each of which keeps a whole buffer in memory: a byte by
//! itself may keep 8 KiB. So all data is copied, and what is accounted for is the capacity of the copies.

use bytes::Bytes;

use super::memory::{Hold, NoRoom, SMALL_MAX_BYTES};

/// Capacities of the first segments of a body without an announced length.
const FIRST_SEGMENT_BYTES: usize = 4 << 10;
const SMALL_SEGMENT_BYTES: usize = 12 << 10;
const LARGE_SEGMENT_BYTES: usize = 64 << 10;

/// The data of a body that was received so far.
#[derive(Debug)]
pub struct Buffer {
    hold: Hold,
    segments: Vec<Vec<u8>>,
    /// Bytes that are still to come, if the length of the body is announced.
    announced: Option<u64>,
    len: usize,
}

impl Buffer {
    /// Returns an empty buffer whose memory is accounted for in `hold`.
    #[must_use]
    pub fn new(hold: Hold, announced: Option<u64>) -> Self {
        Self { hold, segments: Vec::new(), announced, len: 0 }
    }

    /// Number of bytes of data.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there is no data.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends a copy of data.
    ///
    /// # Errors
    ///
    /// [`NoRoom`] if there is no memory for it; the buffer is to be dropped then.
    pub fn push(&mut self, mut data: &[u8]) -> Result<(), NoRoom> {
        self.fill(&mut data)
    }

    /// Appends a copy of data, of which it leaves what finds no room.
    pub(super) fn fill(&mut self, data: &mut &[u8]) -> Result<(), NoRoom> {
        while !data.is_empty() {
            let free = self.segments.last().map_or(0, |last| last.capacity() - last.len());
            if free == 0 {
                self.add_segment()?;
                continue;
            }
            let (now, later) = data.split_at(free.min(data.len()));
            if let Some(last) = self.segments.last_mut() {
                last.extend_from_slice(now);
            }
            self.len += now.len();
            *data = later;
        }
        Ok(())
    }

    fn add_segment(&mut self) -> Result<(), NoRoom> {
        let remaining = self.announced.map(|all| all.saturating_sub(self.len as u64).max(1));
        let remaining = remaining.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        let bytes = match remaining {
            // One segment holds a small body of announced length, so that it need not be joined.
            Some(remaining) if self.len + remaining <= SMALL_MAX_BYTES => remaining,
            Some(remaining) => remaining.min(LARGE_SEGMENT_BYTES),
            None => match self.hold.bytes() {
                0 => FIRST_SEGMENT_BYTES,
                held if held + SMALL_SEGMENT_BYTES <= SMALL_MAX_BYTES => SMALL_SEGMENT_BYTES,
                _ => LARGE_SEGMENT_BYTES,
            },
        };
        self.hold.grow(bytes)?;
        self.segments.push(Vec::with_capacity(bytes));
        Ok(())
    }

    /// Returns the data in one piece. The memory is released when the last copy of the result is dropped.
    #[must_use]
    pub fn into_bytes(mut self) -> Bytes {
        if self.segments.len() <= 1 {
            let data = self.segments.pop().unwrap_or_default();
            return hold_data(data, self.hold);
        }
        // Each segment is freed once it is copied.
        let mut data = Vec::with_capacity(self.len);
        for segment in self.segments {
            data.extend_from_slice(&segment);
        }
        self.hold.shrink_to(data.len());
        hold_data(data, self.hold)
    }
}

/// Returns the same data, whose memory is accounted for in `hold` until its last copy is dropped.
pub(super) fn hold_data<T>(data: T, hold: Hold) -> Bytes
where
    T: AsRef<[u8]> + Send + 'static,
{
    if data.as_ref().is_empty() {
        return Bytes::new();
    }
    Bytes::from_owner(HeldData { data, _hold: hold })
}

/// Data whose memory is accounted for until it is dropped.
struct HeldData<T> {
    data: T,
    _hold: Hold,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for HeldData<T> {
    fn as_ref(&self) -> &[u8] {
        self.data.as_ref()
    }
}
