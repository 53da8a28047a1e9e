//! Programs of one shard, built by applying the valid records of its stream in order.

use super::state::{Program, Reservation};
use super::types::{Answer, Budget};
use crate::code::{Code, Failure};
use crate::id::{self, Call, Class, Digest, Tokens};
use crate::journal::Body;
use std::collections::{BTreeMap, BTreeSet};

/// Programs of one shard, by id and by the key that opened them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    programs: BTreeMap<id::Program, Program>,
    ids_by_key: BTreeMap<String, id::Program>,
    // Programs whose earlier records were trimmed from the log. A later checkpoint record
    // restores them.
    incomplete: BTreeSet<id::Program>,
}

impl Table {
    /// Looks up a program by id.
    ///
    /// # Errors
    /// [`Code::HistoryGap`] if records of the program are missing from the log,
    /// [`Code::UnknownProgram`] if no such program exists.
    pub fn get(&self, id: id::Program) -> Result<&Program, Failure> {
        if self.incomplete.contains(&id) {
            let message = format!("records of program {id} are missing from the log");
            return Err(Failure::refused(Code::HistoryGap, message));
        }
        self.programs.get(&id).ok_or_else(|| {
            Failure::refused(Code::UnknownProgram, format!("no program with id {id}"))
        })
    }

    /// Looks up a program by the key with which a caller opened it.
    #[must_use]
    pub fn by_key(&self, key: &str) -> Option<&Program> {
        self.ids_by_key
            .get(key)
            .and_then(|id| self.programs.get(id))
    }

