//! Tests of peers that are unreachable, unresponsive, cut off, restarted, of another version, or
//! send malformed data.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use async_std::task::{block_on, spawn};
use futures::future::join_all;
use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_wire::{Error, Server, Settings, VERSION};

use crate::common::{
    LONG, Script, client, domain, entries, known, listener, sequence, serve, unanswered,
};

#[googletest::test]
fn call_from_many_threads_each_gets_its_own_answer() {
    let (_server, to) = serve(&Script::new());
    let client = client(Settings::default());
    let threads: Vec<_> = (0..8)
        .map(|thread| {
            let (client, to) = (client.clone(), to.clone());
            thread::spawn(move || {
                let calls = (0..50).map(|n| thread * 1_000 + n).map(|number| {
                    let call = client.call(&to, entries(number), LONG);
                    async move { (number, call.await) }
                });
                block_on(join_all(calls))
            })
        })
        .collect();
    for thread in threads {
        for (number, answer) in thread.join().expect("no panic") {
            expect_that!(answer, eq(&sequence(number)));
        }
    }
}

#[googletest::test]
fn call_without_a_listener_is_away() {
    let closed = listener();
    let to = known(&closed.local_addr().expect("an address").to_string());
    drop(closed);
    let client = client(Settings::default());
    for _ in 0..3 {
        let answer = block_on(client.call(&to, entries(1), LONG));
        expect_that!(answer, err(eq(&Error::Away)));
    }
}

#[googletest::test]
fn call_while_backing_off_does_not_connect() {
    let socket = listener();
    let to = known(&socket.local_addr().expect("an address").to_string());
    let connections = thread::spawn(move || {
        let (first, _) = socket.accept().expect("a connection");
        drop(first);
        socket.set_nonblocking(true).expect("an option");
        socket
    });
    let settings = Settings {
        backoff: LONG,
        backoff_most: LONG,
        ..Settings::default()
    };
    let client = client(settings);
    for _ in 0..20 {
        let answer = block_on(client.call(&to, entries(1), LONG));
        expect_that!(answer, err(eq(&Error::Away)));
    }
    let socket = connections.join().expect("no panic");
    expect_that!(socket.accept().is_err(), eq(true));
}

#[googletest::test]
fn call_after_restart_reaches_the_new_process() {
    let script = Script::new();
    let (server, to) = serve(&script);
    let client = client(Settings::default());
    expect_that!(
        block_on(client.call(&to, entries(1), LONG)),
        eq(&sequence(1))
    );
    let address = server.address();
    drop(server);
    let again = loop {
        if let Ok(listener) = std::net::TcpListener::bind(address) {
            break listener;
        }
    };
    let _server = Server::start(again, script).expect("a server");
    while block_on(client.call(&to, entries(2), LONG)).is_err() {}
    expect_that!(
        block_on(client.call(&to, entries(3), LONG)),
        eq(&sequence(3))
    );
}

#[googletest::test]
fn call_in_flight_when_the_server_ends_is_unknown() {
    let script = Script::new();
    let (server, to) = serve(&script);
    let client = client(Settings::default());
    let pending = {
        let client = client.clone();
        spawn(async move { client.call(&to, unanswered(), LONG).await })
    };
    while script.last().is_none() {}
    drop(server);
    expect_that!(block_on(pending), err(eq(&Error::Unknown)));
}

#[googletest::test]
fn call_without_an_answer_is_unknown_and_blocks_no_other() {
    let (_server, to) = serve(&Script::new());
    let client = client(Settings::default());
    let waiting = spawn({
        let (client, to) = (client.clone(), to.clone());
        async move { client.call(&to, unanswered(), Millis(300)).await }
    });
    let others = (0..50).map(|number| client.call(&to, entries(number), LONG));
    for (number, answer) in (0..).zip(block_on(join_all(others))) {
        expect_that!(answer, eq(&sequence(number)));
    }
    expect_that!(block_on(waiting), err(eq(&Error::Unknown)));
}

/// Relays connections to `to`; when `frozen` is set, drops all bytes of the first connection.
fn relay(to: SocketAddr, frozen: &Arc<AtomicBool>) -> SocketAddr {
    let socket = listener();
    let address = socket.local_addr().expect("an address");
    let frozen = Arc::clone(frozen);
    thread::spawn(move || {
        for (number, near) in socket.incoming().enumerate() {
            let near = near.expect("a connection");
            let far = TcpStream::connect(to).expect("a connection");
            let stop = if number == 0 {
                Arc::clone(&frozen)
            } else {
                Arc::default()
            };
            let back = (
                far.try_clone().expect("a clone"),
                near.try_clone().expect("a clone"),
            );
            pass(near, far, Arc::clone(&stop));
            pass(back.0, back.1, stop);
        }
    });
    address
}

