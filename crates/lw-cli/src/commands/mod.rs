//! The commands.

use std::io::{self, Read as _};

use derive_more::{Display, Error, From};
use http::Method;
use serde_json::Value;

use crate::{
    args::{Action, Command, HELP, Options},
    remote::{self, Remote},
};

mod ask;
mod log;
mod operators;

/// Exit status for wrong arguments and files.
pub const USAGE_STATUS: u8 = 2;

const REFUSED_STATUS: u8 = 1;
const STALE_STATUS: u8 = 3;
const NO_ANSWER_STATUS: u8 = 4;
const BROKEN_STATUS: u8 = 5;

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The VM gave no good answer.
    #[display("{_0}")]
    Remote(remote::Error),
    /// The answer's stream ended without its end mark or with an error.
    #[display("the answer is not complete: {_0}")]
    #[from(skip)]
    Broken(#[error(not(source))] String),
    /// The file cannot be read.
    #[display("{file}: {message}")]
    #[from(skip)]
    File {
        /// Name of the file.
        file: String,
        /// What is wrong.
        message: String,
    },
    /// Standard output is closed.
    #[display("output: {_0}")]
    Output(io::Error),
}

impl Error {
    /// The exit status, as `--help` documents it.
    #[must_use]
    pub fn exit_status(&self) -> u8 {
        match self {
            Self::Remote(remote::Error::Refused(_)) | Self::Output(_) => REFUSED_STATUS,
            Self::Remote(remote::Error::Stale(_)) => STALE_STATUS,
            Self::Remote(remote::Error::NoAnswer { .. }) => NO_ANSWER_STATUS,
            Self::Broken(_) => BROKEN_STATUS,
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
        Command::Operator { address, token, action } => {
            let remote = Remote::new(*address, token)?;
            let answer = match call(&remote, action).await {
                Err(Error::Remote(remote::Error::Stale(version))) => {
                    let json = serde_json::json!({ "current_version": version });
                    let text = format!("current version {version}\n");
                    print(out, &if options.json { pretty(&json) } else { text })?;
                    return Err(remote::Error::Stale(version).into());
                }
                result => result?,
            };
            let text =
                if options.json { pretty(&answer) } else { operators::text(action, &answer) };
            print(out, &text)
        }
        Command::ExplainLog { file, request } => {
            let answer = log::explain(&read_text(file)?, request)?;
            let action = Action::Explain(request.clone());
            let text =
                if options.json { pretty(&answer) } else { operators::text(&action, &answer) };
            print(out, &text)
        }
        Command::Ask(request) => ask::run(request, options.json, out).await,
    }
}

async fn call(remote: &Remote, action: &Action) -> Result<Value, Error> {
    let (method, path, body) = match action {
        Action::ConfigShow => (Method::GET, "/op/config".to_owned(), None),
        Action::ConfigApply { base, file } => {
            (Method::PATCH, format!("/op/config?base={base}"), Some(read_patch(file)?))
        }
        Action::ConfigHistory => (Method::GET, "/op/history".to_owned(), None),
        Action::Status => (Method::GET, "/op/status".to_owned(), None),
        Action::Explain(request) => (Method::GET, format!("/op/explain/{request}"), None),
        Action::Drain => (Method::POST, "/op/drain".to_owned(), None),
    };
    let body = body.map(|patch| patch.to_string()).unwrap_or_default();
    Ok(remote.json(method, &path, body.into(), operators::TIMEOUT).await?)
}

/// Reads a merge patch; JSON is read as the YAML that it also is.
fn read_patch(file: &std::ffi::OsStr) -> Result<Value, Error> {
    let patch: Value =
        serde_saphyr::from_str(&read_text(file)?).map_err(|e| wrong_file(file, &e))?;
    if patch.is_object() {
        Ok(patch)
    } else {
        Err(wrong_file(file, &"a merge patch must be a mapping"))
    }
}

/// The text of a file, or of standard input if its name is `-`.
fn read_text(file: &std::ffi::OsStr) -> Result<String, Error> {
    let text = if file == "-" {
        let mut text = String::new();
        io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(file)
    };
    text.map_err(|e| wrong_file(file, &e))
}

fn wrong_file(file: &std::ffi::OsStr, what: &dyn std::fmt::Display) -> Error {
    Error::File { file: file.display().to_string(), message: what.to_string() }
}

fn pretty(value: &Value) -> String {
    format!("{value:#}\n")
}

fn print(out: &mut impl io::Write, text: &str) -> Result<(), Error> {
    out.write_all(text.as_bytes())?;
    Ok(out.flush()?)
}
