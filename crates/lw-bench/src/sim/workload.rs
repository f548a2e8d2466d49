//! Seeded arrivals of the simulated workloads.

use std::sync::Arc;

use fastrand::Rng;
use lw_route::fingerprint::BLOCK_TOKENS;
use lw_types::prelude::*;

use super::{Micros, SECOND, seconds, to_f64};

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Time at which the request reaches its entry VM.
    pub at: Micros,
    /// Index of the workspace.
    pub workspace: usize,
    /// Class.
    pub class: Class,
    /// Block hashes of the prompt.
    pub blocks: Arc<[BlockHash]>,
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// Tokens to generate.
    pub output_tokens: u32,
    /// Longest time to first token.
    pub deadline: Micros,
    /// Entry VM.
    pub vm: usize,
}

/// An interval of a run with its own arrival rate and popular prefixes.
#[derive(Debug, Clone, Copy)]
pub struct Phase {
    /// Start of the phase.
    pub from: Micros,
    /// Requests per second.
    pub rate: f64,
    /// Number of the set of popular prefixes of the largest workspace.
    pub prefix_set: u64,
}

/// Workspace whose prefixes change with [`Phase::prefix_set`]; it has the largest demand.
const CHANGING_WORKSPACE: usize = 0;

/// Kind of the requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// Conversations; prompts share a segment of the workspace, one of the topic and one of the thread.
    Conversations,
    /// Short requests of class live: approvals and status queries.
    Approvals,
    /// Long documents of class bulk.
    LongDocuments,
}

/// Number of entry VMs.
pub const VM_COUNT: usize = 8;
/// Longest time to first token of all but long documents, as in the targets.
pub const DEADLINE: Micros = 1_700_000;
/// Longest time to first token of long documents.
const LONG_DOCUMENT_DEADLINE: Micros = 60 * SECOND;
/// Fraction of the requests that each workspace sends; a few workspaces send most of them.
pub const WORKSPACE_DEMAND: [f64; 8] = [0.30, 0.22, 0.16, 0.10, 0.08, 0.06, 0.05, 0.03];

/// Returns the arrivals of `shape` from the first phase until `until`.
#[must_use]
pub fn arrivals(shape: Shape, phases: &[Phase], until: Micros, seed: u64) -> Vec<Arrival> {
    let mut rng = Rng::with_seed(seed ^ (0x51ed_270b * (1 + shape as u64)));
    let mut out = Vec::new();
    let mut at = 0.0;
    loop {
        let phase = phases.iter().rev().find(|p| seconds(p.from) <= at).unwrap_or(&phases[0]);
        if phase.rate <= 0.0 {
            let Some(next) = phases.iter().find(|p| seconds(p.from) > at) else { return out };
            at = seconds(next.from);
            continue;
        }
        at += -(1.0 - rng.f64()).ln() / phase.rate;
        if super::micros(at) >= until {
            return out;
        }
        out.push(make_arrival(shape, super::micros(at), phase.prefix_set, &mut rng));
    }
}

fn make_arrival(shape: Shape, at: Micros, prefix_set: u64, rng: &mut Rng) -> Arrival {
    let workspace = weighted_index(&WORKSPACE_DEMAND, rng);
    let vm = rng.usize(0..VM_COUNT);
    let prefix_set = if workspace == CHANGING_WORKSPACE { prefix_set } else { 0 };
    let mut prompt = PromptBlocks::new(shape, workspace);
    let (class, output_tokens, deadline) = match shape {
        Shape::Conversations => {
            let topic = zipf_index(20, rng) as u64;
            let thread = zipf_index(12, rng) as u64;
            prompt.append_segment(1 + workspace % 3, 0);
            prompt.append_segment(2 + hash_index(topic) % 4, topic + prefix_set * 1000);
            prompt.append_segment(hash_index(topic * 31 + thread) % 4, thread);
            (Class::Standard, 20 + rng.u32(0..80), DEADLINE)
        }
        Shape::Approvals => {
            prompt.append_segment(1 + workspace % 2, 0);
            prompt.append_segment(
                1 + hash_index(workspace as u64) % 2,
                zipf_index(30, rng) as u64 + prefix_set * 1000,
            );
            (Class::Live, 10 + rng.u32(0..30), DEADLINE)
        }
        Shape::LongDocuments => {
            let document = zipf_index(40, rng) as u64;
            prompt.append_segment(2, 0);
            prompt.append_segment(24 + hash_index(document) % 32, document + prefix_set * 1000);
            (Class::Bulk, 100 + rng.u32(0..200), LONG_DOCUMENT_DEADLINE)
        }
    };
    let unshared_tokens = 100 + rng.u64(0..800);
    let tokens = prompt.blocks.len() as u64 * BLOCK_TOKENS + unshared_tokens;
    let blocks = prompt.blocks.into();
    Arrival { at, workspace, class, blocks, prompt_tokens: tokens, output_tokens, deadline, vm }
}

struct PromptBlocks {
    blocks: Vec<BlockHash>,
    prefix_hash: u64,
}

impl PromptBlocks {
    fn new(shape: Shape, workspace: usize) -> Self {
        Self { blocks: Vec::new(), prefix_hash: mix(shape as u64, workspace as u64) }
    }

    fn append_segment(&mut self, blocks: usize, id: u64) {
        for piece in 0..blocks as u64 {
            self.prefix_hash = mix(self.prefix_hash, id * 64 + piece);
            self.blocks.push(self.prefix_hash);
        }
    }
}

fn weighted_index(weights: &[f64], rng: &mut Rng) -> usize {
    let mut remaining = rng.f64() * weights.iter().sum::<f64>();
    for (i, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return i;
        }
    }
    weights.len() - 1
}

/// Returns a random number below `n` from a Zipf distribution with exponent 1; 0 is the most frequent.
fn zipf_index(n: usize, rng: &mut Rng) -> usize {
    let total: f64 = (1..=n).map(|i| 1.0 / to_f64(i)).sum();
    let mut remaining = rng.f64() * total;
    for i in 1..=n {
        remaining -= 1.0 / to_f64(i);
        if remaining < 0.0 {
            return i - 1;
        }
    }
    n - 1
}

#[allow(clippy::cast_possible_truncation)]
fn hash_index(x: u64) -> usize {
    (mix(x, 7) >> 40) as usize
}

fn mix(a: u64, b: u64) -> u64 {
    let mut x = a.rotate_left(23) ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
