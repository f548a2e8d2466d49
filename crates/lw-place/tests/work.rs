//! Guards against requests that are late at a slow or busy engine while another one would have answered in time.

mod common;
mod work_fleet;

use work_fleet::{Fault, Fleet, Outcome, Policy};

fn run(policy: Policy, fault: Fault, seed: u64) -> Outcome {
    let outcome = Fleet::run(policy, fault, seed);
    println!("{policy:?}, {fault:?}, seed {seed}: late {}, {outcome:?}", outcome.late());
    outcome
}

/// Checks the late requests against an oracle and against the 25 ms, 75 tokens/ms estimator of commit 8dfd8eb.
fn check(fault: Fault, seed: u64, late_before: usize) {
    let late = run(Policy::Pool, fault, seed).late();
    let oracle = run(Policy::Oracle, fault, seed).late();
    let others = [Policy::LeastOutstanding, Policy::TwoChoices];
    let others = others.map(|policy| run(policy, fault, seed).late());
    assert!(others.iter().all(|other| late < *other), "{late}, others {others:?}");
    assert!(late * 2 <= late_before, "{late}, before {late_before}");
    assert!(late * 10 <= oracle * 13, "{late}, oracle {oracle}");
}

#[test]
fn few_requests_are_late_at_engines_of_different_speeds() {
    check(Fault::None, 1, 186);
}

#[test]
fn few_requests_are_late_after_vms_were_killed() {
    check(Fault::Killed, 2, 183);
}

#[test]
fn few_requests_are_late_while_announcements_are_lost_one_way() {
    check(Fault::OneWay, 3, 340);
}
