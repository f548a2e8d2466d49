//! Membership under message loss, delay, failures, restarts and partitions. Each row has its own seed.

use std::time::Duration;

use lw_bench::cases::member::{fleet::Fleet, net::Net};
use lw_member::{ListedVm, MemberState};

/// Time within which a dead or leaving VM must be excluded from selection (target 8 of section 1.4 of the design).
const EXCLUSION_TARGET: Duration = Duration::from_secs(3);

const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Returns a fleet that has run for 3 s with 5 % message loss and one-way delays up to 200 ms.
fn running_fleet(size: usize, domains: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, domains, seed);
    fleet.start_converged();
    fleet.run(secs(3));
    fleet
}

/// A network in which every message takes 200 ms one way.
fn slow_network() -> Net {
    let delay = Duration::from_millis(200);
    Net { delay_min: delay, delay_max: delay, ..Net::default() }
}

/// Guards against VMs that continue to select a dead VM.
#[test]
fn dead_peer_is_excluded_within_the_target() {
    for (size, domains, seed) in [(2, 1, 1), (3, 3, 2), (8, 3, 3), (9, 1, 4), (64, 24, 5)] {
        for net in [Net::default(), slow_network()] {
            let mut fleet = running_fleet(size, domains, seed);
            fleet.net = net;
            let victim = fleet.any_living();
            fleet.kill(victim);
            let took = fleet.run_until(secs(10), |f| f.is_excluded(victim));
            assert!(
                took.is_some_and(|t| t <= EXCLUSION_TARGET),
                "seed {seed} size {size}: {took:?}"
            );
        }
    }
}

/// Guards against the loss of a failure domain that stays undetected because the members that monitored it
/// failed with it. A second failure domain fails after the first, also while the suspicions of the first
/// are still being distributed.
#[test]
fn lost_failure_domains_are_excluded_within_the_target() {
    for (between, seed) in [(secs(60), 11), (secs(1), 12), (secs(2), 13)] {
        let mut fleet = running_fleet(64, 8, seed);
        let domains: Vec<Vec<usize>> =
            (0..2).map(|d| (0..64).filter(|node| node % 8 == d).collect()).collect();
        domains[0].iter().for_each(|node| fleet.kill(*node));
        let first = fleet.run_until(between, |f| domains[0].iter().all(|n| f.is_excluded(*n)));
        assert!(
            between < EXCLUSION_TARGET || first.is_some_and(|t| t <= EXCLUSION_TARGET),
            "seed {seed}: {first:?}"
        );
        domains[1].iter().for_each(|node| fleet.kill(*node));
        let lost = domains.concat();
        let took = fleet.run_until(secs(10), |f| lost.iter().all(|node| f.is_excluded(*node)));
        assert!(took.is_some_and(|t| t <= EXCLUSION_TARGET), "seed {seed}: {took:?}");
    }
}

/// Guards against the removal of running VMs after lost or delayed messages, and against suspicions that are not
/// refuted.
#[test]
fn message_loss_and_delay_remove_no_running_vm() {
    for (loss, seed) in [(0.05, 21), (0.05, 22), (0.25, 23)] {
        let mut fleet = running_fleet(24, 3, seed);
        fleet.net = Net { loss, duplicates: 0.1, ..slow_network() };
        fleet.run(secs(200));
        assert_eq!(fleet.false_removals, 0, "seed {seed}");
        assert!(loss < 0.1 || fleet.false_suspicions > 0, "seed {seed}: no suspicion to refute");
        fleet.net.loss = 0.05;
        let recovered = fleet.run_until(secs(10), Fleet::is_converged);
        assert!(recovered.is_some_and(|t| t <= secs(4)), "seed {seed}: {recovered:?}");
    }
}

