//! Provides a TCP relay that adds latency and can be partitioned from its target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{Shutdown, TcpListener, TcpStream};
use async_std::task;
use futures::future::{join, select};
use marigoldpick_core::prelude::*;

/// The most bytes that are read at a time.
const CHUNK_BYTES: usize = 16 * 1024;
/// The most chunks of one direction that are in flight.
const MAX_CHUNKS_IN_FLIGHT: usize = 1_024;
/// The interval between checks whether a partition has healed, and the delay after a failed accept.
const HEAL_POLL: Duration = Duration::from_millis(5);
/// The interval between a connection's checks whether it was reset.
const RESET_POLL: Duration = Duration::from_millis(50);

/// `Relay` listens at one address and forwards connections to another.
///
/// While a direction is partitioned, no byte arrives in it, as on a link that drops packets. Bytes
/// that were sent meanwhile arrive after it has healed, as by retransmission. Partitions may overlap: a
/// direction is healed once each of them has ended.
#[derive(Clone, Debug)]
pub struct Relay {
    address: SocketAddr,
    link: Arc<Link>,
}

#[derive(Debug, Default)]
struct Link {
    /// The one-way latency in milliseconds.
    latency: AtomicU64,
    /// The number of partitions that keep bytes from the target.
    to_target_partitions: AtomicU32,
    /// The number of partitions that keep bytes of the target from returning.
    from_target_partitions: AtomicU32,
    /// The number of times that all connections were reset.
    resets: AtomicU64,
    /// The number of times that all connections went silent for good.
    silences: AtomicU64,
    ended: AtomicBool,
}

/// `Era` is when a connection began, as the numbers of resets and silences until then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Era {
    resets: u64,
    silences: u64,
}

/// `Direction` is one direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl Relay {
    /// Listens at a free loopback port and forwards connections to `target`.
    ///
    /// # Errors
    /// Fails when no port can be taken.
    pub async fn start(target: SocketAddr, latency: Millis) -> std::io::Result<Self> {
        let (listener, address) = listen().await?;
        let relay = Self::new(address, latency);
        task::spawn(accept_connections(
            listener,
            target,
            Arc::clone(&relay.link),
        ));
        Ok(relay)
    }

    /// Binds a free loopback port for a target that is set later.
    ///
    /// # Errors
    /// Fails when no port can be taken.
    pub async fn reserve(latency: Millis) -> std::io::Result<(Self, Pending)> {
        let (listener, address) = listen().await?;
        let relay = Self::new(address, latency);
        let link = Arc::clone(&relay.link);
        Ok((relay, Pending { listener, link }))
    }

    fn new(address: SocketAddr, latency: Millis) -> Self {
        let link = Arc::new(Link::default());
        link.latency.store(latency.0, Ordering::SeqCst);
        Self { address, link }
    }

    /// Returns the address of the relay's listener.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Partitions both directions, or ends one such partition.
    pub fn partition(&self, on: bool) {
        self.partition_forward(on);
        self.partition_back(on);
    }

    /// Partitions only the direction to the target, or ends one such partition.
    ///
    /// While it lasts, requests are held back and answers arrive.
    pub fn partition_forward(&self, on: bool) {
        count_partition(&self.link.to_target_partitions, on);
    }

    /// Partitions only the direction from the target, or ends one such partition.
    ///
    /// While it lasts, requests arrive and answers don't.
    pub fn partition_back(&self, on: bool) {
        count_partition(&self.link.from_target_partitions, on);
    }

    /// Sets the one-way latency.
    pub fn set_latency(&self, latency: Millis) {
        self.link.latency.store(latency.0, Ordering::SeqCst);
    }

    /// Closes all open connections; new ones are accepted.
    pub fn reset(&self) {
        self.link.resets.fetch_add(1, Ordering::SeqCst);
    }

    /// Lets no more bytes pass on all open connections, which stay open; new ones work.
    pub fn silence(&self) {
        self.link.silences.fetch_add(1, Ordering::SeqCst);
    }

    /// Ends the relay and all its connections.
    pub fn end(&self) {
        self.link.ended.store(true, Ordering::SeqCst);
    }
}

/// `Pending` is a bound relay that has no target yet.
#[derive(Debug)]
pub struct Pending {
    listener: TcpListener,
    link: Arc<Link>,
}

impl Pending {
    /// Forwards connections to `target` from now on.
    pub fn forward_to(self, target: SocketAddr) {
        task::spawn(accept_connections(self.listener, target, self.link));
    }
}

