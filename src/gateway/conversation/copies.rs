//! Copies of turns at other VMs, for a time in which the store takes no records.
//!
//! A VM that the store turns away alone has its turns recorded by one that it serves. Where the store
//! serves none, two VMs beside this one keep the turn until one of the three gets it recorded.

use super::exchange::{Answer, Message};
use super::{Conversations, Gateway};
use crate::conversation::{Bucket, Turn};
use crate::gateway::peers::Peer;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// VMs that are asked to keep a turn.
const ASKED: usize = 4;
/// Copies without which a turn is not kept, where there are so many other VMs. With three of eleven
/// VMs lost at once, all three holders are among them in one of 165 cases.
const ENOUGH: usize = 2;
/// How long a VM that was given a copy tries to record it before it answers.
const TRY: Duration = Duration::from_millis(120);

/// What other VMs did with a turn.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Copies {
    /// One of them has recorded it.
    pub(super) recorded: bool,
    /// Enough of them keep it.
    pub(super) enough: bool,
}

impl Gateway {
    /// Has other VMs record a turn or keep it.
    pub(super) async fn copy_turn(self: &Rc<Self>, bucket: Bucket, turn: &Rc<Turn>) -> Copies {
        let mut others: Vec<Peer> = self.homes(bucket);
        others.retain(|peer| peer.vm != self.settings.vm);
        others.truncate(ASKED);
        let enough = ENOUGH.min(others.len()).max(1);
        let message = Message::Keep((**turn).clone());
        let mut asks: FuturesUnordered<_> = others
            .iter()
            .map(|peer| self.exchange(peer.address, &message))
            .collect();
        let mut copies = 0;
        while let Some(answer) = asks.next().await {
            match answer {
                Some(Answer::Kept { recorded: true }) => {
                    return Copies {
                        recorded: true,
                        enough: true,
                    };
                }
                Some(Answer::Kept { recorded: false }) => copies += 1,
                _ => {}
            }
            // Those that know the store as away answer at once, one that reaches it a little later.
            if copies >= enough && (self.conversations.is_away() || asks.is_empty()) {
                break;
            }
        }
        Copies {
            recorded: false,
            enough: copies >= enough,
        }
    }
}

impl Conversations {
    /// Keeps the turn of another VM; tells whether the store has it.
    pub(super) async fn keep_copy(self: &Rc<Self>, turn: Turn) -> bool {
        let turn = Rc::new(turn);
        let bucket = self.layout.bucket(&turn.id);
        self.cache
            .borrow_mut()
            .insert(Instant::now(), Rc::clone(&turn));
        let lane = self.post(bucket, Rc::clone(&turn));
        let patience = if lane.failing.get() || self.is_away() {
            Duration::ZERO
        } else {
            TRY
        };
        let recorded = timeout(patience, lane.recorded(&turn.id)).await.is_ok();
        if !recorded {
            self.doubt();
        }
        recorded
    }
}
