//! A VM is stopped as planned while it answers a turn. The conversation goes on before `retainS` is over.

#[path = "../support.rs"]
mod support;

use std::process::exit;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};
use support::*;

const CONVERSATIONS: usize = 30;
/// Turns that follow each other at once at the beginning of a conversation.
const FIRST_TURNS: usize = 12;
const RETAIN: Duration = Duration::from_secs(20);
/// Pause before the turn after these, the thirteenth, and between its end and SIGTERM.
const PAUSES: [Duration; 2] = [Duration::from_millis(18_500), Duration::from_millis(16_000)];
/// From SIGTERM to the fourteenth turn. The balancer takes a VM out after two probes, one a second.
const AFTER_SIGTERM: Duration = Duration::from_millis(1500);
/// How long a server works on the fourteenth turn.
const LONG_TURN: Duration = Duration::from_millis(2500);
/// From the end of the fourteenth turn to the fifteenth.
const LAST_PAUSE: Duration = Duration::from_millis(18_500);
/// From the start of the VMs to the first turns.
const WARM_UP: Duration = Duration::from_secs(5);
const DEADLINE: Duration = Duration::from_millis(4000);
const EVENTS: u64 = 4;

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"chat","host":"site.example","pathPrefix":"/chat/","kind":"stream","timeoutMs":4000,"sloMs":250,"gapTargetMs":200,"attempts":1,"priority":0,"service":"llm","canResume":false,"retain":true,"retainS":20,"sticky":true}],"services":[{"name":"llm","maxConns":150,"engine":{"slots":12,"kvCapTokens":108518,"chunkTokens":11,"moves":false,"backups":false,"pinMs":0}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000}}"#;

/// The engines work in steps: all long turns under way get their events in the same ones.
static LONG_TURNS_BEGAN: Mutex<Option<Instant>> = Mutex::new(None);

fn run(record: &Record, mut work: Work<'_>) -> bool {
    record_run(record, work.request);
    let (began, time) = if work.request.path() == "/chat/long" {
        (*LONG_TURNS_BEGAN.lock().unwrap().get_or_insert_with(Instant::now), LONG_TURN)
    } else {
        (Instant::now(), Duration::from_millis(20))
    };
    if !work.begin_stream() {
        return false;
    }
    for number in 1..=EVENTS {
        let step = began + time * number as u32 / EVENTS as u32;
        sleep(step.saturating_duration_since(Instant::now()));
        if !work.event(number, "word") {
            return false;
        }
    }
    work.end_stream()
}

struct Conversation {
    program: String,
    /// Newest turn that was answered whole, and when.
    newest: Option<(String, Instant)>,
    number: usize,
    broken: bool,
    lost: bool,
}

impl Conversation {
    /// Sends the next turn, with the attempts that a caller makes.
    fn turn(&mut self, record: &Record, vms: &[&Vm], path: &str) {
        self.number += 1;
        for asked in 0..4 {
            let to = vms[asked % vms.len()];
            let id = new_id();
            let mut headers = vec![
                ("X-Request-Id", id.clone()),
                ("X-Program", self.program.clone()),
                ("X-Session", self.program.clone()),
                ("X-Finish-Ms", "90000".to_owned()),
                ("X-Token-Budget", "2320".to_owned()),
                ("X-Token-Count", "900,44".to_owned()),
                ("X-Prompt-Prefix", format!("{id}:900")),
                ("X-Model", "m".to_owned()),
                ("X-Deadline-Ms", DEADLINE.as_millis().to_string()),
            ];
            if let Some((before, _)) = &self.newest {
                headers.push(("X-Prev-Turn", before.clone()));
            }
            let input = format!("input {} of {}", self.number, self.program);
            let reply = call(to.callers, "POST", path, &headers, input.as_bytes(), DEADLINE);
            let (before, age) = match &self.newest {
                Some((before, at)) => (before.clone(), at.elapsed()),
                None => ("nothing".to_owned(), Duration::ZERO),
            };
            let is_whole = reply.status == 200 && reply.whole;
            record.line(&format!(
                "caller: turn {} ({id}) of program {} at {} goes on from {before}, answered whole {:.1} s ago: {} {}",
                self.number, self.program, to.name, age.as_secs_f64(), reply.status,
                if is_whole { "whole".to_owned() } else { reply.text() }
            ));
            if is_whole {
                self.newest = Some((id, Instant::now()));
                return;
            }
            if matches!(reply.status, 404 | 410) {
                self.lost |= age < RETAIN;
                break;
            }
            sleep(reply.retry_after().unwrap_or(Duration::from_millis(200)).min(DEADLINE / 3));
        }
        self.broken = true;
    }
}

