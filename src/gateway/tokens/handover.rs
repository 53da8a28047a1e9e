//! Hands owned partitions over while this VM is running: it is stopping, it has lost the store, or
//! another VM owns them under a higher epoch.

use crate::gateway::Gateway;
use crate::gateway::peers::{Peer, Question, Reply};
use crate::gateway::tokens::owner::TAKEOVER_TIMEOUT;
use crate::gateway::tokens::partition::{Ownership, Partition};
use crate::gateway::tokens::partitions::STORE_TIMEOUT;
use crate::policy::allowance::Snapshot;
use crate::policy::share::Origin;
use crate::policy::unrecorded::Unrecorded;
use crate::telemetry::event;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Accounts sent in one datagram of a handover.
const ENTRIES_PER_DATAGRAM: usize = 4;

/// Time in which a pending record is retried at least once.
const WRITE_RETRY_WAIT: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reason {
    /// The VM is about to exit.
    Stopping,
    /// The VM has not reached the store since this time.
    StoreLost(Instant),
}

/// Result of sending the accounts of a partition to another VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SendResult {
    /// The other VM owns the partition.
    Adopted,
    /// It does not, and will not on account of this handover.
    Refused,
    /// It has not answered the last message: it may own the partition, or take it over later.
    Unknown,
}

fn log_kept(partition_id: u64, reason: &'static str) {
    event!(
        info,
        "allowances_stay",
        part = partition_id,
        reason = reason
    );
}

impl Gateway {
    /// Hands the owned partitions over to other VMs.
    ///
    /// A VM that alone has lost the store can only grant allowances replicated to other VMs. If all
    /// VMs then lost power, the same tokens would be granted again. If all VMs have lost the store,
    /// the partitions stay: the others can't write records either.
    pub(crate) async fn hand_over_partitions(&self, reason: Reason) {
        let mut store_checked = reason == Reason::Stopping;
        for (partition_id, partition) in self.partitions.owned() {
            let Some(successor) = self.choose_successor(partition_id, reason).await else {
                return log_kept(partition_id, "no VM reaches the store");
            };
            if !std::mem::replace(&mut store_checked, true)
                && self.is_store_back(partition_id).await
            {
                return log_kept(partition_id, "the store is back");
            }
            self.hand_over_partition(partition_id, &partition, &successor, reason)
                .await;
        }
    }

    /// Whether the store accepts records from this VM again.
    ///
    /// After an outage VMs notice within a second of each other that the store is back. Without
    /// this check, those that notice late would hand their partitions to those that noticed early.
    async fn is_store_back(&self, partition_id: u64) -> bool {
        let read = timeout(
            self.partitions
                .store
                .observer()
                .scaled_timeout(STORE_TIMEOUT),
            self.partitions.read_owner(partition_id),
        )
        .await;
        if !matches!(read, Ok(Ok(_))) {
            return false;
        }
        sleep(WRITE_RETRY_WAIT).await;
        self.partitions.has_store()
    }

    /// Picks the VM to hand a partition to.
    async fn choose_successor(&self, partition_id: u64, reason: Reason) -> Option<Peer> {
        match reason {
            Reason::Stopping => self.next_candidate(partition_id),
            Reason::StoreLost(since) => {
                let mut candidates = self
                    .peers_reaching_store(partition_id, since.elapsed())
                    .await;
                (!candidates.is_empty()).then(|| candidates.swap_remove(0))
            }
        }
    }

