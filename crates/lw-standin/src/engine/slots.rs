//! A semaphore whose waiters are ordered by priority, then by arrival.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

/// Priority and number of arrival.
type Rank = (u8, u64);

#[derive(Debug)]
struct State {
    free: usize,
    arrivals: u64,
    waiters: BTreeMap<Rank, oneshot::Sender<Slot>>,
}

/// A bounded number of slots.
#[derive(Debug, Clone)]
pub(super) struct Slots(Arc<Mutex<State>>);

/// One slot; dropping it frees the slot.
#[derive(Debug)]
pub(super) struct Slot(Slots);

/// Removes the waiter from the queue when its future is dropped.
struct WaiterGuard<'a> {
    slots: &'a Slots,
    rank: Rank,
}

impl Slots {
    pub(super) fn new(slots: usize) -> Self {
        let state = State { free: slots, arrivals: 0, waiters: BTreeMap::new() };
        Self(Arc::new(Mutex::new(state)))
    }

    /// Waits for a slot; 0 is the most urgent priority.
    pub(super) async fn acquire(&self, priority: u8) -> Slot {
        let (rx, rank) = {
            let mut state = self.lock();
            if state.free > 0 && state.waiters.is_empty() {
                state.free -= 1;
                return Slot(self.clone());
            }
            let (tx, rx) = oneshot::channel();
            state.arrivals += 1;
            let rank = (priority, state.arrivals);
            state.waiters.insert(rank, tx);
            (rx, rank)
        };
        let _waiting = WaiterGuard { slots: self, rank };
        match rx.await {
            Ok(slot) => slot,
            // Only `release` removes the sender of a waiter that still waits, and it sends a slot.
            Err(_) => unreachable!("the sender of a waiter was dropped"),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes a slot to the first waiter, or frees it.
    fn release(&self) {
        let mut state = self.lock();
        match state.waiters.pop_first() {
            None => state.free += 1,
            Some((_, tx)) => {
                drop(state);
                // If the waiter was dropped, `send` returns the slot, and dropping that releases it again.
                drop(tx.send(Slot(self.clone())));
            }
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.release();
    }
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        // The entry is dropped after the lock is released.
        let _entry = self.slots.lock().waiters.remove(&self.rank);
    }
}
