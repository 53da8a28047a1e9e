//! Copies of allowances at other VMs, for a time in which the store takes no records.

use crate::gateway::Gateway;
use crate::gateway::peers::{Copy, Note, Question, Reply};
use crate::gateway::tokens::part::Part;
use crate::telemetry::event;
use std::time::Duration;
use tokio::time::timeout;

/// How long the VMs that may keep copies are waited for.
const GATHER: Duration = Duration::from_millis(70);
/// How many other VMs keep what the store has not taken. Where more than half of all VMs are lost at
/// once, two copies are lost with the VM that counts in one of six cases, four in one of twenty.
const COPIES: usize = 4;

impl Gateway {
    /// Asks the VMs that may keep copies for allowances that the store may lack. Gives for how long
    /// the oldest of them has run, in milliseconds.
    pub(crate) async fn gather(&self, part: u64) -> u64 {
        let others = self.counters(part).into_iter();
        let others = others.filter(|peer| peer.vm != self.settings.vm);
        let asks = others.take(COPIES + 1).map(|peer| async move {
            let question = Question::Copies { part };
            timeout(GATHER, self.peers.ask(peer.address, &question)).await
        });
        let mut oldest_ms = self.keeper.up_ms();
        for reply in futures::future::join_all(asks).await {
            let Ok(Some(Reply::Copies { allowed, up_ms })) = reply else {
                continue;
            };
            oldest_ms = up_ms.max(oldest_ms);
            for (program, allowed) in allowed {
                self.keeper.keep(Copy {
                    part,
                    program,
                    allowed,
                    epoch: 0,
                    fenced: false,
                });
            }
        }
        oldest_ms
    }

    /// Tells all VMs of allowances that this one gave and could not record.
    pub(crate) async fn tell_orphans(&self) {
        let orphans = self.keeper.orphans.take();
        if orphans.is_empty() {
            return;
        }
        let members = self.counters(0);
        event!(
            info,
            "allowances_told",
            programs = orphans.len(),
            members = members.len()
        );
        for copy in orphans {
            for peer in members.iter().filter(|peer| peer.vm != self.settings.vm) {
                self.peers
                    .tell(peer.address, Note::Copied(copy.clone()))
                    .await;
            }
        }
    }

    /// Tells the VM that would take over of a durable allowance, for a time without the store.
    pub(crate) async fn tell_next(&self, copy: Copy) {
        let next = self.next_counter(copy.part);
        if let Some(next) = next {
            self.peers.tell(next.address, Note::Copied(copy)).await;
        }
    }

    /// Has the VMs that would take over keep an allowance.
    pub(crate) async fn copy(&self, copy: Copy, part: &Part) -> bool {
        let question = Question::Keep(copy.clone());
        let others = self.counters(copy.part).into_iter();
        let others = others.filter(|peer| peer.vm != self.settings.vm);
        let asks = others.take(COPIES).map(|peer| {
            let question = &question;
            async move { self.peers.ask(peer.address, question).await }
        });
        // All of them are waited for: one that reaches the store may be the last to answer.
        let replies = futures::future::join_all(asks).await;
        if replies.contains(&Some(Reply::NotOwner)) {
            self.keeper.shut_out(copy.part, part, copy.epoch);
            return false;
        }
        let copies = replies.iter().flatten().count();
        event!(
            info,
            "allowance_copied",
            program = copy.program,
            allowed = copy.allowed,
            copies = copies
        );
        copies > 0
    }
}
