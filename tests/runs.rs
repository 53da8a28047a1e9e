//! Runs that outlive their engine, through the binary: engines that die, freeze, or hold no copy in the middle of a
//! stream that may not be resumed.

mod platform;

use platform::engine::{Cluster, EVENTS, Engine, configure};
use platform::{Reply, Store, Vm, call, until};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::policy::backup::{Candidate, Planner, Run, Skip};

struct Site<const ENGINES: usize> {
    cluster: Arc<Mutex<Cluster>>,
    engines: [Engine; ENGINES],
    store: Store,
    vm: Vm,
}

/// Starts engines and a VM.
fn start<const ENGINES: usize>(route: &Value, engine: &Value) -> Site<ENGINES> {
    let cluster = Arc::default();
    let store = Store::start();
    configure(&store, 1, route, engine);
    let engines = std::array::from_fn(|number| {
        let engine = Engine::start(&cluster);
        store.register(&format!("s{number}"), "pool", engine.address, "ready");
        engine
    });
    let vm = Vm::start(&store);
    vm.wait_ready();
    Site {
        cluster,
        engines,
        store,
        vm,
    }
}

impl<const ENGINES: usize> Site<ENGINES> {
    fn turn(&self, id: &str, headers: &[(&str, &str)], body: &str) -> Reply {
        let mut all = vec![("X-Request-Id", id), ("X-Deadline-Ms", "5000")];
        all.extend(headers);
        call(self.vm.callers, "POST", "/a/x", &all, body.as_bytes())
    }

    /// Lets the first engine that reaches `event` die there, and all others live.
    fn kill_one_at(&self, event: u64) {
        for engine in &self.engines {
            engine.dies_at.store(event, Ordering::Relaxed);
        }
        let engines = self.engines.clone();
        std::thread::spawn(move || {
            while !engines.iter().any(Engine::is_dead) {
                std::thread::sleep(Duration::from_millis(1));
            }
            for engine in &engines {
                engine.dies_at.store(0, Ordering::Relaxed);
            }
        });
    }

    fn requests(&self) -> usize {
        let counts = self.engines.iter();
        counts
            .map(|engine| engine.header_values("kv-from").len())
            .sum()
    }

    /// Waits for a log line: the VM writes its log from another thread.
    fn wait_for_line(&self, text: &str) {
        until(text, || !self.vm.lines(text).is_empty());
    }

    fn assert_never_doubled(&self) {
        assert!(
            self.cluster
                .lock()
                .expect("not poisoned")
                .doubled
                .is_empty()
        );
    }
}

fn all_events() -> String {
    let events: Vec<String> = (1..=EVENTS)
        .map(|n| {
            format!(
                "id: {n}
data: e{n}

"
            )
        })
        .collect();
    events.concat()
}

fn assert_whole(reply: &Reply) {
    assert!(reply.status == 200 && reply.whole, "{}", reply.text());
    assert_eq!(reply.text(), all_events());
}

/// An engine that dies in the middle of a stream must not lose its run: the caller sees one stream, the stored turn is
/// the whole of it, and its tokens count once against the budget.
#[test]
fn a_run_continues_from_its_copy() {
    let site = start::<2>(&json!({ "retain": true }), &json!({ "backups": true }));
    site.kill_one_at(5);
    let budget = [
        ("X-Program", "p"),
        ("X-Token-Budget", "320"),
        ("X-Token-Count", "100,200"),
    ];
    assert_whole(&site.turn("t1", &budget, "one"));
    let from: Vec<String> = site
        .engines
        .iter()
        .flat_map(|engine| engine.header_values("kv-from"))
        .filter(|from| !from.is_empty())
        .collect();
    let survivor = site.engines.iter().find(|engine| !engine.is_dead());
    let survivor = survivor.expect("one engine lives");
    assert_eq!(from, [format!("{}/t1", survivor.address)]);
    site.assert_never_doubled();
    // 120 tokens were used, so that exactly 200 are left. Counted twice, or with the whole grant, too few would be.
    let mut next = budget.to_vec();
    next.push(("X-Prev-Turn", "t1"));
    until("the unused tokens are returned", || {
        site.turn("t2", &next, "two").is_whole_success()
    });
    let data: Vec<String> = (1..=EVENTS).map(|n| format!("e{n}\n")).collect();
    let requests = survivor.requests.lock().expect("not poisoned");
    let body = &requests.last().expect("a request").body;
    assert_eq!(
        String::from_utf8_lossy(body),
        format!("one{}two", data.concat())
    );
    site.wait_for_line("event=run_continued");
    assert_eq!(site.vm.lines("event=run_continued").len(), 1);
}

