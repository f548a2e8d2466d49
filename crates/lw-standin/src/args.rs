//! Command-line arguments of the programs.

use std::{io::Write as _, net::SocketAddr, process::ExitCode, time::Duration};

use pico_args::{Arguments, Error};

use crate::serve::Handle;

/// Reads the address to listen on, `127.0.0.1:0` when it is not given.
///
/// # Errors
///
/// When the value is not an address.
pub fn listen(args: &mut Arguments) -> Result<SocketAddr, Error> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(args.opt_value_from_str("--listen")?.unwrap_or(any_port))
}

/// Reads a value, or returns the default.
///
/// # Errors
///
/// When the value cannot be parsed.
pub fn value<T>(args: &mut Arguments, key: &'static str, default: T) -> Result<T, Error>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    Ok(args.opt_value_from_str(key)?.unwrap_or(default))
}

/// Reads a time in milliseconds, which may have a fraction, or returns the default.
///
/// # Errors
///
/// When the value is not a number of milliseconds.
pub fn millis(
    args: &mut Arguments,
    key: &'static str,
    default: Duration,
) -> Result<Duration, Error> {
    let parse = |text: &str| match text.parse::<f64>().map(|ms| ms / 1000.0) {
        Ok(secs) => Duration::try_from_secs_f64(secs).map_err(|e| e.to_string()),
        Err(e) => Err(e.to_string()),
    };
    Ok(args.opt_value_from_fn(key, parse)?.unwrap_or(default))
}

/// Reads all values `NAME=VALUE` of an argument that may be repeated.
///
/// # Errors
///
/// When a value has no `=`.
pub fn pairs<B>(args: &mut Arguments, key: &'static str) -> Result<B, Error>
where
    B: FromIterator<(String, String)>,
{
    let parse = |text: &str| match text.split_once('=') {
        Some((name, value)) => Ok((name.to_owned(), value.to_owned())),
        None => Err(format!("{text:?} is not NAME=VALUE")),
    };
    Ok(args.values_from_fn(key, parse)?.into_iter().collect())
}

/// Runs a stand-in program until a signal ends it.
///
/// The first line on standard output is `listening on ADDRESS`.
pub fn run(
    help: &str,
    start: impl FnOnce(&mut Arguments) -> Result<std::io::Result<Handle>, Error>,
) -> ExitCode {
    env_logger::init();
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        println!("{help}");
        return ExitCode::SUCCESS;
    }
    let started = start(&mut args);
    let unknown = args.finish();
    let handle = match started {
        Ok(_) if !unknown.is_empty() => {
            eprintln!("unknown arguments {unknown:?}; see --help");
            return ExitCode::from(2);
        }
        Ok(Ok(handle)) => handle,
        Ok(Err(e)) => {
            eprintln!("{e}");
            return ExitCode::FAILURE;
        }
        Err(e) => {
            eprintln!("{e}; see --help");
            return ExitCode::from(2);
        }
    };
    println!("listening on {}", handle.address());
    // Standard output may be closed; the program serves in any case.
    let _ = std::io::stdout().flush();
    handle.wait();
    ExitCode::SUCCESS
}
