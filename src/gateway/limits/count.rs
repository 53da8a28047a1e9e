//! Counts the requests of teams against their limits, on the VM that owns the team's partition.

use crate::clock;
use crate::gateway::Gateway;
use crate::gateway::limits::stall::elapsed_between;
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

/// Asks whether a request of a team is within the team's limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Acquisition {
    pub(crate) team: String,
    /// The limit in the configuration of the asking VM.
    pub(crate) limit: Limit,
    /// Version of that configuration.
    pub(crate) version: u64,
    /// Hash of the program name.
    pub(crate) program: Option<u64>,
    /// Hash of the route name, which stands for a class of programs; `None` on routes that start no program.
    pub(crate) class: Option<u64>,
    /// How long the request may be delayed.
    pub(crate) patience_ms: u64,
}

/// Quotas of the teams of one partition, on the VM that owns it.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    /// Ownership epoch of the quotas; a new epoch starts with empty ones.
    epoch: u64,
    /// When the quotas of this epoch start with an empty bucket.
    start: Option<Instant>,
    by_team: HashMap<String, Quota>,
}

/// Maximum teams listed on the operators' state page.
const MAX_LISTED_TEAMS: usize = 20;
/// Epoch under which a VM counts teams while no VM owns their partition.
const NO_OWNER_EPOCH: u64 = 0;

impl Gateway {
    /// Answers a limit question of another VM or of this one.
    pub(crate) async fn admit_team_request(
        self: &Rc<Self>,
        partition: u64,
        acquisition: Acquisition,
        takeover: bool,
    ) -> Reply {
        let part = self.partitions.partition(partition);
        part.wait_for_handover().await;
        if part.ownership.get().is_none() {
            let refusal = self.take_ownership(partition, &part, takeover).await;
            if let Some(refusal) = refusal
                && !(takeover && self.may_count_without_owner(partition).await)
            {
                return refusal;
            }
        }
        let epoch = part.epoch();
        let share = self.grantable_share(&part).await;
        if part.epoch() != epoch {
            // Ownership of the partition changed meanwhile, so the share is outdated.
            return Reply::NotOwner;
        }
        self.check_quota(partition, &part, &acquisition, share)
    }

    /// Whether this VM may count the teams of a partition that no VM can take over.
    ///
    /// Keeps requests flowing on VMs that are cut off from the others. The tolerance of the limits allows for a few
    /// VMs that count independently.
    async fn may_count_without_owner(&self, partition: u64) -> bool {
        let owner = self.claimed_owner(partition);
        let owner = owner.filter(|other| other.vm != self.settings.vm);
        if owner.is_some_and(|other| !self.peers.is_unresponsive(other.address)) {
            return false;
        }
        if !self.reaches_majority().await {
            return true;
        }
        !self.has_store()
            && self
                .peers_reaching_store(partition, STORE_CONTACT_MAX_AGE)
                .await
                .is_empty()
    }

    fn check_quota(
        &self,
        partition: u64,
        part: &Partition,
        acquisition: &Acquisition,
        share: Share,
    ) -> Reply {
        let epoch = part.epoch().unwrap_or(NO_OWNER_EPOCH);
        let now = Instant::now();
        let limit = self.limit_of(acquisition);
        let tolerance = self.limit_tolerance();
        let mut teams = part.teams.borrow_mut();
        if teams.start.is_none() || teams.epoch != epoch {
            *teams = Quotas {
                epoch,
                start: Some(self.quota_start(part, now)),
                by_team: HashMap::new(),
            };
        }
        let start = teams.start.unwrap_or(now);
        let quota = teams.by_team.entry(acquisition.team.clone());
        let quota = quota.or_insert_with(|| Quota::new(start));
        quota.configure(now, &tolerance, limit, share);
        let request = Request {
            program: acquisition.program,
            class: acquisition.class,
            max_wait: Duration::from_millis(acquisition.patience_ms),
        };
        match quota.decide(now, &mut self.limit_state.needs.borrow_mut(), request) {
            Verdict::Granted(delay) => Reply::Admitted {
                wait_ms: millis(delay),
            },
            Verdict::Refused(retry_after) => {
                if self.sampler.should_log(&acquisition.team) {
                    event!(
                        info,
                        "limit_reached",
                        team = acquisition.team,
                        part = partition,
                        epoch = epoch,
                        per_second = limit.per_second,
                        burst = limit.burst,
                        share = format!("{share:?}"),
                        granted = quota.granted_in_window(),
                        programs = quota.active_programs(),
                        counted_ms = millis(now.saturating_duration_since(start)),
                        back_ms = millis(retry_after)
                    );
                }
                Reply::OverLimit {
                    retry_ms: millis(retry_after),
                }
            }
        }
    }

