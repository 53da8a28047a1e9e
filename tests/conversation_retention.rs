//! Conversations can be continued for the whole retention time, however the VM that served them ends and wherever
//! their records lie.

mod platform;

use platform::program::wait_until_joined;
use platform::{Act, Backend, Reply, Store, Vm, call, chunk, stream_head, until};
use serde_json::json;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use vanillatrail::conversation::{Id, Layout, Turn};

const EARLIER_TURNS: usize = 6;
/// Retention of the earlier turns, short enough that the last turn has to extend it.
const SHORT_RETENTION_S: u64 = 1;
const RETENTION_S: u64 = 60;
const LAYOUT: Layout = Layout {
    topics: 16,
    partitions: 4,
};

/// How the VM ends that served the last turn, right after the answer.
#[derive(Debug, Clone, Copy)]
enum End {
    Killed,
    Stopped,
}

/// What is unavailable while the last turn runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Nothing,
    /// The partition of one of the earlier turns.
    OnePartition,
    /// All partitions of turns, but not the fallback partitions.
    OwnPartitions,
    /// The store takes no turns from the VM.
    TurnedAway,
    /// The VM has restarted, so that earlier turns are not in memory, and the partition of one of them is read-only.
    EmptyCache,
}

struct Site {
    backend: Backend,
    store: Store,
    endpoint: Store,
    vms: Vec<Vm>,
}

fn configure(store: &Store, version: u64, retention_s: u64) {
    let settings = json!({
        "retain": true, "canResume": false, "attempts": 1, "retainS": retention_s,
    });
    store.configure(version, &[("/chat/", "stream", settings)]);
}

impl Site {
    /// Starts two VMs, the first with an endpoint of the store for itself.
    fn start() -> Self {
        let backend = Backend::start(|request, _| {
            let id = request.header("x-request-id");
            let event = chunk(&format!("id: 1\ndata: {id}\n\n"));
            Act::Keep(format!("{}{event}0\r\n\r\n", stream_head(request)).into_bytes())
        });
        let store = Store::start();
        configure(&store, 1, SHORT_RETENTION_S);
        store.register("s", "pool", backend.address, "ready");
        let endpoint = store.new_endpoint();
        let vms = vec![Vm::start(&endpoint), Vm::start(&store)];
        wait_until_joined(&vms);
        Self {
            backend,
            store,
            endpoint,
            vms,
        }
    }

    fn turn(&self, vm: usize, number: usize) -> Reply {
        let id = format!("t{number}");
        let prev = format!("t{}", number.saturating_sub(1));
        let mut headers = vec![("X-Request-Id", &*id), ("X-Deadline-Ms", "3000")];
        if number > 0 {
            headers.push(("X-Prev-Turn", &prev));
        }
        call(self.vms[vm].callers, "POST", "/chat/x", &headers, b"input")
    }

    /// Raises the retention time and waits until the VMs apply it.
    fn raise_retention(&self) {
        configure(&self.store, 2, RETENTION_S);
        for vm in &self.vms {
            until("the VM applies the configuration", || {
                vm.state()["config"].as_u64() == Some(2)
            });
        }
    }

    /// Latest end of retention of a turn in the records of the store.
    fn until_ms(&self, number: usize) -> Option<u64> {
        let id = format!("t{number}");
        let records = self.store.newest_values("keyed.turn");
        let turns = records.iter().filter_map(|record| Turn::decode(record));
        let turns = turns.filter(|turn| turn.id.as_str() == id);
        turns.map(|turn| turn.until_ms).max()
    }
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.expect("after 1970").as_millis()).expect("small")
}

