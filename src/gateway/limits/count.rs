//! Counts the requests of teams for the VMs that ask.

use crate::clock;
use crate::gateway::Gateway;
use crate::gateway::limits::stall::since;
use crate::gateway::peers::Reply;
use crate::gateway::tokens::failover::STORE_CONTACT_MAX_AGE;
use crate::gateway::tokens::partition::Partition;
use crate::policy::limit::{Limit, Share, Tolerance};
use crate::policy::quota::{Quota, Request, Verdict};
use crate::policy::share::{MAX_CONFIRMATION_AGE, Origin, Status};
use crate::telemetry::event;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// May a request of a team go?
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Take {
    pub(crate) team: String,
    /// The limit as the asking VM knows it, and the version of its configuration.
    pub(crate) limit: Limit,
    pub(crate) version: u64,
    /// The program, by a hash.
    pub(crate) program: Option<u64>,
    /// The class of programs that its route tells of, by a hash.
    pub(crate) class: Option<u64>,
    pub(crate) patience_ms: u64,
}

/// The teams of one partition, as long as this VM counts it.
#[derive(Debug, Default)]
pub(crate) struct Counted {
    /// The epoch under which it counts them; what was granted under another one is not known.
    epoch: u64,
    since: Option<Instant>,
    quotas: HashMap<String, Quota>,
}

/// Teams that a person is shown.
const SHOWN: usize = 20;
/// The epoch of a VM that counts teams while nobody has their partition.
const STANDING_IN: u64 = 0;

impl Gateway {
    /// Answers another VM, or this one, whether a request of a team may go.
    pub(crate) async fn take_of_team(
        self: &Rc<Self>,
        number: u64,
        take: Take,
        takeover: bool,
    ) -> Reply {
        let part = self.keeper.partition(number);
        part.wait_for_handover().await;
        if part.ownership.get().is_none() {
            let refusal = self.take_ownership(number, &part, takeover).await;
            if let Some(refusal) = refusal
                && !(takeover && self.stands_in(number).await)
            {
                return refusal;
            }
        }
        let epoch = part.epoch();
        let share = self.share(&part).await;
        if part.epoch() != epoch {
            // It was shut out meanwhile, and the share is another one's.
            return Reply::NotOwner;
        }
        self.grant(number, &part, &take, share)
    }

    /// Whether this VM counts the teams of a partition that nobody can take.
    ///
    /// With a third of the VMs cut off, tools of programs that came through them were refused for as long as that
    /// lasted, though limits allow for some counters that know nothing of each other.
    async fn stands_in(&self, number: u64) -> bool {
        let counted = self.claimed_owner(number);
        let counted = counted.filter(|other| other.vm != self.settings.vm);
        if counted.is_some_and(|other| !self.peers.is_silent(other.address)) {
            return false;
        }
        if !self.reaches_most().await {
            return true;
        }
        !self.has_store()
            && self
                .peers_reaching_store(number, STORE_CONTACT_MAX_AGE)
                .await
                .is_empty()
    }

    fn grant(&self, number: u64, part: &Partition, take: &Take, share: Share) -> Reply {
        let epoch = part.epoch().unwrap_or(STANDING_IN);
        let now = Instant::now();
        let limit = self.limit_of(take);
        let bound = self.limit_bound();
        let mut teams = part.teams.borrow_mut();
        if teams.since.is_none() || teams.epoch != epoch {
            *teams = Counted {
                epoch,
                since: Some(self.begins_to_grant(part, now)),
                quotas: HashMap::new(),
            };
        }
        let began = teams.since.unwrap_or(now);
        let quota = teams.quotas.entry(take.team.clone());
        let quota = quota.or_insert_with(|| Quota::new(began));
        quota.configure(now, &bound, limit, share);
        let request = Request {
            program: take.program,
            class: take.class,
            max_wait: Duration::from_millis(take.patience_ms),
        };
        match quota.decide(now, &mut self.counting.needs.borrow_mut(), request) {
            Verdict::Granted(wait) => Reply::Admitted {
                wait_ms: millis(wait),
            },
            Verdict::Refused(back) => {
                if self.sampler.takes(&take.team) {
                    event!(
                        info,
                        "limit_reached",
                        team = take.team,
                        part = number,
                        epoch = epoch,
                        per_second = limit.per_second,
                        burst = limit.burst,
                        share = format!("{share:?}"),
                        granted = quota.granted_in_window(),
                        programs = quota.active_programs(),
                        counted_ms = millis(now.saturating_duration_since(began)),
                        back_ms = millis(back)
                    );
                }
                Reply::OverLimit {
                    retry_ms: millis(back),
                }
            }
        }
    }

