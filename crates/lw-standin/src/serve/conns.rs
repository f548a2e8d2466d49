//! Open connections, for the fault after which none of them sends anything while new ones work.

use std::{
    collections::HashMap,
    io,
    sync::{Arc, Mutex, PoisonError},
};

use volo::net::{
    conn::Conn,
    incoming::{DefaultIncoming, Incoming, MakeIncoming},
};

/// Entries above which the table of connections is cleared; closed connections are removed only then.
const CONNS_MAX: usize = 65_536;

#[derive(Debug, Default)]
struct State {
    /// Number of times that the open connections were silenced.
    epoch: u64,
    /// Epoch in which each peer address connected.
    opened: HashMap<String, u64>,
}

/// Epoch of each open connection by peer address.
#[derive(Debug, Default)]
pub(super) struct Conns(Mutex<State>);

impl Conns {
    fn add(&self, peer: String) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if state.opened.len() >= CONNS_MAX {
            state.opened.clear();
        }
        let epoch = state.epoch;
        state.opened.insert(peer, epoch);
    }

    /// Silences all connections that are open now: nothing more is sent on them.
    pub(super) fn silence_open(&self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).epoch += 1;
    }

    /// Whether the connection of this peer was silenced.
    pub(super) fn is_silenced(&self, peer: &str) -> bool {
        let state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.opened.get(peer).is_some_and(|&epoch| epoch < state.epoch)
    }
}

/// Registers each accepted connection.
#[derive(Debug)]
pub(super) struct RegisteredIncoming {
    inner: DefaultIncoming,
    conns: Arc<Conns>,
}

impl RegisteredIncoming {
    pub(super) fn new(inner: DefaultIncoming, conns: Arc<Conns>) -> Self {
        Self { inner, conns }
    }
}

impl MakeIncoming for RegisteredIncoming {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

impl Incoming for RegisteredIncoming {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        let conn = self.inner.accept().await?;
        if let Some(peer) = conn.as_ref().and_then(|conn| conn.info.peer_addr.as_ref()) {
            self.conns.add(peer.to_string());
        }
        Ok(conn)
    }
}
