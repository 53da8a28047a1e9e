//! The machines of the store are restarted one after the other, a third of its partitions at a time;
//! a VM is killed meanwhile. A program uses its tokens before and after.

#[path = "../support.rs"]
mod support;

use std::process::exit;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};
use support::*;

const BUDGET: u64 = 2320;
/// Tokens of one event, and events of one turn: each turn uses the most tokens that it may.
const TOKENS_PER_EVENT: u64 = 11;
const EVENTS: u64 = 26;
const MOST: u64 = TOKENS_PER_EVENT * EVENTS;
/// Turns while the first third of the partitions is down.
const TURNS_IN_OUTAGE: usize = 6;
/// Time for which a third of the partitions is down.
const OUTAGE: Duration = Duration::from_millis(5500);
/// Time for which the killed VM is down.
const DOWN: Duration = Duration::from_millis(3500);
const DEADLINE: Duration = Duration::from_millis(3000);

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"chat","host":"site.example","pathPrefix":"/chat/","kind":"stream","timeoutMs":3000,"sloMs":250,"gapTargetMs":200,"attempts":1,"priority":0,"service":"llm","canResume":false,"retain":false,"retainS":60,"sticky":true}],"services":[{"name":"llm","maxConns":150,"engine":{"slots":12,"kvCapTokens":108518,"chunkTokens":11,"moves":false,"backups":false,"pinMs":0}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000}}"#;

fn run(record: &Record, mut work: Work<'_>) -> bool {
    record_run(record, work.request);
    if !work.begin_stream() {
        return false;
    }
    for number in 1..=EVENTS {
        sleep(Duration::from_millis(2));
        if !work.event(number, "word") {
            return false;
        }
    }
    work.end_stream()
}

struct Caller {
    record: Record,
    program: String,
    /// Tokens of the events that it got.
    tokens: AtomicU64,
    turns: Mutex<usize>,
}

impl Caller {
    fn new(record: &Record) -> Self {
        Self { record: record.clone(), program: new_id(), tokens: AtomicU64::new(0), turns: Mutex::default() }
    }

    fn attempt(&self, to: &Vm) -> Reply {
        let id = new_id();
        let headers = [
            ("X-Request-Id", id.clone()),
            ("X-Program", self.program.clone()),
            ("X-Session", self.program.clone()),
            ("X-Finish-Ms", "5200".to_owned()),
            ("X-Token-Budget", BUDGET.to_string()),
            ("X-Token-Count", format!("900,{MOST}")),
            ("X-Prompt-Prefix", format!("{id}:900")),
            ("X-Model", "m".to_owned()),
            ("X-Deadline-Ms", DEADLINE.as_millis().to_string()),
        ];
        let reply = call(to.callers, "POST", "/chat/turn", &headers, b"a turn", DEADLINE);
        let tokens = reply.events() as u64 * TOKENS_PER_EVENT * u64::from(reply.status == 200);
        let total = self.tokens.fetch_add(tokens, Ordering::SeqCst) + tokens;
        self.record.line(&format!(
            "caller: turn {id} of program {} at {}: {} {}, {tokens} tokens, {total} in all",
            self.program, to.name, reply.status,
            if reply.status == 200 { String::new() } else { reply.text() }
        ));
        reply
    }

    /// Asks until the turn is served or refused for good, for at most 8 s.
    fn turn(&self, vms: &[&Vm]) -> u16 {
        let began = Instant::now();
        let mut asked = 0;
        while began.elapsed() < Duration::from_secs(8) {
            let reply = self.attempt(vms[asked % vms.len()]);
            asked += 1;
            if reply.status == 200 && reply.whole {
                *self.turns.lock().unwrap() += 1;
                return 200;
            }
            if reply.status == 402 {
                return 402;
            }
            sleep(reply.retry_after().unwrap_or(Duration::from_millis(200)).min(DEADLINE / 3));
        }
        0
    }

    fn total(&self) -> u64 {
        self.tokens.load(Ordering::SeqCst)
    }
}

