//! Plays a crest of long requests against engines that read one prompt after the other, and counts what callers get.
//!
//! Guards against callers that wait in vain: more is asked for than can be read, so some cannot be served, and these
//! should hear so at once and get in when the crest is over.

mod common;

use std::{collections::HashMap, time::Duration};

use common::{engine, ms, pool, prompt, request};
use lw_place::{AttemptId, Ended, PlacementRequest, Prompt, Refusal, Segment, UpstreamPool};

const ENGINES: usize = 4;
/// Tokens that an engine reads in a millisecond.
const READS: u64 = 75;
/// Time from the first event to the end of an answer.
const WRITES_MS: u64 = 160;
const PATIENCE_MS: u64 = 2_000;
const ON_TIME_MS: u64 = 500;
/// Two of three requests can be read during the crest: 4 engines read 17.6 of 17,000 tokens in a second.
const ARRIVALS_EACH_MS: u64 = 38;
const CREST_MS: u64 = 6_000;
const END_MS: u64 = 16_000;

#[derive(Debug, Default, Clone, Copy, PartialEq)]
struct Tally {
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
    reads_ms: u64,
}

#[derive(Debug)]
struct Simulation {
    pool: UpstreamPool,
    /// What each engine reads, the first one now.
    queues: HashMap<String, Vec<Waiting>>,
    /// Callers by the time at which they ask, with the number of times that they were refused before.
    callers: Vec<(u64, u64, bool)>,
    answers: Vec<(u64, String, AttemptId)>,
    first_asked: HashMap<u64, u64>,
    tally: Tally,
}

fn own(id: u64) -> Prompt {
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
        let callers = (0..CREST_MS / ARRIVALS_EACH_MS).map(|i| (i * ARRIVALS_EACH_MS, i, false));
        Self {
            pool,
            queues,
            callers: callers.collect(),
            answers: Vec::new(),
            first_asked: HashMap::new(),
            tally: Tally::default(),
        }
    }

    fn play(mut self, max_wait: Duration) -> Tally {
        for now in 0..END_MS {
            let (asking, later) = self.callers.drain(..).partition(|(at, _, _)| *at <= now);
            self.callers = later;
            let asking: Vec<(u64, u64, bool)> = asking;
            for (_, id, is_second) in asking {
                self.send_request(now, id, is_second, max_wait);
            }
            self.read(now);
            let (over, on) = self.answers.drain(..).partition(|(at, _, _)| *at <= now);
            self.answers = on;
            let over: Vec<(u64, String, AttemptId)> = over;
            for (_, engine, attempt_id) in over {
                self.pool.record_ended(ms(now), &engine, attempt_id, Ended::Complete);
            }
        }
        self.tally
    }

    fn send_request(&mut self, now: u64, id: u64, is_second: bool, max_wait: Duration) {
        self.first_asked.entry(id).or_insert(now);
        let prompt = own(id);
        let request = PlacementRequest {
            time_to_target: ms(ON_TIME_MS),
            max_wait,
            request_hash: id,
            ..request(&prompt)
        };
        match self.pool.place(ms(now), &request) {
            Ok(placement) => {
                let (attempt_id, _) = self.pool.record_sent(ms(now), &placement, Some(&prompt));
                let reads_ms =
                    (prompt.tokens - placement.cached_tokens - placement.fetched_tokens) / READS;
                let waiting = Waiting { id, rank: placement.rank, sent: now, attempt_id, reads_ms };
                let queue = self.queues.get_mut(&placement.upstream.id).expect("known engine");
                queue.push(waiting);
                // What is being read goes on being read.
                queue[1..].sort_by_key(|w| (w.rank, w.sent));
            }
            Err(Refusal::WaitTooLong(time)) if !is_second => {
                // Callers come back after at most a third of the time that they have.
                let time = u64::try_from(time.as_millis()).unwrap().min(2_000);
                self.callers.push((now + time, id, true));
            }
            Err(_) => self.tally.refused += 1,
        }
    }

    fn read(&mut self, now: u64) {
        for (engine, queue) in &mut self.queues {
            while let Some(at) = queue.iter().position(|w| now >= w.sent + PATIENCE_MS) {
                let gone = queue.remove(at);
                self.pool.record_ended(ms(now), engine, gone.attempt_id, Ended::Cancelled);
                self.tally.abandoned += 1;
            }
            let Some(first) = queue.first_mut() else { continue };
            first.reads_ms = first.reads_ms.saturating_sub(1);
            if first.reads_ms > 0 {
                continue;
            }
            let first = queue.remove(0);
            self.pool.record_started(ms(now), engine, first.attempt_id);
            self.answers.push((now + WRITES_MS, engine.clone(), first.attempt_id));
            if now <= self.first_asked[&first.id] + ON_TIME_MS {
                self.tally.on_time += 1;
            } else {
                self.tally.late += 1;
            }
        }
    }
}

#[test]
fn callers_of_a_crest_are_served_or_hear_at_once() {
    let refusing = Simulation::new().play(ms(PATIENCE_MS));
    let never = Simulation::new().play(Duration::MAX);
    let callers = CREST_MS / ARRIVALS_EACH_MS;
    assert_eq!(refusing.on_time + refusing.late + refusing.refused + refusing.abandoned, callers);
    // At least half of those who would have waited in vain hear at once.
    assert!(refusing.abandoned * 2 <= never.abandoned, "{refusing:?}, without refusals {never:?}");
    let served = |tally: Tally| tally.on_time + tally.late;
    assert!(served(refusing) >= served(never), "{refusing:?}, without refusals {never:?}");
    // The engines read 105 requests during the crest, whoever they belong to.
    assert!(served(refusing) >= 105, "{refusing:?}, without refusals {never:?}");
}
