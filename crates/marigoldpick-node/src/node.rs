//! A running node, and the handle through which callers and other entries reach its control thread.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;

use async_channel::Sender;
use futures::channel::oneshot;
use marigoldpick_core::prelude::*;
use marigoldpick_core::team::Overview;
use marigoldpick_core::work::peer::Receipt;
use marigoldpick_core::work::{Access, Job, Phase, explain};
use marigoldpick_wire as wire;

use crate::access;
use crate::config::Active;
use crate::control::Control;
use crate::platform::Platform;
use crate::request::{Request, Shared};
use crate::settings::Settings;

/// The number of requests that may wait for the control thread; more are refused.
const MAX_WAITING_REQUESTS: usize = 2_048;

/// `Handle` passes the requests of callers and other entries to the control thread.
#[derive(Clone, Debug)]
pub struct Handle {
    requests: Sender<Request>,
    shared: Arc<Shared>,
}

impl Handle {
    /// Returns the configuration in force, if there is one.
    #[must_use]
    pub fn config(&self) -> Option<Arc<Active>> {
        self.shared.config.load_full()
    }

    /// Decides whether to serve a caller with a key under a configuration.
    #[must_use]
    pub fn admit<'a>(
        &self,
        active: &'a Active,
        host: &str,
        path: &'a str,
        key: Option<&str>,
    ) -> access::Verdict<'a> {
        let age = active.age(self.shared.clock.now());
        self.shared
            .access
            .admit(&active.config, age, host, path, key)
    }

    /// Returns the time since the configuration was last confirmed to be the newest.
    #[must_use]
    pub fn config_age(&self, active: &Active) -> Millis {
        active.age(self.shared.clock.now())
    }

    /// Returns whether a load balancer should send callers here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.shared.draining.load(Ordering::SeqCst)
            && self.shared.connected.load(Ordering::SeqCst)
            && self.shared.config.load().is_some()
    }

    /// Returns whether the process is about to end.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.shared.draining.load(Ordering::SeqCst)
    }

    /// Returns the delay after which a caller that is refused now should retry.
    #[must_use]
    pub fn retry_after(&self) -> Millis {
        Millis(self.shared.retry_after.load(Ordering::SeqCst))
    }

    /// Starts the drain: the node is no longer ready, and a lead hands its term over.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::SeqCst);
        if self.requests.try_send(Request::Drain).is_err() {
            log::warn!(target: "node", "event=drain-lost reason=queue-full");
        }
    }

    /// Stores a job.
    pub async fn submit(&self, id: id::Job, job: Arc<Job>) -> Receipt {
        let seen = self.shared.seen_revision.load(Ordering::SeqCst);
        let answer = self
            .send_request(|reply| Request::Submit(id, job, seen, reply))
            .await;
        answer.unwrap_or(Receipt::Refused)
    }

    /// Cancels a job that the caller may cancel; others are absent to it.
    pub async fn cancel(&self, id: id::Job, access: Access) -> Receipt {
        let answer = self
            .send_request(|reply| Request::Cancel(id, access, reply))
            .await;
        answer.unwrap_or(Receipt::Refused)
    }

    /// Returns the phase of a job, or nothing if there is no such job that the caller may see.
    ///
    /// # Errors
    /// Fails when neither the lead nor the store answers, or when the control thread does not take the
    /// request.
    pub async fn phase(&self, id: id::Job, access: Access) -> Result<Option<Phase>, Code> {
        let answer = self
            .send_request(|reply| Request::Phase(id, access, reply))
            .await;
        answer.unwrap_or(Err(Code::Internal))
    }

    /// Returns the number of jobs of a queue that wait.
    ///
    /// # Errors
    /// Fails when the lead does not answer, or when the control thread does not take the request.
    pub async fn waiting(&self, queue: Name) -> Result<u64, Code> {
        let answer = self
            .send_request(|reply| Request::Waiting(queue, reply))
            .await;
        answer.unwrap_or(Err(Code::Internal))
    }

    /// Returns what this entry knows of the teams; nothing if the control thread does not take the request.
    pub async fn teams(&self) -> Option<Overview> {
        self.send_request(Request::Teams).await
    }

    /// Returns where a job would go, without accepting it; nothing if the control thread does not take the request.
    pub async fn explain(&self, job: Arc<Job>) -> Option<explain::Answer> {
        self.send_request(|reply| Request::Explain(job, reply))
            .await
    }

    /// Sends a request to the control thread and waits for the answer.
    ///
    /// Returns nothing if too many requests wait, in which case this one has no effect, or if the control
    /// thread ends before it answers.
    async fn send_request<T>(&self, make: impl FnOnce(oneshot::Sender<T>) -> Request) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.requests.try_send(make(reply)).ok()?;
        answer.await.ok()
    }
}

impl wire::Handler for Handle {
    async fn handle(&self, call: wire::Call) -> Result<wire::Answer, Code> {
        match call {
            wire::Call::Jobs(call) => {
                let answer = self.send_request(|reply| Request::Peer(call, reply)).await;
                answer
                    .unwrap_or(Err(Code::PeerAway))
                    .map(wire::Answer::Jobs)
            }
            wire::Call::Control(_) | wire::Call::Traffic(_) => Err(Code::BadRequest),
        }
    }
}

/// `Node` is a running node: its control thread and its inner protocol.
#[derive(Debug)]
pub struct Node {
    handle: Handle,
    _server: wire::Server,
    _control: thread::JoinHandle<()>,
}

impl Node {
    /// Starts a node on a platform.
    ///
    /// # Errors
    /// Fails when the inner address cannot be bound or a thread cannot be started.
    pub fn start<P: Platform>(platform: P, settings: Settings) -> io::Result<Self> {
        let (requests, receiver) = async_channel::bounded(MAX_WAITING_REQUESTS);
        let shared = Arc::new(Shared {
            access: settings.access,
            ..Shared::default()
        });
        let handle = Handle {
            requests,
            shared: Arc::clone(&shared),
        };
        let listener = TcpListener::bind(&settings.inner)?;
        let server = wire::Server::start(listener, handle.clone())?;
        let local = wire::Local {
            entry: settings.entry.clone(),
            domain: settings.domain.clone(),
        };
        let client = wire::Client::start(
            local,
            wire::Settings {
                connect: Millis(500),
                backoff_most: Millis(500),
                ..wire::Settings::default()
            },
        )?;
        let control = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                let control = Control::new(platform, settings, client, shared);
                async_std::task::block_on(control.run(receiver));
            })?;
        Ok(Self {
            handle,
            _server: server,
            _control: control,
        })
    }

    /// Returns the handle through which requests reach the control thread.
    #[must_use]
    pub const fn handle(&self) -> &Handle {
        &self.handle
    }
}
