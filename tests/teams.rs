//! Teams, their keys and their limits, through the binary.

mod platform;

use platform::program::{acquainted, turn};
use platform::team::{
    KEY, OTHERS, SECOND, WINDOW, busiest, most, routes, servers, site, teams, tool_call, turn_of,
};
use platform::{Vm, call, send, until};
use serde_json::{Value, json};
use std::thread;
use std::time::{Duration, Instant};

/// The server learns the team and never the key, whatever the caller writes in the team's place, on the first
/// request of a connection and on the next.
#[test]
fn a_server_gets_the_team_and_not_the_key() {
    let (_store, _model, tool, vms) = site(1, 0);
    for (id, key) in [("r1", KEY), ("r2", SECOND)] {
        let headers = [
            ("Api-Key", key),
            ("X-Tenant", "audit"),
            ("Connection", "x-tenant"),
        ];
        assert_eq!(tool_call(&vms[0], id, &headers).status, 200);
    }
    let open = call(
        vms[0].callers,
        "GET",
        "/open/x",
        &[("X-Tenant", "audit")],
        b"",
    );
    assert_eq!(open.status, 200);
    let seen = tool.requests.lock().expect("not poisoned");
    let named: Vec<_> = seen
        .iter()
        .map(|request| request.header("x-tenant"))
        .collect();
    assert_eq!(named, ["payroll", "payroll", ""]);
    assert!(
        seen.iter()
            .all(|request| request.header("api-key").is_empty())
    );
}

