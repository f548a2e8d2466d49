//! `POST /generate`: admission, prefill and decoding of one request.

use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use futures::stream::poll_fn;
use http::StatusCode;
use lw_protocol::upstream::{EngineRefusal, GenerateEvent, GenerateRequest, RefusalReason};
use lw_types::prelude::*;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    Engine, LogEntry,
    cache::Owner,
    emitter::{Closed, Emitter},
    options::scaled,
    state::InFlight,
};
use crate::serve::{Response, status_json, stream};

/// Bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: u64 = 4;
/// Events that are buffered for a slow reader before the generation waits.
const EVENTS_BUFFERED: usize = 16;

/// Returns the text of one token, which depends on the prompt and the position only and is the same at each engine.
///
/// ```
/// use lw_standin::engine::token_text;
/// assert_eq!(token_text("a prompt", 3), token_text("a prompt", 3));
/// assert_ne!(token_text("a prompt", 3), token_text("a prompt", 4));
/// ```
#[must_use]
pub fn token_text(prompt: &str, index: TokenIndex) -> String {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), index);
    format!(" t{index}-{:04x}", hash & 0xffff)
}

/// Returns the text of a complete answer with this many tokens.
#[must_use]
pub fn answer_text(prompt: &str, tokens: TokenIndex) -> String {
    (0..tokens).map(|index| token_text(prompt, index)).collect()
}

/// Returns the number of tokens of a prompt.
#[must_use]
pub fn prompt_tokens(prompt: &str) -> u64 {
    (prompt.len() as u64).div_ceil(BYTES_PER_TOKEN)
}

impl Engine {
    pub(super) fn generate(self: Arc<Self>, req: GenerateRequest) -> Response {
        let tokens = prompt_tokens(&req.prompt);
        if let Err(reason) = self.check_admission(&req) {
            let outcome = format!("refused: {reason:?}").to_lowercase();
            self.state.lock().add_log_entry(LogEntry::new(&req, tokens, &outcome));
            return self.refusal(reason);
        }
        let in_flight = InFlight::new(&self.state, LogEntry::new(&req, tokens, "waiting"));
        let (tx, mut rx) = mpsc::channel(EVENTS_BUFFERED);
        tokio::spawn(async move {
            tokio::select! {
                // The caller has closed the connection; dropping the generation frees its slot.
                () = tx.closed() => {}
                _ = self.run(&req, in_flight, &tx) => {}
            }
        });
        stream(poll_fn(move |cx| rx.poll_recv(cx)))
    }

    pub(super) fn refusal(&self, reason: RefusalReason) -> Response {
        let refusal = EngineRefusal { reason, incarnation: self.incarnation };
        status_json(StatusCode::CONFLICT, &refusal)
    }

    fn check_admission(&self, req: &GenerateRequest) -> Result<(), RefusalReason> {
        let faults = self.switches.get();
        if let Some(reason) = faults.refuse {
            return Err(reason);
        }
        if faults.leaving {
            return Err(RefusalReason::Leaving);
        }
        if req.incarnation.is_some_and(|expected| expected != self.incarnation) {
            return Err(RefusalReason::Incarnation);
        }
        if !self.is_loaded(req) {
            return Err(RefusalReason::Version);
        }
        let queued = self.state.lock().report.queued as usize;
        if queued >= self.options.queue_max { Err(RefusalReason::Busy) } else { Ok(()) }
    }

    /// Whether the requested model and adapter versions are loaded and not being replaced.
    fn is_loaded(&self, req: &GenerateRequest) -> bool {
        let state = self.state.lock();
        let model = state.report.models.get(&req.model) == Some(&req.version)
            && !state.loading_models.contains_key(&req.model);
        let adapter = req.adapter.as_ref().is_none_or(|adapter| {
            state.report.adapters.get(&adapter.name) == Some(&adapter.version)
                && !state.loading_adapters.contains_key(&adapter.name)
        });
        model && adapter
    }

