//! Tests relays with latency, partitions and resets.

use std::time::{Duration, Instant};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_standin::Relay;

const LATENCY: Millis = Millis(20);
/// Longer than the round trip of a byte through a relay without a partition.
const PARTITION_TIME: Duration = Duration::from_millis(200);

/// Starts an echo server behind a relay and returns a connection to it.
async fn start_echo() -> (Relay, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let target = listener.local_addr().expect("an address");
    async_std::task::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            async_std::task::spawn(async move {
                async_std::io::copy(&stream, &stream)
                    .await
                    .expect("an echo");
            });
        }
    });
    let relay = Relay::start(target, LATENCY).await.expect("a free port");
    let stream = TcpStream::connect(relay.address())
        .await
        .expect("the relay listens");
    (relay, stream)
}

#[googletest::test]
#[async_std::test]
async fn relay_delays_bytes_by_its_latency() {
    let (_relay, mut stream) = start_echo().await;
    let mut answer = [0; 4];
    for word in [b"left", b"stay", b"here"] {
        let start = Instant::now();
        stream.write_all(word).await.expect("the link is whole");
        stream.read_exact(&mut answer).await.expect("an answer");
        expect_that!(answer, eq(*word));
        expect_that!(start.elapsed(), ge((LATENCY + LATENCY).duration()));
    }
}

#[googletest::test]
#[async_std::test]
async fn relay_partitioned_holds_bytes_until_it_heals() {
    let (relay, mut stream) = start_echo().await;
    let mut answer = [0; 4];
    stream.write_all(b"once").await.expect("the link is whole");
    stream.read_exact(&mut answer).await.expect("an answer");
    relay.partition(true);
    stream.write_all(b"late").await.expect("it is buffered");
    let early = async_std::future::timeout(PARTITION_TIME, stream.read_exact(&mut answer)).await;
    expect_that!(early.is_err(), eq(true));
    relay.partition(false);
    stream.read_exact(&mut answer).await.expect("an answer");
    expect_that!(&answer, eq(b"late"));
}

#[googletest::test]
#[async_std::test]
async fn relay_silence_stops_open_connections_alone() {
    let (relay, mut open) = start_echo().await;
    let mut answer = [0; 4];
    open.write_all(b"once").await.expect("the link is whole");
    open.read_exact(&mut answer).await.expect("an answer");
    relay.silence();
    open.write_all(b"lost").await.expect("it is buffered");
    let early = async_std::future::timeout(PARTITION_TIME, open.read(&mut answer)).await;
    expect_that!(early.is_err(), eq(true));
    let connected = TcpStream::connect(relay.address()).await;
    let mut later = connected.expect("the relay listens");
    later.write_all(b"anew").await.expect("the link is whole");
    later.read_exact(&mut answer).await.expect("an answer");
    expect_that!(&answer, eq(b"anew"));
}

#[googletest::test]
#[async_std::test]
async fn relay_end_closes_its_connections() {
    let (relay, mut stream) = start_echo().await;
    let mut answer = [0; 4];
    stream.write_all(b"once").await.expect("the link is whole");
    stream.read_exact(&mut answer).await.expect("an answer");
    relay.end();
    let sent = stream.write_all(b"gone").await;
    let read = stream.read(&mut answer).await;
    expect_that!(sent.is_err() || !matches!(read, Ok(1..)), eq(true));
}

#[googletest::test]
#[async_std::test]
async fn relay_partitioned_back_holds_answers_until_it_heals() {
    let (relay, mut stream) = start_echo().await;
    let mut answer = [0; 4];
    stream.write_all(b"once").await.expect("the link is whole");
    stream.read_exact(&mut answer).await.expect("an answer");
    relay.partition_back(true);
    stream.write_all(b"late").await.expect("it is buffered");
    let early = async_std::future::timeout(PARTITION_TIME, stream.read_exact(&mut answer)).await;
    expect_that!(early.is_err(), eq(true));
    relay.partition_back(false);
    stream.read_exact(&mut answer).await.expect("an answer");
    expect_that!(&answer, eq(b"late"));
}

#[googletest::test]
#[async_std::test]
async fn relay_reset_closes_connections_and_accepts_new_ones() {
    let (relay, mut stream) = start_echo().await;
    let mut answer = [0; 4];
    stream.write_all(b"once").await.expect("the link is whole");
    stream.read_exact(&mut answer).await.expect("an answer");
    relay.reset();
    let read = stream.read_exact(&mut answer).await;
    expect_that!(read.is_err(), eq(true));
    let again = TcpStream::connect(relay.address()).await;
    expect_that!(again.is_ok(), eq(true));
}