fn pass(mut from: TcpStream, mut to: TcpStream, frozen: Arc<AtomicBool>) {
    thread::spawn(move || {
        let mut buffer = [0; 4096];
        while let Ok(count @ 1..) = from.read(&mut buffer) {
            if !frozen.load(Ordering::SeqCst) && to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
    });
}

#[googletest::test]
fn call_on_an_unresponsive_connection_leads_to_a_new_one() {
    let script = Script::new();
    let (server, _) = serve(&script);
    let frozen = Arc::new(AtomicBool::new(false));
    let to = known(&relay(server.address(), &frozen).to_string());
    let client = client(Settings::default());
    expect_that!(
        block_on(client.call(&to, entries(1), LONG)),
        eq(&sequence(1))
    );
    frozen.store(true, Ordering::SeqCst);
    while block_on(client.call(&to, entries(2), Millis(50))).is_err() {}
}

#[googletest::test]
fn call_of_another_version_is_refused() {
    let script = Script::new();
    let (_server, to) = serve(&script);
    let settings = Settings {
        version: VERSION + 1,
        ..Settings::default()
    };
    let answer = block_on(client(settings).call(&to, entries(1), LONG));
    expect_that!(answer, err(eq(&Error::Refused(Code::Version))));
    expect_that!(script.last(), none());
}

#[googletest::test]
fn partition_at_the_client_is_away_until_it_ends() {
    let script = Script::new();
    let (_server, to) = serve(&script);
    let client = client(Settings::default());
    expect_that!(
        block_on(client.call(&to, entries(1), LONG)),
        eq(&sequence(1))
    );
    client.set_partition(&[domain("north")]);
    let seen = script.calls.lock().expect("no panic").len();
    let answer = block_on(client.call(&to, entries(2), LONG));
    expect_that!(answer, err(eq(&Error::Away)));
    expect_that!(script.calls.lock().expect("no panic").len(), eq(seen));
    client.set_partition(&[]);
    while block_on(client.call(&to, entries(3), LONG)).is_err() {}
}

#[googletest::test]
fn partition_at_the_client_ends_a_call_in_flight() {
    let script = Script::new();
    let (_server, to) = serve(&script);
    let client = client(Settings::default());
    let pending = spawn({
        let client = client.clone();
        async move { client.call(&to, unanswered(), LONG).await }
    });
    while script.last().is_none() {}
    client.set_partition(&[domain("north")]);
    expect_that!(block_on(pending), err(eq(&Error::Unknown)));
}

#[googletest::test]
fn partition_at_the_server_blocks_all_calls() {
    let script = Script::new();
    let (server, to) = serve(&script);
    let client = client(Settings::default());
    expect_that!(
        block_on(client.call(&to, entries(1), LONG)),
        eq(&sequence(1))
    );
    server.set_partition(&[domain("south")]);
    let seen = script.calls.lock().expect("no panic").len();
    for _ in 0..5 {
        let answer = block_on(client.call(&to, entries(2), LONG));
        expect_that!(answer, err(anything()));
    }
    expect_that!(script.calls.lock().expect("no panic").len(), eq(seen));
    server.set_partition(&[]);
    while block_on(client.call(&to, entries(3), LONG)).is_err() {}
}

#[googletest::test]
fn malformed_frames_end_their_connection_alone() {
    let (server, to) = serve(&Script::new());
    let client = client(Settings::default());
    let huge_segment = [0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff];
    let many_segments = [0xff, 0xff, 0xff, 0xff, 1, 0, 0, 0];
    let empty_root = [0, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
    let wild_pointer = [0, 0, 0, 0, 1, 0, 0, 0, 0xf0, 0xff, 0xff, 0x7f, 9, 0, 9, 0];
    let frames: [&[u8]; 5] = [
        b"GET / HTTP/1.1\r\n\r\n",
        &huge_segment,
        &many_segments,
        &empty_root,
        &wild_pointer,
    ];
    for frame in frames {
        let mut stream = TcpStream::connect(server.address()).expect("a connection");
        stream.write_all(frame).expect("written");
        stream
            .shutdown(std::net::Shutdown::Write)
            .expect("a shutdown");
        let mut rest = Vec::new();
        let _is_reset = stream.read_to_end(&mut rest);
        expect_that!(
            block_on(client.call(&to, entries(1), LONG)),
            eq(&sequence(1))
        );
    }
}

/// Strangers announce the largest frames and send nothing more. Each was given 32 MiB at once.
#[googletest::test]
fn announced_frames_hold_no_more_than_the_bound() {
    let (server, to) = serve(&Script::new());
    // One segment of 4,194,303 words, packed: a tag for each word, then its bytes that are not zero.
    let announcement = [0b0111_0000, 0xff, 0xff, 0x3f];
    let strangers: Vec<TcpStream> = (0..40)
        .map(|_| {
            let mut stream = TcpStream::connect(server.address()).expect("a connection");
            stream.write_all(&announcement).expect("written");
            let wait = Some(Duration::from_millis(100));
            stream.set_read_timeout(wait).expect("a timeout");
            stream
        })
        .collect();
    let client = client(Settings::default());
    let answer = block_on(client.call(&to, entries(1), LONG));
    expect_that!(answer, eq(&sequence(1)));
    // A connection that is still open is silent; one that was ended is at its end.
    let open = strangers
        .into_iter()
        .filter_map(|mut stream| stream.read(&mut [0; 8]).err())
        .filter(|error| error.kind() == ErrorKind::WouldBlock);
    expect_that!(open.count(), eq(1));
}

#[googletest::test]
fn malformed_answer_to_the_first_message_is_away() {
    let socket = listener();
    let to = known(&socket.local_addr().expect("an address").to_string());
    thread::spawn(move || {
        for stream in socket.incoming() {
            let mut stream = stream.expect("a connection");
            let _is_reset = stream.write_all(b"HTTP/1.1 400 Bad Request\r\n\r\n");
        }
    });
    let answer = block_on(client(Settings::default()).call(&to, entries(1), LONG));
    expect_that!(answer, err(eq(&Error::Away)));
}
