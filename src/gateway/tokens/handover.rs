//! Passes partitions on while this VM lives: it stops, it has lost the store, or another one counts them.

use crate::gateway::Gateway;
use crate::gateway::peers::{Peer, Question, Reply};
use crate::gateway::tokens::counter::TAKE;
use crate::gateway::tokens::keeper::PATIENCE;
use crate::gateway::tokens::part::{Hold, Part};
use crate::policy::allowance::Entry;
use crate::policy::trust::Origin;
use crate::telemetry::event;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Programs in one datagram of a partition that is handed over.
const ADOPTED: usize = 4;

/// The time in which a record that waits is tried again: tries are up to 400 ms apart.
const RECORDED: Duration = Duration::from_millis(500);

/// Why a VM hands its partitions over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reason {
    /// It is about to end.
    Stopping,
    /// It has not reached the store since then.
    Lost(Instant),
}

fn stay(part: u64, reason: &'static str) {
    event!(info, "allowances_stay", part = part, reason = reason);
}

impl Gateway {
    /// Hands the partitions that this VM counts over to others.
    ///
    /// A VM that has lost the store alone gives no more durable allowances; were it to go on with
    /// copies, and all VMs lost power, what it gave would be given again. Where all have lost the store
    /// it goes on: those that it would hand over to can't record either.
    pub(crate) async fn hand_over(&self, reason: Reason) {
        let mut tried = reason == Reason::Stopping;
        for (number, part) in self.keeper.held() {
            let Some(next) = self.successor(number, reason).await else {
                return stay(number, "no VM reaches the store");
            };
            if !std::mem::replace(&mut tried, true) && self.is_store_back(number).await {
                return stay(number, "the store is back");
            }
            self.hand_part_over(number, &part, &next, reason).await;
        }
    }

    /// Whether the store takes records from this VM again.
    ///
    /// When the store is back for all, VMs find out within a second of each other: those that had not yet
    /// handed their partitions to those that had.
    async fn is_store_back(&self, number: u64) -> bool {
        let read = timeout(PATIENCE, self.keeper.owner(number)).await;
        if !matches!(read, Ok(Ok(_))) {
            return false;
        }
        sleep(RECORDED).await;
        self.keeper.has_store()
    }

    /// The VM that goes on with a partition.
    async fn successor(&self, number: u64, reason: Reason) -> Option<Peer> {
        match reason {
            Reason::Stopping => self.next_counter(number),
            Reason::Lost(since) => {
                let mut reaching = self.reaching_store(number, since.elapsed()).await;
                (!reaching.is_empty()).then(|| reaching.swap_remove(0))
            }
        }
    }

    async fn hand_part_over(&self, number: u64, part: &Part, next: &Peer, reason: Reason) {
        let Some(hold) = part.hold.take() else {
            return;
        };
        part.handing.set(true);
        part.written.notify_waiters();
        let entries = part.entries();
        part.successor.set(Some(next.address));
        let whole = self
            .send_entries(number, part, (next, hold), &entries, reason)
            .await;
        if whole {
            part.ledger.take();
            part.pending.take();
            part.shut_out.set(Some(Instant::now()));
        } else {
            // Nobody took it; if somebody did all the same, the store refuses what is written.
            part.hold.set(Some(hold));
            part.successor.set(None);
        }
        part.handing.set(false);
        part.handed.notify_waiters();
        event!(
            info,
            "allowances_handed_over",
            part = number,
            to = next.vm,
            programs = entries.len(),
            whole = whole
        );
    }

    /// Sends a partition to its successor; tells whether that one goes on with all of it.
    async fn send_entries(
        &self,
        number: u64,
        part: &Part,
        (next, hold): (&Peer, Hold),
        entries: &[(Entry, u64)],
        reason: Reason,
    ) -> bool {
        let doubtful = part.ledger.borrow().is_doubtful();
        let chunks = entries.len().div_ceil(ADOPTED).max(1);
        for index in 0..chunks {
            let chunk = entries.iter().skip(index * ADOPTED).take(ADOPTED);
            let question = Question::Adopt {
                part: number,
                epoch: hold.epoch,
                entries: chunk.cloned().collect(),
                doubtful,
                first: index == 0,
                last: index + 1 == chunks,
                ending: reason == Reason::Stopping,
            };
            if self.peers.ask(next.address, &question).await != Some(Reply::Kept) {
                return false;
            }
        }
        true
    }

    /// Goes on with a partition that another VM hands over, once all of it has come.
    pub(crate) async fn adopt(
        self: &Rc<Self>,
        number: u64,
        epoch: u64,
        entries: Vec<(Entry, u64)>,
        (first, last): (bool, bool),
        ending: bool,
    ) -> Reply {
        let part = self.keeper.part(number);
        if first {
            // What is left of a hand-over that broke off is older.
            part.incoming.take();
        }
        part.incoming.borrow_mut().extend(entries);
        if !last {
            return Reply::Kept;
        }
        let entries = part.incoming.take();
        let taking = self.keeper.take(number, &part, None, Origin::HandedOver);
        let taken = timeout(TAKE, taking).await;
        let taken = matches!(taken, Ok(Ok(())));
        if !taken && !ending {
            return Reply::Away;
        }
        self.keeper.adopt(number, epoch, entries, taken);
        Rc::clone(&self.keeper).start_writing(number, part);
        Reply::Kept
    }

    /// Gives up partitions that another VM counts under a newer epoch.
    pub(crate) fn yield_claimed(&self) {
        for (number, part) in self.keeper.held() {
            let view = self.view.borrow();
            let others = view.members.values();
            let others = others.filter(|member| member.vm != self.settings.vm);
            let mut claims = others.flat_map(|member| &member.owned);
            let epoch = part.hold.get().map_or(0, |hold| hold.epoch);
            if claims.any(|(shard, claimed)| shard.0 == number && claimed.0 > epoch) {
                self.keeper.shut_out(number, &part, epoch);
            }
        }
    }
}