/// Without a key that a team holds nothing runs: none, an empty one, an unknown one, two, one that is no text.
#[test]
fn a_request_without_a_teams_key_is_refused() {
    let (_store, _model, tool, vms) = site(1, 0);
    assert_eq!(tool_call(&vms[0], "none", &[]).status, 401);
    for (id, key) in [
        ("empty", ""),
        ("unknown", "not a key"),
        ("case", &KEY.to_uppercase()),
    ] {
        let reply = tool_call(&vms[0], id, &[("Api-Key", key)]);
        assert_eq!(reply.status, 401, "{id}");
        assert!(reply.text().contains("VT1014"), "{}", reply.text());
    }
    let two = [("Api-Key", KEY), ("Api-Key", KEY)];
    assert_eq!(tool_call(&vms[0], "two", &two).status, 401);
    let mut raw =
        b"POST /tool/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: raw\r\nApi-Key: ".to_vec();
    raw.extend_from_slice(b"\xff\xfe\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(send(vms[0].callers, &raw).status, 401);
    let long = "k".repeat(64 << 10);
    assert!([401, 431, 0].contains(&tool_call(&vms[0], "long", &[("Api-Key", &long)]).status));
    assert_eq!(tool.count(), 0);
}

/// Keys come and go with configurations, also for a caller whose connection stays open. No key is ever in a log
/// line, in the state that operators see, in the metrics, or in a copy of the configuration.
#[test]
fn keys_come_and_go_and_are_told_nobody() {
    let (store, _model, _tool, vms) = site(2, 0);
    let added = json!([{ "name": "audit", "apiKeys": [OTHERS, "an-added-key"] }]);
    store.configure_teams(2, &routes(), Some(added));
    until("the keys have changed", || {
        let gone = tool_call(&vms[0], "gone", &[("Api-Key", KEY)]).status == 401;
        gone && tool_call(&vms[0], "new", &[("Api-Key", "an-added-key")]).status == 200
    });
    until("a copy is written", || {
        !store.values("keyed.snapshot").is_empty()
    });
    thread::sleep(Duration::from_secs(1));
    let mut told: Vec<String> = vms.iter().flat_map(|vm| vm.lines("")).collect();
    for path in ["/state", "/metrics", "/config", "/directory"] {
        told.push(call(vms[0].operators, "GET", path, &[], b"").text());
    }
    told.extend(store.values("keyed.snapshot").into_values());
    let plain: Vec<String> = told.iter().map(|text| unpacked(text)).collect();
    for key in [KEY, SECOND, OTHERS, "an-added-key"] {
        let leak = told.iter().chain(&plain).find(|text| text.contains(key));
        assert!(leak.is_none(), "{leak:?}");
    }
    assert!(
        plain.iter().any(|text| text.contains("tenants")),
        "no copy was seen"
    );
}

/// The configuration in a copy.
fn unpacked(text: &str) -> String {
    let copy: Value = serde_json::from_str(text).unwrap_or_default();
    let config = copy["config"].as_str().unwrap_or_default();
    let engine = &base64::engine::general_purpose::STANDARD;
    let bytes = base64::Engine::decode(engine, config).unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Operators make a key with the command line and publish only its fingerprint. The caller that was given the key is
/// served; the fingerprint itself is no key.
#[test]
fn a_key_of_which_only_the_fingerprint_is_published_is_served() {
    let made = || {
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_vanillatrail"))
            .args(["key", "--json"])
            .output()
            .expect("the binary runs");
        serde_json::from_slice::<Value>(&output.stdout).expect("JSON")
    };
    let (one, other) = (made(), made());
    assert_ne!(one["key"], other["key"]);
    let (store, _model, _tool, vms) = site(1, 0);
    let known = json!([{ "name": "audit", "keyFingerprints": [one["fingerprint"]] }]);
    store.configure_teams(2, &routes(), Some(known));
    let status = |id: &str, key: &Value| {
        let key = key.as_str().expect("text");
        tool_call(&vms[0], id, &[("Api-Key", key)]).status
    };
    until("the key is known", || status("one", &one["key"]) == 200);
    assert_eq!(status("print", &one["fingerprint"]), 401);
    assert_eq!(status("other", &other["key"]), 401);
}

/// The store falls silent, so that a VM may not know of a key that was added meanwhile. It says "not now" in place
/// of "no", which would end the caller's program; keys that it knows are served on.
#[test]
fn an_unknown_key_is_not_refused_for_good_by_a_vm_that_may_be_behind() {
    let (store, _model, _tool, vms) = site(1, 0);
    store.set_silent(true);
    until("the VM knows that it may be behind", || {
        let reply = tool_call(&vms[0], "later", &[("Api-Key", "added-meanwhile")]);
        reply.status == 503 && reply.headers.contains_key("retry-after")
    });
    assert_eq!(
        tool_call(&vms[0], "known", &[("Api-Key", OTHERS)]).status,
        200
    );
}

/// Two teams choose the same name for a program. Each spends its own budget, of four turns at the most; a caller
/// without a key that uses the name of a team's program spends neither.
#[test]
fn programs_of_two_teams_share_nothing() {
    let (_store, _model, _tool, vms) = site(1, 0);
    let spend = |key: &str, id: &str| {
        let turns =
            (0..60).map(|number| turn_of(&vms[0], key, "p", 580, &format!("{id}-{number}")));
        turns.take_while(|status| *status == 200).count()
    };
    let (first, second) = (spend(KEY, "one"), spend(OTHERS, "two"));
    assert!(first > 0 && first == second, "{first} {second}");
    assert_eq!(turn(&vms[0], "p", 580, "keyless").0, 401);
}

/// Two teams give a kept turn the same name. Each goes on from its own, and the server gets that team's words alone;
/// a turn that only the other team has said is unknown, which ends the caller's program, as no VM will ever have it.
#[test]
fn kept_turns_of_two_teams_share_nothing() {
    let (store, model, _tool) = servers(0);
    let kept = json!({ "retain": true, "canResume": false, "attempts": 1 });
    store.configure_teams(2, &[("/chat/", "stream", kept)], Some(teams(0)));
    let vms = [Vm::start(&store), Vm::start(&store)];
    acquainted(&vms);
    let say = |vm: &Vm, key: &str, id: &str, prev: Option<&str>, input: &str| {
        let mut headers = vec![
            ("X-Request-Id", id),
            ("X-Program", "p"),
            ("X-Deadline-Ms", "3000"),
            ("Api-Key", key),
        ];
        headers.extend(prev.map(|prev| ("X-Prev-Turn", prev)));
        call(vm.callers, "POST", "/chat/x", &headers, input.as_bytes()).status
    };
    assert_eq!(say(&vms[0], KEY, "one", None, "of payroll"), 200);
    assert_eq!(say(&vms[1], OTHERS, "one", None, "of audit"), 200);
    assert_eq!(say(&vms[0], KEY, "alone", None, "of payroll alone"), 200);
    assert_eq!(say(&vms[1], KEY, "two", Some("one"), "more"), 200);
    assert_eq!(say(&vms[0], OTHERS, "two", Some("one"), "more"), 200);
    assert_eq!(say(&vms[0], OTHERS, "three", Some("alone"), "more"), 404);
    let seen = model.requests.lock().expect("not poisoned");
    let bodies = seen.iter().rev().take(2);
    let bodies = bodies.map(|request| String::from_utf8_lossy(&request.body).into_owned());
    let [audit, payroll] = &*bodies.collect::<Vec<_>>() else {
        panic!("two turns that went on");
    };
    assert!(payroll.starts_with("of payroll") && payroll.ends_with("more"));
    assert!(audit.starts_with("of audit") && audit.ends_with("more"));
}

/// A team's limit is used up when a program begins, so that its first turn is refused several times before it runs,
/// each time while the VM that counts its tokens has been asked.
/// No refused turn holds tokens of the program's budget, which is for two turns: both run in the end.
#[test]
fn a_turn_that_the_limit_refuses_spends_no_budget() {
    let (_store, _model, _tool, vms) = site(3, 1);
    let mut refused = 0;
    let mut begin = |id: &str| {
        until("the turn runs", || {
            let status = turn_of(&vms[refused % 3], KEY, "p", 580, &format!("{id}{refused}"));
            assert!([200, 429].contains(&status), "{status}");
            refused += usize::from(status == 429);
            status == 200
        });
    };
    for number in 0..8 {
        tool_call(&vms[0], &format!("t{number}"), &[("Api-Key", KEY)]);
    }
    begin("one");
    begin("two");
    assert!(refused >= 3, "{refused} refusals");
}

/// A team sends far more than its limit through three VMs at once, for two windows of 5 s. No span of that length
/// has more requests at the server than the limit, its burst and the tolerance allow together; most of what
/// the limit carries is served; and who is refused is told when to come back.
#[test]
fn a_limit_holds_over_all_vms() {
    let (_store, _model, tool, vms) = site(3, 10);
    let began = Instant::now();
    let arrivals = thread::scope(|scope| {
        let arrivals = (0..6).map(|caller| {
            let vm = &vms[caller % 3];
            scope.spawn(move || flood(vm, caller, began))
        });
        let arrivals: Vec<_> = arrivals.collect();
        let all = arrivals
            .into_iter()
            .map(|each| each.join().expect("no panic"));
        all.fold(Vec::new(), |mut all, each| {
            all.extend(each);
            all
        })
    });
    assert_eq!(arrivals.len(), tool.count());
    let worst = busiest(arrivals.clone(), WINDOW);
    assert!(worst as f64 <= most(10), "{worst} requests in 5 s");
    assert!(arrivals.len() >= 80, "{} requests in 10 s", arrivals.len());
}

/// Sends tool calls for 10 s; gives when those were sent that ran.
fn flood(vm: &Vm, caller: usize, began: Instant) -> Vec<Instant> {
    let mut ran = Vec::new();
    for number in 0.. {
        if began.elapsed() > Duration::from_secs(10) {
            break;
        }
        let reply = tool_call(vm, &format!("f{caller}-{number}"), &[("Api-Key", KEY)]);
        match reply.status {
            200 => ran.push(Instant::now()),
            429 => {
                assert!(reply.headers.contains_key("retry-after"));
                assert!(reply.text().contains("VT2009"), "{}", reply.text());
            }
            other => panic!("{other}: {}", reply.text()),
        }
        thread::sleep(Duration::from_millis(30));
    }
    ran
}

/// A team sends far more than its limit while the VM that counts it is killed, and then all VMs are. Whoever
/// counts next knows nothing of what was granted; no span of 5 s has more than the limit all the same.
#[test]
fn a_limit_holds_when_its_counter_is_lost() {
    let (_store, _model, _tool, mut vms) = site(3, 10);
    let began = Instant::now();
    let mut arrivals = Vec::new();
    let mut number = 0;
    let mut lost = [Some(2), Some(5)];
    while began.elapsed() < Duration::from_secs(10) {
        for (round, at) in lost.iter_mut().enumerate() {
            if at.is_some_and(|at| began.elapsed() > Duration::from_secs(at)) {
                *at = None;
                let count = if round == 0 { 1 } else { 3 };
                vms.iter_mut().take(count).for_each(Vm::kill);
                vms.iter_mut().take(count).for_each(Vm::restart);
                vms.iter().for_each(Vm::wait_ready);
            }
        }
        number += 1;
        let vm = &vms[number % 3];
        if tool_call(vm, &format!("l{number}"), &[("Api-Key", KEY)]).status == 200 {
            arrivals.push(Instant::now());
        }
    }
    let worst = busiest(arrivals.clone(), WINDOW);
    assert!(worst as f64 <= most(10), "{worst} requests in 5 s");
    assert!(arrivals.len() >= 40, "{} requests in 10 s", arrivals.len());
}
