//! Handles messages of other VMs, and reserves tokens in partitions that this VM owns.

use crate::gateway::peers::{Note, Peer, Question, Replica, Reply, ReplyAddress};
use crate::gateway::record_wait::wait_for_record;
use crate::gateway::tokens::partition::Partition;
use crate::gateway::tokens::partitions::STORE_TIMEOUT;
use crate::gateway::{Gateway, peers};
use crate::id::{Shard, rendezvous_score};
use crate::policy::allowance::{self, Reservation, Verdict};
use crate::policy::store_health::LastWrite;
use crate::policy::unrecorded::Unrecorded;
use crate::telemetry::event;
use futures::FutureExt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a turn waits for a takeover, which takes two calls to the store.
pub(crate) const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(1);
pub(crate) const REPLICAS_PER_DATAGRAM: usize = 40;

/// A request to reserve tokens, as received by the owner of the partition.
#[derive(Debug)]
struct ReserveRequest<'a> {
    part: u64,
    program: &'a str,
    reservation: Reservation,
    turn: allowance::Request,
    takeover: bool,
}

impl Gateway {
    /// The member that announces ownership of a partition.
    pub(crate) fn claimed_owner(&self, part: u64) -> Option<Peer> {
        let view = self.view.borrow();
        let owner = view.owner(Shard(part))?;
        Some(Peer {
            vm: owner.vm.clone(),
            address: peers::peer_address(owner.address),
            ready: owner.ready,
        })
    }

    /// All VMs in the order in which they should own a partition; VMs that are not ready or do not
    /// answer come last.
    pub(crate) fn owner_candidates(&self, part: u64) -> Vec<Peer> {
        self.ranked_members(&format!("allowance/{part}"))
    }

    /// All VMs in rendezvous order for a key; VMs that are not ready or do not answer come last.
    pub(crate) fn ranked_members(&self, key: &str) -> Vec<Peer> {
        let view = self.view.borrow();
        let mut members: Vec<_> = view
            .members
            .values()
            .map(|member| {
                let silent = self
                    .peers
                    .is_unresponsive(peers::peer_address(member.address));
                let rank = rendezvous_score(key, member.vm.as_str());
                (member.ready && !silent, rank, member)
            })
            .collect();
        members.sort_by_key(|(available, rank, _)| std::cmp::Reverse((*available, *rank)));
        let peers = members.into_iter().map(|(_, _, member)| Peer {
            vm: member.vm.clone(),
            address: peers::peer_address(member.address),
            ready: member.ready,
        });
        peers.collect()
    }

    /// The VM that should own a partition if this one can't.
    pub(crate) fn next_candidate(&self, part: u64) -> Option<Peer> {
        let mut others = self.owner_candidates(part).into_iter();
        others.find(|peer| peer.vm != self.settings.vm)
    }

    pub(crate) async fn handle_question(
        self: &Rc<Self>,
        asked: ReplyAddress,
        question: Question,
    ) -> Reply {
        match question {
            Question::Place(ask) => self.lease_slot(asked, ask, None).await,
            Question::PlaceAtVersion {
                mut request,
                version,
            } => {
                request.version = Some(version);
                self.lease_slot(asked, request, None).await
            }
            Question::PlaceContent {
                mut request,
                version,
                attempt,
                known,
            } => {
                self.merge_news(&known);
                request.version = version;
                self.lease_slot(asked, *request, Some(attempt)).await
            }
            Question::StreamVersion { stream } => Reply::Version(self.stream_versions.get(stream)),
            Question::OnlyVersion { service, time } => {
                Reply::Version(self.only_version(&service, time).await)
            }
            Question::Take {
                part,
                take,
                takeover,
            } => self.admit_team_request(part, take, takeover).await,
            Question::Reserve {
                part,
                program,
                budget,
                most,
                seen,
                reservation,
                takeover,
            } => {
                let request = ReserveRequest {
                    part,
                    program: &program,
                    reservation: Reservation {
                        vm: peers::vm_number(asked.0),
                        number: reservation,
                    },
                    turn: allowance::Request { budget, most, seen },
                    takeover,
                };
                self.reserve_as_owner(request).await
            }
            Question::Keep(replica) => self.keep_replica(replica),
            Question::Counts { part } => {
                let partition = self.partitions.partition(part);
                Reply::Counting(partition.is_owned_or_in_transfer())
            }
            Question::Heard => Reply::Heard {
                ago_ms: self.store_contact_age_ms(),
            },
            Question::Ends => self.worst_ends(),
            Question::Locate { turn, lost } => self.locate(&turn, lost).await,
            Question::Copies { part } => self.unrecorded_copies(part, ""),
            Question::CopiesAfter { part, program } => self.unrecorded_copies(part, &program),
            Question::Adopt {
                part,
                epoch,
                entries,
                doubtful,
                first,
                last,
                ending,
            } => {
                if doubtful {
                    let partition = self.partitions.partition(part);
                    let mut ledger = partition.ledger.borrow_mut();
                    let until = Instant::now() + self.partitions.idle_timeout();
                    ledger.mark_incomplete(Unrecorded::Half, until);
                }
                self.receive_handover(part, epoch, entries, (first, last), ending)
                    .await
            }
        }
    }

