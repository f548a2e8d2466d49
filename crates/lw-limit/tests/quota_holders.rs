//! Guards against a VM that holds both slots of a workspace, which has no grants for 4 s if this VM is killed, and against slots
//! that move although their holder stays.

use lw_limit::quota::{
    SLOTS,
    ownership::{Ownership, SlotKey},
    slots_of,
};
use lw_types::prelude::*;

/// Returns the VM that ranks first for each slot.
fn holders(vms: &[&str]) -> Vec<String> {
    let mut holders = vec![String::new(); usize::from(SLOTS)];
    for own in vms {
        let taken = Ownership::default().to_take(Now::ZERO, own, vms, |_| SlotKey::Free, |_| false);
        for slot in taken {
            let former = std::mem::replace(&mut holders[usize::from(slot)], (*own).to_owned());
            assert_eq!(former, "", "two VMs rank first for slot {slot}");
        }
    }
    assert!(!holders.contains(&String::new()), "nobody ranks first for a slot: {holders:?}");
    holders
}

fn fleet(seed: usize, count: usize) -> Vec<String> {
    (0..count).map(|vm| format!("vm-{seed}-{vm}")).collect()
}

fn names(vms: &[String]) -> Vec<&str> {
    vms.iter().map(String::as_str).collect()
}

#[test]
fn the_slots_of_a_workspace_have_different_holders() {
    for seed in 0..20 {
        for count in [2, 3, 5, 9, 30, 85] {
            let vms = fleet(seed, count);
            let holders = holders(&names(&vms));
            for workspace in 0..84 {
                let [first, second] = slots_of(&format!("workspace-{workspace}")).map(usize::from);
                assert_ne!(holders[first], holders[second], "{count} VMs, seed {seed}");
            }
        }
    }
}

#[test]
fn a_vm_that_joins_or_leaves_moves_its_own_slots_only() {
    let mut counted = 0;
    for seed in 0..40 {
        for count in [9, 30, 85] {
            let vms = fleet(seed, count);
            let (before, after) = (holders(&names(&vms[1..])), holders(&names(&vms)));
            for (before, after) in before.iter().zip(&after) {
                assert!(before == after || *after == vms[0], "{count} VMs, seed {seed}");
                counted += usize::from(before != after);
            }
        }
    }
    // As many as the VMs have on average.
    assert!((90..260).contains(&counted), "{counted} slots moved");
}

#[test]
fn a_vm_alone_ranks_first_for_all_slots() {
    assert_eq!(holders(&["vm-1"]), vec!["vm-1".to_owned(); usize::from(SLOTS)]);
}
