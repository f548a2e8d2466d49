//! Guards against a process on the platform that ends, hangs, or uses more than its share of the VM's memory or descriptors
//! because of the bytes that callers send or do not read. This file has one test, so that its cases run one after the other.

use lw_soak::vm::Vm;
use lw_standin::hosted::caller::KEY;

mod hostile;
mod platform;

use hostile::{Requests, cases, check, run, start_service};
use platform::{FDS_MAX, MEMORY_MB, SERVICE, is_answered};

/// 0.8 of the VM's memory in KiB.
const KIB_MAX: u64 = MEMORY_MB as u64 * 1024 * 8 / 10;

fn requests(vm: &Vm) -> Requests {
    let head = |request: &str| {
        format!(
            "{request} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: hostile\r\nX-Credential: {KEY}\r\n\
             X-Deadline-Ms: 15000\r\n"
        )
    };
    Requests {
        addr: vm.place.callers,
        upload: head("POST /book/x"),
        in_flight: head("POST /book/silent"),
        large_answer: head("GET /look/large"),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_bytes_use_bounded_memory_and_descriptors() {
    let dir = std::env::temp_dir().join(format!("lw-bytes-platform-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("directory");
    let mut findings = Vec::new();
    for (number, case) in cases().into_iter().enumerate() {
        // A process of its own for each case, since its peak memory never falls.
        let service = start_service(SERVICE, b"ok").await;
        let deployment = platform::start(&dir, number, service.addr).await;
        let vm = &deployment.vm;
        let pid = vm.pid().expect("running");
        let result = run(case, pid, requests(vm), async || is_answered(vm).await).await;
        findings.extend(check(case, &result, KIB_MAX, FDS_MAX));
        vm.kill().await.expect("killed");
    }
    assert!(findings.is_empty(), "{findings:#?}\nlogs: {}", dir.display());
    std::fs::remove_dir_all(&dir).expect("logs are removed");
}
