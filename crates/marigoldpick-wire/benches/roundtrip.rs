//! Benchmark of a heartbeat's round trip between two entries over loopback, and of its bytes on the
//! wire.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Instant;

use async_std::task::block_on;
use hdrhistogram::Histogram;
use marigoldpick_core::control::{self, Beat, Known, Led};
use marigoldpick_core::operator;
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::Epoch;
use marigoldpick_wire::{Answer, Call, Client, Handler, Local, Server, Settings};

const WARM_UP_BEATS: u64 = 1_000;
const BEATS: u64 = 20_000;
const LIMIT: Millis = Millis::from_secs(10);

#[derive(Clone)]
struct Echo(Beat);

impl Handler for Echo {
    async fn handle(&self, _call: Call) -> Result<Answer, Code> {
        Ok(Answer::Control(control::Answer::Beat(self.0.clone())))
    }
}

fn known(address: String) -> Known {
    Known {
        entry: id::Entry::new("entry-north-0").expect("a name"),
        domain: id::Domain::new("north").expect("a name"),
        address,
    }
}

/// Returns a heartbeat of an entry that leads `shards` shards.
fn beat(shards: u64) -> Beat {
    let led = (0..shards).map(|shard| Led {
        epoch: Epoch {
            tenure: 7,
            interim: 0,
            lead: 0x1234_5678_9abc_def0,
        },
        shard: operator::Shard {
            shard: id::Shard::new(&format!("north/{shard}")).expect("a name"),
            lead: Some(id::Entry::new("entry-north-0").expect("a name")),
            workers: 140,
            silent: 1,
            running: 600,
            waiting: 40,
            unrecorded: 0,
        },
        endpoints: 31,
    });
    Beat {
        known: known("10.0.0.1:7402".to_owned()),
        incarnation: 0x0fed_cba9_8765_4321,
        age: Millis(86_400_000),
        draining: false,
        sequence: 18_000,
        store_age: Millis(120),
        led: led.collect(),
        others: Vec::new(),
    }
}

/// Relays connections to `to` and counts their bytes.
fn relay(to: SocketAddr, bytes: &Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let bytes = Arc::clone(bytes);
    thread::spawn(move || {
        for near in listener.incoming() {
            let near = near.expect("a connection");
            let far = TcpStream::connect(to).expect("a connection");
            for stream in [&near, &far] {
                stream.set_nodelay(true).expect("an option");
            }
            let (near2, far2) = (
                near.try_clone().expect("a clone"),
                far.try_clone().expect("a clone"),
            );
            forward(near, far, Arc::clone(&bytes));
            forward(far2, near2, Arc::clone(&bytes));
        }
    });
    address
}

fn forward(mut from: TcpStream, mut to: TcpStream, bytes: Arc<AtomicU64>) {
    thread::spawn(move || {
        let mut buffer = vec![0; 64 << 10];
        while let Ok(count) = from.read(&mut buffer) {
            bytes.fetch_add(count as u64, Ordering::SeqCst);
            if count == 0 || to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let _is_closed_already = to.shutdown(Shutdown::Write);
    });
}

fn measure(name: &str, shards: u64, relayed: bool) {
    let beat = beat(shards);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let server = Server::start(listener, Echo(beat.clone())).expect("a server");
    let bytes = Arc::new(AtomicU64::new(0));
    let address = if relayed {
        relay(server.address(), &bytes)
    } else {
        server.address()
    };
    let to = known(address.to_string());
    let local = Local {
        entry: to.entry.clone(),
        domain: to.domain.clone(),
    };
    let client = Client::start(local, Settings::default()).expect("a client");
    let call = || {
        let call = Call::Control(control::Call::Beat(beat.clone()));
        block_on(client.call(&to, call, LIMIT)).expect("an answer");
    };
    (0..WARM_UP_BEATS).for_each(|_| call());
    let before = bytes.load(Ordering::SeqCst);
    let mut micros = Histogram::<u64>::new(3).expect("a histogram");
    for _ in 0..BEATS {
        let start = Instant::now();
        call();
        micros
            .record(start.elapsed().as_micros() as u64)
            .expect("a value");
    }
    let moved = bytes.load(Ordering::SeqCst) - before;
    println!(
        "{name}: {shards} shards led, p50 {} us, p99 {} us, {} bytes for a beat and its answer",
        micros.value_at_quantile(0.5),
        micros.value_at_quantile(0.99),
        if relayed {
            (moved / BEATS).to_string()
        } else {
            "-".to_owned()
        },
    );
}

fn main() {
    for shards in [0, 1, 8] {
        measure("direct", shards, false);
        measure("relayed", shards, true);
    }
}