/// A copy lags behind the stream. Events that the second engine generates again must not reach the caller twice.
#[test]
fn events_that_come_again_are_dropped() {
    let site = start::<2>(&json!({}), &json!({ "backups": true }));
    for engine in &site.engines {
        engine.lag.store(3, Ordering::Relaxed);
    }
    site.kill_one_at(6);
    assert_whole(&site.turn("r", &[], ""));
    site.assert_never_doubled();
}

/// Without a copy the stream is broken as ever, after complete events only, and the request runs once.
#[test]
fn a_run_without_a_copy_is_broken_off() {
    let site = start::<2>(&json!({}), &json!({ "backups": true }));
    for engine in &site.engines {
        engine.full.store(true, Ordering::Relaxed);
    }
    site.kill_one_at(5);
    let reply = site.turn("r", &[], "");
    assert!(reply.status == 200 && !reply.whole);
    assert!(reply.text().ends_with("data: e4\n\n"), "{}", reply.text());
    assert_eq!(site.requests(), 2, "the second engine was asked once");
    site.wait_for_line("outcome=no_copy");
}

/// An engine may die before it has sent an event. The caller has no answer yet, and gets it from the copy or, without
/// one, an error that does not promise that nothing ran.
#[test]
fn a_run_without_an_event_continues_or_fails() {
    let site = start::<2>(&json!({}), &json!({ "backups": true }));
    site.kill_one_at(1);
    assert_whole(&site.turn("r", &[], ""));
    site.assert_never_doubled();
    let site = start::<2>(&json!({}), &json!({ "backups": true }));
    for engine in &site.engines {
        engine.dies_at.store(1, Ordering::Relaxed);
    }
    let reply = site.turn("r", &[], "");
    assert_eq!((reply.status, site.requests()), (502, 2));
    site.assert_never_doubled();
}

/// Both the engine and the holder of the copy die. With two attempts the stream is broken; with three, the copy that
/// the second engine made continues it. No run starts anew.
#[test]
fn the_engine_of_the_copy_dies_too() {
    for (attempts, whole) in [(2, false), (3, true)] {
        let site = start::<3>(
            &json!({ "attempts": attempts }),
            &json!({ "backups": true }),
        );
        for engine in &site.engines {
            engine.dies_at.store(4, Ordering::Relaxed);
        }
        let engines = site.engines.clone();
        // The second engine dies later than the first, after it has sent events of its own.
        let killer = std::thread::spawn(move || {
            until("one engine died", || engines.iter().any(Engine::is_dead));
            for engine in &engines {
                engine.dies_at.store(8, Ordering::Relaxed);
            }
            let dead = || engines.iter().filter(|engine| engine.is_dead()).count();
            until("two engines died", || dead() == 2);
            for engine in &engines {
                engine.dies_at.store(0, Ordering::Relaxed);
            }
        });
        let reply = site.turn("r", &[], "");
        killer.join().expect("the engines died");
        assert_eq!(reply.whole, whole, "{}", reply.text());
        assert!(all_events().starts_with(&reply.text()), "{}", reply.text());
        site.assert_never_doubled();
    }
}

/// An engine stops to send but still holds its run. The run must go on elsewhere only after the first connection is
/// closed, so that it is never at work twice.
#[test]
fn a_silent_engine_loses_its_run_before_it_continues() {
    let site = start::<2>(&json!({}), &json!({ "backups": true }));
    for engine in &site.engines {
        engine.freezes_at.store(5, Ordering::Relaxed);
    }
    let engines = site.engines.clone();
    std::thread::spawn(move || {
        let frozen = |engine: &Engine| engine.frozen.load(Ordering::Relaxed);
        until("one engine is frozen", || engines.iter().any(frozen));
        for engine in &engines {
            engine.freezes_at.store(0, Ordering::Relaxed);
        }
    });
    assert_whole(&site.turn("r", &[], ""));
    site.assert_never_doubled();
    site.wait_for_line("after=stalled");
}

/// Routes that may be resumed, engines without the field and callers that set the headers themselves must see no
/// copies.
#[test]
fn other_routes_and_engines_get_no_copies() {
    let cases = [
        (json!({ "canResume": true }), json!({ "backups": true })),
        (json!({ "attempts": 1 }), json!({ "backups": true })),
        (json!({}), json!({})),
    ];
    for (route, engine) in cases {
        let site = start::<2>(&route, &engine);
        let forged = [("X-Kv-Backup", "127.0.0.1:1"), ("Kv-From", "127.0.0.1:1/r")];
        assert_whole(&site.turn("r", &forged, ""));
        for engine in &site.engines {
            for name in ["x-kv-backup", "kv-from"] {
                assert!(engine.header_values(name).iter().all(String::is_empty));
            }
        }
    }
}

