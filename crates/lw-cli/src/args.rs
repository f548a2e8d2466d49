//! Arguments and environment variables.

use std::{ffi::OsString, net::SocketAddr};

use derive_more::{Display, Error, From};
use lw_types::prelude::*;
use pico_args::Arguments;

/// Text of `--help`.
pub const HELP: &str = "\
lavenderwood - command line of the router for operators and callers

Usage: lavenderwood COMMAND [OPTIONS]

Commands for operators, with --operator ADDRESS and the token in the environment
variable LAVENDERWOOD_OPERATOR_TOKEN:
  config show                  print the configuration
  config apply --base N FILE   apply a merge patch (YAML or JSON, - for standard
                               input) made against version N
  config history               print the accepted patches that are still stored
  status                       print version, peers, upstreams and histograms
  explain REQUEST_ID           print the decisions on a request
  drain                        let the VM accept no new work and then exit

On the users' platform, with the metrics address of a VM or with saved logs,
without a token:
  status --metrics ADDRESS     print the status of a VM
  explain --metrics ADDRESS REQUEST_ID
                               print the decisions of a VM on a request
  explain --log FILE REQUEST_ID
                               print the decisions in saved logs, - for standard input

Command for callers, with --callers ADDRESS and the key in --key or in the
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
  4  the VM cannot be reached or gave no complete answer
  5  the answer's stream ended without its end mark or with an error
";

/// The secrets from the environment variables.
#[derive(Clone, Default)]
pub struct Environment {
    /// `LAVENDERWOOD_OPERATOR_TOKEN`.
    pub operator_token: String,
    /// `LAVENDERWOOD_API_KEY`.
    pub api_key: String,
}

impl Environment {
    /// Reads the environment variables; a variable that is not set results in an empty string.
    #[must_use]
    pub fn read() -> Self {
        let read = |name| std::env::var(name).unwrap_or_default();
        Self {
            operator_token: read("LAVENDERWOOD_OPERATOR_TOKEN"),
            api_key: read("LAVENDERWOOD_API_KEY"),
        }
    }
}

/// The command and how to print its result.
#[derive(Clone, PartialEq, Eq)]
pub struct Options {
    /// Whether the result is printed as JSON.
    pub is_json: bool,
    /// The command.
    pub command: Command,
}

/// A command with its arguments.
#[derive(Clone, PartialEq, Eq)]
pub enum Command {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Send an operator's command to a VM.
    Operator {
        /// Address of the operators' interface.
        address: SocketAddr,
        /// Operator token.
        token: String,
        /// The command.
        command: OperatorCommand,
    },
    /// Print the decisions on a request from saved logs.
    ExplainLog {
        /// File with log lines, or `-` for standard input.
        file: OsString,
        /// Id of the request.
        request: RequestId,
    },
    /// Send a chat request.
    Ask(ChatRequest),
}

/// A command for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Print the configuration.
    ConfigShow,
    /// Apply a patch.
    ConfigApply {
        /// Version that the patch was made against.
        base: ConfigVersion,
        /// File with the patch, or `-` for standard input.
        file: OsString,
    },
    /// Print the accepted patches that the VM still stores.
    ConfigHistory,
    /// Print the status.
    Status,
    /// Print the decisions on a request.
    Explain(RequestId),
    /// Let the VM accept no new work and then exit.
    Drain,
}

/// A chat request.
#[derive(Clone, PartialEq, Eq)]
pub struct ChatRequest {
    /// Address of the callers' interface.
    pub address: SocketAddr,
    /// API key.
    pub key: String,
    /// Model, with `:ADAPTER` if one is to be used.
    pub model: String,
    /// Content of the user message.
    pub prompt: String,
    /// Class of the request, if it is to be sent.
    pub class: Option<Class>,
    /// Largest number of tokens to generate, if it is to be limited.
    pub max_tokens: Option<u32>,
}

