//! Tests the queue of lines with a slow or blocked reader.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};

use std::time::Duration;

use googletest::prelude::*;
use log::{Level, Record};
use log4rs::append::Append;
use marigoldpick_core::clock::Manual;
use marigoldpick_core::prelude::*;
use marigoldpick_log::{Queue, Settings};

/// How long a test waits for the writer before it fails.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// An output that waits for a permit before each write, and passes on the text written.
struct Gate {
    permits: Receiver<()>,
    written: Sender<String>,
}

impl Write for Gate {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.permits.recv().map_err(io::Error::other)?;
        let text = String::from_utf8_lossy(buf).into_owned();
        self.written.send(text).map_err(io::Error::other)?;
        Ok(buf.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn gate() -> (Gate, Sender<()>, Receiver<String>) {
    let (permit, permits) = channel();
    let (written, read) = channel();
    (Gate { permits, written }, permit, read)
}

fn append_line(queue: &Queue<Manual>, level: Level, text: &str) {
    let mut record = Record::builder();
    record.level(level).target("lead");
    let appended = queue.append(&record.args(format_args!("event={text}")).build());
    appended.expect("an encoded line");
}

/// Permits writes until `wanted` is written, and returns all text written.
fn read_until(permit: &Sender<()>, read: &Receiver<String>, wanted: &str) -> String {
    let mut text = String::new();
    while !text.contains(wanted) {
        permit.send(()).expect("a writer");
        let chunk = read.recv_timeout(WRITE_TIMEOUT);
        text += &chunk.unwrap_or_else(|_| panic!("'{wanted}' never came, but: {text}"));
    }
    text
}

fn settings(buffer: usize) -> Settings {
    Settings {
        buffer,
        reserved_percent: 25,
        per_second: 1_000_000,
    }
}

#[googletest::test]
fn append_with_blocked_reader_drops_and_counts_lines_without_waiting() {
    let (gate, permit, read) = gate();
    let queue = Queue::start(settings(8), Manual::default(), gate).expect("a queue");
    for _ in 0..100 {
        append_line(&queue, Level::Info, "started");
    }
    expect_that!(queue.dropped(), ge(90));
    permit.send(()).expect("a writer");
    append_line(&queue, Level::Warn, "last");
    let text = read_until(&permit, &read, "event=lines-dropped count=");
    expect_that!(text, contains_substring("event=lines-dropped count="));
}

#[googletest::test]
fn append_with_full_buffer_accepts_errors() {
    let (gate, permit, read) = gate();
    let queue = Queue::start(settings(8), Manual::default(), gate).expect("a queue");
    for _ in 0..100 {
        append_line(&queue, Level::Info, "started");
    }
    let before = queue.dropped();
    append_line(&queue, Level::Error, "lost");
    expect_that!(queue.dropped(), eq(before));
    let text = read_until(&permit, &read, "event=lost");
    expect_that!(text, contains_substring("level=ERROR part=lead event=lost"));
}

#[googletest::test]
fn append_limits_lines_per_second() {
    let (gate, permit, read) = gate();
    let bounds = Settings {
        per_second: 5,
        ..settings(1_000)
    };
    let queue = Queue::start(bounds, Manual::default(), gate).expect("a queue");
    for _ in 0..50 {
        append_line(&queue, Level::Info, "started");
    }
    expect_that!(queue.dropped(), ge(40));
    append_line(&queue, Level::Warn, "slow");
    let text = read_until(&permit, &read, "event=slow");
    expect_that!(text.matches("event=started").count(), eq(5));
}

#[googletest::test]
fn append_accepts_lines_again_in_next_second() {
    let (gate, permit, read) = gate();
    let bounds = Settings {
        per_second: 5,
        ..settings(1_000)
    };
    let clock = Manual::default();
    let queue = Queue::start(bounds, clock.clone(), gate).expect("a queue");
    for _ in 0..8 {
        append_line(&queue, Level::Info, "started");
    }
    expect_that!(queue.dropped(), eq(3));
    clock.advance(Millis(1_000));
    append_line(&queue, Level::Info, "later");
    expect_that!(queue.dropped(), eq(3));
    read_until(&permit, &read, "event=later");
}
