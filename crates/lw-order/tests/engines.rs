//! Guards against an issuer that does not count a load it has ordered, and against one that sends orders under an
//! expired lease.

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

fn acquire_lease_at(issuer: &mut Issuer, at: u64) {
    assert_eq!(issuer.tick(ms(at)), [Action::Acquire { op: 1 }]);
    issuer.on_lease_result(ms(at), 1, LeaseResult::Granted(5));
}

/// Guards against too many loads at once: a report from before the arrival of an order must not end the counting of
/// its load.
#[test]
fn a_report_from_before_the_order_does_not_end_the_load() {
    let mut issuer = issuer();
    issuer.set_plan(plan(1, &[("e1", "w2"), ("e2", "w1")]));
    acquire_lease_at(&mut issuer, 0);
    issuer.on_report(ms(1_900), report("e1", 1, "w1"));
    issuer.on_report(ms(1_900), report("e2", 1, "w1"));
    assert_eq!(orders(issuer.tick(ms(2_000)))[0].engine, "e1");
    // A newer configuration returns to the former weights; the order may still arrive and start the load.
    issuer.set_plan(plan(2, &[("e1", "w1"), ("e2", "w2")]));
    issuer.on_report(ms(2_800), report("e1", 2, "w1"));
    issuer.on_report(ms(2_800), report("e2", 2, "w1"));
    assert!(orders(issuer.tick(ms(2_900))).is_empty());
    issuer.on_report(ms(3_750), report("e1", 3, "w1"));
    assert_eq!(orders(issuer.tick(ms(3_800)))[0].engine, "e2");
}

/// Guards against a rollout that waits for the load of an engine that no longer exists.
#[test]
fn a_removed_engine_does_not_count_as_loading() {
    let mut issuer = issuer();
    issuer.set_plan(plan(1, &[("e1", "w2"), ("e2", "w2")]));
    acquire_lease_at(&mut issuer, 0);
    issuer.on_report(ms(1_900), report("e1", 1, "w1"));
    issuer.on_report(ms(1_900), report("e2", 1, "w1"));
    assert_eq!(orders(issuer.tick(ms(2_000)))[0].engine, "e1");
    issuer.remove_engine("e1");
    assert_eq!(orders(issuer.tick(ms(2_100)))[0].engine, "e2");
}

/// Guards against a time between two loads in which no engine loads, since the report of the first load's end is
/// delayed.
#[test]
fn the_next_order_is_sent_when_the_load_before_should_be_over() {
    let mut issuer = issuer();
    let targets = [("e1", "w2"), ("e2", "w2"), ("e3", "w2")];
    issuer.set_plan(Plan { load_time: Some(ms(1_800)), ..plan(1, &targets) });
    acquire_lease_at(&mut issuer, 0);
    for id in ["e1", "e2", "e3"] {
        issuer.on_report(ms(1_900), report(id, 1, "w1"));
    }
    assert_eq!(orders(issuer.tick(ms(2_000)))[0].engine, "e1");
    assert!(orders(issuer.tick(ms(3_750))).is_empty());
    assert_eq!(orders(issuer.tick(ms(3_800)))[0].engine, "e2");
    // No report of the first engine has arrived since, and it gets no second order.
    assert!(orders(issuer.tick(ms(3_900))).is_empty());
}

/// Guards against loads in only one failure domain, and against a wait for former orders where none were issued.
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

/// Guards against an order because of an older report that arrives after a newer one.
#[test]
fn a_reordered_report_is_ignored() {
    let mut issuer = issuer();
    issuer.set_plan(plan(1, &[("e1", "w1")]));
    acquire_lease_at(&mut issuer, 0);
    issuer.on_report(ms(1_900), report("e1", 2, "w1"));
    issuer.on_report(ms(1_950), report("e1", 1, "w0"));
    assert!(orders(issuer.tick(ms(2_000))).is_empty());
}

/// Guards against orders under a lease whose end passed before the reply of the store was processed.
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

/// Guards against a new issuer that sends orders while those of the former one may still arrive.
#[test]
fn a_new_issuer_waits_for_the_orders_of_the_former_one() {
    let mut issuer = issuer();
    issuer.set_plan(plan(1, &[("e1", "w2")]));
    acquire_lease_at(&mut issuer, 0);
    issuer.on_report(ms(10), report("e1", 1, "w1"));
    let wait = Options::default().takeover_wait();
    assert!(orders(issuer.tick(wait.saturating_sub(ms(1)))).is_empty());
    assert_eq!(orders(issuer.tick(wait)).len(), 1);
}

/// Guards against too many loads at once when an engine without reports still loads for the former issuer.
#[test]
fn a_new_issuer_counts_engines_without_reports_as_loading() {
    let mut issuer = issuer();
    issuer.set_plan(plan(1, &[("e1", "w2"), ("e2", "w2")]));
    acquire_lease_at(&mut issuer, 0);
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
