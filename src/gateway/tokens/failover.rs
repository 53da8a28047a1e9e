//! Whether this VM takes over a partition that no live VM counts.

use crate::gateway::Gateway;
use crate::gateway::peers::{Question, Reply};
use crate::gateway::tokens::counter::TAKE;
use crate::gateway::tokens::keeper::PATIENCE;
use crate::gateway::tokens::part::Part;
use crate::id::{Offset, Shard, rendezvous_score};
use crate::platform::store::Fault;
use crate::policy::share::Origin;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// How long a VM that was shut out does not take the same partition again. Until the members have
/// heard of the new counter, requests that are sent here would make the two shut each other out
/// again and again, and every time what was handed out counts as spent.
const SHUT_OUT: Duration = Duration::from_millis(600);
/// How often a partition is looked at anew to which somebody wrote while it was being taken. One that lives writes
/// once a second where no turn comes.
const TRIES: usize = 3;
/// How long ago a VM must have heard the store to have it: the directory is read once a second at least.
pub(crate) const LATELY: Duration = Duration::from_millis(1200);

/// What became of a try to take a partition at the store.
enum Taking {
    /// This VM counts it.
    Done,
    /// The VM at this address does.
    CountedBy(SocketAddr),
    /// The store did not answer in time, or refused.
    Failed,
}

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
            // What follows would wait for the store.
            return self.count_from_copies(number, part).await;
        }
        match self.take_at_store(number, part).await {
            Taking::Done => None,
            Taking::CountedBy(other) => Some(Reply::Taken(other)),
            Taking::Failed => {
                self.keeper.heard(false);
                self.count_from_copies(number, part).await
            }
        }
    }

    /// Takes a partition at the store, unless another VM counts it there.
    async fn take_at_store(self: &Rc<Self>, number: u64, part: &Rc<Part>) -> Taking {
        let patience = if self.has_store() { TAKE } else { PATIENCE };
        for _ in 0..TRIES {
            let Ok(Ok(owner)) = timeout(patience, self.keeper.owner(number)).await else {
                // Nobody takes a partition that the store does not show.
                return Taking::Failed;
            };
            let origin = match owner.address() {
                None if owner.is_none() => Origin::First,
                Some(other) if part.hold.get().is_none() => {
                    match self.counts_elsewhere(number, other).await {
                        Some(true) => return Taking::CountedBy(other),
                        Some(false) => Origin::Released,
                        None => Origin::Unresponsive(Instant::now()),
                    }
                }
                // A record that can't be read, or what this VM counts from copies already.
                _ => Origin::Released,
            };
            // It goes on where this request gives up, so that the next one finds it done.
            let taking = Rc::clone(self).take(number, Rc::clone(part), owner.end, origin);
            let taking = tokio::task::spawn_local(taking);
            match timeout(patience, taking).await {
                Ok(Ok(Ok(()))) => return Taking::Done,
                // Another VM was faster, and says so when it is asked.
                Ok(Ok(Err(Fault::Moved))) => {}
                _ => return Taking::Failed,
            }
        }
        Taking::Failed
    }

    /// Takes a partition that ended at `end` when nobody counted it.
    async fn take(
        self: Rc<Self>,
        number: u64,
        part: Rc<Part>,
        end: Offset,
        origin: Origin,
    ) -> Result<(), Fault> {
        let oldest_ms = self.gather(number).await;
        part.oldest_ms.set(oldest_ms);
        let done = self.keeper.take(number, &part, Some(end), origin).await;
        Rc::clone(&self.keeper).start_writing(number, part);
        done
    }

    /// Whether the VM that took a partition last counts it still; none where it does not answer.
    async fn counts_elsewhere(&self, number: u64, owner: SocketAddr) -> Option<bool> {
        if owner == self.address() {
            return Some(false);
        }
        if self.peers.is_silent(owner) {
            return None;
        }
        let question = Question::Counts { part: number };
        let reply = self.peers.ask(owner, &question).await;
        reply.map(|reply| reply == Reply::Counting(true))
    }

    /// Counts a partition from what other VMs keep, where this one comes next for it; gives what is
    /// answered where it does not.
    ///
    /// Not where another VM has the store: that one takes the partition there, and both would count the same programs.
    async fn count_from_copies(&self, number: u64, part: &Part) -> Option<Reply> {
        if part.hold.get().is_some() {
            return None;
        }
        if !self.reaches_most().await || !self.reaching_store(number, LATELY).await.is_empty() {
            return Some(Reply::Away);
        }
        self.gather(number).await;
        let counts = part.hold.get().is_some()
            || self.is_next(number) && self.keeper.take_from_copies(number, part);
        (!counts).then_some(Reply::Away)
    }

    /// Whether this VM comes next for a partition that no live VM counts.
    fn is_next(&self, part: u64) -> bool {
        let view = self.view.borrow();
        let key = format!("allowance/{part}");
        let first = view.members.values();
        let first = first.max_by_key(|member| rendezvous_score(&key, member.vm.as_str()));
        let mine = first.is_some_and(|first| first.vm == self.settings.vm);
        mine && view.owner(Shard(part)).is_none()
    }
}
