//! Decides whether this VM takes over a partition that has no live owner.

use crate::gateway::Gateway;
use crate::gateway::peers::{Question, Reply};
use crate::gateway::tokens::owner::TAKEOVER_TIMEOUT;
use crate::gateway::tokens::partition::Partition;
use crate::gateway::tokens::partitions::STORE_TIMEOUT;
use crate::gateway::tokens::takeover::TakeoverError;
use crate::id::{Offset, Shard, rendezvous_score};
use crate::platform::store::Error;
use crate::policy::share::Origin;
use crate::telemetry::event;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// How long a VM that lost a partition does not take it back. Until the members have heard of the
/// new owner, requests that still arrive here would make the two VMs take the partition from each
/// other repeatedly, and each takeover counts all allowances as spent.
const RETAKE_DELAY: Duration = Duration::from_millis(600);
/// Attempts to take over a partition that is written to meanwhile. A live owner writes once a
/// second where no turn comes.
const MAX_ATTEMPTS: usize = 3;
/// How recently the store must have answered a VM for it to count as reaching the store.
pub(crate) const STORE_CONTACT_MAX_AGE: Duration = Duration::from_millis(1200);

/// Result of an attempt to take a partition over at the store.
enum TakeoverResult {
    Done,
    /// Another VM owns it.
    OwnedBy(SocketAddr),
    /// The store did not answer in time, or rejected the write.
    Failed,
    /// Too few of the fallback partitions can be read.
    Incomplete,
}

impl Gateway {
    /// Takes a partition over. Returns none on success, else the reply to send.
    ///
    /// The VM named by the newest owner record keeps the partition until it stops answering or says
    /// that it is not the owner. Membership views alone are not enough: after many VMs start or
    /// lose power they differ for seconds.
    pub(crate) async fn take_ownership(
        self: &Rc<Self>,
        partition_id: u64,
        partition: &Rc<Partition>,
        takeover: bool,
    ) -> Option<Reply> {
        let lost_recently = partition
            .ownership_ended
            .get()
            .is_some_and(|at| at.elapsed() < RETAKE_DELAY);
        if lost_recently {
            return Some(
                partition
                    .successor
                    .get()
                    .map_or(Reply::NotOwner, Reply::Taken),
            );
        }
        let expected_owner = self.claimed_owner(partition_id);
        let expected_owner =
            expected_owner.or_else(|| self.owner_candidates(partition_id).into_iter().next());
        if !takeover && expected_owner.is_some_and(|other| other.vm != self.settings.vm) {
            return Some(Reply::NotOwner);
        }
        if self.partitions.should_skip_store() {
            // The rest would wait for the store.
            return self.take_over_without_store(partition_id, partition).await;
        }
        match self.take_over_at_store(partition_id, partition).await {
            TakeoverResult::Done => None,
            TakeoverResult::OwnedBy(other) => Some(Reply::Taken(other)),
            TakeoverResult::Incomplete => Some(Reply::Away),
            TakeoverResult::Failed => {
                self.partitions.record_store_result(false);
                self.take_over_without_store(partition_id, partition).await
            }
        }
    }

