//! Structured log lines on standard output that never block the process.
//!
//! A line is `time level=L part=P` and then the message's own `key=value` pairs, the first of which
//! is `event`. Lines are written by a thread of their own. When its reader is slow, lines are
//! dropped and counted; a part of the buffer is kept for warnings and errors, so that lines on
//! failures go before lines on success. The lines of one second are bounded in the same way.

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

/// The form of a line.
const LINE: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f)(utc)} level={l} part={t} {m}{n}";
/// The time in which lines are counted.
const SECOND: Millis = Millis::from_secs(1);
/// The most bytes that are written at once.
const CHUNK: usize = 1 << 16;

/// `Settings` bounds the lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Lines that may wait for the writer.
    pub buffer: usize,
    /// The share of the buffer, in a hundred, that only warnings and errors may use.
    pub reserved_percent: usize,
    /// The most lines below a warning in a second.
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

/// `Error` is why no log could be set up.
#[derive(Debug, Display)]
pub enum Error {
    /// no log level '{0}'
    Level(String),
    /// {0}
    Setup(String),
}

impl std::error::Error for Error {}

/// `Queue` takes lines without ever waiting.
pub struct Queue<C> {
    encoder: PatternEncoder,
    lines: SyncSender<Vec<u8>>,
    shared: Arc<Shared>,
    settings: Settings,
    clock: C,
    rate: Mutex<Rate>,
}

/// `Shared` is what the queue and its writer count.
#[derive(Debug, Default)]
struct Shared {
    /// Lines that were taken and are not written yet.
    waiting: AtomicU64,
    /// Lines that were dropped since the start.
    dropped: AtomicU64,
}

/// `Rate` counts the lines of the current second.
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
    /// Makes a queue whose lines a new thread writes to `out`.
    ///
    /// # Errors
    /// Fails when no thread can be made.
    pub fn start<W>(settings: Settings, clock: C, out: W) -> io::Result<Self>
    where
        W: Write + Send + 'static,
    {
        let (lines, queue) = sync_channel(settings.buffer.max(1));
        let shared = Arc::new(Shared::default());
        let writer = Writer {
            queue,
            shared: Arc::clone(&shared),
            told: 0,
        };
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.run(out))?;
        Ok(Self {
            encoder: PatternEncoder::new(LINE),
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

    /// Returns how many lines were dropped since the start.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.shared.dropped.load(Ordering::SeqCst)
    }

    fn drop_line(&self) {
        self.shared.dropped.fetch_add(1, Ordering::SeqCst);
    }

    /// Tells whether a line that is no warning may still be written in this second.
    fn is_within_rate(&self) -> bool {
        let mut rate = self.rate.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        if now.since(rate.since) >= SECOND {
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
            self.drop_line();
            return Ok(());
        }
        let mut line = SimpleWriter(Vec::with_capacity(160));
        self.encoder.encode(&mut line, record)?;
        self.shared.waiting.fetch_add(1, Ordering::SeqCst);
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.lines.try_send(line.0)
        {
            self.shared.waiting.fetch_sub(1, Ordering::SeqCst);
            self.drop_line();
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// `Writer` is the thread that writes lines, as many at once as wait.
struct Writer {
    queue: Receiver<Vec<u8>>,
    shared: Arc<Shared>,
    /// The dropped lines that were told of.
    told: u64,
}

impl Writer {
    fn run<W: Write>(mut self, mut out: W) {
        while let Ok(first) = self.queue.recv() {
            let mut chunk = first;
            let mut lines = 1;
            while chunk.len() < CHUNK {
                let Ok(line) = self.queue.try_recv() else {
                    break;
                };
                chunk.extend_from_slice(&line);
                lines += 1;
            }
            let dropped = self.shared.dropped.load(Ordering::SeqCst);
            if dropped > self.told {
                let count = dropped - self.told;
                let note = format!("level=WARN part=log event=lines-dropped count={count}\n");
                chunk.extend_from_slice(note.as_bytes());
                self.told = dropped;
            }
            // There is no other place to tell that standard output is gone.
            let _is_gone = out.write_all(&chunk).and_then(|()| out.flush());
            self.shared.waiting.fetch_sub(lines, Ordering::SeqCst);
        }
    }
}

/// Sends all lines of a level and above to standard output.
///
/// # Errors
/// Fails when the level is none or a log is set up already.
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