/// A draining engine must get no copy: it is about to leave with it.
#[test]
fn a_draining_engine_gets_no_copy() {
    let site = start::<3>(&json!({}), &json!({ "backups": true }));
    let address = site.engines[2].address;
    site.store.register("s2", "pool", address, "draining");
    site.wait_for_line("event=server_draining");
    for number in 0..12 {
        site.turn(&format!("r{number}"), &[], "");
    }
    let targets: BTreeSet<String> = site
        .engines
        .iter()
        .flat_map(|engine| engine.header_values("x-kv-backup"))
        .collect();
    assert!(targets.len() > 1, "some runs were copied: {targets:?}");
    assert!(!targets.contains(&address.to_string()));
}

/// A run must not continue at an engine of another software version, which can't read its memory.
#[test]
fn an_engine_of_another_version_gets_no_copy() {
    let site = start::<4>(&json!({}), &json!({ "backups": true }));
    let (old, new) = site.engines.split_at(2);
    for (number, engine) in new.iter().enumerate() {
        let name = format!("s{}", number + 2);
        site.store
            .register_version(&name, "pool", engine.address, "ready", "v2");
    }
    until("the VM knows the versions", || {
        let servers = site.vm.state()["servers"].clone();
        let servers = servers.as_array().into_iter().flatten();
        servers.filter(|server| server["version"] == "v2").count() == 2
    });
    for number in 0..16 {
        site.turn(&format!("r{number}"), &[], "");
    }
    let mut copies = 0;
    for same_version in [old, new] {
        let addresses = same_version.iter().map(|engine| engine.address.to_string());
        let addresses: Vec<String> = addresses.collect();
        for engine in same_version {
            let targets = engine.header_values("x-kv-backup").into_iter();
            for target in targets.filter(|target| !target.is_empty()) {
                assert!(addresses.contains(&target), "{target}");
                copies += 1;
            }
        }
    }
    assert!(copies > 0, "some runs were copied");
}

/// A run must not move to an engine of another software version either.
#[test]
fn a_run_does_not_move_to_another_version() {
    let site = start::<2>(&json!({}), &json!({ "moves": true }));
    let versions = ["v1", "v2"];
    site.store
        .register_version("s1", "pool", site.engines[1].address, "ready", "v2");
    until("the VM knows the versions", || {
        site.vm.state()["servers"][0]["version"] != site.vm.state()["servers"][1]["version"]
    });
    for engine in &site.engines {
        engine.step_ms.store(100, Ordering::Relaxed);
    }
    assert_whole(&drain_under_run(&site, versions).0);
    let moves = |engine: &Engine| {
        let requests = engine.requests.lock().expect("not poisoned");
        let moves = requests
            .iter()
            .filter(|request| request.target == "/kv-move");
        moves.count()
    };
    assert_eq!(site.engines.iter().map(moves).sum::<usize>(), 0);
}

/// Lets a run begin, marks its engine as draining, and returns the reply and the engine. That engine takes runs back.
fn drain_under_run(site: &Site<2>, versions: [&str; 2]) -> (Reply, Engine) {
    // 10,000 expected tokens outlast the time that a draining engine has.
    let headers = [("X-Token-Count", "100,20000"), ("X-Length-Hint", "10000")];
    std::thread::scope(|scope| {
        let turn = scope.spawn(|| site.turn("r", &headers, ""));
        let began = |engine: &&Engine| !engine.header_values("x-request-id").is_empty();
        let numbered = || site.engines.iter().enumerate();
        until("the run began", || {
            numbered().any(|(_, engine)| began(&engine))
        });
        let (number, engine) = numbered()
            .find(|(_, engine)| began(engine))
            .expect("the run began");
        engine.full.store(false, Ordering::Relaxed);
        let name = format!("s{number}");
        site.store
            .register_version(&name, "pool", engine.address, "draining", versions[number]);
        (turn.join().expect("the call returns"), engine.clone())
    })
}

