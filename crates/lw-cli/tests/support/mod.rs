//! A small VM that gives prepared answers, and runs of the program against it.
#![allow(dead_code, reason = "each test program uses a part of them")]

use std::{
    io::Write as _,
    process::{Command, Stdio},
    sync::{Arc, Mutex},
};

use futures::stream;
use http::StatusCode;
use lw_protocol::sse;
use lw_standin::serve::{self, App, Call, Handle, HttpFaults, Response, Switches};
use serde_json::Value;

/// Operator token of the prepared VM.
pub const TOKEN: &str = "operator-token-for-tests";

/// What the VM answers.
#[derive(Debug, Clone)]
pub enum Prepared {
    /// A status and a JSON body.
    Json(u16, Value),
    /// A stream with these data fields; `aborted` aborts the connection at the end.
    Stream { data: Vec<String>, aborted: bool },
}

struct Vm {
    switches: Switches<HttpFaults>,
    answer: Prepared,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl App for Vm {
    type Faults = HttpFaults;

    fn switches(&self) -> &Switches<HttpFaults> {
        &self.switches
    }

    fn http_faults(faults: &HttpFaults) -> &HttpFaults {
        faults
    }

    fn is_exempt_from_faults(_: &str) -> bool {
        false
    }

    async fn call(self: Arc<Self>, call: Call) -> Response {
        self.calls.lock().expect("calls").push(call);
        match &self.answer {
            Prepared::Json(status, body) => {
                serve::status_json(StatusCode::from_u16(*status).expect("status"), body)
            }
            Prepared::Stream { data, aborted } => {
                let mut events: Vec<_> = data.iter().map(|data| Ok(sse::event(data))).collect();
                if *aborted {
                    events.push(Err(std::io::Error::other("aborted")));
                }
                let mut response = serve::stream(stream::iter(events));
                let id = http::HeaderValue::from_static("req-1");
                response.headers_mut().insert("x-request-id", id);
                response
            }
        }
    }
}

/// A VM with one prepared answer and the calls that it received.
pub struct Fake {
    handle: Handle,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl Fake {
    pub fn start(answer: Prepared) -> Self {
        let calls = Arc::new(Mutex::default());
        let seen = Arc::clone(&calls);
        let handle = serve::start("127.0.0.1:0".parse().expect("address"), move |_, _| {
            let (answer, calls) = (answer.clone(), seen.clone());
            Arc::new(Vm { switches: Switches::default(), answer, calls })
        });
        Self { handle: handle.expect("VM"), calls }
    }

    /// Runs an operators' command against the VM.
    pub fn operator(&self, args: &[&str]) -> Ran {
        let address = self.handle.address().to_string();
        run(&[args, &["--operator", &address]].concat(), "")
    }

    /// Runs `ask` against the VM.
    pub fn ask(&self, args: &[&str]) -> Ran {
        let address = self.handle.address().to_string();
        let fixed = ["ask", "--callers", &address, "--model", "m", "--prompt", "p"];
        run(&[&fixed[..], args].concat(), "")
    }

    /// The only call that the VM received.
    pub fn call(&self) -> Call {
        let mut calls = self.calls.lock().expect("calls");
        assert_eq!(calls.len(), 1, "{calls:?}");
        calls.remove(0)
    }
}

/// How the program ended.
#[derive(Debug)]
pub struct Ran {
    pub status: i32,
    pub out: String,
    pub err: String,
}

/// Runs the program.
pub fn run(args: &[&str], input: &str) -> Ran {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lavenderwood"))
        .args(args)
        .env("LAVENDERWOOD_OPERATOR_TOKEN", TOKEN)
        .env_remove("LAVENDERWOOD_API_KEY")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("program");
    // A program that reads no input closes it, which is no fault.
    let _ = child.stdin.take().expect("input").write_all(input.as_bytes());
    let output = child.wait_with_output().expect("end of the program");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    Ran {
        status: output.status.code().expect("exit status"),
        out: text(output.stdout),
        err: text(output.stderr),
    }
}
