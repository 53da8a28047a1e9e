//! The record of every member, and how news of it are merged.

use super::wire::{News, Profile, State};
use crate::id::{Incarnation, Offset, Vm};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// How long a member that is gone is remembered, and contacted at a low rate.
const MEMORY: Duration = Duration::from_hours(1);
/// Members that are gone and remembered, at most.
const GONE: usize = 1024;
/// Time between two notes to one member that it is doubted.
const DOUBT: Duration = Duration::from_millis(300);

/// The state of a member, and since when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Standing {
    pub(super) state: State,
    pub(super) since: Instant,
}

/// What is known of one member.
#[derive(Debug, Clone)]
pub(super) struct Record {
    pub(super) profile: Profile,
    pub(super) incarnation: Incarnation,
    pub(super) applied: Offset,
    pub(super) standing: Standing,
    /// When it was last told that it is doubted.
    pub(super) doubted: Option<Instant>,
}

impl Record {
    pub(super) fn live(&self) -> bool {
        matches!(self.standing.state, State::Alive | State::Suspect)
    }

    /// Everything of it, as news.
    pub(super) fn full(&self) -> News {
        News::Profile {
            profile: self.profile.clone(),
            incarnation: self.incarnation,
            state: self.standing.state,
            applied: self.applied,
        }
    }

    /// Its state, as news.
    pub(super) fn status(&self) -> News {
        News::Status {
            vm: self.profile.vm.clone(),
            incarnation: self.incarnation,
            state: self.standing.state,
        }
    }
}

/// What somebody tells of a member.
#[derive(Debug, Clone, Copy)]
pub(super) struct Told<'a> {
    pub(super) vm: &'a Vm,
    pub(super) incarnation: Incarnation,
    pub(super) state: State,
    pub(super) profile: Option<&'a Profile>,
}

/// What news of a member changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Change {
    /// Nothing: it is older than what is known, or can't be used.
    Stale,
    /// Nothing: it is what is known.
    Known,
    /// The state or the incarnation.
    Status,
    /// The profile, and perhaps the state too.
    Profile,
    /// A member that was not known.
    Joined,
    /// Nothing, but one side holds the member alive and the other gone: it has to tell a new
    /// incarnation, above this one, to settle it.
    Doubt(Incarnation),
}

/// Every member that is known, this VM among them.
#[derive(Debug, Default)]
pub(super) struct Roster {
    pub(super) records: BTreeMap<Vm, Record>,
    /// Whether some member may be under suspicion; saves a look at every record at each tick.
    pub(super) suspicious: bool,
}

impl Roster {
    /// Takes in what somebody tells of a member.
    ///
    /// That a member is gone is concluded by each VM for itself, after a suspicion that the member
    /// had time to refute; the conclusion of another VM is never taken over. Otherwise the first
    /// contact after a partition would remove each side from the other's view once more, and its
    /// shards would be claimed, while all of its members are alive.
    pub(super) fn take(&mut self, now: Instant, told: Told<'_>) -> Change {
        self.suspicious |= told.state == State::Suspect;
        let Some(record) = self.records.get_mut(told.vm) else {
            return self.join(now, told);
        };
        let newer = told
            .profile
            .filter(|profile| profile.version > record.profile.version);
        if let Some(profile) = newer {
            record.profile = profile.clone();
        }
        let change = merge(now, record, told);
        match change {
            Change::Stale | Change::Known | Change::Status if newer.is_some() => Change::Profile,
            change => change,
        }
    }

    fn join(&mut self, now: Instant, told: Told<'_>) -> Change {
        let (Some(profile), State::Alive | State::Suspect) = (told.profile, told.state) else {
            return Change::Stale;
        };
        let record = Record {
            profile: profile.clone(),
            incarnation: told.incarnation,
            applied: Offset(0),
            standing: Standing {
                state: told.state,
                since: now,
            },
            doubted: None,
        };
        self.records.insert(told.vm.clone(), record);
        Change::Joined
    }

    /// The members that are held to be alive.
    pub(super) fn live(&self) -> impl Iterator<Item = &Record> {
        self.records.values().filter(|record| record.live())
    }

    /// Drops members whose suspicion has lasted for `suspicion`, and gives their names.
    pub(super) fn expire(&mut self, now: Instant, suspicion: Duration) -> Vec<Vm> {
        let mut gone = Vec::new();
        if !std::mem::take(&mut self.suspicious) {
            return gone;
        }
        let suspects = self.records.iter_mut();
        for (vm, record) in suspects.filter(|(_, r)| r.standing.state == State::Suspect) {
            if now.saturating_duration_since(record.standing.since) < suspicion {
                self.suspicious = true;
            } else {
                record.standing = Standing {
                    state: State::Gone,
                    since: now,
                };
                gone.push(vm.clone());
            }
        }
        gone
    }

    /// Members whose suspicion has lasted for half of `suspicion`.
    pub(super) fn late_suspects(&self, now: Instant, suspicion: Duration) -> Vec<Vm> {
        if !self.suspicious {
            return Vec::new();
        }
        let late = self.records.iter().filter(|(_, record)| {
            let lasted = now.saturating_duration_since(record.standing.since);
            record.standing.state == State::Suspect && lasted >= suspicion / 2
        });
        late.map(|(vm, _)| vm.clone()).collect()
    }

    /// Forgets members that have long been gone.
    pub(super) fn forget(&mut self, now: Instant) {
        let old = |record: &Record| now.saturating_duration_since(record.standing.since) >= MEMORY;
        self.records
            .retain(|_, record| record.live() || !old(record));
        let mut gone: Vec<(Instant, Vm)> = self
            .records
            .iter()
            .filter(|(_, record)| !record.live())
            .map(|(vm, record)| (record.standing.since, vm.clone()))
            .collect();
        gone.sort();
        for (_, vm) in gone.iter().take(gone.len().saturating_sub(GONE)) {
            self.records.remove(vm);
        }
    }

    /// Whether to tell a member now that it is doubted.
    pub(super) fn may_doubt(&mut self, now: Instant, vm: &Vm) -> bool {
        let Some(record) = self.records.get_mut(vm) else {
            return false;
        };
        if record.doubted.is_some_and(|at| now - at < DOUBT) {
            return false;
        }
        record.doubted = Some(now);
        true
    }

    /// Moves every suspicion later by the time for which this process stood still.
    pub(super) fn shift(&mut self, by: Duration) {
        for record in self.records.values_mut() {
            if record.standing.state == State::Suspect {
                record.standing.since += by;
            }
        }
    }
}

fn merge(now: Instant, record: &mut Record, told: Told<'_>) -> Change {
    use State::{Alive, Gone, Left, Suspect};
    if told.incarnation < record.incarnation {
        return Change::Stale;
    }
    let held = record.standing.state;
    let state = if told.incarnation > record.incarnation {
        match told.state {
            Gone => return Change::Doubt(told.incarnation),
            state => state,
        }
    } else {
        match (told.state, held) {
            (Suspect, Alive) | (Left, Alive | Suspect) => told.state,
            (Gone, Alive | Suspect) | (Alive | Suspect, Gone) => {
                return Change::Doubt(told.incarnation);
            }
            (told, held) if told == held => return Change::Known,
            _ => return Change::Stale,
        }
    };
    record.incarnation = told.incarnation;
    record.standing = Standing { state, since: now };
    Change::Status
}
