//! Short seeded runs of the soak, and every seed that ever failed.
//!
//! Guards against calls that run twice, refusals that are not true, foreign and torn answers, requests lost around a
//! restart, revoked keys, work for leaving upstreams, two issuers of orders, and VMs that do not recover.

use std::{path::Path, time::Duration};

use lw_soak::{
    run::run,
    schedule::{Options, draw_events},
};

/// Seeds with their lines in the regression file.
const REGRESSIONS: &str = include_str!("../../lw-soak/regressions.txt");

async fn soak(options: Options) {
    let daemon = Path::new(env!("CARGO_BIN_EXE_lavenderwoodd"));
    let name = format!("lw-soak-{}-{}", options.seed, std::process::id());
    let dir = std::env::temp_dir().join(name);
    let outcome = run(&options, daemon, &dir).await.expect("a run");
    let plan: Vec<_> = draw_events(&options).iter().map(|event| format!("{event:?}")).collect();
    assert!(
        outcome.findings.is_empty(),
        "seed {}: {:#?}\nlogs: {}\n{plan:#?}",
        options.seed,
        outcome.findings,
        dir.display()
    );
    assert!(outcome.served > 100, "only {} of {} served", outcome.served, outcome.requests);
    std::fs::remove_dir_all(&dir).expect("its logs can be removed");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_short_run_keeps_the_promises() {
    soak(Options { seed: 1, fault_window: Duration::from_secs(8), ..Options::default() }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn seeds_that_failed_once_pass() {
    for line in REGRESSIONS.lines().filter(|line| !line.starts_with('#')) {
        let mut words = line.split_whitespace();
        let mut number = || words.next().and_then(|word| word.parse().ok()).expect("a number");
        let (seed, seconds) = (number(), number());
        let fault_window = Duration::from_secs(seconds);
        soak(Options { seed, fault_window, ..Options::default() }).await;
    }
}
