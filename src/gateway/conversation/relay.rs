//! Records a turn through another VM when this VM cannot reach the store.
//!
//! Other VMs write the turn to the store rather than keep a copy of it: a copy would not survive
//! the loss of all VMs, although the answer had ended as complete.

use super::exchange::{Answer, Message};
use super::{Conversations, Gateway};
use crate::conversation::{Bucket, Turn};
use crate::gateway::peers::Peer;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// VMs that are asked in one round.
const VMS_PER_ROUND: usize = 2;
/// Time limit for recording a turn of another VM; with the round trip it stays below the timeout of
/// an exchange.
const RECORD_TIMEOUT: Duration = Duration::from_millis(220);

impl Gateway {
    /// Asks other VMs to record a turn; returns whether one did. `round` is the number of earlier
    /// rounds.
    pub(super) async fn record_through_peer(
        self: &Rc<Self>,
        bucket: Bucket,
        turn: &Turn,
        round: usize,
    ) -> bool {
        let mut others: Vec<Peer> = self.home_vms(bucket);
        others.retain(|peer| peer.ready && peer.vm != self.settings.vm);
        // Ask different VMs in each round: the first ones may have lost the store as well.
        let first = round * VMS_PER_ROUND % others.len().max(1);
        others.rotate_left(first);
        others.truncate(VMS_PER_ROUND);
        let message = Message::Record(turn.clone());
        let asks = others.iter();
        let mut asks: FuturesUnordered<_> = asks
            .map(|peer| self.exchange(peer.address, &message))
            .collect();
        while let Some(answer) = asks.next().await {
            if matches!(answer, Some(Answer::Recorded(true))) {
                return true;
            }
        }
        false
    }
}

impl Conversations {
    /// Records a turn of another VM; returns whether the store has it.
    pub(super) async fn record_for_peer(self: &Rc<Self>, turn: Turn) -> bool {
        if self.is_store_down() || self.observer().is_busy() {
            return false;
        }
        let mut queued = self.enqueue(Rc::new(turn));
        timeout(RECORD_TIMEOUT, queued.wait_until_recorded())
            .await
            .is_ok()
    }
}
