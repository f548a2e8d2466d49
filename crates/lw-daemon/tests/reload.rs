//! Guards against settings that change and are not read again, are taken in part, or end the process.

use std::{
    fs,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use lw_soak::vm::Vm;
use lw_standin::{
    hosted::{
        operator::{VmOptions, config},
        store::Store,
    },
    loopback::free_address,
};

/// Longest wait for a line of the log.
const PATIENCE: Duration = Duration::from_secs(10);

async fn logged(log: &Path, text: &str, times: usize) {
    let end = Instant::now() + PATIENCE;
    while fs::read_to_string(log).unwrap_or_default().matches(text).count() < times {
        assert!(Instant::now() < end, "never in the log: {text}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn change(path: &Path, from: &str, to: &str) {
    let text = fs::read_to_string(path).expect("the settings");
    assert!(text.contains(from), "{from} is not in {text}");
    fs::write(path, text.replace(from, to)).expect("the settings are written");
}

#[tokio::test]
async fn settings_are_read_again_at_a_signal_and_taken_as_a_whole() {
    let store = Store::start().await.expect("a store");
    store.put("op/config", &config(3));
    let dir: PathBuf = std::env::temp_dir().join(format!("lw-reload-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a folder");
    let place = VmOptions {
        vm: "vm-1".into(),
        failure_domain: "kochi-a".into(),
        callers: free_address(),
        readiness: free_address(),
        peers: free_address(),
        store: store.addr(),
        revoke: Duration::from_secs(5),
        drain: Duration::from_secs(2),
    };
    let vm = Vm::new(Path::new(env!("CARGO_BIN_EXE_lavenderwoodd")), &dir, place).expect("a VM");
    vm.start().await.expect("a process");
    logged(&vm.log, "configuration in force", 1).await;
    let settings = dir.join("vm-1.toml");
    change(&settings, "VersionMs = 15000", "VersionMs = 16000");
    vm.signal("-HUP").await.expect("a signal");
    logged(&vm.log, "settings taken", 1).await;
    logged(&vm.log, "version: 16s", 1).await;
    // An address needs a restart, and then the bound beside it is not taken either.
    change(&settings, "VersionMs = 16000", "VersionMs = 17000");
    change(&settings, "NodeName = \"vm-1\"", "NodeName = \"vm-9\"");
    vm.signal("-HUP").await.expect("a signal");
    logged(&vm.log, "a restart is needed to change: name", 1).await;
    change(&settings, "VersionMs = 17000", "VersionMs = \"soon\"");
    vm.signal("-HUP").await.expect("a signal");
    logged(&vm.log, "settings refused", 2).await;
    logged(&vm.log, "Bounds.VersionMs", 1).await;
    assert!(!fs::read_to_string(&vm.log).unwrap().contains("version: 17s"));
    assert!(!vm.has_ended().await.expect("a state"), "it goes on with the former settings");
    assert!(vm.drain(Duration::from_secs(9)).await.expect("an end"));
    fs::remove_dir_all(&dir).expect("its logs can be removed");
}
