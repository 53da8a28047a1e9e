//! Asks the VM that counts a team whether a request may go.

use crate::code::{Code, Failure};
use crate::gateway::Gateway;
use crate::gateway::limits::count::Take;
use crate::gateway::peers::{Question, Reply};
use crate::gateway::world::team::Team;
use crate::policy::quota::Request;
use std::rc::Rc;
use std::time::Duration;

/// When a caller may come back whose team nobody can count now: a partition is taken over within that time.
const COME_BACK: Duration = Duration::from_millis(500);

impl Gateway {
    /// Asks whether a request of a team may go; gives how long it has to wait before it is sent.
    ///
    /// # Errors
    /// [`Code::LimitReached`] where the team has used up its limit; [`Code::LogUnavailable`] where nobody can
    /// tell now.
    pub(crate) async fn take_from_limit(
        self: &Rc<Self>,
        team: &Team,
        version: u64,
        request: Request,
    ) -> Result<Duration, Failure> {
        let Some(limit) = team.limit else {
            return Ok(Duration::ZERO);
        };
        let part = self.keeper.partition_of(&format!("team/{}", team.name));
        let take = Take {
            team: team.name.to_string(),
            limit,
            version,
            program: request.program,
            class: request.class,
            patience_ms: u64::try_from(request.max_wait.as_millis()).unwrap_or(u64::MAX),
        };
        let question = |takeover| Question::Take {
            part,
            take: take.clone(),
            takeover,
        };
        match self.ask_owner(part, question).await {
            Some((Reply::Admitted { wait_ms }, _)) => Ok(Duration::from_millis(wait_ms)),
            Some((Reply::OverLimit { retry_ms }, _)) => {
                self.metrics.over_limit(&team.name);
                let failure =
                    Failure::refused(Code::LimitReached, "the limit of the team is used up");
                Err(failure.retry_after(Duration::from_millis(retry_ms)))
            }
            _ => {
                let failure =
                    Failure::refused(Code::LogUnavailable, "nobody can count the team's requests");
                Err(failure.retry_after(COME_BACK))
            }
        }
    }
}
