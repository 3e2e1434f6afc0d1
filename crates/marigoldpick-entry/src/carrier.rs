//! Carries the traffic face's calls over the inner protocol.

use marigoldpick_core::control::Known;
use marigoldpick_core::peer;
use marigoldpick_core::prelude::*;
use marigoldpick_wire as wire;

use crate::traffic;
use crate::view::Cell;

/// The longest wait for an answer to a call about slots or request ids.
const CALL: Millis = Millis(1_000);
/// What a forwarded request may take on top of its deadline.
const SLACK: Millis = Millis(500);

/// `Carrier` makes the traffic face's calls.
#[derive(Clone, Debug)]
pub struct Carrier {
    client: wire::Client,
    view: Cell,
}

impl Carrier {
    /// Makes a carrier; the view tells the failure domains of entries.
    #[must_use]
    pub const fn new(client: wire::Client, view: Cell) -> Self {
        Self { client, view }
    }

    fn known(&self, entry: &id::Entry, address: &str) -> Result<Known, Code> {
        let view = self.view.load();
        let at = view.entries.binary_search_by(|peer| peer.entry.cmp(entry));
        let at = at.map_err(|_not_there| Code::PeerAway)?;
        let domain = view.entries[at].domain.clone();
        Ok(Known {
            entry: entry.clone(),
            domain,
            address: address.to_owned(),
        })
    }
}

impl traffic::Wire for Carrier {
    async fn call(
        &self,
        entry: &id::Entry,
        address: &str,
        call: peer::Call,
    ) -> Result<peer::Answer, Code> {
        let limit = match &call {
            peer::Call::Forward(forward) => forward.deadline + SLACK,
            peer::Call::Demand(_) | peer::Call::Once(_) => CALL,
        };
        let known = self.known(entry, address)?;
        let answer = self
            .client
            .call(&known, wire::Call::Traffic(call), limit)
            .await;
        match answer.map_err(code)? {
            wire::Answer::Traffic(answer) => Ok(answer),
            wire::Answer::Control(_) | wire::Answer::Jobs(_) => Err(Code::BadRequest),
        }
    }
}

/// Tells a call without effect from one that may have had one.
const fn code(error: wire::Error) -> Code {
    match error {
        wire::Error::Unknown => Code::UnknownEndpointLost,
        other => other.code(),
    }
}