    /// All programs, open or ended, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Program> {
        self.programs.values()
    }

    /// Number of programs that have not ended.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.programs
            .values()
            .filter(|program| !program.is_ended())
            .count()
    }

    /// The program and all its descendants, breadth first.
    #[must_use]
    pub fn subtree(&self, id: id::Program) -> Vec<id::Program> {
        let mut tree = vec![id];
        let mut index = 0;
        while let Some(next) = tree.get(index) {
            let children = self.programs.get(next).map(|program| &program.children);
            tree.extend(children.into_iter().flatten());
            index += 1;
        }
        tree
    }

    /// The program and its ancestors, ending with the root.
    #[must_use]
    pub fn lineage(&self, id: id::Program) -> Vec<id::Program> {
        let parent = |id: &id::Program| self.programs.get(id)?.parent;
        std::iter::successors(Some(id), parent).collect()
    }

    /// Applies the next valid record of the stream.
    ///
    /// Deterministic: a VM that takes the shard over and replays the stream gets the same state
    /// as the previous owner.
    pub fn apply(&mut self, body: &Body) {
        match body {
            Body::Claim | Body::Release { .. } | Body::Checkpointed => {}
            Body::Opened {
                program,
                key,
                class,
                budget,
                at_ms,
            } => {
                self.ids_by_key.insert(key.clone(), *program);
                let mut state = new_program(*program, class.clone(), *budget, *at_ms);
                state.key = Some(key.clone());
                self.programs.insert(*program, state);
            }
            Body::Begun {
                program,
                call,
                reserve,
                server,
            } => self.update(*program, |state| {
                // An interrupted attempt may have spent its whole reservation.
                if let Some(interrupted) = state.reservation.take() {
                    state.spent.0 = state.spent.0.saturating_add(interrupted.tokens.0);
                }
                state.reservation = Some(Reservation {
                    call: *call,
                    tokens: *reserve,
                });
                state.resident.insert(server.clone());
            }),
            Body::Settled {
                program,
                call,
                tokens,
            } => {
                self.update(*program, |state| {
                    state.settle(*call, *tokens);
                });
            }
            Body::Intent {
                program,
                call,
                digest,
                target,
            } => self.update(*program, |state| state.open_intent(*call, *digest, target)),
            Body::Dropped { program, call } => self.update(*program, |state| {
                state.intent.take_if(|intent| intent.call == *call);
            }),
            Body::Done {
                program,
                call,
                digest,
                messages,
                answer,
            } => {
                self.update(*program, |state| {
                    if *call == state.next_call() && !state.is_ended() {
                        state.complete_call(*digest, messages, answer);
                    }
                });
            }
            Body::Spawned {
                program,
                call,
                digest,
                child,
                class,
                budget,
                at_ms,
            } => {
                self.spawn(*program, *call, *digest, *child, class, *budget, *at_ms);
            }
            Body::Ended {
                program,
                reason,
                at_ms,
            } => self.end(*program, *reason, *at_ms),
            Body::Evicted { program, server } => self.update(*program, |state| {
                state.resident.remove(server);
            }),
            Body::Forgotten { program } => {
                if let Some(state) = self.programs.remove(program)
                    && let Some(key) = state.key
                {
                    self.ids_by_key.remove(&key);
                }
            }
            Body::Checkpoint { program } => self.restore(program),
        }
    }

    /// Restores a program from its checkpoint, unless its state is already complete.
    fn restore(&mut self, program: &Program) {
        if self.programs.contains_key(&program.id) && !self.incomplete.contains(&program.id) {
            return;
        }
        self.incomplete.remove(&program.id);
        if let Some(key) = &program.key {
            self.ids_by_key.insert(key.clone(), program.id);
        }
        self.programs.insert(program.id, program.clone());
    }

    /// Updates a program, or marks it incomplete if its opening record is missing.
    fn update(&mut self, id: id::Program, update: impl FnOnce(&mut Program)) {
        match self.programs.get_mut(&id) {
            Some(program) => update(program),
            None => {
                self.incomplete.insert(id);
            }
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one record")]
    fn spawn(
        &mut self,
        parent: id::Program,
        call: Call,
        digest: Digest,
        child: id::Program,
        class: &Class,
        budget: Budget,
        at_ms: u64,
    ) {
        let Some(parent_state) = self.programs.get_mut(&parent) else {
            self.incomplete.insert(parent);
            return;
        };
        if call != parent_state.next_call() || parent_state.is_ended() {
            return;
        }
        parent_state.complete_call(digest, &[], &Answer::Spawned { child });
        parent_state.child_tokens.0 = parent_state.child_tokens.0.saturating_add(budget.tokens.0);
        let calls = budget.calls.unwrap_or(0);
        parent_state.child_calls = parent_state.child_calls.saturating_add(calls);
        parent_state.children.push(child);
        let mut child_state = new_program(child, class.clone(), budget, at_ms);
        child_state.parent = Some(parent);
        child_state.depth = parent_state.depth + 1;
        self.programs.insert(child, child_state);
    }

    /// Ends a program and its descendants, and returns unused allocations to the parent.
    fn end(&mut self, id: id::Program, reason: Option<Code>, at_ms: u64) {
        let Some(program) = self.programs.get_mut(&id) else {
            self.incomplete.insert(id);
            return;
        };
        if program.is_ended() {
            return;
        }
        program.ended_ms = Some(at_ms);
        program.reason = reason;
        for child in program.children.clone() {
            self.end(child, reason, at_ms);
        }
        let program = &self.programs[&id];
        let (parent, used) = (program.parent, program.used_tokens());
        let allocated = program.budget;
        let calls = program.answered.len() as u64 + program.child_calls;
        if let Some(parent) = parent.and_then(|parent| self.programs.get_mut(&parent)) {
            parent.child_tokens.0 = parent.child_tokens.0.saturating_sub(allocated.tokens.0);
            parent.spent.0 = parent.spent.0.saturating_add(used.0);
            if let Some(limit) = allocated.calls {
                parent.child_calls = parent.child_calls.saturating_sub(limit) + calls.min(limit);
            }
        }
    }
}

fn new_program(id: id::Program, class: Class, budget: Budget, at_ms: u64) -> Program {
    Program {
        id,
        parent: None,
        key: None,
        class,
        budget,
        opened_ms: at_ms,
        ended_ms: None,
        reason: None,
        spent: Tokens(0),
        context: Tokens(0),
        reservation: None,
        child_tokens: Tokens(0),
        child_calls: 0,
        history: Vec::new(),
        answered: Vec::new(),
        intent: None,
        resident: BTreeSet::new(),
        children: Vec::new(),
        depth: 0,
    }
}
