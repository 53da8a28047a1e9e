//! Which other VMs reach the store, for a VM that has lost it.

use crate::gateway::Gateway;
use crate::gateway::peers::{Peer, Question, Reply};
use crate::policy::outage::heard_after_loss;
use futures::future::join_all;
use std::time::Duration;
use tokio::time::timeout;

/// VMs that are asked. Where a third of all is cut off from the store, all of six are in one of 500 cases; in an
/// outage none has it.
const ASKED: usize = 6;
/// How long they may take to answer: a round trip within a region takes 1 to 4 ms.
const ANSWER: Duration = Duration::from_millis(70);

impl Gateway {
    /// Those of the VMs that come next for a partition to which the store has answered a call that
    /// began within `time`.
    pub(crate) async fn reaching_store(&self, part: u64, time: Duration) -> Vec<Peer> {
        let others = self.counters(part).into_iter();
        let others = others.filter(|peer| peer.ready && peer.vm != self.settings.vm);
        let asks = others.take(ASKED).map(|peer| async move {
            let reply = timeout(ANSWER, self.peers.ask(peer.address, &Question::Heard));
            let Ok(Some(Reply::Heard { ago_ms })) = reply.await else {
                return None;
            };
            heard_after_loss(time, ago_ms.map(Duration::from_millis)).then_some(peer)
        });
        join_all(asks).await.into_iter().flatten().collect()
    }
}