/// Why the arguments are wrong.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A value is missing or malformed.
    #[display("{_0}")]
    InvalidValue(pico_args::Error),
    /// The command is missing or unknown.
    #[display("unknown command {_0:?}")]
    #[from(skip)]
    UnknownCommand(#[error(not(source))] String),
    /// Arguments that the command does not have.
    #[display("unknown arguments {_0:?}")]
    #[from(skip)]
    UnknownArguments(#[error(not(source))] Vec<OsString>),
    /// The request id is empty or has characters that request ids do not have.
    #[display("{_0:?} is not a request id")]
    #[from(skip)]
    InvalidRequestId(#[error(not(source))] String),
    /// A secret is neither in the arguments nor in the environment.
    #[display("{_0} is not set")]
    #[from(skip)]
    MissingSecret(#[error(not(source))] &'static str),
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
        return Ok(Options { is_json: false, command: Command::Help });
    }
    if args.contains(["-V", "--version"]) {
        return Ok(Options { is_json: false, command: Command::Version });
    }
    let is_json = args.contains("--json");
    let command = parse_command(&mut args, environment)?;
    let unknown = args.finish();
    if unknown.is_empty() {
        Ok(Options { is_json, command })
    } else {
        Err(Error::UnknownArguments(unknown))
    }
}

fn parse_command(args: &mut Arguments, environment: Environment) -> Result<Command, Error> {
    let name = args.subcommand()?.unwrap_or_default();
    let command = match name.as_str() {
        "ask" => return parse_ask(args, environment.api_key).map(Command::Ask),
        "config" => {
            let name = args.subcommand()?.unwrap_or_default();
            match name.as_str() {
                "show" => OperatorCommand::ConfigShow,
                "history" => OperatorCommand::ConfigHistory,
                "apply" => {
                    let base = args.value_from_str("--base")?;
                    // Options are parsed first, since the free argument is whichever argument is left first.
                    let operator = args.value_from_str("--operator")?;
                    let file = args.free_from_os_str(|text| Ok::<_, Error>(text.to_owned()))?;
                    if file != "-" && file.to_string_lossy().starts_with('-') {
                        return Err(Error::UnknownArguments(vec![file]));
                    }
                    return operator_command(
                        operator,
                        environment,
                        OperatorCommand::ConfigApply { base, file },
                    );
                }
                _ => return Err(Error::UnknownCommand(format!("config {name}"))),
            }
        }
        "status" => {
            if let Some(address) = args.opt_value_from_str("--metrics")? {
                return Ok(without_token(address, OperatorCommand::Status));
            }
            OperatorCommand::Status
        }
        "drain" => OperatorCommand::Drain,
        "explain" => return parse_explain(args, environment),
        _ => return Err(Error::UnknownCommand(name)),
    };
    operator_command(args.value_from_str("--operator")?, environment, command)
}

fn parse_explain(args: &mut Arguments, environment: Environment) -> Result<Command, Error> {
    // Options are parsed first, since the free argument is whichever argument is left first.
    let metrics = args.opt_value_from_str("--metrics")?;
    let file = args.opt_value_from_os_str("--log", |text| Ok::<_, Error>(text.to_owned()))?;
    let operator = match (&metrics, &file) {
        (None, None) => Some(args.value_from_str("--operator")?),
        _ => None,
    };
    let request: RequestId = args.free_from_str()?;
    if request.is_empty() || !request.bytes().all(is_request_id_byte) {
        return Err(Error::InvalidRequestId(request));
    }
    match (metrics, file, operator) {
        (Some(address), ..) => Ok(without_token(address, OperatorCommand::Explain(request))),
        (None, Some(file), _) => Ok(Command::ExplainLog { file, request }),
        (None, None, Some(address)) => {
            operator_command(address, environment, OperatorCommand::Explain(request))
        }
        (None, None, None) => Err(Error::UnknownCommand("explain".into())),
    }
}

fn without_token(address: SocketAddr, command: OperatorCommand) -> Command {
    Command::Operator { address, token: String::new(), command }
}

/// Whether a request id may have the character. None of these has a meaning in a URL path.
fn is_request_id_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':')
}

fn operator_command(
    address: SocketAddr,
    environment: Environment,
    command: OperatorCommand,
) -> Result<Command, Error> {
    if environment.operator_token.is_empty() {
        return Err(Error::MissingSecret("LAVENDERWOOD_OPERATOR_TOKEN"));
    }
    Ok(Command::Operator { address, token: environment.operator_token, command })
}

fn parse_ask(args: &mut Arguments, key: String) -> Result<ChatRequest, Error> {
    let key = args.opt_value_from_str("--key")?.unwrap_or(key);
    if key.is_empty() {
        return Err(Error::MissingSecret("--key or LAVENDERWOOD_API_KEY"));
    }
    Ok(ChatRequest {
        address: args.value_from_str("--callers")?,
        key,
        model: args.value_from_str("--model")?,
        prompt: args.value_from_str("--prompt")?,
        class: args.opt_value_from_str("--class")?,
        max_tokens: args.opt_value_from_str("--max-tokens")?,
    })
}
