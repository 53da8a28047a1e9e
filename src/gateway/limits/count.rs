//! Counts the requests of teams for the VMs that ask.

use crate::clock;
use crate::gateway::Gateway;
use crate::gateway::limits::stall::since;
use crate::gateway::peers::Reply;
use crate::gateway::tokens::part::Part;
use crate::gateway::world::team::Limit;
use crate::policy::limit::{Bound, Share};
use crate::policy::quota::{Quota, Request, Verdict};
use crate::policy::trust::{DOUBT, Standing};
use crate::telemetry::event;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// May a request of a team go?
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Take {
    pub(crate) team: String,
    /// The limit as the asking VM knows it, and the version of its configuration.
    pub(crate) limit: (f64, f64),
    pub(crate) version: u64,
    /// The program, by a hash.
    pub(crate) program: Option<u64>,
    /// The class of programs that its route tells of, by a hash.
    pub(crate) class: Option<u64>,
    pub(crate) patience_ms: u64,
}

/// The teams of one partition, as long as this VM counts it.
#[derive(Debug, Default)]
pub(crate) struct Teams {
    /// The epoch under which it counts them; what was granted under another one is not known.
    epoch: u64,
    since: Option<Instant>,
    quotas: HashMap<String, Quota>,
}

impl Gateway {
    /// Answers another VM, or this one, whether a request of a team may go.
    pub(crate) async fn take_of_team(
        self: &Rc<Self>,
        number: u64,
        take: Take,
        takeover: bool,
    ) -> Reply {
        let part = self.keeper.part(number);
        part.settled().await;
        if part.hold.get().is_none()
            && let Some(refusal) = self.begin_to_count(number, &part, takeover).await
        {
            return refusal;
        }
        let Some(hold) = part.hold.get() else {
            return Reply::NotOwner;
        };
        let now = Instant::now();
        let share = self.share(&part);
        let limit = self.limit_of(&take);
        let mut teams = part.teams.borrow_mut();
        if teams.epoch != hold.epoch || teams.since.is_none() {
            *teams = Teams {
                epoch: hold.epoch,
                since: Some(now),
                quotas: HashMap::new(),
            };
        }
        let began = teams.since.unwrap_or(now);
        let quota = teams.quotas.entry(take.team.clone());
        let quota = quota.or_insert_with(|| Quota::new(began));
        quota.set(now, &self.limit_bound(), limit, share);
        let request = Request {
            program: take.program,
            class: take.class,
            patience: Duration::from_millis(take.patience_ms),
        };
        match quota.ask(now, &mut self.limits.needs.borrow_mut(), request) {
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
                        epoch = hold.epoch,
                        per_second = limit.per_second,
                        burst = limit.burst,
                        share = format!("{share:?}"),
                        granted = quota.granted(),
                        programs = quota.programs(),
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

    /// The limit of a team, by the newer one of two configurations.
    fn limit_of(&self, take: &Take) -> Limit {
        let (per_second, burst) = take.limit;
        let asked = Limit { per_second, burst };
        let world = self.world.borrow();
        let table = world.table.as_ref();
        let table = table.filter(|table| table.version >= take.version);
        let team = table.and_then(|table| table.teams.as_ref()?.named(&take.team));
        team.and_then(|team| team.limit).unwrap_or(asked)
    }

    pub(super) fn limit_bound(&self) -> Bound {
        let limits = self.settings.limits;
        Bound {
            window: Duration::from_secs_f64(limits.window_s),
            excess: limits.excess,
            slack: limits.slack,
        }
    }

    /// How much of each limit this VM may grant of a partition that it counts.
    fn share(&self, part: &Part) -> Share {
        self.limits.stall.look();
        let now = (Instant::now(), clock::wall_ms());
        let confirmed = part.confirmed.get();
        let view = self.view.borrow();
        let heard = view.members.values().filter(|member| !member.suspect);
        let doubted = part.doubted.get().map(|doubted| doubted.elapsed());
        let standing = Standing {
            confirmed: confirmed.map_or(DOUBT, |confirmed| since(confirmed, now)),
            doubted: doubted.into_iter().chain(self.limits.stall.ago()).min(),
            heard: heard.count(),
            known: self.census.known(),
        };
        standing.share()
    }

    /// Notices whether this VM stood still.
    pub(crate) fn look_at_clocks(&self) {
        self.limits.stall.look();
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
