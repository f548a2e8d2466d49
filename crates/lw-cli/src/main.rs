//! `lavenderwood`, the command line for operators and callers.

use std::process::ExitCode;

use lw_cli::{
    args::{self, Environment},
    commands,
};

fn main() -> ExitCode {
    let environment = Environment::read();
    let options = match args::parse(std::env::args_os().skip(1).collect(), environment) {
        Ok(options) => options,
        Err(e) => {
            eprintln!("lavenderwood: {e}; see --help");
            return ExitCode::from(commands::USAGE_STATUS);
        }
    };
    let rt = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(rt) => rt,
        Err(e) => {
            eprintln!("lavenderwood: {e}");
            return ExitCode::FAILURE;
        }
    };
    match rt.block_on(commands::run(&options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("lavenderwood: {e}");
            ExitCode::from(e.exit_status())
        }
    }
}
