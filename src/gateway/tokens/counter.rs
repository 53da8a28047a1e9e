//! Counts the tokens of programs for the VMs that ask, and passes partitions on.

use crate::gateway::peers::{Asked, Copy, Note, Peer, Question, Reply};
use crate::gateway::tokens::keeper::PATIENCE;
use crate::gateway::tokens::part::Part;
use crate::gateway::{Gateway, peers};
use crate::id::{Shard, rendezvous};
use crate::policy::allowance::{Entry, Reservation, Turn, Verdict};
use crate::telemetry::event;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// How long a turn waits for a partition to be taken over, two calls to the store.
const TAKE: Duration = Duration::from_secs(1);
/// Copies in one datagram.
const COPIES_SENT: usize = 40;
/// Programs in one datagram of a partition that is handed over.
const ADOPTED: usize = 4;
/// How long a VM that was shut out does not take the same partition again. Until the members have
/// heard of the new counter, requests that are sent here would make the two shut each other out
/// again and again, and every time what was handed out counts as spent.
const SHUT_OUT: Duration = Duration::from_millis(600);

/// A reservation as the VM that counts the program sees it.
#[derive(Debug)]
struct Request<'a> {
    part: u64,
    program: &'a str,
    reservation: Reservation,
    turn: Turn,
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
                let rank = rendezvous(key, member.vm.as_str());
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
                    turn: Turn { budget, most, seen },
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
                    self.keeper.part(part).ledger.borrow_mut().doubt();
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

    async fn adopt(
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
        let taken = timeout(TAKE, self.keeper.take(number, &part)).await;
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
            let mut claims = others.flat_map(|member| &member.held);
            let epoch = part.hold.get().map_or(0, |hold| hold.epoch);
            if claims.any(|(shard, claimed)| shard.0 == number && claimed.0 > epoch) {
                self.keeper.shut_out(number, &part, epoch);
            }
        }
    }

    /// Hands the partitions that this VM counts over to those that come next and have the store.
    ///
    /// A VM that has lost the store alone gives no more durable allowances; were it to go on with
    /// copies, and all VMs lost power, what it gave would be given again.
    pub(crate) async fn hand_over(&self, ending: bool) {
        for (number, part) in self.keeper.held() {
            let next = self.next_counter(number);
            let Some(next) = next.filter(|next| next.ready || ending) else {
                return;
            };
            let Some(hold) = part.hold.take() else {
                continue;
            };
            part.handing.set(true);
            part.written.notify_waiters();
            let entries = part.ledger.borrow().export();
            let doubtful = part.ledger.borrow().is_doubtful();
            let pending = part.pending.borrow().clone();
            let entries: Vec<_> = entries
                .into_iter()
                .map(|entry| {
                    let lacking = pending.get(&entry.program).copied().unwrap_or_default();
                    let allowed = entry.allowed.max(lacking);
                    (Entry { allowed, ..entry }, lacking)
                })
                .collect();
            part.successor.set(Some(next.address));
            let chunks = entries.len().div_ceil(ADOPTED).max(1);
            let mut sent = 0;
            for index in 0..chunks {
                let chunk = entries.iter().skip(index * ADOPTED).take(ADOPTED);
                let question = Question::Adopt {
                    part: number,
                    epoch: hold.epoch,
                    entries: chunk.cloned().collect(),
                    doubtful,
                    first: index == 0,
                    last: index + 1 == chunks,
                    ending,
                };
                if self.peers.ask(next.address, &question).await != Some(Reply::Kept) {
                    break;
                }
                sent += 1;
            }
            let whole = sent == chunks;
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
            event!(
                info,
                "allowances_handed_over",
                part = number,
                to = next.vm,
                programs = entries.len(),
                whole = whole
            );
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
        let (turns, total) = part.ledger.borrow().standing(program);
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
            return Reply::Away;
        }
        Reply::Granted { turns, total }
    }

    /// Takes a partition over; gives what is answered where that can't be.
    async fn begin_to_count(
        self: &Rc<Self>,
        number: u64,
        part: &Rc<Part>,
        takeover: bool,
    ) -> Option<Reply> {
        let shut_out = part
            .shut_out
            .get()
            .is_some_and(|at| at.elapsed() < SHUT_OUT);
        if shut_out || part.handing.get() {
            return Some(Reply::NotOwner);
        }
        let rightful = self.claimed(number);
        let rightful = rightful.or_else(|| self.counters(number).into_iter().next());
        if !takeover && rightful.is_some_and(|other| other.vm != self.settings.vm) {
            return Some(Reply::NotOwner);
        }
        if self.keeper.is_away() {
            // Both waits below are for the store.
            self.gather(number).await;
            return (!self.take_as_heir(number, part)).then_some(Reply::Away);
        }
        let silent = |address: &SocketAddr| self.peers.is_silent(*address);
        let other = timeout(PATIENCE, self.keeper.lately_taken(number)).await;
        if let Ok(Some(other)) = other
            && part.hold.get().is_none()
            && !silent(&other)
        {
            return Some(Reply::Taken(other));
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
        let patience = if self.has_store() { TAKE } else { PATIENCE };
        let taken = matches!(timeout(patience, taking).await, Ok(Ok(Ok(()))));
        if !taken {
            self.keeper.heard(false);
        }
        (!taken && !self.take_as_heir(number, part)).then_some(Reply::Away)
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

    /// Waits until an allowance is durable, or kept by other VMs where the store does not take it.
    async fn cover(
        self: &Rc<Self>,
        number: u64,
        part: &Rc<Part>,
        program: &str,
        turn: Turn,
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
        let patience = if part.failing.get() || self.keeper.is_away() {
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
            Err(_) if !part.ledger.borrow().bears(program, turn) => {
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
