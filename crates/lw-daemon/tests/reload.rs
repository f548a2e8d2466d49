//! Guards against a SIGHUP after which changed settings are not applied or only partly applied, or the process ends.

use std::{
    fs,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use lw_soak::vm::Vm;
use lw_standin::{
    hosted::{
        operator::{INTERNAL_PORTS, VmOptions, config},
        store::Store,
    },
    loopback::{free_address, free_addresses},
};

/// Longest wait for a log line.
const WAIT_MAX: Duration = Duration::from_secs(10);

async fn wait_for_log(log: &Path, text: &str, times: usize) {
    let end = Instant::now() + WAIT_MAX;
    while fs::read_to_string(log).unwrap_or_default().matches(text).count() < times {
        assert!(Instant::now() < end, "not logged in time: {text}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn replace_in_file(path: &Path, from: &str, to: &str) {
    let text = fs::read_to_string(path).expect("settings are read");
    assert!(text.contains(from), "{from} is not in {text}");
    fs::write(path, text.replace(from, to)).expect("settings are written");
}

#[tokio::test]
async fn sighup_applies_changed_settings_completely_or_not_at_all() {
    let store = Store::start().await.expect("store starts");
    store.put("op/config", &config(3));
    let dir: PathBuf = std::env::temp_dir().join(format!("lw-reload-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("directory is created");
    let place = VmOptions {
        vm: "vm-1".into(),
        failure_domain: "kochi-a".into(),
        callers: free_address(),
        readiness: free_address(),
        peers: free_addresses(INTERNAL_PORTS),
        store: store.addr(),
        revoke: Duration::from_secs(5),
        drain: Duration::from_secs(2),
    };
    let vm = Vm::new(Path::new(env!("CARGO_BIN_EXE_lavenderwoodd")), &dir, place)
        .expect("settings are written");
    vm.start().await.expect("process starts");
    wait_for_log(&vm.log, "configuration in force", 1).await;
    let settings = dir.join("vm-1.toml");
    replace_in_file(&settings, "VersionMs = 15000", "VersionMs = 16000");
    vm.signal("-HUP").await.expect("signal is sent");
    wait_for_log(&vm.log, "settings taken", 1).await;
    wait_for_log(&vm.log, "version: 16s", 1).await;
    // A changed name needs a restart, and then the changed bound is not applied either.
    replace_in_file(&settings, "VersionMs = 16000", "VersionMs = 17000");
    replace_in_file(&settings, "NodeName = \"vm-1\"", "NodeName = \"vm-9\"");
    vm.signal("-HUP").await.expect("signal is sent");
    wait_for_log(&vm.log, "a restart is needed to change: name", 1).await;
    replace_in_file(&settings, "VersionMs = 17000", "VersionMs = \"soon\"");
    vm.signal("-HUP").await.expect("signal is sent");
    wait_for_log(&vm.log, "settings refused", 2).await;
    wait_for_log(&vm.log, "Bounds.VersionMs", 1).await;
    assert!(!fs::read_to_string(&vm.log).unwrap().contains("version: 17s"));
    assert!(
        !vm.has_ended().await.expect("status is read"),
        "the process ended instead of keeping the former settings"
    );
    assert!(vm.drain(Duration::from_secs(9)).await.expect("process ends"));
    fs::remove_dir_all(&dir).expect("logs are removed");
}
