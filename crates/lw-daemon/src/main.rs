//! Entry point of `lavenderwoodd`.

use std::{path::Path, process::ExitCode, time::Duration};

use lw_catalog::VmSettings;
use lw_config::settings::Settings;
use lw_daemon::{
    args::{self, Command},
    run,
};
use lw_observe::logs::{Logs, Options};

const USAGE_STATUS: u8 = 2;
/// Longest time that the end of the process waits for a slow reader of its log. Twice the log's flush period.
const LAST_LINES: Duration = Duration::from_millis(200);

fn main() -> ExitCode {
    let logs = match log_to_stdout() {
        Ok(logs) => logs,
        Err(e) => return usage(&format!("no log: {e}")),
    };
    let code = execute(&logs);
    if !logs.flush(LAST_LINES) {
        eprintln!("the reader of the log is too slow: its last lines are lost");
    }
    code
}

fn execute(logs: &Logs) -> ExitCode {
    match args::parse(std::env::args_os().skip(1).collect()) {
        Ok(Command::Help) => print(args::HELP),
        Ok(Command::Version) => print(concat!("lavenderwoodd ", env!("CARGO_PKG_VERSION"), "\n")),
        Ok(Command::Check(path)) => match load(&path) {
            Ok(_) => print("the settings are valid\n"),
            Err(e) => usage(&e),
        },
        Ok(Command::Run(path)) => match load(&path) {
            Ok(settings) => serve(settings),
            Err(e) => usage(&e),
        },
        Ok(Command::CheckOnPlatform) => match load_platform() {
            Ok(_) => print("the settings are valid\n"),
            Err(e) => usage(&e),
        },
        Ok(Command::RunOnPlatform(port)) => {
            let read = move || load_platform().map(|settings| with_metrics(settings, port));
            match read() {
                Ok(settings) => serve_on_platform(settings, logs.clone(), read),
                Err(e) => usage(&e),
            }
        }
        Err(e) => usage(&format!("{e}\n\n{}", args::HELP)),
    }
}

fn log_to_stdout() -> Result<Logs, Box<dyn std::error::Error>> {
    let logs = Logs::new(Options::default(), std::io::stdout())?;
    logs.install()?;
    Ok(logs)
}

fn print(text: &str) -> ExitCode {
    print!("{text}");
    ExitCode::SUCCESS
}

fn usage(text: &str) -> ExitCode {
    eprintln!("{text}");
    ExitCode::from(USAGE_STATUS)
}

fn load(path: &Path) -> Result<Settings, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Settings::from_yaml(&text).map_err(|e| e.to_string())
}

fn load_platform() -> Result<VmSettings, String> {
    let path = lw_platform::settings::path();
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    lw_platform::settings::from_toml(&text).map_err(|e| e.to_string())
}

/// Metrics are served on the address at which the VM talks to the other VMs.
fn with_metrics(settings: VmSettings, port: Option<u16>) -> VmSettings {
    let metrics = port.map(|port| (settings.peers.ip(), port).into());
    VmSettings { metrics, ..settings }
}

/// Runs on one thread, since the VMs of the platform have a part of one core.
fn serve_on_platform(
    settings: VmSettings,
    logs: Logs,
    read_again: impl Fn() -> Result<VmSettings, String>,
) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            log::error!("run: cannot start: {e}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(lw_edge::run::run(settings, logs, read_again)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("run: {e}");
            ExitCode::FAILURE
        }
    }
}

fn serve(settings: Settings) -> ExitCode {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = match builder.worker_threads(settings.workers).enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            log::error!("run: cannot start the worker threads: {e}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run::run(settings)) {
        Ok(_) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("run: {e}");
            ExitCode::FAILURE
        }
    }
}
