//! Guards against a log that blocks the process, grows without bound, or drops failures in favour of successes.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use log::Level;
use lw_observe::logs::{DroppedLines, Logs, Options, parse};

/// Whether the sink accepts bytes, and the bytes written to it.
type SinkState = Mutex<(bool, Vec<u8>)>;

/// A sink whose writes block until it is opened.
#[derive(Debug, Clone, Default)]
struct GatedSink(Arc<(SinkState, Condvar)>);

impl GatedSink {
    fn open(&self) {
        self.0.0.lock().unwrap().0 = true;
        self.0.1.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.0.0.lock().unwrap().1.clone()).unwrap()
    }

    fn wait_until_written(&self, text: &str) -> String {
        let end = Instant::now() + Duration::from_secs(10);
        while !self.text().contains(text) {
            assert!(Instant::now() < end, "not written within 10 s: {text}");
            std::thread::sleep(Duration::from_millis(5));
        }
        self.text()
    }
}

impl Write for GatedSink {
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
fn a_blocked_sink_does_not_block_logging() {
    let sink = GatedSink::default();
    let unbounded = Options { lines_per_s: 1_000_000, bytes_per_s: 100_000_000, ..options() };
    let logs = Logs::new(unbounded, sink.clone()).unwrap();
    let started = Instant::now();
    for n in 0..20_000 {
        logs.push(Level::Info, &format!("2026-01-01T00:00:00Z INFO http: answered request={n}"));
    }
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    assert!(logs.dropped_lines().successes > 19_000);
    sink.open();
    sink.wait_until_written("request=0\n");
}

/// Guards against a process that exits before its last lines are written, or that cannot exit while its log output is
/// blocked.
#[test]
fn flush_waits_for_the_last_lines_up_to_its_limit() {
    let sink = GatedSink::default();
    let logs = Logs::new(options(), sink.clone()).unwrap();
    logs.push(Level::Info, "run: drained");
    assert!(!logs.flush(Duration::from_millis(300)), "{}", sink.text());
    sink.open();
    assert!(logs.flush(Duration::from_secs(10)));
    assert_eq!(sink.text(), "run: drained\n");
}

#[test]
fn successes_are_dropped_before_failures_and_dropped_lines_are_counted() {
    let sink = GatedSink::default();
    sink.open();
    let logs = Logs::new(options(), sink.clone()).unwrap();
    for n in 0..200 {
        logs.push(Level::Info, &format!("t INFO http: answered request=s{n}"));
    }
    for n in 0..20 {
        logs.push(Level::Warn, &format!("t WARN http: failed request=f{n}"));
    }
    let text = sink.wait_until_written("request=f19\n");
    assert!(
        (70..=80).contains(&text.matches("INFO").count()),
        "a quarter is reserved for failures"
    );
    assert_eq!(logs.dropped_lines().failures, 0);
    std::thread::sleep(Duration::from_millis(1_050));
    logs.push(Level::Info, "t INFO http: answered request=last");
    let text = sink.wait_until_written("request=last\n");
    let DroppedLines { successes, .. } = logs.dropped_lines();
    assert!(text.contains(&format!("lines left out successes={successes} failures=0")), "{text}");
}

/// Guards against output above the bounds of lines and bytes per second.
#[test]
fn lines_and_bytes_per_second_are_bounded() {
    let sink = GatedSink::default();
    sink.open();
    let logs = Logs::new(options(), sink.clone()).unwrap();
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(2) {
        logs.push(Level::Error, &format!("t ERROR http: failed {}", "x".repeat(60)));
    }
    std::thread::sleep(Duration::from_millis(300));
    // A full budget at the start adds the amount of one second.
    let seconds = usize::try_from(started.elapsed().as_secs()).unwrap() + 2;
    let text = sink.text();
    assert!(text.len() <= 10_000 * seconds, "{} bytes", text.len());
    assert!(text.lines().count() <= 100 * seconds);
}

#[test]
fn lines_of_a_request_are_found_even_when_they_were_dropped() {
    let logs = Logs::new(Options { lines_per_s: 0, ..options() }, io::sink()).unwrap();
    logs.push(Level::Info, "t INFO route: request sent request=a1 attempt=1");
    logs.push(Level::Info, "t INFO route: request sent request=a12 attempt=1");
    logs.push(Level::Info, "t INFO http: request answered status=200 request=a1");
    let lines = logs.lines_of_request("a1");
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert_eq!(parse(&lines[1]).unwrap().field("status"), Some("200"));
}

#[test]
fn fields_with_spaces_and_quotes_are_parsed() {
    let line =
        parse("t WARN http: request failed why=\"he said \\\"no\\\" twice\" code=3000").unwrap();
    assert_eq!(line.field("why"), Some("he said \"no\" twice"));
    assert_eq!(line.field("code"), Some("3000"));
}
