//! Sends the events of one stream and shows its faults.

use std::{future::pending, io};

use lw_protocol::{sse, upstream::GenerateEvent};
use tokio::sync::mpsc::Sender;

use super::StreamFaults;

/// The receiver has gone: the connection is closed.
#[derive(Debug)]
pub(super) struct Closed;

pub(super) struct Emitter<'a> {
    tx: &'a Sender<io::Result<String>>,
    faults: StreamFaults,
    count: u64,
    sent: u64,
    held: Option<GenerateEvent>,
}

impl<'a> Emitter<'a> {
    pub(super) fn new(tx: &'a Sender<io::Result<String>>, faults: StreamFaults) -> Self {
        Self { tx, faults, count: 0, sent: 0, held: None }
    }

    pub(super) async fn emit(&mut self, mut event: GenerateEvent) -> Result<(), Closed> {
        self.count += 1;
        self.rename(&mut event);
        let is_token = matches!(event, GenerateEvent::Token { .. });
        if is_token && self.applies(self.faults.lose_every) {
            return Ok(());
        }
        if self.applies(self.faults.cross_every) {
            self.send(&crossed(&event)).await?;
        }
        if is_token && self.held.is_none() && self.applies(self.faults.reorder_every) {
            self.held = Some(event);
            return Ok(());
        }
        self.send(&event).await?;
        if self.applies(self.faults.duplicate_every) {
            self.send(&event).await?;
        }
        match self.held.take() {
            Some(held) => self.send(&held).await,
            None => Ok(()),
        }
    }

    fn rename(&self, event: &mut GenerateEvent) {
        let (GenerateEvent::Token { version, incarnation, .. }
        | GenerateEvent::End { version, incarnation, .. }) = event
        else {
            return;
        };
        if let Some(other) = &self.faults.as_version {
            version.clone_from(other);
        }
        if let Some(other) = self.faults.as_incarnation {
            *incarnation = other;
        }
    }

    fn applies(&self, every: u64) -> bool {
        every > 0 && self.count.is_multiple_of(every)
    }

    async fn send(&mut self, event: &GenerateEvent) -> Result<(), Closed> {
        if self.faults.silent_after.is_some_and(|n| self.sent >= n) {
            return pending().await;
        }
        if self.faults.drop_after.is_some_and(|n| self.sent >= n) {
            let aborted = io::Error::other("connection aborted by a fault");
            self.tx.send(Err(aborted)).await.map_err(|_| Closed)?;
            return Err(Closed);
        }
        self.sent += 1;
        let data = serde_json::to_string(event).map_err(|_| Closed)?;
        self.tx.send(Ok(sse::event(&data))).await.map_err(|_| Closed)
    }
}

/// The same event as if it belonged to another request.
fn crossed(event: &GenerateEvent) -> GenerateEvent {
    let mut other = event.clone();
    match &mut other {
        GenerateEvent::Token { request, text, .. } => {
            request.push_str("-other");
            "CROSSED".clone_into(text);
        }
        GenerateEvent::End { request, .. } | GenerateEvent::Error { request, .. } => {
            request.push_str("-other");
        }
    }
    other
}
