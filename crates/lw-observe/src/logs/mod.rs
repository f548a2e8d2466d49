//! Structured log lines on standard output.
//!
//! A line has the time, the level, the part that writes it, a short sentence, and fields: `request=9c41 expected_ms=12`.
//! No writer waits for the reader: lines go through a bounded queue to a thread of their own. Above the bounds lines
//! are left out, those about success first, and counted.

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
use recent::Recent;

/// Longest time that a line waits in the queue, so that many lines are written at once.
const FLUSH_PERIOD: Duration = Duration::from_millis(100);
/// Period in which lines that were left out are counted in a line.
const LEFT_OUT_PERIOD: Duration = Duration::from_secs(1);

/// Bounds of the volume.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Lines in a second.
    pub lines_per_s: u32,
    /// Bytes in a second.
    pub bytes_per_s: u32,
    /// Part of both that only warnings and errors may use.
    pub failure_reserve_fraction: f64,
    /// Bytes that wait for the reader at most.
    pub queue_bytes: usize,
    /// Bytes of recent lines that are kept for [`Logs::lines_of_request`].
    pub recent_bytes: usize,
}

impl Default for Options {
    /// Three lines for each of 100 requests a second, of 250 bytes, and a quarter more for failures.
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
    /// Whether the writer holds lines that it took from the queue.
    writing: bool,
    budget: Budget,
    recent: Recent,
    left_out: DroppedLines,
    told: Instant,
}

/// Lines that were left out, by what they tell.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DroppedLines {
    /// Lines about what went as it should.
    pub successes: u64,
    /// Warnings and errors.
    pub failures: u64,
}

#[derive(Debug)]
struct Shared {
    options: Options,
    state: Mutex<State>,
    wake: Condvar,
    written: Condvar,
    successes: AtomicU64,
    failures: AtomicU64,
}

/// The log of a process.
#[derive(Debug, Clone)]
pub struct Logs(Arc<Shared>);

impl Logs {
    /// A log that is written to `sink` by a thread of its own.
    ///
    /// # Errors
    ///
    /// When the thread cannot be started.
    pub fn new(options: Options, sink: impl Write + Send + 'static) -> io::Result<Self> {
        let now = Instant::now();
        let state = State {
            queue: Vec::new(),
            writing: false,
            budget: Budget::new(options, now),
            recent: Recent::new(options.recent_bytes),
            left_out: DroppedLines::default(),
            told: now,
        };
        let shared = Arc::new(Shared {
            options,
            state: Mutex::new(state),
            wake: Condvar::new(),
            written: Condvar::new(),
            successes: AtomicU64::new(0),
            failures: AtomicU64::new(0),
        });
        let writer = Arc::clone(&shared);
        thread::Builder::new().name("log".into()).spawn(move || write(&writer, sink))?;
        Ok(Self(shared))
    }

    /// Takes a line without its line break. Never waits for the reader.
    pub fn push(&self, level: Level, line: &str) {
        let now = Instant::now();
        let mut state = self.0.lock();
        state.recent.push(line);
        // The writer sleeps while the queue is empty.
        let was_empty = state.queue.is_empty();
        if now >= state.told + LEFT_OUT_PERIOD {
            state.tell_left_out(now);
        }
        let bytes = line.len() + 1;
        let has_room = state.queue.len() + bytes <= self.0.options.queue_bytes;
        if !has_room || !state.budget.take(now, level, bytes) {
            self.0.count(level, &mut state.left_out);
        } else {
            state.queue.extend_from_slice(line.as_bytes());
            state.queue.push(b'\n');
        }
        let has_lines = !state.queue.is_empty();
        drop(state);
        if was_empty && has_lines {
            self.0.wake.notify_one();
        }
    }

    /// The recent lines that name this request, also those that were left out.
    #[must_use]
    pub fn lines_of_request(&self, request: &str) -> Vec<String> {
        self.0.lock().recent.about(request)
    }

    /// Waits until all lines are written, for the end of the process, but no longer than `patience`. Returns whether
    /// they are.
    #[must_use]
    pub fn flush(&self, patience: Duration) -> bool {
        let (_state, wait) = self
            .0
            .written
            .wait_timeout_while(self.0.lock(), patience, |state| state.has_unwritten())
            .unwrap_or_else(PoisonError::into_inner);
        !wait.timed_out()
    }

    /// Lines that were left out since the start.
    #[must_use]
    pub fn dropped_lines(&self) -> DroppedLines {
        DroppedLines {
            successes: self.0.successes.load(Ordering::Relaxed),
            failures: self.0.failures.load(Ordering::Relaxed),
        }
    }

    /// Makes this the log of the process. `RUST_LOG` chooses the levels; without it lines up to `info` are written.
    ///
    /// # Errors
    ///
    /// When the process has a log already.
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

    fn count(&self, level: Level, left_out: &mut DroppedLines) {
        if is_failure(level) {
            left_out.failures += 1;
            self.failures.fetch_add(1, Ordering::Relaxed);
        } else {
            left_out.successes += 1;
            self.successes.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl State {
    fn has_unwritten(&self) -> bool {
        self.writing || !self.queue.is_empty()
    }

    fn tell_left_out(&mut self, now: Instant) {
        self.told = now;
        let left_out = std::mem::take(&mut self.left_out);
        if left_out != DroppedLines::default() {
            let DroppedLines { successes, failures } = left_out;
            let line =
                format!("WARN log: lines left out successes={successes} failures={failures}\n");
            self.queue.extend_from_slice(line.as_bytes());
        }
    }
}

fn is_failure(level: Level) -> bool {
    level <= Level::Warn
}

/// Writes what is queued, for as long as the process runs.
fn write(shared: &Shared, mut sink: impl Write) {
    loop {
        let mut state = shared.lock();
        while state.queue.is_empty() {
            state = shared.wake.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        drop(state);
        thread::sleep(FLUSH_PERIOD);
        let mut state = shared.lock();
        let bytes = std::mem::take(&mut state.queue);
        state.writing = true;
        drop(state);
        // A reader that is gone cannot be told.
        if sink.write_all(&bytes).and_then(|()| sink.flush()).is_err() {
            return;
        }
        shared.lock().writing = false;
        shared.written.notify_all();
    }
}
