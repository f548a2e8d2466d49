//! The books of what was sent: own attempts, and those that other VMs announce.

use super::{Choice, Ended, Fleet, FlightId, Member, Now, PartKey, Prompt, Ticket, member::Flight};
use lw_types::prelude::*;

use std::time::Duration;

/// Time for which an upstream that failed gets no work while others can take it.
const AVOID_TIME: Duration = Duration::from_millis(1500);
/// Time for which an upstream that did not run a request gets no further one.
const NOT_RUN_TIME: Duration = Duration::from_millis(300);
/// Least memory of an attempt that other VMs are told of, in tokens. Smaller ones change no choice.
const ANNOUNCED_MIN_TOKENS: u64 = 1500;
/// Time after which an attempt of another VM is dropped, since the message about its end may be lost.
const FOREIGN_TIME: Duration = Duration::from_secs(7);

/// An attempt that other VMs are told of.
#[derive(Debug, Clone, PartialEq)]
pub struct Announced {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Number of the attempt at the VM that sent it.
    pub ticket: Ticket,
    /// Memory that it takes, in tokens.
    pub tokens: u64,
    /// Tokens of its prompt that the engine has to read.
    pub to_read: u64,
    /// Tokens of its answer.
    pub output_tokens: u64,
    /// Rank, 0 is the most urgent.
    pub rank: u8,
    /// Shared parts that it reads or fetches.
    pub parts: Vec<(PartKey, u64)>,
    /// Time until its parts that come from elsewhere are there.
    pub fetch_time: Duration,
    /// Whether the engine sends the parts to the store of KV cache.
    pub is_saved: bool,
}

impl Fleet {
    /// Records an attempt that is about to be sent. Large ones are to be announced to the other VMs.
    pub fn sent(
        &mut self,
        now: Now,
        choice: &Choice,
        prompt: Option<&Prompt>,
    ) -> (Ticket, Option<Announced>) {
        self.last_ticket += 1;
        let announced = self.announcement(now, choice, prompt);
        self.record(now, VmId::new(), &announced);
        if let Some(from) = choice.fetch_from {
            self.count_transfer(from, choice.fetched_at);
        }
        let is_large = is_large(announced.tokens);
        (self.last_ticket, is_large.then_some(announced))
    }

    fn announcement(&self, now: Now, choice: &Choice, prompt: Option<&Prompt>) -> Announced {
        let parts = prompt.zip(choice.salt.as_ref()).map(|(prompt, salt)| prompt.keys(salt));
        let moved = choice.held + choice.fetched;
        Announced {
            upstream: choice.upstream.id.clone(),
            ticket: self.last_ticket,
            tokens: prompt.map_or(0, |prompt| prompt.tokens + prompt.output_tokens),
            to_read: prompt.map_or(0, |prompt| prompt.tokens.saturating_sub(moved)),
            output_tokens: prompt.map_or(0, |prompt| prompt.output_tokens),
            rank: choice.rank,
            parts: parts.unwrap_or_default(),
            fetch_time: choice.fetched_at.saturating_sub(now),
            is_saved: choice.save_to.is_some(),
        }
    }

    /// Records an attempt of another VM.
    pub fn announced(&mut self, now: Now, vm: &str, announced: &Announced) {
        self.record(now, vm.to_owned(), announced);
    }

    fn record(&mut self, now: Now, vm: VmId, sent: &Announced) {
        let Some(member) = self.members.get_mut(&sent.upstream) else { return };
        let flight = Flight {
            tokens: sent.tokens,
            to_read: sent.to_read,
            output_tokens: sent.output_tokens,
            rank: sent.rank,
            sent: now,
            fetched: now + sent.fetch_time,
            started: None,
            parts: sent.parts.clone(),
        };
        for (key, tokens) in &sent.parts {
            member.cache.insert(now, *key, *tokens, false);
        }
        if !sent.fetch_time.is_zero() {
            member.link_free = member.link_free.max(flight.fetched);
        }
        member.flights.insert((vm, sent.ticket), flight);
        if let Some(store) = self.store.as_mut().filter(|_| sent.is_saved) {
            for (key, tokens) in &sent.parts {
                store.view.insert(now, *key, *tokens, false);
            }
        }
    }

