//! Decides whether the process may hold more bytes for its callers. Uses no sockets and no clock.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use derive_more::{Display, Error};

/// Memory up to which a body or an answer counts as small. Prompts of 17,000 tokens, the mean of long requests, have
/// about 64 KiB.
pub const SMALL_MAX_BYTES: usize = 64 << 10;

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holder {
    /// The body of a request: while it arrives, waits or is in flight.
    Request,
    /// An answer: while it is collected, and until its caller has read it.
    Answer,
}

/// Shares of the memory for callers' bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shares {
    /// Limit on all bytes.
    pub total: usize,
    /// Limit on the bytes of large requests.
    pub large_requests: usize,
    /// Limit on the bytes of large answers.
    pub large_answers: usize,
}

impl Shares {
    /// Returns the shares of a total: half for large requests, a quarter for large answers. The last quarter is left to
    /// small ones, which may also use what the large ones leave.
    ///
    /// ```
    /// let shares = lw_forward::intake::Shares::of_total(16 << 20);
    /// assert_eq!((shares.large_requests, shares.large_answers), (8 << 20, 4 << 20));
    /// ```
    #[must_use]
    pub fn of_total(total: usize) -> Self {
        Self { total, large_requests: total / 2, large_answers: total / 4 }
    }
}

/// Bytes in use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Used {
    /// Bytes of requests.
    pub requests: usize,
    /// Those of `requests` that belong to large ones.
    pub large_requests: usize,
    /// Bytes of answers.
    pub answers: usize,
    /// Those of `answers` that belong to large ones.
    pub large_answers: usize,
}

impl Used {
    /// Returns the bytes of all holders.
    #[must_use]
    pub fn total(&self) -> usize {
        self.requests + self.answers
    }

    fn of(&mut self, holder: Holder) -> (&mut usize, &mut usize) {
        match holder {
            Holder::Request => (&mut self.requests, &mut self.large_requests),
            Holder::Answer => (&mut self.answers, &mut self.large_answers),
        }
    }
}

/// The memory for callers' bytes has no room for more of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("no memory left for it: {} bytes are held for callers", used.total())]
pub struct NoRoom {
    /// Bytes in use when it was refused.
    pub used: Used,
}

/// Accounts for all bytes that a process holds for its callers.
#[derive(Debug)]
pub struct CallerMemory {
    shares: Shares,
    used: Mutex<Used>,
    /// Whether an answer found no room since this was last asked for.
    has_refused_answer: AtomicBool,
}

impl CallerMemory {
    /// Returns a memory with nothing in use.
    #[must_use]
    pub fn new(shares: Shares) -> Arc<Self> {
        Arc::new(Self {
            shares,
            used: Mutex::default(),
            has_refused_answer: AtomicBool::new(false),
        })
    }

    /// Returns the limits.
    #[must_use]
    pub fn shares(&self) -> Shares {
        self.shares
    }

    /// Returns the bytes in use.
    #[must_use]
    pub fn used(&self) -> Used {
        *self.lock()
    }

    /// Returns a hold of no bytes yet. One whose length is announced as more than [`SMALL_MAX_BYTES`] is large from the
    /// beginning, so that it takes nothing of what is left to small ones.
    #[must_use]
    pub fn hold(self: &Arc<Self>, holder: Holder, announced: Option<u64>) -> Hold {
        let is_large = announced.is_some_and(|bytes| bytes > SMALL_MAX_BYTES as u64);
        Hold { memory: Arc::clone(self), holder, bytes: 0, is_large }
    }

    /// Whether an answer that waits for its caller has to make room: three quarters of the total are in use, or another
    /// answer found no room since the last call. Below that, slow readers disturb nobody.
    ///
    /// ```
    /// use lw_forward::intake::{CallerMemory, Holder, Shares};
    /// let memory = CallerMemory::new(Shares::of_total(4_000));
    /// let mut answer = memory.hold(Holder::Answer, None);
    /// answer.grow(2_999).unwrap();
    /// assert!(!memory.needs_room());
    /// answer.grow(1).unwrap();
    /// assert!(memory.needs_room());
    /// ```
    #[must_use]
    pub fn needs_room(&self) -> bool {
        let used = self.used();
        let has_refused = self.has_refused_answer.swap(false, Ordering::Relaxed);
        used.answers > 0 && (has_refused || used.total() >= self.shares.total / 4 * 3)
    }

    fn lock(&self) -> MutexGuard<'_, Used> {
        self.used.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes of one body or answer, which are released on drop.
#[derive(Debug)]
pub struct Hold {
    memory: Arc<CallerMemory>,
    holder: Holder,
    bytes: usize,
    is_large: bool,
}

impl Hold {
    /// Holds further bytes.
    ///
    /// # Errors
    ///
    /// [`NoRoom`] if a limit would be exceeded. What was held before stays held.
    pub fn grow(&mut self, bytes: usize) -> Result<(), NoRoom> {
        let Shares { total, large_requests, large_answers } = self.memory.shares;
        let large_max = match self.holder {
            Holder::Request => large_requests,
            Holder::Answer => large_answers,
        };
        let held = self.bytes + bytes;
        let is_large = self.is_large || held > SMALL_MAX_BYTES;
        // What a body held while it was small counts as large from the moment at which it no longer is.
        let more_large = match (is_large, self.is_large) {
            (false, _) => 0,
            (true, true) => bytes,
            (true, false) => held,
        };
        let mut used = self.memory.lock();
        let before = *used;
        let (all, large) = used.of(self.holder);
        if before.total() + bytes > total || *large + more_large > large_max && more_large > 0 {
            if self.holder == Holder::Answer {
                self.memory.has_refused_answer.store(true, Ordering::Relaxed);
            }
            return Err(NoRoom { used: before });
        }
        *all += bytes;
        *large += more_large;
        self.bytes = held;
        self.is_large = is_large;
        Ok(())
    }

    /// Releases all but this many bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        self.bytes -= released;
        let mut used = self.memory.lock();
        let (all, large) = used.of(self.holder);
        *all -= released;
        if self.is_large {
            *large -= released;
        }
    }

    /// Returns the bytes that are held.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