fn main() {
    limit_run(Duration::from_secs(100));
    let record = Record::create(&std::env::args().nth(1).expect("the path of the record"));
    let store = Store::start();
    store.answer_ms.store(4, Ordering::SeqCst);
    store.put("keyed.op", "config", CONFIG);
    for number in 0..3u8 {
        let id = format!("i-{number}");
        let served = record.clone();
        let address = start_server(&id, 101 + number, move |work| run(&served, work));
        register(&store, &id, "llm", &format!("z-{number}"), 12, address);
    }
    let seeds = [11, 12, 13];
    let mut vms: Vec<Vm> = seeds.iter().map(|number| Vm::start(*number, &seeds, &format!("z-{}", number - 11), store.address)).collect();
    if !wait_ready(&vms.iter().collect::<Vec<_>>(), Duration::from_secs(10)) {
        eprintln!("the VMs are not ready");
        exit(2);
    }
    sleep(Duration::from_secs(8));

    // A program whose balancer sends it to the VM that counts its tokens.
    let mut found = None;
    for number in 0..40 {
        let (at, caller) = (number % 3, Caller::new(&record));
        if caller.turn(&[&vms[at]]) != 200 {
            continue;
        }
        let Some((part, _)) = store.find("keyed.allowance", &caller.program).pop() else {
            continue;
        };
        let owner = store.value("keyed.allowance", part, "@owner").unwrap_or_default();
        if owner.starts_with(&format!("{}:", vms[at].callers.ip())) {
            found = Some((at, caller, part));
            break;
        }
    }
    let Some((at, caller, part)) = found else {
        eprintln!("no program is counted by the VM that it came to");
        exit(2);
    };
    record.tell(&format!("program {} is counted in partition {part}, at {}", caller.program, vms[at].name));

    let third = (part % 3) as u8;
    let began = Instant::now();
    if has_trouble() {
        store.third_down.store(third, Ordering::SeqCst);
        record.tell(&format!("partitions {third}, {}, {}, {} of the store are down (503)", third + 3, third + 6, third + 9));
    }
    for _ in 0..TURNS_IN_OUTAGE {
        caller.turn(&[&vms[at]]);
    }
    record.tell(&format!("{} tokens after {} turns", caller.total(), caller.turns.lock().unwrap()));
    let mut killed = None;
    if has_trouble() {
        sleep((OUTAGE - Duration::from_millis(300)).saturating_sub(began.elapsed()));
        vms[at].kill();
        killed = Some(Instant::now());
        record.tell(&format!("{} is killed (SIGKILL)", vms[at].name));
        sleep(OUTAGE.saturating_sub(began.elapsed()));
        let next = (third + 1) % 3;
        store.third_down.store(next, Ordering::SeqCst);
        record.tell(&format!("these are back; partitions {next}, {}, {}, {} are down", next + 3, next + 6, next + 9));
        let store = store.clone();
        let record = record.clone();
        std::thread::spawn(move || {
            sleep(OUTAGE);
            store.third_down.store((third + 2) % 3, Ordering::SeqCst);
            record.tell("the last third is down");
            sleep(OUTAGE);
            store.third_down.store(NO_THIRD, Ordering::SeqCst);
            record.tell("all partitions are up");
        });
    }
    let others: Vec<usize> = (0..3).filter(|number| *number != at).collect();
    let mut last = 0;
    for number in 0..20 {
        if killed.is_some_and(|when| when.elapsed() >= DOWN) {
            killed = None;
            vms[at].restart();
            record.tell(&format!("{} starts again", vms[at].name));
        }
        let (one, other) = (&vms[others[number % 2]], &vms[others[(number + 1) % 2]]);
        last = caller.turn(&[one, other]);
        if last != 200 {
            break;
        }
    }
    let (total, most) = (caller.total(), BUDGET + MOST);
    record.tell(&format!(
        "the program got {total} tokens in {} turns (last answer {last}); its budget and one turn are {most}",
        caller.turns.lock().unwrap()
    ));
    drop(vms);
    exit(i32::from(total > most));
}
