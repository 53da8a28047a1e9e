//! Has another VM record a turn that the store does not take from this one.
//!
//! Load it answers: a store that turns some VMs away, or is cut off from them, and serves the others.
//! Nothing is kept beside the store: after the loss of all VMs a turn that only they held would be
//! gone, though its answer had ended as whole.

use super::exchange::{Answer, Message};
use super::{Conversations, Gateway};
use crate::conversation::{Bucket, Turn};
use crate::gateway::peers::Peer;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// VMs that are asked at a time.
const ASKED: usize = 2;
/// How long a VM tries to record a turn of another one. Together with the way there and back it stays
/// under the time that an exchange may take.
const TRY: Duration = Duration::from_millis(220);

impl Gateway {
    /// Whether another VM has recorded the turn. `round` is the number of earlier tries.
    pub(super) async fn relay_turn(
        self: &Rc<Self>,
        bucket: Bucket,
        turn: &Turn,
        round: usize,
    ) -> bool {
        let mut others: Vec<Peer> = self.homes(bucket);
        others.retain(|peer| peer.ready && peer.vm != self.settings.vm);
        // In each round others: those that come first may have lost the store as well.
        let first = round * ASKED % others.len().max(1);
        others.rotate_left(first);
        others.truncate(ASKED);
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
    /// Records the turn of another VM; tells whether the store has it.
    pub(super) async fn record_for(self: &Rc<Self>, turn: Turn) -> bool {
        if self.is_away() {
            return false;
        }
        let turn = Rc::new(turn);
        let lane = self.post(self.layout.bucket(&turn.id), Rc::clone(&turn));
        // It stays to be written where the time is over: whoever takes it out could make another try of
        // the same turn, which came meanwhile, look recorded.
        timeout(TRY, lane.recorded(&turn.id)).await.is_ok()
    }
}
