//! Whether this VM takes over a partition that no live VM counts.

use crate::gateway::Gateway;
use crate::gateway::peers::{Question, Reply};
use crate::gateway::tokens::counter::TAKE;
use crate::gateway::tokens::keeper::PATIENCE;
use crate::gateway::tokens::part::Part;
use crate::gateway::tokens::takeover::Owner;
use crate::id::{Shard, rendezvous};
use crate::policy::outage::still_heard;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// How long a VM that was shut out does not take the same partition again. Until the members have
/// heard of the new counter, requests that are sent here would make the two shut each other out
/// again and again, and every time what was handed out counts as spent.
const SHUT_OUT: Duration = Duration::from_millis(600);
/// VMs that are asked whether they have the store, before one that has lost it counts from copies. Where a third
/// of all is cut off, all of six are in one of 500 cases.
const WITNESSES: usize = 6;
/// How long they may take to answer: a round trip within a region takes 1 to 4 ms.
const ANSWER: Duration = Duration::from_millis(70);
/// How long ago a VM must have heard the store to have it: the directory is read once a second at least.
const LATELY: Duration = Duration::from_millis(1200);

impl Gateway {
    /// Takes a partition over; gives what is answered where that can't be.
    ///
    /// Whoever wrote its name to the partition last counts it, until it is silent or says that it does not.
    /// Views of hundreds of VMs differ for seconds after many have started or lost power; by the views alone
    /// VMs shut each other out up to ten times for a partition.
    pub(crate) async fn begin_to_count(
        self: &Rc<Self>,
        number: u64,
        part: &Rc<Part>,
        takeover: bool,
    ) -> Option<Reply> {
        let shut_out = part
            .shut_out
            .get()
            .is_some_and(|at| at.elapsed() < SHUT_OUT);
        if shut_out {
            return Some(part.successor.get().map_or(Reply::NotOwner, Reply::Taken));
        }
        let rightful = self.claimed(number);
        let rightful = rightful.or_else(|| self.counters(number).into_iter().next());
        if !takeover && rightful.is_some_and(|other| other.vm != self.settings.vm) {
            return Some(Reply::NotOwner);
        }
        if self.keeper.is_away() {
            // All waits below are for the store.
            return self.inherit(number, part).await;
        }
        let patience = if self.has_store() { TAKE } else { PATIENCE };
        let Ok(Ok(owner)) = timeout(patience, self.keeper.owner(number)).await else {
            // Nobody takes a partition that the store does not show.
            self.keeper.heard(false);
            return self.inherit(number, part).await;
        };
        if let Some(owner) = owner
            && part.hold.get().is_none()
            && self.counts_elsewhere(number, &owner).await
        {
            return Some(Reply::Taken(owner.address));
        }
        // It goes on where this request gives up, so that the next one finds it done.
        let keeper = Rc::clone(&self.keeper);
        let taken = Rc::clone(part);
        let gateway = Rc::clone(self);
        let taking = tokio::task::spawn_local(async move {
            let oldest_ms = gateway.gather(number).await;
            taken.oldest_ms.set(oldest_ms);
            let done = keeper.take(number, &taken).await;
            keeper.start_writing(number, taken);
            done
        });
        let taken = matches!(timeout(patience, taking).await, Ok(Ok(Ok(()))));
        if !taken {
            self.keeper.heard(false);
        }
        if taken {
            return None;
        }
        self.inherit(number, part).await
    }

    /// Whether the VM that took a partition last counts it still.
    async fn counts_elsewhere(&self, number: u64, owner: &Owner) -> bool {
        if owner.address == self.address() || self.peers.is_silent(owner.address) {
            return false;
        }
        if owner.lately {
            return true;
        }
        let question = Question::Counts { part: number };
        let reply = self.peers.ask(owner.address, &question).await;
        reply == Some(Reply::Counting(true))
    }

    /// Counts a partition from what other VMs keep, where this one comes next for it; gives what is
    /// answered where it does not.
    ///
    /// Not where another VM has the store: that one takes the partition there, and both would count the
    /// same programs. With a third of 295 VMs cut off from the store a program got 1,325 tokens where 825 are
    /// allowed.
    async fn inherit(&self, number: u64, part: &Part) -> Option<Reply> {
        if part.hold.get().is_none() && self.is_alone(number).await {
            return Some(Reply::Away);
        }
        self.gather(number).await;
        (!self.take_as_heir(number, part)).then_some(Reply::Away)
    }

    /// Whether some other VM has the store, which this one has lost.
    async fn is_alone(&self, number: u64) -> bool {
        let others = self.counters(number).into_iter();
        let others = others.filter(|peer| peer.vm != self.settings.vm);
        let asks = others.take(WITNESSES).map(|peer| async move {
            let heard = timeout(ANSWER, self.peers.ask(peer.address, &Question::Heard));
            match heard.await {
                Ok(Some(Reply::Heard { ago_ms })) => ago_ms.map(Duration::from_millis),
                _ => None,
            }
        });
        let heard = futures::future::join_all(asks).await;
        heard.into_iter().any(|heard| still_heard(LATELY, heard))
    }

    /// Counts a partition from copies, where this VM comes next for it.
    fn take_as_heir(&self, number: u64, part: &Part) -> bool {
        part.hold.get().is_some()
            || self.is_heir(number) && self.keeper.take_from_copies(number, part)
    }

    /// Whether this VM comes next for a partition that no live VM counts.
    fn is_heir(&self, part: u64) -> bool {
        let view = self.view.borrow();
        let key = format!("allowance/{part}");
        let first = view.members.values();
        let first = first.max_by_key(|member| rendezvous(&key, member.vm.as_str()));
        let mine = first.is_some_and(|first| first.vm == self.settings.vm);
        mine && view.owner(Shard(part)).is_none()
    }
}
