//! Guards against an issuer that forgets a load it ordered, and against one that acts on an old lease.

use std::{collections::BTreeMap, time::Duration};

use lw_order::{
    issuer::{Action, Issuer, LeaseResult},
    message::{EngineState, ModelState, Order, Report},
    options::Options,
    plan::Plan,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn state(version: &str) -> EngineState {
    let model = ModelState { version: version.into(), adapters: BTreeMap::new() };
    EngineState { role: "a".into(), models: [("m".to_owned(), model)].into() }
}

fn plan(version: u64, targets: &[(&str, &str)]) -> Plan {
    let targets = targets.iter().map(|(id, v)| ((*id).to_owned(), state(v))).collect();
    Plan { version, targets, minimums: BTreeMap::new(), ..Plan::default() }
}

fn report(engine: &str, seq: u64, version: &str) -> Report {
    let state = state(version);
    Report { engine: engine.into(), incarnation: 1, seq, loading: false, state }
}

fn issuer() -> Issuer {
    let mut issuer = Issuer::new(Options { loading_max: 1, ..Options::default() });
    issuer.set_eligible(true);
    issuer
}

fn orders(actions: Vec<Action>) -> Vec<Order> {
    let order = |action| if let Action::Send(order) = action { Some(order) } else { None };
    actions.into_iter().filter_map(order).collect()
}

fn held_at(issuer: &mut Issuer, at: u64) {
    assert_eq!(issuer.tick(ms(at)), [Action::Acquire { op: 1 }]);
    issuer.on_lease_result(ms(at), 1, LeaseResult::Granted(5));
}

#[test]
fn a_report_from_before_the_order_does_not_end_the_load() {
    let mut issuer = issuer();
    issuer.set_plan(plan(1, &[("e1", "w2"), ("e2", "w1")]));
    held_at(&mut issuer, 0);
    issuer.on_report(ms(1_900), report("e1", 1, "w1"));
    issuer.on_report(ms(1_900), report("e2", 1, "w1"));
    assert_eq!(orders(issuer.tick(ms(2_000)))[0].engine, "e1");
    // A newer configuration goes back; the order may still arrive and start the load.
    issuer.set_plan(plan(2, &[("e1", "w1"), ("e2", "w2")]));
    issuer.on_report(ms(2_800), report("e1", 2, "w1"));
    issuer.on_report(ms(2_800), report("e2", 2, "w1"));
    assert!(orders(issuer.tick(ms(2_900))).is_empty());
    issuer.on_report(ms(3_750), report("e1", 3, "w1"));
    assert_eq!(orders(issuer.tick(ms(3_800)))[0].engine, "e2");
}

/// Guards against a rollout that waits for the load of an engine that does not exist any more.
#[test]
fn an_engine_that_is_gone_does_not_count_as_loading() {
    let mut issuer = issuer();
    issuer.set_plan(plan(1, &[("e1", "w2"), ("e2", "w2")]));
    held_at(&mut issuer, 0);
    issuer.on_report(ms(1_900), report("e1", 1, "w1"));
    issuer.on_report(ms(1_900), report("e2", 1, "w1"));
    assert_eq!(orders(issuer.tick(ms(2_000)))[0].engine, "e1");
    issuer.remove_engine("e1");
    assert_eq!(orders(issuer.tick(ms(2_100)))[0].engine, "e2");
}

/// Guards against a pause between two loads in which no engine loads, since reports come late.
#[test]
fn the_next_load_starts_when_the_one_before_should_be_over() {
    let mut issuer = issuer();
    let targets = [("e1", "w2"), ("e2", "w2"), ("e3", "w2")];
    issuer.set_plan(Plan { load_time: Some(ms(1_800)), ..plan(1, &targets) });
    held_at(&mut issuer, 0);
    for id in ["e1", "e2", "e3"] {
        issuer.on_report(ms(1_900), report(id, 1, "w1"));
    }
    assert_eq!(orders(issuer.tick(ms(2_000)))[0].engine, "e1");
    assert!(orders(issuer.tick(ms(3_750))).is_empty());
    assert_eq!(orders(issuer.tick(ms(3_800)))[0].engine, "e2");
    // Nobody has heard from the first engine yet, and it is not ordered again.
    assert!(orders(issuer.tick(ms(3_900))).is_empty());
}

/// Guards against engines that all load in one failure domain, and against a wait for orders that nobody gave.
#[test]
fn the_first_issuer_starts_at_once_with_the_lowest_rank() {
    let mut issuer = issuer();
    let ranks = [("e1".to_owned(), 1), ("e2".to_owned(), 0)].into();
    issuer.set_plan(Plan { ranks, ..plan(1, &[("e1", "w2"), ("e2", "w2")]) });
    assert_eq!(issuer.tick(ms(0)), [Action::Acquire { op: 1 }]);
    issuer.on_lease_result(ms(1), 1, LeaseResult::GrantedFrom(5, ms(1)));
    issuer.on_report(ms(1), report("e1", 1, "w1"));
    issuer.on_report(ms(1), report("e2", 1, "w1"));
    assert_eq!(orders(issuer.tick(ms(2)))[0].engine, "e2");
}

#[test]
fn a_reordered_report_is_ignored() {
    let mut issuer = issuer();
    issuer.set_plan(plan(1, &[("e1", "w1")]));
    held_at(&mut issuer, 0);
    issuer.on_report(ms(1_900), report("e1", 2, "w1"));
    issuer.on_report(ms(1_950), report("e1", 1, "w0"));
    assert!(orders(issuer.tick(ms(2_000))).is_empty());
}

#[test]
fn a_lease_granted_before_a_pause_is_not_used_after_it() {
    let mut issuer = issuer();
    issuer.set_plan(plan(1, &[("e1", "w2")]));
    assert_eq!(issuer.tick(ms(0)), [Action::Acquire { op: 1 }]);
    issuer.on_lease_result(ms(7_000), 1, LeaseResult::Granted(5));
    issuer.on_report(ms(7_000), report("e1", 1, "w1"));
    assert_eq!(issuer.status(ms(7_000)).fence, None);
    assert!((70..110).all(|n| orders(issuer.tick(ms(n * 100))).is_empty()));
}

#[test]
fn a_new_issuer_waits_for_the_orders_of_the_former_one() {
    let mut issuer = issuer();
    issuer.set_plan(plan(1, &[("e1", "w2")]));
    held_at(&mut issuer, 0);
    issuer.on_report(ms(10), report("e1", 1, "w1"));
    let wait = Options::default().takeover_wait();
    assert!(orders(issuer.tick(wait.saturating_sub(ms(1)))).is_empty());
    assert_eq!(orders(issuer.tick(wait)).len(), 1);
}

#[test]
fn a_new_issuer_counts_engines_that_it_cannot_see_as_loading() {
    let mut issuer = issuer();
    issuer.set_plan(plan(1, &[("e1", "w2"), ("e2", "w2")]));
    held_at(&mut issuer, 0);
    for at in (1_500..60_000).step_by(500) {
        issuer.on_report(ms(at), report("e1", at, "w1"));
        for action in issuer.tick(ms(at)) {
            match action {
                Action::Renew { op, fence } => {
                    issuer.on_lease_result(ms(at), op, LeaseResult::Granted(fence));
                }
                Action::Send(order) => {
                    assert_eq!(order.engine, "e1");
                    assert!(at >= 30_000, "e2 may be loading at {at} ms");
                    return;
                }
                Action::Acquire { .. } => panic!("the lease is held"),
            }
        }
    }
    panic!("e1 gets no order");
}