/// A run that outlasts its draining engine must move to another one, or go back where that has no room. In both cases
/// the caller sees one stream, the run is never at work twice, and no memory is left behind.
#[test]
fn a_run_moves_off_a_draining_engine() {
    for (no_room, refused) in [(false, false), (true, false), (false, true)] {
        let site = start::<2>(&json!({}), &json!({ "moves": true }));
        for engine in &site.engines {
            engine.step_ms.store(100, Ordering::Relaxed);
            engine.no_room.store(no_room, Ordering::Relaxed);
            engine.full.store(refused, Ordering::Relaxed);
        }
        let (reply, source) = drain_under_run(&site, ["v1"; 2]);
        assert_whole(&reply);
        let runs = |engine: &Engine| {
            let ids = engine.header_values("x-request-id");
            ids.iter().filter(|id| *id == "r").count()
        };
        let others = site.engines.iter().map(runs).sum::<usize>() - runs(&source);
        let expected = match (no_room, refused) {
            (true, _) => (2, 0),
            (_, true) => (2, 1),
            _ => (1, 1),
        };
        assert_eq!((runs(&source), others), expected);
        site.assert_never_doubled();
        assert_eq!(source.handles(), 0);
    }
}

/// The source of a move dies, and no handle is known. The run continues from its copy, where it has one, and is cut
/// else; it does not start anew.
#[test]
fn the_source_of_a_move_dies() {
    for backups in [true, false] {
        // Room for copies of the long run that is expected.
        let fields = json!({ "moves": true, "backups": backups, "kvCapTokens": 1_000_000 });
        let site = start::<2>(&json!({}), &fields);
        for engine in &site.engines {
            engine.step_ms.store(100, Ordering::Relaxed);
            engine.dies_on_move.store(true, Ordering::Relaxed);
        }
        let (reply, source) = drain_under_run(&site, ["v1"; 2]);
        assert!(source.is_dead());
        assert_eq!(reply.whole, backups, "{}", reply.text());
        assert!(all_events().starts_with(&reply.text()));
        site.assert_never_doubled();
        site.wait_for_line("event=run_moved");
    }
}

/// Engines that offer no moves keep their runs while they drain.
#[test]
fn a_run_stays_where_engines_offer_no_moves() {
    let site = start::<2>(&json!({}), &json!({ "backups": true }));
    let (reply, source) = drain_under_run(&site, ["v1"; 2]);
    assert_whole(&reply);
    assert!(
        source
            .requests
            .lock()
            .expect("not poisoned")
            .iter()
            .all(|request| request.target == "/a/x")
    );
}

/// Copies take memory and bandwidth of engines. Over many runs at most one in four may have one, the dear ones
/// first, and the copies must be spread over the engines of other zones.
#[test]
fn copies_are_few_dear_and_spread() {
    let engines: Vec<(Arc<str>, u16)> = (0..20).map(|n| (format!("e{n}").into(), n)).collect();
    let candidates = || {
        engines.iter().map(|(id, n)| Candidate {
            id,
            address: ([10, 0, 0, 1], *n).into(),
            zone: ["a", "b"][usize::from(n % 2)],
            draining: false,
        })
    };
    let now = Instant::now();
    let mut planner = Planner::default();
    let (mut running, mut copied, mut dear_copied) = (Vec::new(), 0, 0);
    let mut targets: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    for number in 0..4000_u64 {
        let (id, dear) = (format!("r{number}"), number % 5 == 0);
        let run = Run {
            id: &id,
            prompt_tokens: 1000,
            output_tokens: if dear { 200 } else { 40 + number % 7 },
            left_ms: 800,
            waited: Duration::ZERO,
            engine_tokens: 50_000,
            address: ([10, 0, 0, 1], 0).into(),
            zone: "a",
        };
        let copy = planner.start(now, &run, candidates()).ok();
        if let Some(copy) = &copy {
            copied += 1;
            dear_copied += usize::from(dear);
            *targets.entry(Arc::clone(&copy.target)).or_default() += 1;
        }
        running.push(copy);
        if running.len() > 40 {
            planner.end(running.remove(0).as_ref());
        }
    }
    assert!((600..=1010).contains(&copied), "{copied}");
    assert!(dear_copied * 10 >= copied * 7, "{dear_copied} of {copied}");
    assert_eq!(targets.len(), 10, "the other zone: {targets:?}");
    assert!(
        targets.values().all(|count| *count * 10 <= copied * 2),
        "{targets:?}"
    );
    // A queue for engines, and failed engines, end it.
    let run = Run {
        id: "r",
        prompt_tokens: 9000,
        output_tokens: 900,
        left_ms: 0,
        waited: Duration::from_millis(80),
        engine_tokens: 0,
        address: ([10, 0, 0, 1], 0).into(),
        zone: "a",
    };
    assert_eq!(planner.start(now, &run, candidates()), Err(Skip::Queued));
    let later = now + Duration::from_secs(2);
    for (id, _) in &engines {
        planner.note_failure(later, id);
    }
    assert_eq!(
        planner.renew(later, &run, candidates()),
        Err(Skip::NoTarget)
    );
}
