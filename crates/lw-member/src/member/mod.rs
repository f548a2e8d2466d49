//! One member: handles ticks, messages, the platform's VM list and store results, and returns actions.

use std::time::Duration;

use lw_types::prelude::*;

use crate::{
    action::Action,
    config::Config,
    message::{Body, MemberInfo, MemberUpdate, Message},
    options::Options,
    view::{MemberState, Peer, View},
};

mod detect;
mod gossip;
mod sync;

/// Random draws for each member to be selected; in a small fleet, or with many dead members, some draws fail.
const DRAWS_PER_MEMBER: usize = 8;

/// Result of a tick.
#[derive(Debug)]
pub struct Tick {
    /// Actions to perform now.
    pub actions: Vec<Action>,
    /// Time of the next tick. A tick may be called earlier; a later one delays the detection of failures.
    pub next: Now,
}

/// Membership and configuration of one VM.
#[derive(Debug)]
pub struct Member {
    pub(crate) options: Options,
    pub(crate) rng: fastrand::Rng,
    incarnation: Incarnation,
    is_leaving: bool,
    pub(crate) view: View,
    gossip: gossip::GossipQueue,
    detector: detect::FailureDetector,
    sync: sync::SyncState,
    pub(crate) config: Config,
}

impl Member {
    /// Creates a member that starts at `now`. It sends nothing before the first tick.
    ///
    /// ```
    /// use lw_member::{Member, Options};
    /// let now = std::time::Duration::ZERO;
    /// let options = Options::new("vm-1", "10.0.0.1:7400".parse().unwrap(), "kochi-1", 1);
    /// let mut member = Member::new(now, options);
    /// let tick = member.tick(now);
    /// assert!(tick.next > now);
    /// ```
    #[must_use]
    pub fn new(now: Now, options: Options) -> Self {
        let mut rng = fastrand::Rng::with_seed(options.seed);
        let phase = options.timings.heartbeat_interval.mul_f64(rng.f64());
        let config = Config::new(now, options.bootstrap.clone());
        let mut member = Self {
            incarnation: options.incarnation,
            is_leaving: false,
            view: View::default(),
            gossip: gossip::GossipQueue::new(now),
            detector: detect::FailureDetector::new(now, now + phase),
            sync: sync::SyncState::new(now),
            config,
            rng,
            options,
        };
        let own = member.own_update();
        member.view.apply(now, &own);
        member.gossip.enqueue(now, own, 1);
        member
    }

    /// Performs the work that is due at `now`: failure detection, sync, configuration and gossip.
    pub fn tick(&mut self, now: Now) -> Tick {
        let mut out = Vec::new();
        self.tick_detector(now, &mut out);
        self.tick_sync(now, &mut out);
        self.tick_config(now, &mut out);
        if now >= self.gossip.next_round && !self.gossip.is_empty() {
            self.send_gossip(now, gossip::FANOUT, &mut out);
        }
        Tick { actions: out, next: now + self.options.timings.gossip_interval }
    }

