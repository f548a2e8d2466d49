//! A fleet of VMs with usage caps, in virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use fastrand::Rng;
use lw_limit::quota::{
    Cap, REPLY_TIMEOUT, Rule, SLOTS, Share,
    holder::{Claim, Reply, Return},
    keeper::{Fleet, Keeper, Lease, SlotWrite},
    requester::{Ask, Decision, Grant, Requester},
    slots_of,
};
use lw_types::prelude::*;

mod callers;
mod faults;
mod handover;
mod keep;
mod rule;
mod store;

pub use rule::{CapHistory, Shaper, units};
use store::{LEASE_TIME, Snapshot, Store};

const TICK: Duration = Duration::from_millis(100);
const READ_PERIOD: Duration = Duration::from_millis(250);
const RENEW_PERIOD: Duration = Duration::from_millis(1300);
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Which VMs the callers of a workspace reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spread {
    All,
    Third,
    One,
    /// One VM, another one each 3 s.
    Moving,
}

/// Costs of requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Costs {
    Fixed(u64),
    /// As fixed, and at regular intervals.
    Regular(u64),
    /// Short requests, and long ones with a heavy tail: this fraction is long.
    Mixed(f64),
}

impl Costs {
    /// Returns the mean, roughly.
    pub fn mean(self) -> f64 {
        match self {
            Self::Fixed(cost) | Self::Regular(cost) => units(cost),
            Self::Mixed(long) => 400.0 * (1.0 - long) + 15_000.0 * long,
        }
    }

    fn next(self, rng: &mut Rng) -> u64 {
        match self {
            Self::Fixed(cost) | Self::Regular(cost) => cost,
            Self::Mixed(long) if rng.f64() < long => {
                // A Pareto distribution of exponent 1.5, cut at the largest prompt.
                let tail = 6_400.0 / (1.0 - rng.f64()).powf(1.0 / 1.5);
                #[expect(
                    clippy::cast_possible_truncation,
                    clippy::cast_sign_loss,
                    reason = "small"
                )]
                let cost = tail.min(93_000.0) as u64;
                cost
            }
            Self::Mixed(_) => rng.u64(100..700),
        }
    }
}

#[derive(Debug, Clone)]
pub struct Workspace {
    pub caps: CapHistory,
    /// Demand in units a second.
    pub demand: f64,
    pub costs: Costs,
    pub spread: Spread,
    /// When the demand begins. The buckets may be full then.
    pub start: Now,
    /// Whether the demand is kept under 0.9 of the cap in any window.
    pub is_shaped: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    Kill {
        vm: usize,
        down: Duration,
    },
    /// The VM that holds the first or second slot of the first workspace is killed.
    KillHolder {
        slot: usize,
        down: Duration,
    },
    Leave {
        vm: usize,
    },
    Freeze {
        vm: usize,
        time: Duration,
    },
    /// The VM's messages to half of the others are lost, or theirs to it.
    Cut {
        vm: usize,
        is_inbound: bool,
        time: Duration,
    },
    CutFromStore {
        vm: usize,
        time: Duration,
    },
    StoreDown {
        time: Duration,
    },
    /// The store is gone, and returns from a copy of this age.
    OlderCopy {
        time: Duration,
        age: Duration,
    },
}

#[derive(Debug, Clone)]
pub struct Options {
    pub seed: u64,
    pub vms: usize,
    pub time: Duration,
    pub rule: Rule,
    pub workspaces: Vec<Workspace>,
    pub faults: Vec<(Now, Fault)>,
    pub loss: f64,
    /// Fraction of messages that are late by up to 0.6 s.
    pub late: f64,
    /// Fraction of granted requests that are refused for another reason.
    pub unused: f64,
    /// Fraction of requests with a further attempt.
    pub further: f64,
}

#[derive(Debug, Default)]
pub struct Outcome {
    /// Units by workspace, when they arrived at engines.
    pub runs: Vec<Vec<(Now, u64)>>,
    /// Arrival, cost and whether it was admitted, of each request by workspace. Tries of one request count once.
    pub requests: Vec<Vec<(Now, u64, bool)>>,
    pub messages: u64,
    pub max_messages_of_vm: u64,
    pub unavailable: u64,
}

#[derive(Debug, Clone, Copy)]
struct Call {
    workspace: usize,
    index: usize,
    cost: u64,
    is_retry: bool,
}