    /// When this VM begins to grant requests of a partition that it counts since `now`.
    fn begins_to_grant(&self, part: &Partition, now: Instant) -> Instant {
        let window = self.limit_bound().window;
        origin(part, now).grants_from(now, self.keeper.started_at, window)
    }

    /// The limit of a team, by the newer one of two configurations.
    fn limit_of(&self, take: &Take) -> Limit {
        let world = self.world.borrow();
        let table = world.table.as_ref();
        let table = table.filter(|table| table.version >= take.version);
        let team = table.and_then(|table| table.teams.as_ref()?.by_name(&take.team));
        team.and_then(|team| team.limit).unwrap_or(take.limit)
    }

    pub(super) fn limit_bound(&self) -> Tolerance {
        let limits = self.settings.limits;
        Tolerance {
            window: Duration::from_secs_f64(limits.window_s),
            excess: limits.excess,
            slack: limits.slack,
        }
    }

    /// How much of each limit this VM may grant of a partition that it counts.
    async fn share(&self, part: &Partition) -> Share {
        self.counting.stall.look();
        let confirmed_ago = Self::confirmed_ago(part);
        let reach = if confirmed_ago < MAX_CONFIRMATION_AGE {
            None
        } else {
            Some(self.reach().await)
        };
        let now = Instant::now();
        let overlap_age = origin(part, now).overlap_age(now);
        let status = Status {
            confirmed_ago,
            overlap_age: overlap_age
                .into_iter()
                .chain(self.counting.stall.ago())
                .min(),
            reach,
        };
        status.share()
    }

    /// How long ago the store last confirmed that this VM has a partition.
    fn confirmed_ago(part: &Partition) -> Duration {
        let now = (Instant::now(), clock::wall_ms());
        let confirmed = part
            .last_confirmed_write
            .get()
            .filter(|_| part.ownership.get().is_some());
        confirmed.map_or(Duration::MAX, |confirmed| since(confirmed, now))
    }

    /// The teams that this VM counts and that used most lately, for a person.
    pub(crate) fn counted_teams(&self) -> Vec<Value> {
        let mut counted = Vec::new();
        for (number, part) in self.keeper.owned() {
            let teams = part.teams.borrow();
            let rows = teams.quotas.iter().map(|(name, quota)| {
                let row = json!({
                    "team": name, "partition": number,
                    "granted_in_window": quota.granted_in_window(), "programs": quota.active_programs(),
                });
                (quota.granted_in_window(), row)
            });
            counted.extend(rows);
        }
        counted.sort_by_key(|(granted, _)| std::cmp::Reverse(*granted));
        counted.truncate(SHOWN);
        counted.into_iter().map(|(_, row)| row).collect()
    }

    /// Notices whether this VM stood still.
    pub(crate) fn look_at_clocks(&self) {
        self.counting.stall.look();
    }
}

/// How this VM came by what it counts.
fn origin(part: &Partition, now: Instant) -> Origin {
    // Nobody can take a partition that is counted without a hold, and whoever has it may live unseen.
    let unseen = Origin::Unresponsive(now);
    part.ownership.get().map_or(unseen, |hold| hold.origin)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
