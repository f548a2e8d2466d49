//! Arguments and environment variables.

use std::{ffi::OsString, net::SocketAddr};

use derive_more::{Display, Error, From};
use lw_types::prelude::*;
use pico_args::Arguments;

/// Text of `--help`.
pub const HELP: &str = "\
lavenderwood - command line of the router for operators and callers

Usage: lavenderwood COMMAND [OPTIONS]

Operators' commands, with --operator ADDRESS and the token in the environment
variable LAVENDERWOOD_OPERATOR_TOKEN:
  config show                  print the configuration
  config apply --base N FILE   apply a merge patch (YAML or JSON, - for standard
                               input) made against version N
  config history               print the accepted patches that are still kept
  status                       print version, peers, upstreams and histograms
  explain REQUEST_ID           print the decisions on a request
  drain                        let the VM take no new work and end

On the users' platform, without a token:
  status --metrics ADDRESS     print the status of a VM
  explain --metrics ADDRESS REQUEST_ID
                               print the decisions of a VM on a request
  explain --log FILE REQUEST_ID
                               print them from saved logs, - for standard input

Callers' command, with --callers ADDRESS and the key in --key or in the
environment variable LAVENDERWOOD_API_KEY:
  ask --model NAME --prompt TEXT [--class NAME] [--max-tokens N]
                               send a streamed chat request and print the answer

Options:
  --json       print JSON
  --version    print the version and exit
  --help       print this text and exit

Exit status:
  0  done; for ask: the answer is complete
  1  refused or failed at the VM
  2  wrong arguments, or FILE cannot be read
  3  stale version: the patch was made against another version than the current
     one, and nothing changed
  4  the VM cannot be reached or its answer did not come
  5  the answer's stream ended without its end mark or with an error
";

/// What the environment gives.
#[derive(Clone, Default)]
pub struct Environment {
    /// Operator token.
    pub token: String,
    /// API key.
    pub key: String,
}

impl Environment {
    /// Reads the environment variables; one that is not set is empty.
    #[must_use]
    pub fn read() -> Self {
        let read = |name| std::env::var(name).unwrap_or_default();
        Self { token: read("LAVENDERWOOD_OPERATOR_TOKEN"), key: read("LAVENDERWOOD_API_KEY") }
    }
}

/// The command and how to print its result.
#[derive(Clone, PartialEq, Eq)]
pub struct Options {
    /// Whether to print JSON.
    pub json: bool,
    /// What to do.
    pub command: Command,
}

/// What to do.
#[derive(Clone, PartialEq, Eq)]
pub enum Command {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// An operators' command.
    Operator {
        /// Address of the operators' interface.
        address: SocketAddr,
        /// Operator token.
        token: String,
        /// What to do.
        action: Action,
    },
    /// Print the decisions on a request from saved logs.
    ExplainLog {
        /// File with log lines, or `-`.
        file: OsString,
        /// The request.
        request: RequestId,
    },
    /// Send a chat request.
    Ask(Ask),
}

/// An operators' command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Print the configuration.
    ConfigShow,
    /// Apply a patch.
    ConfigApply {
        /// Version that the patch was made against.
        base: ConfigVersion,
        /// File with the patch, or `-`.
        file: OsString,
    },
    /// Print the accepted patches.
    ConfigHistory,
    /// Print the status.
    Status,
    /// Print the decisions on a request.
    Explain(RequestId),
    /// Drain the VM.
    Drain,
}

/// A chat request.
#[derive(Clone, PartialEq, Eq)]
pub struct Ask {
    /// Address of the callers' interface.
    pub address: SocketAddr,
    /// API key.
    pub key: String,
    /// Model, with `:ADAPTER` if one is to be used.
    pub model: String,
    /// Prompt of the user.
    pub prompt: String,
    /// Class, if one is to be sent.
    pub class: Option<Class>,
    /// Most tokens to generate, if they are to be bounded.
    pub max_tokens: Option<u32>,
}