    /// Handles a request of a peer and returns the reply and further actions.
    ///
    /// ```
    /// use lw_member::{Action, Member, Options};
    /// let now = std::time::Duration::ZERO;
    /// let address = |n: u8| std::net::SocketAddr::from(([10, 0, 0, n], 7400));
    /// let mut first = Member::new(now, Options::new("vm-1", address(1), "kochi-1", 1));
    /// let mut options = Options::new("vm-2", address(2), "kochi-2", 1);
    /// options.seeds = vec![address(1)];
    /// let mut second = Member::new(now, options);
    /// let actions = second.tick(now).actions;
    /// let Some(Action::Send { message, .. }) =
    ///     actions.iter().find(|action| matches!(action, Action::Send { to, .. } if *to == address(1)))
    /// else {
    ///     panic!("no sync message")
    /// };
    /// let (reply, _) = first.on_request(now, message);
    /// second.on_reply(now, &reply);
    /// assert!(first.peer("vm-2").is_some() && second.peer("vm-1").is_some());
    /// ```
    pub fn on_request(&mut self, now: Now, message: &Message) -> (Message, Vec<Action>) {
        let mut out = Vec::new();
        if message.from == self.options.id {
            return (self.message(now, Body::Gossip), out);
        }
        self.apply_message(now, message, &mut out);
        let mut updates = Vec::new();
        let listed_incarnation = self.view.get(&message.from).map(|p| p.incarnation);
        let body = match &message.body {
            Body::Fetch(version) => self.config.fetch_reply(*version),
            Body::Sync(buckets) => self.sync_reply(buckets, &mut updates),
            Body::ProbeFor(id, address) => {
                self.add_indirect_probe(message.from.clone(), id.clone());
                let probe = self.message(now, Body::Probe);
                out.push(Action::Send { to: *address, message: probe });
                Body::Gossip
            }
            Body::Introduce => {
                updates.push(self.own_update());
                Body::Gossip
            }
            _ if listed_incarnation.is_none_or(|listed| listed < message.incarnation) => {
                Body::Introduce
            }
            _ => self.config.reply_to_older_version(message.version),
        };
        let has_other_view = message.digest != self.view.digest();
        if has_other_view && matches!(message.body, Body::Heartbeat) {
            self.gossip.append_recent_exclusions(now, &self.view, &mut updates);
        }
        updates.extend(self.correction_for(now, message));
        let mut reply = self.message(now, body);
        updates.retain(|item| !reply.updates.contains(item));
        reply.updates.append(&mut updates);
        (reply, out)
    }

    /// Handles the reply to a request that this member sent. Late and duplicate replies have no effect.
    pub fn on_reply(&mut self, now: Now, message: &Message) -> Vec<Action> {
        let mut out = Vec::new();
        if message.from == self.options.id {
            return out;
        }
        self.apply_message(now, message, &mut out);
        self.confirm_indirect_probes(now, message, &mut out);
        self.repeat_exclusions(now, message, &mut out);
        let sender = self.view.get(&message.from).map(|p| (p.incarnation, p.address));
        if let Some((incarnation, to)) = sender {
            if matches!(message.body, Body::Introduce) {
                let mut introduction = self.message(now, Body::Gossip);
                introduction.updates.push(self.own_update());
                out.push(Action::Send { to, message: introduction });
            } else if incarnation < message.incarnation {
                let request = self.message(now, Body::Introduce);
                out.push(Action::Send { to, message: request });
            }
        }
        out
    }

    /// Marks this VM as leaving and announces it to the others. It cannot become alive again without a restart.
    ///
    /// ```
    /// use lw_member::{Member, Options, MemberState};
    /// let now = std::time::Duration::ZERO;
    /// let options = Options::new("vm-1", "10.0.0.1:7400".parse().unwrap(), "kochi-1", 1);
    /// let mut member = Member::new(now, options);
    /// member.leave(now);
    /// assert_eq!(member.local_peer().state, MemberState::Leaving);
    /// assert!(member.owners(b"key", 1).is_empty());
    /// ```
    pub fn leave(&mut self, now: Now) -> Vec<Action> {
        let mut out = Vec::new();
        if !self.is_leaving {
            self.is_leaving = true;
            self.announce_self(now, &mut out);
        }
        out
    }

