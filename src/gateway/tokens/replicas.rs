//! Replicas of allowances at other VMs, for times when the store accepts no records.

use crate::gateway::Gateway;
use crate::gateway::peers::{Note, Question, Replica, Reply};
use crate::gateway::tokens::owner::REPLICAS_PER_DATAGRAM;
use crate::gateway::tokens::partition::Partition;
use crate::policy::unrecorded::{known_for, min_replicas};
use crate::telemetry::event;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Time allowed for VMs to return their replicas.
const COLLECT_TIMEOUT: Duration = Duration::from_millis(70);
/// Number of VMs that keep a replica of an unrecorded allowance; all others, in a deployment of up to 12 VMs. Then one
/// that is left has it, however many are lost.
const REPLICA_COUNT: usize = 11;

impl Gateway {
    /// Merges the replicas that other VMs keep of unrecorded allowances. Returns since when so many of these VMs and this
    /// one run that one of them has the replica of each grant; `None` if too few answered.
    pub(crate) async fn collect_replicas(&self, part: u64) -> Option<Instant> {
        let others = self.owner_candidates(part).into_iter();
        let others = others.filter(|peer| peer.vm != self.settings.vm);
        let asks = others
            .take(REPLICA_COUNT + 1)
            .map(|peer| self.replicas_of(part, peer.address));
        let asked = Instant::now();
        let mut uptimes = vec![Duration::from_millis(self.partitions.uptime_ms())];
        for (allowed, up_ms) in futures::future::join_all(asks).await {
            uptimes.extend((up_ms > 0).then(|| Duration::from_millis(up_ms)));
            for (program, allowed) in allowed {
                self.partitions.merge_replica(Replica {
                    part,
                    program,
                    allowed,
                    epoch: 0,
                    fenced: false,
                });
            }
        }
        let vms = self.recent_members.count().min(REPLICA_COUNT + 1);
        asked.checked_sub(known_for(uptimes, vms)?)
    }

    /// All unrecorded replicas of one VM, and its uptime in milliseconds; none and zero if it does not answer.
    async fn replicas_of(&self, part: u64, vm: SocketAddr) -> (Vec<(String, u64)>, u64) {
        let (mut replicas, mut uptime_ms) = (Vec::new(), 0);
        let mut question = Question::Copies { part };
        while let Ok(Some(Reply::Copies { allowed, up_ms })) =
            timeout(COLLECT_TIMEOUT, self.peers.ask(vm, &question)).await
        {
            uptime_ms = up_ms;
            let is_last = allowed.len() < REPLICAS_PER_DATAGRAM;
            replicas.extend(allowed);
            let Some((program, _)) = replicas.last().filter(|_| !is_last) else {
                break;
            };
            let program = program.clone();
            question = Question::CopiesAfter { part, program };
        }
        (replicas, uptime_ms)
    }

    /// Sends all VMs the allowances that this one granted and could not record.
    pub(crate) async fn broadcast_orphaned_allowances(&self) {
        let orphans = self.partitions.orphaned_replicas.take();
        if orphans.is_empty() {
            return;
        }
        let members = self.owner_candidates(0);
        event!(
            info,
            "allowances_told",
            programs = orphans.len(),
            members = members.len()
        );
        for replica in orphans {
            for peer in members.iter().filter(|peer| peer.vm != self.settings.vm) {
                self.peers
                    .notify(peer.address, Note::Copied(replica.clone()))
                    .await;
            }
        }
    }

    /// Sends a durable allowance to the VM that would take over, in case the store becomes
    /// unavailable.
    pub(crate) async fn send_replica_to_successor(&self, replica: Replica) {
        let next = self.next_candidate(replica.part);
        if let Some(next) = next {
            self.peers.notify(next.address, Note::Copied(replica)).await;
        }
    }

    /// Replicates an unrecorded allowance to the VMs that would take over. Returns whether enough of them keep it; gives up
    /// ownership if one answers `NotOwner`.
    pub(crate) async fn replicate_allowance(
        &self,
        replica: Replica,
        partition: &Partition,
    ) -> bool {
        let question = Question::Keep(replica.clone());
        let others = self.owner_candidates(replica.part).into_iter();
        let others = others.filter(|peer| peer.vm != self.settings.vm);
        let others: Vec<_> = others.take(REPLICA_COUNT).collect();
        let asks = others.iter().map(|peer| {
            let question = &question;
            async move { self.peers.ask(peer.address, question).await }
        });
        // Wait for all replies: the one that answers `NotOwner` may come last.
        let replies = futures::future::join_all(asks).await;
        if replies.contains(&Some(Reply::NotOwner)) {
            self.partitions
                .lose_ownership(replica.part, partition, replica.epoch);
            return false;
        }
        let is_kept = |reply: &&Option<Reply>| **reply == Some(Reply::Kept);
        let replicas = replies.iter().filter(is_kept).count();
        event!(
            info,
            "allowance_copied",
            program = replica.program,
            allowed = replica.allowed,
            copies = replicas
        );
        replicas > 0 && replicas >= min_replicas(others.len() + 1)
    }
}