/// Why the arguments are wrong.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A value is missing or malformed.
    #[display("{_0}")]
    Value(pico_args::Error),
    /// The command is missing or unknown.
    #[display("unknown command {_0:?}")]
    #[from(skip)]
    Command(#[error(not(source))] String),
    /// Arguments that the command does not take.
    #[display("unknown arguments {_0:?}")]
    #[from(skip)]
    Rest(#[error(not(source))] Vec<OsString>),
    /// A request id with characters that no request id has.
    #[display("{_0:?} is not a request id")]
    #[from(skip)]
    RequestId(#[error(not(source))] String),
    /// A secret is neither in the arguments nor in the environment.
    #[display("{_0} is not set")]
    #[from(skip)]
    Secret(#[error(not(source))] &'static str),
}

/// Parses the arguments without the program name.
///
/// # Errors
///
/// When an argument is missing, malformed or unknown.
///
/// ```
/// use lw_cli::args::{Command, Environment, parse};
/// let options = parse(vec!["--version".into()], Environment::default()).unwrap();
/// assert!(options.command == Command::Version);
/// ```
pub fn parse(args: Vec<OsString>, environment: Environment) -> Result<Options, Error> {
    let mut args = Arguments::from_vec(args);
    if args.contains(["-h", "--help"]) {
        return Ok(Options { json: false, command: Command::Help });
    }
    if args.contains(["-V", "--version"]) {
        return Ok(Options { json: false, command: Command::Version });
    }
    let json = args.contains("--json");
    let command = command(&mut args, environment)?;
    let rest = args.finish();
    if rest.is_empty() { Ok(Options { json, command }) } else { Err(Error::Rest(rest)) }
}

fn command(args: &mut Arguments, environment: Environment) -> Result<Command, Error> {
    let name = args.subcommand()?.unwrap_or_default();
    let action = match name.as_str() {
        "ask" => return ask(args, environment.key).map(Command::Ask),
        "config" => {
            let name = args.subcommand()?.unwrap_or_default();
            match name.as_str() {
                "show" => Action::ConfigShow,
                "history" => Action::ConfigHistory,
                "apply" => {
                    let base = args.value_from_str("--base")?;
                    // Options are taken first, since a free argument is the first one left.
                    let operator = args.value_from_str("--operator")?;
                    let file = args.free_from_os_str(|text| Ok::<_, Error>(text.to_owned()))?;
                    if file != "-" && file.to_string_lossy().starts_with('-') {
                        return Err(Error::Rest(vec![file]));
                    }
                    return operators(operator, environment, Action::ConfigApply { base, file });
                }
                _ => return Err(Error::Command(format!("config {name}"))),
            }
        }
        "status" => {
            if let Some(address) = args.opt_value_from_str("--metrics")? {
                return Ok(without_token(address, Action::Status));
            }
            Action::Status
        }
        "drain" => Action::Drain,
        "explain" => return explain(args, environment),
        _ => return Err(Error::Command(name)),
    };
    operators(args.value_from_str("--operator")?, environment, action)
}

fn explain(args: &mut Arguments, environment: Environment) -> Result<Command, Error> {
    // Options are taken first, since a free argument is the first one left.
    let metrics = args.opt_value_from_str("--metrics")?;
    let file = args.opt_value_from_os_str("--log", |text| Ok::<_, Error>(text.to_owned()))?;
    let operator = match (&metrics, &file) {
        (None, None) => Some(args.value_from_str("--operator")?),
        _ => None,
    };
    let request: RequestId = args.free_from_str()?;
    if request.is_empty() || !request.bytes().all(is_id_byte) {
        return Err(Error::RequestId(request));
    }
    match (metrics, file, operator) {
        (Some(address), ..) => Ok(without_token(address, Action::Explain(request))),
        (None, Some(file), _) => Ok(Command::ExplainLog { file, request }),
        (None, None, Some(address)) => operators(address, environment, Action::Explain(request)),
        (None, None, None) => Err(Error::Command("explain".into())),
    }
}

fn without_token(address: SocketAddr, action: Action) -> Command {
    Command::Operator { address, token: String::new(), action }
}

/// The characters of request ids, none of which has a meaning in a path.
fn is_id_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':')
}

fn operators(
    address: SocketAddr,
    environment: Environment,
    action: Action,
) -> Result<Command, Error> {
    if environment.token.is_empty() {
        return Err(Error::Secret("LAVENDERWOOD_OPERATOR_TOKEN"));
    }
    Ok(Command::Operator { address, token: environment.token, action })
}

fn ask(args: &mut Arguments, key: String) -> Result<Ask, Error> {
    let key = args.opt_value_from_str("--key")?.unwrap_or(key);
    if key.is_empty() {
        return Err(Error::Secret("--key or LAVENDERWOOD_API_KEY"));
    }
    Ok(Ask {
        address: args.value_from_str("--callers")?,
        key,
        model: args.value_from_str("--model")?,
        prompt: args.value_from_str("--prompt")?,
        class: args.opt_value_from_str("--class")?,
        max_tokens: args.opt_value_from_str("--max-tokens")?,
    })
}
