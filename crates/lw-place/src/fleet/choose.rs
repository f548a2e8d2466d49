//! The choice for one request.

use std::{collections::HashMap, sync::Arc, time::Duration};

use lw_catalog::Stage;
use lw_types::prelude::*;

use super::{
    Ask, Choice, Fleet, Member, Prompt, Refusal, member::as_f64, queue::NewRequest, source::Source,
};
use crate::{RANK_MAX, cache::PartKey, salt};

/// Weight of the work that a request causes at an engine against the time for which it waits: work that is done
/// twice is missing for others.
const WORK_WEIGHT: f64 = 1.0;
/// Cost of a request to another failure domain, in milliseconds: two crossings, and links that cost more than usual.
const AWAY_MS: f64 = 30.0;
/// Further cost for each kilobyte of it.
const AWAY_MS_PER_KB: f64 = 4.0;
/// Cost of weights that were replaced, in milliseconds.
const OUTDATED_MS: f64 = 200.0;
/// Cost of a transfer for each millisecond of it.
const TRANSFER_WEIGHT: f64 = 0.3;
/// Factor of the time in which a request is on time above which it will be late: estimates err by that much.
const LATE_FACTOR: f64 = 1.75;
/// Part of the time for which callers wait above which a request that will be late is refused. On a played day 12 of
/// 131 long requests above it were answered, and the others waited in vain.
const PATIENCE_PART: f64 = 0.5;
/// Cost of a request that is late.
const LATE_MS: f64 = 200.0;
/// Most that chance adds to the cost, in milliseconds, so that VMs do not all choose the same of equals.
const TIE_MS: f64 = 2.0;

/// The parts of a prompt under one version of the weights.
struct Parts<'a> {
    salt: String,
    keys: Vec<(PartKey, u64)>,
    sources: Vec<Source<'a>>,
}

/// Costs of a request at an engine in milliseconds.
struct Estimate {
    choice: Choice,
    cost: f64,
}

impl Fleet {
    /// Chooses an upstream for a request.
    ///
    /// # Errors
    ///
    /// Why none can take it.
    pub fn choose(&self, now: Now, ask: &Ask<'_>) -> Result<Choice, Refusal> {
        let ready = || self.members.values().filter(|m| m.upstream.stage == Stage::Ready);
        let untried = || ready().filter(|m| !ask.tried.contains(&m.upstream.id));
        let open = untried().filter(|m| now >= m.hold_until && now >= m.closed_until);
        let mut open: Vec<_> = open.collect();
        // Without any engine that serves newer weights the rollout is stuck, and old answers are better than none.
        if ready().any(|member| !self.is_expired(now, ask, member)) {
            open.retain(|member| !self.is_expired(now, ask, member));
        }
        if open.is_empty() {
            let unwanted = untried().filter_map(|m| m.closed_until.checked_sub(now)).min();
            let unwanted = unwanted.filter(|time| !time.is_zero());
            let closed = unwanted.map_or(Refusal::Closed, Refusal::Unwanted);
            return Err(if self.ready() == 0 { Refusal::None } else { closed });
        }
        let sound: Vec<_> = open.iter().copied().filter(|m| now >= m.avoid_until).collect();
        let usable = if sound.is_empty() { open } else { sound };
        let mut parts = HashMap::new();
        let estimates = usable.into_iter().map(|member| match ask.prompt {
            Some(prompt) => self.engine(now, ask, prompt, member, &mut parts),
            None => self.server(now, ask, member),
        });
        let best = estimates.min_by(|a, b| a.cost.total_cmp(&b.cost));
        let choice = best.map(|estimate| estimate.choice).ok_or(Refusal::None)?;
        // Whatever was sent before may have run, and then the caller is better off with the rest of the answer late.
        let is_hopeless = choice.expected > ask.patience.mul_f64(PATIENCE_PART);
        if choice.rank > RANK_MAX && is_hopeless && ask.tried.is_empty() {
            return Err(Refusal::Late(choice.expected));
        }
        Ok(choice)
    }

    fn server(&self, now: Now, ask: &Ask<'_>, member: &Member) -> Estimate {
        let wait = member.plain_ms(now);
        let cost = wait + self.away_ms(member, 1) + tie_ms(member, ask.spread);
        Estimate { choice: choice(now, member, wait), cost }
    }

