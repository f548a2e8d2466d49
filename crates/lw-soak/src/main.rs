//! Entry point of `lw-soak`.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use lw_soak::{
    releases,
    run::{Error, Outcome, run},
    schedule::Options,
};

const HELP: &str = "\
lw-soak: randomized runs of lavenderwoodd with faults

  --seed N        seed of the first run (default: the time)
  --seeds N       runs, each with the next seed (default: 1)
  --seconds N     time from the start of a run in which faults begin, 1 to 3600 (default: 20)
  --interval-ms N mean time between two faults, 10 to 3600000 (default: 600); departures, stalls and limits come besides
  --vms N         VMs, 1 to 100 (default: 3)
  --releases      replace engines by those of other software versions, beside restarts, instead of all other faults
  --hostile N     callers of each VM that make it hold bytes, 0 to 100 (default: 4)
  --daemon PATH   program of the VMs (default: lavenderwoodd in the folder of this one)
  --logs DIR      folder for the logs of runs with findings (default: target/soak)

Exit status: 0 without findings, 1 with findings, 2 for invalid arguments or a run that could not be set up.
";

struct Arguments {
    options: Options,
    has_releases: bool,
    seeds: u64,
    daemon: PathBuf,
    logs: PathBuf,
}

fn main() -> ExitCode {
    let arguments = match parse_arguments() {
        Ok(Some(arguments)) => arguments,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("{e}\n\n{HELP}");
            return ExitCode::from(2);
        }
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("cannot start the async runtime: {e}");
            return ExitCode::from(2);
        }
    };
    let mut has_findings = false;
    for n in 0..arguments.seeds {
        let options = Options { seed: arguments.options.seed + n, ..arguments.options };
        let dir = arguments.logs.join(format!("{}-{}", options.seed, std::process::id()));
        if arguments.has_releases {
            match runtime.block_on(releases::run(&options, &arguments.daemon, &dir)) {
                Ok(outcome) => has_findings |= print_releases(options.seed, &outcome, &dir),
                Err(e) => return print_error(&e),
            }
            continue;
        }
        match runtime.block_on(run(&options, &arguments.daemon, &dir)) {
            Ok(outcome) => has_findings |= print_outcome(options.seed, &outcome, &dir),
            Err(e) => return print_error(&e),
        }
    }
    ExitCode::from(u8::from(has_findings))
}

fn print_error(e: &Error) -> ExitCode {
    eprintln!("{e}");
    ExitCode::from(2)
}

/// Prints the outcome of a run with releases and returns whether it has findings; removes its logs if it has none.
fn print_releases(seed: u64, outcome: &releases::Outcome, dir: &Path) -> bool {
    let releases::Outcome { findings, begun, resumed, releases } = outcome;
    println!(
        "seed {seed}: {releases} engines replaced, {} of {} streams begun, {} of {} taken up went on, {} findings",
        begun.0,
        begun.1,
        resumed.0,
        resumed.1,
        findings.len()
    );
    print_findings(findings, dir)
}

/// Prints the outcome of a run and returns whether it has findings; removes its logs if it has none.
fn print_outcome(seed: u64, outcome: &Outcome, dir: &Path) -> bool {
    let Outcome { findings, faults, requests, served, peak_kib } = outcome;
    let count = findings.len();
    println!(
        "seed {seed}: {faults} faults, {requests} requests, {served} served, {peak_kib} KiB, {count} findings"
    );
    print_findings(findings, dir)
}

fn print_findings(findings: &[String], dir: &Path) -> bool {
    for finding in findings {
        println!("  {finding}");
    }
    if findings.is_empty() {
        if let Err(e) = std::fs::remove_dir_all(dir) {
            eprintln!("cannot remove {}: {e}", dir.display());
        }
    } else {
        println!("  logs: {}", dir.display());
    }
    !findings.is_empty()
}

/// Returns the command line's arguments, or none when it asks for help.
fn parse_arguments() -> Result<Option<Arguments>, Box<dyn std::error::Error>> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        return Ok(None);
    }
    let time = SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs();
    let seed = args.opt_value_from_str("--seed")?.unwrap_or(time);
    let has_releases = args.contains("--releases");
    let seeds = args.opt_value_from_str("--seeds")?.unwrap_or(1);
    let seconds: u64 = args.opt_value_from_str("--seconds")?.unwrap_or(20);
    let vms: usize = args.opt_value_from_str("--vms")?.unwrap_or(3);
    let interval_ms: u64 = args.opt_value_from_str("--interval-ms")?.unwrap_or(600);
    let hostile_callers = args.opt_value_from_str("--hostile")?.unwrap_or(4);
    if !(1..=3600).contains(&seconds) || !(1..=100).contains(&vms) || hostile_callers > 100 {
        return Err("--seconds must be 1 to 3600, --vms 1 to 100, --hostile 0 to 100".into());
    }
    if !(10..=3_600_000).contains(&interval_ms) {
        return Err("--interval-ms must be 10 to 3600000".into());
    }
    let default_daemon = std::env::current_exe()?.with_file_name("lavenderwoodd");
    let daemon = args.opt_value_from_str("--daemon")?.unwrap_or(default_daemon);
    let logs = args.opt_value_from_str("--logs")?.unwrap_or_else(|| "target/soak".into());
    let unknown = args.finish();
    if let Some(arg) = unknown.first() {
        return Err(format!("unknown argument {}", arg.display()).into());
    }
    let fault_window = Duration::from_secs(seconds);
    let mean_interval = Duration::from_millis(interval_ms);
    let options =
        Options { seed, vms, hostile_callers, fault_window, mean_interval, ..Options::default() };
    Ok(Some(Arguments { options, has_releases, seeds, daemon, logs }))
}
