//! Reserves tokens of a program's budget at the owner of its partition.

use crate::code::{Code, Failure};
use crate::gateway::peers::{Note, Question, Reply};
use crate::gateway::tokens::partitions::Grant;
use crate::gateway::{Gateway, peers};
use crate::policy::allowance::Reservation;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::sleep;

/// How many times the candidates for ownership are asked for one reservation.
const MAX_ROUNDS: usize = 2;
/// Pause between two rounds, in which ownership changes reach all members.
const ROUND_PAUSE: Duration = Duration::from_millis(80);
/// VMs asked per round.
const MAX_VMS_PER_ROUND: usize = 4;
/// `Retry-After` of a request whose program has no reachable owner.
const RETRY_AFTER: Duration = Duration::from_millis(700);
/// Limit on the programs whose last reported total is remembered. All are forgotten when it is
/// reached.
const MAX_REMEMBERED_PROGRAMS: usize = 50_000;

fn no_owner() -> Failure {
    let failure = Failure::refused(
        Code::LogUnavailable,
        "no VM can account for the tokens of the program at present",
    );
    failure.retry_after(RETRY_AFTER)
}

/// Whether a reply comes from the owner of the partition, so that no other VM is asked.
///
/// An owner that can't record answers [`Reply::Unrecorded`], which is final too. If other VMs took
/// its partition over while the store rejects writes from everyone, programs could exceed their
/// budgets.
const fn is_final(reply: &Reply) -> bool {
    !matches!(reply, Reply::NotOwner | Reply::Taken(_) | Reply::Away)
}

/// Tokens that are returned to the budget unless the turn takes them.
struct UnclaimedGrant {
    gateway: Rc<Gateway>,
    grant: Option<Grant>,
}

impl Drop for UnclaimedGrant {
    fn drop(&mut self) {
        if let Some(grant) = self.grant.take() {
            let gateway = Rc::clone(&self.gateway);
            tokio::task::spawn_local(async move { gateway.settle_tokens(grant, 0).await });
        }
    }
}

impl Gateway {
    /// The VM that last answered as owner, if it is a member and still answers.
    fn last_owner(&self, part: u64) -> Option<SocketAddr> {
        let address = self.partitions.last_owners.borrow().get(&part).copied()?;
        let view = self.view.borrow();
        let mut members = view.members.values();
        let is_member = members.any(|member| peers::peer_address(member.address) == address);
        (is_member && !self.peers.is_unresponsive(address)).then_some(address)
    }

    /// The VMs to ask for a partition: the announced owner first, then those that should take over.
    fn candidates(&self, part: u64) -> VecDeque<SocketAddr> {
        let owner = self.claimed_owner(part).map(|owner| owner.address);
        let others = self
            .owner_candidates(part)
            .into_iter()
            .map(|peer| peer.address);
        let others = others.filter(|address| Some(*address) != owner);
        owner
            .into_iter()
            .chain(others)
            .take(MAX_VMS_PER_ROUND)
            .collect()
    }

    /// Reserves up to `most` tokens for one turn of a program.
    ///
    /// The owner reserves the tokens even if the turn ends meanwhile. Its answer is therefore awaited in any case, and a grant
    /// that comes too late is returned.
    ///
    /// # Errors
    /// [`Code::BudgetSpent`], or [`Code::LogUnavailable`] if no owner can answer.
    pub(crate) async fn reserve_tokens(
        self: &Rc<Self>,
        program: &str,
        budget: u64,
        most: u64,
    ) -> Result<Grant, Failure> {
        let (sender, receiver) = oneshot::channel();
        let (gateway, program) = (Rc::clone(self), program.to_owned());
        tokio::task::spawn_local(async move {
            let grant = gateway.request_grant(&program, budget, most).await;
            let unclaimed = grant.map(|grant| UnclaimedGrant {
                gateway,
                grant: Some(grant),
            });
            drop(sender.send(unclaimed));
        });
        let mut unclaimed = receiver.await.unwrap_or_else(|_| Err(no_owner()))?;
        unclaimed.grant.take().ok_or_else(no_owner)
    }