/// Guards against VMs that continue to select a leaving VM, whether the VM announces this itself or only the
/// platform's list shows it.
#[test]
fn leaving_peer_is_excluded_within_the_target() {
    for (by_list, seed) in [(false, 31), (true, 32)] {
        let mut fleet = running_fleet(24, 3, seed);
        let leaving = fleet.any_living();
        // Shortly after their start members sync more often, which would hide an announcement that gossip loses.
        fleet.run(secs(70));
        if by_list {
            let node = &fleet.nodes[leaving];
            let address = node.member.as_ref().map(|m| m.local_peer().address).expect("it runs");
            let list = [ListedVm { id: node.id.clone(), address, leaving: true }];
            let reader = (leaving + 1) % 24;
            fleet.give_list(reader, &list);
            fleet.kill(leaving);
        } else {
            fleet.leave(leaving);
        }
        let took = fleet.run_until(secs(10), |f| f.is_excluded(leaving));
        assert!(took.is_some_and(|t| t <= EXCLUSION_TARGET), "seed {seed}: {took:?}");
        fleet.run(secs(30));
        assert!(fleet.is_excluded(leaving), "seed {seed}: selected again");
    }
}

/// Guards against a stale `leaving` entry in the platform's list that keeps a restarted VM excluded.
#[test]
fn stale_list_entry_does_not_exclude_for_long() {
    let seed = 33;
    let mut fleet = running_fleet(9, 3, seed);
    let node = &fleet.nodes[4];
    let address = node.member.as_ref().map(|m| m.local_peer().address).expect("it runs");
    let list = [ListedVm { id: node.id.clone(), address, leaving: true }];
    fleet.run(secs(60));
    for reader in [2, 2, 3, 5] {
        fleet.give_list(reader, &list);
        let recovered = fleet.run_until(secs(10), Fleet::is_converged);
        assert!(recovered.is_some_and(|t| t <= secs(4)), "seed {seed}: {recovered:?}");
    }
    let incarnation = fleet.nodes[4].member.as_ref().map(|m| m.local_peer().incarnation);
    assert_eq!(incarnation, Some(2), "seed {seed}: one refutation for all readers");
}

/// Guards against a restarted VM that is not selected again, because the others do not learn its new
/// incarnation or apply a delayed suspicion of an earlier one to it. The first restarts are so close that
/// updates about one restart are still being distributed at the next.
#[test]
fn restarted_peer_is_selected_again() {
    for (size, seed) in [(3, 41), (24, 42), (64, 43)] {
        let mut fleet = running_fleet(size, 3, seed);
        let vm = fleet.any_living();
        for pause in [0, 1, 2, 5, 70] {
            fleet.kill(vm);
            fleet.run(secs(pause));
            fleet.start(vm);
        }
        let took = fleet.run_until(secs(10), Fleet::is_converged);
        assert!(took.is_some_and(|t| t <= secs(5)), "seed {seed}: {took:?}");
    }
}

/// Guards against VMs that do not find each other when all of them restart at the same time.
#[test]
fn simultaneous_restart_of_all_vms_converges() {
    for (size, seed) in [(8, 51), (64, 52)] {
        let mut fleet = Fleet::new(size, 3, seed);
        for node in 0..size {
            fleet.start(node);
        }
        let took = fleet.run_until(secs(60), Fleet::is_converged);
        assert!(took.is_some_and(|t| t <= secs(20)), "seed {seed}: {took:?}");
    }
}

/// Guards against a VM that was isolated and, when it is reachable again, distributes the suspicions that it
/// raised against all others.
#[test]
fn reconnected_vm_does_not_distribute_its_suspicions() {
    for (cut, seed) in [(3, 61), (20, 62), (200, 63)] {
        let mut fleet = running_fleet(24, 3, seed);
        fleet.nodes[7].group = 1;
        fleet.run(secs(cut));
        fleet.nodes[7].group = 0;
        let before = fleet.false_suspicions;
        let recovered = fleet.run_until(secs(60), Fleet::is_converged);
        assert!(recovered.is_some_and(|t| t <= secs(30)), "seed {seed}: {recovered:?}");
        // Up to one suspicion per VM is allowed: VMs that only now receive the earlier suspicion of the isolated VM.
        let excluded = fleet.false_suspicions - before;
        assert!(excluded <= 24, "seed {seed}: {excluded} suspicions");
    }
}

