//! Lines under a slow or blocked reader.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};

use std::time::Duration;

use googletest::prelude::*;
use log::{Level, Record};
use log4rs::append::Append;
use marigoldpick_core::clock::Manual;
use marigoldpick_core::prelude::*;
use marigoldpick_log::{Queue, Settings};

/// A writer that has nothing to write for this long never will.
const HANG: Duration = Duration::from_secs(20);

/// A writer that waits for leave before each write, and passes on what it wrote.
struct Gate {
    leave: Receiver<()>,
    written: Sender<String>,
}

impl Write for Gate {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.leave.recv().map_err(io::Error::other)?;
        let text = String::from_utf8_lossy(buf).into_owned();
        self.written.send(text).map_err(io::Error::other)?;
        Ok(buf.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn gate() -> (Gate, Sender<()>, Receiver<String>) {
    let (open, leave) = channel();
    let (written, read) = channel();
    (Gate { leave, written }, open, read)
}

fn line(queue: &Queue<Manual>, level: Level, text: &str) {
    let mut record = Record::builder();
    record.level(level).target("lead");
    let appended = queue.append(&record.args(format_args!("event={text}")).build());
    appended.expect("an encoded line");
}

/// Lets the writer go on until it has written `wanted`, and returns all that it wrote.
fn read_until(open: &Sender<()>, read: &Receiver<String>, wanted: &str) -> String {
    let mut text = String::new();
    while !text.contains(wanted) {
        open.send(()).expect("a writer");
        let chunk = read.recv_timeout(HANG);
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
fn append_with_a_blocked_reader_drops_and_counts_and_never_waits() {
    let (gate, open, read) = gate();
    let queue = Queue::start(settings(8), Manual::default(), gate).expect("a queue");
    for _ in 0..100 {
        line(&queue, Level::Info, "started");
    }
    expect_that!(queue.dropped(), ge(90));
    open.send(()).expect("a writer");
    line(&queue, Level::Warn, "last");
    let text = read_until(&open, &read, "event=lines-dropped count=");
    expect_that!(text, contains_substring("event=lines-dropped count="));
}

#[googletest::test]
fn append_with_a_full_buffer_still_takes_failures() {
    let (gate, open, read) = gate();
    let queue = Queue::start(settings(8), Manual::default(), gate).expect("a queue");
    for _ in 0..100 {
        line(&queue, Level::Info, "started");
    }
    let before = queue.dropped();
    line(&queue, Level::Error, "lost");
    expect_that!(queue.dropped(), eq(before));
    let text = read_until(&open, &read, "event=lost");
    expect_that!(text, contains_substring("level=ERROR part=lead event=lost"));
}

#[googletest::test]
fn append_bounds_the_lines_of_a_second() {
    let (gate, open, read) = gate();
    let bounds = Settings {
        per_second: 5,
        ..settings(1_000)
    };
    let queue = Queue::start(bounds, Manual::default(), gate).expect("a queue");
    for _ in 0..50 {
        line(&queue, Level::Info, "started");
    }
    expect_that!(queue.dropped(), ge(40));
    line(&queue, Level::Warn, "slow");
    let text = read_until(&open, &read, "event=slow");
    expect_that!(text.matches("event=started").count(), eq(5));
}

#[googletest::test]
fn append_takes_lines_again_in_the_next_second() {
    let (gate, open, read) = gate();
    let bounds = Settings {
        per_second: 5,
        ..settings(1_000)
    };
    let clock = Manual::default();
    let queue = Queue::start(bounds, clock.clone(), gate).expect("a queue");
    for _ in 0..8 {
        line(&queue, Level::Info, "started");
    }
    expect_that!(queue.dropped(), eq(3));
    clock.advance(Millis(1_000));
    line(&queue, Level::Info, "later");
    expect_that!(queue.dropped(), eq(3));
    read_until(&open, &read, "event=later");
}
