//! What is remembered of one request.

use super::{ATTEMPT_LIFETIME, END_LIFETIME, EXPOSURE, News, Run, ServerHash, What};
use crate::id::ContentHash;
use tokio::time::Instant;

/// Attempts of one request that are remembered.
const MAX_ATTEMPTS: usize = 8;

/// Runs of one request at one server that are remembered.
const MAX_RUNS: usize = 4;

/// An attempt at a server without a whole answer so far, by one or more runs side by side.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub(super) server: ServerHash,
    /// Runs that are under way there, at most [`MAX_RUNS`].
    pub(super) runs: Vec<(Run, Instant)>,
    /// When a run failed there.
    pub(super) failed: Option<Instant>,
    /// Whether the server was seen to live after its exposure.
    pub(super) survived: bool,
    /// Whether it began at a time at which the request had succeeded and met no failure since. Such attempts run side by
    /// side, so that a mass failure of servers meets many: the ends under them count as one.
    pub(super) excused: bool,
}

impl Attempt {
    pub(super) fn last(&self) -> Option<Instant> {
        let newest = self.runs.iter().map(|(_, began)| *began).max();
        newest.max(self.failed)
    }

    /// Adds a run; returns whether it was unknown.
    pub(super) fn begin(&mut self, at: Instant, run: Run) -> bool {
        let known = self.runs.iter().any(|(known, _)| *known == run);
        if !known {
            if self.runs.len() >= MAX_RUNS {
                self.runs.remove(0);
            }
            self.runs.push((run, at));
            self.survived = false;
        }
        !known
    }

    /// Removes a run; returns whether it was known.
    pub(super) fn end(&mut self, run: Run) -> bool {
        let count = self.runs.len();
        self.runs.retain(|(known, _)| *known != run);
        self.runs.len() < count
    }

    pub(super) fn exposed_until(&self) -> Option<Instant> {
        self.last().map(|last| last + EXPOSURE)
    }

    pub(super) fn needs_look(&self, now: Instant) -> bool {
        let exposure_is_over = self.exposed_until().is_some_and(|until| until <= now);
        exposure_is_over && !self.survived
    }
}

/// A server that ended under a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct End {
    pub(super) server: ServerHash,
    pub(super) noticed: Instant,
    /// As [`Attempt::excused`].
    pub(super) excused: bool,
}

#[derive(Debug, Clone)]
pub(super) struct Record {
    /// At most [`MAX_ATTEMPTS`].
    pub(super) ended: Vec<End>,
    /// At most [`MAX_ATTEMPTS`].
    pub(super) attempts: Vec<Attempt>,
    /// Since when an attempt counts that may have been lost with all VMs.
    pub(super) lost: Option<Instant>,
    pub(super) succeeded: Option<Instant>,
    /// Whether the success excused a failure. Then other VMs may not know of it.
    pub(super) has_excused: bool,
    pub(super) last: Instant,
}

impl Record {
    pub(super) const fn new(at: Instant) -> Self {
        Self {
            ended: Vec::new(),
            attempts: Vec::new(),
            lost: None,
            succeeded: None,
            has_excused: false,
            last: at,
        }
    }

    /// Position in the order in which records are dropped.
    pub(super) fn drop_key(&self, content: ContentHash) -> (usize, Instant, ContentHash) {
        let weight = self.count_ended() * (MAX_ATTEMPTS + 1) + self.attempts.len();
        let weight = weight + usize::from(self.has_excused);
        (weight, self.last, content)
    }

    pub(super) fn expires(&self) -> Instant {
        let last = self.last + ATTEMPT_LIFETIME;
        let ends = self.ended.iter().map(|end| end.noticed + END_LIFETIME);
        ends.fold(last, Instant::max)
    }

    pub(super) fn has_ended(&self, server: ServerHash) -> bool {
        self.ended.iter().any(|end| end.server == server)
    }

    /// Servers that ended, those under excused attempts as one, and that of an attempt that may have been lost.
    pub(super) fn count_ended(&self) -> usize {
        let excused = self.ended.iter().filter(|end| end.excused).count();
        self.ended.len() - excused.saturating_sub(1) + usize::from(self.lost.is_some())
    }

    /// Whether the request has failed, or servers ended under it, since it succeeded last.
    pub(super) fn is_suspect(&self) -> bool {
        let failed = |attempt: &Attempt| attempt.failed.is_some();
        !self.ended.is_empty() || self.attempts.iter().any(failed)
    }

    /// Whether the request has succeeded and met no failure since.
    pub(super) fn is_proven(&self) -> bool {
        self.succeeded.is_some() && !self.is_suspect()
    }

