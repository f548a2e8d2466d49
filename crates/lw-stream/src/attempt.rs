//! State of one attempt that is under way.

use std::{collections::BTreeMap, time::Duration};

use lw_types::prelude::*;

use crate::{
    assembler::Options,
    event::{Cause, End, EventSource},
};

/// Whether an event belongs to the attempt.
pub(crate) enum Identity {
    Same,
    /// The event is of another version or incarnation, and the attempt has produced nothing yet.
    WrongEngine,
    /// The event is not of the attempt's engine and can be dropped.
    Foreign,
}

#[derive(Debug)]
pub(crate) struct Live {
    pub(crate) number: Attempt,
    pub(crate) incarnation: Option<Incarnation>,
    /// Whether an engine may have received the attempt.
    pub(crate) is_sent: bool,
    pub(crate) end: Option<End>,
    started: Now,
    /// Time of the last event that carried a new token or the end.
    progress: Option<Now>,
    highest: Option<TokenIndex>,
    waiting_since: Option<Now>,
    buffer: BTreeMap<TokenIndex, String>,
    buffered_bytes: usize,
}

impl Live {
    pub(crate) fn new(number: Attempt, now: Now) -> Self {
        Self {
            number,
            incarnation: None,
            is_sent: false,
            end: None,
            started: now,
            progress: None,
            highest: None,
            waiting_since: None,
            buffer: BTreeMap::new(),
            buffered_bytes: 0,
        }
    }

    /// Compares the source of an event with the engine of the attempt.
    pub(crate) fn identify(&mut self, source: &EventSource<'_>, version: &str) -> Identity {
        self.is_sent = true;
        let expected = *self.incarnation.get_or_insert(source.incarnation);
        if expected == source.incarnation && source.version == version {
            return Identity::Same;
        }
        if self.progress.is_none() { Identity::WrongEngine } else { Identity::Foreign }
    }

    /// Records a token index as received. Duplicates are no progress, so they do not hide a silent engine.
    pub(crate) fn note_token(&mut self, now: Now, index: TokenIndex) {
        if self.highest.is_none_or(|highest| index > highest) {
            self.highest = Some(index);
            self.progress = Some(now);
        }
    }

    pub(crate) fn note_end(&mut self, now: Now, end: End) {
        if self.end.is_none() {
            self.end = Some(end);
            self.progress = Some(now);
        }
    }

    /// Holds a token that is ahead of the next one. Returns `false` when the buffer is full.
    pub(crate) fn hold(&mut self, index: TokenIndex, text: String, options: &Options) -> bool {
        if self.buffer.contains_key(&index) {
            return true;
        }
        self.buffered_bytes += text.len();
        self.buffer.insert(index, text);
        self.buffer.len() <= options.buffer_tokens && self.buffered_bytes <= options.buffer_bytes
    }

    pub(crate) fn take(&mut self, index: TokenIndex) -> Option<String> {
        let text = self.buffer.remove(&index)?;
        self.buffered_bytes -= text.len();
        Some(text)
    }

    /// Restarts the gap timer after a delivery, or starts it when the attempt begins to wait.
    pub(crate) fn update_gap(&mut self, now: Now, delivered: bool) {
        if self.buffer.is_empty() && self.end.is_none() {
            self.waiting_since = None;
        } else if delivered || self.waiting_since.is_none() {
            self.waiting_since = Some(now);
        }
    }

    /// Whether the attempt said that the answer has another length than it sent.
    pub(crate) fn contradicts_itself(&self, next: TokenIndex) -> bool {
        let Some(end) = &self.end else { return false };
        end.tokens < next
            || self.highest.is_some_and(|highest| highest >= end.tokens)
            || self.buffer.keys().next_back().is_some_and(|&last| last >= end.tokens)
    }

    /// When the attempt is given up unless something arrives, and why.
    pub(crate) fn expiry(&self, options: &Options) -> (Duration, Cause) {
        let silence = match self.progress {
            None => self.started + options.first_event_timeout,
            Some(at) => at + options.idle_timeout,
        };
        match self.waiting_since.map(|since| since + options.gap_timeout) {
            Some(gap) if gap < silence => (gap, Cause::Gap),
            _ => (silence, Cause::Unresponsive),
        }
    }
}
