//! Counts the tokens of programs for the VMs that ask, and passes partitions on.

use crate::gateway::peers::{Asked, Copy, Note, Peer, Question, Reply};
use crate::gateway::tokens::keeper::PATIENCE;
use crate::gateway::tokens::part::Part;
use crate::gateway::{Gateway, peers};
use crate::id::{Shard, rendezvous_score};
use crate::policy::allowance::{self, Reservation, Verdict};
use crate::telemetry::event;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// How long a turn waits for a partition to be taken over, two calls to the store.
pub(crate) const TAKE: Duration = Duration::from_secs(1);
/// Copies in one datagram.
const COPIES_SENT: usize = 40;

/// A reservation as the VM that counts the program sees it.
#[derive(Debug)]
struct Request<'a> {
    part: u64,
    program: &'a str,
    reservation: Reservation,
    turn: allowance::Request,
    takeover: bool,
}

impl Gateway {
    /// The VM that says that it counts a partition.
    pub(crate) fn claimed(&self, part: u64) -> Option<Peer> {
        let view = self.view.borrow();
        let owner = view.owner(Shard(part))?;
        Some(Peer {
            vm: owner.vm.clone(),
            address: peers::address(owner.address),
            ready: owner.ready,
        })
    }

    /// The VMs that may count a partition, the one that should first, silent ones last.
    pub(crate) fn counters(&self, part: u64) -> Vec<Peer> {
        self.ranked(&format!("allowance/{part}"))
    }

    /// All VMs in their order for a duty, silent ones last.
    pub(crate) fn ranked(&self, key: &str) -> Vec<Peer> {
        let view = self.view.borrow();
        let mut members: Vec<_> = view
            .members
            .values()
            .map(|member| {
                let silent = self.peers.is_silent(peers::address(member.address));
                let rank = rendezvous_score(key, member.vm.as_str());
                (member.ready && !silent, rank, member)
            })
            .collect();
        members.sort_by_key(|(good, rank, _)| std::cmp::Reverse((*good, *rank)));
        let peers = members.into_iter().map(|(_, _, member)| Peer {
            vm: member.vm.clone(),
            address: peers::address(member.address),
            ready: member.ready,
        });
        peers.collect()
    }

    /// The VM that takes a partition over where this one can't go on.
    pub(crate) fn next_counter(&self, part: u64) -> Option<Peer> {
        let mut others = self.counters(part).into_iter();
        others.find(|peer| peer.vm != self.settings.vm)
    }

