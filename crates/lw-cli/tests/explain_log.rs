//! Guards against an `explain` that misses log lines of a request, or orders the lines of several VMs wrongly.

use std::{io::Write as _, process::Command};

const LOG_LINES: &str = "\
2026-05-28T07:19:38.000Z INFO http: request answered request=b2 status=200 attempts=1
2026-05-28T07:19:37.100Z INFO route: request sent request=a1 attempt=1 upstream=e1 expected_ms=210
2026-05-28T07:19:37.400Z WARN http: stream broken off request=a1 code=4001 why=\"connection broke\"
2026-05-28T07:19:37.300Z WARN route: attempt ended request=a1 upstream=e1 ended=failed
not a line
";

#[test]
fn explain_orders_saved_log_lines_by_time() {
    let mut file = create_temporary_file();
    file.1.write_all(LOG_LINES.as_bytes()).unwrap();
    let output = run_program(&["explain", "--log", &file.0, "a1"]);
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8(output.stdout).unwrap();
    let position =
        |step: &str| text.find(step).unwrap_or_else(|| panic!("{step} is missing in {text}"));
    assert!(
        position("request sent") < position("attempt ended")
            && position("attempt ended") < position("stream broken")
    );
    assert!(text.contains("300") && text.contains("why=connection broke"), "{text}");
    assert!(!text.contains("b2"));
    let output = run_program(&["explain", "--log", &file.0, "c3"]);
    assert_eq!(output.status.code(), Some(1));
    std::fs::remove_file(&file.0).unwrap();
}

fn run_program(args: &[&str]) -> std::process::Output {
    Command::new(env!("CARGO_BIN_EXE_lavenderwood")).args(args).output().unwrap()
}

fn create_temporary_file() -> (String, std::fs::File) {
    let name = format!("lavenderwood-logs-{}", std::process::id());
    let path = std::env::temp_dir().join(name).to_string_lossy().into_owned();
    let file = std::fs::File::create(&path).unwrap();
    (path, file)
}