    pub(super) fn has_attempt(&self, server: ServerHash) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| attempt.server == server)
    }

    /// Whether the end of this server counts: an attempt there failed, or nobody told in its time how it ended.
    pub(super) fn counts_end_of(&self, now: Instant, server: ServerHash) -> bool {
        self.attempts.iter().any(|attempt| {
            let is_over = attempt.exposed_until().is_some_and(|until| until <= now);
            attempt.server == server && (attempt.failed.is_some() || is_over)
        })
    }

    pub(super) fn attempt(&mut self, server: ServerHash) -> Option<&mut Attempt> {
        self.attempts
            .iter_mut()
            .find(|attempt| attempt.server == server)
    }

    pub(super) fn attempt_or_new(&mut self, server: ServerHash) -> &mut Attempt {
        let known = self
            .attempts
            .iter()
            .position(|known| known.server == server);
        let index = known.unwrap_or_else(|| {
            if self.attempts.len() >= MAX_ATTEMPTS {
                let oldest = self.attempts.iter().enumerate();
                let oldest = oldest.min_by_key(|(_, attempt)| attempt.last());
                let oldest = oldest.map_or(0, |(index, _)| index);
                self.attempts.remove(oldest);
            }
            let excused = self.is_proven();
            self.attempts.push(Attempt {
                server,
                runs: Vec::with_capacity(1),
                failed: None,
                survived: false,
                excused,
            });
            self.attempts.len() - 1
        });
        &mut self.attempts[index]
    }

    pub(super) fn drop_attempt(&mut self, server: ServerHash) {
        self.attempts.retain(|attempt| attempt.server != server);
    }

    pub(super) fn has_failed(&mut self, server: ServerHash) -> bool {
        let attempt = self.attempt(server);
        attempt.is_some_and(|attempt| attempt.failed.is_some())
    }

    /// Removes a run that has not run or has a whole answer. Returns whether it was known.
    pub(super) fn end_run(&mut self, server: ServerHash, run: Run, answered: bool) -> bool {
        let Some(attempt) = self.attempt(server) else {
            return false;
        };
        let was_known = attempt.end(run) || answered && attempt.failed.is_some();
        if answered {
            attempt.failed = None;
        }
        self.attempts.retain(|attempt| attempt.last().is_some());
        was_known
    }

    /// Records a failed run; returns whether it is excused.
    pub(super) fn fail(
        &mut self,
        at: Instant,
        server: ServerHash,
        run: Run,
        excused: bool,
    ) -> bool {
        let attempt = self.attempt_or_new(server);
        attempt.excused |= excused;
        attempt.end(run);
        attempt.failed = attempt.failed.max(Some(at));
        attempt.survived = false;
        attempt.excused
    }

    /// Counts an end, unless it is known; returns whether it is excused.
    pub(super) fn add_end(
        &mut self,
        noticed: Instant,
        server: ServerHash,
        excused: bool,
    ) -> Option<bool> {
        let attempt = self.attempt(server);
        let excused = excused || attempt.is_some_and(|attempt| attempt.excused);
        self.drop_attempt(server);
        if self.has_ended(server) || self.ended.len() >= MAX_ATTEMPTS {
            return None;
        }
        self.ended.push(End {
            server,
            noticed,
            excused,
        });
        Some(excused)
    }

    pub(super) fn succeed(&mut self, at: Instant, server: ServerHash, run: Run) {
        self.has_excused |= self.is_suspect();
        self.end_run(server, run, true);
        self.succeeded = self.succeeded.max(Some(at));
        self.ended.retain(|end| end.noticed > at);
        self.lost = self.lost.filter(|lost| *lost > at);
        for attempt in &mut self.attempts {
            attempt.failed = attempt.failed.filter(|failed| *failed > at);
            // What is under way began before the success, and may yet meet the failure that it excuses.
            attempt.excused |= attempt.runs.iter().any(|(_, began)| *began <= at);
        }
        self.attempts.retain(|attempt| attempt.last().is_some());
    }

    /// The exposed servers, those under excused attempts as one.
    pub(super) fn exposed(&self, now: Instant) -> Vec<&Attempt> {
        let exposed = |attempt: &&Attempt| attempt.exposed_until().is_some_and(|until| until > now);
        let mut mass_failure = self.ended.iter().any(|end| end.excused);
        let attempts = self.attempts.iter().filter(exposed);
        attempts
            .filter(|attempt| !attempt.excused || !std::mem::replace(&mut mass_failure, true))
            .collect()
    }

    /// What to tell another VM, which may know nothing of the request.
    pub(super) fn describe(
        &self,
        now: Instant,
        content: ContentHash,
    ) -> impl Iterator<Item = News> {
        let excusing = self.succeeded.filter(|_| self.has_excused);
        let succeeded = excusing.map(|at| (0, 0, What::Succeeded, false, at));
        let lost = self.lost.map(|at| (0, 0, What::Lost, false, at));
        let ended = self.ended.iter();
        let ended = ended.map(|end| (end.server, 0, What::Ended, end.excused, end.noticed));
        let attempts = self.attempts.iter().flat_map(|attempt| {
            let Attempt {
                server, excused, ..
            } = *attempt;
            let failed = attempt
                .failed
                .map(|at| (server, 0, What::Failed, excused, at));
            let runs = attempt.runs.iter();
            let began = runs.map(move |(run, at)| (server, *run, What::Began, excused, *at));
            failed.into_iter().chain(began)
        });
        let all = succeeded.into_iter().chain(lost).chain(ended);
        let all = all.chain(attempts);
        all.map(move |(server, run, what, excused, at)| {
            let age = now.saturating_duration_since(at).as_millis();
            News {
                content,
                server,
                run,
                what,
                excused,
                age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            }
        })
    }
}
