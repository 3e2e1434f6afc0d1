//! A link between two places: it carries connections with latency, and can be parted.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{Shutdown, TcpListener, TcpStream};
use async_std::task;
use futures::future::{join, select};
use marigoldpick_core::prelude::*;

/// The bytes that are read at a time.
const CHUNK: usize = 16 * 1024;
/// The chunks of one direction that are on their way, at most.
const ON_THE_WAY: usize = 1_024;
/// Between two looks at a parted link.
const POLL: Duration = Duration::from_millis(5);
/// Between two looks of a connection at whether it was reset.
const RESET_POLL: Duration = Duration::from_millis(50);

/// `Relay` listens at one address and carries connections to another.
///
/// While a direction is parted no byte arrives there, as on a link that drops packets; what was sent
/// arrives after it has healed, as by retransmission.
#[derive(Clone, Debug)]
pub struct Relay {
    address: SocketAddr,
    link: Arc<Link>,
}

#[derive(Debug, Default)]
struct Link {
    /// One way, in milliseconds.
    latency: AtomicU64,
    /// Whether nothing reaches the target.
    parted_there: AtomicBool,
    /// Whether nothing comes back from it.
    parted_back: AtomicBool,
    /// How often all connections were reset.
    resets: AtomicU64,
    ended: AtomicBool,
}

/// `Way` is one direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    There,
    Back,
}

impl Relay {
    /// Listens at a free loopback port and carries connections to `target`.
    ///
    /// # Errors
    /// Fails when no port can be taken.
    pub async fn start(target: SocketAddr, latency: Millis) -> std::io::Result<Self> {
        let (listener, address) = listen().await?;
        let relay = Self::new(address, latency);
        task::spawn(accept(listener, target, Arc::clone(&relay.link)));
        Ok(relay)
    }

    /// Takes a port whose target is known only later, by `aim`.
    ///
    /// # Errors
    /// Fails when no port can be taken.
    pub async fn reserve(latency: Millis) -> std::io::Result<(Self, Aim)> {
        let (listener, address) = listen().await?;
        let relay = Self::new(address, latency);
        let link = Arc::clone(&relay.link);
        Ok((relay, Aim { listener, link }))
    }

    fn new(address: SocketAddr, latency: Millis) -> Self {
        let link = Arc::new(Link::default());
        link.latency.store(latency.0, Ordering::SeqCst);
        Self { address, link }
    }

    /// Returns where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Parts the link, or heals it.
    pub fn part(&self, on: bool) {
        self.link.parted_there.store(on, Ordering::SeqCst);
        self.part_back(on);
    }

    /// Parts the way back alone, or heals it: requests arrive and answers don't.
    pub fn part_back(&self, on: bool) {
        self.link.parted_back.store(on, Ordering::SeqCst);
    }

    /// Sets the time of one way.
    pub fn delay(&self, latency: Millis) {
        self.link.latency.store(latency.0, Ordering::SeqCst);
    }

    /// Ends all present connections at once.
    pub fn reset(&self) {
        self.link.resets.fetch_add(1, Ordering::SeqCst);
    }

    /// Ends the link and all its connections.
    pub fn end(&self) {
        self.link.ended.store(true, Ordering::SeqCst);
    }
}

/// `Aim` is a relay that has no target yet.
#[derive(Debug)]
pub struct Aim {
    listener: TcpListener,
    link: Arc<Link>,
}

impl Aim {
    /// Carries connections to `target` from now on.
    pub fn at(self, target: SocketAddr) {
        task::spawn(accept(self.listener, target, self.link));
    }
}

impl Link {
    fn is_parted(&self, way: Way) -> bool {
        let parted = match way {
            Way::There => &self.parted_there,
            Way::Back => &self.parted_back,
        };
        parted.load(Ordering::SeqCst)
    }

    fn resets(&self) -> u64 {
        self.resets.load(Ordering::SeqCst)
    }

    fn is_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    fn latency(&self) -> Duration {
        Duration::from_millis(self.latency.load(Ordering::SeqCst))
    }

    /// Waits until `due` has passed and the link is whole; false when it has ended, or was reset since
    /// the connection began at `resets`.
    async fn arrive(&self, due: Instant, way: Way, resets: u64) -> bool {
        task::sleep(due.saturating_duration_since(Instant::now())).await;
        let is_over = || self.is_ended() || self.resets() != resets;
        while self.is_parted(way) && !is_over() {
            task::sleep(POLL).await;
        }
        !is_over()
    }
}

async fn listen() -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

async fn accept(listener: TcpListener, target: SocketAddr, link: Arc<Link>) {
    while !link.is_ended() {
        let Ok((near, _)) = listener.accept().await else {
            task::sleep(POLL).await;
            continue;
        };
        task::spawn(carry(near, target, Arc::clone(&link)));
    }
}

async fn carry(near: TcpStream, target: SocketAddr, link: Arc<Link>) {
    let resets = link.resets();
    // The first packet needs a way there and back before data may follow.
    let due = Instant::now() + link.latency() * 2;
    if !link.arrive(due, Way::There, resets).await {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        drop(near.shutdown(Shutdown::Both));
        return;
    };
    let is_plain = near.set_nodelay(true).is_ok() && far.set_nodelay(true).is_ok();
    if is_plain {
        let carried = join(
            pass(near.clone(), far.clone(), &link, Way::There, resets),
            pass(far.clone(), near.clone(), &link, Way::Back, resets),
        );
        let reset = async {
            while link.resets() == resets {
                task::sleep(RESET_POLL).await;
            }
        };
        select(std::pin::pin!(carried), std::pin::pin!(reset)).await;
        for end in [near, far] {
            // It may have ended already.
            drop(end.shutdown(Shutdown::Both));
        }
    }
}

/// Passes one direction on, each chunk a latency after it came, then its end.
async fn pass(mut from: TcpStream, mut to: TcpStream, link: &Link, way: Way, resets: u64) {
    let (sender, receiver) = async_channel::bounded::<(Instant, Vec<u8>)>(ON_THE_WAY);
    let read = async move {
        let mut chunk = vec![0; CHUNK];
        while let Ok(count @ 1..) = from.read(&mut chunk).await {
            let due = Instant::now() + link.latency();
            if sender.send((due, chunk[..count].to_vec())).await.is_err() {
                return;
            }
        }
    };
    let write = async move {
        while let Ok((due, bytes)) = receiver.recv().await {
            let arrives = link.arrive(due, way, resets).await;
            if !arrives || to.write_all(&bytes).await.is_err() {
                drop(to.shutdown(Shutdown::Both));
                return;
            }
        }
        // The end arrives as late as the bytes.
        let due = Instant::now() + link.latency();
        if link.arrive(due, way, resets).await {
            drop(to.shutdown(Shutdown::Write));
        } else {
            drop(to.shutdown(Shutdown::Both));
        }
    };
    join(read, write).await;
}
