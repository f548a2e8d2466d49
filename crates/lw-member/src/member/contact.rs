//! First contact, comparison of views and contact with members that were lost.

use std::{net::SocketAddr, time::Duration};

use lw_types::prelude::*;

use super::Member;
use crate::{
    action::Action,
    message::{Body, MemberUpdate, Message},
    options::ListedVm,
    view::{BUCKETS, MemberState, Peer},
};

/// Contacts tried at once on a join.
const JOIN_CONTACTS: usize = 2;
/// Time between two attempts to join.
const JOIN_EVERY: Duration = Duration::from_millis(300);
/// Time after a comparison that brought news.
const SYNC_AGAIN: Duration = Duration::from_millis(500);
/// Time between two comparisons otherwise.
const SYNC_EVERY: Duration = Duration::from_secs(5);
/// Time for which a neighbour's digest must differ before views are compared.
const DISAGREE: Duration = Duration::from_secs(2);
/// Time by which the platform's list may lag, assumed. Without it each reader of an old `leaving` entry would
/// make the member refute again.
const LIST_LAG: Duration = Duration::from_secs(60);
/// Age up to which a member compares views more often, because after a restart of the whole fleet all
/// views are incomplete.
const YOUNG: Duration = Duration::from_secs(60);
/// Members in one reply to a comparison; about 2.5 KB.
const SYNC_MEMBERS: usize = 64;
/// Change younger than this may not have reached the other view yet.
const SETTLED: Duration = Duration::from_secs(3);
/// Time between two attempts to contact a lost member, for each known member. The fleet then makes 12
/// attempts a second whatever its size, which bounds the refutations when a partition ends.
const REACH_PER_MEMBER: Duration = Duration::from_millis(80);
/// Lower bound of the time between two such attempts.
const REACH_MIN: Duration = Duration::from_secs(5);

/// State of first contact and comparison.
#[derive(Debug, Default)]
pub(super) struct Contact {
    listed: Vec<ListedVm>,
    joined: bool,
    started: Now,
    next_sync: Now,
    next_reach: Now,
    disagree: Option<(VmId, Now)>,
    told: Option<(VmId, Now)>,
}

impl Contact {
    pub(super) fn new(now: Now) -> Self {
        Self { started: now, ..Self::default() }
    }
}

impl Member {
    /// Takes the platform's list of VMs. It lags: it serves for first contact, and its `leaving` entries
    /// exclude a member only until that member itself says otherwise. An entry about a member that has
    /// started or refuted within the last minute is taken for an old one.
    ///
    /// ```
    /// use lw_member::{ListedVm, Member, Options};
    /// let now = std::time::Duration::ZERO;
    /// let options = Options::new("vm-1", "10.0.0.1:7400".parse().unwrap(), "kochi-1", 1);
    /// let mut member = Member::new(now, options);
    /// let address = "10.0.0.2:7400".parse().unwrap();
    /// member.on_platform_list(now, &[ListedVm { id: "vm-2".into(), address, leaving: false }]);
    /// assert!(!member.tick(now).actions.is_empty());
    /// ```
    pub fn on_platform_list(&mut self, now: Now, list: &[ListedVm]) -> Vec<Action> {
        let mut out = Vec::new();
        let newly_leaving = |entry: &&ListedVm| {
            entry.leaving
                && !self.contact.listed.iter().any(|old| old.id == entry.id && old.leaving)
        };
        let leaving: Vec<_> = list.iter().filter(newly_leaving).map(|e| e.id.clone()).collect();
        for id in leaving {
            let is_settled = |p: &&Peer| p.is_selectable() && now >= p.changed_at + LIST_LAG;
            let Some(peer) = self.view.get(&id).filter(is_settled) else { continue };
            if id != self.options.id {
                let card = peer.to_info();
                self.learn(now, MemberUpdate::Leaving(card), &mut out);
            }
        }
        self.contact.listed = list.to_vec();
        out
    }

    pub(super) fn contact(&mut self, now: Now, out: &mut Vec<Action>) {
        if !self.contact.joined && now >= self.contact.next_sync {
            self.contact.next_sync = now + JOIN_EVERY + self.jitter(JOIN_EVERY);
            let mut addresses = self.contact_addresses();
            self.rng.shuffle(&mut addresses);
            for to in addresses.into_iter().take(JOIN_CONTACTS) {
                self.send_sync(now, to, out);
            }
        }
        let is_young = now < self.contact.started + YOUNG;
        let (patience, pause) =
            if is_young { (SYNC_AGAIN, SYNC_AGAIN) } else { (DISAGREE, SYNC_EVERY) };
        let due = self.contact.disagree.as_ref().filter(|(_, since)| now >= *since + patience);
        if let Some((id, _)) = due.filter(|_| self.contact.joined && now >= self.contact.next_sync)
        {
            let to = self.view.get(id).map(|p| p.address);
            self.contact.disagree = None;
            self.contact.next_sync = now + pause / 2 + self.jitter(pause);
            if let Some(to) = to {
                self.send_sync(now, to, out);
            }
        }
        if now >= self.contact.next_reach {
            let size = u32::try_from(self.view.len()).unwrap_or(u32::MAX);
            let pause = (REACH_PER_MEMBER * size).max(REACH_MIN);
            self.contact.next_reach = now + pause / 2 + self.jitter(pause);
            self.reach_out(now, out);
        }
    }

    fn send_sync(&mut self, now: Now, to: SocketAddr, out: &mut Vec<Action>) {
        let buckets = self.view.buckets().to_vec();
        let mut message = self.message(now, Body::Sync(buckets));
        message.updates.push(self.own_news());
        out.push(Action::Send { to, message });
    }

