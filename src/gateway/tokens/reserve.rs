//! Asks the VM that counts a program for leave to generate tokens.

use crate::code::{Code, Failure};
use crate::gateway::peers::{Note, Question, Reply};
use crate::gateway::tokens::keeper::Allowance;
use crate::gateway::{Gateway, peers};
use crate::policy::allowance::Reservation;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How often the VMs are asked in turn for one reservation.
const ROUNDS: usize = 2;
/// The pause between two rounds, in which the members hear who counts.
const SETTLE: Duration = Duration::from_millis(80);
/// VMs that are asked for one reservation.
const ASKED: usize = 4;
/// When a caller may come back whose program nobody can count now.
const COME_BACK: Duration = Duration::from_millis(700);
/// Programs whose spending is remembered at the VM through which they came.
const SEEN: usize = 50_000;

fn uncounted() -> Failure {
    let failure = Failure::refused(
        Code::LogUnavailable,
        "nobody can count the program's tokens",
    );
    failure.retry_after(COME_BACK)
}

/// Whether the VM that counts a partition has answered.
///
/// It does where it can't record, too: it lives, and nobody else may count beside it. VMs that take partitions from
/// each other while the store refuses everybody would give programs more than their budgets.
const fn is_final(reply: &Reply) -> bool {
    !matches!(reply, Reply::NotOwner | Reply::Taken(_) | Reply::Away)
}

impl Gateway {
    /// The VM that last answered for a partition, if it is a member and not silent.
    fn counted_at(&self, part: u64) -> Option<SocketAddr> {
        let address = self.keeper.counted_at.borrow().get(&part).copied()?;
        let view = self.view.borrow();
        let mut members = view.members.values();
        let member = members.any(|member| peers::address(member.address) == address);
        (member && !self.peers.is_silent(address)).then_some(address)
    }

    /// The VMs to ask for a partition, in this order: the one that says that it counts, and those that would take
    /// over.
    fn candidates(&self, part: u64) -> VecDeque<SocketAddr> {
        let claimed = self.claimed(part).map(|claimed| claimed.address);
        let others = self.counters(part).into_iter().map(|peer| peer.address);
        let others = others.filter(|address| Some(*address) != claimed);
        claimed.into_iter().chain(others).take(ASKED).collect()
    }

    /// Asks for leave to generate up to `most` tokens for a program.
    ///
    /// # Errors
    /// [`Code::BudgetSpent`], or [`Code::LogUnavailable`] where nobody can tell now.
    pub(crate) async fn reserve(
        self: &Rc<Self>,
        program: &str,
        budget: u64,
        most: u64,
    ) -> Result<Allowance, Failure> {
        let part = self.keeper.part_of(program);
        let seen = self.keeper.seen.borrow().get(program).copied();
        let seen = seen.unwrap_or_default();
        let reservation = self.peers.number();
        let question = |takeover| Question::Reserve {
            part,
            program: program.to_owned(),
            budget,
            most,
            seen,
            reservation,
            takeover,
        };
        match self.ask_counting(part, question).await {
            Some((Reply::Granted { turns, total }, peer)) => {
                self.note_seen(program, total);
                Ok(Allowance {
                    owner: (peer != self.address()).then_some(peer),
                    part,
                    reservation,
                    turns,
                })
            }
            Some((Reply::Spent, _)) => Err(Failure::refused(
                Code::BudgetSpent,
                "the token budget of the program is spent",
            )),
            _ => Err(uncounted()),
        }
    }

    /// Asks the VM that counts a partition, whichever that is, and gives its answer and its address; none where
    /// nobody counts it. `question` gets whether those that come first did not answer.
    pub(crate) async fn ask_counting(
        self: &Rc<Self>,
        part: u64,
        question: impl Fn(bool) -> Question,
    ) -> Option<(Reply, SocketAddr)> {
        if let Some(peer) = self.counted_at(part) {
            // Every request asks, and ranking hundreds of members for each would cost more than the answer.
            let reply = self.ask_counter(peer, question(false)).await;
            if let Some(reply) = reply.filter(is_final) {
                return Some((reply, peer));
            }
            self.keeper.counted_at.borrow_mut().remove(&part);
        }
        for round in 0..ROUNDS {
            // One that says that it does not count may know better than this VM who does; only
            // silence, or a second round, is a reason to take over.
            let mut takeover = round > 0;
            let mut candidates = self.candidates(part);
            let mut asked = 0;
            while let Some(peer) = candidates.pop_front() {
                asked += 1;
                match self.ask_counter(peer, question(takeover)).await {
                    Some(reply) if is_final(&reply) => {
                        self.keeper.counted_at.borrow_mut().insert(part, peer);
                        return Some((reply, peer));
                    }
                    Some(Reply::Taken(address)) if asked < ASKED => {
                        candidates.push_front(address);
                    }
                    other => takeover |= other != Some(Reply::NotOwner),
                }
            }
            sleep(SETTLE).await;
        }
        None
    }

    async fn ask_counter(self: &Rc<Self>, peer: SocketAddr, question: Question) -> Option<Reply> {
        if peer == self.address() {
            return Some(self.answer((peer, 0), question).await);
        }
        self.peers.ask(peer, &question).await
    }

    /// Where other VMs ask this one.
    pub(crate) fn address(&self) -> SocketAddr {
        peers::address(self.settings.listen.peers)
    }

    /// The number of this VM.
    pub(crate) fn number(&self) -> u64 {
        peers::vm_number(self.address())
    }

    pub(crate) fn own(&self, reservation: u64) -> Reservation {
        Reservation {
            vm: self.number(),
            number: reservation,
        }
    }

    /// Remembers what a program has spent, for a VM that takes over without having seen it.
    fn note_seen(&self, program: &str, total: u64) {
        let mut seen = self.keeper.seen.borrow_mut();
        if seen.len() >= SEEN {
            seen.clear();
        }
        let known = seen.entry(program.to_owned()).or_default();
        *known = total.max(*known);
    }

    /// A turn is over: `used` tokens were handed out.
    pub(crate) async fn settle(&self, allowance: Allowance, used: u64) {
        let Allowance {
            owner,
            part,
            reservation,
            ..
        } = allowance;
        match owner {
            None => self.keeper.settle(part, self.own(reservation), used),
            Some(owner) => {
                let reservation = self.own(reservation);
                let note = Note::Settled {
                    part,
                    reservation,
                    used,
                };
                self.peers.tell(owner, note).await;
            }
        }
    }
}
