//! State of one program: next call, budget, history and stored answers.

use super::types::{Answer, Budget, Message};
use crate::code::{Code, Failure};
use crate::id::{self, Call, Class, Digest, Server, Tokens};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Upper bound on the tokens that an engine's chat template adds per message.
const MESSAGE_OVERHEAD_TOKENS: u64 = 8;

/// Tokens reserved for the model call in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reservation {
    /// The call that the tokens are reserved for.
    pub call: Call,
    /// Upper bound on what one attempt can spend.
    pub tokens: Tokens,
}

/// A call that must not be repeated and whose outcome is not recorded yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// Number of the call.
    pub call: Call,
    /// Digest of the call's request.
    pub digest: Digest,
    /// Called operation, as `service/operation`.
    pub target: String,
}

/// A completed call; its answer is stored so that a repeated request returns the same answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnsweredCall {
    /// Digest of the call's request.
    pub digest: Digest,
    /// Final answer of the call.
    pub answer: Answer,
}

/// State of one program.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Program {
    /// Id that the system assigned when the program was opened.
    pub id: id::Program,
    /// Program that spawned this one; `None` if a caller opened it.
    pub parent: Option<id::Program>,
    /// Idempotency key with which a caller opened the program; `None` for a spawned program.
    pub key: Option<String>,
    /// Program class from the configuration.
    pub class: Class,
    /// Limits on tokens and calls, including those of child programs.
    pub budget: Budget,
    /// Opening time in milliseconds since the Unix epoch.
    pub opened_ms: u64,
    /// End time in milliseconds since the Unix epoch; `None` while the program is open.
    pub ended_ms: Option<u64>,
    /// Code with which the system ended the program; `None` if its caller ended it.
    pub reason: Option<Code>,
    /// Tokens spent by finished calls and by ended children.
    pub spent: Tokens,
    /// Size of the history in tokens, as reported with the newest model call.
    pub context: Tokens,
    /// Reservation of the attempt in progress, or of one that a failure interrupted.
    #[serde(rename = "reserve")]
    pub reservation: Option<Reservation>,
    /// Tokens allocated to open children.
    #[serde(rename = "carved")]
    pub child_tokens: Tokens,
    /// Calls allocated to open children, plus calls made by ended children.
    #[serde(rename = "carved_calls")]
    pub child_calls: u64,
    /// Messages of the caller and answers of the models, oldest first.
    pub history: Vec<Message>,
    /// Completed calls, in the order of their numbers from 1.
    #[serde(rename = "kept")]
    pub answered: Vec<AnsweredCall>,
    /// Open intent of the next call, if that must not be repeated.
    pub intent: Option<Intent>,
    /// Engines that may have KV cache of this program.
    pub resident: BTreeSet<Server>,
    /// Spawned programs, open or ended.
    pub children: Vec<id::Program>,
    /// Nesting depth; 0 for a program that a caller opened.
    pub depth: u32,
}

/// How to proceed with a requested call.
#[derive(Debug, Clone, PartialEq)]
pub enum Admission {
    /// The call is complete; return the stored answer.
    Answered(Answer),
    /// The call is next in order; run it.
    Run,
    /// Earlier calls are not complete yet; wait.
    Wait,
    /// The call is invalid or the program has ended.
    Refuse(Failure),
}

impl Program {
    /// Number of the next call; calls are numbered from 1.
    #[must_use]
    pub fn next_call(&self) -> Call {
        Call(self.answered.len() as u64 + 1)
    }

    /// Tokens that are spent, reserved or allocated to open children.
    #[must_use]
    pub fn used_tokens(&self) -> Tokens {
        let reserved = self
            .reservation
            .map_or(0, |reservation| reservation.tokens.0);
        let spent = self.spent.0.saturating_add(reserved);
        Tokens(spent.saturating_add(self.child_tokens.0))
    }

    /// Size of the history's message contents in bytes.
    #[must_use]
    pub fn history_bytes(&self) -> usize {
        self.history
            .iter()
            .map(|message| message.content.len())
            .sum()
    }

    /// Whether the program has ended, by its caller or by the system.
    #[must_use]
    pub const fn is_ended(&self) -> bool {
        self.ended_ms.is_some()
    }

