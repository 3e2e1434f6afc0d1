//! Fixtures shared by the tests of the inner protocol.

use std::net::TcpListener;
use std::sync::{Arc, Mutex};

use marigoldpick_core::control::Known;
use marigoldpick_core::prelude::*;
use marigoldpick_core::{control, peer};
use marigoldpick_wire::{Answer, Call, Client, Error, Handler, Local, Server, Settings};

/// A timeout that no test reaches.
pub const LONG: Millis = Millis(60_000);

/// `Script` records each call; it never answers `Progress`, answers `Entries` with their own
/// number, and all others with the answer that was set.
#[derive(Clone)]
pub struct Script {
    pub calls: Arc<Mutex<Vec<Call>>>,
    pub answer: Arc<Mutex<Result<Answer, Code>>>,
}

impl Script {
    pub fn new() -> Self {
        let answer = Answer::Control(control::Answer::Sequence(0));
        Self {
            calls: Arc::default(),
            answer: Arc::new(Mutex::new(Ok(answer))),
        }
    }

    pub fn set(&self, answer: Result<Answer, Code>) {
        *self.answer.lock().expect("no panic") = answer;
    }

    pub fn last(&self) -> Option<Call> {
        self.calls.lock().expect("no panic").last().cloned()
    }
}

impl Handler for Script {
    async fn handle(&self, call: Call) -> Result<Answer, Code> {
        self.calls.lock().expect("no panic").push(call.clone());
        match call {
            Call::Control(control::Call::Progress) => std::future::pending().await,
            Call::Control(control::Call::Entries { after }) => {
                Ok(Answer::Control(control::Answer::Sequence(after)))
            }
            _ => self.answer.lock().expect("no panic").clone(),
        }
    }
}

pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

pub fn serve(script: &Script) -> (Server, Known) {
    let server = Server::start(listener(), script.clone()).expect("a server");
    let known = known(&server.address().to_string());
    (server, known)
}

pub fn domain(name: &str) -> id::Domain {
    id::Domain::new(name).expect("a name")
}

/// Returns the server's entry, in failure domain `north`.
pub fn known(address: &str) -> Known {
    Known {
        entry: id::Entry::new("n0").expect("a name"),
        domain: domain("north"),
        address: address.to_owned(),
    }
}

/// Starts a client of an entry in failure domain `south`.
pub fn client(settings: Settings) -> Client {
    let local = Local {
        entry: id::Entry::new("s0").expect("a name"),
        domain: domain("south"),
    };
    Client::start(local, settings).expect("a client")
}

/// Returns a call that the script answers with the call's own number.
pub fn entries(after: u64) -> Call {
    Call::Control(control::Call::Entries { after })
}

pub fn sequence(number: u64) -> Result<Answer, Error> {
    Ok(Answer::Control(control::Answer::Sequence(number)))
}

/// Returns a call that the script never answers.
pub fn unanswered() -> Call {
    Call::Control(control::Call::Progress)
}

pub fn close(request: &str) -> Call {
    Call::Traffic(peer::Call::Once(peer::Once {
        request: id::Request::new(request).expect("a name"),
        attempt: 2,
        entry: id::Entry::new("s0").expect("a name"),
        token: 9,
        step: peer::Step::Close,
    }))
}
