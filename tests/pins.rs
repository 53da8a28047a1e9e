//! Prompts that engines keep between the turns of a session: when they are kept, and when they are given back.

mod platform;

use platform::engine::{Cluster, Engine, configure};
use platform::{Reply, Store, Vm, call, until};
use serde_json::{Value, json};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::policy::pins::{Planner, Room, Turn};

/// Memory of an engine in tokens, large enough that a pin pays also where few sessions go on.
const MEMORY: u64 = 1_000_000;

fn start(engine: &Value) -> (Engine, Vm) {
    let cluster: Arc<Mutex<Cluster>> = Arc::default();
    let store = Store::start();
    configure(&store, 1, &json!({}), engine);
    let engine = Engine::start(&cluster);
    store.register("s", "pool", engine.address, "ready");
    let vm = Vm::start(&store);
    vm.wait_ready();
    (engine, vm)
}

/// Headers of a turn of a session, whose prompt has `step` parts.
fn headers(session: &str, step: usize) -> Vec<(&'static str, String)> {
    let parts: Vec<String> = (1..=step).map(|n| format!("{session}-{n}:50")).collect();
    vec![
        ("X-Request-Id", format!("{session}.{step}")),
        ("X-Program", session.to_owned()),
        ("X-Session", session.to_owned()),
        ("X-Token-Count", "50,20".to_owned()),
        ("X-Token-Budget", "1000".to_owned()),
        ("X-Prompt-Prefix", parts.join(",")),
        ("X-Deadline-Ms", "4000".to_owned()),
    ]
}

fn turn(vm: &Vm, session: &str, step: usize) -> Reply {
    send(vm, &headers(session, step))
}

fn send(vm: &Vm, headers: &[(&str, String)]) -> Reply {
    let headers: Vec<_> = headers
        .iter()
        .map(|(name, value)| (*name, value.as_str()))
        .collect();
    call(vm.callers, "POST", "/a/x", &headers, b"")
}

/// Plays sessions of four turns, from which the VM learns the pause after a turn.
fn teach(vm: &Vm) {
    for session in 0..2 {
        for step in 1..=4 {
            assert!(turn(vm, &format!("known{session}"), step).whole);
            std::thread::sleep(Duration::from_millis(60));
        }
    }
}

/// A prompt must be kept once the pauses of its class are known, be given back when the next turn begins, and never
/// be kept for longer than the engine accepts. Where engines keep none, no header may be sent.
#[test]
fn a_prompt_is_kept_between_turns() {
    let (engine, vm) = start(&json!({ "pinMs": 800, "kvCapTokens": MEMORY }));
    teach(&vm);
    // A pin may expire before it is looked at, so further sessions are tried.
    let mut sessions = (0..).map(|number| format!("p{number}"));
    until("a prompt is kept", || {
        let session = sessions.next().expect("endless");
        turn(&vm, &session, 1).whole && engine.pinned() == [format!("{session}-1")]
    });
    until("the next turn releases it", || {
        let session = sessions.next().expect("endless");
        assert!(turn(&vm, &session, 1).whole && turn(&vm, &session, 2).whole);
        !vm.lines("reason=next_turn outcome=released").is_empty()
    });
    let times = engine.header_values("x-pin-ms");
    assert!(times[..3].iter().all(String::is_empty), "{times:?}");
    let set: Vec<u64> = times.iter().filter_map(|ms| ms.parse().ok()).collect();
    assert!(
        !set.is_empty() && set.iter().all(|ms| (20..=800).contains(ms)),
        "{set:?}"
    );
    let (other, vm) = start(&json!({}));
    teach(&vm);
    assert!(other.header_values("x-pin-ms").iter().all(String::is_empty));
}

