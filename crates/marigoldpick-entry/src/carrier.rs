//! Sends the calls of the frontend for callers to other entries over the inner protocol.

use marigoldpick_core::control::Known;
use marigoldpick_core::peer;
use marigoldpick_core::prelude::*;
use marigoldpick_wire as wire;

use crate::traffic;
use crate::view::Cell;

/// The timeout of calls about slots or request ids.
const CALL_TIMEOUT: Millis = Millis(1_000);
/// The time that a forwarded request may take beyond its deadline.
const FORWARD_SLACK: Millis = Millis(500);

/// `Carrier` sends the frontend's calls with a client of the inner protocol.
#[derive(Clone, Debug)]
pub struct Carrier {
    client: wire::Client,
    view: Cell,
}

impl Carrier {
    /// Creates a carrier, which takes the failure domains of entries from the view.
    #[must_use]
    pub const fn new(client: wire::Client, view: Cell) -> Self {
        Self { client, view }
    }

    /// Returns the client's target for an entry.
    ///
    /// # Errors
    /// Fails with `PeerAway` when the view has no such entry.
    fn target(&self, entry: &id::Entry, address: &str) -> Result<Known, Code> {
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

impl traffic::Transport for Carrier {
    async fn call(
        &self,
        entry: &id::Entry,
        address: &str,
        call: peer::Call,
    ) -> Result<peer::Answer, Code> {
        let limit = match &call {
            peer::Call::Forward(forward) => forward.deadline + FORWARD_SLACK,
            peer::Call::Demand(_) | peer::Call::Once(_) => CALL_TIMEOUT,
        };
        let target = self.target(entry, address)?;
        let answer = self
            .client
            .call(&target, wire::Call::Traffic(call), limit)
            .await;
        match answer.map_err(code)? {
            wire::Answer::Traffic(answer) => Ok(answer),
            wire::Answer::Control(_) | wire::Answer::Jobs(_) => Err(Code::BadRequest),
        }
    }
}

/// Returns the code of a failed call, which says whether the call may have had an effect.
const fn code(error: wire::Error) -> Code {
    match error {
        wire::Error::Unknown => Code::UnknownEndpointLost,
        other => other.code(),
    }
}
