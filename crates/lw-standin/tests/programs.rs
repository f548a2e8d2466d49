//! Tests the programs that run the stand-ins and the load tool.

use std::{
    io::{BufRead as _, BufReader},
    net::TcpStream,
    process::{Command, Stdio},
};

const PROGRAMS: [&str; 3] = [
    env!("CARGO_BIN_EXE_standin-engine"),
    env!("CARGO_BIN_EXE_standin-service"),
    env!("CARGO_BIN_EXE_standin-platform"),
];

/// Guards against a program that does not print its address, for which scripts wait, or that ignores a signal while a
/// connection is open.
#[test]
fn programs_print_their_address_and_end_on_a_signal() {
    for program in PROGRAMS {
        let mut child = Command::new(program).stdout(Stdio::piped()).spawn().expect(program);
        let mut line = String::new();
        let out = child.stdout.take().expect("output");
        BufReader::new(out).read_line(&mut line).expect("line");
        let address = line.trim().strip_prefix("listening on ").expect(&line);
        let idle = TcpStream::connect(address).expect("connection");
        let pid = child.id().to_string();
        assert!(Command::new("kill").arg(&pid).status().expect("kill").success());
        assert!(child.wait().expect("end").success(), "{program}");
        drop(idle);
    }
}

/// Guards against misspelled options or invalid values that are ignored.
#[test]
fn wrong_arguments_are_refused() {
    let cases = [["--colour", "red"], ["--listen", "nowhere"]];
    for program in PROGRAMS.into_iter().chain([env!("CARGO_BIN_EXE_lw-load")]) {
        for args in cases {
            let status = Command::new(program).args(args).stderr(Stdio::null()).status();
            assert_eq!(status.expect(program).code(), Some(2), "{program} {args:?}");
        }
    }
}
