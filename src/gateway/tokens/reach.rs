//! Finds VMs that reach the store, for a VM that has lost it.

use crate::gateway::Gateway;
use crate::gateway::peers::{Peer, Question, Reply};
use crate::policy::outage::heard_after_loss;
use futures::future::join_all;
use std::time::Duration;
use tokio::time::timeout;

/// VMs asked at a time. Where a third of all VMs is cut off from the store, all of six are in one
/// of 500 cases.
const MAX_VMS_ASKED: usize = 6;
/// Time allowed for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(70);

impl Gateway {
    /// Of the VMs that come next for a partition, those with an answer from the store to a call
    /// that began within `max_age`.
    pub(crate) async fn peers_reaching_store(&self, part: u64, max_age: Duration) -> Vec<Peer> {
        let others = self.owner_candidates(part).into_iter();
        let others = others.filter(|peer| peer.ready && peer.vm != self.settings.vm);
        let replies = others.take(MAX_VMS_ASKED).map(|peer| async move {
            let reply = timeout(
                ANSWER_TIMEOUT,
                self.peers.ask(peer.address, &Question::Heard),
            );
            let Ok(Some(Reply::Heard { ago_ms })) = reply.await else {
                return None;
            };
            heard_after_loss(max_age, ago_ms.map(Duration::from_millis)).then_some(peer)
        });
        join_all(replies).await.into_iter().flatten().collect()
    }
}