    /// The first event or the head of an own answer came.
    pub fn started(&mut self, now: Now, id: &str, ticket: Ticket) {
        self.start(now, id, &(VmId::new(), ticket));
    }

    /// The first event of another VM's answer came.
    pub fn announced_start(&mut self, now: Now, vm: &str, id: &str, ticket: Ticket) {
        self.start(now, id, &(vm.to_owned(), ticket));
    }

    fn start(&mut self, now: Now, id: &str, flight: &FlightId) {
        let Some(member) = self.members.get_mut(id) else { return };
        let Some(flight) = member.flights.get_mut(flight) else { return };
        if flight.started.is_some() {
            return;
        }
        flight.started = Some(now);
        let begin = flight.sent.max(flight.fetched).max(member.last_start);
        member.rate.observe(flight.to_read, now.saturating_sub(begin));
        if flight.to_read >= ANNOUNCED_MIN_TOKENS {
            member.last_start = now;
        }
        for (key, tokens) in &flight.parts {
            member.cache.insert(now, *key, *tokens, true);
        }
        if let Some(store) = &mut self.store {
            store.read(now, &flight.parts);
        }
    }

    /// An own attempt ended.
    pub fn ended(&mut self, now: Now, id: &str, ticket: Ticket, how: Ended) {
        self.end(now, id, &(VmId::new(), ticket), how);
        let Some(member) = self.members.get_mut(id) else { return };
        match how {
            Ended::Failed => member.avoid_until = now + AVOID_TIME,
            Ended::NotRun => member.hold_until = member.hold_until.max(now + NOT_RUN_TIME),
            Ended::Complete | Ended::Cancelled => {}
        }
    }

    /// An attempt of another VM ended.
    pub fn announced_end(&mut self, now: Now, vm: &str, id: &str, ticket: Ticket, how: Ended) {
        self.end(now, id, &(vm.to_owned(), ticket), how);
    }

    fn end(&mut self, now: Now, id: &str, flight: &FlightId, how: Ended) {
        let Some(member) = self.members.get_mut(id) else { return };
        let Some(flight) = member.flights.remove(flight) else { return };
        if let Some(started) = flight.started.filter(|_| how == Ended::Complete) {
            let time = now.saturating_sub(started);
            member.rate.observe_written(flight.output_tokens, time);
            member.rate.observe_held(time);
        }
        if flight.started.is_none() && how != Ended::Complete {
            forget_unread(member, &flight);
        }
    }

    /// Attempts that have not ended, those of other VMs included.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.members.values().map(|member| member.flights.len()).sum()
    }

    /// Drops attempts of other VMs whose end was not heard of.
    pub fn tick(&mut self, now: Now) {
        for member in self.members.values_mut() {
            member.flights.retain(|(vm, _), flight| {
                vm.is_empty() || now.saturating_sub(flight.sent) < FOREIGN_TIME
            });
        }
    }
}

fn is_large(tokens: u64) -> bool {
    tokens >= ANNOUNCED_MIN_TOKENS
}

/// Whether the other VMs were told of an attempt.
pub(super) fn is_announced(flight: &Flight) -> bool {
    is_large(flight.tokens)
}

/// Parts that nobody else reads either are not held.
fn forget_unread(member: &mut Member, flight: &Flight) {
    for (key, tokens) in &flight.parts {
        let is_read = member.cache.fetchable(&[(*key, *tokens)]) == *tokens;
        let reads = |f: &Flight| f.parts.iter().any(|(part, _)| part == key);
        if !is_read && !member.flights.values().any(reads) {
            member.cache.forget(*key);
        }
    }
}