#[derive(Debug, Clone)]
enum Message {
    Claim { claim: Claim, from: usize },
    Reply { number: u64, reply: Reply },
    Return(Return),
    Charge(Claim),
}

#[derive(Debug, Clone)]
enum StoreCall {
    Lease,
    Renew { id: u64, era: Era },
    Write(SlotWrite),
}

#[derive(Debug)]
enum Event {
    Tick,
    Read,
    View {
        view: Rc<Snapshot>,
        sent: Now,
    },
    Renew,
    FromStore {
        call: StoreCall,
        sent: Now,
        lease: Option<(u64, Era)>,
        position: Option<Position>,
    },
    Message(Message),
    Timeout {
        number: u64,
    },
    Arrival(Call),
    Send {
        grant: Grant,
        call: Call,
    },
    Start,
    Demand {
        workspace: usize,
    },
    Fault(Fault),
    StoreBack {
        older: Option<Duration>,
    },
    CopyStore,
    Config,
    /// The VM's messages arrive again.
    Heal {
        vm: usize,
    },
}

/// An event at a VM's process (`boot`), or of the world if the VM is none.
#[derive(Debug)]
struct Scheduled {
    vm: Option<(usize, u32)>,
    event: Event,
}

#[derive(Debug, Default)]
struct Vm {
    boot: u32,
    is_running: bool,
    frozen_until: Now,
    cut_from_store_until: Now,
    keeper: Keeper,
    requester: Requester,
    view: Option<Rc<Snapshot>>,
    era_since: Now,
    lease: Option<Lease>,
    waiting: HashMap<u64, (Ask, Call)>,
    /// Caps of the configuration in force at this VM, by workspace.
    caps: Vec<Option<Cap>>,
    is_leaving: bool,
    messages: u64,
}