    /// When quotas of a partition that this VM owns since `now` start with an empty bucket.
    fn quota_start(&self, part: &Partition, now: Instant) -> Instant {
        let window = self.limit_tolerance().window;
        origin(part, now).grants_from(now, self.partitions.started_at, window)
    }

    /// The team's limit in the newer configuration: this VM's or the asking VM's.
    fn limit_of(&self, acquisition: &Acquisition) -> Limit {
        let world = self.routing.borrow();
        let table = world.table.as_ref();
        let table = table.filter(|table| table.version >= acquisition.version);
        let team = table.and_then(|table| table.teams.as_ref()?.by_name(&acquisition.team));
        team.and_then(|team| team.limit)
            .unwrap_or(acquisition.limit)
    }

    pub(super) fn limit_tolerance(&self) -> Tolerance {
        let limits = self.settings.limits;
        Tolerance {
            window: Duration::from_secs_f64(limits.window_s),
            excess: limits.excess,
            slack: limits.slack,
        }
    }

    /// The share of each limit that this VM may grant in a partition that it owns.
    async fn grantable_share(&self, part: &Partition) -> Share {
        self.limit_state.stall.check();
        let confirmed_ago = Self::since_confirmed(part);
        let reach = if confirmed_ago < MAX_CONFIRMATION_AGE {
            None
        } else {
            Some(self.reachability().await)
        };
        let now = Instant::now();
        let overlap_age = origin(part, now).overlap_age(now);
        let status = Status {
            confirmed_ago,
            overlap_age: overlap_age
                .into_iter()
                .chain(self.limit_state.stall.since_last_stall())
                .min(),
            reach,
        };
        status.share()
    }

    /// Time since the store last confirmed that this VM owns the partition.
    fn since_confirmed(part: &Partition) -> Duration {
        let now = (Instant::now(), clock::wall_ms());
        let confirmed = part
            .last_confirmed_write
            .get()
            .filter(|_| part.ownership.get().is_some());
        confirmed.map_or(Duration::MAX, |confirmed| elapsed_between(confirmed, now))
    }

    /// The teams with the most granted requests in the partitions of this VM, for the operators' state page.
    pub(crate) fn busiest_teams(&self) -> Vec<Value> {
        let mut teams_by_use = Vec::new();
        for (partition, part) in self.partitions.owned() {
            let teams = part.teams.borrow();
            let rows = teams.by_team.iter().map(|(name, quota)| {
                let row = json!({
                    "team": name, "partition": partition,
                    "granted_in_window": quota.granted_in_window(), "programs": quota.active_programs(),
                });
                (quota.granted_in_window(), row)
            });
            teams_by_use.extend(rows);
        }
        teams_by_use.sort_by_key(|(granted, _)| std::cmp::Reverse(*granted));
        teams_by_use.truncate(MAX_LISTED_TEAMS);
        teams_by_use.into_iter().map(|(_, row)| row).collect()
    }

    /// Detects whether this process was suspended since the last call.
    pub(crate) fn check_for_stall(&self) {
        self.limit_state.stall.check();
    }
}

/// How this VM came to own the partition.
fn origin(part: &Partition, now: Instant) -> Origin {
    // While this VM does not own the partition, an unreachable owner may still grant requests.
    let unknown_owner = Origin::Unresponsive(now);
    part.ownership
        .get()
        .map_or(unknown_owner, |hold| hold.origin)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
