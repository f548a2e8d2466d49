//! Simulates a load peak of long requests at engines that prefill one prompt at a time, and counts the results.
//!
//! Guards against callers that wait until they leave without an answer: the requests exceed the capacity of the
//! engines, so some must be refused at once and be served when they are sent again after the peak.

mod common;

use std::{collections::HashMap, time::Duration};

use common::{engine, ms, pool, prompt, request};
use lw_place::{AttemptId, Ended, PlacementRequest, Prompt, Refusal, Segment, UpstreamPool};

const ENGINES: usize = 4;
/// Tokens that an engine prefills in a millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 75;
/// Time from the first event to the end of an answer.
const DECODE_MS: u64 = 160;
const MAX_WAIT_MS: u64 = 2_000;
const TARGET_MS: u64 = 500;
/// Two of three requests can be prefilled during the peak: 4 engines prefill 17.6 prompts of 17,000 tokens a second.
const ARRIVAL_INTERVAL_MS: u64 = 38;
const PEAK_MS: u64 = 6_000;
const END_MS: u64 = 16_000;

#[derive(Debug, Default, Clone, Copy, PartialEq)]
struct Counts {
    on_time: u64,
    late: u64,
    refused: u64,
    abandoned: u64,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    id: u64,
    rank: u8,
    sent: u64,
    attempt_id: AttemptId,
    prefill_ms: u64,
}

#[derive(Debug)]
struct Simulation {
    pool: UpstreamPool,
    /// Requests at each engine; the first one is being prefilled.
    queues: HashMap<String, Vec<Waiting>>,
    /// Requests to come: time in milliseconds, id, and whether it was refused before.
    callers: Vec<(u64, u64, bool)>,
    /// Running answers: time of the end in milliseconds, engine, and attempt.
    answers: Vec<(u64, String, AttemptId)>,
    /// Time of the first request by id, in milliseconds.
    first_sent: HashMap<u64, u64>,
    counts: Counts,
}

fn unshared_prompt(id: u64) -> Prompt {
    let segments = vec![Segment { id, tokens: 13_000 }, Segment { id: id + 10_000, tokens: 4_000 }];
    Prompt { segments, ..prompt("m") }
}

impl Simulation {
    fn new() -> Self {
        let mut pool = pool();
        let ids: Vec<_> = (0..ENGINES).map(|i| format!("e{i}")).collect();
        for id in &ids {
            pool.put(&engine(id, "m", 1));
        }
        let queues = ids.into_iter().map(|id| (id, Vec::new())).collect();
        let callers =
            (0..PEAK_MS / ARRIVAL_INTERVAL_MS).map(|i| (i * ARRIVAL_INTERVAL_MS, i, false));
        Self {
            pool,
            queues,
            callers: callers.collect(),
            answers: Vec::new(),
            first_sent: HashMap::new(),
            counts: Counts::default(),
        }
    }

    fn run(mut self, max_wait: Duration) -> Counts {
        for now in 0..END_MS {
            let (due, later) = self.callers.drain(..).partition(|(at, _, _)| *at <= now);
            self.callers = later;
            let due: Vec<(u64, u64, bool)> = due;
            for (_, id, is_retry) in due {
                self.send_request(now, id, is_retry, max_wait);
            }
            self.advance_engines(now);
            let (ended, running) = self.answers.drain(..).partition(|(at, _, _)| *at <= now);
            self.answers = running;
            let ended: Vec<(u64, String, AttemptId)> = ended;
            for (_, engine, attempt_id) in ended {
                self.pool.record_ended(ms(now), &engine, attempt_id, Ended::Complete);
            }
        }
        self.counts
    }

    fn send_request(&mut self, now: u64, id: u64, is_retry: bool, max_wait: Duration) {
        self.first_sent.entry(id).or_insert(now);
        let prompt = unshared_prompt(id);
        let request = PlacementRequest {
            time_to_target: ms(TARGET_MS),
            max_wait,
            request_hash: id,
            ..request(&prompt)
        };
        match self.pool.place(ms(now), &request) {
            Ok(placement) => {
                let (attempt_id, _) = self.pool.record_sent(ms(now), &placement, Some(&prompt));
                let prefill_ms =
                    (prompt.tokens - placement.cached_tokens - placement.fetched_tokens)
                        / PREFILL_TOKENS_PER_MS;
                let waiting =
                    Waiting { id, rank: placement.rank, sent: now, attempt_id, prefill_ms };
                let queue =
                    self.queues.get_mut(&placement.upstream.id).expect("an engine of the pool");
                queue.push(waiting);
                // A prefill that has started is not interrupted.
                queue[1..].sort_by_key(|w| (w.rank, w.sent));
            }
            Err(Refusal::WaitTooLong(time)) if !is_retry => {
                // Callers send the request again after at most a third of their total time.
                let time = u64::try_from(time.as_millis()).unwrap().min(2_000);
                self.callers.push((now + time, id, true));
            }
            Err(_) => self.counts.refused += 1,
        }
    }

    fn advance_engines(&mut self, now: u64) {
        for (engine, queue) in &mut self.queues {
            while let Some(at) = queue.iter().position(|w| now >= w.sent + MAX_WAIT_MS) {
                let expired = queue.remove(at);
                self.pool.record_ended(ms(now), engine, expired.attempt_id, Ended::Cancelled);
                self.counts.abandoned += 1;
            }
            let Some(first) = queue.first_mut() else { continue };
            first.prefill_ms = first.prefill_ms.saturating_sub(1);
            if first.prefill_ms > 0 {
                continue;
            }
            let first = queue.remove(0);
            self.pool.record_started(ms(now), engine, first.attempt_id);
            self.answers.push((now + DECODE_MS, engine.clone(), first.attempt_id));
            if now <= self.first_sent[&first.id] + TARGET_MS {
                self.counts.on_time += 1;
            } else {
                self.counts.late += 1;
            }
        }
    }
}

#[test]
fn callers_in_a_load_peak_are_served_or_refused_at_once() {
    let with_refusals = Simulation::new().run(ms(MAX_WAIT_MS));
    let without_refusals = Simulation::new().run(Duration::MAX);
    let callers = PEAK_MS / ARRIVAL_INTERVAL_MS;
    assert_eq!(
        with_refusals.on_time
            + with_refusals.late
            + with_refusals.refused
            + with_refusals.abandoned,
        callers
    );
    // At most half as many callers leave without an answer as without refusals.
    assert!(
        with_refusals.abandoned * 2 <= without_refusals.abandoned,
        "{with_refusals:?}, without refusals {without_refusals:?}"
    );
    let served = |counts: Counts| counts.on_time + counts.late;
    assert!(
        served(with_refusals) >= served(without_refusals),
        "{with_refusals:?}, without refusals {without_refusals:?}"
    );
    // The engines can prefill 105 prompts during the peak.
    assert!(
        served(with_refusals) >= 105,
        "{with_refusals:?}, without refusals {without_refusals:?}"
    );
}
