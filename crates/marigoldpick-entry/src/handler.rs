//! Dispatches other entries' calls to the control thread or to the frontend for callers.

use async_channel::Sender;
use marigoldpick_core::prelude::*;
use marigoldpick_wire as wire;

use crate::control::{Message, ask};
use crate::entry::Frontend;

/// `Handler` answers the calls of other entries.
#[derive(Clone, Debug)]
pub struct Handler {
    control: Sender<Message>,
    frontend: Frontend,
}

impl Handler {
    /// Creates a handler.
    #[must_use]
    pub const fn new(control: Sender<Message>, frontend: Frontend) -> Self {
        Self { control, frontend }
    }
}

impl wire::Handler for Handler {
    async fn handle(&self, call: wire::Call) -> Result<wire::Answer, Code> {
        match call {
            wire::Call::Control(call) => {
                let answer = ask(&self.control, |reply| Message::Peer { call, reply }).await;
                answer
                    .unwrap_or(Err(Code::PeerAway))
                    .map(wire::Answer::Control)
            }
            wire::Call::Traffic(call) => {
                Ok(wire::Answer::Traffic(self.frontend.handle_call(call).await))
            }
            wire::Call::Jobs(_) => Err(Code::BadRequest),
        }
    }
}
