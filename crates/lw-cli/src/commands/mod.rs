//! Runs the commands.

use std::io::{self, Read as _};

use derive_more::{Display, Error, From};
use http::Method;
use serde_json::Value;

use crate::{
    args::{Command, HELP, OperatorCommand, Options},
    client::{self, VmClient},
};

mod ask;
mod explain_log;
mod operator_output;

/// Exit status for wrong arguments and files.
pub const USAGE_STATUS: u8 = 2;

const REFUSED_STATUS: u8 = 1;
const STALE_VERSION_STATUS: u8 = 3;
const NO_ANSWER_STATUS: u8 = 4;
const INCOMPLETE_STATUS: u8 = 5;

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The call to the VM failed.
    #[display("{_0}")]
    Client(client::Error),
    /// The answer's stream ended without its end mark or with an error.
    #[display("the answer is not complete: {_0}")]
    #[from(skip)]
    IncompleteAnswer(#[error(not(source))] String),
    /// The file cannot be read or has no valid content.
    #[display("{file}: {message}")]
    #[from(skip)]
    File {
        /// Path of the file.
        file: String,
        /// What is wrong with it.
        message: String,
    },
    /// The result cannot be written to standard output.
    #[display("standard output: {_0}")]
    Output(io::Error),
}

impl Error {
    /// Returns the exit status, as `--help` documents it.
    #[must_use]
    pub fn exit_status(&self) -> u8 {
        match self {
            Self::Client(client::Error::Refused(_)) | Self::Output(_) => REFUSED_STATUS,
            Self::Client(client::Error::StaleVersion(_)) => STALE_VERSION_STATUS,
            Self::Client(client::Error::NoAnswer { .. }) => NO_ANSWER_STATUS,
            Self::IncompleteAnswer(_) => INCOMPLETE_STATUS,
            Self::File { .. } => USAGE_STATUS,
        }
    }
}

/// Runs a command and prints its result.
///
/// # Errors
///
/// Any [`enum@Error`].
pub async fn run(options: &Options) -> Result<(), Error> {
    let out = &mut io::stdout().lock();
    match &options.command {
        Command::Help => print(out, HELP),
        Command::Version => print(out, concat!("lavenderwood ", env!("CARGO_PKG_VERSION"), "\n")),
        Command::Operator { address, token, command } => {
            let client = VmClient::new(*address, token)?;
            let answer = match send_command(&client, command).await {
                Err(Error::Client(client::Error::StaleVersion(version))) => {
                    let json = serde_json::json!({ "current_version": version });
                    let text = format!("current version {version}\n");
                    print(out, &if options.is_json { format_json(&json) } else { text })?;
                    return Err(client::Error::StaleVersion(version).into());
                }
                result => result?,
            };
            let text = if options.is_json {
                format_json(&answer)
            } else {
                operator_output::format_answer(command, &answer)
            };
            print(out, &text)
        }
        Command::ExplainLog { file, request } => {
            let answer = explain_log::explain(&read_text(file)?, request)?;
            let command = OperatorCommand::Explain(request.clone());
            let text = if options.is_json {
                format_json(&answer)
            } else {
                operator_output::format_answer(&command, &answer)
            };
            print(out, &text)
        }
        Command::Ask(request) => ask::run(request, options.is_json, out).await,
    }
}

async fn send_command(client: &VmClient, command: &OperatorCommand) -> Result<Value, Error> {
    let (method, path, body) = match command {
        OperatorCommand::ConfigShow => (Method::GET, "/op/config".to_owned(), None),
        OperatorCommand::ConfigApply { base, file } => {
            (Method::PATCH, format!("/op/config?base={base}"), Some(read_patch(file)?))
        }
        OperatorCommand::ConfigHistory => (Method::GET, "/op/history".to_owned(), None),
        OperatorCommand::Status => (Method::GET, "/op/status".to_owned(), None),
        OperatorCommand::Explain(request) => (Method::GET, format!("/op/explain/{request}"), None),
        OperatorCommand::Drain => (Method::POST, "/op/drain".to_owned(), None),
    };
    let body = body.map(|patch| patch.to_string()).unwrap_or_default();
    Ok(client.request_json(method, &path, body.into(), operator_output::TIMEOUT).await?)
}

/// Reads a merge patch in YAML or JSON; JSON is parsed as YAML, of which it is a subset.
fn read_patch(file: &std::ffi::OsStr) -> Result<Value, Error> {
    let patch: Value =
        serde_saphyr::from_str(&read_text(file)?).map_err(|e| file_error(file, &e))?;
    if patch.is_object() {
        Ok(patch)
    } else {
        Err(file_error(file, &"a merge patch must be a mapping"))
    }
}

/// Reads the text of a file, or of standard input if the path is `-`.
fn read_text(file: &std::ffi::OsStr) -> Result<String, Error> {
    let text = if file == "-" {
        let mut text = String::new();
        io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(file)
    };
    text.map_err(|e| file_error(file, &e))
}

fn file_error(file: &std::ffi::OsStr, reason: &dyn std::fmt::Display) -> Error {
    Error::File { file: file.display().to_string(), message: reason.to_string() }
}

fn format_json(value: &Value) -> String {
    format!("{value:#}\n")
}

fn print(out: &mut impl io::Write, text: &str) -> Result<(), Error> {
    out.write_all(text.as_bytes())?;
    Ok(out.flush()?)
}
