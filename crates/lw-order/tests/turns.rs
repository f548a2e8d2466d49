//! Generated schedules of issuers on engines that ignore fencing numbers. Guards against orders of two VMs within the
//! time that must lie between them, across hand-overs, kills, restarts, pauses and late reads, and against a wait that
//! nothing calls for.

use std::time::Duration;

use lw_order::handover::{IssuerRecord, LastOrder, OrderHistory};
use proptest::{prelude::*, test_runner::RngSeed};

/// Time that must lie between the orders of two VMs.
const WAIT: u64 = 3_000;
const LEASE: u64 = 1_500;
const VMS: usize = 4;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Debug, Clone)]
enum Step {
    /// Time passes.
    Pass(u64),
    /// A VM reads the record, so that its age counts from then.
    Read(usize),
    /// A VM tries to take the lease.
    Take(usize),
    /// It sends an order, which is over after this time.
    Order(usize, u64),
    /// It gives the lease back.
    HandOver(usize),
    /// It is killed and comes back without memory.
    Kill(usize),
}

#[derive(Debug, Default)]
struct Vm {
    /// The record that it read, with its revision and the time.
    read: Option<(IssuerRecord, u64, u64)>,
    term: Option<(OrderHistory, u64, u64)>,
    /// When its last order is over.
    busy_until: u64,
}

#[derive(Debug, Default)]
struct World {
    now: u64,
    record: Option<IssuerRecord>,
    revision: u64,
    holder: Option<(usize, u64)>,
    vms: Vec<Vm>,
    orders: Vec<(u64, usize)>,
}

impl World {
    fn step(&mut self, step: &Step) {
        match *step {
            Step::Pass(time) => self.now += time,
            Step::Read(vm) => {
                let Some(record) = self.record.clone() else { return };
                let is_known =
                    |(_, revision, _): &(IssuerRecord, u64, u64)| *revision == self.revision;
                if !self.vms[vm].read.as_ref().is_some_and(is_known) {
                    self.vms[vm].read = Some((record, self.revision, self.now));
                }
            }
            Step::Take(vm) => self.take(vm),
            Step::Order(vm, time) => self.order(vm, time),
            Step::HandOver(vm) => self.hand_over(vm),
            Step::Kill(vm) => self.vms[vm] = Vm::default(),
        }
    }

    fn take(&mut self, vm: usize) {
        let is_held = self.holder.is_some_and(|(_, until)| self.now < until);
        let read_revision = self.vms[vm].read.as_ref().map_or(0, |(_, revision, _)| *revision);
        if is_held || read_revision != self.revision {
            return;
        }
        let name = format!("vm-{vm}");
        let read = self.vms[vm].read.clone();
        let read = read.as_ref().map(|(record, _, at)| (record, ms(*at)));
        let turns = OrderHistory::new(&name, read, ms(self.now));
        self.record = Some(turns.to_record(ms(self.now), false));
        self.revision += 1;
        self.holder = Some((vm, self.now + LEASE));
        self.vms[vm].term = Some((turns, self.revision, self.now + LEASE));
    }

    fn order(&mut self, vm: usize, time: u64) {
        let now = self.now;
        let Some((turns, _, until)) = &mut self.vms[vm].term else { return };
        if now >= *until || ms(now) < turns.ready_at(ms(WAIT)) {
            return;
        }
        turns.begin_order(ms(now));
        turns.end_order(ms(now + time));
        self.vms[vm].busy_until = now + time;
        self.orders.push((now, vm));
    }

    fn hand_over(&mut self, vm: usize) {
        let now = self.now.max(self.vms[vm].busy_until);
        let Some((turns, revision, _)) = self.vms[vm].term.take() else { return };
        if revision == self.revision {
            self.now = now;
            self.record = Some(turns.to_record(ms(now), true));
            self.revision += 1;
            self.holder = None;
        }
    }

