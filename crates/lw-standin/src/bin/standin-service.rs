//! Runs a stand-in for a plain service.

use std::process::ExitCode;

use lw_standin::{
    args,
    service::{Options, start},
};
use pico_args::{Arguments, Error};

const HELP: &str = "\
Usage: standin-service [OPTIONS]

  --listen ADDRESS  address to listen on [127.0.0.1:0]
  --name NAME       name of the instance [service]
  --work-ms MS      time that a call takes [0]
Fault switches are set at run time by POST /faults.";

fn main() -> ExitCode {
    args::run(HELP, |args| Ok(start(parse_options(args)?)))
}

fn parse_options(args: &mut Arguments) -> Result<Options, Error> {
    let defaults = Options::default();
    Ok(Options {
        listen: args::listen(args)?,
        name: args::value(args, "--name", defaults.name)?,
        work_time: args::millis(args, "--work-ms", defaults.work_time)?,
        faults: defaults.faults,
    })
}
