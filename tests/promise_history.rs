//! The history of a program is never lost and never mixed with that of another.

mod support;

use serde_json::{Value, json};
use support::{Environment, model};

/// A program with the answers that its history must consist of.
struct ExpectedHistory {
    program: String,
    answers: Vec<(Value, Value)>,
    bytes: u64,
}

impl ExpectedHistory {
    fn new(environment: &Environment, key: &str) -> Self {
        let program = environment.open(0, "quick", key, 50_000);
        let (answers, bytes) = (Vec::new(), 0);
        Self {
            program,
            answers,
            bytes,
        }
    }

    fn next_call(&self) -> Value {
        let call = self.answers.len() as u64 + 1;
        model(call, &format!("{} asks {call}", self.program), 12)
    }

    fn add_answer(&mut self, body: Value, (status, answer): (u16, Value)) {
        assert_eq!(status, 200, "{answer}");
        let question = body["model"]["messages"][0]["content"].as_str();
        let text = answer["text"].as_str().expect("text");
        self.bytes += (question.expect("text").len() + text.len()) as u64;
        self.answers.push((body, answer));
    }

    /// Checks that every answer can be fetched again unchanged and that the history holds nothing else.
    fn check(&self, environment: &Environment, vm: usize, step: &str) {
        for (body, answer) in &self.answers {
            let (_, repeated) = environment.call(vm, &self.program, body);
            assert_eq!(repeated, *answer, "{step}");
        }
        let path = format!("/v1/programs/{}", self.program);
        let (_, view) = environment.get(environment.vms[vm].callers, &path);
        assert_eq!(
            view["history_messages"],
            2 * self.answers.len(),
            "{step}: {view}"
        );
        assert_eq!(view["history_bytes"], self.bytes, "{step}: {view}");
    }
}

/// The owner is killed at each step of a call in turn. The caller must be answered each time, and no
/// earlier answer may change or be lost.
#[test]
fn a_history_survives_an_owner_killed_at_any_step() {
    let mut environment = Environment::start(1, 3);
    let slow = json!({ "slower": 10, "vary": true });
    environment.faults(environment.engines[0].address, &slow);
    let mut programs = [
        ExpectedHistory::new(&environment, "fleet-1"),
        ExpectedHistory::new(&environment, "fleet-2"),
    ];
    let steps = [
        "start sent",
        "start taken",
        "streamed",
        "answer sent",
        "answer taken",
        "answered",
        "outage",
    ];
    for (index, step) in steps.into_iter().enumerate() {
        let expected = &mut programs[index % 2];
        let owner = environment.owner(&expected.program);
        let entry = (owner + 1) % 3;
        let body = expected.next_call();
        let before = record_counts(&environment, &expected.program);
        inject_fault(&environment, step);
        let answer = std::thread::scope(|scope| {
            let call = scope.spawn(|| environment.call(entry, &expected.program, &body));
            kill_owner_at(&environment, step, &expected.program, owner, before);
            call.join().expect("the caller is answered")
        });
        expected.add_answer(body, answer);
        environment.vms[owner].process.kill();
        environment.restart_vm(owner);
        environment.wait_ready(owner);
        for expected in &programs {
            expected.check(&environment, entry, step);
            expected.check(&environment, owner, step);
        }
    }
}

/// Numbers of records of started and of answered calls in the log.
fn record_counts(environment: &Environment, program: &str) -> [u64; 2] {
    ["begun", "done"].map(|kind| environment.entries(&[program, kind]))
}

/// Injects the fault that keeps the call at the step.
fn inject_fault(environment: &Environment, step: &str) {
    let log = environment.log.address;
    match step {
        "start sent" => environment.faults(log, &json!({ "frozen": true })),
        "start taken" => environment.faults(log, &json!({ "hold_reads": true })),
        _ => {}
    }
}

/// Waits until the call is at the step and kills the owner.
fn kill_owner_at(
    environment: &Environment,
    step: &str,
    program: &str,
    owner: usize,
    before: [u64; 2],
) {
    let log = environment.log.address;
    let wait_record = |kind: usize| {
        support::poll("the record is in the log", || {
            (record_counts(environment, program)[kind] > before[kind]).then_some(())
        });
    };
    match step {
        "start sent" => environment.wait_stage(owner, program, "journal_begun"),
        "start taken" => wait_record(0),
        "answered" => wait_record(1),
        _ => environment.wait_stage(owner, program, "stream"),
    }
    match step {
        "answer sent" => {
            environment.faults(log, &json!({ "down": true }));
            support::poll("the stream has ended", || {
                (environment.stage(owner, program).as_deref() != Some("stream")).then_some(())
            });
        }
        "answer taken" => {
            environment.faults(log, &json!({ "hold_reads": true }));
            wait_record(1);
        }
        "outage" => environment.faults(log, &json!({ "down": true })),
        _ => {}
    }
    environment.vms[owner].process.signal("KILL");
    if step == "outage" {
        // Long enough for the others to suspect the owner while the log accepts no claims.
        std::thread::sleep(std::time::Duration::from_secs(4));
    }
    environment.clear_faults();
}

/// The owner and then its successor are killed. The third VM must recover the whole history from the
/// log.
#[test]
fn a_history_survives_two_takeovers() {
    let environment = Environment::start(1, 3);
    let mut expected = ExpectedHistory::new(&environment, "fleet-3");
    for _ in 0..3 {
        let body = expected.next_call();
        let answer = environment.call(0, &expected.program, &body);
        expected.add_answer(body, answer);
    }
    let mut alive = vec![0, 1, 2];
    for _ in 0..2 {
        let owner = environment.owner(&expected.program);
        environment.vms[owner].process.signal("KILL");
        alive.retain(|vm| *vm != owner);
        let body = expected.next_call();
        let answer = environment.call(alive[0], &expected.program, &body);
        expected.add_answer(body, answer);
        expected.check(&environment, alive[0], "killed");
    }
}
