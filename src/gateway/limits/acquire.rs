//! Checks a request against its team limit, at the VM that owns the team's partition.

use crate::code::{Code, Failure};
use crate::gateway::Gateway;
use crate::gateway::limits::count::Acquisition;
use crate::gateway::peers::{Question, Reply};
use crate::gateway::world::team::Team;
use crate::policy::quota::Request;
use std::rc::Rc;
use std::time::Duration;

/// `Retry-After` while no VM owns the team's partition; a takeover is complete within that time.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_millis(500);

impl Gateway {
    /// Counts a request against its team's limit; returns the delay before it may be sent.
    ///
    /// # Errors
    /// [`Code::LimitReached`] if the team has used up its limit; [`Code::LogUnavailable`] if no VM can check
    /// the limit now.
    pub(crate) async fn acquire_from_limit(
        self: &Rc<Self>,
        team: &Team,
        version: u64,
        request: Request,
    ) -> Result<Duration, Failure> {
        let Some(limit) = team.limit else {
            return Ok(Duration::ZERO);
        };
        let part = self.partitions.partition_of(&format!("team/{}", team.name));
        let acquisition = Acquisition {
            team: team.name.to_string(),
            limit,
            version,
            program: request.program,
            class: request.class,
            patience_ms: u64::try_from(request.max_wait.as_millis()).unwrap_or(u64::MAX),
        };
        let question = |takeover| Question::Take {
            part,
            take: acquisition.clone(),
            takeover,
        };
        match self.ask_owner(part, question).await {
            Some((Reply::Admitted { wait_ms }, _)) => Ok(Duration::from_millis(wait_ms)),
            Some((Reply::OverLimit { retry_ms }, _)) => {
                self.metrics.count_limit_refusal(&team.name);
                let failure =
                    Failure::refused(Code::LimitReached, "the team has used up its request limit");
                Err(failure.retry_after(Duration::from_millis(retry_ms)))
            }
            _ => {
                let failure = Failure::refused(
                    Code::LogUnavailable,
                    "no VM can check the limit of the team now",
                );
                Err(failure.retry_after(NO_OWNER_RETRY_AFTER))
            }
        }
    }
}
