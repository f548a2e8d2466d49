//! Command line of the daemon.

use std::path::PathBuf;

use derive_more::{Display, Error, From};

/// Text of `--help`.
pub const HELP_TEXT: &str = "\
lavenderwoodd - router for language-model traffic with long shared prompts

Usage: lavenderwoodd --config FILE [--check]
       lavenderwoodd --platform [--metrics PORT] [--check]

  --config FILE  settings in YAML
  --platform     run on the users' platform, with the settings file that the platform writes
  --metrics PORT serve metrics, status and explanations on this port
  --check        validate the settings and exit
  --version      print the version and exit
  --help         print this text and exit

Exit status: 0 after a drain or a successful check, 1 on a fault while running,
2 on wrong arguments or settings.
";

/// Action that the command line requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Run with this settings file.
    Run(PathBuf),
    /// Validate this settings file.
    Check(PathBuf),
    /// Run on the users' platform and serve metrics on this port, if one is given.
    RunOnPlatform(Option<u16>),
    /// Validate the settings that the users' platform provides.
    CheckOnPlatform,
    /// Print the version.
    Version,
    /// Print the help text.
    Help,
}

/// Fault of the command line.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A missing or malformed argument.
    #[display("{_0}")]
    Argument(pico_args::Error),
    /// Arguments that the program does not have.
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
    let is_check_only = args.contains("--check");
    let is_on_platform = args.contains("--platform");
    let metrics_port = args.opt_value_from_str("--metrics")?;
    let path = if is_on_platform { None } else { Some(args.value_from_str("--config")?) };
    let unknown = args.finish();
    if !unknown.is_empty() {
        let names: Vec<_> = unknown.iter().map(|arg| arg.to_string_lossy()).collect();
        return Err(Error::Unknown(names.join(" ")));
    }
    Ok(match (path, is_check_only) {
        (Some(path), true) => Command::Check(path),
        (Some(path), false) => Command::Run(path),
        (None, true) => Command::CheckOnPlatform,
        (None, false) => Command::RunOnPlatform(metrics_port),
    })
}