    fn check(&self) -> Result<(), String> {
        for pair in self.orders.windows(2) {
            let [(first, one), (second, other)] = [pair[0], pair[1]];
            if one != other && second < first + WAIT {
                return Err(format!(
                    "vm-{other} at {second}, {} ms after vm-{one}",
                    second - first
                ));
            }
        }
        Ok(())
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let vm = 0..VMS;
    let step = prop_oneof![
        3 => (1_u64..2_500).prop_map(Step::Pass),
        3 => vm.clone().prop_map(Step::Read),
        4 => vm.clone().prop_map(Step::Take),
        4 => (vm.clone(), 0_u64..700).prop_map(|(vm, time)| Step::Order(vm, time)),
        2 => vm.clone().prop_map(Step::HandOver),
        1 => vm.prop_map(Step::Kill),
    ];
    prop::collection::vec(step, 1..120)
}

/// Cases in CI; a longer run sets `PROPTEST_CASES`.
const CASES: u32 = 600;

fn cases() -> u32 {
    std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(CASES)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::with_cases(cases())
    })]

    #[test]
    fn no_two_vms_order_within_the_time_between(steps in steps()) {
        let mut world = World { vms: (0..VMS).map(|_| Vm::default()).collect(), ..World::default() };
        for step in &steps {
            world.step(step);
        }
        if let Err(fault) = world.check() {
            return Err(TestCaseError::fail(fault));
        }
    }
}

fn released(holder: &str, last_order: Option<(&str, u64)>) -> IssuerRecord {
    let last_orders = last_order.map(|(vm, age)| LastOrder { vm: vm.into(), age: ms(age) });
    IssuerRecord {
        holder: holder.into(),
        is_released: true,
        last_orders: last_orders.into_iter().collect(),
    }
}

/// Guards against a wait that is counted from the lease: a holder that gave no order took no turn.
#[test]
fn the_wait_counts_from_the_last_order_of_another_vm() {
    let ready = |record: &IssuerRecord| {
        OrderHistory::new("vm-3", Some((record, ms(5_000))), ms(6_000)).ready_at(ms(WAIT))
    };
    assert_eq!(ready(&released("vm-1", None)), ms(0));
    assert_eq!(ready(&released("vm-1", Some(("vm-1", 400)))), ms(7_600));
    assert_eq!(ready(&released("vm-2", Some(("vm-1", 4_000)))), ms(4_000));
    assert_eq!(
        ready(&released("vm-2", Some(("vm-3", 0)))),
        ms(0),
        "its own orders are no turn of another"
    );
    let lost = IssuerRecord { is_released: false, ..released("vm-1", None) };
    assert_eq!(ready(&lost), ms(9_000), "it may have given orders until its lease ran out");
}

/// Plays a schedule that a generated run failed with.
fn orders_of(steps: &[Step]) -> Vec<(u64, usize)> {
    let mut world = World { vms: (0..VMS).map(|_| Vm::default()).collect(), ..World::default() };
    for step in steps {
        world.step(step);
    }
    world.orders
}

/// A VM took the lease again, gave no order and forgot the one of its former term.
#[test]
fn an_order_of_a_former_term_of_the_same_vm_is_passed_on() {
    let first = [Step::Take(0), Step::Order(0, 0), Step::HandOver(0)];
    let again = [Step::Read(0), Step::Take(0), Step::HandOver(0)];
    let other = [Step::Read(1), Step::Take(1), Step::Order(1, 0)];
    let orders = orders_of(&[&first[..], &again, &other].concat());
    assert_eq!(orders, [(0, 0)], "vm-1 has to wait");
}

/// A VM wrote its own last order in place of the later one of a lost holder, and did not wait when it took the lease
/// once more.
#[test]
fn an_order_of_a_lost_holder_is_remembered_beside_an_own_one() {
    let first = [Step::Take(2), Step::Order(2, 0), Step::HandOver(2), Step::Read(1)];
    let lost =
        [Step::Pass(2_000), Step::Take(1), Step::Read(2), Step::Pass(1_000), Step::Order(1, 0)];
    let again = [Step::Pass(500), Step::Take(2), Step::Read(2), Step::Pass(1_500), Step::Take(2)];
    let orders = orders_of(&[&first[..], &lost, &again, &[Step::Order(2, 0)]].concat());
    assert_eq!(orders, [(0, 2), (3_000, 1)], "vm-2 has to wait until 6.5 s");
}

/// Guards against a holder that hands over without an order and so hides the order before it.
#[test]
fn a_hand_over_without_an_order_passes_the_last_one_on() {
    let first = released("vm-1", Some(("vm-1", 100)));
    let second =
        OrderHistory::new("vm-2", Some((&first, ms(1_000))), ms(1_100)).to_record(ms(1_500), true);
    let last = second.last_orders.first().expect("the order of vm-1");
    assert_eq!((last.vm.as_str(), last.age), ("vm-1", ms(600)));
    assert_eq!(
        OrderHistory::new("vm-3", Some((&second, ms(1_600))), ms(1_700)).ready_at(ms(WAIT)),
        ms(4_000)
    );
}
