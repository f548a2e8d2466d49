//! Structured log lines on standard output.
//!
//! A line has the time, the level, the component that writes it, a message, and fields: `request=9c41 expected_ms=12`.
//! Logging never blocks on output: lines go through a bounded queue to a writer thread. Lines above the bounds are
//! dropped and counted. Part of each bound is reserved for warnings and errors, so others are dropped first.

use std::{
    io::{self, Write},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use log::Level;

mod budget;
mod line;
mod recent;

pub use line::{Line, parse, steps};

use budget::Budget;
use recent::RecentLines;

/// Time for which the writer collects lines before it writes them all at once.
const FLUSH_PERIOD: Duration = Duration::from_millis(100);
/// Shortest time between two lines that report the number of dropped lines.
const DROPPED_LINES_PERIOD: Duration = Duration::from_secs(1);

/// Bounds of the log volume and of the memory for lines.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Most lines written in a second.
    pub lines_per_s: u32,
    /// Most bytes written in a second.
    pub bytes_per_s: u32,
    /// Fraction of lines and bytes that is reserved for warnings and errors.
    pub failure_reserve_fraction: f64,
    /// Most bytes of queued lines.
    pub queue_bytes: usize,
    /// Most bytes of recent lines that are retained for [`Logs::lines_of_request`].
    pub recent_bytes: usize,
}

impl Default for Options {
    /// Enough for three lines of 250 bytes for each of 100 requests a second. A quarter of the total is reserved for
    /// warnings and errors.
    fn default() -> Self {
        Self {
            lines_per_s: 400,
            bytes_per_s: 100_000,
            failure_reserve_fraction: 0.25,
            queue_bytes: 128 << 10,
            recent_bytes: 256 << 10,
        }
    }
}

#[derive(Debug)]
struct State {
    queue: Vec<u8>,
    /// Whether the writer thread has removed lines from the queue that it has not written yet.
    is_writing: bool,
    budget: Budget,
    recent: RecentLines,
    dropped: DroppedLines,
    reported_at: Instant,
}

/// Numbers of dropped lines by level. The log reports them as `lines left out`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DroppedLines {
    /// Lines of level info or below.
    pub successes: u64,
    /// Warnings and errors.
    pub failures: u64,
}

#[derive(Debug)]
struct Shared {
    options: Options,
    state: Mutex<State>,
    lines_queued: Condvar,
    lines_written: Condvar,
    successes: AtomicU64,
    failures: AtomicU64,
}

/// The log of a process.
#[derive(Debug, Clone)]
pub struct Logs(Arc<Shared>);

impl Logs {
    /// Starts a thread that writes the log to `sink`.
    ///
    /// # Errors
    ///
    /// When the thread cannot be started.
    pub fn new(options: Options, sink: impl Write + Send + 'static) -> io::Result<Self> {
        let now = Instant::now();
        let state = State {
            queue: Vec::new(),
            is_writing: false,
            budget: Budget::new(options, now),
            recent: RecentLines::new(options.recent_bytes),
            dropped: DroppedLines::default(),
            reported_at: now,
        };
        let shared = Arc::new(Shared {
            options,
            state: Mutex::new(state),
            lines_queued: Condvar::new(),
            lines_written: Condvar::new(),
            successes: AtomicU64::new(0),
            failures: AtomicU64::new(0),
        });
        let writer = Arc::clone(&shared);
        thread::Builder::new().name("log".into()).spawn(move || write(&writer, sink))?;
        Ok(Self(shared))
    }

