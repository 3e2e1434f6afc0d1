//! Tests which fault each kind of failure gives: away, unknown, overloaded or invalid.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use async_std::task::block_on;
use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Expect, Fault, MAX_VALUE_BYTES, Store as _};
use marigoldpick_core::vm::Source as _;
use marigoldpick_core::worker::{self, Port as _};
use marigoldpick_platform::{Caller, Settings, Store, Vms, Workers};

const WRITTEN: &str = "{\"written\":7}";

fn caller() -> Caller {
    Caller {
        domain: id::Domain::new("north").expect("a name"),
        entry: id::Entry::new("e1").expect("a name"),
    }
}

fn put() -> Call {
    Call::Put {
        key: "k".to_owned(),
        value: "v".to_owned(),
        expect: Expect::Any,
        lease: None,
    }
}

/// Reads one complete request; returns whether there was one.
fn read_request(stream: &mut TcpStream) -> bool {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") {
        if !matches!(stream.read(&mut byte), Ok(1)) {
            return false;
        }
        text.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&text).to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map_or(0, |value| value.trim().parse().expect("a number"));
    stream.read_exact(&mut vec![0; length]).is_ok()
}

/// Answers each request with `answer`, and closes each connection after `requests` requests.
fn serve(answer: String, requests: usize) -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let base = format!("http://{}", listener.local_addr().expect("an address"));
    let connections = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&connections);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            count.fetch_add(1, Ordering::SeqCst);
            for _ in 0..requests {
                if !read_request(&mut stream) || stream.write_all(answer.as_bytes()).is_err() {
                    break;
                }
            }
        }
    });
    (base, connections)
}

fn response(status: &str, extra: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{extra}\r\n{body}")
}

fn put_against(answer: String) -> std::result::Result<Answer, Fault> {
    let (base, _) = serve(answer, 1);
    block_on(Store::new(&base, caller(), Settings::default()).call(put()))
}

#[googletest::test]
fn call_answered_is_read() {
    let answer = put_against(response("200 OK", "", WRITTEN));
    expect_that!(answer, ok(eq(&Answer::Written(7))));
}

#[googletest::test]
fn call_refused_connection_is_away() {
    let closed = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let base = format!("http://{}", closed.local_addr().expect("an address"));
    drop(closed);
    let store = Store::new(&base, caller(), Settings::default());
    expect_that!(block_on(store.call(put())), err(eq(&Fault::Away)));
    let workers = Workers::new(caller(), Settings::default());
    let list = block_on(workers.call(&base, worker::Call::List));
    expect_that!(list, err(eq(&worker::Fault::Away)));
    let vms = Vms::new(&base, caller(), Settings::default());
    let list = block_on(vms.list(&caller().domain));
    expect_that!(list, err(eq(&Code::StoreAway)));
}

#[googletest::test]
fn call_closed_after_request_is_unknown() {
    expect_that!(put_against(String::new()), err(eq(&Fault::Unknown)));
}

#[googletest::test]
fn call_cut_body_is_unknown() {
    let whole = response("200 OK", "", WRITTEN);
    for length in [1, 20, whole.len() - 1] {
        let answer = put_against(whole[..length].to_owned());
        expect_that!(answer, err(eq(&Fault::Unknown)));
    }
}

#[googletest::test]
fn call_malformed_answer_is_unknown() {
    for answer in ["nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"] {
        expect_that!(put_against(answer.to_owned()), err(eq(&Fault::Unknown)));
    }
    let foreign = response("200 OK", "", "{\"colour\":1}");
    expect_that!(put_against(foreign), err(eq(&Fault::Unknown)));
}

#[googletest::test]
fn call_status_maps_to_fault() {
    let refused = "x-marigold-refused: 1\r\n";
    let cases = [
        ("429 Too Many Requests", "", Fault::Overloaded),
        ("400 Bad Request", "", Fault::Invalid),
        ("413 Payload Too Large", "", Fault::Invalid),
        ("503 Service Unavailable", refused, Fault::Away),
        ("503 Service Unavailable", "", Fault::Unknown),
        ("500 Internal Server Error", "", Fault::Unknown),
    ];
    for (status, extra, fault) in cases {
        let answer = put_against(response(status, extra, ""));
        expect_that!(answer, err(eq(&fault)), "{status}");
    }
}

#[googletest::test]
fn call_silent_server_is_unknown() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let base = format!("http://{}", silent.local_addr().expect("an address"));
    let settings = Settings {
        call: Millis(50),
        ..Settings::default()
    };
    let answer = block_on(Store::new(&base, caller(), settings).call(put()));
    expect_that!(answer, err(eq(&Fault::Unknown)));
}

#[googletest::test]
fn call_large_value_is_invalid_and_not_sent() {
    let (base, connections) = serve(response("200 OK", "", WRITTEN), 1);
    let call = Call::Put {
        key: "k".to_owned(),
        value: "v".repeat(MAX_VALUE_BYTES + 1),
        expect: Expect::Any,
        lease: None,
    };
    let answer = block_on(Store::new(&base, caller(), Settings::default()).call(call));
    expect_that!(answer, err(eq(&Fault::Invalid)));
    expect_that!(connections.load(Ordering::SeqCst), eq(0));
}

#[googletest::test]
fn call_repeated_reuses_connection() {
    let (base, connections) = serve(response("200 OK", "", WRITTEN), 100);
    let store = Store::new(&base, caller(), Settings::default());
    for _ in 0..5 {
        expect_that!(block_on(store.call(put())), ok(eq(&Answer::Written(7))));
    }
    expect_that!(connections.load(Ordering::SeqCst), eq(1));
}

#[googletest::test]
fn call_after_connection_close_header_opens_new_connection() {
    let (base, connections) = serve(response("200 OK", "connection: close\r\n", WRITTEN), 1);
    let store = Store::new(&base, caller(), Settings::default());
    for _ in 0..3 {
        expect_that!(block_on(store.call(put())), ok(eq(&Answer::Written(7))));
    }
    expect_that!(connections.load(Ordering::SeqCst), eq(3));
}
