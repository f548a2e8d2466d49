//! Seeded arrivals of the two workload shapes.

use std::sync::Arc;

use fastrand::Rng;
use lw_route::fingerprint::BLOCK_TOKENS;
use lw_types::prelude::*;

use super::{Micros, SECOND, count, seconds};

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When it reaches its entry VM.
    pub at: Micros,
    /// Number of its workspace.
    pub workspace: usize,
    /// Class.
    pub class: Class,
    /// Block hashes of the prompt.
    pub blocks: Arc<[BlockHash]>,
    /// Prompt length in tokens.
    pub prompt: u64,
    /// Tokens to generate.
    pub output: u32,
    /// Time to first token allowed.
    pub deadline: Micros,
    /// Entry VM.
    pub vm: usize,
}

/// A change of the arrival rate or of the popular prefixes.
#[derive(Debug, Clone, Copy)]
pub struct Phase {
    /// Start.
    pub from: Micros,
    /// Requests a second from then on.
    pub rate: f64,
    /// Another number makes other prefixes of the largest workspace the popular ones.
    pub era: u64,
}

/// The workspace whose prefixes a new era replaces; it has the largest demand.
const SHIFTING: usize = 0;

/// Shape of the requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// Malabar: stations, programmes, threads.
    Malabar,
    /// Hellenic without dossiers: approvals and status questions.
    Approvals,
    /// Hellenic dossiers alone.
    Dossiers,
}

/// Entry VMs.
pub const VMS: usize = 8;
/// Deadline of short work: the time to first token of the targets.
pub const DEADLINE: Micros = 1_700_000;
/// Deadline of dossiers.
const DOSSIER_DEADLINE: Micros = 60 * SECOND;
/// Demand of the 8 workspaces: a few large.
pub const DEMAND: [f64; 8] = [0.30, 0.22, 0.16, 0.10, 0.08, 0.06, 0.05, 0.03];

/// Arrivals of `shape` through `phases` until `until`.
#[must_use]
pub fn arrivals(shape: Shape, phases: &[Phase], until: Micros, seed: u64) -> Vec<Arrival> {
    let mut rng = Rng::with_seed(seed ^ (0x51ed_270b * (1 + shape as u64)));
    let mut out = Vec::new();
    let mut at = 0.0;
    loop {
        let now = phases.iter().rev().find(|p| seconds(p.from) <= at).unwrap_or(&phases[0]);
        if now.rate <= 0.0 {
            let Some(next) = phases.iter().find(|p| seconds(p.from) > at) else { return out };
            at = seconds(next.from);
            continue;
        }
        at += -(1.0 - rng.f64()).ln() / now.rate;
        if super::micros(at) >= until {
            return out;
        }
        out.push(arrival(shape, super::micros(at), now.era, &mut rng));
    }
}

fn arrival(shape: Shape, at: Micros, era: u64, rng: &mut Rng) -> Arrival {
    let workspace = pick(&DEMAND, rng);
    let vm = rng.usize(0..VMS);
    let era = if workspace == SHIFTING { era } else { 0 };
    let mut prompt = Prompt::new(shape, workspace);
    let (class, output, deadline) = match shape {
        Shape::Malabar => {
            let programme = zipf(20, rng) as u64;
            let thread = zipf(12, rng) as u64;
            prompt.level(1 + workspace % 3, 0);
            prompt.level(2 + hash(programme) % 4, programme + era * 1000);
            prompt.level(hash(programme * 31 + thread) % 4, thread);
            (Class::Standard, 20 + rng.u32(0..80), DEADLINE)
        }
        Shape::Approvals => {
            prompt.level(1 + workspace % 2, 0);
            prompt.level(1 + hash(workspace as u64) % 2, zipf(30, rng) as u64 + era * 1000);
            (Class::Live, 10 + rng.u32(0..30), DEADLINE)
        }
        Shape::Dossiers => {
            let dossier = zipf(40, rng) as u64;
            prompt.level(2, 0);
            prompt.level(24 + hash(dossier) % 32, dossier + era * 1000);
            (Class::Bulk, 100 + rng.u32(0..200), DOSSIER_DEADLINE)
        }
    };
    let tail = 100 + rng.u64(0..800);
    let tokens = prompt.blocks.len() as u64 * BLOCK_TOKENS + tail;
    let blocks = prompt.blocks.into();
    Arrival { at, workspace, class, blocks, prompt: tokens, output, deadline, vm }
}

struct Prompt {
    blocks: Vec<BlockHash>,
    last: u64,
}

impl Prompt {
    fn new(shape: Shape, workspace: usize) -> Self {
        Self { blocks: Vec::new(), last: mix(shape as u64, workspace as u64) }
    }

    fn level(&mut self, blocks: usize, id: u64) {
        for piece in 0..blocks as u64 {
            self.last = mix(self.last, id * 64 + piece);
            self.blocks.push(self.last);
        }
    }
}

fn pick(weights: &[f64], rng: &mut Rng) -> usize {
    let mut rest = rng.f64() * weights.iter().sum::<f64>();
    for (i, weight) in weights.iter().enumerate() {
        rest -= weight;
        if rest < 0.0 {
            return i;
        }
    }
    weights.len() - 1
}

/// A number below `n`, small ones more often (Zipf, exponent 1).
fn zipf(n: usize, rng: &mut Rng) -> usize {
    let total: f64 = (1..=n).map(|i| 1.0 / count(i)).sum();
    let mut rest = rng.f64() * total;
    for i in 1..=n {
        rest -= 1.0 / count(i);
        if rest < 0.0 {
            return i - 1;
        }
    }
    n - 1
}

#[allow(clippy::cast_possible_truncation)]
fn hash(x: u64) -> usize {
    (mix(x, 7) >> 40) as usize
}

fn mix(a: u64, b: u64) -> u64 {
    let mut x = a.rotate_left(23) ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
