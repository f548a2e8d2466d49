//! Guards against a process on the platform that ends, hangs, or exceeds the memory of its VM because of many callers that stop
//! within a request or an answer: not only because of their bodies. This file has one test, so that its cases run one after
//! the other.

use lw_soak::vm::Vm;
use lw_standin::hosted::{caller::KEY, upstream::MODEL};

mod crowd;
mod hostile;
mod platform;

use crowd::{Group, PATIENCE, Requests, Stop, mixed, run};
use hostile::start_service;
use platform::{BODY_MAX, Machine, SERVICE, is_answered};

/// A machine on which small crowds show what large ones do on larger machines.
const MEMORY_MB: usize = 64;
const FDS_MAX: usize = 4_100;
/// Nearly the largest head that the configuration allows.
const HEAD: usize = 15 << 10;
const LARGE_BODY: usize = 1 << 20;
const SEEDS: std::ops::Range<u64> = 0..2;

fn requests(vm: &Vm) -> Requests {
    let head = |request: &str| {
        format!(
            "{request} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: crowd\r\nX-Credential: {KEY}\r\n\
             X-Deadline-Ms: {}\r\n",
            PATIENCE.as_millis()
        )
    };
    Requests {
        addr: vm.place.callers,
        upload: head("POST /book/x"),
        prompt: head("POST /long/x") + &format!("X-Model: {MODEL}\r\nX-Token-Count: 17020,20\r\n"),
        large_answer: head("GET /look/large"),
    }
}

/// Returns the cases: crowds that come one after the other at the same process.
fn cases() -> Vec<(String, Vec<Vec<Group>>)> {
    let turn = [
        vec![(Stop::Head(HEAD), 500)],
        vec![(Stop::Segments(HEAD), 300)],
        vec![(Stop::Body(LARGE_BODY), 40)],
    ];
    let cases = [
        ("heads that stop", vec![vec![(Stop::Head(HEAD), 1_000)]]),
        ("heads with many segments", vec![vec![(Stop::Segments(HEAD), 700)]]),
        ("heads with many fields", vec![vec![(Stop::Fields(HEAD), 400)]]),
        (
            "heads, large bodies and unread answers",
            vec![vec![(Stop::Head(HEAD), 840), (Stop::Body(LARGE_BODY), 80), (Stop::Answer, 80)]],
        ),
        ("crowds in turn", [turn.clone(), turn].concat()),
        ("more connections than may be open", vec![vec![(Stop::Head(100), 2_200)]]),
    ];
    let cases = cases.into_iter().map(|(name, crowds)| (name.to_owned(), crowds));
    let seeded = SEEDS.map(|seed| {
        let crowds = (0..2).map(|n| mixed(2 * seed + n, 600, HEAD, BODY_MAX)).collect();
        (format!("mixed, seed {seed}"), crowds)
    });
    cases.chain(seeded).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowds_that_stop_stay_within_the_memory_of_a_platform_vm() {
    let dir = std::env::temp_dir().join(format!("lw-crowds-platform-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("directory");
    let machine = Machine {
        memory_mb: MEMORY_MB,
        fds_max: FDS_MAX,
        idle_timeout: Some(PATIENCE),
        route_timeout: PATIENCE,
    };
    let mut findings = Vec::new();
    for (number, (name, crowds)) in cases().into_iter().enumerate() {
        // A process of its own for each case, since its peak memory never falls.
        let service = start_service(SERVICE, b"ok").await;
        let deployment = platform::start_on(machine, &dir, number, service.addr).await;
        let vm = &deployment.vm;
        let pid = vm.pid().expect("running");
        let result = run(&crowds, pid, requests(vm), async || is_answered(vm).await).await;
        findings.extend(hostile::check_usage(&name, &result, MEMORY_MB as u64 * 1024, FDS_MAX));
        vm.kill().await.expect("killed");
    }
    assert!(findings.is_empty(), "{findings:#?}\nlogs: {}", dir.display());
    std::fs::remove_dir_all(&dir).expect("logs are removed");
}
