//! What the policy is told of the programs of this owner, and what it answers.

use super::duty::Owner;
use crate::clock::wall_ms;
use crate::code::{Code, Failure};
use crate::config;
use crate::id;
use crate::policy::forecast::{Start, Urgency};
use crate::program::{Answer, Program};
use std::time::Duration;
use tokio::time::Instant;

/// Programs that the forecast may know beside those that are open.
const STALE: usize = 64;

impl Owner {
    /// Refuses a program that could not make its target, at once and with a time to come back.
    pub(super) fn gate(&self, class: &id::Class, open: usize) -> Result<(), Failure> {
        let start = self.fresh(class)?;
        self.forget_gone(open);
        // Each owner promises an equal share of the engines: no VM knows the programs of all.
        let members = self.context.view.borrow().members.len().max(1);
        let admitted =
            self.forecast
                .borrow_mut()
                .admit(Instant::now(), &start, 1.0 / members as f64);
        admitted.map_err(|wait| {
            let message = "the engines are taken by programs that came before";
            Failure::refused(Code::Overloaded, message).retry_after(wait)
        })
    }

    /// Notes that a program of this class has been opened.
    pub(super) fn opened_program(&self, program: id::Program, class: &id::Class) {
        if let Ok(start) = self.fresh(class) {
            let now = Instant::now();
            self.forecast.borrow_mut().start(now, program, start);
        }
    }

    /// How urgent the next call of a program is.
    pub(super) fn urgency(&self, program: &Program, class: &config::Class) -> Urgency {
        let now = Instant::now();
        let mut forecast = self.forecast.borrow_mut();
        if !forecast.contains(program.id) {
            forecast.start(now, program.id, met(now, program, class));
        }
        forecast.urgency(now, program.id).unwrap_or(Urgency {
            slack_ms: 0,
            remaining_ms: 0,
        })
    }

    fn fresh(&self, class: &id::Class) -> Result<Start, Failure> {
        let config = self.context.config.borrow();
        let found = config.class(class)?;
        let target = Duration::from_millis(found.target_ms);
        Ok(Start {
            class: class.clone(),
            parent: None,
            target,
            deadline: Instant::now() + target,
            waiting: found.waiting,
            answers: 0,
        })
    }

    /// Drops what is known of programs whose shard another VM has now.
    fn forget_gone(&self, open: usize) {
        let mut forecast = self.forecast.borrow_mut();
        if forecast.len() <= open + STALE {
            return;
        }
        let shards = self.shards.borrow();
        forecast.retain(|program| {
            let held = shards.get(&program.shard());
            held.and_then(|held| held.table.get(program).ok())
                .is_some_and(|program| !program.is_ended())
        });
    }
}

/// A program that this owner meets for the first time: after a takeover, or just spawned.
fn met(now: Instant, program: &Program, class: &config::Class) -> Start {
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
