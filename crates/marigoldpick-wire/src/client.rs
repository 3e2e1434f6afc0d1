//! The client, which makes calls to other entries.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::thread;

use async_channel::{Receiver, Sender};
use async_std::task;
use futures::channel::oneshot;
use marigoldpick_core::control::Known;
use marigoldpick_core::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::call::{Answer, Call, Error, Local, Settings};
use crate::link::Link;
use crate::partition::Partition;

/// Above this number of links, those without a connection are removed.
const MAX_LINKS: usize = 256;

/// `Client` makes calls from any thread; one thread of its own sends them.
///
/// The thread ends when the last clone of the client is dropped.
#[derive(Clone, Debug)]
pub struct Client {
    commands: Sender<Command>,
    partition: Partition,
}

#[derive(Debug)]
enum Command {
    Call(Box<PendingCall>),
    /// The set of failure domains that are cut off has changed.
    PartitionChanged,
}

#[derive(Debug)]
struct PendingCall {
    address: String,
    domain: id::Domain,
    call: Call,
    limit: Millis,
    reply: oneshot::Sender<Result<Answer, Error>>,
}

impl Client {
    /// Starts the client's thread.
    ///
    /// # Errors
    /// Fails when the thread can't be started.
    pub fn start(local: Local, settings: Settings) -> io::Result<Self> {
        let (commands, queue) = async_channel::bounded(settings.queue.max(1));
        let partition = Partition::default();
        let links = partition.clone();
        thread::Builder::new()
            .name("wire-client".to_owned())
            .spawn(move || {
                let links = Links::new(local, settings, links);
                task::block_on(links.run(queue));
            })?;
        Ok(Self {
            commands,
            partition,
        })
    }

    /// Calls the entry `to` and waits at most `limit` for its answer.
    ///
    /// # Errors
    /// The error says whether the call may have had an effect. The call fails at once while the
    /// client backs off after a failed connection attempt.
    pub async fn call(&self, to: &Known, call: Call, limit: Millis) -> Result<Answer, Error> {
        if self.partition.contains(&to.domain) {
            return Err(Error::Away);
        }
        let (reply, answer) = oneshot::channel();
        let pending = PendingCall {
            address: to.address.clone(),
            domain: to.domain.clone(),
            call,
            limit,
            reply,
        };
        if self
            .commands
            .try_send(Command::Call(Box::new(pending)))
            .is_err()
        {
            return Err(Error::Away);
        }
        let answer = answer.await.unwrap_or(Err(Error::Unknown));
        if self.partition.contains(&to.domain) {
            return Err(Error::Unknown);
        }
        answer
    }

    /// Cuts off these failure domains, and no others, from calls of this client.
    pub fn set_partition(&self, domains: &[id::Domain]) {
        self.partition.set(domains);
        if self.commands.force_send(Command::PartitionChanged).is_err() {
            log::error!(target: "wire", "the client's thread has ended");
        }
    }
}

/// `Links` is the state of the client's thread: its links, sorted by address.
struct Links {
    local: Rc<Local>,
    settings: Settings,
    partition: Partition,
    rng: Rc<RefCell<ChaCha8Rng>>,
    links: Vec<(String, Rc<Link>)>,
}

impl Links {
    fn new(local: Local, settings: Settings, partition: Partition) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(settings.seed);
        Self {
            local: Rc::new(local),
            settings,
            partition,
            rng: Rc::new(RefCell::new(rng)),
            links: Vec::new(),
        }
    }

    async fn run(mut self, queue: Receiver<Command>) {
        while let Ok(command) = queue.recv().await {
            match command {
                Command::Call(pending) => self.call(*pending),
                Command::PartitionChanged => self.close_cut_off(),
            }
        }
        self.links.iter().for_each(|(_, link)| link.close());
    }

    fn call(&mut self, pending: PendingCall) {
        let link = self.link(pending.address, pending.domain);
        task::spawn_local(async move {
            let answer = link.call(pending.call, pending.limit).await;
            let _caller_has_gone = pending.reply.send(answer);
        });
    }

    fn link(&mut self, address: String, domain: id::Domain) -> Rc<Link> {
        let at = match self
            .links
            .binary_search_by(|(known, _)| known.cmp(&address))
        {
            Ok(at) => return Rc::clone(&self.links[at].1),
            Err(at) if self.links.len() < MAX_LINKS => at,
            Err(_) => {
                self.links.retain(|(_, link)| !link.is_down());
                self.links.partition_point(|(known, _)| *known < address)
            }
        };
        let link = Rc::new(Link::new(
            address.clone(),
            domain,
            Rc::clone(&self.local),
            self.settings,
            Rc::clone(&self.rng),
        ));
        self.links.insert(at, (address, Rc::clone(&link)));
        link
    }

    fn close_cut_off(&self) {
        self.links
            .iter()
            .filter(|(_, link)| self.partition.contains(&link.domain))
            .for_each(|(_, link)| link.close());
    }
}
