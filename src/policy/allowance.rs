//! Token budgets of programs, counted so that no token is granted twice after a crash.
//!
//! Programs that loop without end are stopped only by their budget, and their turns arrive at any VM. Before tokens are
//! granted, a durable record (the allowance) covers them; after a crash the whole allowance counts as spent. One
//! allowance covers several turns, so that not every turn waits for a write before its first token.

use crate::policy::unrecorded::Unrecorded;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// A new allowance covers at least this many turns of maximum length. Turns generate about a
/// quarter of their maximum, so two cover a short program; a crash takes at most so much of its
/// budget.
const MIN_TURNS_PER_ALLOWANCE: u64 = 2;
/// A new allowance covers at least the budget divided by this, which limits the records of a long program.
const MAX_ALLOWANCES_PER_BUDGET: u64 = 4;

/// Identifies a reservation, so that a repeated request is counted once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reservation {
    /// Number of the VM that makes the reservation, derived from its address.
    pub vm: u64,
    /// Number of the reservation, unique on that VM.
    pub number: u64,
}

/// A request to reserve tokens for one turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Tokens that all turns of the program together may generate.
    pub budget: u64,
    /// Maximum number of tokens that this turn may generate.
    pub most: u64,
    /// Tokens that the requesting VM knows to be spent, with turns in progress counted at their maximum.
    pub seen: u64,
}

/// Whether a turn may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may run: the durable allowance covers it.
    Covered,
    /// It may run once an allowance of this many tokens is durable.
    Record(u64),
    /// It may not run: the budget is spent or reserved.
    Spent,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Covered => f.write_str("covered"),
            Self::Record(allowed) => write!(f, "record:{allowed}"),
            Self::Spent => f.write_str("spent"),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Account {
    /// The allowance that the store has.
    recorded: u64,
    /// The highest allowance known, whose use by other VMs is a part of `spent`.
    claimed: u64,
    /// Tokens generated, and those that may have been generated before a crash.
    spent: u64,
    reserved: u64,
    turns: u32,
    last_used: Instant,
}

/// The account of one program, as handed over to another VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Id of the program.
    pub program: String,
    /// Tokens covered by the allowance that the store has.
    pub allowed: u64,
    /// Tokens generated, and those that may have been generated before a crash.
    pub spent: u64,
    /// Number of turns that have reserved tokens.
    pub turns: u32,
    /// Reservations of turns in progress, each with its maximum number of tokens.
    pub open: Vec<(Reservation, u64)>,
}

/// The token accounts of the programs of one partition.
///
/// ```
/// use tokio::time::Instant;
/// use vanillatrail::policy::allowance::{Ledger, Request, Reservation, Verdict};
/// let (now, mut ledger) = (Instant::now(), Ledger::default());
/// let request = Request { budget: 900, most: 290, seen: 0 };
/// let first = Reservation { vm: 1, number: 1 };
/// assert_eq!(ledger.reserve(now, "p", first, request), Verdict::Record(580));
/// ledger.mark_recorded("p", 580);
/// assert_eq!(ledger.reserve(now, "p", first, request), Verdict::Covered);
/// ```
#[derive(Debug, Default)]
pub struct Ledger {
    accounts: HashMap<String, Account>,
    /// Program and maximum number of tokens of each turn in progress.
    open: HashMap<Reservation, (String, u64)>,
    /// What may have been granted without a record and is missing from the accounts, and until when programs come back that
    /// may have got it.
    lost: Option<(Unrecorded, Instant)>,
}

impl Request {
    /// The allowance to record for turns that begin when `used` tokens are spent or reserved.
    fn next_allowance(&self, used: u64) -> u64 {
        let step =
            (self.most * MIN_TURNS_PER_ALLOWANCE).max(self.budget / MAX_ALLOWANCES_PER_BUDGET);
        (used + step).min(self.budget + self.most)
    }
}

impl Ledger {
    /// Applies an allowance recorded by another VM. What it adds to the one known here counts as spent, since the
    /// other VM may have granted it.
    pub fn restore(&mut self, now: Instant, program: &str, allowed: u64) {
        self.restore_unrecorded(now, program, allowed);
        let account = self.account(now, program);
        account.recorded = account.recorded.max(allowed);
    }

    /// Applies an allowance of another VM that the store may lack, as [`Ledger::restore`].
    pub fn restore_unrecorded(&mut self, now: Instant, program: &str, allowed: u64) {
        let account = self.account(now, program);
        account.spent += allowed.saturating_sub(account.claimed);
        account.claimed = account.claimed.max(allowed);
    }