    /// Keeps the replica of an unrecorded allowance, unless its sender may not be the owner.
    fn keep_replica(&self, replica: Replica) -> Reply {
        let partition = self.partitions.partition(replica.part);
        // The asking VM may have been suspended while this one took over, or it may own the
        // partition from replicas while this one reaches the store. Either way another VM
        // may own the partition too, and both would grant the same tokens.
        let newer = partition
            .ownership
            .get()
            .is_some_and(|ownership| ownership.epoch > replica.epoch);
        if newer || (!replica.fenced && self.has_store()) {
            self.partitions.merge_replica(replica);
            return Reply::NotOwner;
        }
        // A message may arrive again after a later one.
        let mut unrecorded = partition.unrecorded_replicas.borrow_mut();
        let known = unrecorded.entry(replica.program.clone()).or_default();
        *known = replica.allowed.max(*known);
        drop(unrecorded);
        self.partitions.merge_replica(replica);
        // A VM that has not read the store since its start can't tell whether another one has taken over before.
        if self.routing.borrow().last_store_read.is_none() {
            return Reply::Away;
        }
        Reply::Kept
    }

    /// The unrecorded replicas of a partition in the order of the programs, from after `program` on and as many as fit
    /// into one datagram.
    fn unrecorded_copies(&self, part: u64, program: &str) -> Reply {
        let partition = self.partitions.partition(part);
        let unrecorded_replicas = partition.unrecorded_replicas.borrow();
        let following = unrecorded_replicas
            .iter()
            .filter(|(name, _)| name.as_str() > program);
        let mut allowed: Vec<_> = following
            .map(|(name, allowed)| (name.clone(), *allowed))
            .collect();
        allowed.sort_unstable();
        allowed.truncate(REPLICAS_PER_DATAGRAM);
        Reply::Copies {
            allowed,
            up_ms: self.partitions.uptime_ms(),
        }
    }

    /// Handles a message that needs no answer.
    pub(crate) async fn handle_note(self: &Rc<Self>, from: SocketAddr, note: Note) {
        match note {
            Note::Left { number, outcome } => self.release_lease(&(from, number), outcome),
            Note::Load { number, load } => self.leases.report_load(&(from, number), load),
            Note::Settled {
                part,
                reservation,
                used,
            } => {
                let successor = self.partitions.partition(part).successor.get();
                if let Some(successor) = successor {
                    self.peers.notify(successor, note).await;
                } else {
                    self.partitions.settle(part, reservation, used);
                }
            }
            Note::Copied(replica) => self.partitions.merge_replica(replica),
            Note::StreamBegan { stream, version } => {
                self.stream_versions.insert(stream, version);
            }
            Note::Attempts(news) => self.merge_news(&news),
            Note::Loads(note) => self.handle_loads(from, note),
            Note::Holds { turn } => self.conversations.set_holder(turn, from),
        }
    }

    async fn reserve_as_owner(self: &Rc<Self>, request: ReserveRequest<'_>) -> Reply {
        let ReserveRequest {
            part: partition_id,
            program,
            reservation,
            turn,
            takeover,
        } = request;
        let partition = self.partitions.partition(partition_id);
        // Answering `NotOwner` during a handover would leave the caller without any owner.
        partition.wait_for_handover().await;
        if partition.ownership.get().is_none() {
            let refusal = self
                .take_ownership(partition_id, &partition, takeover)
                .await;
            if let Some(refusal) = refusal {
                return refusal;
            }
        }
        let ownership = partition.ownership.get();
        if ownership.is_some_and(|ownership| !ownership.knows_accounts()) {
            event!(
                info,
                "allowance_unknown",
                program = program,
                part = partition_id
            );
            return Reply::Unrecorded;
        }
        let verdict =
            partition
                .ledger
                .borrow_mut()
                .reserve(Instant::now(), program, reservation, turn);
        let (turns, total) = partition.ledger.borrow().usage(program);
        if verdict != Verdict::Covered || self.sampler.should_log(program) {
            event!(
                info,
                "turn_counted",
                program = program,
                part = partition_id,
                epoch = partition
                    .ownership
                    .get()
                    .map_or(0, |ownership| ownership.epoch),
                budget = turn.budget,
                total = total,
                allowed = partition.ledger.borrow().allowed(program),
                turns = turns,
                seen = turn.seen,
                verdict = verdict
            );
        }
        let epoch = partition.ownership.get().map(|ownership| ownership.epoch);
        if verdict != Verdict::Spent {
            self.record_ahead(partition_id, &partition, program, turn);
        }
        let durable = match verdict {
            Verdict::Spent => return Reply::Spent,
            Verdict::Covered => true,
            Verdict::Record(allowed) => {
                self.make_durable(partition_id, &partition, program, turn, allowed)
                    .await
            }
        };
        // Another VM may have taken the partition over while the allowance was being made durable.
        let still_owner = partition.ownership.get().map(|ownership| ownership.epoch) == epoch;
        // A repeated request for the same reservation may have failed and released it.
        if !durable || !still_owner || !partition.ledger.borrow().is_open(reservation) {
            self.partitions.settle(partition_id, reservation, 0);
            return if still_owner {
                Reply::Unrecorded
            } else {
                Reply::NotOwner
            };
        }
        Reply::Granted { turns, total }
    }