    /// Decides how to proceed with a call, given the digest of its request.
    #[must_use]
    pub fn admit(&self, call: Call, digest: Digest) -> Admission {
        if call.0 == 0 {
            return Admission::Refuse(Failure::refused(Code::BadBody, "calls count from 1"));
        }
        if let Some(answered) = self
            .answered
            .get(usize::try_from(call.0).unwrap_or(usize::MAX) - 1)
        {
            return if answered.digest == digest {
                Admission::Answered(answered.answer.clone())
            } else {
                let message = format!("call {call} was already made with a different body");
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
        if call > self.next_call() {
            Admission::Wait
        } else {
            Admission::Run
        }
    }

    /// Upper bound on the tokens of a model call, to be reserved before it is sent.
    ///
    /// Counts one token per byte of the new messages, which bounds any byte-level tokenizer. The
    /// unused rest is released when the call completes.
    ///
    /// # Errors
    /// [`Code::BudgetExceeded`] if the bound does not fit the budget.
    pub fn reservation_for(
        &self,
        messages: &[Message],
        max_tokens: Tokens,
    ) -> Result<Tokens, Failure> {
        let prompt_bound: u64 = messages
            .iter()
            .map(|message| message.content.len() as u64 + MESSAGE_OVERHEAD_TOKENS)
            .sum();
        let bound = Tokens(prompt_bound.saturating_add(max_tokens.0));
        self.check_budget(bound, 1)?;
        Ok(bound)
    }

    /// Checks that `tokens` and `calls` more fit the budget.
    ///
    /// # Errors
    /// [`Code::BudgetExceeded`] if either limit would be exceeded.
    pub fn check_budget(&self, tokens: Tokens, calls: u64) -> Result<(), Failure> {
        if self.used_tokens().0.saturating_add(tokens.0) > self.budget.tokens.0 {
            let message = format!(
                "{} of {} tokens are used, and the call may need {tokens}",
                self.used_tokens(),
                self.budget.tokens
            );
            return Err(Failure::refused(Code::BudgetExceeded, message));
        }
        let used_calls = (self.answered.len() as u64).saturating_add(self.child_calls);
        if self
            .budget
            .calls
            .is_some_and(|limit| used_calls.saturating_add(calls) > limit)
        {
            let message = format!("the call budget is exhausted: {used_calls} calls used");
            return Err(Failure::refused(Code::BudgetExceeded, message));
        }
        Ok(())
    }

    /// Releases the reservation of `call` and books the tokens spent, capped at the reservation.
    ///
    /// Returns the booked tokens, or 0 if there is no such reservation.
    pub(super) fn settle(&mut self, call: Call, tokens: Tokens) -> Tokens {
        let Some(reservation) = self
            .reservation
            .take_if(|reservation| reservation.call == call)
        else {
            return Tokens(0);
        };
        let spent = tokens.min(reservation.tokens);
        self.spent.0 = self.spent.0.saturating_add(spent.0);
        spent
    }

    /// Opens an intent; ignored if the call already has an outcome, so its writer must not send it.
    pub(super) fn open_intent(&mut self, call: Call, digest: Digest, target: &str) {
        if call == self.next_call() && !self.is_ended() {
            let target = target.to_owned();
            self.intent = Some(Intent {
                call,
                digest,
                target,
            });
        }
    }

    /// Completes the next call: extends the history, settles its tokens and stores the answer.
    pub(super) fn complete_call(&mut self, digest: Digest, messages: &[Message], answer: &Answer) {
        let call = self.next_call();
        self.history.extend_from_slice(messages);
        if let Answer::Model { text, usage, .. } = answer {
            // Grows only by the booked tokens: if an engine over-reports once, `context` would
            // otherwise be too large and tokens of later calls would not be charged.
            let reported = usage.prompt.0.saturating_add(usage.completion.0);
            let booked = self.settle(call, Tokens(reported.saturating_sub(self.context.0)));
            self.context.0 += booked.0;
            self.history.push(Message {
                role: "assistant".to_owned(),
                content: text.clone(),
            });
        }
        self.intent = None;
        self.answered.push(AnsweredCall {
            digest,
            answer: answer.clone(),
        });
    }
}
