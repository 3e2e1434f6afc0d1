//! Writes structured log lines to standard output without ever blocking the process.
//!
//! A line consists of `time level=L part=P` and the `key=value` pairs of the message, the first of which
//! is `event`. A separate thread writes the lines from a bounded buffer. When the reader of the output is
//! slow and the buffer fills up, lines are dropped and counted. A share of the buffer is reserved for
//! warnings and errors, so that lines about failures take precedence over lines about success. The rate
//! of lines per second is limited, too; warnings and errors are exempt.

use std::fmt;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use displaydoc::Display;
use log::{Level, LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::pattern::PatternEncoder;
use log4rs::encode::writer::simple::SimpleWriter;
use marigoldpick_core::clock::System;
use marigoldpick_core::prelude::*;

/// The pattern of a line.
const LINE_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f)(utc)} level={l} part={t} {m}{n}";
/// The window of the rate limit.
const RATE_WINDOW: Millis = Millis::from_secs(1);
/// The size, in bytes, from which a chunk takes no further lines.
const CHUNK_BYTES: usize = 1 << 16;

/// `Settings` holds the limits on lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The maximum number of lines that wait for the writer.
    pub buffer: usize,
    /// The share of the buffer that only warnings and errors may use, in percent.
    pub reserved_percent: usize,
    /// The maximum number of lines per second below the level of warnings.
    pub per_second: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            buffer: 4_096,
            reserved_percent: 25,
            per_second: 1_000,
        }
    }
}

/// `Error` is the reason why the log could not be set up.
#[derive(Debug, Display)]
pub enum Error {
    /// no log level '{0}'
    Level(String),
    /// {0}
    Setup(String),
}

impl std::error::Error for Error {}

/// `Queue` accepts lines for the writer without ever blocking.
pub struct Queue<C> {
    encoder: PatternEncoder,
    lines: SyncSender<Vec<u8>>,
    shared: Arc<Shared>,
    settings: Settings,
    clock: C,
    rate: Mutex<Rate>,
}

/// `Shared` holds the counters that the queue and its writer share.
#[derive(Debug, Default)]
struct Shared {
    /// The number of lines that were accepted and are not yet written.
    waiting: AtomicU64,
    /// The number of lines that were dropped since the start.
    dropped: AtomicU64,
}

/// `Rate` counts the lines of the current window.
#[derive(Debug)]
struct Rate {
    since: Millis,
    lines: u64,
}

impl<C> fmt::Debug for Queue<C> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Queue")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

impl<C: Clock> Queue<C> {
    /// Creates a queue, and a thread that writes its lines to `out`.
    ///
    /// # Errors
    /// Fails when the thread can't be started.
    pub fn start<W>(settings: Settings, clock: C, out: W) -> io::Result<Self>
    where
        W: Write + Send + 'static,
    {
        let (lines, queue) = sync_channel(settings.buffer.max(1));
        let shared = Arc::new(Shared::default());
        let writer = Writer {
            queue,
            shared: Arc::clone(&shared),
            reported: 0,
        };
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.run(out))?;
        Ok(Self {
            encoder: PatternEncoder::new(LINE_PATTERN),
            lines,
            shared,
            settings,
            rate: Mutex::new(Rate {
                since: clock.now(),
                lines: 0,
            }),
            clock,
        })
    }

    /// Returns the number of lines that were dropped since the start.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.shared.dropped.load(Ordering::SeqCst)
    }

    fn count_dropped_line(&self) {
        self.shared.dropped.fetch_add(1, Ordering::SeqCst);
    }

    /// Counts a line below the level of warnings; returns whether it is within the rate limit.
    fn is_within_rate(&self) -> bool {
        let mut rate = self.rate.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        if now.since(rate.since) >= RATE_WINDOW {
            rate.since = now;
            rate.lines = 0;
        }
        rate.lines += 1;
        rate.lines <= self.settings.per_second
    }

    fn has_room(&self, level: Level) -> bool {
        if level <= Level::Warn {
            return true;
        }
        let usable = self.settings.buffer * (100 - self.settings.reserved_percent.min(100)) / 100;
        (self.shared.waiting.load(Ordering::SeqCst) as usize) < usable && self.is_within_rate()
    }
}

impl<C: Clock> Append for Queue<C> {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        if !self.has_room(record.level()) {
            self.count_dropped_line();
            return Ok(());
        }
        let mut line = SimpleWriter(Vec::with_capacity(160));
        self.encoder.encode(&mut line, record)?;
        self.shared.waiting.fetch_add(1, Ordering::SeqCst);
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.lines.try_send(line.0)
        {
            self.shared.waiting.fetch_sub(1, Ordering::SeqCst);
            self.count_dropped_line();
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// `Writer` writes the lines that wait, in chunks, on its own thread.
struct Writer {
    queue: Receiver<Vec<u8>>,
    shared: Arc<Shared>,
    /// The number of dropped lines that were already reported.
    reported: u64,
}

impl Writer {
    fn run<W: Write>(mut self, mut out: W) {
        while let Ok(first) = self.queue.recv() {
            let mut chunk = first;
            let mut lines = 1;
            while chunk.len() < CHUNK_BYTES {
                let Ok(line) = self.queue.try_recv() else {
                    break;
                };
                chunk.extend_from_slice(&line);
                lines += 1;
            }
            let dropped = self.shared.dropped.load(Ordering::SeqCst);
            if dropped > self.reported {
                let count = dropped - self.reported;
                let notice = format!("level=WARN part=log event=lines-dropped count={count}\n");
                chunk.extend_from_slice(notice.as_bytes());
                self.reported = dropped;
            }
            // If standard output is closed, there is no other place to report it.
            let _is_gone = out.write_all(&chunk).and_then(|()| out.flush());
            self.shared.waiting.fetch_sub(lines, Ordering::SeqCst);
        }
    }
}

/// Starts logging to standard output, from `level` upwards in severity.
///
/// # Errors
/// Fails when `level` is no log level, the writer can't start or a logger is already installed.
pub fn start(level: &str, settings: Settings) -> Result<(), Error> {
    let filter: LevelFilter = level
        .parse()
        .map_err(|_source| Error::Level(level.to_owned()))?;
    let setup = |error: &dyn fmt::Display| Error::Setup(error.to_string());
    let queue =
        Queue::start(settings, System::new(), io::stdout()).map_err(|error| setup(&error))?;
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(queue)))
        .build(Root::builder().appender("stdout").build(filter))
        .map_err(|error| setup(&error))?;
    log4rs::init_config(config).map_err(|error| setup(&error))?;
    Ok(())
}
