//! The tokens that a program may still generate, counted so that no crash gives any of them twice.
//!
//! Load it answers: programs that loop without end and are stopped by their budget alone, whose
//! turns come in through any VM. What is handed out is covered beforehand by a durable allowance;
//! who reads the records after a crash takes all of it as spent. An allowance covers several turns,
//! since a record for every turn would cost a write each and a wait before the first token.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// Turns that a new allowance covers at least, at their most tokens. Turns generate about a quarter
/// of their most, so two cover a short program; a crash takes at most so much of its budget.
const TURNS: u64 = 2;
/// The part of a budget that a new allowance covers at least, so that a long program needs about
/// four records.
const PART: u64 = 4;

/// Which reservation, so that a repeated request is not counted twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reservation {
    /// The VM that asks.
    pub vm: u64,
    /// Its number there.
    pub number: u64,
}

/// A turn that wants to generate tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn {
    /// Tokens that all turns of the program may generate.
    pub budget: u64,
    /// The most that this one generates.
    pub most: u64,
    /// Tokens that the VM that asks knows to be spent.
    pub seen: u64,
}

/// Whether a turn may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The durable allowance covers it.
    Covered,
    /// It may run once this allowance is durable.
    Record(u64),
    /// The budget is spent.
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
    /// What is durable.
    allowed: u64,
    /// What was handed out, and after a crash what may have been.
    spent: u64,
    reserved: u64,
    turns: u32,
    used: Instant,
}

/// What is known of one program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The program.
    pub program: String,
    /// Its allowance.
    pub allowed: u64,
    /// Tokens that were handed out.
    pub spent: u64,
    /// Turns so far.
    pub turns: u32,
    /// Turns under way, and the most that each generates.
    pub open: Vec<(Reservation, u64)>,
}

/// The programs of one partition.
///
/// ```
/// use tokio::time::Instant;
/// use vanillatrail::policy::allowance::{Ledger, Reservation, Turn, Verdict};
/// let (now, mut ledger) = (Instant::now(), Ledger::default());
/// let turn = Turn { budget: 900, most: 290, seen: 0 };
/// let first = Reservation { vm: 1, number: 1 };
/// assert_eq!(ledger.reserve(now, "p", first, turn), Verdict::Record(580));
/// ledger.recorded("p", 580);
/// assert_eq!(ledger.reserve(now, "p", first, turn), Verdict::Covered);
/// ```
#[derive(Debug, Default)]
pub struct Ledger {
    accounts: HashMap<String, Account>,
    open: HashMap<Reservation, (String, u64)>,
    doubtful: bool,
}

impl Turn {
    /// Tokens that a program may be given at the most beyond what is durable.
    ///
    /// While nothing can be recorded, what is given is kept in the memory of some VMs; should all
    /// of them be lost, it is not known any more that it was given. So it is bounded, and after
    /// such a loss the bound counts as spent: then no program goes beyond its budget. Half is
    /// enough: programs that end by themselves use up to 0.58 of their budgets, reserved tokens of
    /// the last turn among them.
    #[must_use]
    pub fn undurable(&self) -> u64 {
        (self.budget / 2).max(self.most)
    }
}

impl Ledger {
    /// Takes in a record of another VM: what it allows beyond what is known here may have been
    /// handed out there.
    pub fn restore(&mut self, now: Instant, program: &str, allowed: u64) {
        let account = self.account(now, program);
        account.spent += allowed.saturating_sub(account.allowed);
        account.allowed = account.allowed.max(allowed);
    }

    /// What was given without a record may have been forgotten: for every program that is met from
    /// now on, the most of it counts as spent.
    pub const fn doubt(&mut self) {
        self.doubtful = true;
    }

    /// Whether what was given without a record may have been forgotten.
    #[must_use]
    pub const fn is_doubtful(&self) -> bool {
        self.doubtful
    }

    /// Whether what is spent and reserved of a program may be covered without a record.
    #[must_use]
    pub fn bears(&self, program: &str, turn: Turn) -> bool {
        let (_, total) = self.standing(program);
        total <= self.allowed(program) + turn.undurable()
    }

    /// All that is known, for a VM that goes on with it.
    #[must_use]
    pub fn export(&self) -> Vec<Entry> {
        let entry = |(program, account): (&String, &Account)| Entry {
            program: program.clone(),
            allowed: account.allowed,
            spent: account.spent,
            turns: account.turns,
            open: self.open_of(program),
        };
        self.accounts.iter().map(entry).collect()
    }

