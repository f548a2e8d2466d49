//! Runs generated schedules of issuers on engines that ignore fencing numbers. Guards against orders of two VMs within
//! the time that must lie between them, across releases, kills, restarts, pauses and late reads, and against a wait
//! when no other VM has issued an order.

use std::time::Duration;

use lw_order::handover::{IssuerRecord, LastOrder, OrderHistory};
use proptest::{prelude::*, test_runner::RngSeed};

/// Time that must lie between the orders of two VMs.
const WAIT_MS: u64 = 3_000;
const LEASE_MS: u64 = 1_500;
const VM_COUNT: usize = 4;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Debug, Clone)]
enum Step {
    /// This many milliseconds pass.
    Pass(u64),
    /// A VM reads the record. The ages in it are counted back from this time.
    Read(usize),
    /// A VM tries to acquire the lease.
    Acquire(usize),
    /// A VM sends an order, which ends after this time in ms.
    Order(usize, u64),
    /// A VM releases the lease.
    Release(usize),
    /// A VM is killed and comes back without state.
    Kill(usize),
}

#[derive(Debug, Default)]
struct Vm {
    /// The record that the VM read last, with its revision and the time of the read.
    last_read: Option<(IssuerRecord, u64, u64)>,
    /// The orders under the lease that the VM holds, with the revision of the record and the end of the lease.
    held_lease: Option<(OrderHistory, u64, u64)>,
    /// When the last order of the VM ends.
    last_order_ends_at: u64,
}

#[derive(Debug, Default)]
struct Simulation {
    /// Virtual time in ms.
    now: u64,
    record: Option<IssuerRecord>,
    revision: u64,
    /// VM that holds the lease, and the end of the lease.
    holder: Option<(usize, u64)>,
    vms: Vec<Vm>,
    /// Time and VM of each order.
    orders: Vec<(u64, usize)>,
}

impl Simulation {
    fn step(&mut self, step: &Step) {
        match *step {
            Step::Pass(time) => self.now += time,
            Step::Read(vm) => {
                let Some(record) = self.record.clone() else { return };
                let is_current =
                    |(_, revision, _): &(IssuerRecord, u64, u64)| *revision == self.revision;
                if !self.vms[vm].last_read.as_ref().is_some_and(is_current) {
                    self.vms[vm].last_read = Some((record, self.revision, self.now));
                }
            }
            Step::Acquire(vm) => self.acquire(vm),
            Step::Order(vm, time) => self.send_order(vm, time),
            Step::Release(vm) => self.release(vm),
            Step::Kill(vm) => self.vms[vm] = Vm::default(),
        }
    }

    fn acquire(&mut self, vm: usize) {
        let is_held = self.holder.is_some_and(|(_, until)| self.now < until);
        let read_revision = self.vms[vm].last_read.as_ref().map_or(0, |(_, revision, _)| *revision);
        if is_held || read_revision != self.revision {
            return;
        }
        let name = format!("vm-{vm}");
        let read = self.vms[vm].last_read.clone();
        let read = read.as_ref().map(|(record, _, at)| (record, ms(*at)));
        let history = OrderHistory::new(&name, read, ms(self.now));
        self.record = Some(history.to_record(ms(self.now), false));
        self.revision += 1;
        self.holder = Some((vm, self.now + LEASE_MS));
        self.vms[vm].held_lease = Some((history, self.revision, self.now + LEASE_MS));
    }

    fn send_order(&mut self, vm: usize, time: u64) {
        let now = self.now;
        let Some((history, _, until)) = &mut self.vms[vm].held_lease else { return };
        if now >= *until || ms(now) < history.ready_at(ms(WAIT_MS)) {
            return;
        }
        history.begin_order(ms(now));
        history.end_order(ms(now + time));
        self.vms[vm].last_order_ends_at = now + time;
        self.orders.push((now, vm));
    }

    fn release(&mut self, vm: usize) {
        let now = self.now.max(self.vms[vm].last_order_ends_at);
        let Some((history, revision, _)) = self.vms[vm].held_lease.take() else { return };
        if revision == self.revision {
            self.now = now;
            self.record = Some(history.to_record(ms(now), true));
            self.revision += 1;
            self.holder = None;
        }
    }