    /// Addresses from settings, the platform's list and the view, without this VM's own.
    fn contact_addresses(&self) -> Vec<SocketAddr> {
        let listed = self.contact.listed.iter().map(|entry| entry.address);
        let known = self.view.iter().filter(|p| p.is_member()).map(|p| p.address);
        let mut all: Vec<_> =
            self.options.seeds.iter().copied().chain(listed).chain(known).collect();
        all.sort_unstable();
        all.dedup();
        all.retain(|address| *address != self.options.address);
        all
    }

    /// Contacts one VM that should be there but is not a member in this view.
    fn reach_out(&mut self, now: Now, out: &mut Vec<Action>) {
        let members: std::collections::BTreeSet<SocketAddr> =
            self.view.iter().filter(|p| p.is_member()).map(|p| p.address).collect();
        let lost = self.view.iter().filter(|p| !p.is_member()).map(|p| p.address);
        let mut lost: Vec<_> = lost.chain(self.contact_addresses()).collect();
        lost.retain(|address| !members.contains(address) && *address != self.options.address);
        let Some(to) = self.rng.choice(lost) else { return };
        let suspicion = self.view.iter().find(|p| p.address == to).map(Peer::to_update);
        let mut message = self.message(now, Body::Probe);
        message.updates.extend(suspicion);
        message.updates.push(self.own_news());
        out.push(Action::Send { to, message });
    }

    /// Reply to a comparison: members of buckets that differ, from a random bucket on.
    pub(super) fn members_for(&mut self, buckets: &[u32], news: &mut Vec<MemberUpdate>) -> Body {
        let start = self.rng.usize(..BUCKETS);
        let mut full = Vec::new();
        let own = *self.view.buckets();
        for index in (0..BUCKETS).map(|step| (start + step) % BUCKETS) {
            if buckets.get(index) == Some(&own[index]) {
                continue;
            }
            if news.len() >= SYNC_MEMBERS {
                break;
            }
            news.extend(self.view.bucket(index).map(Peer::to_update));
            full.extend(u8::try_from(index));
        }
        Body::Members(full)
    }

    /// Takes the reply to a comparison.
    pub(super) fn take_members(
        &mut self,
        now: Now,
        message: &Message,
        full: &[u8],
        out: &mut Vec<Action>,
    ) {
        let mut progress = false;
        let mut refused = Vec::new();
        for news in &message.updates {
            let (id, incarnation) = news.subject();
            if self.merge(now, news, out) {
                progress = true;
            } else if self.view.get(id).is_some_and(|p| {
                p.incarnation == incarnation
                    && matches!(p.state, MemberState::Suspect | MemberState::Removed)
            }) {
                refused.push(id.clone());
            }
        }
        let named: std::collections::BTreeSet<&VmId> =
            message.updates.iter().map(|news| news.subject().0).collect();
        let extra: Vec<VmId> = full
            .iter()
            .flat_map(|index| self.view.bucket(usize::from(*index)))
            .filter(|p| !named.contains(&p.id) && p.id != self.options.id)
            .filter(|p| {
                now >= p.changed_at + SETTLED && p.last_message.is_none_or(|at| now >= at + SETTLED)
            })
            .map(|p| p.id.clone())
            .collect();
        for id in &extra {
            self.dispute(now, id);
        }
        for id in refused.into_iter().filter(|id| *id != message.from).take(1) {
            self.send_notice(now, &id, out);
        }
        let agreed = message.digest == self.view.digest();
        if agreed || !progress {
            self.contact.joined = true;
        } else {
            self.contact.next_sync = now + SYNC_AGAIN / 2 + self.jitter(SYNC_AGAIN);
        }
    }

    /// Tells a member that it is held as silent, so that it refutes this.
    fn send_notice(&mut self, now: Now, id: &str, out: &mut Vec<Action>) {
        let Some((to, news)) = self.view.get(id).map(|p| (p.address, p.to_update())) else {
            return;
        };
        let mut message = self.message(now, Body::Probe);
        message.updates.push(news);
        out.push(Action::Send { to, message });
    }

    /// Compares the digest of a ring neighbour with the own one.
    pub(super) fn compare(&mut self, now: Now, message: &Message) {
        if message.digest == self.view.digest() {
            if self.contact.disagree.as_ref().is_some_and(|(id, _)| *id == message.from) {
                self.contact.disagree = None;
            }
        } else if self.contact.disagree.is_none() {
            // Who sends these holds this VM for its neighbour, even if the own view says otherwise.
            let is_direct = matches!(message.body, Body::Heartbeat | Body::Probe);
            if is_direct || self.detect.is_neighbour(&message.from) {
                self.contact.disagree = Some((message.from.clone(), now));
            }
        }
    }

    /// Repeats recent changes to a successor whose reply shows another view, once per heartbeat.
    pub(super) fn repeat_to(&mut self, now: Now, message: &Message, out: &mut Vec<Action>) {
        let differs = message.digest != self.view.digest();
        if !differs || !self.detect.is_neighbour(&message.from) {
            return;
        }
        let pause = self.options.timings.heartbeat_interval;
        if self
            .contact
            .told
            .as_ref()
            .is_some_and(|(id, at)| *id == message.from && now < *at + pause)
        {
            return;
        }
        let mut news = Vec::new();
        self.gossip.repeat(now, &self.view, &mut news);
        let Some(to) = self.view.get(&message.from).map(|p| p.address) else { return };
        if !news.is_empty() {
            self.contact.told = Some((message.from.clone(), now));
            let mut message = self.message(now, Body::Gossip);
            message.updates = news;
            out.push(Action::Send { to, message });
        }
    }
}