    /// Notes that grants without a record may have been lost. For every program that is new to this ledger they count as
    /// spent, until then.
    pub fn mark_incomplete(&mut self, lost: Unrecorded, until: Instant) {
        if lost == Unrecorded::None {
            return;
        }
        let (known, known_until) = self.lost.unwrap_or((lost, until));
        self.lost = Some((known.max(lost), known_until.max(until)));
    }

    /// Counts the rest of all allowances as spent, since another VM may have received the accounts and grant it.
    ///
    /// ```
    /// use tokio::time::Instant;
    /// use vanillatrail::policy::allowance::{Ledger, Request, Reservation, Verdict};
    /// let (now, mut ledger) = (Instant::now(), Ledger::default());
    /// let request = Request { budget: 2000, most: 290, seen: 0 };
    /// ledger.reserve(now, "p", Reservation { vm: 1, number: 1 }, request);
    /// ledger.mark_recorded("p", 580);
    /// ledger.forfeit_allowances();
    /// assert_eq!(ledger.reserve(now, "p", Reservation { vm: 1, number: 2 }, request), Verdict::Record(1160));
    /// ```
    pub fn forfeit_allowances(&mut self) {
        for account in self.accounts.values_mut() {
            let unreserved = account.claimed.saturating_sub(account.reserved);
            account.spent = account.spent.max(unreserved);
        }
    }

    /// Drops all accounts, since another VM owns the partition.
    ///
    /// Accounts that stayed would count turns of an earlier ownership as turns of the next one, and a handover
    /// without the store would then add to them rather than replace them: what the owners in between granted would
    /// be granted again.
    pub fn forget_accounts(&mut self) {
        self.accounts.clear();
        self.open.clear();
    }

    /// Grants without a record that may have been lost.
    #[must_use]
    pub fn lost(&self, now: Instant) -> Unrecorded {
        let lost = self.lost.filter(|(_, until)| now < *until);
        lost.map_or(Unrecorded::None, |(lost, _)| lost)
    }

    /// Takes over what another ledger of the partition may lack.
    pub fn inherit_lost(&mut self, other: &Self) {
        if let Some((lost, until)) = other.lost {
            self.mark_incomplete(lost, until);
        }
    }

    /// Whether the tokens spent or reserved by a program stay within its records and `limit`. All owners of an outage
    /// together have this limit, as none of them adds to the records.
    #[must_use]
    pub fn allows_unrecorded(&self, program: &str, request: Request, limit: Unrecorded) -> bool {
        let (_, total) = self.usage(program);
        limit != Unrecorded::None && total <= self.allowed(program) + limit.grant_limit(&request)
    }

    /// All accounts, for the VM that takes over the partition.
    #[must_use]
    pub fn export(&self) -> Vec<Snapshot> {
        let snapshot = |(program, account): (&String, &Account)| Snapshot {
            program: program.clone(),
            allowed: account.recorded,
            spent: account.spent,
            turns: account.turns,
            open: self.open_reservations(program),
        };
        self.accounts.iter().map(snapshot).collect()
    }

    fn open_reservations(&self, program: &str) -> Vec<(Reservation, u64)> {
        let open = self.open.iter();
        open.filter(|(_, (owner, _))| owner == program)
            .map(|(reservation, (_, max_tokens))| (*reservation, *max_tokens))
            .collect()
    }

    /// Takes over an account from another VM, which has also asked the store to record `pending`. If turns of the program
    /// have already reserved tokens here, only the allowance is applied, as by [`Ledger::restore`].
    ///
    /// The other VM may have been fenced off without noticing. An allowance beyond the one it knew was then recorded by
    /// a third VM, and the difference counts as spent.
    pub fn import(&mut self, now: Instant, snapshot: Snapshot, pending: u64) {
        let account = self.account(now, &snapshot.program);
        let known = snapshot.allowed.max(pending);
        if account.turns > 0 {
            self.restore_unrecorded(now, &snapshot.program, known);
            return;
        }
        let recorded_by_others = account.claimed.saturating_sub(known);
        account.recorded = account.recorded.max(snapshot.allowed);
        account.claimed = account.claimed.max(known);
        account.spent = snapshot.spent + recorded_by_others;
        account.turns = snapshot.turns;
        account.reserved = snapshot.open.iter().map(|(_, max_tokens)| max_tokens).sum();
        let program = snapshot.program;
        let open = snapshot.open.into_iter();
        self.open.extend(
            open.map(|(reservation, max_tokens)| (reservation, (program.clone(), max_tokens))),
        );
    }

    fn account(&mut self, now: Instant, program: &str) -> &mut Account {
        let empty = Account {
            recorded: 0,
            claimed: 0,
            spent: 0,
            reserved: 0,
            turns: 0,
            last_used: now,
        };
        self.accounts.entry(program.to_owned()).or_insert(empty)
    }

