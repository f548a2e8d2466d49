//! State of one attempt that was started and has not ended.

use std::collections::BTreeMap;

use lw_types::prelude::*;

use crate::{
    assembler::Options,
    event::{End, EventSource},
};

/// How the source of an event compares with the engine of the attempt.
pub(crate) enum SourceMatch {
    /// The version and the incarnation match.
    Same,
    /// The version or the incarnation differs, and the attempt has produced nothing yet.
    WrongEngine,
    /// The version or the incarnation differs from that of earlier events, so this event must be ignored.
    Unrelated,
}

/// An attempt that was started and has not ended.
#[derive(Debug)]
pub(crate) struct RunningAttempt {
    pub(crate) number: Attempt,
    /// Incarnation of the engine, once it is known.
    pub(crate) incarnation: Option<Incarnation>,
    /// Whether an engine may have received the attempt.
    pub(crate) is_sent: bool,
    /// The end event, which may arrive before the last tokens.
    pub(crate) end: Option<End>,
    started_at: Now,
    /// Time of the last event that carried a token beyond `highest_index` or the end.
    last_progress: Option<Now>,
    highest_index: Option<TokenIndex>,
    /// Since when buffered tokens or the end wait for a missing token.
    waiting_since: Option<Now>,
    /// Tokens received ahead of the next one to deliver.
    buffer: BTreeMap<TokenIndex, String>,
    buffered_bytes: usize,
}

impl RunningAttempt {
    pub(crate) fn new(number: Attempt, now: Now) -> Self {
        Self {
            number,
            incarnation: None,
            is_sent: false,
            end: None,
            started_at: now,
            last_progress: None,
            highest_index: None,
            waiting_since: None,
            buffer: BTreeMap::new(),
            buffered_bytes: 0,
        }
    }

    /// Compares the source of an event with the engine of the attempt. If the attempt has no incarnation yet, that of
    /// the first event becomes binding.
    pub(crate) fn check_source(&mut self, source: &EventSource<'_>, version: &str) -> SourceMatch {
        self.is_sent = true;
        let expected = *self.incarnation.get_or_insert(source.incarnation);
        if expected == source.incarnation && source.version == version {
            return SourceMatch::Same;
        }
        if self.last_progress.is_none() { SourceMatch::WrongEngine } else { SourceMatch::Unrelated }
    }

    /// Records the arrival of a token. A duplicate is no progress, so that an engine that only repeats tokens expires.
    pub(crate) fn record_token(&mut self, now: Now, index: TokenIndex) {
        if self.highest_index.is_none_or(|highest| index > highest) {
            self.highest_index = Some(index);
            self.last_progress = Some(now);
        }
    }

    /// Records the first end event; later ones are ignored.
    pub(crate) fn record_end(&mut self, now: Now, end: End) {
        if self.end.is_none() {
            self.end = Some(end);
            self.last_progress = Some(now);
        }
    }

    /// Buffers a token that is ahead of the next one to deliver. Returns `false` when a bound of the buffer is
    /// exceeded.
    pub(crate) fn buffer_token(
        &mut self,
        index: TokenIndex,
        text: String,
        options: &Options,
    ) -> bool {
        if self.buffer.contains_key(&index) {
            return true;
        }
        self.buffered_bytes += text.len();
        self.buffer.insert(index, text);
        self.buffer.len() <= options.buffer_tokens && self.buffered_bytes <= options.buffer_bytes
    }

    /// Removes a token from the buffer and returns its text.
    pub(crate) fn take_buffered(&mut self, index: TokenIndex) -> Option<String> {
        let text = self.buffer.remove(&index)?;
        self.buffered_bytes -= text.len();
        Some(text)
    }

    /// Restarts the gap timer after a delivery, starts it when tokens or the end begin to wait for a missing token, and
    /// stops it when nothing waits.
    pub(crate) fn update_gap_timer(&mut self, now: Now, has_delivered: bool) {
        if self.buffer.is_empty() && self.end.is_none() {
            self.waiting_since = None;
        } else if has_delivered || self.waiting_since.is_none() {
            self.waiting_since = Some(now);
        }
    }

    /// Whether the end event gives fewer tokens than were delivered, received or buffered.
    pub(crate) fn has_inconsistent_length(&self, delivered_tokens: TokenIndex) -> bool {
        let Some(end) = &self.end else { return false };
        end.tokens < delivered_tokens
            || self.highest_index.is_some_and(|highest| highest >= end.tokens)
            || self.buffer.keys().next_back().is_some_and(|&last| last >= end.tokens)
    }

    /// Returns when the attempt counts as silent unless something new arrives.
    pub(crate) fn silent_at(&self, options: &Options) -> Now {
        match self.last_progress {
            None => self.started_at + options.first_event_timeout,
            Some(at) => at + options.idle_timeout,
        }
    }

    /// Returns when the attempt is cancelled for its silence unless something new arrives.
    pub(crate) fn expires_at(&self, options: &Options) -> Now {
        self.silent_at(options) + options.replacement_timeout
    }

    /// Returns when the attempt is cancelled because of a missing token, if later ones wait for it.
    pub(crate) fn gap_expires_at(&self, options: &Options) -> Option<Now> {
        self.waiting_since.map(|since| since + options.gap_timeout)
    }
}