    async fn hand_over_partition(
        &self,
        partition_id: u64,
        partition: &Partition,
        successor: &Peer,
        reason: Reason,
    ) {
        let Some(ownership) = partition.ownership.take() else {
            return;
        };
        if !ownership.knows_accounts() {
            // The replicas stay, for the VM that takes the partition over at the store.
            partition.ledger.take();
            partition.pending.take();
            return log_kept(partition_id, "only replicas are known");
        }
        partition.handover_in_progress.set(true);
        partition.record_written.notify_waiters();
        let entries = partition.export_entries();
        partition.successor.set(Some(successor.address));
        let result = self
            .send_entries(
                partition_id,
                partition,
                (successor, ownership),
                &entries,
                reason,
            )
            .await;
        if result == SendResult::Adopted {
            partition.ledger.take();
            partition.pending.take();
            partition.ownership_ended.set(Some(Instant::now()));
        } else {
            if result == SendResult::Unknown {
                // What is granted from now on needs a new record: the store rejects it if the other VM owns the
                // partition, and the other VM finds it if it takes the partition over later.
                partition.ledger.borrow_mut().forfeit_allowances();
                partition.may_be_shared.set(true);
            }
            // An append that was in progress may have used the sequence number. The store would take
            // the next one with the same number for a repetition and drop it; a number that is too
            // high is only corrected.
            partition.ownership.set(Some(Ownership {
                sequence: ownership.sequence + 1,
                ..ownership
            }));
            partition.successor.set(None);
        }
        partition.handover_in_progress.set(false);
        partition.handover_ended.notify_waiters();
        event!(
            info,
            "allowances_handed_over",
            part = partition_id,
            to = successor.vm,
            programs = entries.len(),
            whole = (result == SendResult::Adopted),
            unanswered = (result == SendResult::Unknown)
        );
    }

    /// Sends the accounts of a partition to its new owner.
    async fn send_entries(
        &self,
        partition_id: u64,
        partition: &Partition,
        (next, ownership): (&Peer, Ownership),
        entries: &[(Snapshot, u64)],
        reason: Reason,
    ) -> SendResult {
        let doubtful = match partition.ledger.borrow().lost(Instant::now()) {
            Unrecorded::None => false,
            // The receiver finds the mark at the store, once it is there.
            Unrecorded::Quarter => !ownership.fenced || partition.has_pending_marks(),
            Unrecorded::Half => true,
        };
        let chunks = entries.len().div_ceil(ENTRIES_PER_DATAGRAM).max(1);
        for index in 0..chunks {
            let chunk = entries
                .iter()
                .skip(index * ENTRIES_PER_DATAGRAM)
                .take(ENTRIES_PER_DATAGRAM);
            let question = Question::Adopt {
                part: partition_id,
                epoch: ownership.epoch,
                entries: chunk.cloned().collect(),
                doubtful,
                first: index == 0,
                last: index + 1 == chunks,
                ending: reason == Reason::Stopping,
            };
            match self.peers.ask(next.address, &question).await {
                Some(Reply::Kept) => {}
                None if index + 1 == chunks => return SendResult::Unknown,
                _ => return SendResult::Refused,
            }
        }
        SendResult::Adopted
    }

    /// Receives one chunk of a handover, and takes the partition over after the last one.
    pub(crate) async fn receive_handover(
        self: &Rc<Self>,
        partition_id: u64,
        epoch: u64,
        entries: Vec<(Snapshot, u64)>,
        (first, last): (bool, bool),
        ending: bool,
    ) -> Reply {
        let partition = self.partitions.partition(partition_id);
        if first {
            // Discard what an interrupted handover left behind.
            partition.incoming_entries.take();
        }
        partition.incoming_entries.borrow_mut().extend(entries);
        if !last {
            return Reply::Kept;
        }
        let entries = partition.incoming_entries.take();
        let takeover =
            self.partitions
                .take_over(partition_id, &partition, None, Origin::HandedOver);
        let takeover_timeout = self
            .partitions
            .store
            .observer()
            .scaled_timeout(TAKEOVER_TIMEOUT);
        let taken_over = timeout(takeover_timeout, takeover).await;
        let taken_over = matches!(taken_over, Ok(Ok(())));
        if !taken_over && !ending {
            return Reply::Away;
        }
        self.partitions
            .import_partition(partition_id, epoch, entries, taken_over);
        Rc::clone(&self.partitions).start_writer(partition_id, partition);
        Reply::Kept
    }

    /// Gives up partitions that another VM has announced under a higher epoch.
    pub(crate) fn release_superseded_partitions(&self) {
        for (partition_id, partition) in self.partitions.owned() {
            let view = self.view.borrow();
            let others = view.members.values();
            let others = others.filter(|member| member.vm != self.settings.vm);
            let mut claims = others.flat_map(|member| &member.owned);
            let epoch = partition
                .ownership
                .get()
                .map_or(0, |ownership| ownership.epoch);
            if claims
                .any(|(shard, claimed_epoch)| shard.0 == partition_id && claimed_epoch.0 > epoch)
            {
                self.partitions
                    .lose_ownership(partition_id, &partition, epoch);
            }
        }
    }
}
