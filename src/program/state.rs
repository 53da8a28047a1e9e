//! One program: what may be called next, what it may spend, and what was answered.

use super::types::{Answer, Budget, Message};
use crate::code::{Code, Failure};
use crate::id::{self, Call, Class, Digest, Server, Tokens};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Tokens that an engine may add for the frame of one message.
const MESSAGE_FRAME: u64 = 8;

/// Tokens set aside for an attempt that is under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reserve {
    /// The call.
    pub call: Call,
    /// The most that the attempt can spend.
    pub tokens: Tokens,
}

/// A call that must not be repeated and has no outcome yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// The call.
    pub call: Call,
    /// The digest of its body.
    pub digest: Digest,
    /// The service and operation.
    pub target: String,
}

/// An answer that is kept so that asking again gives the same.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kept {
    /// The digest of the call's body.
    pub digest: Digest,
    /// The answer.
    pub answer: Answer,
}

/// One program.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Program {
    /// Its id.
    pub id: id::Program,
    /// The program that spawned it.
    pub parent: Option<id::Program>,
    /// The key that opened it; none for a child.
    pub key: Option<String>,
    /// Its class.
    pub class: Class,
    /// What it may spend.
    pub budget: Budget,
    /// When it was opened, in milliseconds since the Unix epoch.
    pub opened_ms: u64,
    /// When it ended, in milliseconds since the Unix epoch.
    pub ended_ms: Option<u64>,
    /// Why it ended, when its caller did not ask for it.
    pub reason: Option<Code>,
    /// Tokens spent by calls that are over, and by children that have ended.
    pub spent: Tokens,
    /// Tokens of the prompt and answer of the newest model call: the size of the history.
    pub context: Tokens,
    /// An attempt under way, or cut off by a failure.
    pub reserve: Option<Reserve>,
    /// Tokens carved out for children that are open.
    pub carved: Tokens,
    /// Calls carved out for children that are open, and made by those that have ended.
    pub carved_calls: u64,
    /// Messages in order.
    pub history: Vec<Message>,
    /// Answers in order; the next call is one more than there are.
    pub kept: Vec<Kept>,
    /// A call sent once that has no outcome yet.
    pub intent: Option<Intent>,
    /// Engines that may hold cache for this program.
    pub resident: BTreeSet<Server>,
    /// Children, open or ended.
    pub children: Vec<id::Program>,
    /// How deep it is nested; 0 for a program that a caller opened.
    pub depth: u32,
}

/// What to do with a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Admission {
    /// It is over: give the kept answer.
    Kept(Answer),
    /// It is the next one: run it.
    Run,
    /// It is after the next one: it waits for its turn.
    Wait,
    /// It can't run.
    Refuse(Failure),
}

impl Program {
    /// The number of the next call.
    #[must_use]
    pub fn next(&self) -> Call {
        Call(self.kept.len() as u64 + 1)
    }

    /// Tokens that are spent, set aside or carved out.
    #[must_use]
    pub fn used(&self) -> Tokens {
        let reserved = self.reserve.map_or(0, |reserve| reserve.tokens.0);
        let spent = self.spent.0.saturating_add(reserved);
        Tokens(spent.saturating_add(self.carved.0))
    }

    /// Bytes of the history.
    #[must_use]
    pub fn history_bytes(&self) -> usize {
        self.history
            .iter()
            .map(|message| message.content.len())
            .sum()
    }

    /// Whether the program has ended.
    #[must_use]
    pub const fn is_ended(&self) -> bool {
        self.ended_ms.is_some()
    }

    /// What to do with call `call` with a body of `digest`.
    #[must_use]
    pub fn admit(&self, call: Call, digest: Digest) -> Admission {
        if call.0 == 0 {
            return Admission::Refuse(Failure::refused(Code::BadBody, "calls count from 1"));
        }
        if let Some(kept) = self
            .kept
            .get(usize::try_from(call.0).unwrap_or(usize::MAX) - 1)
        {
            return if kept.digest == digest {
                Admission::Kept(kept.answer.clone())
            } else {
                let message = format!("call {call} was made with another body");
                Admission::Refuse(Failure::refused(Code::CallConflict, message))
            };
        }
        if self.is_ended() {
            let message = match self.reason {
                Some(reason) => format!("the program ended with {reason}"),
                None => "the program has ended".to_owned(),
            };
            return Admission::Refuse(Failure::refused(Code::ProgramEnded, message));
        }
        if call > self.next() {
            Admission::Wait
        } else {
            Admission::Run
        }
    }

    /// The most that a model call can spend, if the budget allows it.
    ///
    /// A byte is at least as much as a token, so the bound holds for any tokenizer that works on
    /// bytes; what is not used is given back when the call is over.
    ///
    /// # Errors
    /// [`Code::BudgetExceeded`] when the call could pass the budget.
    pub fn reserve(&self, messages: &[Message], max_tokens: Tokens) -> Result<Tokens, Failure> {
        let new: u64 = messages
            .iter()
            .map(|message| message.content.len() as u64 + MESSAGE_FRAME)
            .sum();
        let reserve = Tokens(new.saturating_add(max_tokens.0));
        self.afford(reserve, 1)?;
        Ok(reserve)
    }

    /// Checks that `tokens` and `calls` more stay within the budget.
    ///
    /// # Errors
    /// [`Code::BudgetExceeded`] when they don't.
    pub fn afford(&self, tokens: Tokens, calls: u64) -> Result<(), Failure> {
        if self.used().0.saturating_add(tokens.0) > self.budget.tokens.0 {
            let message = format!(
                "{} tokens used of {}, and the call could take {tokens}",
                self.used(),
                self.budget.tokens
            );
            return Err(Failure::refused(Code::BudgetExceeded, message));
        }
        let made = (self.kept.len() as u64).saturating_add(self.carved_calls);
        if self
            .budget
            .calls
            .is_some_and(|most| made.saturating_add(calls) > most)
        {
            let message = format!("{made} calls used of the budget");
            return Err(Failure::refused(Code::BudgetExceeded, message));
        }
        Ok(())
    }

    /// Counts what an attempt has spent, at most what it had set aside, and gives it.
    pub(super) fn settle(&mut self, call: Call, tokens: Tokens) -> Tokens {
        let Some(reserve) = self.reserve.take_if(|reserve| reserve.call == call) else {
            return Tokens(0);
        };
        let spent = tokens.min(reserve.tokens);
        self.spent.0 = self.spent.0.saturating_add(spent.0);
        spent
    }

    /// Opens an intent, unless it comes behind the outcome of its call: then its writer must not
    /// send.
    pub(super) fn intend(&mut self, call: Call, digest: Digest, target: &str) {
        if call == self.next() && !self.is_ended() {
            let target = target.to_owned();
            self.intent = Some(Intent {
                call,
                digest,
                target,
            });
        }
    }

    pub(super) fn finish(&mut self, digest: Digest, messages: &[Message], answer: &Answer) {
        let call = self.next();
        self.history.extend_from_slice(messages);
        if let Answer::Model { text, usage, .. } = answer {
            // Grows by what was counted and no more: an engine that once reports too much would
            // otherwise make the tokens of later calls look as if they had been counted.
            let context = usage.prompt.0.saturating_add(usage.completion.0);
            let counted = self.settle(call, Tokens(context.saturating_sub(self.context.0)));
            self.context.0 += counted.0;
            self.history.push(Message {
                role: "assistant".to_owned(),
                content: text.clone(),
            });
        }
        self.intent = None;
        self.kept.push(Kept {
            digest,
            answer: answer.clone(),
        });
    }
}
