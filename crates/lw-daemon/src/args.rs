//! Command line of the daemon.

use std::path::PathBuf;

use derive_more::{Display, Error, From};

/// Text of `--help`.
pub const HELP: &str = "\
lavenderwoodd - router for language-model traffic with long shared prompts

Usage: lavenderwoodd --config FILE [--check]
       lavenderwoodd --platform [--metrics PORT] [--check]

  --config FILE  settings in YAML
  --platform     run on the users' platform, with the settings that it provides
  --metrics PORT serve metrics, status and explanations on this port
  --check        validate the settings and exit
  --version      print the version and exit
  --help         print this text and exit

Exit status: 0 after a drain or a successful check, 1 on a fault while running,
2 on wrong arguments or settings.
";

/// What the command line asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Run with this settings file.
    Run(PathBuf),
    /// Validate this settings file.
    Check(PathBuf),
    /// Run on the users' platform, with metrics on this port if there is one.
    RunOnPlatform(Option<u16>),
    /// Validate the settings that the users' platform provides.
    CheckOnPlatform,
    /// Print the version.
    Version,
    /// Print the help text.
    Help,
}

/// Why the command line could not be read.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A missing or malformed argument.
    #[display("{_0}")]
    Argument(pico_args::Error),
    /// Arguments that are not known.
    #[display("unknown arguments: {_0}")]
    #[from(skip)]
    Unknown(#[error(not(source))] String),
}

/// Parses the arguments without the program name.
///
/// # Errors
///
/// On missing, malformed or unknown arguments.
///
/// ```
/// use lw_daemon::args::{Command, parse};
/// assert_eq!(parse(vec!["--version".into()]).unwrap(), Command::Version);
/// assert!(parse(vec!["--colour".into()]).is_err());
/// ```
pub fn parse(args: Vec<std::ffi::OsString>) -> Result<Command, Error> {
    let mut args = pico_args::Arguments::from_vec(args);
    if args.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    if args.contains(["-V", "--version"]) {
        return Ok(Command::Version);
    }
    let check = args.contains("--check");
    let on_platform = args.contains("--platform");
    let metrics = args.opt_value_from_str("--metrics")?;
    let path = if on_platform { None } else { Some(args.value_from_str("--config")?) };
    let rest = args.finish();
    if !rest.is_empty() {
        let names: Vec<_> = rest.iter().map(|arg| arg.to_string_lossy()).collect();
        return Err(Error::Unknown(names.join(" ")));
    }
    Ok(match (path, check) {
        (Some(path), true) => Command::Check(path),
        (Some(path), false) => Command::Run(path),
        (None, true) => Command::CheckOnPlatform,
        (None, false) => Command::RunOnPlatform(metrics),
    })
}
