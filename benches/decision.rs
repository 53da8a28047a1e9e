//! Cost of a scheduling decision (request, grant and finish a call) while other calls are queued,
//! and of an admission decision, for several numbers of servers and programs.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use std::hint::black_box;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::{Permit, Program, Server, Shard, Tokens};
use vanillatrail::policy::admit::Admission;
use vanillatrail::policy::{Action, Pool, Request};

const SERVERS: [usize; 3] = [10, 100, 3_600];
const PROGRAMS: [u64; 3] = [100, 10_000, 87_000];
/// Calls per server that suffice to fill every concurrency window.
const MAX_CALLS_PER_SERVER: u64 = 64;

fn call_request(program: u64) -> Request {
    Request {
        program: Program::new(Shard(0), u128::from(program)),
        class: None,
        slack_ms: i64::try_from(program % 60_000).unwrap_or(0),
        remaining_ms: 20_000,
        prompt: Tokens(2_000),
        max_tokens: Tokens(256),
        resident: Vec::new(),
        avoid: Vec::new(),
        zone: None,
    }
}

/// Pool with full concurrency windows and `waiting` queued calls.
fn pool(now: Instant, servers: usize, waiting: u64) -> Pool {
    let mut pool = Pool::default();
    let name = |index| format!("server-{index}").parse().expect("a valid name");
    let names: Vec<Server> = (0..servers).map(name).collect();
    pool.set_servers(&names);
    let max_calls = servers as u64 * MAX_CALLS_PER_SERVER;
    let mut permit = 0;
    while pool.load().0 == 0 && permit < max_calls {
        // `load` is linear in the number of servers, so it runs once per batch of calls.
        for _ in 0..servers {
            permit += 1;
            pool.request(now, Permit(permit), call_request(permit));
        }
    }
    let missing = waiting.saturating_sub(pool.load().0 as u64);
    for _ in 0..missing {
        permit += 1;
        pool.request(now, Permit(permit), call_request(permit));
    }
    pool
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("ask, done, grant");
    group.sample_size(20);
    let now = Instant::now();
    for servers in SERVERS {
        for waiting in PROGRAMS {
            let mut pool = pool(now, servers, waiting);
            let mut next_permit = 1_000_000;
            let mut running = vec![Permit(1)];
            let id = BenchmarkId::new(format!("{servers} servers"), waiting);
            group.bench_function(id, |bencher| {
                bencher.iter(|| {
                    next_permit += 1;
                    black_box(pool.request(now, Permit(next_permit), call_request(next_permit)));
                    let finished = running
                        .pop()
                        .expect("each finished call lets another one start");
                    let actions = pool.finish(now, finished, None);
                    running.extend(actions.iter().filter_map(|action| match action {
                        Action::Grant(permit, _) => Some(*permit),
                        _ => None,
                    }));
                });
            });
        }
    }
    group.finish();
}

fn admissions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admit");
    group.sample_size(20);
    let now = Instant::now();
    for programs in PROGRAMS {
        let mut admission = Admission::default();
        for program in 0..programs {
            let deadline = now + Duration::from_millis(program * 41 % 3_600_000);
            let id = Program::new(Shard(0), u128::from(program));
            admission.reserve(now, id, deadline, 1_000.0);
        }
        group.bench_function(BenchmarkId::from_parameter(programs), |bencher| {
            let deadline = now + Duration::from_mins(1);
            bencher.iter(|| black_box(admission.admit(now, deadline, 1_000.0, 3_600.0)));
        });
    }
    group.finish();
}

criterion_group!(benches, decisions, admissions);
criterion_main!(benches);
