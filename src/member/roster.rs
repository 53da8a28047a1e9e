//! Records of all known members, and the merging of reports about them.

use super::wire::{Profile, State, Update};
use crate::id::{Incarnation, Offset, Vm};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// How long a gone member is remembered and still contacted, in case a network partition heals.
const GONE_RETENTION: Duration = Duration::from_hours(1);
const MAX_GONE_MEMBERS: usize = 1024;
/// Least time between two messages telling a member that it is suspected.
const REFUTE_REQUEST_INTERVAL: Duration = Duration::from_millis(300);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Status {
    pub(super) state: State,
    pub(super) since: Instant,
}

#[derive(Debug, Clone)]
pub(super) struct Record {
    pub(super) profile: Profile,
    pub(super) incarnation: Incarnation,
    pub(super) applied: Offset,
    pub(super) status: Status,
    pub(super) refutation_requested_at: Option<Instant>,
}

impl Record {
    pub(super) fn is_live(&self) -> bool {
        matches!(self.status.state, State::Alive | State::Suspect)
    }

    pub(super) fn profile_update(&self) -> Update {
        Update::Profile {
            profile: self.profile.clone(),
            incarnation: self.incarnation,
            state: self.status.state,
            applied: self.applied,
        }
    }

    pub(super) fn status_update(&self) -> Update {
        Update::Status {
            vm: self.profile.vm.clone(),
            incarnation: self.incarnation,
            state: self.status.state,
        }
    }
}

/// A received statement about a member: from its own header, a gossiped update or an introduction.
#[derive(Debug, Clone, Copy)]
pub(super) struct Report<'a> {
    pub(super) vm: &'a Vm,
    pub(super) incarnation: Incarnation,
    pub(super) state: State,
    pub(super) profile: Option<&'a Profile>,
}

/// Effect of merging a report, a shard claim or a draining notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Change {
    /// No effect: it is older than what is known, or can't be used.
    Stale,
    /// No effect: it agrees with what is known.
    Known,
    /// The state or the incarnation of the member changed, or the claim or notice was replaced.
    Status,
    /// The profile of the member changed, and perhaps its state too.
    Profile,
    /// The member, claim or notice was not known before.
    Joined,
    /// No effect yet: one side considers the member alive and the other gone. The member has to
    /// settle this with an incarnation above the given one.
    Conflict(Incarnation),
}

/// Records of all known members, including this VM.
#[derive(Debug, Default)]
pub(super) struct Roster {
    pub(super) records: BTreeMap<Vm, Record>,
    /// False if no member is suspected, which saves scanning all records on each tick.
    pub(super) may_have_suspects: bool,
}

impl Roster {
    /// Merges a report about a member.
    ///
    /// Each VM concludes by itself that a member is gone, after a suspicion that the member had time
    /// to refute, and never takes that state from another VM. Otherwise, when a network partition
    /// heals, each side would remove the live members of the other and claim their shards.
    pub(super) fn apply(&mut self, now: Instant, report: Report<'_>) -> Change {
        self.may_have_suspects |= report.state == State::Suspect;
        let Some(record) = self.records.get_mut(report.vm) else {
            return self.insert_new(now, report);
        };
        let newer = report
            .profile
            .filter(|profile| profile.version > record.profile.version);
        if let Some(profile) = newer {
            record.profile = profile.clone();
        }
        let change = merge(now, record, report);
        match change {
            Change::Stale | Change::Known | Change::Status if newer.is_some() => Change::Profile,
            change => change,
        }
    }

    fn insert_new(&mut self, now: Instant, report: Report<'_>) -> Change {
        let (Some(profile), State::Alive | State::Suspect) = (report.profile, report.state) else {
            return Change::Stale;
        };
        let record = Record {
            profile: profile.clone(),
            incarnation: report.incarnation,
            applied: Offset(0),
            status: Status {
                state: report.state,
                since: now,
            },
            refutation_requested_at: None,
        };
        self.records.insert(report.vm.clone(), record);
        Change::Joined
    }

    /// Alive and suspected members.
    pub(super) fn live(&self) -> impl Iterator<Item = &Record> {
        self.records.values().filter(|record| record.is_live())
    }

    /// Marks members as gone that have been suspected for `timeout`, and returns them.
    pub(super) fn expire_suspects(&mut self, now: Instant, timeout: Duration) -> Vec<Vm> {
        let mut gone = Vec::new();
        if !std::mem::take(&mut self.may_have_suspects) {
            return gone;
        }
        let suspects = self.records.iter_mut();
        for (vm, record) in suspects.filter(|(_, r)| r.status.state == State::Suspect) {
            if now.saturating_duration_since(record.status.since) < timeout {
                self.may_have_suspects = true;
            } else {
                record.status = Status {
                    state: State::Gone,
                    since: now,
                };
                gone.push(vm.clone());
            }
        }
        gone
    }

    /// Members that have been suspected for at least half of `timeout`.
    pub(super) fn late_suspects(&self, now: Instant, timeout: Duration) -> Vec<Vm> {
        if !self.may_have_suspects {
            return Vec::new();
        }
        let late = self.records.iter().filter(|(_, record)| {
            let suspected_for = now.saturating_duration_since(record.status.since);
            record.status.state == State::Suspect && suspected_for >= timeout / 2
        });
        late.map(|(vm, _)| vm.clone()).collect()
    }

    /// Removes records of members that have been gone for long, and the oldest ones above the limit.
    pub(super) fn remove_old(&mut self, now: Instant) {
        let is_old =
            |record: &Record| now.saturating_duration_since(record.status.since) >= GONE_RETENTION;
        self.records
            .retain(|_, record| record.is_live() || !is_old(record));
        let mut gone: Vec<(Instant, Vm)> = self
            .records
            .iter()
            .filter(|(_, record)| !record.is_live())
            .map(|(vm, record)| (record.status.since, vm.clone()))
            .collect();
        gone.sort();
        for (_, vm) in gone
            .iter()
            .take(gone.len().saturating_sub(MAX_GONE_MEMBERS))
        {
            self.records.remove(vm);
        }
    }

    /// Rate limit of messages that tell a member that it is suspected.
    pub(super) fn may_request_refutation(&mut self, now: Instant, vm: &Vm) -> bool {
        let Some(record) = self.records.get_mut(vm) else {
            return false;
        };
        if record
            .refutation_requested_at
            .is_some_and(|at| now - at < REFUTE_REQUEST_INTERVAL)
        {
            return false;
        }
        record.refutation_requested_at = Some(now);
        true
    }

    /// Extends all suspicions by the time for which this process was suspended.
    pub(super) fn postpone_suspicions(&mut self, stall: Duration) {
        for record in self.records.values_mut() {
            if record.status.state == State::Suspect {
                record.status.since += stall;
            }
        }
    }
}

fn merge(now: Instant, record: &mut Record, report: Report<'_>) -> Change {
    use State::{Alive, Gone, Left, Suspect};
    if report.incarnation < record.incarnation {
        return Change::Stale;
    }
    let known = record.status.state;
    let state = if report.incarnation > record.incarnation {
        match report.state {
            Gone => return Change::Conflict(report.incarnation),
            state => state,
        }
    } else {
        match (report.state, known) {
            (Suspect, Alive) | (Left, Alive | Suspect) => report.state,
            (Gone, Alive | Suspect) | (Alive | Suspect, Gone) => {
                return Change::Conflict(report.incarnation);
            }
            (reported, known) if reported == known => return Change::Known,
            _ => return Change::Stale,
        }
    };
    record.incarnation = report.incarnation;
    record.status = Status { state, since: now };
    Change::Status
}
