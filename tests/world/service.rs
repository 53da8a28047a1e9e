//! Calls that must not be repeated, and the service that runs them.

use super::{Kind, Request, Run, World, done, program};
use vanillatrail::effect::{Action, Event};
use vanillatrail::id::Call;
use vanillatrail::journal::Body;
use vanillatrail::program::Answer;

impl World {
    pub(super) fn send(&mut self, vm: usize, index: usize, run: Run) {
        let next = self
            .reference
            .1
            .last()
            .expect("at least one table")
            .get(program(index))
            .expect("open")
            .next_call();
        if run.call > next {
            self.violation = Some(format!("call {} sent before {next} had ended", run.call));
        }
        self.started.insert(run.number);
        let boot = self.vms[vm].boot;
        let (program, call) = (index, run.call);
        self.in_flight.push(Request {
            vm,
            boot,
            program,
            run: run.number,
            call,
            served: false,
        });
        self.vms[vm].runs.insert(index, run);
    }

    pub(super) fn drop_intent(&mut self, vm: usize, index: usize, mut run: Run) {
        self.counters.dropped += 1;
        self.refused.insert(run.number);
        let dropped = Body::Dropped {
            program: program(index),
            call: run.call,
        };
        run.awaited_record = Some(self.enqueue(vm, run.epoch, dropped));
        self.vms[vm].runs.insert(index, run);
    }

    pub(super) fn withdraw(&mut self, vm: usize, index: usize) {
        if self.vms[vm].paused {
            return;
        }
        let Some(mut run) = self.vms[vm].runs.remove(&index) else {
            return;
        };
        let action = match &mut run.kind {
            Kind::Receipt(effect) => effect.handle(Event::Cancelled),
            Kind::Model { .. } => Action::Wait,
        };
        if action == Action::DropIntent {
            self.drop_intent(vm, index, run);
        } else {
            self.vms[vm].runs.insert(index, run);
        }
    }

    pub(super) fn serve(&mut self, request_index: usize) {
        let Some(request) = self
            .in_flight
            .get_mut(request_index)
            .filter(|request| !request.served)
        else {
            return;
        };
        request.served = true;
        self.counters.effects += 1;
        *self
            .effects
            .entry((request.program, request.call))
            .or_default() += 1;
    }

    pub(super) fn reply(&mut self, request_index: usize, lost: bool) {
        let Some(request) = self.in_flight.get(request_index) else {
            return;
        };
        let (vm, index, number, served) =
            (request.vm, request.program, request.run, request.served);
        let alive = self.vms[vm].boot == request.boot && !self.vms[vm].paused;
        if !alive || !(served || lost) {
            return;
        }
        // A request whose connection breaks before the effect can still reach the service.
        if served {
            self.in_flight.remove(request_index);
        }
        let Some(mut run) = self.vms[vm].runs.remove(&index) else {
            return;
        };
        let Kind::Receipt(effect) = &mut run.kind else {
            self.vms[vm].runs.insert(index, run);
            return;
        };
        if run.number != number {
            self.vms[vm].runs.insert(index, run);
            return;
        }
        let event = if lost {
            Event::Failed { maybe_sent: true }
        } else {
            Event::Replied
        };
        let answer = match effect.handle(event) {
            Action::Record => Answer::Service {
                status: 200,
                body: format!("receipt {number}"),
            },
            Action::RecordUnknown => Answer::Unknown {
                message: "cut".to_owned(),
            },
            _ => {
                self.vms[vm].runs.insert(index, run);
                return;
            }
        };
        run.awaited_record =
            Some(self.enqueue(vm, run.epoch, done(index, &run, Vec::new(), answer)));
        self.vms[vm].runs.insert(index, run);
    }

    pub(super) fn settle(&mut self, vm: usize) {
        let state = &self.vms[vm];
        let Some(epoch) = state.epoch.filter(|_| !state.paused) else {
            return;
        };
        for index in 0..2 {
            let state = &self.vms[vm];
            let busy = state.runs.contains_key(&index)
                || state.settling.iter().any(|(program, _)| *program == index);
            let Ok(table) = state.table.get(program(index)) else {
                continue;
            };
            let Some(intent) = table.intent.clone().filter(|_| !busy) else {
                continue;
            };
            self.counters.unknown += 1;
            let body = Body::Done {
                program: program(index),
                call: intent.call,
                digest: intent.digest,
                messages: Vec::new(),
                answer: Answer::Unknown {
                    message: "lost".to_owned(),
                },
            };
            let sequence = self.enqueue(vm, epoch, body);
            self.vms[vm].settling.insert((index, sequence));
        }
    }

    pub(super) fn answer_caller(&mut self, index: usize, call: Call, answer: &Answer) {
        self.counters.answered += 1;
        let first = self
            .answers
            .entry((index, call))
            .or_insert_with(|| answer.clone());
        if first != answer {
            self.violation = Some(format!(
                "call {call} was answered {first:?}, then {answer:?}"
            ));
        }
    }
}