    /// Takes a partition over at the store, unless the VM in its owner record still owns it.
    async fn take_over_at_store(
        self: &Rc<Self>,
        partition_id: u64,
        partition: &Rc<Partition>,
    ) -> TakeoverResult {
        let store_timeout = if self.has_store() {
            TAKEOVER_TIMEOUT
        } else {
            STORE_TIMEOUT
        };
        let store_timeout = self
            .partitions
            .store
            .observer()
            .scaled_timeout(store_timeout);
        for _ in 0..MAX_ATTEMPTS {
            let Ok(Ok(owner)) =
                timeout(store_timeout, self.partitions.read_owner(partition_id)).await
            else {
                // Without the owner record a takeover is not safe.
                return TakeoverResult::Failed;
            };
            let origin = match owner.address() {
                None if owner.is_absent() => Origin::First,
                Some(other) if partition.ownership.get().is_none() => {
                    match self.still_owns(partition_id, other).await {
                        Some(true) => return TakeoverResult::OwnedBy(other),
                        Some(false) => Origin::Released,
                        None => Origin::Unresponsive(Instant::now()),
                    }
                }
                // The record can't be parsed, or this VM already owns the partition from replicas.
                _ => Origin::Released,
            };
            // Runs as its own task: if this request times out, the takeover still completes for the
            // next one.
            let takeover = Rc::clone(self).complete_takeover(
                partition_id,
                Rc::clone(partition),
                owner.end,
                origin,
            );
            let takeover = tokio::task::spawn_local(takeover);
            match timeout(store_timeout, takeover).await {
                Ok(Ok(Ok(()))) => return TakeoverResult::Done,
                // Another VM was faster; the next attempt asks it.
                Ok(Ok(Err(TakeoverError::Store(Error::Conflict)))) => {}
                Ok(Ok(Err(TakeoverError::FallbackUnreadable(fault)))) => {
                    event!(
                        warn,
                        "takeover_incomplete",
                        part = partition_id,
                        reason = fault
                    );
                    return TakeoverResult::Incomplete;
                }
                _ => return TakeoverResult::Failed,
            }
        }
        TakeoverResult::Failed
    }

    /// Takes over a partition that had no owner when it ended at `end`.
    async fn complete_takeover(
        self: Rc<Self>,
        partition_id: u64,
        partition: Rc<Partition>,
        end: Offset,
        origin: Origin,
    ) -> Result<(), TakeoverError> {
        let known_since = self.collect_replicas(partition_id).await;
        partition.known_since.set(known_since);
        let result = self
            .partitions
            .take_over(partition_id, &partition, Some(end), origin)
            .await;
        Rc::clone(&self.partitions).start_writer(partition_id, partition);
        result
    }

    /// Whether `owner` still owns the partition; none if it does not answer.
    async fn still_owns(&self, partition_id: u64, owner: SocketAddr) -> Option<bool> {
        if owner == self.peer_address() {
            return Some(false);
        }
        if self.peers.is_unresponsive(owner) {
            return None;
        }
        let question = Question::Counts { part: partition_id };
        let reply = self.peers.ask(owner, &question).await;
        reply.map(|reply| reply == Reply::Counting(true))
    }

    /// Takes a partition over from the replicas at other VMs, if this VM is first in order for it, until the store answers.
    /// Returns none on success, else the reply to send.
    ///
    /// Refuses while another VM reaches the store: that VM takes the partition over there, and both
    /// would grant the same tokens. Refuses also while the store answers this VM, but not for the partition: the replicas
    /// lack what the previous owner recorded meanwhile.
    async fn take_over_without_store(
        &self,
        partition_id: u64,
        partition: &Partition,
    ) -> Option<Reply> {
        if partition.ownership.get().is_some() {
            return None;
        }
        if self.store_answers()
            || !self.reaches_majority().await
            || !self
                .peers_reaching_store(partition_id, STORE_CONTACT_MAX_AGE)
                .await
                .is_empty()
        {
            return Some(Reply::Away);
        }
        let known_since = self.collect_replicas(partition_id).await;
        partition.known_since.set(known_since);
        let taken = partition.ownership.get().is_some()
            || self.is_first_candidate(partition_id)
                && self
                    .partitions
                    .take_over_from_replicas(partition_id, partition);
        (!taken).then_some(Reply::Away)
    }

    /// Whether this VM is first in rendezvous order for a partition without an announced owner.
    fn is_first_candidate(&self, part: u64) -> bool {
        let view = self.view.borrow();
        let key = format!("allowance/{part}");
        let first = view.members.values();
        let first = first.max_by_key(|member| rendezvous_score(&key, member.vm.as_str()));
        let is_first = first.is_some_and(|first| first.vm == self.settings.vm);
        is_first && view.owner(Shard(part)).is_none()
    }
}