    /// Answers a question of another VM.
    pub(crate) async fn answer(self: &Rc<Self>, asked: Asked, question: Question) -> Reply {
        match question {
            Question::Place(ask) => self.lease_to(asked, ask).await,
            Question::Take {
                part,
                take,
                takeover,
            } => self.take_of_team(part, take, takeover).await,
            Question::Reserve {
                part,
                program,
                budget,
                most,
                seen,
                reservation,
                takeover,
            } => {
                let request = Request {
                    part,
                    program: &program,
                    reservation: Reservation {
                        vm: peers::vm_number(asked.0),
                        number: reservation,
                    },
                    turn: allowance::Request { budget, most, seen },
                    takeover,
                };
                self.count(request).await
            }
            Question::Keep(copy) => {
                let part = self.keeper.part(copy.part);
                // The VM that asks stood still while this one took over, or it goes on from copies
                // while this one reaches the store: another one may count there already, and a
                // program would get its tokens from both.
                let newer = part.hold.get().is_some_and(|hold| hold.epoch > copy.epoch);
                if newer || (!copy.fenced && self.has_store()) {
                    self.keeper.keep(copy);
                    return Reply::NotOwner;
                }
                part.lacking
                    .borrow_mut()
                    .insert(copy.program.clone(), copy.allowed);
                self.keeper.keep(copy);
                Reply::Kept
            }
            Question::Counts { part } => {
                let part = self.keeper.part(part);
                Reply::Counting(part.is_claimed())
            }
            Question::Heard => Reply::Heard {
                ago_ms: self.store_heard_ms(),
            },
            Question::Locate { turn, lost } => self.locate(&turn, lost).await,
            Question::Copies { part } => {
                let part = self.keeper.part(part);
                let lacking = part.lacking.borrow();
                let newest = lacking.iter().take(COPIES_SENT);
                let newest = newest.map(|(program, allowed)| (program.clone(), *allowed));
                Reply::Copies {
                    allowed: newest.collect(),
                    up_ms: self.keeper.up_ms(),
                }
            }
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
                    self.keeper.part(part).ledger.borrow_mut().mark_incomplete();
                }
                self.adopt(part, epoch, entries, (first, last), ending)
                    .await
            }
        }
    }

    /// Takes in what another VM tells.
    pub(crate) async fn noted(&self, from: SocketAddr, note: Note) {
        match note {
            Note::Left { number, outcome } => self.leases.end(&(from, number), outcome),
            Note::Settled {
                part,
                reservation,
                used,
            } => {
                let successor = self.keeper.part(part).successor.get();
                if let Some(successor) = successor {
                    self.peers.tell(successor, note).await;
                } else {
                    self.keeper.settle(part, reservation, used);
                }
            }
            Note::Copied(copy) => self.keeper.keep(copy),
            Note::Holds { turn } => self.conversations.told(turn, from),
        }
    }

    async fn count(self: &Rc<Self>, request: Request<'_>) -> Reply {
        let Request {
            part: number,
            program,
            reservation,
            turn,
            takeover,
        } = request;
        let part = self.keeper.part(number);
        // Whoever is told "not here" while a partition is on its way finds nobody who counts it.
        part.settled().await;
        if part.hold.get().is_none() {
            let refusal = self.begin_to_count(number, &part, takeover).await;
            if let Some(refusal) = refusal {
                return refusal;
            }
        }
        let verdict = part
            .ledger
            .borrow_mut()
            .reserve(Instant::now(), program, reservation, turn);
        let (turns, total) = part.ledger.borrow().usage(program);
        if verdict != Verdict::Covered || self.sampler.takes(program) {
            event!(
                info,
                "turn_counted",
                program = program,
                part = number,
                epoch = part.hold.get().map_or(0, |hold| hold.epoch),
                budget = turn.budget,
                total = total,
                allowed = part.ledger.borrow().allowed(program),
                turns = turns,
                seen = turn.seen,
                verdict = verdict
            );
        }
        let epoch = part.hold.get().map(|hold| hold.epoch);
        let covered = match verdict {
            Verdict::Spent => return Reply::Spent,
            Verdict::Covered => true,
            Verdict::Record(allowed) => self.cover(number, &part, program, turn, allowed).await,
        };
        // Another VM may have taken the partition while this one found another way to record, and
        // counts the same program there.
        let held = part.hold.get().map(|hold| hold.epoch) == epoch;
        // Where it was asked twice, the other one may have failed and given the tokens back.
        if !covered || !held || !part.ledger.borrow().is_open(reservation) {
            self.keeper.settle(number, reservation, 0);
            return if held {
                Reply::Unrecorded
            } else {
                Reply::NotOwner
            };
        }
        Reply::Granted { turns, total }
    }

    /// Waits until an allowance is durable, or kept by other VMs where the store does not take it.
    async fn cover(
        self: &Rc<Self>,
        number: u64,
        part: &Rc<Part>,
        program: &str,
        turn: allowance::Request,
        allowed: u64,
    ) -> bool {
        let hold = part.hold.get();
        part.lack(program, allowed);
        Rc::clone(&self.keeper).start_writing(number, Rc::clone(part));
        let durable = async {
            loop {
                let written = part.written.notified();
                if part.ledger.borrow().allowed(program) >= allowed {
                    return true;
                }
                // Shut out by another VM meanwhile, nothing will be recorded.
                if part.hold.get().map(|hold| hold.epoch) != hold.map(|hold| hold.epoch) {
                    return false;
                }
                written.await;
            }
        };
        let patience = if part.failing.get().is_some() || self.keeper.is_away() {
            Duration::ZERO
        } else {
            PATIENCE
        };
        let copy = Copy {
            part: number,
            program: program.to_owned(),
            allowed,
            epoch: hold.map_or(0, |hold| hold.epoch),
            fenced: hold.is_some_and(|hold| hold.fenced),
        };
        match timeout(patience, durable).await {
            Ok(recorded) => {
                self.tell_next(copy).await;
                recorded
            }
            Err(_) if self.keeper.detour(number, part, &copy).await => true,
            Err(_)
                if !part.ledger.borrow().allows_unrecorded(program, turn)
                    || !self.reaches_most().await
                    || self.others_have_store(part).await =>
            {
                event!(
                    info,
                    "allowance_unrecorded",
                    program = program,
                    part = number,
                    budget = turn.budget
                );
                false
            }
            Err(_) => self.copy(copy, part).await,
        }
    }
}
