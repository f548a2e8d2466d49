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
/// Longest time that the process waits at its end for a slow reader of its log. Twice the log's flush interval.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

fn main() -> ExitCode {
    let logs = match log_to_stdout() {
        Ok(logs) => logs,
        Err(e) => return usage_error(&format!("cannot start the log: {e}")),
    };
    let code = run_command(&logs);
    if !logs.flush(LOG_FLUSH_TIMEOUT) {
        eprintln!("the log could not be written out in time: its last lines are lost");
    }
    code
}

fn run_command(logs: &Logs) -> ExitCode {
    match args::parse(std::env::args_os().skip(1).collect()) {
        Ok(Command::Help) => print(args::HELP_TEXT),
        Ok(Command::Version) => print(concat!("lavenderwoodd ", env!("CARGO_PKG_VERSION"), "\n")),
        Ok(Command::Check(path)) => match load_settings(&path) {
            Ok(_) => print("the settings are valid\n"),
            Err(e) => usage_error(&e),
        },
        Ok(Command::Run(path)) => match load_settings(&path) {
            Ok(settings) => serve(settings),
            Err(e) => usage_error(&e),
        },
        Ok(Command::CheckOnPlatform) => match load_platform_settings() {
            Ok(_) => print("the settings are valid\n"),
            Err(e) => usage_error(&e),
        },
        Ok(Command::RunOnPlatform(port)) => {
            let read_settings =
                move || load_platform_settings().map(|settings| with_metrics_port(settings, port));
            match read_settings() {
                Ok(settings) => serve_on_platform(settings, logs.clone(), read_settings),
                Err(e) => usage_error(&e),
            }
        }
        Err(e) => usage_error(&format!("{e}\n\n{}", args::HELP_TEXT)),
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

fn usage_error(text: &str) -> ExitCode {
    eprintln!("{text}");
    ExitCode::from(USAGE_STATUS)
}

fn load_settings(path: &Path) -> Result<Settings, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Settings::from_yaml(&text).map_err(|e| e.to_string())
}

fn load_platform_settings() -> Result<VmSettings, String> {
    let path = lw_platform::settings::path();
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    lw_platform::settings::from_toml(&text).map_err(|e| e.to_string())
}

/// Adds the address for metrics: the address that the other VMs connect to, with this port.
fn with_metrics_port(settings: VmSettings, port: Option<u16>) -> VmSettings {
    let metrics = port.map(|port| (settings.peers.ip(), port).into());
    VmSettings { metrics, ..settings }
}

/// Runs on one thread, since a VM of the platform has only a fraction of one core.
fn serve_on_platform(
    settings: VmSettings,
    logs: Logs,
    reload_settings: impl Fn() -> Result<VmSettings, String>,
) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            log::error!("run: cannot start: {e}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(lw_edge::run::run(settings, logs, reload_settings)) {
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
