//! Moves of KV cache between engines. An engine takes one move at a time.

use super::{Attempt, Ev, Policy, World, micros};
use crate::sim::{count, seconds};

impl World {
    /// Starts the move that the router asked for; returns whether there is one to wait for.
    pub(super) fn start_import(&mut self, attempt: usize) -> bool {
        let Attempt { request, engine, import, .. } = self.attempts[attempt];
        let (Some(from), Policy::Router(options)) = (import, &self.setup.policy) else {
            return false;
        };
        let Some(link) = options.kv_move else { return false };
        let blocks = &self.setup.arrivals[request].blocks;
        let (held, here) = (self.engines[from].held(blocks), self.engines[engine].held(blocks));
        if held <= here {
            return false;
        }
        let time = micros(link.time(1000 * (held - here) as u64));
        let recompute = count(held - here) * 1000.0 / self.engines[engine].prefill_rate();
        self.run.moved_blocks += held - here;
        self.run.dear_moves += usize::from(seconds(time) > recompute);
        self.moving_until[engine] = self.moving_until[engine].max(self.now) + time;
        self.at(self.moving_until[engine], Ev::Imported(attempt, held));
        true
    }

    pub(super) fn imported(&mut self, attempt: usize, blocks: usize) {
        let Attempt { request, engine, ended, .. } = self.attempts[attempt];
        let prompt = self.setup.arrivals[request].blocks.clone();
        self.engines[engine].import(&prompt[..blocks]);
        if !ended {
            self.enqueue(attempt, request, engine);
        }
    }
}
