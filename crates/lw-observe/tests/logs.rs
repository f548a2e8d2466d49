//! Guards against logs that hold a process up, grow without bound, or lose failures behind successes.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use log::Level;
use lw_observe::logs::{DroppedLines, Logs, Options, parse};

/// Whether the reader reads, and what it has read.
type Read = Mutex<(bool, Vec<u8>)>;

/// A reader that stands still until it is opened.
#[derive(Debug, Clone, Default)]
struct Gate(Arc<(Read, Condvar)>);

impl Gate {
    fn open(&self) {
        self.0.0.lock().unwrap().0 = true;
        self.0.1.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.0.0.lock().unwrap().1.clone()).unwrap()
    }

    fn wait_for(&self, text: &str) -> String {
        let end = Instant::now() + Duration::from_secs(10);
        while !self.text().contains(text) {
            assert!(Instant::now() < end, "never written: {text}");
            std::thread::sleep(Duration::from_millis(5));
        }
        self.text()
    }
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let (lock, opened) = &*self.0;
        let mut state = opened.wait_while(lock.lock().unwrap(), |state| !state.0).unwrap();
        state.1.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn options() -> Options {
    Options { lines_per_s: 100, bytes_per_s: 10_000, queue_bytes: 4096, ..Options::default() }
}

#[test]
fn a_reader_that_stands_still_holds_nobody_up() {
    let gate = Gate::default();
    let unbound = Options { lines_per_s: 1_000_000, bytes_per_s: 100_000_000, ..options() };
    let logs = Logs::new(unbound, gate.clone()).unwrap();
    let started = Instant::now();
    for n in 0..20_000 {
        logs.push(Level::Info, &format!("2026-01-01T00:00:00Z INFO http: answered request={n}"));
    }
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    assert!(logs.dropped_lines().successes > 19_000);
    gate.open();
    gate.wait_for("request=0\n");
}

/// Guards against a process that ends before its last lines are written, or never ends beside a reader that stands
/// still.
#[test]
fn the_last_lines_are_waited_for_but_not_without_a_bound() {
    let gate = Gate::default();
    let logs = Logs::new(options(), gate.clone()).unwrap();
    logs.push(Level::Info, "run: drained");
    assert!(!logs.flush(Duration::from_millis(300)), "{}", gate.text());
    gate.open();
    assert!(logs.flush(Duration::from_secs(10)));
    assert_eq!(gate.text(), "run: drained\n");
}

#[test]
fn failures_are_kept_before_successes_and_what_is_left_out_is_counted() {
    let gate = Gate::default();
    gate.open();
    let logs = Logs::new(options(), gate.clone()).unwrap();
    for n in 0..200 {
        logs.push(Level::Info, &format!("t INFO http: answered request=s{n}"));
    }
    for n in 0..20 {
        logs.push(Level::Warn, &format!("t WARN http: failed request=f{n}"));
    }
    let text = gate.wait_for("request=f19\n");
    assert!((70..=80).contains(&text.matches("INFO").count()), "a quarter is kept for failures");
    assert_eq!(logs.dropped_lines().failures, 0);
    std::thread::sleep(Duration::from_millis(1_050));
    logs.push(Level::Info, "t INFO http: answered request=last");
    let text = gate.wait_for("request=last\n");
    let DroppedLines { successes, .. } = logs.dropped_lines();
    assert!(text.contains(&format!("lines left out successes={successes} failures=0")), "{text}");
}

/// The volume in any second stays within the stated bound, however many lines come.
#[test]
fn the_volume_is_bounded() {
    let gate = Gate::default();
    gate.open();
    let logs = Logs::new(options(), gate.clone()).unwrap();
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(2) {
        logs.push(Level::Error, &format!("t ERROR http: failed {}", "x".repeat(60)));
    }
    std::thread::sleep(Duration::from_millis(300));
    // The budget of one second may have been saved up before.
    let seconds = usize::try_from(started.elapsed().as_secs()).unwrap() + 2;
    let text = gate.text();
    assert!(text.len() <= 10_000 * seconds, "{} bytes", text.len());
    assert!(text.lines().count() <= 100 * seconds);
}

#[test]
fn lines_about_a_request_are_found_also_when_they_were_left_out() {
    let logs = Logs::new(Options { lines_per_s: 0, ..options() }, io::sink()).unwrap();
    logs.push(Level::Info, "t INFO route: request sent request=a1 attempt=1");
    logs.push(Level::Info, "t INFO route: request sent request=a12 attempt=1");
    logs.push(Level::Info, "t INFO http: request answered status=200 request=a1");
    let lines = logs.lines_of_request("a1");
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert_eq!(parse(&lines[1]).unwrap().field("status"), Some("200"));
}

#[test]
fn fields_with_spaces_and_quotes_survive() {
    let line =
        parse("t WARN http: request failed why=\"he said \\\"no\\\" twice\" code=3000").unwrap();
    assert_eq!(line.field("why"), Some("he said \"no\" twice"));
    assert_eq!(line.field("code"), Some("3000"));
}