/// A program that is refused for good leaves no pin behind.
#[test]
fn a_refused_program_gives_its_prompt_back() {
    let (engine, vm) = start(&json!({ "pinMs": 1000, "kvCapTokens": MEMORY }));
    teach(&vm);
    let mut sessions = (0..).map(|number| format!("p{number}"));
    until("the pin is released", || {
        let session = sessions.next().expect("endless");
        assert!(turn(&vm, &session, 1).whole);
        let mut last = headers(&session, 2);
        // Less than the turn before has used.
        last[4].1 = "10".to_owned();
        assert_eq!(send(&vm, &last).status, 402);
        !vm.lines("reason=refused outcome=released").is_empty()
    });
    until("none is left", || engine.pinned().is_empty());
}

/// A caller that leaves gives its program up: the pin that its running turn has asked for must not stay.
#[test]
fn a_program_given_up_gives_its_prompt_back() {
    use std::io::Write;
    let (engine, vm) = start(&json!({ "pinMs": 1000, "kvCapTokens": MEMORY }));
    teach(&vm);
    let mut text = "POST /a/x HTTP/1.1\r\nHost: site.example\r\nContent-Length: 0\r\n".to_owned();
    for (name, value) in headers("p", 1) {
        text.extend([name, ": ", &value, "\r\n"]);
    }
    let mut caller = TcpStream::connect(vm.callers).expect("the VM listens");
    write!(caller, "{text}\r\n").expect("the request is sent");
    let running = || {
        engine
            .header_values("x-request-id")
            .contains(&"p.1".to_owned())
    };
    until("the run has begun", running);
    drop(caller);
    until("the pin is released", || {
        !vm.lines("reason=not_ended").is_empty()
    });
    assert!(engine.pinned().is_empty());
}

/// Pinned memory is missing for running requests: a class with long pauses, a session near its end, a late program
/// and a full share must get no pin, and the share must be free again once pins have ended.
#[test]
fn pins_are_set_where_they_pay() {
    let room = Room {
        engine_tokens: 50_000,
        engines: 4,
        vms: 4,
        limit: Duration::from_secs(2),
    };
    let engine: Arc<str> = "e".into();
    let turn = |class, session, step| Turn {
        class,
        session,
        step,
        tokens: 3000,
        left_ms: 4000,
    };
    let start = Instant::now();
    let mut planner = Planner::default();
    // Class 1 pauses for 60 ms and ends after three steps, class 2 pauses for 900 ms.
    for (class, pause_ms) in [(1, 60), (2, 900)] {
        for session in 0..20 {
            let mut now = start;
            for step in 1..=3 {
                planner.arrive(now, &turn(class, class * 100 + session, step));
                planner.end(now, turn(class, class * 100 + session, step), None);
                now += Duration::from_millis(pause_ms);
            }
        }
    }
    let now = start + Duration::from_secs(10);
    let pin = planner.plan(&turn(1, 1000, 1), &engine, &room);
    let pin = pin.expect("a short pause");
    assert!(pin.time >= Duration::from_millis(60) && pin.time <= Duration::from_secs(1));
    assert!(
        planner.plan(&turn(2, 1001, 1), &engine, &room).is_none(),
        "a long pause"
    );
    assert!(
        planner.plan(&turn(1, 1002, 3), &engine, &room).is_none(),
        "the last step"
    );
    assert!(
        planner.plan(&turn(3, 1003, 1), &engine, &room).is_none(),
        "an unknown class"
    );
    let late = Turn {
        left_ms: -5,
        ..turn(1, 1004, 1)
    };
    assert!(
        planner.plan(&late, &engine, &room).is_none(),
        "a late program"
    );
    planner.end(now, turn(1, 1000, 1), Some(pin));
    for session in 2000..2002 {
        let pin = planner.plan(&turn(1, session, 1), &engine, &room);
        assert!(pin.is_some());
        planner.end(now, turn(1, session, 1), pin);
    }
    assert!(
        planner.plan(&turn(1, 2003, 1), &engine, &room).is_none(),
        "a full share"
    );
    let later = now + Duration::from_secs(2);
    assert_eq!(planner.arrive(later, &turn(1, 2004, 1)), None);
    assert!(planner.plan(&turn(1, 2004, 1), &engine, &room).is_some());
}
