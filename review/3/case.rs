//! Case 3: a line of kept turns after the loss of a VM that the store turned away.

#[path = "../support.rs"]
mod support;

use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};
use support::*;

fn env(name: &str, default: usize) -> usize {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn digest(bytes: &[u8]) -> u64 {
    let mut hasher = std::collections::hash_map::DefaultHasher::new();
    bytes.hash(&mut hasher);
    hasher.finish()
}

/// One line of turns.
#[derive(Clone, Default)]
struct Line {
    prev: Option<String>,
    /// When the last turn was answered.
    at: Option<Instant>,
    /// Inputs and outputs so far.
    said: Vec<u8>,
}

struct World {
    record: Record,
    /// Digest of the body that each request ran with, by its id.
    ran: Mutex<HashMap<String, u64>>,
    bytes: usize,
}

impl World {
    /// One attempt of a turn; returns the reply, and the line after it if it was answered whole.
    fn attempt(&self, vm: SocketAddr, number: usize, line: &Line) -> (Reply, Option<Line>) {
        let id = new_id();
        let mut input = format!("input of {number} {id} ").into_bytes();
        input.resize(self.bytes, b'a' + (number % 26) as u8);
        let mut headers = vec![
            ("X-Request-Id", id.clone()),
            ("X-Program", format!("{:06x}", 0x3f_a800 + number)),
            ("X-Session", format!("{:06x}", 0x77_d200 + number)),
            ("X-Finish-Ms", "20000".to_owned()),
            ("X-Token-Budget", "100000".to_owned()),
            ("X-Token-Count", "1166,60".to_owned()),
            ("X-Prompt-Prefix", format!("5c1e07a2:512,{:08x}:654", 0x91bd_0000 + number)),
            ("X-Model", "m".to_owned()),
            ("X-Deadline-Ms", "3000".to_owned()),
        ];
        if let Some(prev) = &line.prev {
            headers.push(("X-Prev-Turn", prev.clone()));
        }
        let reply = call(vm, "POST", "/lohu930/4b", &headers, &input, Duration::from_secs(3));
        let prev = line.prev.clone().unwrap_or_default();
        self.record.line(&format!("line {number} turn {id} after {prev} to {vm}: {} whole {}", reply.status, reply.whole));
        if reply.status != 200 || !reply.whole {
            return (reply, None);
        }
        let mut sent = line.said.clone();
        sent.extend_from_slice(&input);
        let ran = self.ran.lock().unwrap().get(&id).copied();
        if ran != Some(digest(&sent)) {
            self.record.tell(&format!("line {number} turn {id} ran with another body"));
        }
        for event in reply.text().split("\n\n") {
            for text in event.lines() {
                if let Some(data) = text.strip_prefix("data: ") {
                    sent.extend_from_slice(data.as_bytes());
                    sent.push(b'\n');
                }
            }
        }
        (reply, Some(Line { prev: Some(id), at: Some(Instant::now()), said: sent }))
    }

    /// A turn of a line with the attempts that callers make.
    fn turn(&self, vms: &[SocketAddr], number: usize, line: &Line, attempts: usize) -> Result<Line, u16> {
        let mut status = 0;
        for attempt in 0..attempts {
            let (reply, next) = self.attempt(vms[(number + attempt) % vms.len()], number, line);
            if let Some(next) = next {
                return Ok(next);
            }
            status = reply.status;
            if status == 404 || status == 402 {
                break;
            }
            sleep(reply.retry_after().unwrap_or(Duration::from_millis(200)).min(Duration::from_secs(1)));
        }
        Err(status)
    }
}

fn main() {
    limit_run(Duration::from_secs(112));
    let record = Record::create(&std::env::args().nth(1).expect("the path of the record"));
    let trouble = has_trouble();
    let (count, lines_count, _) = (env("VMS", 4), env("LINES", 40), 0);
    let store = Store::start();
    let world = Arc::new(World { record: record.clone(), ran: Mutex::default(), bytes: env("BYTES", 4300) });
    for number in 0..9u8 {
        let id = format!("i-7f3a91c{number}");
        let (world, name) = (Arc::clone(&world), id.clone());
        let address = start_server(&id, 200 + number, move |mut work| {
            let id = work.request.header("x-request-id").to_owned();
            world.record.line(&format!("server {name} runs {id}, {} bytes", work.request.body.len()));
            world.ran.lock().unwrap().insert(id, digest(&work.request.body));
            let mut fine = work.begin_stream();
            for number in 1..=5 {
                sleep(Duration::from_millis(3));
                fine = fine && work.event(number, &"w".repeat(70));
            }
            fine && work.end_stream()
        });
        register(&store, &id, "huvo11a", "cluj-a", 12, address);
    }
    store.put("keyed.op", "config", r#"{"version":7,"routes":[{"name":"r-i9n73hh","host":"site.example","pathPrefix":"/lohu930/","kind":"stream","timeoutMs":3000,"sloMs":250,"priority":1,"service":"huvo11a","attempts":1,"retain":true,"retainS":20.0,"sticky":true,"canResume":false,"gapTargetMs":200}],"services":[{"name":"huvo11a","healthPath":"/healthz","maxConns":150,"proto":"h1","tls":false,"engine":{"slots":12,"kvCapTokens":108518,"kvTokenBytes":18432,"chunkTokens":11,"most":12}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#);
    let zones = ["cluj-a", "cluj-b", "oradea-a", "oradea-b"];
    let turned_away = Arc::new(AtomicBool::new(false));
    let endpoints: Vec<_> = (0..count)
        .map(|number| store.endpoint(if number == 1 { Arc::clone(&turned_away) } else { Arc::default() }))
        .collect();
    let start = Instant::now();
    let at = |second: u64| sleep((start + Duration::from_secs(second)).saturating_duration_since(Instant::now()));
    let mut vms: Vec<Vm> = (1..=count as u8)
        .map(|number| Vm::start(10 + number, &[11, 12, 13], zones[usize::from(number) % 4], endpoints[usize::from(number) - 1]))
        .collect();
    if !wait_ready(&vms.iter().collect::<Vec<_>>(), Duration::from_secs(7)) {
        record.tell("not all VMs got ready");
        drop(vms);
        std::process::exit(2);
    }
    let all: Vec<_> = vms.iter().map(|vm| vm.callers).collect();
    let others: Vec<_> = vms.iter().enumerate().filter(|(number, _)| *number != 1).map(|(_, vm)| vm.callers).collect();
    let mut lines = vec![Some(Line::default()); lines_count];
    let turn = |name: &str, vms: &[SocketAddr], lines: &mut Vec<Option<Line>>| {
        let threads: Vec<_> = lines
            .iter()
            .cloned()
            .enumerate()
            .map(|(number, line)| {
                let (world, vms) = (Arc::clone(&world), vms.to_vec());
                std::thread::spawn(move || line.map(|line| world.turn(&vms, number, &line, 4)))
            })
            .collect();
        let (mut done, mut lost) = (0, 0);
        for (line, thread) in lines.iter_mut().zip(threads) {
            let result = thread.join().unwrap();
            done += usize::from(matches!(result, Some(Ok(_))));
            lost += usize::from(matches!(result, Some(Err(404))));
            *line = result.and_then(Result::ok);
        }
        record.tell(&format!("{name}: {done} of {lines_count} lines answered whole, {lost} answered 404"));
        (done, lost)
    };
    at(7);
    turn("first turns", &all, &mut lines);
    at(25);
    turn("second turns", &all, &mut lines);
    if trouble {
        at(41);
        record.tell("the store turns one VM away");
        turned_away.store(true, Ordering::SeqCst);
    }
    at(43);
    // Through that VM.
    let (served, _) = turn("third turns", &all[1..2], &mut lines);
    if trouble {
        at(46);
        record.tell("that VM is killed");
        vms[1].kill();
        turned_away.store(false, Ordering::SeqCst);
    }
    let told: Vec<_> = lines.iter().flatten().filter_map(|line| line.at).collect();
    at(61);
    sleep(Duration::from_millis(500));
    let oldest = told.iter().map(|at| at.elapsed().as_secs_f64()).fold(0.0, f64::max);
    record.tell(&format!("the third turns were answered whole at most {oldest:.1} s ago; retainS is 20"));
    let (_, lost) = turn("fourth turns", &others, &mut lines);
    drop(vms);
    std::process::exit(if served == 0 || oldest >= 20.0 { 2 } else { i32::from(lost > 0) });
}