pub struct Simulation<'a> {
    options: &'a Options,
    rng: Rng,
    now: Now,
    queue: BinaryHeap<Reverse<(Now, u64)>>,
    events: HashMap<u64, Scheduled>,
    sequence: u64,
    store: Store,
    vms: Vec<Vm>,
    names: Vec<String>,
    indices: HashMap<String, usize>,
    cut: HashSet<(usize, usize)>,
    shapers: Vec<Shaper>,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    pub fn run(options: &'a Options) -> Outcome {
        let count = options.workspaces.len();
        let names: Vec<_> = (0..options.vms).map(|vm| format!("vm-{vm}")).collect();
        let mut simulation = Self {
            rng: Rng::with_seed(options.seed),
            now: Now::ZERO,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            sequence: 0,
            store: Store::new(),
            vms: (0..options.vms).map(|_| Vm::default()).collect(),
            indices: names.iter().enumerate().map(|(i, name)| (name.clone(), i)).collect(),
            names,
            cut: HashSet::new(),
            shapers: (0..count).map(|_| Shaper::new()).collect(),
            outcome: Outcome {
                runs: vec![Vec::new(); count],
                requests: vec![Vec::new(); count],
                ..Outcome::default()
            },
            options,
        };
        simulation.play();
        let by_vm = simulation.vms.iter().map(|vm| vm.messages);
        simulation.outcome.max_messages_of_vm = by_vm.max().unwrap_or_default();
        simulation.outcome
    }

    fn play(&mut self) {
        for vm in 0..self.options.vms {
            let at = ms(self.rng.u64(0..500));
            self.at(at, Some(vm), Event::Start);
        }
        self.at(ms(500), None, Event::CopyStore);
        for workspace in 0..self.options.workspaces.len() {
            self.at(self.options.workspaces[workspace].start, None, Event::Demand { workspace });
            for (change, _) in &self.options.workspaces[workspace].caps.0 {
                self.at(*change, None, Event::Config);
            }
        }
        for (at, fault) in &self.options.faults {
            self.at(*at, None, Event::Fault(*fault));
        }
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > self.options.time {
                break;
            }
            self.now = at;
            let Some(scheduled) = self.events.remove(&id) else { continue };
            if let Some((vm, boot)) = scheduled.vm {
                let state = &self.vms[vm];
                if state.boot != boot {
                    continue;
                }
                if state.frozen_until > at {
                    // The order of its events stays.
                    self.queue.push(Reverse((state.frozen_until, id)));
                    self.events.insert(id, scheduled);
                    continue;
                }
            }
            self.handle(scheduled);
        }
    }

    fn at(&mut self, at: Now, vm: Option<usize>, event: Event) {
        self.sequence += 1;
        let vm = vm.map(|vm| (vm, self.vms[vm].boot));
        self.queue.push(Reverse((at, self.sequence)));
        self.events.insert(self.sequence, Scheduled { vm, event });
    }

    fn after(&mut self, delay: Duration, vm: usize, event: Event) {
        self.at(self.now + delay, Some(vm), event);
    }

    fn handle(&mut self, Scheduled { vm, event }: Scheduled) {
        let Some((vm, _)) = vm else { return self.handle_world(event) };
        match event {
            Event::Start => {
                self.vms[vm].is_running = true;
                for event in [Event::Read, Event::Renew, Event::Tick] {
                    let delay = ms(self.rng.u64(1..100));
                    self.after(delay, vm, event);
                }
            }
            Event::Tick => {
                self.tick(vm);
                self.after(TICK, vm, Event::Tick);
            }
            Event::Read => {
                if self.reaches_store(vm) {
                    let (view, sent) = (self.store.read(self.now), self.now);
                    let delay = ms(self.rng.u64(2..60));
                    self.after(delay, vm, Event::View { view, sent });
                }
                self.after(READ_PERIOD, vm, Event::Read);
            }
            Event::View { view, sent } => self.apply_view(vm, view, sent),
            Event::Renew => {
                let state = &mut self.vms[vm];
                let call = match state.lease {
                    Some(lease) => StoreCall::Renew { id: lease.id, era: lease.era },
                    None => StoreCall::Lease,
                };
                self.call(vm, call);
                let pause = if self.vms[vm].lease.is_some() { RENEW_PERIOD } else { CALL_TIMEOUT };
                self.after(pause, vm, Event::Renew);
            }
            Event::FromStore { call, sent, lease, position } => {
                self.on_store_reply(vm, call, sent, lease, position);
            }
            Event::Message(message) => self.receive(vm, message),
            Event::Timeout { number } => self.step(vm, number),
            Event::Arrival(call) => self.arrive(vm, call),
            Event::Send { grant, call } => self.send_request(vm, grant, call),
            event => unreachable!("{event:?}"),
        }
    }

    fn handle_world(&mut self, event: Event) {
        match event {
            Event::Heal { vm } => self.cut.retain(|(from, to)| *from != vm && *to != vm),
            Event::CopyStore => {
                if !self.store.is_down {
                    self.store.copy(self.now);
                }
                self.at(self.now + ms(500), None, Event::CopyStore);
            }
            Event::Config => {
                let config = self.store.config + 1;
                self.store.set_config(config);
            }
            Event::StoreBack { older } => {
                self.store.is_down = false;
                if let Some(age) = older {
                    self.store.return_from(self.now, age);
                }
            }
            Event::Demand { workspace } => self.demand(workspace),
            Event::Fault(fault) => self.fault(fault),
            event => unreachable!("{event:?}"),
        }
    }

    /// Returns the holder of a slot as a VM sees it.
    fn holder(&self, vm: usize, slot: u8) -> Option<usize> {
        let item = self.vms[vm].view.as_ref()?.items.get(&slot)?;
        self.indices.get(item.value.as_ref()?.holder.as_ref()?).copied()
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.outcome.messages += 1;
        self.vms[from].messages += 1;
        self.vms[to].messages += 1;
        if self.rng.f64() < self.options.loss || self.cut.contains(&(from, to)) {
            return;
        }
        let mut delay = ms(if from % 3 == to % 3 { 1 } else { 4 });
        if self.rng.f64() < self.options.late {
            delay += ms(self.rng.u64(0..600));
        }
        if self.vms[to].is_running {
            self.after(delay, to, Event::Message(message));
        }
    }

    fn receive(&mut self, vm: usize, message: Message) {
        let state = &mut self.vms[vm];
        match message {
            Message::Claim { claim, from } => {
                let reply = state.keeper.holder.decide(self.now, &claim);
                self.send(vm, from, Message::Reply { number: claim.number, reply });
            }
            Message::Reply { number, reply } => {
                if state.requester.on_reply(self.now, number, reply) {
                    self.step(vm, number);
                }
            }
            Message::Return(returned) => {
                state.keeper.holder.take_back(self.now, &returned);
            }
            Message::Charge(claim) => state.keeper.holder.charge(self.now, &claim),
        }
    }
}

fn name(workspace: usize) -> WorkspaceId {
    format!("workspace-{workspace}")
}
