//! Decides whether the process may hold more bytes for its callers. Uses no sockets and no clock.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use derive_more::{Display, Error};

use super::Caller;

/// Memory up to which a body or an answer counts as small. Prompts of 17,000 tokens, the mean of long requests, have
/// about 64 KiB.
pub const SMALL_MAX_BYTES: usize = 64 << 10;

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holder {
    /// A connection: its task, its buffers, and what has arrived of a request head.
    Connection,
    /// A request, its head and its body: while it arrives, waits or is in flight.
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
    /// Bytes of connections.
    pub connections: usize,
    /// Bytes of requests.
    pub requests: usize,
    /// Those of `requests` that belong to large ones, and those of connections with large heads.
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
        self.connections + self.requests + self.answers
    }

    fn of(&mut self, holder: Holder) -> (&mut usize, &mut usize) {
        match holder {
            Holder::Connection => (&mut self.connections, &mut self.large_requests),
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
    /// What callers that make no progress would have to release.
    pub(super) scarcity: Scarcity,
}

/// How scarce memory is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Scarcity {
    /// It is not scarce, or not because of requests.
    None,
    /// This much of all bytes has to be released.
    Bytes {
        /// Bytes.
        excess: usize,
        /// Whether little is left.
        is_severe: bool,
    },
    /// This much of the bytes of large requests has to be released.
    LargeRequests {
        /// Bytes.
        excess: usize,
    },
}

impl Scarcity {
    /// Returns the scarcity with this many bytes in use or asked for.
    fn of_total(used: usize, total: usize) -> Self {
        let (scarce, severe) = (total / 4 * 3, total / 8 * 7);
        if used < scarce {
            return Self::None;
        }
        // Some more, so that the next request does not find it scarce again.
        Self::Bytes { excess: used - scarce + total / 16, is_severe: used >= severe }
    }
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
        Hold { memory: Arc::clone(self), holder, bytes: 0, is_large, caller: None }
    }

    /// Returns the refusal of a request whose memory is needed for others.
    pub(super) fn evicted(&self) -> NoRoom {
        NoRoom { used: self.used(), scarcity: Scarcity::None }
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

/// Bytes of one connection, request or answer, which are released on drop.
#[derive(Debug)]
pub struct Hold {
    memory: Arc<CallerMemory>,
    holder: Holder,
    bytes: usize,
    is_large: bool,
    caller: Option<Caller>,
}

impl Hold {
    /// Accounts for the bytes as those of a caller, too.
    pub(super) fn of_caller(mut self, caller: Caller) -> Self {
        self.caller = Some(caller);
        self
    }

    /// Holds further bytes. If they are scarce then, other callers that make no progress are evicted.
    ///
    /// # Errors
    ///
    /// [`NoRoom`] if a limit would be exceeded. What was held before stays held.
    pub fn grow(&mut self, bytes: usize) -> Result<(), NoRoom> {
        let grown = self.try_grow(bytes);
        if let Some(caller) = &self.caller {
            match grown {
                Ok(scarcity) | Err(NoRoom { scarcity, .. }) => caller.relieve(scarcity),
            }
        }
        grown.map(drop)
    }

    fn try_grow(&mut self, bytes: usize) -> Result<Scarcity, NoRoom> {
        let Shares { total, large_requests, large_answers } = self.memory.shares;
        let large_max = match self.holder {
            Holder::Connection | Holder::Request => large_requests,
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
        let total_after = before.total() + bytes;
        let (all, large) = used.of(self.holder);
        let large_after = *large + more_large;
        let scarcity = if total_after > total {
            Some(Scarcity::of_total(total_after, total))
        } else if more_large > 0 && large_after > large_max {
            Some(match self.holder {
                Holder::Connection | Holder::Request => {
                    Scarcity::LargeRequests { excess: large_after - large_max }
                }
                Holder::Answer => Scarcity::None,
            })
        } else {
            None
        };
        if let Some(scarcity) = scarcity {
            if self.holder == Holder::Answer {
                self.memory.has_refused_answer.store(true, Ordering::Relaxed);
            }
            return Err(NoRoom { used: before, scarcity });
        }
        *all += bytes;
        *large = large_after;
        self.bytes = held;
        self.is_large = is_large;
        if let Some(usage) = self.caller.as_ref().map(Caller::usage) {
            usage.all.fetch_add(bytes, Ordering::Relaxed);
            if self.holder != Holder::Answer {
                usage.large_requests.fetch_add(more_large, Ordering::Relaxed);
            }
        }
        Ok(Scarcity::of_total(total_after, total))
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
        if let Some(usage) = self.caller.as_ref().map(Caller::usage) {
            usage.all.fetch_sub(released, Ordering::Relaxed);
            if self.is_large && self.holder != Holder::Answer {
                usage.large_requests.fetch_sub(released, Ordering::Relaxed);
            }
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
