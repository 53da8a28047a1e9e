//! A program's history is never lost and never mixed with that of another.

mod support;

use serde_json::{Value, json};
use support::{Environment, model};

/// One program and what its history has to be.
struct Told {
    program: String,
    answers: Vec<(Value, Value)>,
    bytes: u64,
}

impl Told {
    fn new(environment: &Environment, key: &str) -> Self {
        let program = environment.open(0, "quick", key, 50_000);
        let (answers, bytes) = (Vec::new(), 0);
        Self {
            program,
            answers,
            bytes,
        }
    }

    fn next(&self) -> Value {
        let call = self.answers.len() as u64 + 1;
        model(call, &format!("{} asks {call}", self.program), 12)
    }

    fn took(&mut self, body: Value, (status, answer): (u16, Value)) {
        assert_eq!(status, 200, "{answer}");
        let question = body["model"]["messages"][0]["content"].as_str();
        let text = answer["text"].as_str().expect("text");
        self.bytes += (question.expect("text").len() + text.len()) as u64;
        self.answers.push((body, answer));
    }

    /// Every answer is kept as it was told, and the history is made of them and nothing else.
    fn check(&self, environment: &Environment, vm: usize, step: &str) {
        for (body, answer) in &self.answers {
            let (_, again) = environment.call(vm, &self.program, body);
            assert_eq!(again, *answer, "{step}");
        }
        let path = format!("/v1/programs/{}", self.program);
        let (_, look) = environment.get(environment.vms[vm].callers, &path);
        assert_eq!(
            look["history_messages"],
            2 * self.answers.len(),
            "{step}: {look}"
        );
        assert_eq!(look["history_bytes"], self.bytes, "{step}: {look}");
    }
}

/// Two programs make one call after the other. In each the owner is killed at another step: with
/// the record of the start on its way or in the log, with the answer half streamed, with the
/// record of the answer on its way or in the log, after the answer, and while the log is down.
/// The caller is answered each time, and no answer that was told changes or is lost.
#[test]
fn a_history_outlives_its_owner_at_any_step() {
    let mut environment = Environment::start(1, 3);
    let slow = json!({ "slower": 10, "vary": true });
    environment.faults(environment.engines[0].address, &slow);
    let mut programs = [
        Told::new(&environment, "fleet-1"),
        Told::new(&environment, "fleet-2"),
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
        let told = &mut programs[index % 2];
        let owner = environment.owner(&told.program);
        let entry = (owner + 1) % 3;
        let body = told.next();
        let before = records(&environment, &told.program);
        hold_at(&environment, step);
        let answer = std::thread::scope(|scope| {
            let call = scope.spawn(|| environment.call(entry, &told.program, &body));
            kill_at(&environment, step, &told.program, owner, before);
            call.join().expect("the caller is answered")
        });
        told.took(body, answer);
        environment.vms[owner].process.kill();
        environment.restart_vm(owner);
        environment.wait_ready(owner);
        for told in &programs {
            told.check(&environment, entry, step);
            told.check(&environment, owner, step);
        }
    }
}

/// Records of started and of answered calls.
fn records(environment: &Environment, program: &str) -> [u64; 2] {
    ["begun", "done"].map(|kind| environment.entries(&[program, kind]))
}

fn hold_at(environment: &Environment, step: &str) {
    let log = environment.log.address;
    match step {
        "start sent" => environment.faults(log, &json!({ "frozen": true })),
        "start taken" => environment.faults(log, &json!({ "hold_reads": true })),
        _ => {}
    }
}

fn kill_at(environment: &Environment, step: &str, program: &str, owner: usize, before: [u64; 2]) {
    let log = environment.log.address;
    let wait_record = |kind: usize| {
        support::poll("the record", || {
            (records(environment, program)[kind] > before[kind]).then_some(())
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
            support::poll("the stream's end", || {
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
        // Long enough for the others to miss the owner while the log can't order their claims.
        std::thread::sleep(std::time::Duration::from_secs(4));
    }
    environment.heal();
}

/// The owner is killed, and the VM that takes over as well. The last one has the whole history
/// from the log.
#[test]
fn a_history_outlives_two_kills_in_a_row() {
    let environment = Environment::start(1, 3);
    let mut told = Told::new(&environment, "fleet-3");
    for _ in 0..3 {
        let body = told.next();
        let answer = environment.call(0, &told.program, &body);
        told.took(body, answer);
    }
    let mut left = vec![0, 1, 2];
    for _ in 0..2 {
        let owner = environment.owner(&told.program);
        environment.vms[owner].process.signal("KILL");
        left.retain(|vm| *vm != owner);
        let body = told.next();
        let answer = environment.call(left[0], &told.program, &body);
        told.took(body, answer);
        told.check(&environment, left[0], "killed");
    }
}