    /// Iterates over all peers in the view, including this VM and removed ones, in the order of the ring.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.view.iter()
    }

    /// Returns the peer with this name.
    #[must_use]
    pub fn peer(&self, id: &str) -> Option<&Peer> {
        self.view.get(id)
    }

    /// Returns the entry of this VM in its own view.
    ///
    /// # Panics
    ///
    /// Never: a member is always in its own view.
    #[must_use]
    pub fn local_peer(&self) -> &Peer {
        self.view.get(&self.options.id).unwrap_or_else(|| unreachable!("not in its own view"))
    }

    /// Returns the `count` alive members that own `key`, the highest-ranked first, by rendezvous hashing. All
    /// members with the same view return the same owners, and a change of one member moves only its own keys.
    ///
    /// ```
    /// use lw_member::{Member, Options};
    /// let now = std::time::Duration::ZERO;
    /// let options = Options::new("vm-1", "10.0.0.1:7400".parse().unwrap(), "kochi-1", 1);
    /// let member = Member::new(now, options);
    /// assert_eq!(member.owners(b"workspace/station", 1)[0].id, "vm-1");
    /// ```
    #[must_use]
    pub fn owners(&self, key: &[u8], count: usize) -> Vec<&Peer> {
        self.view.owners(key, count)
    }

    fn own_info(&self) -> MemberInfo {
        MemberInfo {
            id: self.options.id.clone(),
            incarnation: self.incarnation,
            address: self.options.address,
            domain: self.options.domain.clone(),
        }
    }

    fn own_update(&self) -> MemberUpdate {
        let info = self.own_info();
        if self.is_leaving { MemberUpdate::Leaving(info) } else { MemberUpdate::Alive(info) }
    }

    /// Applies the state of this VM to its own view and sends it to random members.
    fn announce_self(&mut self, now: Now, out: &mut Vec<Action>) {
        let own = self.own_update();
        self.view.apply(now, &own);
        self.gossip.enqueue(now, own, self.view.len());
        self.send_gossip(now, gossip::URGENT_FANOUT, out);
    }

    /// Applies a received message: its sender, updates, digest and configuration.
    fn apply_message(&mut self, now: Now, message: &Message, out: &mut Vec<Action>) {
        self.record_sender(now, message, out);
        let mut has_urgent = false;
        if let Body::Members(complete_buckets) = &message.body {
            self.apply_sync_reply(now, message, complete_buckets, out);
        } else {
            for update in &message.updates {
                if self.apply_update(now, update, out) {
                    self.gossip.enqueue(now, update.clone(), self.view.len());
                    has_urgent |= !matches!(update, MemberUpdate::Alive(_));
                }
            }
        }
        if !message.updates.is_empty() {
            // The updates may have added the sender's incarnation, which was unknown before them.
            self.view.record_message(now, &message.from, message.incarnation, message.version);
        }
        if let Body::Vouch(id, incarnation) = &message.body {
            self.view.record_message(now, id, *incarnation, 0);
        }
        if has_urgent {
            self.broadcast_urgent(now, out);
        }
        self.compare_digests(now, message);
        self.apply_config_message(now, message, out);
    }

    /// Applies one update; returns whether the state of another member changed.
    fn apply_update(&mut self, now: Now, update: &MemberUpdate, out: &mut Vec<Action>) -> bool {
        let (id, incarnation) = update.subject();
        if *id == self.options.id {
            self.refute(now, update, incarnation, out);
            return false;
        }
        let has_changed = self.view.apply(now, update);
        if let Some(peer) = self.view.get(id).filter(|_| has_changed) {
            out.push(Action::MemberChanged { id: id.clone(), state: peer.state });
        }
        has_changed
    }

    /// Applies an update that this member has made and broadcasts it.
    fn apply_and_broadcast(&mut self, now: Now, update: MemberUpdate, out: &mut Vec<Action>) {
        if self.apply_update(now, &update, out) {
            self.gossip.enqueue(now, update, self.view.len());
            self.broadcast_urgent(now, out);
        }
    }

    /// Refutes a wrong update about this VM by announcing a higher incarnation.
    fn refute(
        &mut self,
        now: Now,
        update: &MemberUpdate,
        incarnation: Incarnation,
        out: &mut Vec<Action>,
    ) {
        let own = self.own_update();
        let is_wrong = match update {
            MemberUpdate::Suspect(..) => incarnation >= self.incarnation,
            _ => {
                incarnation > self.incarnation
                    || (incarnation == self.incarnation && *update != own)
            }
        };
        // An `Alive` update from before this VM began to leave is only delayed, not wrong.
        let is_delayed = self.is_leaving
            && matches!(update, MemberUpdate::Alive(info) if *info == self.own_info());
        if is_wrong && !is_delayed {
            self.incarnation = incarnation + 1;
            self.announce_self(now, out);
        }
    }

    /// Returns a suspicion that the sender must refute: it is suspect or removed in this view, or listed with a
    /// higher incarnation than its own.
    fn correction_for(&self, now: Now, message: &Message) -> Option<MemberUpdate> {
        let peer = self.view.get(&message.from)?;
        let is_excluded = matches!(peer.state, MemberState::Suspect | MemberState::Removed)
            && peer.incarnation >= message.incarnation;
        // Delayed messages of the previous incarnation may arrive for some time after the change.
        let is_replaced = peer.incarnation > message.incarnation
            && now >= peer.changed_at + self.options.timings.suspect_after;
        (is_excluded || is_replaced)
            .then(|| MemberUpdate::Suspect(peer.id.clone(), peer.incarnation))
    }

    /// Sends queued updates at once to random members and to reachable ring neighbours.
    fn broadcast_urgent(&mut self, now: Now, out: &mut Vec<Action>) {
        self.send_gossip(now, gossip::URGENT_FANOUT, out);
        for id in self.reachable_neighbours(now) {
            self.send_to(now, &id, Body::Gossip, out);
        }
    }

    /// Sends one round of gossip to random members; after many suspicions to one random member and reachable
    /// ring neighbours.
    pub(crate) fn send_gossip(&mut self, now: Now, count: usize, out: &mut Vec<Action>) {
        self.gossip.schedule_round(now, &self.options.timings);
        let own = self.options.id.clone();
        let mut targets = self.random_members(count, &own);
        if self.gossip.has_raised_rate(now) {
            targets.truncate(1);
            targets.extend(self.reachable_neighbours(now));
        }
        for id in targets {
            let body = self.next_push_body();
            self.send_to(now, &id, body, out);
        }
    }

    /// Returns the body of a gossip message: the latest patch while it is still to be sent.
    fn next_push_body(&mut self) -> Body {
        if self.gossip.patch_transmissions_left == 0 {
            return Body::Gossip;
        }
        self.gossip.patch_transmissions_left -= 1;
        self.config.push_body()
    }

    /// Queues the latest patch and sends it at once to a first group of members.
    pub(crate) fn push_latest_patch(&mut self, now: Now, out: &mut Vec<Action>) {
        self.gossip.enqueue_patch(self.view.len());
        self.send_gossip(now, gossip::URGENT_FANOUT, out);
    }

    /// Draws up to `count` random members other than this VM and `except`.
    pub(crate) fn random_members(&mut self, count: usize, except: &str) -> Vec<VmId> {
        let own = &self.options.id;
        let mut chosen: Vec<VmId> = Vec::with_capacity(count);
        for _ in 0..count * DRAWS_PER_MEMBER {
            let peer = self.view.peer_at(self.rng.usize(..self.view.len()));
            let is_new = peer.id != *own && peer.id != except && !chosen.contains(&peer.id);
            if chosen.len() < count && peer.is_member() && is_new {
                chosen.push(peer.id.clone());
            }
        }
        chosen
    }

    pub(crate) fn send_to(&mut self, now: Now, id: &str, body: Body, out: &mut Vec<Action>) {
        let Some(to) = self.view.get(id).map(|p| p.address) else { return };
        let message = self.message(now, body);
        out.push(Action::Send { to, message });
    }

    /// Creates a message with this member's version, digest and queued updates.
    pub(crate) fn message(&mut self, now: Now, body: Body) -> Message {
        Message {
            from: self.options.id.clone(),
            incarnation: self.incarnation,
            version: self.config.version(),
            digest: self.view.digest(),
            updates: self.gossip.next_batch(now),
            body,
        }
    }

    /// Draws a random duration below `upto`.
    pub(crate) fn jitter(&mut self, upto: Duration) -> Duration {
        upto.mul_f64(self.rng.f64())
    }
}