fn apply(fault: Fault, site: &mut Site) {
    let earlier: Id = "t2".parse().expect("an ID");
    let bucket = LAYOUT.bucket(&earlier);
    let topic = format!("keyed.turns{}", LAYOUT.topic(bucket));
    match fault {
        Fault::Nothing => {}
        Fault::OnePartition => {
            for store in [&site.store, &site.endpoint] {
                store.set_unavailable_partitions(&[(&topic, LAYOUT.partition(bucket))]);
            }
        }
        Fault::OwnPartitions => {
            site.store.refuse_appends(Some("keyed.turns"));
            site.endpoint.refuse_appends(Some("keyed.turns"));
        }
        Fault::TurnedAway => site.endpoint.refuse_appends(Some("keyed.turn")),
        Fault::EmptyCache => {
            for vm in &mut site.vms {
                vm.kill();
                vm.restart();
            }
            wait_until_joined(&site.vms);
            site.store.refuse_appends(Some(&topic));
            site.endpoint.refuse_appends(Some(&topic));
        }
    }
}

/// Guards against a conversation whose earlier turns expire before its newest one, since their longer retention was lost
/// with the VM after the answer had ended.
#[test]
fn an_answer_ends_after_the_retention_of_earlier_turns_is_durable() {
    let faults = [
        Fault::Nothing,
        Fault::OnePartition,
        Fault::OwnPartitions,
        Fault::TurnedAway,
        Fault::EmptyCache,
    ];
    std::thread::scope(|scope| {
        for fault in faults {
            for end in [End::Killed, End::Stopped] {
                scope.spawn(move || check(fault, end));
            }
        }
    });
}

fn check(fault: Fault, end: End) {
    let mut site = Site::start();
    for number in 0..EARLIER_TURNS {
        assert!(site.turn(0, number).whole);
    }
    site.raise_retention();
    apply(fault, &mut site);
    let reply = site.turn(0, EARLIER_TURNS);
    let ended_ms = now_ms();
    assert!(reply.status == 200 && reply.whole, "{fault:?}: {reply:?}");
    match end {
        End::Killed => site.vms[0].kill(),
        End::Stopped => {
            site.vms[0].terminate();
            site.vms[0].wait();
        }
    }
    for number in 0..=EARLIER_TURNS {
        let until_ms = site.until_ms(number).expect("the turn is recorded");
        assert!(
            until_ms >= ended_ms + RETENTION_S * 1000,
            "{fault:?}, {end:?}: turn {number} is kept for {} ms",
            until_ms.saturating_sub(ended_ms)
        );
    }
    for store in [&site.store, &site.endpoint] {
        store.set_unavailable_partitions(&[]);
        store.refuse_appends(None);
    }
    let reply = site.turn(1, EARLIER_TURNS + 1);
    assert!(reply.status == 200 && reply.whole, "{fault:?}: {reply:?}");
    let requests = site.backend.requests.lock().expect("not poisoned");
    let body = String::from_utf8_lossy(&requests.last().expect("a request").body).into_owned();
    let history = (0..=EARLIER_TURNS).map(|number| format!("inputt{number}\n"));
    assert_eq!(body, history.collect::<Vec<_>>().concat() + "input");
}

/// Guards against a complete answer where the retention of an earlier turn can't be extended at all.
#[test]
fn an_answer_is_cut_if_an_earlier_turn_can_not_be_kept() {
    let site = Site::start();
    for number in 0..EARLIER_TURNS {
        assert!(site.turn(0, number).whole);
    }
    site.raise_retention();
    for store in [&site.store, &site.endpoint] {
        store.refuse_appends(Some("keyed.turn"));
    }
    let reply = site.turn(0, EARLIER_TURNS);
    assert_eq!((reply.status, reply.whole), (200, false));
    for store in [&site.store, &site.endpoint] {
        store.refuse_appends(None);
    }
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(site.until_ms(EARLIER_TURNS), None);
}

