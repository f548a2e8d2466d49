//! Requests that a VM without a path to any upstream passes on to another VM. The other VM serves such a request like one of a
//! caller and never passes it on again; its answers say whether they are an upstream's or its own.

use std::fmt::Write as _;

use http::{HeaderMap, HeaderName, HeaderValue, Method, Response, Uri};
use lw_transport::auth;
use lw_types::prelude::*;

/// Header of a passed-on request: the VM that sends it, the attempts that it has made, and the authentication code of both with
/// the head of the request.
const FORWARDED: HeaderName = HeaderName::from_static("lavenderwood-forwarded");
/// Header of the answer: `0` if it is an upstream's, else the number of the result code, and an authentication code.
const RESULT: HeaderName = HeaderName::from_static("lavenderwood-result");

/// What a VM states of a request that it passes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Forwarded {
    /// The VM that received the request from its caller.
    pub vm: VmId,
    /// Attempts that may have reached upstreams.
    pub attempts: u32,
}

/// Who gave the answer to a passed-on request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnsweredBy {
    /// An upstream.
    Upstream,
    /// The VM itself, with this result.
    Vm(ResultCode),
}

/// The parts of a request's head that its authentication code covers.
#[derive(Debug, Clone, Copy)]
pub(super) struct SignedHead<'a> {
    pub method: &'a Method,
    pub target: &'a Uri,
    pub id: &'a str,
}

impl SignedHead<'_> {
    fn message(&self, statement: &str) -> Vec<u8> {
        format!("{} {} {}\n{statement}", self.method, self.target, self.id).into_bytes()
    }
}

impl Forwarded {
    /// Adds the statement to the headers of a request.
    pub fn write(&self, key: &[u8], head: SignedHead<'_>, headers: &mut HeaderMap) {
        let statement = format!("{};{}", self.vm, self.attempts);
        set(key, headers, FORWARDED, &statement, &head.message(&statement));
    }

    /// Takes the statement from the headers of a request, if it is authentic.
    pub fn take(key: &[u8], head: SignedHead<'_>, headers: &mut HeaderMap) -> Option<Self> {
        let statement = take(key, headers, FORWARDED, |statement| head.message(statement))?;
        let (vm, attempts) = statement.split_once(';')?;
        Some(Self { vm: vm.to_owned(), attempts: attempts.parse().ok()? })
    }
}

impl AnsweredBy {
    /// Adds who gave the answer to the request with this id.
    pub fn write<B>(self, key: &[u8], id: &str, response: &mut Response<B>) {
        let number = match self {
            Self::Upstream => 0,
            Self::Vm(code) => code.number(),
        };
        let statement = number.to_string();
        let message = result_message(id, &statement);
        set(key, response.headers_mut(), RESULT, &statement, &message);
    }

    /// Takes from the headers who gave the answer, if that is authentic.
    pub fn take(key: &[u8], id: &str, headers: &mut HeaderMap) -> Option<Self> {
        let statement = take(key, headers, RESULT, |statement| result_message(id, statement))?;
        let number: u16 = statement.parse().ok()?;
        if number == 0 {
            return Some(Self::Upstream);
        }
        ResultCode::ALL.iter().find(|code| code.number() == number).copied().map(Self::Vm)
    }
}

/// Removes the headers of passed-on requests, which callers must not set.
pub(super) fn remove_statements(headers: &mut HeaderMap) {
    headers.remove(FORWARDED);
}

/// Returns the authentication code of a message in hexadecimal.
fn code(key: &[u8], message: &[u8]) -> String {
    let signed = auth::sign(key, message);
    let mut code = String::new();
    for byte in &signed[..signed.len() - message.len()] {
        // Writing to a string does not fail.
        let _ = write!(code, "{byte:02x}");
    }
    code
}

fn result_message(id: &str, statement: &str) -> Vec<u8> {
    format!("{id}\n{statement}").into_bytes()
}

/// Sets a header to a statement and the authentication code of the message that it belongs to.
fn set(key: &[u8], headers: &mut HeaderMap, name: HeaderName, statement: &str, message: &[u8]) {
    match HeaderValue::try_from(format!("{statement};{}", code(key, message))) {
        Ok(value) => drop(headers.insert(name, value)),
        Err(e) => log::error!(target: "member", why = e.to_string(); "statement not encoded"),
    }
}

/// Takes a statement from a header, if its code is that of the message that it belongs to.
fn take(
    key: &[u8],
    headers: &mut HeaderMap,
    name: HeaderName,
    message: impl Fn(&str) -> Vec<u8>,
) -> Option<String> {
    let value = headers.remove(name)?;
    let (statement, code_text) = value.to_str().ok()?.rsplit_once(';')?;
    auth::is_equal(code_text, &code(key, &message(statement))).then(|| statement.to_owned())
}