impl Link {
    fn is_partitioned(&self, direction: Direction) -> bool {
        let partitions = match direction {
            Direction::ToTarget => &self.to_target_partitions,
            Direction::FromTarget => &self.from_target_partitions,
        };
        partitions.load(Ordering::SeqCst) > 0
    }

    /// Returns what tells the connections that open now from those that open after the next reset or silence.
    fn era(&self) -> Era {
        Era {
            resets: self.resets.load(Ordering::SeqCst),
            silences: self.silences.load(Ordering::SeqCst),
        }
    }

    fn is_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    fn latency(&self) -> Duration {
        Duration::from_millis(self.latency.load(Ordering::SeqCst))
    }

    /// Waits until `due` has passed and the direction is not partitioned; without end if the connection has gone silent.
    ///
    /// Returns false when the link has ended, or was reset since the connection began in `era`.
    async fn wait_for_arrival(&self, due: Instant, direction: Direction, era: Era) -> bool {
        task::sleep(due.saturating_duration_since(Instant::now())).await;
        let is_over = || self.is_ended() || self.era().resets != era.resets;
        let is_silent = || self.era().silences != era.silences;
        while (self.is_partitioned(direction) || is_silent()) && !is_over() {
            task::sleep(HEAL_POLL).await;
        }
        !is_over()
    }
}

/// Counts a partition that begins or ends; the end of one that never began counts as nothing.
fn count_partition(partitions: &AtomicU32, on: bool) {
    if on {
        partitions.fetch_add(1, Ordering::SeqCst);
    } else {
        let end = |count: u32| count.checked_sub(1);
        // There may be none to end.
        let _previous = partitions.fetch_update(Ordering::SeqCst, Ordering::SeqCst, end);
    }
}

async fn listen() -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

async fn accept_connections(listener: TcpListener, target: SocketAddr, link: Arc<Link>) {
    while !link.is_ended() {
        let Ok((client, _)) = listener.accept().await else {
            task::sleep(HEAL_POLL).await;
            continue;
        };
        task::spawn(forward_connection(client, target, Arc::clone(&link)));
    }
}

async fn forward_connection(client: TcpStream, target: SocketAddr, link: Arc<Link>) {
    let era = link.era();
    // The TCP handshake takes one round trip before data may follow.
    let due = Instant::now() + link.latency() * 2;
    if !link.wait_for_arrival(due, Direction::ToTarget, era).await {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        drop(client.shutdown(Shutdown::Both));
        return;
    };
    let has_no_delay = client.set_nodelay(true).is_ok() && server.set_nodelay(true).is_ok();
    if has_no_delay {
        let forwarded = join(
            forward_bytes(
                client.clone(),
                server.clone(),
                &link,
                Direction::ToTarget,
                era,
            ),
            forward_bytes(
                server.clone(),
                client.clone(),
                &link,
                Direction::FromTarget,
                era,
            ),
        );
        let reset = async {
            while link.era().resets == era.resets {
                task::sleep(RESET_POLL).await;
            }
        };
        select(std::pin::pin!(forwarded), std::pin::pin!(reset)).await;
        for end in [client, server] {
            // The connection may be closed already.
            drop(end.shutdown(Shutdown::Both));
        }
    }
}

/// Forwards one direction: each chunk one latency after it was read, then the end of the stream.
async fn forward_bytes(
    mut from: TcpStream,
    mut to: TcpStream,
    link: &Link,
    direction: Direction,
    era: Era,
) {
    let (sender, receiver) = async_channel::bounded::<(Instant, Vec<u8>)>(MAX_CHUNKS_IN_FLIGHT);
    let read = async move {
        let mut chunk = vec![0; CHUNK_BYTES];
        while let Ok(count @ 1..) = from.read(&mut chunk).await {
            let due = Instant::now() + link.latency();
            if sender.send((due, chunk[..count].to_vec())).await.is_err() {
                return;
            }
        }
    };
    let write = async move {
        while let Ok((due, bytes)) = receiver.recv().await {
            let has_arrived = link.wait_for_arrival(due, direction, era).await;
            if !has_arrived || to.write_all(&bytes).await.is_err() {
                drop(to.shutdown(Shutdown::Both));
                return;
            }
        }
        // The end of the stream arrives with the same latency as the bytes.
        let due = Instant::now() + link.latency();
        if link.wait_for_arrival(due, direction, era).await {
            drop(to.shutdown(Shutdown::Write));
        } else {
            drop(to.shutdown(Shutdown::Both));
        }
    };
    join(read, write).await;
}