/// Guards against a sweep that deletes a turn whose retention was extended after the sweep had read it.
#[test]
fn a_sweep_keeps_a_turn_that_is_extended_meanwhile() {
    let site = Site::start();
    assert!(site.turn(0, 0).whole);
    let id: Id = "t0".parse().expect("an ID");
    let bucket = LAYOUT.bucket(&id);
    let (topic, part) = (
        format!("keyed.turns{}", LAYOUT.topic(bucket)),
        LAYOUT.partition(bucket),
    );
    let records = site.store.newest_values(&topic);
    let turn = records.iter().find_map(|record| Turn::decode(record));
    let extended = Turn {
        until_ms: now_ms() + 600_000,
        ..turn.expect("the turn is recorded")
    };
    // The turn has expired when the first sweep comes, a minute after the start.
    std::thread::sleep(Duration::from_secs(50));
    let appends = || {
        let stores = [&site.store, &site.endpoint].into_iter();
        let counts = stores.map(|store| store.request_count("/log-append", &topic));
        counts.sum::<usize>()
    };
    let before = appends();
    for store in [&site.store, &site.endpoint] {
        store.set_append_delay(Duration::from_millis(500));
    }
    until("a VM deletes the turn", || appends() > before);
    site.store
        .put_record(&topic, part, id.as_str(), &extended.encode());
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(site.until_ms(0), Some(extended.until_ms));
}

/// Records turns of `bytes` each that conversations continue from, in all partitions.
fn put_turns(store: &Store, ids: impl Iterator<Item = String>, bytes: usize) {
    for id in ids {
        let turn = Turn {
            id: id.parse().expect("an ID"),
            prev: None,
            until_ms: now_ms() + 600_000,
            input: vec![b'i'; bytes].into(),
            output: "o\n".into(),
        };
        let bucket = LAYOUT.bucket(&turn.id);
        let topic = format!("keyed.turns{}", LAYOUT.topic(bucket));
        store.put_record(&topic, LAYOUT.partition(bucket), &id, &turn.encode());
    }
}

fn continue_from(vm: &Vm, id: &str, prev: &str) -> Reply {
    let headers = [
        ("X-Request-Id", id),
        ("X-Deadline-Ms", "3000"),
        ("X-Prev-Turn", prev),
    ];
    call(vm.callers, "POST", "/chat/x", &headers, b"input")
}

/// Guards against a turn that is reported as missing, since the rest of its bucket evicted it from the cache right after
/// it was read.
#[test]
fn a_turn_of_a_bucket_larger_than_the_cache_is_found() {
    let site = Site::start();
    let wanted = "a0";
    let bucket = LAYOUT.bucket(&wanted.parse().expect("an ID"));
    let in_bucket = |id: &String| LAYOUT.bucket(&id.parse().expect("an ID")) == bucket;
    let others = (0..).map(|number| format!("b{number}")).filter(in_bucket);
    let ids = std::iter::once(wanted.to_owned()).chain(others.take(140));
    put_turns(&site.store, ids, 90_000);
    let reply = continue_from(&site.vms[0], "next", wanted);
    assert!(reply.status == 200 && reply.whole, "{reply:?}");
}

/// Guards against reads that share the bandwidth of the store and are all given up, when nearly all buckets are read after
/// the loss of all VMs.
#[test]
fn many_conversations_go_on_at_a_store_with_little_bandwidth() {
    const CONVERSATIONS: usize = 60;
    const RECOVERY: Duration = Duration::from_secs(12);
    let site = Site::start();
    let ids = |prefix| (0..CONVERSATIONS * 2).map(move |number| format!("{prefix}{number}"));
    put_turns(&site.store, ids("c"), 40_000);
    for store in [&site.store, &site.endpoint] {
        store.set_read_bandwidth(2_000_000);
    }
    let began = Instant::now();
    std::thread::scope(|scope| {
        for number in 0..CONVERSATIONS {
            let vm = &site.vms[number % 2];
            scope.spawn(move || {
                let prev = format!("c{number}");
                let mut tries = 0;
                let mut is_served = false;
                while !is_served && began.elapsed() < RECOVERY {
                    tries += 1;
                    let reply = continue_from(vm, &format!("d{number}-{tries}"), &prev);
                    assert!(matches!(reply.status, 200 | 503), "{reply:?}");
                    is_served = reply.status == 200;
                    std::thread::sleep(Duration::from_millis(300));
                }
                assert!(is_served, "{prev} after {tries} tries");
            });
        }
    });
}
