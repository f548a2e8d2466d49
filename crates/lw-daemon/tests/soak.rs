//! Runs `lw-soak` briefly with a fixed seed and with every seed that once had findings.
//!
//! Guards against calls that run twice, calls that ran but are reported as not run, answers of other requests,
//! incomplete answers, streams given up while their engines are silent, requests lost around a restart, accepted revoked
//! keys, requests to leaving upstreams, two issuers of orders with one fencing number, VMs that do not recover, and VMs that end,
//! panic or use too much memory beside hostile callers.

use std::{path::Path, time::Duration};

use lw_soak::{
    releases,
    run::run,
    schedule::{Options, draw_events},
};
use tokio::sync::Mutex;

/// Seeds and times of earlier runs with findings; the file has a line for each.
const REGRESSIONS: &str = include_str!("../../lw-soak/regressions.txt");

/// Held during a run: runs of the same seed use the same folder, and hostile callers need the machine for themselves.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

async fn assert_no_findings(options: Options) {
    let _guard = ONE_AT_A_TIME.lock().await;
    let daemon = Path::new(env!("CARGO_BIN_EXE_lavenderwoodd"));
    let name = format!("lw-soak-{}-{}", options.seed, std::process::id());
    let dir = std::env::temp_dir().join(name);
    let outcome = run(&options, daemon, &dir).await.expect("the run is set up");
    let schedule: Vec<_> = draw_events(&options).iter().map(|event| format!("{event:?}")).collect();
    assert!(
        outcome.findings.is_empty(),
        "seed {}: {:#?}\nlogs: {}\n{schedule:#?}",
        options.seed,
        outcome.findings,
        dir.display()
    );
    assert!(outcome.served > 100, "only {} of {} served", outcome.served, outcome.requests);
    std::fs::remove_dir_all(&dir).expect("logs are removed");
}

#[tokio::test(flavor = "multi_thread")]
async fn short_run_has_no_findings() {
    assert_no_findings(Options {
        seed: 1,
        fault_window: Duration::from_secs(8),
        ..Options::default()
    })
    .await;
}

/// Guards against requests to upstreams that left just as the store cut a watch, and against caches that are shared with a
/// workspace that became isolated. Other faults are rare, since those of the store excuse what a VM does for a while.
#[tokio::test(flavor = "multi_thread")]
async fn departures_and_isolation_beside_cut_watches_have_no_findings() {
    assert_no_findings(Options {
        seed: 4,
        mean_interval: Duration::from_secs(3_600),
        ..Options::default()
    })
    .await;
}

/// Guards against streams that are joined from two software versions.
#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_at_their_software_version_through_releases_and_restarts() {
    let _guard = ONE_AT_A_TIME.lock().await;
    let daemon = Path::new(env!("CARGO_BIN_EXE_lavenderwoodd"));
    let dir = std::env::temp_dir().join(format!("lw-soak-releases-{}", std::process::id()));
    let options = Options { seed: 3, ..Options::default() };
    let outcome = releases::run(&options, daemon, &dir).await.expect("the run is set up");
    assert!(outcome.findings.is_empty(), "{:#?}\nlogs: {}", outcome.findings, dir.display());
    assert!(outcome.resumed.1 >= 5 && outcome.releases > 0, "{outcome:?}");
    std::fs::remove_dir_all(&dir).expect("logs are removed");
}

#[tokio::test(flavor = "multi_thread")]
async fn seeds_with_earlier_findings_have_none() {
    for line in REGRESSIONS.lines().filter(|line| !line.starts_with('#')) {
        let mut fields = line.split_whitespace();
        let mut number = || fields.next().and_then(|field| field.parse().ok()).expect("a number");
        let (seed, seconds) = (number(), number());
        let fault_window = Duration::from_secs(seconds);
        assert_no_findings(Options { seed, fault_window, ..Options::default() }).await;
    }
}
