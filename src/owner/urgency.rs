//! Admission of new programs, and urgency of calls, from the forecast of the pool.

use super::duty::Owner;
use crate::clock::wall_ms;
use crate::code::{Code, Failure};
use crate::config;
use crate::id;
use crate::policy::forecast::{Start, Urgency};
use crate::program::{Answer, Program};
use std::time::Duration;
use tokio::time::Instant;

/// Programs that the forecast may track beyond the open ones before it is cleaned up.
const MAX_STALE_PROGRAMS: usize = 64;

impl Owner {
    /// Refuses a new program that would miss its target, with a time after which to retry.
    pub(super) fn check_admission(
        &self,
        class: &id::Class,
        open_count: usize,
    ) -> Result<(), Failure> {
        let start = self.new_start(class)?;
        self.remove_stale(open_count);
        // Each owner admits for an equal share of the engines, since no VM knows the programs of all owners.
        let members = self.context.view.borrow().members.len().max(1);
        let admitted =
            self.forecast
                .borrow_mut()
                .admit(Instant::now(), &start, 1.0 / members as f64);
        admitted.map_err(|wait| {
            let message = "the capacity of the engines is taken by programs admitted earlier";
            Failure::refused(Code::Overloaded, message).retry_after(wait)
        })
    }

    pub(super) fn record_opened(&self, program: id::Program, class: &id::Class) {
        if let Ok(start) = self.new_start(class) {
            let now = Instant::now();
            self.forecast.borrow_mut().start(now, program, start);
        }
    }

    /// Urgency of the next call of a program.
    pub(super) fn urgency(&self, program: &Program, class: &config::Class) -> Urgency {
        let now = Instant::now();
        let mut forecast = self.forecast.borrow_mut();
        if !forecast.contains(program.id) {
            forecast.start(now, program.id, resumed(now, program, class));
        }
        forecast.urgency(now, program.id).unwrap_or(Urgency {
            slack_ms: 0,
            remaining_ms: 0,
        })
    }

    fn new_start(&self, class: &id::Class) -> Result<Start, Failure> {
        let config = self.context.config.borrow();
        let config_class = config.class(class)?;
        let target = Duration::from_millis(config_class.target_ms);
        Ok(Start {
            class: class.clone(),
            parent: None,
            target,
            deadline: Instant::now() + target,
            waiting: config_class.waiting,
            answers: 0,
        })
    }

    /// Removes programs from the forecast that ended or whose shard moved to another VM.
    fn remove_stale(&self, open_count: usize) {
        let mut forecast = self.forecast.borrow_mut();
        if forecast.len() <= open_count + MAX_STALE_PROGRAMS {
            return;
        }
        let shards = self.shards.borrow();
        forecast.retain(|program| {
            let state = shards.get(&program.shard());
            state
                .and_then(|state| state.table.get(program).ok())
                .is_some_and(|program| !program.is_ended())
        });
    }
}

/// Start of a program that this owner did not open: taken over, or just spawned.
fn resumed(now: Instant, program: &Program, class: &config::Class) -> Start {
    let target = Duration::from_millis(class.target_ms);
    let elapsed = Duration::from_millis(wall_ms().saturating_sub(program.opened_ms));
    let opened = now.checked_sub(elapsed).unwrap_or(now);
    let answers = program.answered.iter();
    let answers = answers.filter(|kept| matches!(kept.answer, Answer::Model { .. }));
    Start {
        class: program.class.clone(),
        parent: program.parent,
        target,
        deadline: opened + target,
        waiting: class.waiting,
        answers: answers.count(),
    }
}