    /// Asks the VMs that may own the program's partition, until one of them answers as its owner.
    async fn request_grant(
        self: &Rc<Self>,
        program: &str,
        budget: u64,
        most: u64,
    ) -> Result<Grant, Failure> {
        let part = self.partitions.partition_of(program);
        let seen = self
            .partitions
            .reported_totals
            .borrow()
            .get(program)
            .copied();
        let seen = seen.unwrap_or_default();
        let reservation = self.peers.next_number();
        let question = |takeover| Question::Reserve {
            part,
            program: program.to_owned(),
            budget,
            most,
            seen,
            reservation,
            takeover,
        };
        match self.ask_owner(part, question).await {
            Some((Reply::Granted { turns, total }, peer)) => {
                self.remember_total(program, total);
                Ok(Grant {
                    owner: (peer != self.peer_address()).then_some(peer),
                    part,
                    reservation,
                    turns,
                })
            }
            Some((Reply::Spent, _)) => Err(Failure::refused(
                Code::BudgetSpent,
                "the token budget of the program is spent",
            )),
            _ => Err(no_owner()),
        }
    }

    /// Sends a question to the owner of a partition. Returns the reply and the owner's address, or
    /// none if no VM owns the partition and none takes it over. `question` is called with the
    /// `takeover` flag of the message.
    pub(crate) async fn ask_owner(
        self: &Rc<Self>,
        part: u64,
        question: impl Fn(bool) -> Question,
    ) -> Option<(Reply, SocketAddr)> {
        if let Some(peer) = self.last_owner(part) {
            // Skips ranking all members in the common case.
            let reply = self.ask_candidate(peer, question(false)).await;
            if let Some(reply) = reply.filter(is_final) {
                return Some((reply, peer));
            }
            self.partitions.last_owners.borrow_mut().remove(&part);
        }
        for round in 0..MAX_ROUNDS {
            // A candidate that answers `NotOwner` may know the owner when this VM does not. Only
            // silence, or a second round, justifies a takeover.
            let mut takeover = round > 0;
            let mut candidates = self.candidates(part);
            let mut asked_count = 0;
            while let Some(peer) = candidates.pop_front() {
                asked_count += 1;
                match self.ask_candidate(peer, question(takeover)).await {
                    Some(reply) if is_final(&reply) => {
                        self.partitions.last_owners.borrow_mut().insert(part, peer);
                        return Some((reply, peer));
                    }
                    Some(Reply::Taken(address)) if asked_count < MAX_VMS_PER_ROUND => {
                        candidates.push_front(address);
                    }
                    other => takeover |= other != Some(Reply::NotOwner),
                }
            }
            sleep(ROUND_PAUSE).await;
        }
        None
    }

    async fn ask_candidate(self: &Rc<Self>, peer: SocketAddr, question: Question) -> Option<Reply> {
        if peer == self.peer_address() {
            return Some(self.handle_question((peer, 0), question).await);
        }
        self.peers.ask(peer, &question).await
    }

    /// Address for messages from other VMs.
    pub(crate) fn peer_address(&self) -> SocketAddr {
        peers::peer_address(self.settings.listen.peers)
    }

    /// Numeric identifier of this VM, derived from its address.
    pub(crate) fn vm_number(&self) -> u64 {
        peers::vm_number(self.peer_address())
    }

    pub(crate) fn own_reservation(&self, reservation: u64) -> Reservation {
        Reservation {
            vm: self.vm_number(),
            number: reservation,
        }
    }

    /// Remembers the reported total of a program. Later reservations carry it, so that a new owner
    /// learns of it.
    fn remember_total(&self, program: &str, total: u64) {
        let mut totals = self.partitions.reported_totals.borrow_mut();
        if totals.len() >= MAX_REMEMBERED_PROGRAMS {
            totals.clear();
        }
        let known = totals.entry(program.to_owned()).or_default();
        *known = total.max(*known);
    }

    /// Releases the reservation of a finished turn, `used` tokens of which were handed out.
    pub(crate) async fn settle_tokens(&self, grant: Grant, used: u64) {
        let Grant {
            owner,
            part,
            reservation,
            ..
        } = grant;
        match owner {
            None => self
                .partitions
                .settle(part, self.own_reservation(reservation), used),
            Some(owner) => {
                let reservation = self.own_reservation(reservation);
                let note = Note::Settled {
                    part,
                    reservation,
                    used,
                };
                self.peers.notify(owner, note).await;
            }
        }
    }
}
