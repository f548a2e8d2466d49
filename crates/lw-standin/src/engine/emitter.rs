//! Sends the events of one stream and applies its faults.

use std::{future::pending, io};

use lw_protocol::{sse, upstream::GenerateEvent};
use tokio::sync::mpsc::Sender;

use super::StreamFaults;

/// The stream cannot go on: the caller closed the connection, or a fault aborted it.
#[derive(Debug)]
pub(super) struct Closed;

pub(super) struct Emitter<'a> {
    tx: &'a Sender<io::Result<String>>,
    faults: StreamFaults,
    event_count: u64,
    sent_count: u64,
    delayed: Option<GenerateEvent>,
}

impl<'a> Emitter<'a> {
    pub(super) fn new(tx: &'a Sender<io::Result<String>>, faults: StreamFaults) -> Self {
        Self { tx, faults, event_count: 0, sent_count: 0, delayed: None }
    }

    pub(super) async fn emit(&mut self, mut event: GenerateEvent) -> Result<(), Closed> {
        self.event_count += 1;
        self.override_origin(&mut event);
        let is_token = matches!(event, GenerateEvent::Token { .. });
        if is_token && self.is_due(self.faults.lose_every) {
            return Ok(());
        }
        if self.is_due(self.faults.cross_every) {
            self.send(&for_other_request(&event)).await?;
        }
        if is_token && self.delayed.is_none() && self.is_due(self.faults.reorder_every) {
            self.delayed = Some(event);
            return Ok(());
        }
        self.send(&event).await?;
        if self.is_due(self.faults.duplicate_every) {
            self.send(&event).await?;
        }
        match self.delayed.take() {
            Some(delayed) => self.send(&delayed).await,
            None => Ok(()),
        }
    }

    /// Replaces version and incarnation as the faults specify.
    fn override_origin(&self, event: &mut GenerateEvent) {
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

    fn is_due(&self, every: u64) -> bool {
        every > 0 && self.event_count.is_multiple_of(every)
    }

    async fn send(&mut self, event: &GenerateEvent) -> Result<(), Closed> {
        if self.faults.silent_after.is_some_and(|n| self.sent_count >= n) {
            return pending().await;
        }
        if self.faults.drop_after.is_some_and(|n| self.sent_count >= n) {
            let aborted = io::Error::other("connection aborted by a fault");
            self.tx.send(Err(aborted)).await.map_err(|_| Closed)?;
            return Err(Closed);
        }
        self.sent_count += 1;
        let data = serde_json::to_string(event).map_err(|_| Closed)?;
        self.tx.send(Ok(sse::event(&data))).await.map_err(|_| Closed)
    }
}

/// Returns the event with the id of another request, and other text if it is a token.
fn for_other_request(event: &GenerateEvent) -> GenerateEvent {
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
