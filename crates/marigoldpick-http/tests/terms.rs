//! Tests of limits that change while connections are open.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use async_std::task;
use googletest::prelude::*;
use http_types::{Request, Response, StatusCode};
use marigoldpick_http::budget::Port;
use marigoldpick_http::{Intake, Service, Settings, read_body, serve};

/// `Reader` answers 200 to a request whose body it could read.
#[derive(Clone, Debug)]
struct Reader;

impl Service for Reader {
    async fn respond(&self, mut request: Request) -> Response {
        match read_body(request.take_body(), 1_000).await {
            Ok(_) => Response::new(StatusCode::Ok),
            Err(failure) => Response::new(failure.status()),
        }
    }
}

/// Guards against refusing a body by the limit that held while its connection was idle, such as that of
/// an entry that had no configuration yet.
#[googletest::test]
fn body_is_held_to_the_limit_at_its_arrival() {
    let limit = Arc::new(AtomicUsize::new(0));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let intake = task::block_on(async { Intake::start(Settings::default()) });
    let (settings, current) = (Settings::default(), Arc::clone(&limit));
    let terms = move || settings.terms(current.load(Ordering::SeqCst));
    task::spawn(serve(intake, Port::Callers, listener.into(), Reader, terms));
    let mut client = TcpStream::connect(address).expect("a connection");
    // The server waits for a head by now, with the limit that holds before the change.
    thread::sleep(Duration::from_millis(200));
    limit.store(1_000, Ordering::SeqCst);
    let request = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n12345";
    client.write_all(request).expect("a request");
    let mut status = [0; 12];
    client.read_exact(&mut status).expect("an answer");
    expect_that!(&status, eq(b"HTTP/1.1 200"));
}
