//! Moves of KV cache between engines. An engine imports one prefix at a time.

use super::{Attempt, RoutingPolicy, SimEvent, Simulation, duration_to_micros};
use crate::sim::{seconds, to_f64};

impl Simulation {
    /// Starts the import that the router chose, if any; returns whether the attempt waits for it.
    pub(super) fn start_import(&mut self, attempt: usize) -> bool {
        let Attempt { request, engine, import, .. } = self.attempts[attempt];
        let (Some(source), RoutingPolicy::Router(options)) = (import, &self.setup.policy) else {
            return false;
        };
        let Some(move_cost) = options.kv_move else { return false };
        let blocks = &self.setup.arrivals[request].blocks;
        let (source_blocks, local_blocks) = (
            self.engines[source].cached_prefix_blocks(blocks),
            self.engines[engine].cached_prefix_blocks(blocks),
        );
        if source_blocks <= local_blocks {
            return false;
        }
        let move_time =
            duration_to_micros(move_cost.time(1000 * (source_blocks - local_blocks) as u64));
        let recompute_seconds =
            to_f64(source_blocks - local_blocks) * 1000.0 / self.engines[engine].prefill_rate();
        self.run.moved_blocks += source_blocks - local_blocks;
        self.run.unprofitable_moves += usize::from(seconds(move_time) > recompute_seconds);
        self.import_ends[engine] = self.import_ends[engine].max(self.now) + move_time;
        self.schedule_at(self.import_ends[engine], SimEvent::Imported(attempt, source_blocks));
        true
    }

    pub(super) fn finish_import(&mut self, attempt: usize, blocks: usize) {
        let Attempt { request, engine, is_ended, .. } = self.attempts[attempt];
        let prompt = self.setup.arrivals[request].blocks.clone();
        self.engines[engine].import_blocks(&prompt[..blocks]);
        if !is_ended {
            self.enqueue(attempt, request, engine);
        }
    }
}
