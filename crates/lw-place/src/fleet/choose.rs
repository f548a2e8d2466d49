//! The choice for one request.

use super::{
    Arc, Ask, Choice, Duration, Fleet, LOAD_AGE_MAX, Member, Now, Prompt, Refusal, Stage, salt,
};

/// Prompt tokens that an engine reads in a millisecond, until timings say otherwise.
const READ_TOKENS_PER_MS: f64 = 100.0;
/// Time that one more running request adds to the work of the others.
const CROWD_MS: f64 = 4.0;
/// Cost of a request to another failure domain, in milliseconds of engine time.
const DOMAIN_MS: f64 = 60.0;
/// Cost of weights that were replaced, in milliseconds of engine time.
const OUTDATED_MS: f64 = 200.0;
/// Least tokens of shared parts that are fetched or saved. Transfers of an engine run one after another, so a small
/// one waits behind large ones for longer than its tokens take to read.
const MOVE_MIN_TOKENS: u64 = 1000;
/// Tokens that the link of an engine moves in a millisecond.
const FETCH_TOKENS_PER_MS: f64 = 500.0;

impl Fleet {
    /// Chooses an upstream for a request.
    ///
    /// # Errors
    ///
    /// Why none can take it.
    pub fn choose(&self, now: Now, ask: &Ask<'_>) -> Result<Choice, Refusal> {
        let ready = || self.members.values().filter(|m| m.upstream.stage == Stage::Ready);
        let open = ready().filter(|m| !ask.tried.contains(&m.upstream.id) && now >= m.hold_until);
        let mut open: Vec<_> = open.collect();
        // Without any engine that serves newer weights the rollout is stuck, and old answers are better than none.
        if ready().any(|member| !self.is_expired(now, ask, member)) {
            open.retain(|member| !self.is_expired(now, ask, member));
        }
        if open.is_empty() {
            return Err(if self.ready() == 0 { Refusal::None } else { Refusal::Tried });
        }
        let sound: Vec<_> = open.iter().copied().filter(|m| now >= m.avoid_until).collect();
        let usable = if sound.is_empty() { open } else { sound };
        let scored = usable.into_iter().map(|member| self.score(now, ask, member));
        let best = scored.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, choice)| choice).ok_or(Refusal::None)
    }

    fn score(&self, now: Now, ask: &Ask<'_>, member: &Member) -> (f64, Choice) {
        let upstream = &member.upstream;
        let away = if upstream.failure_domain == self.failure_domain { 0.0 } else { DOMAIN_MS };
        let version = ask.prompt.and_then(|prompt| member.versions.get(&prompt.model).copied());
        let salt = ask
            .prompt
            .zip(version)
            .map(|(prompt, version)| salt(&prompt.model, version, prompt.wall.as_deref()));
        let (mut held, mut fetch) = (0, 0);
        let (mut fetch_from, mut save_to) = (None, None);
        if let (Some(prompt), Some(salt)) = (ask.prompt, &salt) {
            held = member.cache.tokens(salt, prompt);
            if let Some(store) =
                self.store.as_ref().filter(|_| held + MOVE_MIN_TOKENS < prompt.shared_tokens())
            {
                fetch = store.view.tokens(salt, prompt).saturating_sub(held);
                fetch_from = Some(store.addr);
                save_to = (held + fetch < prompt.shared_tokens()).then_some(store.addr);
            }
        }
        let tokens = ask.prompt.map_or(0, |prompt| prompt.tokens);
        let read = as_f64(tokens.saturating_sub(held + fetch)) / READ_TOKENS_PER_MS;
        let work = read + as_f64(fetch) / FETCH_TOKENS_PER_MS;
        let wait = member.wait_ms(now) + self.crowd_ms(member, ask.prompt);
        let tie =
            as_f64(xxhash_rust::xxh3::xxh3_64_with_seed(upstream.id.as_bytes(), ask.home()) % 1024);
        let expected = Duration::from_secs_f64((wait + work) / 1000.0);
        let choice = Choice {
            upstream: Arc::clone(upstream),
            version,
            salt,
            held,
            fetch_from,
            save_to,
            expected,
        };
        let outdated = self.outdated_ms(now, ask, member);
        (wait + work + away + outdated + tie / 512.0, choice)
    }

    /// How long ago the first version was named that is newer than the one that `member` serves.
    fn outdated(&self, now: Now, ask: &Ask<'_>, member: &Member) -> Option<Duration> {
        let model = &ask.prompt?.model;
        let version = *member.versions.get(model)?;
        let newer = self.named.get(model)?.iter().find(|named| named.version > version)?;
        Some(now.saturating_sub(newer.since))
    }

    /// Whether requests must not begin on the weights of `member` any more.
    fn is_expired(&self, now: Now, ask: &Ask<'_>, member: &Member) -> bool {
        self.outdated(now, ask, member).is_some_and(|time| time >= ask.version_time)
    }

    /// Cost of outdated weights: answers on them are worth less.
    fn outdated_ms(&self, now: Now, ask: &Ask<'_>, member: &Member) -> f64 {
        self.outdated(now, ask, member).map_or(0.0, |_| OUTDATED_MS)
    }

    /// Cost of memory that is short: the request waits until others end.
    fn crowd_ms(&self, member: &Member, prompt: Option<&Prompt>) -> f64 {
        let (Some(spec), Some(prompt)) = (&self.spec, prompt) else { return 0.0 };
        let used: u64 = member.flights.values().map(|flight| flight.tokens).sum();
        let over = (used + prompt.tokens).saturating_sub(spec.cache_tokens);
        as_f64(over) / READ_TOKENS_PER_MS
    }
}

impl Member {
    fn wait_ms(&self, now: Now) -> f64 {
        let unread = self.flights.values().filter(|flight| !flight.has_started);
        let own: f64 = unread
            .map(|flight| {
                let since = now.saturating_sub(flight.sent).as_secs_f64() * 1000.0;
                (as_f64(flight.to_read) / READ_TOKENS_PER_MS - since).max(0.0)
            })
            .sum();
        let load = self.load.filter(|(at, _)| now.saturating_sub(*at) < LOAD_AGE_MAX);
        let stated = load.map_or(0, |(_, load)| u64::from(load.running + 3 * load.waiting));
        let running = u64::try_from(self.flights.len()).unwrap_or(u64::MAX).max(stated);
        own + as_f64(running) * CROWD_MS
    }
}

impl Ask<'_> {
    /// Requests with the same shared parts prefer the same upstream among equals.
    fn home(&self) -> u64 {
        match self.prompt.and_then(|prompt| prompt.shared().last()) {
            Some(part) => part.id,
            None => self.spread,
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
fn as_f64(count: u64) -> f64 {
    count as f64
}
