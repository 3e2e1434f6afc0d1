//! The side that makes calls.

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
use crate::cut::Cut;
use crate::link::Link;

/// Links beyond these are forgotten when they are without a connection.
const MAX_LINKS: usize = 256;

/// `Client` makes calls from any thread; one thread of its own carries them.
///
/// The thread ends when the last clone of the client is dropped.
#[derive(Clone, Debug)]
pub struct Client {
    jobs: Sender<Job>,
    cut: Cut,
}

#[derive(Debug)]
enum Job {
    Call(Box<Task>),
    /// The set of failure domains that are cut off has changed.
    Cut,
}

#[derive(Debug)]
struct Task {
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
    /// Fails when no thread can be made.
    pub fn start(local: Local, settings: Settings) -> io::Result<Self> {
        let (jobs, queue) = async_channel::bounded(settings.queue.max(1));
        let cut = Cut::default();
        let links = cut.clone();
        thread::Builder::new()
            .name("wire-client".to_owned())
            .spawn(move || {
                let links = Links::new(local, settings, links);
                task::block_on(links.run(queue));
            })?;
        Ok(Self { jobs, cut })
    }

    /// Calls the entry `to` and waits for its answer, at most for `limit`.
    ///
    /// # Errors
    /// Tells whether the call may have had an effect. It fails at once while a peer that could not
    /// be reached is left alone for a while.
    pub async fn call(&self, to: &Known, call: Call, limit: Millis) -> Result<Answer, Error> {
        if self.cut.has(&to.domain) {
            return Err(Error::Away);
        }
        let (reply, answer) = oneshot::channel();
        let task = Task {
            address: to.address.clone(),
            domain: to.domain.clone(),
            call,
            limit,
            reply,
        };
        if self.jobs.try_send(Job::Call(Box::new(task))).is_err() {
            return Err(Error::Away);
        }
        let answer = answer.await.unwrap_or(Err(Error::Unknown));
        if self.cut.has(&to.domain) {
            return Err(Error::Unknown);
        }
        answer
    }

    /// Reaches no entry of these failure domains any more, until it is called with others.
    pub fn cut(&self, domains: &[id::Domain]) {
        self.cut.set(domains);
        if self.jobs.force_send(Job::Cut).is_err() {
            log::error!(target: "wire", "the client's thread has ended");
        }
    }
}

/// `Links` is the client's thread: its connections, sorted by address.
struct Links {
    local: Rc<Local>,
    settings: Settings,
    cut: Cut,
    draws: Rc<RefCell<ChaCha8Rng>>,
    links: Vec<(String, Rc<Link>)>,
}

impl Links {
    fn new(local: Local, settings: Settings, cut: Cut) -> Self {
        let draws = ChaCha8Rng::seed_from_u64(settings.seed);
        Self {
            local: Rc::new(local),
            settings,
            cut,
            draws: Rc::new(RefCell::new(draws)),
            links: Vec::new(),
        }
    }

    async fn run(mut self, queue: Receiver<Job>) {
        while let Ok(job) = queue.recv().await {
            match job {
                Job::Call(task) => self.call(*task),
                Job::Cut => self.close_cut(),
            }
        }
        self.links.iter().for_each(|(_, link)| link.close());
    }

    fn call(&mut self, task: Task) {
        let link = self.link(task.address, task.domain);
        task::spawn_local(async move {
            let answer = link.call(task.call, task.limit).await;
            let _caller_has_gone = task.reply.send(answer);
        });
    }

    fn link(&mut self, address: String, domain: id::Domain) -> Rc<Link> {
        let at = match self.links.binary_search_by(|(have, _)| have.cmp(&address)) {
            Ok(at) => return Rc::clone(&self.links[at].1),
            Err(at) if self.links.len() < MAX_LINKS => at,
            Err(_) => {
                self.links.retain(|(_, link)| !link.is_down());
                self.links.partition_point(|(have, _)| *have < address)
            }
        };
        let link = Rc::new(Link::new(
            address.clone(),
            domain,
            Rc::clone(&self.local),
            self.settings,
            Rc::clone(&self.draws),
        ));
        self.links.insert(at, (address, Rc::clone(&link)));
        link
    }

    fn close_cut(&self) {
        self.links
            .iter()
            .filter(|(_, link)| self.cut.has(&link.domain))
            .for_each(|(_, link)| link.close());
    }
}
