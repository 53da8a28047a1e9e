//! Case 1: kept turns after the loss of most VMs.

#[path = "../support.rs"]
mod support;

use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
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
    let (count, lines_count, turns) = (env("VMS", 11), env("LINES", 3600), env("TURNS", 6));
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
    store.put("keyed.op", "config", r#"{"version":7,"routes":[{"name":"r-i9n73hh","host":"site.example","pathPrefix":"/lohu930/","kind":"stream","timeoutMs":3000,"sloMs":250,"priority":1,"service":"huvo11a","attempts":1,"retain":true,"retainS":60.0,"sticky":true,"canResume":false,"gapTargetMs":200}],"services":[{"name":"huvo11a","healthPath":"/healthz","maxConns":150,"proto":"h1","tls":false,"engine":{"slots":12,"kvCapTokens":108518,"kvTokenBytes":18432,"chunkTokens":11,"most":12}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#);
    let zones = ["cluj-a", "cluj-b", "oradea-a", "oradea-b"];
    let mut vms: Vec<Vm> = (1..=count as u8)
        .map(|number| Vm::start(10 + number, &[11, 12, 13], zones[usize::from(number) % 4], store.address))
        .collect();
    if !wait_ready(&vms.iter().collect::<Vec<_>>(), Duration::from_secs(15)) {
        record.tell("not all VMs got ready");
        drop(vms);
        std::process::exit(2);
    }
    sleep(Duration::from_secs(6));
    let addresses: Vec<_> = vms.iter().map(|vm| vm.callers).collect();
    let lines = Arc::new(Mutex::new(vec![Line::default(); lines_count]));
    let begin = Instant::now();
    let (workers, per_second) = (env("WORKERS", 64), env("RATE", 450));
    let threads: Vec<_> = (0..workers)
        .map(|worker| {
            let (world, lines, vms) = (Arc::clone(&world), Arc::clone(&lines), addresses.clone());
            std::thread::spawn(move || {
                let mut next = begin;
                for _ in 0..turns {
                    for number in (worker..lines_count).step_by(workers) {
                        sleep(next.saturating_duration_since(Instant::now()));
                        next += Duration::from_secs(workers as u64) / per_second as u32;
                        let line = lines.lock().unwrap()[number].clone();
                        if let Ok(next) = world.turn(&vms, number, &line, 3) {
                            lines.lock().unwrap()[number] = next;
                        }
                    }
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().unwrap();
    }
    let kept: Vec<Line> = lines.lock().unwrap().clone();
    let said: usize = kept.iter().map(|line| line.said.len()).sum();
    record.tell(&format!("{} lines, {said} bytes said, in {:.1} s", kept.iter().filter(|line| line.prev.is_some()).count(), begin.elapsed().as_secs_f64()));
    let told = Instant::now();
    let mut addresses = addresses;
    if trouble {
        let survivors = env("SURVIVORS", 3);
        record.tell(&format!("{} of {count} VMs are killed", count - survivors));
        for vm in &mut vms[survivors..] {
            vm.kill();
        }
        addresses.truncate(survivors);
        sleep(Duration::from_millis(env("PAUSE", 2000) as u64));
    }
    let results = Arc::new(Mutex::new(HashMap::<u16, usize>::new()));
    let refused = Arc::new(Mutex::new(Vec::new()));
    let threads: Vec<_> = kept
        .iter()
        .cloned()
        .enumerate()
        .filter(|(_, line)| line.at.is_some_and(|at| at.elapsed() < Duration::from_secs(50)))
        .take(env("AGAIN", 400))
        .map(|(number, line)| {
            sleep(Duration::from_secs(1) / env("AGAIN_RATE", 100_000) as u32);
            let (world, vms, results) = (Arc::clone(&world), addresses.clone(), Arc::clone(&results));
            let refused = Arc::clone(&refused);
            std::thread::spawn(move || {
                let status = match world.turn(&vms, number, &line, 4) {
                    Ok(_) => 200,
                    Err(status) => status,
                };
                if status == 404 {
                    refused.lock().unwrap().extend(line.prev.clone());
                }
                *results.lock().unwrap().entry(status).or_default() += 1;
            })
        })
        .collect();
    for thread in threads {
        thread.join().unwrap();
    }
    let results = results.lock().unwrap();
    record.tell(&format!("{:.1} s after the last turn the lines ended with {results:?}", told.elapsed().as_secs_f64()));
    let lost = results.get(&404).copied().unwrap_or(0);
    record.tell(&format!("{lost} turns that had been answered whole were answered 404"));
    let stored: Vec<_> = (0..16).map(|number| store.values(&format!("keyed.turns{number}"))).collect();
    let present = refused.lock().unwrap().iter().filter(|id| stored.iter().any(|turns| turns.contains_key(*id))).count();
    record.tell(&format!("{present} of these are at the store"));
    drop(vms);
    std::process::exit(i32::from(lost > 0));
}
