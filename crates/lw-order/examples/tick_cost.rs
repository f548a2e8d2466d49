//! Prints the time that a tick of the issuer and the processing of a report take, for several numbers of engines.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use lw_order::{
    issuer::{Action, Issuer, LeaseResult},
    message::{EngineState, ModelState, Report},
    plan::Plan,
};

const TICKS: u32 = 20;

fn state(version: &str) -> EngineState {
    let model = ModelState { version: version.into(), adapters: BTreeMap::new() };
    EngineState { role: "a".into(), models: [("m".to_owned(), model)].into() }
}

fn main() {
    for engines in [120, 1_200, 12_000_usize] {
        for (name, version) in [("settled", "w1"), ("in a rollout", "w2")] {
            let mut issuer = Issuer::new(lw_order::options::Options::default());
            issuer.set_eligible(true);
            let target = |n: usize| (format!("e{n}"), state(version));
            let targets = (0..engines).map(target).collect();
            let minimums = [("a".to_owned(), engines * 3 / 4)].into();
            issuer.set_plan(Plan { version: 1, targets, minimums, ..Plan::default() });
            let mut now = Duration::from_secs(1);
            if let [Action::Acquire { op }] = issuer.tick(now)[..] {
                issuer.on_lease_result(now, op, LeaseResult::Granted(1));
            }
            now += Duration::from_secs(2);
            let start = Instant::now();
            for n in 0..engines {
                let (engine, state) = (format!("e{n}"), state("w1"));
                let report = Report { engine, incarnation: 1, seq: 1, loading: false, state };
                issuer.on_report(now, report);
            }
            let report_time = start.elapsed() / u32::try_from(engines).unwrap_or(1);
            let start = Instant::now();
            for _ in 0..TICKS {
                issuer.tick(now);
                now += Duration::from_millis(10);
            }
            let tick_time = start.elapsed() / TICKS;
            println!(
                "{engines} engines, {name}: {tick_time:?} per tick, {report_time:?} per report"
            );
        }
    }
}