    /// At a slow store, records the allowance of the program's next turn while this one runs.
    ///
    /// The successor gets a replica at once: turns that the allowance covers do not send one, and a successor without
    /// the store would grant their tokens again.
    fn record_ahead(
        self: &Rc<Self>,
        partition_id: u64,
        partition: &Rc<Partition>,
        program: &str,
        turn: allowance::Request,
    ) {
        if !self.partitions.store.observer().is_slow() {
            return;
        }
        let ahead = partition.ledger.borrow().allowance_ahead(program, turn);
        if let Some(allowed) = ahead {
            partition.add_pending(program, allowed);
            Rc::clone(&self.partitions).start_writer(partition_id, Rc::clone(partition));
            let ownership = partition.ownership.get();
            let replica = Replica {
                part: partition_id,
                program: program.to_owned(),
                allowed,
                epoch: ownership.map_or(0, |ownership| ownership.epoch),
                fenced: ownership.is_some_and(|ownership| ownership.fenced),
            };
            let gateway = Rc::clone(self);
            tokio::task::spawn_local(async move {
                gateway.send_replica_to_successor(replica).await;
            });
        }
    }

    /// Makes an allowance durable: recorded in its partition, else in a fallback partition, else
    /// replicated to other VMs. Returns false if none of these succeeded.
    async fn make_durable(
        self: &Rc<Self>,
        partition_id: u64,
        partition: &Rc<Partition>,
        program: &str,
        turn: allowance::Request,
        allowed: u64,
    ) -> bool {
        let Some(ownership) = partition.ownership.get() else {
            return false;
        };
        partition.add_pending(program, allowed);
        Rc::clone(&self.partitions).start_writer(partition_id, Rc::clone(partition));
        let durable = async {
            loop {
                let record_written = partition.record_written.notified();
                if partition.ledger.borrow().allowed(program) >= allowed {
                    return true;
                }
                // Ownership was lost, so the allowance will not be recorded.
                if partition.epoch() != Some(ownership.epoch) {
                    return false;
                }
                record_written.await;
            }
        };
        let replica = Replica {
            part: partition_id,
            program: program.to_owned(),
            allowed,
            epoch: ownership.epoch,
            fenced: ownership.fenced,
        };
        let limit = || partition.unrecorded_limit();
        let last_write = &partition.last_write;
        let skips_store = self.partitions.should_skip_store();
        let recorded = if skips_store || last_write.get() == LastWrite::Failed {
            durable.now_or_never()
        } else {
            let observer = self.partitions.store.observer();
            wait_for_record(observer.scaled_timeout(STORE_TIMEOUT), last_write, durable).await
        };
        match recorded {
            Some(recorded) => {
                self.send_replica_to_successor(replica).await;
                recorded
            }
            None if self
                .partitions
                .record_in_fallback_partition(partition_id, partition, &replica)
                .await =>
            {
                self.send_replica_to_successor(replica).await;
                let confirmed = self
                    .partitions
                    .confirm_ownership(partition_id, partition, ownership)
                    .await;
                if confirmed {
                    let mut ledger = partition.ledger.borrow_mut();
                    ledger.mark_recorded(program, allowed);
                }
                confirmed
            }
            None if !partition
                .ledger
                .borrow()
                .allows_unrecorded(program, turn, limit())
                || !self.reaches_majority().await
                || self.peers_have_store(partition).await =>
            {
                event!(
                    info,
                    "allowance_unrecorded",
                    program = program,
                    part = partition_id,
                    budget = turn.budget,
                    limit = limit()
                );
                false
            }
            None => self.replicate_allowance(replica, partition).await,
        }
    }
}