    fn open_of(&self, program: &str) -> Vec<(Reservation, u64)> {
        let open = self.open.iter();
        open.filter(|(_, (of, _))| of == program)
            .map(|(reservation, (_, most))| (*reservation, *most))
            .collect()
    }

    /// Goes on with what another VM knew, unless turns of the program have asked here already.
    ///
    /// The other VM may have been shut out without knowing: what the records allow beyond what it
    /// gave was given by a third one, and counts as spent.
    pub fn adopt(&mut self, now: Instant, entry: Entry) {
        let account = self.account(now, &entry.program);
        if account.turns > 0 {
            return self.restore(now, &entry.program, entry.allowed);
        }
        let of_others = account.allowed.saturating_sub(entry.allowed);
        account.allowed = account.allowed.max(entry.allowed);
        account.spent = entry.spent + of_others;
        account.turns = entry.turns;
        account.reserved = entry.open.iter().map(|(_, most)| most).sum();
        let program = entry.program;
        let open = entry.open.into_iter();
        self.open
            .extend(open.map(|(reservation, most)| (reservation, (program.clone(), most))));
    }

    fn account(&mut self, now: Instant, program: &str) -> &mut Account {
        let fresh = Account {
            allowed: 0,
            spent: 0,
            reserved: 0,
            turns: 0,
            used: now,
        };
        self.accounts.entry(program.to_owned()).or_insert(fresh)
    }

    /// Reserves the most that a turn generates. A repeated reservation is counted once.
    pub fn reserve(
        &mut self,
        now: Instant,
        program: &str,
        reservation: Reservation,
        turn: Turn,
    ) -> Verdict {
        let known = self.open.contains_key(&reservation);
        let doubted = if self.doubtful { turn.undurable() } else { 0 };
        let account = self.account(now, program);
        account.used = now;
        if account.turns == 0 {
            // What was seen counts the turns under way at their most. Later it is known better.
            account.spent = (account.spent + doubted).max(turn.seen);
        }
        if !known {
            // Beyond the budget goes at most the last turn that began within it.
            if account.spent + account.reserved >= turn.budget {
                return Verdict::Spent;
            }
            account.reserved += turn.most;
            account.turns += 1;
        }
        let needed = account.spent + account.reserved;
        let verdict = if needed <= account.allowed {
            Verdict::Covered
        } else {
            let more = (turn.most * TURNS).max(turn.budget / PART);
            let wanted = (needed - turn.most + more).min(turn.budget + turn.most);
            Verdict::Record(wanted.max(needed))
        };
        if !known {
            self.open
                .insert(reservation, (program.to_owned(), turn.most));
        }
        verdict
    }

    /// An allowance is durable.
    pub fn recorded(&mut self, program: &str, allowed: u64) {
        if let Some(account) = self.accounts.get_mut(program) {
            account.allowed = account.allowed.max(allowed);
        }
    }

    /// A turn is over: `used` tokens were handed out.
    pub fn settle(&mut self, now: Instant, reservation: Reservation, used: u64) {
        let Some((program, most)) = self.open.remove(&reservation) else {
            return;
        };
        if let Some(account) = self.accounts.get_mut(&program) {
            account.reserved = account.reserved.saturating_sub(most);
            account.spent += used;
            account.used = now;
        }
    }

    /// Whether a reservation is counted and not over.
    #[must_use]
    pub fn is_open(&self, reservation: Reservation) -> bool {
        self.open.contains_key(&reservation)
    }

    /// The durable allowance of a program.
    #[must_use]
    pub fn allowed(&self, program: &str) -> u64 {
        let account = self.accounts.get(program);
        account.map_or(0, |account| account.allowed)
    }

    /// How many turns of a program have asked here, and the tokens that are spent or reserved.
    #[must_use]
    pub fn standing(&self, program: &str) -> (u32, u64) {
        let account = self.accounts.get(program);
        account.map_or((0, 0), |account| {
            (account.turns, account.spent + account.reserved)
        })
    }

    /// Forgets programs that have been idle for `idle`, and names them.
    pub fn expire(&mut self, now: Instant, idle: Duration) -> Vec<String> {
        let over = |account: &Account| account.used + idle <= now;
        let expired: Vec<String> = self
            .accounts
            .iter()
            .filter(|(_, account)| over(account))
            .map(|(program, _)| program.clone())
            .collect();
        for program in &expired {
            self.accounts.remove(program);
        }
        self.open
            .retain(|_, (program, _)| self.accounts.contains_key(program));
        expired
    }

    /// How many programs are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no program is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}
