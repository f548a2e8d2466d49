//! Runs a stand-in for the platform's services.

use std::process::ExitCode;

use lw_standin::{
    args,
    platform::{Options, start},
};
use pico_args::{Arguments, Error};

const HELP: &str = "\
Usage: standin-platform [OPTIONS]

  --listen ADDRESS       address to listen on [127.0.0.1:0]
  --writes-per-second N  bound on writes, 0 for none [300]
  --reads-per-second N   bound on reads, 0 for none [2000]
  --vms-lag-ms MS        time after which a change of the VM list becomes visible [0]
  --watch-ms MS          longest wait of a watch [20000]
Fault switches are set at run time by POST /faults.";

fn main() -> ExitCode {
    args::run(HELP, |args| Ok(start(parse_options(args)?)))
}

fn parse_options(args: &mut Arguments) -> Result<Options, Error> {
    let defaults = Options::default();
    Ok(Options {
        listen: args::listen(args)?,
        writes_per_second: args::value(args, "--writes-per-second", defaults.writes_per_second)?,
        reads_per_second: args::value(args, "--reads-per-second", defaults.reads_per_second)?,
        vms_lag: args::millis(args, "--vms-lag-ms", defaults.vms_lag)?,
        watch_time: args::millis(args, "--watch-ms", defaults.watch_time)?,
        faults: defaults.faults,
    })
}