    fn engine<'a>(
        &'a self,
        now: Now,
        ask: &Ask<'_>,
        prompt: &Prompt,
        member: &Member,
        parts: &mut HashMap<u64, Parts<'a>>,
    ) -> Estimate {
        let mut choice = choice(now, member, 0.0);
        choice.version = member.versions.get(&prompt.model).copied();
        if let Some(version) = choice.version {
            let parts = parts.entry(version).or_insert_with(|| self.parts(now, prompt, version));
            choice.held = member.cache.leading(&parts.keys);
            if let Some(transfer) = self.transfer(now, member, &parts.sources, choice.held) {
                choice.fetch_from = Some(transfer.from);
                choice.fetched = transfer.tokens;
                choice.fetched_at = transfer.done;
            }
            let unread = prompt.shared_tokens().saturating_sub(choice.held + choice.fetched);
            choice.save_to = self.save_to(now, unread);
            choice.salt = Some(parts.salt.clone());
        }
        let to_read = prompt.tokens.saturating_sub(choice.held + choice.fetched);
        let read = member.rate.read_ms(to_read);
        let fetch = choice.fetched_at.saturating_sub(now).as_secs_f64() * 1000.0;
        let room = self.spec.as_ref().map_or(u64::MAX, |spec| spec.cache_tokens);
        let tokens = prompt.tokens + prompt.output_tokens;
        let wait = |rank: u8| {
            let new = NewRequest { rank, tokens, peers: ask.peers };
            let wait = member.wait_ms(now, new, room).max(fetch);
            wait + member.delay_ms(now, wait + read, prompt.output_tokens)
        };
        choice.rank = prompt.rank.min(RANK_MAX);
        let mut wait_ms = wait(choice.rank);
        let mut late_ms = 0.0;
        if wait_ms + read > ask.on_time.as_secs_f64() * 1000.0 * LATE_FACTOR {
            choice.rank += RANK_MAX + 1;
            wait_ms = wait(choice.rank);
            late_ms = LATE_MS;
        }
        choice.expected =
            Duration::try_from_secs_f64((wait_ms + read) / 1000.0).unwrap_or(ask.left);
        let kilobytes = u64::try_from(prompt.bytes / 1024).unwrap_or(u64::MAX);
        let cost = wait_ms
            + late_ms
            + read * (1.0 + WORK_WEIGHT)
            + fetch * TRANSFER_WEIGHT
            + member.disturbance_ms(read, prompt.output_tokens)
            + self.away_ms(member, kilobytes)
            + self.outdated_ms(now, ask, member)
            + tie_ms(member, home(ask, prompt));
        Estimate { choice, cost }
    }

    /// What a version of the weights means for the parts of a prompt.
    fn parts(&self, now: Now, prompt: &Prompt, version: u64) -> Parts<'_> {
        let salt = salt(&prompt.model, version, prompt.wall.as_deref());
        let keys = prompt.keys(&salt);
        let sources = self.sources(now, &keys[..prompt.shared().len()]);
        Parts { salt, keys, sources }
    }

    fn away_ms(&self, member: &Member, kilobytes: u64) -> f64 {
        if member.upstream.failure_domain == self.failure_domain {
            return 0.0;
        }
        AWAY_MS + AWAY_MS_PER_KB * as_f64(kilobytes)
    }

    /// How long ago the first version was named that is newer than the one that `member` serves.
    fn outdated(&self, now: Now, ask: &Ask<'_>, member: &Member) -> Option<Duration> {
        let model = &ask.prompt?.model;
        let version = *member.versions.get(model)?;
        let newer = self.named.get(model)?.iter().find(|named| named.version > version)?;
        Some((now + ask.suspended).saturating_sub(newer.since))
    }

    /// Whether requests must not begin on the weights of `member` any more.
    fn is_expired(&self, now: Now, ask: &Ask<'_>, member: &Member) -> bool {
        self.outdated(now, ask, member).is_some_and(|time| time >= ask.version_time)
    }

    /// Cost of outdated weights: answers on them are worth less.
    fn outdated_ms(&self, now: Now, ask: &Ask<'_>, member: &Member) -> f64 {
        self.outdated(now, ask, member).map_or(0.0, |_| OUTDATED_MS)
    }
}

fn choice(now: Now, member: &Member, expected_ms: f64) -> Choice {
    Choice {
        upstream: Arc::clone(&member.upstream),
        version: None,
        rank: 0,
        salt: None,
        held: 0,
        fetched: 0,
        fetch_from: None,
        fetched_at: now,
        save_to: None,
        expected: Duration::from_secs_f64(expected_ms / 1000.0),
    }
}

/// Requests with the same shared parts prefer the same upstream among equals.
fn home(ask: &Ask<'_>, prompt: &Prompt) -> u64 {
    prompt.shared().last().map_or(ask.spread, |part| part.id)
}

fn tie_ms(member: &Member, seed: u64) -> f64 {
    const STEPS: u64 = 1024;
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(member.upstream.id.as_bytes(), seed);
    as_f64(hash % STEPS) / as_f64(STEPS) * TIE_MS
}
