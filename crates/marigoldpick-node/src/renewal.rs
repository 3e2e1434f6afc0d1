//! Renewal of the lease on the lead's key during a term.

use std::rc::Rc;

use async_std::task;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Expect};

use crate::control::Control;
use crate::election::is_held_by;
use crate::keys;
use crate::leadership::Leadership;
use crate::platform::Platform;

/// The number of renewals during the duration of the lead's lease.
const RENEWALS_PER_LEASE: u64 = 4;
/// The age of the last confirmation from which on a lead that commits nothing reads its key. It leaves most of the
/// `term_grace` setting for the read.
const KEY_CHECK_AGE: Millis = Millis(1_000);

impl<P: Platform> Control<P> {
    /// Claims the lead's key again after its lease has ended, unless another entry has led since.
    ///
    /// The term and the state continue, since the condition ensures that nobody has changed the chain's key.
    async fn reclaim(self: &Rc<Self>, leadership: &Rc<Leadership>) {
        let span = self.settings.lead_lease;
        let sent = self.now();
        let Ok(Answer::Lease(lease)) = self.call_store(Call::Grant { span }).await else {
            return;
        };
        let chain = Expect::Revision(leadership.chain());
        let commit = self.build_claim(&leadership.holder, Expect::Absent, chain, lease);
        match self.call_store(commit).await {
            Ok(Answer::Written(revision)) => {
                log::info!(target: "node", "event=lead-reclaimed term={}", leadership.term());
                leadership.set_chain(revision);
                leadership.lease.set(lease);
                leadership.confirm(sent);
            }
            Ok(Answer::Rivals(items)) => {
                let other = items
                    .iter()
                    .any(|item| !is_held_by(item, &leadership.holder));
                if other {
                    leadership.end("another-leads");
                }
            }
            Ok(_) | Err(_) => {}
        }
    }

    /// Confirms the term if the lead's key is still that of the term, and ends it if another claim has replaced the key.
    ///
    /// That the lease lasts does not show this: an entry that was asked to take over replaces the key, also if it reads the
    /// request late, when another entry leads than the one that has sent it.
    async fn check_lead_key(self: &Rc<Self>, leadership: &Leadership) {
        let sent = self.now();
        let key = keys::LEAD.to_owned();
        match self.call_store(Call::Get { key }).await {
            Ok(Answer::Item(Some(item))) if is_held_by(&item, &leadership.holder) => {
                leadership.confirm(sent);
            }
            Ok(Answer::Item(Some(_))) => leadership.end_as_replaced("another-leads"),
            Ok(_) | Err(_) => {}
        }
    }

    /// Renews the lead's lease until the term ends, then revokes it.
    ///
    /// Commits confirm the term; without one, the lead's key is read after a renewal. A term that has expired ends unless
    /// it is confirmed then; the lead gives no orders meanwhile. If the lease has ended, the lead's key is claimed again.
    pub(crate) async fn renew_term(self: Rc<Self>, leadership: Rc<Leadership>) {
        let pause = Millis(self.settings.lead_lease.0 / RENEWALS_PER_LEASE);
        while !leadership.is_over() {
            let lease = leadership.lease.get();
            match self.call_store(Call::Renew { lease }).await {
                Ok(Answer::Lease(_)) => {
                    let age = self.now().since(leadership.confirmed());
                    if leadership.has_offered() || age >= KEY_CHECK_AGE {
                        self.check_lead_key(&leadership).await;
                    }
                }
                Ok(_) => self.reclaim(&leadership).await,
                Err(_) => {}
            }
            if leadership.read(|lead| lead.has_expired(self.now())) {
                leadership.end("term-unconfirmed");
            }
            task::sleep(pause.duration()).await;
        }
        // After the revocation, the other entries need not wait for the lease's end.
        let lease = leadership.lease.get();
        if let Err(fault) = self.call_store(Call::Revoke { lease }).await {
            log::debug!(target: "node", "event=lead-key-left why={fault}");
        }
    }
}