    /// Reserves the maximum number of tokens of a turn. A repeated reservation is counted once.
    pub fn reserve(
        &mut self,
        now: Instant,
        program: &str,
        reservation: Reservation,
        request: Request,
    ) -> Verdict {
        let is_known = self.open.contains_key(&reservation);
        let maybe_lost = self.lost(now).charge(&request);
        let account = self.account(now, program);
        account.last_used = now;
        if account.turns == 0 {
            // `seen` counts turns in progress at their maximum, so it is used only until turns are counted here.
            let with_lost = account.recorded + maybe_lost;
            account.spent = account.spent.max(with_lost).max(request.seen);
        }
        if !is_known {
            // A turn that starts within the budget may exceed it.
            if account.spent + account.reserved >= request.budget {
                return Verdict::Spent;
            }
            account.reserved += request.most;
            account.turns += 1;
        }
        let needed = account.spent + account.reserved;
        let verdict = if needed <= account.recorded {
            Verdict::Covered
        } else {
            let allowance = request.next_allowance(needed - request.most);
            Verdict::Record(allowance.max(needed))
        };
        if !is_known {
            self.open
                .insert(reservation, (program.to_owned(), request.most));
        }
        verdict
    }

    /// The allowance to record before the next turns of a program need it; `None` while the present one covers two of
    /// them.
    ///
    /// It covers three turns: a record at a slow store may wait behind another one, which takes longer than two turns.
    ///
    /// ```
    /// use tokio::time::Instant;
    /// use vanillatrail::policy::allowance::{Ledger, Request, Reservation};
    /// let mut ledger = Ledger::default();
    /// let request = Request { budget: 900, most: 290, seen: 0 };
    /// ledger.reserve(Instant::now(), "p", Reservation { vm: 1, number: 1 }, request);
    /// assert_eq!(ledger.allowance_ahead("p", request), Some(1160));
    /// ledger.mark_recorded("p", 1160);
    /// assert_eq!(ledger.allowance_ahead("p", request), None);
    /// ```
    #[must_use]
    pub fn allowance_ahead(&self, program: &str, request: Request) -> Option<u64> {
        let (_, used) = self.usage(program);
        let allowed = self.allowed(program);
        let wanted = request.next_allowance(used + request.most);
        let covers_next = allowed >= used + request.most * MIN_TURNS_PER_ALLOWANCE;
        (!covers_next && wanted > allowed && used < request.budget).then_some(wanted)
    }

    /// Notes that an allowance is durable.
    pub fn mark_recorded(&mut self, program: &str, allowed: u64) {
        if let Some(account) = self.accounts.get_mut(program) {
            account.recorded = account.recorded.max(allowed);
            account.claimed = account.claimed.max(allowed);
        }
    }

    /// Closes the reservation of a turn that has ended after generating `used` tokens.
    pub fn settle(&mut self, now: Instant, reservation: Reservation, used: u64) {
        let Some((program, max_tokens)) = self.open.remove(&reservation) else {
            return;
        };
        if let Some(account) = self.accounts.get_mut(&program) {
            account.reserved = account.reserved.saturating_sub(max_tokens);
            account.spent += used;
            account.last_used = now;
        }
    }

    /// Whether a reservation is known and its turn has not ended.
    #[must_use]
    pub fn is_open(&self, reservation: Reservation) -> bool {
        self.open.contains_key(&reservation)
    }

    /// The allowance of a program that the store has, in tokens; 0 if the program is unknown.
    #[must_use]
    pub fn allowed(&self, program: &str) -> u64 {
        let account = self.accounts.get(program);
        account.map_or(0, |account| account.recorded)
    }

    /// Number of turns of a program that have reserved tokens, and its tokens spent or reserved.
    #[must_use]
    pub fn usage(&self, program: &str) -> (u32, u64) {
        let account = self.accounts.get(program);
        account.map_or((0, 0), |account| {
            (account.turns, account.spent + account.reserved)
        })
    }

    /// Removes programs that have been idle for `idle`, and returns their ids.
    pub fn expire(&mut self, now: Instant, idle: Duration) -> Vec<String> {
        let is_expired = |account: &Account| account.last_used + idle <= now;
        let expired: Vec<String> = self
            .accounts
            .iter()
            .filter(|(_, account)| is_expired(account))
            .map(|(program, _)| program.clone())
            .collect();
        for program in &expired {
            self.accounts.remove(program);
        }
        self.open
            .retain(|_, (program, _)| self.accounts.contains_key(program));
        expired
    }

    /// Number of programs with an account.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no program has an account.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}