    async fn run(
        &self,
        req: &GenerateRequest,
        mut in_flight: InFlight,
        tx: &mpsc::Sender<io::Result<String>>,
    ) -> Result<(), Closed> {
        let faults = self.switches.update(super::Faults::next_stream_faults);
        let mut out = Emitter::new(tx, faults);
        let _slot = self.slots.acquire(req.priority).await;
        if !self.is_loaded(req) {
            return emit_error(
                &mut out,
                req,
                &in_flight,
                "the weights changed while the request waited",
            )
            .await;
        }
        let from = req.resume.as_ref().map_or(0, |resume| resume.from);
        if req.resume.as_ref().is_some_and(|r| r.text != answer_text(&req.prompt, from)) {
            return emit_error(
                &mut out,
                req,
                &in_flight,
                "the text to resume is not this answer's",
            )
            .await;
        }
        let cached_tokens = self.prefill(req, &mut in_flight).await;
        let total = u64::from(req.max_tokens.min(self.options.answer_max));
        for index in from..total {
            let percent = self.switches.get().slow_percent;
            tokio::time::sleep(scaled(self.options.token_time, percent)).await;
            in_flight.update_log(|entry| entry.tokens += 1);
            out.emit(self.token(req, index)).await?;
        }
        in_flight.update_log(|entry| "complete".clone_into(&mut entry.outcome));
        drop(in_flight);
        let load = self.load_report(Duration::ZERO);
        let finish = if total < u64::from(req.max_tokens) { "stop" } else { "length" };
        out.emit(GenerateEvent::End {
            request: req.request.clone(),
            attempt: req.attempt,
            incarnation: self.incarnation,
            version: req.version.clone(),
            tokens: total.max(from),
            finish: finish.to_owned(),
            prompt_tokens: prompt_tokens(&req.prompt),
            cached_tokens,
            load,
        })
        .await
    }

    fn token(&self, req: &GenerateRequest, index: TokenIndex) -> GenerateEvent {
        GenerateEvent::Token {
            request: req.request.clone(),
            attempt: req.attempt,
            incarnation: self.incarnation,
            version: req.version.clone(),
            index,
            text: token_text(&req.prompt, index),
        }
    }

    /// Computes the blocks that are not cached, one at a time, and returns the number of cached tokens.
    async fn prefill(&self, req: &GenerateRequest, in_flight: &mut InFlight) -> u64 {
        let block_tokens = self.options.block_tokens;
        let tokens = prompt_tokens(&req.prompt);
        let owner = Owner {
            scope: req.scope.clone(),
            model: req.model.clone(),
            version: req.version.clone(),
        };
        let hits = self.state.lock().cache.count_hits(&owner, &req.blocks);
        let cached = (hits as u64 * block_tokens).min(tokens);
        in_flight.start_running(cached);
        for &block in &req.blocks[hits..] {
            self.compute_tokens(req.priority, block_tokens).await;
            in_flight.remove_queued_tokens(block_tokens);
            let gap = self.switches.get().event_gap_every;
            self.state.lock().cache.store(Instant::now(), &owner, block, gap);
            self.cache_changed.notify_waiters();
        }
        // Only marks the blocks as used, so that the end of this prompt is evicted before its start.
        self.state.lock().cache.count_hits(&owner, &req.blocks);
        let remaining = tokens.saturating_sub(req.blocks.len() as u64 * block_tokens);
        if remaining > 0 {
            self.compute_tokens(req.priority, remaining).await;
            in_flight.remove_queued_tokens(remaining);
        }
        cached
    }

    async fn compute_tokens(&self, priority: u8, tokens: u64) {
        let _slot = self.prefill_slot.acquire(priority).await;
        let percent = self.switches.get().slow_percent;
        let block = scaled(self.options.prefill_per_block, percent).as_nanos();
        let nanos = block * u128::from(tokens) / u128::from(self.options.block_tokens.max(1));
        let time = Duration::from_nanos(nanos.try_into().unwrap_or(u64::MAX));
        tokio::time::sleep(time).await;
    }
}

async fn emit_error(
    out: &mut Emitter<'_>,
    req: &GenerateRequest,
    in_flight: &InFlight,
    message: &str,
) -> Result<(), Closed> {
    in_flight.update_log(|entry| "failed".clone_into(&mut entry.outcome));
    out.emit(GenerateEvent::Error {
        request: req.request.clone(),
        attempt: req.attempt,
        message: message.to_owned(),
    })
    .await
}
