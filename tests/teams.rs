//! Runs the binary with teams: API keys, separation of teams, and team limits.

mod platform;

use platform::program::{turn, wait_until_joined};
use platform::team::{
    KEY, OTHER_TEAM_KEY, SECOND_KEY, WINDOW, max_in_any_window, max_requests_per_window, routes,
    start_servers, start_site, teams, tool_call, turn_with_key,
};
use platform::{Vm, call, send, until};
use serde_json::{Value, json};
use std::thread;
use std::time::{Duration, Instant};

/// Servers receive the team name but never the key. A team name sent by the caller is ignored, on first and
/// later requests.
#[test]
fn a_server_gets_the_team_and_not_the_key() {
    let (_store, _model, tool, vms) = start_site(1, 0);
    for (id, key) in [("r1", KEY), ("r2", SECOND_KEY)] {
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
    let team_headers: Vec<_> = seen
        .iter()
        .map(|request| request.header("x-tenant"))
        .collect();
    assert_eq!(team_headers, ["payroll", "payroll", ""]);
    assert!(
        seen.iter()
            .all(|request| request.header("api-key").is_empty())
    );
}

/// Missing, empty, unknown, duplicate, malformed and oversized keys are refused, and no server sees the
/// request.
#[test]
fn a_request_without_a_valid_key_is_refused() {
    let (_store, _model, tool, vms) = start_site(1, 0);
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
    let mut invalid_utf8 =
        b"POST /tool/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: raw\r\nApi-Key: ".to_vec();
    invalid_utf8.extend_from_slice(b"\xff\xfe\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(send(vms[0].callers, &invalid_utf8).status, 401);
    let long = "k".repeat(64 << 10);
    assert!([401, 431, 0].contains(&tool_call(&vms[0], "long", &[("Api-Key", &long)]).status));
    assert_eq!(tool.count(), 0);
}

/// Key changes take effect with a new configuration. Keys appear in no log line, operator page, metric or
/// configuration snapshot.
#[test]
fn key_changes_apply_and_keys_are_never_exposed() {
    let (store, _model, _tool, vms) = start_site(2, 0);
    let added = json!([{ "name": "audit", "apiKeys": [OTHER_TEAM_KEY, "an-added-key"] }]);
    store.configure_teams(2, &routes(), Some(added));
    until("the new keys are in use", || {
        let old_key_refused = tool_call(&vms[0], "gone", &[("Api-Key", KEY)]).status == 401;
        old_key_refused && tool_call(&vms[0], "new", &[("Api-Key", "an-added-key")]).status == 200
    });
    until("a snapshot is written", || {
        !store.values("keyed.snapshot").is_empty()
    });
    thread::sleep(Duration::from_secs(1));
    let mut outputs: Vec<String> = vms.iter().flat_map(|vm| vm.lines("")).collect();
    for path in ["/state", "/metrics", "/config", "/directory"] {
        outputs.push(call(vms[0].operators, "GET", path, &[], b"").text());
    }
    outputs.extend(store.values("keyed.snapshot").into_values());
    let decoded: Vec<String> = outputs.iter().map(|text| decoded_config(text)).collect();
    for key in [KEY, SECOND_KEY, OTHER_TEAM_KEY, "an-added-key"] {
        let leak = outputs
            .iter()
            .chain(&decoded)
            .find(|text| text.contains(key));
        assert!(leak.is_none(), "{leak:?}");
    }
    assert!(
        decoded.iter().any(|text| text.contains("tenants")),
        "no snapshot was found"
    );
}

/// Decodes the configuration in a snapshot.
fn decoded_config(text: &str) -> String {
    let snapshot: Value = serde_json::from_str(text).unwrap_or_default();
    let config = snapshot["config"].as_str().unwrap_or_default();
    let engine = &base64::engine::general_purpose::STANDARD;
    let bytes = base64::Engine::decode(engine, config).unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A key whose fingerprint is configured is accepted; the fingerprint itself is not a key.
#[test]
fn a_key_published_as_a_fingerprint_is_accepted() {
    let generate_key = || {
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_vanillatrail"))
            .args(["key", "--json"])
            .output()
            .expect("the binary runs");
        serde_json::from_slice::<Value>(&output.stdout).expect("JSON")
    };
    let (published, unpublished) = (generate_key(), generate_key());
    assert_ne!(published["key"], unpublished["key"]);
    let (store, _model, _tool, vms) = start_site(1, 0);
    let teams = json!([{ "name": "audit", "keyFingerprints": [published["fingerprint"]] }]);
    store.configure_teams(2, &routes(), Some(teams));
    let status = |id: &str, key: &Value| {
        let key = key.as_str().expect("text");
        tool_call(&vms[0], id, &[("Api-Key", key)]).status
    };
    until("the key is accepted", || {
        status("one", &published["key"]) == 200
    });
    assert_eq!(status("print", &published["fingerprint"]), 401);
    assert_eq!(status("other", &unpublished["key"]), 401);
}

/// Without the store a VM may lack recently added keys: it answers 503 with Retry-After instead of 401, and
/// still serves known keys.
#[test]
fn an_unknown_key_gets_retry_after_during_a_store_outage() {
    let (store, _model, _tool, vms) = start_site(1, 0);
    store.set_silent(true);
    until("the VM has noticed the store outage", || {
        let reply = tool_call(&vms[0], "later", &[("Api-Key", "added-meanwhile")]);
        reply.status == 503 && reply.headers.contains_key("retry-after")
    });
    assert_eq!(
        tool_call(&vms[0], "known", &[("Api-Key", OTHER_TEAM_KEY)]).status,
        200
    );
}

/// Programs with the same name in two teams have separate budgets, and a request without a key uses neither.
#[test]
fn programs_of_two_teams_have_separate_budgets() {
    let (_store, _model, _tool, vms) = start_site(1, 0);
    let count_served_turns = |key: &str, id: &str| {
        let turns =
            (0..60).map(|number| turn_with_key(&vms[0], key, "p", 580, &format!("{id}-{number}")));
        turns.take_while(|status| *status == 200).count()
    };
    let (first, second) = (
        count_served_turns(KEY, "one"),
        count_served_turns(OTHER_TEAM_KEY, "two"),
    );
    assert!(first > 0 && first == second, "{first} {second}");
    assert_eq!(turn(&vms[0], "p", 580, "keyless").0, 401);
}

/// Turns with the same name in two teams are separate, and continuing a turn of another team gets 404.
#[test]
fn conversations_of_two_teams_are_separate() {
    let (store, model, _tool) = start_servers(0);
    let retained = json!({ "retain": true, "canResume": false, "attempts": 1 });
    store.configure_teams(2, &[("/chat/", "stream", retained)], Some(teams(0)));
    let vms = [Vm::start(&store), Vm::start(&store)];
    wait_until_joined(&vms);
    let send_turn = |vm: &Vm, key: &str, id: &str, prev: Option<&str>, input: &str| {
        let mut headers = vec![
            ("X-Request-Id", id),
            ("X-Program", "p"),
            ("X-Deadline-Ms", "3000"),
            ("Api-Key", key),
        ];
        headers.extend(prev.map(|prev| ("X-Prev-Turn", prev)));
        call(vm.callers, "POST", "/chat/x", &headers, input.as_bytes()).status
    };
    assert_eq!(send_turn(&vms[0], KEY, "one", None, "of payroll"), 200);
    assert_eq!(
        send_turn(&vms[1], OTHER_TEAM_KEY, "one", None, "of audit"),
        200
    );
    assert_eq!(
        send_turn(&vms[0], KEY, "alone", None, "of payroll alone"),
        200
    );
    assert_eq!(send_turn(&vms[1], KEY, "two", Some("one"), "more"), 200);
    assert_eq!(
        send_turn(&vms[0], OTHER_TEAM_KEY, "two", Some("one"), "more"),
        200
    );
    assert_eq!(
        send_turn(&vms[0], OTHER_TEAM_KEY, "three", Some("alone"), "more"),
        404
    );
    let seen = model.requests.lock().expect("not poisoned");
    let bodies = seen.iter().rev().take(2);
    let bodies = bodies.map(|request| String::from_utf8_lossy(&request.body).into_owned());
    let [audit, payroll] = &*bodies.collect::<Vec<_>>() else {
        panic!("expected two continued turns");
    };
    assert!(payroll.starts_with("of payroll") && payroll.ends_with("more"));
    assert!(audit.starts_with("of audit") && audit.ends_with("more"));
}

/// Guards against tokens that stay reserved for turns refused by the team limit: the budget allows exactly two
/// turns, and both run.
#[test]
fn a_turn_refused_by_the_team_limit_uses_no_token_budget() {
    let (_store, _model, _tool, vms) = start_site(3, 1);
    let mut refused = 0;
    let mut retry_until_served = |id: &str| {
        until("the turn runs", || {
            let status = turn_with_key(&vms[refused % 3], KEY, "p", 580, &format!("{id}{refused}"));
            assert!([200, 429].contains(&status), "{status}");
            refused += usize::from(status == 429);
            status == 200
        });
    };
    for number in 0..8 {
        tool_call(&vms[0], &format!("t{number}"), &[("Api-Key", KEY)]);
    }
    retry_until_served("one");
    retry_until_served("two");
    assert!(refused >= 3, "only {refused} refusals");
}

/// With three VMs the requests in any time window stay within the limit, burst and tolerance, most of the limit
/// is usable, and refusals carry Retry-After.
#[test]
fn a_team_limit_holds_across_all_vms() {
    let (_store, _model, tool, vms) = start_site(3, 10);
    let started = Instant::now();
    let arrivals = thread::scope(|scope| {
        let arrivals = (0..6).map(|caller| {
            let vm = &vms[caller % 3];
            scope.spawn(move || send_until_deadline(vm, caller, started))
        });
        let arrivals: Vec<_> = arrivals.collect();
        let all = arrivals
            .into_iter()
            .map(|thread| thread.join().expect("no panic"));
        all.fold(Vec::new(), |mut all, times| {
            all.extend(times);
            all
        })
    });
    assert_eq!(arrivals.len(), tool.count());
    let max_in_window = max_in_any_window(arrivals.clone(), WINDOW);
    assert!(
        max_in_window as f64 <= max_requests_per_window(10),
        "{max_in_window} requests in 5 s"
    );
    assert!(
        arrivals.len() >= 80,
        "only {} requests in 10 s",
        arrivals.len()
    );
}

/// Sends tool calls for 10 s and returns when each accepted call completed.
fn send_until_deadline(vm: &Vm, caller: usize, started: Instant) -> Vec<Instant> {
    let mut completed = Vec::new();
    for number in 0.. {
        if started.elapsed() > Duration::from_secs(10) {
            break;
        }
        let reply = tool_call(vm, &format!("f{caller}-{number}"), &[("Api-Key", KEY)]);
        match reply.status {
            200 => completed.push(Instant::now()),
            429 => {
                assert!(reply.headers.contains_key("retry-after"));
                assert!(reply.text().contains("VT2009"), "{}", reply.text());
            }
            other => panic!("{other}: {}", reply.text()),
        }
        thread::sleep(Duration::from_millis(30));
    }
    completed
}

/// Guards against exceeding the team limit when a new owner does not know what the killed one granted, for one
/// VM and then for all.
#[test]
fn a_team_limit_holds_when_its_owner_is_killed() {
    let (_store, _model, _tool, mut vms) = start_site(3, 10);
    let started = Instant::now();
    let mut arrivals = Vec::new();
    let mut number = 0;
    let mut kill_times_secs = [Some(2), Some(5)];
    while started.elapsed() < Duration::from_secs(10) {
        for (round, at) in kill_times_secs.iter_mut().enumerate() {
            if at.is_some_and(|at| started.elapsed() > Duration::from_secs(at)) {
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
    let max_in_window = max_in_any_window(arrivals.clone(), WINDOW);
    assert!(
        max_in_window as f64 <= max_requests_per_window(10),
        "{max_in_window} requests in 5 s"
    );
    assert!(
        arrivals.len() >= 40,
        "only {} requests in 10 s",
        arrivals.len()
    );
}