/// Sends the next turns of all conversations side by side.
fn turns(record: &Record, all: &mut [Conversation], vms: &[&Vm], path: &str) {
    std::thread::scope(|scope| {
        for conversation in all.iter_mut().filter(|one| !one.broken) {
            scope.spawn(move || conversation.turn(record, vms, path));
        }
    });
}

fn main() {
    limit_run(Duration::from_secs(100));
    let record = Record::create(&std::env::args().nth(1).expect("the path of the record"));
    let store = Store::start();
    store.answer_ms.store(4, std::sync::atomic::Ordering::SeqCst);
    store.put("keyed.op", "config", CONFIG);
    for number in 0..3u8 {
        let id = format!("i-{number}");
        let served = record.clone();
        let address = start_server(&id, 101 + number, move |work| run(&served, work));
        register(&store, &id, "llm", &format!("z-{number}"), 12, address);
    }
    let seeds = [11, 12, 13];
    let mut vms: Vec<Vm> = seeds.iter().map(|number| Vm::start(*number, &seeds, &format!("z-{}", number - 11), store.address)).collect();
    let started = Instant::now();
    if !wait_ready(&vms.iter().collect::<Vec<_>>(), Duration::from_secs(10)) {
        eprintln!("the VMs are not ready");
        exit(2);
    }
    sleep(WARM_UP.saturating_sub(started.elapsed()));

    let mut all: Vec<Conversation> = (0..CONVERSATIONS)
        .map(|_| Conversation { program: new_id(), newest: None, number: 0, broken: false, lost: false })
        .collect();
    for _ in 0..FIRST_TURNS {
        turns(&record, &mut all, &[&vms[0]], "/chat/turn");
    }
    record.tell("the first turns are over");
    sleep(PAUSES[0]);
    turns(&record, &mut all, &[&vms[0]], "/chat/turn");
    record.tell("the thirteenth turns are over");
    sleep(PAUSES[1]);
    if has_trouble() {
        vms[0].terminate();
        record.tell("edge-11 gets SIGTERM");
    }
    sleep(AFTER_SIGTERM);
    turns(&record, &mut all, &[&vms[0], &vms[1]], "/chat/long");
    record.tell("the fourteenth turns are over");
    if has_trouble() {
        let until = Instant::now() + Duration::from_secs(8);
        while !vms[0].has_ended() && Instant::now() < until {
            sleep(Duration::from_millis(5));
        }
        record.tell("edge-11 has ended and starts again");
        vms[0].kill();
        vms[0].restart();
    }
    let begun = all.iter().filter(|one| !one.broken).count();
    if begun < CONVERSATIONS / 2 {
        eprintln!("too few conversations came so far");
        exit(2);
    }
    sleep(LAST_PAUSE);
    turns(&record, &mut all, &[&vms[1], &vms[2]], "/chat/turn");
    let lost = all.iter().filter(|one| one.lost).count();
    record.tell(&format!(
        "of {begun} conversations with fourteen turns, {lost} were answered 404 at the fifteenth, though the fourteenth was answered whole less than {} s before",
        RETAIN.as_secs()
    ));
    drop(vms);
    exit(i32::from(lost > 0));
}