    fn check(&self) -> Result<(), String> {
        for pair in self.orders.windows(2) {
            let [(first, first_vm), (second, second_vm)] = [pair[0], pair[1]];
            if first_vm != second_vm && second < first + WAIT_MS {
                return Err(format!(
                    "vm-{second_vm} at {second}, {} ms after vm-{first_vm}",
                    second - first
                ));
            }
        }
        Ok(())
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let vm = 0..VM_COUNT;
    let step = prop_oneof![
        3 => (1_u64..2_500).prop_map(Step::Pass),
        3 => vm.clone().prop_map(Step::Read),
        4 => vm.clone().prop_map(Step::Acquire),
        4 => (vm.clone(), 0_u64..700).prop_map(|(vm, time)| Step::Order(vm, time)),
        2 => vm.clone().prop_map(Step::Release),
        1 => vm.prop_map(Step::Kill),
    ];
    prop::collection::vec(step, 1..120)
}

/// Generated cases in CI; a longer run sets `PROPTEST_CASES`.
const CASES: u32 = 600;

fn case_count() -> u32 {
    std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(CASES)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::with_cases(case_count())
    })]

    #[test]
    fn orders_of_two_vms_are_a_minimum_time_apart(steps in steps()) {
        let mut simulation =
            Simulation { vms: (0..VM_COUNT).map(|_| Vm::default()).collect(), ..Simulation::default() };
        for step in &steps {
            simulation.step(step);
        }
        if let Err(violation) = simulation.check() {
            return Err(TestCaseError::fail(violation));
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

/// Guards against a wait that is counted from the lease: no VM waits for a holder that issued no orders.
#[test]
fn the_wait_counts_from_the_last_order_of_another_vm() {
    let ready_at = |record: &IssuerRecord| {
        OrderHistory::new("vm-3", Some((record, ms(5_000))), ms(6_000)).ready_at(ms(WAIT_MS))
    };
    assert_eq!(ready_at(&released("vm-1", None)), ms(0));
    assert_eq!(ready_at(&released("vm-1", Some(("vm-1", 400)))), ms(7_600));
    assert_eq!(ready_at(&released("vm-2", Some(("vm-1", 4_000)))), ms(4_000));
    assert_eq!(
        ready_at(&released("vm-2", Some(("vm-3", 0)))),
        ms(0),
        "no wait after an order of the same VM"
    );
    let lost = IssuerRecord { is_released: false, ..released("vm-1", None) };
    assert_eq!(ready_at(&lost), ms(9_000), "vm-1 may have issued orders until its lease expired");
}

/// Runs the steps of a failed generated schedule and returns the time and VM of each order.
fn orders_of(steps: &[Step]) -> Vec<(u64, usize)> {
    let mut simulation =
        Simulation { vms: (0..VM_COUNT).map(|_| Vm::default()).collect(), ..Simulation::default() };
    for step in steps {
        simulation.step(step);
    }
    simulation.orders
}

/// Guards against a VM that acquires the lease again, issues no order and drops its order under the lease before from
/// the record.
#[test]
fn an_order_under_an_earlier_lease_of_the_same_vm_stays_recorded() {
    let first = [Step::Acquire(0), Step::Order(0, 0), Step::Release(0)];
    let again = [Step::Read(0), Step::Acquire(0), Step::Release(0)];
    let other = [Step::Read(1), Step::Acquire(1), Step::Order(1, 0)];
    let orders = orders_of(&[&first[..], &again, &other].concat());
    assert_eq!(orders, [(0, 0)], "vm-1 has to wait");
}

/// Guards against a VM that records its own last order in place of the later one of a lost holder, and does not wait
/// when it acquires the lease once more.
#[test]
fn an_order_of_a_lost_holder_stays_recorded_beside_an_own_one() {
    let first = [Step::Acquire(2), Step::Order(2, 0), Step::Release(2), Step::Read(1)];
    let lost =
        [Step::Pass(2_000), Step::Acquire(1), Step::Read(2), Step::Pass(1_000), Step::Order(1, 0)];
    let again =
        [Step::Pass(500), Step::Acquire(2), Step::Read(2), Step::Pass(1_500), Step::Acquire(2)];
    let orders = orders_of(&[&first[..], &lost, &again, &[Step::Order(2, 0)]].concat());
    assert_eq!(orders, [(0, 2), (3_000, 1)], "vm-2 has to wait until 6.5 s");
}

/// Guards against a holder that releases the lease without having issued an order and drops the order before it from
/// the record.
#[test]
fn a_release_without_orders_keeps_the_last_order_recorded() {
    let first = released("vm-1", Some(("vm-1", 100)));
    let second =
        OrderHistory::new("vm-2", Some((&first, ms(1_000))), ms(1_100)).to_record(ms(1_500), true);
    let last = second.last_orders.first().expect("the order of vm-1");
    assert_eq!((last.vm.as_str(), last.age), ("vm-1", ms(600)));
    assert_eq!(
        OrderHistory::new("vm-3", Some((&second, ms(1_600))), ms(1_700)).ready_at(ms(WAIT_MS)),
        ms(4_000)
    );
}
