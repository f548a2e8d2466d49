//! A stand-in of a plain service.

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
    args::run(HELP, |args| Ok(start(options(args)?)))
}

fn options(args: &mut Arguments) -> Result<Options, Error> {
    let base = Options::default();
    Ok(Options {
        listen: args::listen(args)?,
        name: args::value(args, "--name", base.name)?,
        work_time: args::millis(args, "--work-ms", base.work_time)?,
        faults: base.faults,
    })
}
