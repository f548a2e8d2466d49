//! Answers of the native interface for whose callers bytes wait, and which of their connections are closed.

use std::{
    net::TcpStream,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use lw_forward::drain::{Drain, SendState};
use lw_types::prelude::*;

/// Time for which the HTTP library may have taken nothing of an answer before the kernel is asked about its connection.
const ASK_DELAY: Duration = Duration::from_secs(1);
/// Of the callers that read too slowly while memory is scarce, one in this number is disconnected at each check.
const CLOSED_FRACTION: usize = 8;

/// When the HTTP library took the last frame of an answer, while it has not asked for the next one: its caller does not read.
#[derive(Debug, Default)]
pub(super) struct Unread(Mutex<Option<Now>>);

impl Unread {
    pub(super) fn set(&self, since: Option<Now>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = since;
    }

    pub(super) fn get(&self) -> Option<Now> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What is known of the bytes of answers that a connection has not delivered.
#[derive(Debug, Clone, Copy)]
pub(super) enum Undelivered {
    /// Nothing: the kernel was not asked since the last request.
    Unknown,
    /// There are none, and no request is in progress.
    None,
    /// Bytes wait for the caller.
    Waiting(Drain),
}

impl Undelivered {
    /// Asks the kernel, if it may have to tell something new. `taken` is when the library took the last frame of the answer in
    /// progress, `idle_since` when the last request ended; one of them is given.
    pub(super) fn update(
        &mut self,
        socket: &TcpStream,
        taken: Option<Now>,
        idle_since: Option<Now>,
        now: Now,
    ) {
        let is_due = match self {
            Self::Waiting(_) => true,
            Self::Unknown => {
                idle_since.is_some() || taken.is_some_and(|since| now >= since + ASK_DELAY)
            }
            Self::None => false,
        };
        if !is_due {
            return;
        }
        let state = SendState::of(socket);
        let is_delivered = state.is_some_and(|state| state.queued_bytes == 0);
        let acked = state.map(|state| state.acked_bytes);
        *self = match *self {
            // The library writes what it has at once, so it has nothing either.
            _ if is_delivered && idle_since.is_some() => Self::None,
            _ if is_delivered => Self::Unknown,
            // The kernel does not tell: as if all were delivered, so that the idle time applies.
            _ if state.is_none() && idle_since.is_some() => Self::None,
            Self::Waiting(mut drain) => {
                drain.update(acked, now);
                if let Some(taken) = taken {
                    drain.record_progress(taken);
                }
                Self::Waiting(drain)
            }
            _ => Self::Waiting(Drain::new(acked, taken.or(idle_since).unwrap_or(now))),
        };
    }

    pub(super) fn drain(&self) -> Option<&Drain> {
        match self {
            Self::Waiting(drain) => Some(drain),
            Self::Unknown | Self::None => None,
        }
    }
}

/// Returns the slowest of these callers with their rates in bytes per second: an eighth of them, rounded up. The memory of
/// their answers is released only when the library has noticed, so that its amount is not known here.
pub(super) fn slowest<K>(callers: impl Iterator<Item = (K, u64)>) -> Vec<(K, u64)> {
    let mut callers: Vec<_> = callers.collect();
    callers.sort_by_key(|(_, rate)| *rate);
    callers.truncate(callers.len().div_ceil(CLOSED_FRACTION));
    callers
}