    /// Queues a line, given without its line break, or drops it when a bound is reached. Never waits for output.
    pub fn push(&self, level: Level, line: &str) {
        let now = Instant::now();
        let mut state = self.0.lock();
        state.recent.push(line);
        // The writer thread waits for a notification only while the queue is empty.
        let was_empty = state.queue.is_empty();
        if now >= state.reported_at + DROPPED_LINES_PERIOD {
            state.queue_dropped_lines(now);
        }
        let bytes = line.len() + 1;
        let has_capacity = state.queue.len() + bytes <= self.0.options.queue_bytes;
        if !has_capacity || !state.budget.try_spend(now, level, bytes) {
            self.0.count_dropped(level, &mut state.dropped);
        } else {
            state.queue.extend_from_slice(line.as_bytes());
            state.queue.push(b'\n');
        }
        let has_lines = !state.queue.is_empty();
        drop(state);
        if was_empty && has_lines {
            self.0.lines_queued.notify_one();
        }
    }

    /// Returns the recent lines whose field `request` has this value, including lines that were dropped.
    #[must_use]
    pub fn lines_of_request(&self, request: &str) -> Vec<String> {
        self.0.lock().recent.of_request(request)
    }

    /// Waits until all lines are written, at most for `max_wait`. Returns whether they are. Meant for the end of the
    /// process.
    #[must_use]
    pub fn flush(&self, max_wait: Duration) -> bool {
        let (_state, wait) = self
            .0
            .lines_written
            .wait_timeout_while(self.0.lock(), max_wait, |state| state.has_unwritten())
            .unwrap_or_else(PoisonError::into_inner);
        !wait.timed_out()
    }

    /// Returns the numbers of lines dropped since the start.
    #[must_use]
    pub fn dropped_lines(&self) -> DroppedLines {
        DroppedLines {
            successes: self.0.successes.load(Ordering::Relaxed),
            failures: self.0.failures.load(Ordering::Relaxed),
        }
    }

    /// Installs this log as the logger of the process. `RUST_LOG` sets the levels; the default is `info`.
    ///
    /// # Errors
    ///
    /// When the process has a logger already.
    pub fn install(&self) -> Result<(), log::SetLoggerError> {
        let logs = self.clone();
        let env = env_logger::Env::default().default_filter_or("info");
        env_logger::Builder::from_env(env)
            .target(env_logger::Target::Pipe(Box::new(io::sink())))
            .format(move |buf, record| {
                let line = line::format(&buf.timestamp_millis(), record);
                logs.push(record.level(), &line);
                Ok(())
            })
            .try_init()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count_dropped(&self, level: Level, dropped: &mut DroppedLines) {
        if is_warning_or_error(level) {
            dropped.failures += 1;
            self.failures.fetch_add(1, Ordering::Relaxed);
        } else {
            dropped.successes += 1;
            self.successes.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl State {
    fn has_unwritten(&self) -> bool {
        self.is_writing || !self.queue.is_empty()
    }

    /// Queues a line with the number of lines dropped since the last such line, if any.
    fn queue_dropped_lines(&mut self, now: Instant) {
        self.reported_at = now;
        let dropped = std::mem::take(&mut self.dropped);
        if dropped != DroppedLines::default() {
            let DroppedLines { successes, failures } = dropped;
            let line =
                format!("WARN log: lines left out successes={successes} failures={failures}\n");
            self.queue.extend_from_slice(line.as_bytes());
        }
    }
}

fn is_warning_or_error(level: Level) -> bool {
    level <= Level::Warn
}

/// Writes queued lines until a write fails.
fn write(shared: &Shared, mut sink: impl Write) {
    loop {
        let mut state = shared.lock();
        while state.queue.is_empty() {
            state = shared.lines_queued.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        drop(state);
        thread::sleep(FLUSH_PERIOD);
        let mut state = shared.lock();
        let bytes = std::mem::take(&mut state.queue);
        state.is_writing = true;
        drop(state);
        // A failed write cannot be reported, since the log itself is broken.
        if sink.write_all(&bytes).and_then(|()| sink.flush()).is_err() {
            return;
        }
        shared.lock().is_writing = false;
        shared.lines_written.notify_all();
    }
}

/// Returns the whole milliseconds of a duration, for log lines.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(lw_observe::logs::millis(Duration::from_micros(2_500)), 2);
/// ```
#[must_use]
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