/// Guards against a burst of messages or mutual exclusion when a partition of one hour ends, also when a second
/// partition follows during the recovery.
#[test]
fn end_of_an_hour_long_partition_causes_no_message_burst() {
    let seed = 71;
    let mut fleet = running_fleet(12, 4, seed);
    let set_group = |fleet: &mut Fleet, group: u32| {
        (0..12).filter(|n| n % 4 == 3).for_each(|n| fleet.nodes[n].group = group);
    };
    for (length, recovery) in [(3600, 2), (90, 120)] {
        set_group(&mut fleet, 1);
        let detected = fleet.run_until(secs(length), Fleet::is_converged);
        // The target is for dead VMs. Here 3 VMs must detect the loss of 9 while each monitors 2, which takes
        // them two detection periods.
        assert!(detected.is_some_and(|t| t <= EXCLUSION_TARGET * 2), "seed {seed}: {detected:?}");
        fleet.run(secs(length));
        set_group(&mut fleet, 0);
        let suspicions = fleet.false_suspicions;
        for second in 0..recovery {
            let before: u64 = fleet.nodes.iter().map(|n| n.bytes).sum();
            fleet.run(secs(1));
            let sent = (fleet.nodes.iter().map(|n| n.bytes).sum::<u64>() - before) / 12;
            assert!(sent <= 3_000, "seed {seed}: {sent} bytes per VM in second {second}");
        }
        assert_eq!(fleet.false_suspicions, suspicions, "seed {seed}: running VMs excluded");
    }
    assert!(fleet.is_converged(), "seed {seed}");
}

/// Guards against VMs on the smaller side of a partition that continue to select the other side, because they
/// have no reachable ring neighbour that sends them suspicions. The bound is four detection periods, as no
/// target covers this case.
#[test]
fn smaller_side_of_a_partition_excludes_the_other() {
    for (size, domains, cut, seed) in
        [(8, 3, 1, 3), (64, 24, 3, 3), (64, 24, 3, 6), (64, 24, 3, 7), (64, 24, 12, 8)]
    {
        let mut fleet = running_fleet(size, domains, seed);
        for node in (0..size).filter(|node| node % domains < cut) {
            fleet.nodes[node].group = 1;
        }
        let detected = fleet.run_until(secs(60), Fleet::is_converged);
        assert!(detected.is_some_and(|t| t <= EXCLUSION_TARGET * 4), "seed {seed}: {detected:?}");
    }
}

/// Guards against a process that was paused and suspects the others because it received no messages meanwhile.
#[test]
fn paused_process_suspects_nobody() {
    let seed = 81;
    let mut fleet = running_fleet(9, 3, seed);
    let now = fleet.now + secs(30);
    let member = fleet.nodes[0].member.as_mut().expect("it runs");
    let tick = member.tick(now);
    assert!(tick.next > now);
    assert!(member.peers().all(|p| p.state == MemberState::Alive), "seed {seed}");
}

/// Guards against VMs with the same view that compute different owners, and against keys that move although
/// their owner did not change.
#[test]
fn vms_agree_on_owners_and_only_keys_of_a_lost_vm_move() {
    let seed = 91;
    let mut fleet = running_fleet(24, 3, seed);
    let keys: Vec<String> = (0..500).map(|n| format!("workspace-{n}")).collect();
    let owners = |fleet: &Fleet, node: usize| -> Vec<String> {
        let member = fleet.nodes[node].member.as_ref().expect("it runs");
        keys.iter().map(|key| member.owners(key.as_bytes(), 1)[0].id.clone()).collect()
    };
    let before = owners(&fleet, 0);
    assert_eq!(before, owners(&fleet, 23), "seed {seed}");
    let dead = fleet.nodes[5].id.clone();
    fleet.kill(5);
    fleet.run(secs(4));
    let after = owners(&fleet, 0);
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).all(|(a, _)| *a == dead);
    assert!(moved && !after.contains(&dead), "seed {seed}");
    for id in fleet.nodes.iter().map(|n| &n.id).filter(|id| **id != dead) {
        let share = after.iter().filter(|owner| *owner == id).count();
        assert!((5..60).contains(&share), "seed {seed}: {id} owns {share} of 500 keys");
    }
}
