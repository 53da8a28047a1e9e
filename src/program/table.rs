//! The programs of one shard, folded from the valid records of its stream.

use super::state::{Program, Reserve};
use super::types::{Answer, Budget};
use crate::code::{Code, Failure};
use crate::id::{self, Call, Class, Digest, Tokens};
use crate::journal::Body;
use std::collections::{BTreeMap, BTreeSet};

/// The programs of one shard.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    programs: BTreeMap<id::Program, Program>,
    keys: BTreeMap<String, id::Program>,
    // Records of these programs were found without what came before: trimmed by the log. A
    // checkpoint that stands later in the stream makes such a program whole again.
    gaps: BTreeSet<id::Program>,
}

impl Table {
    /// The program with this id.
    ///
    /// # Errors
    /// [`Code::HistoryGap`] when the log has lost records of it, [`Code::UnknownProgram`] when
    /// there is none.
    pub fn get(&self, id: id::Program) -> Result<&Program, Failure> {
        if self.gaps.contains(&id) {
            let message = format!("the log has lost records of {id}");
            return Err(Failure::refused(Code::HistoryGap, message));
        }
        self.programs.get(&id).ok_or_else(|| {
            Failure::refused(Code::UnknownProgram, format!("there is no program {id}"))
        })
    }

    /// The program that was opened with `key`.
    #[must_use]
    pub fn by_key(&self, key: &str) -> Option<&Program> {
        self.keys.get(key).and_then(|id| self.programs.get(id))
    }

    /// Every program, in the order of ids.
    pub fn iter(&self) -> impl Iterator<Item = &Program> {
        self.programs.values()
    }

    /// How many programs have not ended.
    #[must_use]
    pub fn open(&self) -> usize {
        self.programs
            .values()
            .filter(|program| !program.is_ended())
            .count()
    }

    /// The program and all that it has spawned, at any depth.
    #[must_use]
    pub fn tree(&self, id: id::Program) -> Vec<id::Program> {
        let mut tree = vec![id];
        let mut at = 0;
        while let Some(next) = tree.get(at) {
            let children = self.programs.get(next).map(|program| &program.children);
            tree.extend(children.into_iter().flatten());
            at += 1;
        }
        tree
    }

    /// The program and those that it descends from.
    #[must_use]
    pub fn line(&self, id: id::Program) -> Vec<id::Program> {
        let parent = |id: &id::Program| self.programs.get(id)?.parent;
        std::iter::successors(Some(id), parent).collect()
    }

    /// Takes in one valid record.
    ///
    /// Every reader of the stream folds the same records in the same order, so a VM that takes
    /// the shard over holds what the former owner held.
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
                self.keys.insert(key.clone(), *program);
                let mut state = blank(*program, class.clone(), *budget, *at_ms);
                state.key = Some(key.clone());
                self.programs.insert(*program, state);
            }
            Body::Begun {
                program,
                call,
                reserve,
                server,
            } => self.change(*program, |state| {
                // An attempt that a failure cut off may have spent all it had set aside.
                if let Some(lost) = state.reserve.take() {
                    state.spent.0 = state.spent.0.saturating_add(lost.tokens.0);
                }
                state.reserve = Some(Reserve {
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
                self.change(*program, |state| {
                    state.settle(*call, *tokens);
                });
            }
            Body::Intent {
                program,
                call,
                digest,
                target,
            } => self.change(*program, |state| state.intend(*call, *digest, target)),
            Body::Dropped { program, call } => self.change(*program, |state| {
                state.intent.take_if(|intent| intent.call == *call);
            }),
            Body::Done {
                program,
                call,
                digest,
                messages,
                answer,
            } => {
                self.change(*program, |state| {
                    if *call == state.next() && !state.is_ended() {
                        state.finish(*digest, messages, answer);
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
            Body::Evicted { program, server } => self.change(*program, |state| {
                state.resident.remove(server);
            }),
            Body::Forgotten { program } => {
                if let Some(state) = self.programs.remove(program)
                    && let Some(key) = state.key
                {
                    self.keys.remove(&key);
                }
            }
            Body::Checkpoint { program } => self.restore(program),
        }
    }

    /// Takes in a program whose older records are gone; one that is known is as the record says.
    fn restore(&mut self, program: &Program) {
        if self.programs.contains_key(&program.id) && !self.gaps.contains(&program.id) {
            return;
        }
        self.gaps.remove(&program.id);
        if let Some(key) = &program.key {
            self.keys.insert(key.clone(), program.id);
        }
        self.programs.insert(program.id, program.clone());
    }

    fn change(&mut self, id: id::Program, change: impl FnOnce(&mut Program)) {
        match self.programs.get_mut(&id) {
            Some(program) => change(program),
            None => {
                self.gaps.insert(id);
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
        let Some(state) = self.programs.get_mut(&parent) else {
            self.gaps.insert(parent);
            return;
        };
        if call != state.next() || state.is_ended() {
            return;
        }
        state.finish(digest, &[], &Answer::Spawned { child });
        state.carved.0 = state.carved.0.saturating_add(budget.tokens.0);
        let calls = budget.calls.unwrap_or(0);
        state.carved_calls = state.carved_calls.saturating_add(calls);
        state.children.push(child);
        let mut opened = blank(child, class.clone(), budget, at_ms);
        opened.parent = Some(parent);
        opened.depth = state.depth + 1;
        self.programs.insert(child, opened);
    }

    fn end(&mut self, id: id::Program, reason: Option<Code>, at_ms: u64) {
        let Some(program) = self.programs.get_mut(&id) else {
            self.gaps.insert(id);
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
        let (parent, used) = (program.parent, program.used());
        let carved = program.budget;
        let calls = program.kept.len() as u64 + program.carved_calls;
        if let Some(parent) = parent.and_then(|parent| self.programs.get_mut(&parent)) {
            parent.carved.0 = parent.carved.0.saturating_sub(carved.tokens.0);
            parent.spent.0 = parent.spent.0.saturating_add(used.0);
            if let Some(most) = carved.calls {
                parent.carved_calls = parent.carved_calls.saturating_sub(most) + calls.min(most);
            }
        }
    }
}

fn blank(id: id::Program, class: Class, budget: Budget, at_ms: u64) -> Program {
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
        reserve: None,
        carved: Tokens(0),
        carved_calls: 0,
        history: Vec::new(),
        kept: Vec::new(),
        intent: None,
        resident: BTreeSet::new(),
        children: Vec::new(),
        depth: 0,
    }
}
