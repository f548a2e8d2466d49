//! A fake VM that returns a prepared answer, and a helper that runs the program against it.
#![allow(dead_code, reason = "each test program uses some of them")]

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

/// Operator token that the program is run with.
pub const TOKEN: &str = "operator-token-for-tests";

/// The answer of the fake VM.
#[derive(Debug, Clone)]
pub enum PreparedAnswer {
    /// A status and a JSON body.
    Json(u16, Value),
    /// An event stream with these data fields; with `is_aborted` the connection is aborted at the end.
    Stream { data: Vec<String>, is_aborted: bool },
}

struct FakeVmApp {
    switches: Switches<HttpFaults>,
    answer: PreparedAnswer,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl App for FakeVmApp {
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
            PreparedAnswer::Json(status, body) => {
                serve::status_json(StatusCode::from_u16(*status).expect("status"), body)
            }
            PreparedAnswer::Stream { data, is_aborted } => {
                let mut events: Vec<_> = data.iter().map(|data| Ok(sse::event(data))).collect();
                if *is_aborted {
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

/// A fake VM with one prepared answer, which records the calls that it receives.
pub struct FakeVm {
    handle: Handle,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl FakeVm {
    pub fn start(answer: PreparedAnswer) -> Self {
        let calls = Arc::new(Mutex::default());
        let recorded_calls = Arc::clone(&calls);
        let handle = serve::start("127.0.0.1:0".parse().expect("address"), move |_, _| {
            let (answer, calls) = (answer.clone(), recorded_calls.clone());
            Arc::new(FakeVmApp { switches: Switches::default(), answer, calls })
        });
        Self { handle: handle.expect("VM"), calls }
    }

    /// Runs a command for operators against the VM.
    pub fn run_operator(&self, args: &[&str]) -> ProgramOutput {
        let address = self.handle.address().to_string();
        run_program(&[args, &["--operator", &address]].concat(), "")
    }

    /// Runs `ask` against the VM.
    pub fn run_ask(&self, args: &[&str]) -> ProgramOutput {
        let address = self.handle.address().to_string();
        let fixed = ["ask", "--callers", &address, "--model", "m", "--prompt", "p"];
        run_program(&[&fixed[..], args].concat(), "")
    }

    /// Returns the call that the VM received, which must be the only one.
    pub fn only_call(&self) -> Call {
        let mut calls = self.calls.lock().expect("calls");
        assert_eq!(calls.len(), 1, "{calls:?}");
        calls.remove(0)
    }
}

/// Exit status and output of a run of the program.
#[derive(Debug)]
pub struct ProgramOutput {
    pub status: i32,
    pub stdout: String,
    pub stderr: String,
}

/// Runs the program with `input` as its standard input.
pub fn run_program(args: &[&str], input: &str) -> ProgramOutput {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lavenderwood"))
        .args(args)
        .env("LAVENDERWOOD_OPERATOR_TOKEN", TOKEN)
        .env_remove("LAVENDERWOOD_API_KEY")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("program");
    // Writing fails if the program exits without reading its input, which is no error here.
    let _ = child.stdin.take().expect("input").write_all(input.as_bytes());
    let output = child.wait_with_output().expect("end of the program");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    ProgramOutput {
        status: output.status.code().expect("exit status"),
        stdout: text(output.stdout),
        stderr: text(output.stderr),
    }
}
