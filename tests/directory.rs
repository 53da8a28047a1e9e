//! Runs the binary with changes of the server directory: restarted servers and invalid entries.

mod platform;

use platform::{Act, Backend, Store, Vm, call, full_response, until};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, TestRng, TestRunner};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// A backend server that answers with its name.
fn start_server(name: &'static str) -> Backend {
    Backend::start(move |request, _| Act::Keep(full_response(request, name)))
}

fn start_store() -> Store {
    let store = Store::start();
    store.configure(1, &[("/a/", "safe", json!({}))]);
    store
}

fn entry(address: SocketAddr, born: u64, state: &str) -> Value {
    json!({
        "service": "pool", "addr": address.to_string(), "zone": "z", "version": "v1", "slots": 4,
        "state": state, "coldLeftMs": 0, "seq": 1, "born": born,
    })
}

fn response_text(vm: &Vm) -> String {
    call(vm.callers, "GET", "/a/x", &[("X-Request-Id", "r")], b"").text()
}

fn known_servers(vm: &Vm) -> Vec<String> {
    let state = vm.state();
    let servers = state["servers"].as_array().into_iter().flatten();
    let ids = servers.filter_map(|server| server["id"].as_str());
    ids.map(ToOwned::to_owned).collect()
}

/// After a restart at another address requests go to the new instance, and late entries of the old one are
/// ignored.
#[test]
fn a_restarted_server_is_a_new_instance() {
    let (store, before, after) = (start_store(), start_server("before"), start_server("after"));
    store.put(
        "keyed.servers",
        "s",
        Some(&entry(before.address, 1000, "ready")),
    );
    let vm = Vm::start(&store);
    vm.wait_ready();
    assert_eq!(response_text(&vm), "before");
    store.put(
        "keyed.servers",
        "s",
        Some(&entry(after.address, 2000, "ready")),
    );
    until("the new instance is known", || {
        known_servers(&vm) == ["s@2000"]
    });
    assert_eq!(response_text(&vm), "after");
    let seen = after.requests.lock().expect("not poisoned")[0].clone();
    assert_eq!(seen.header("x-expect-instance"), "s");
    store.put(
        "keyed.servers",
        "s",
        Some(&entry(before.address, 1000, "draining")),
    );
    store.register("other", "other", after.address, "ready");
    until("the later entry is known", || known_servers(&vm).len() == 2);
    assert_eq!(response_text(&vm), "after");
}

/// Random invalid directory entries from a fixed seed.
fn invalid_entries(count: usize) -> Vec<Value> {
    let rng = TestRng::deterministic_rng(Config::default().rng_algorithm);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,20}".prop_map(Value::from),
    ];
    let fields = [
        "service",
        "addr",
        "zone",
        "version",
        "slots",
        "state",
        "coldLeftMs",
        "seq",
        "born",
    ];
    let any_json = leaf.prop_recursive(2, 8, 4, |inner| {
        prop::collection::vec(inner, 0..4).prop_map(Value::from)
    });
    // A server entry with one field missing or of the wrong type.
    let altered = (0..fields.len(), any_json.clone(), any::<bool>()).prop_map(
        move |(field, value, remove)| {
            let address = "127.0.0.1:9".parse().expect("an address");
            let mut entry = entry(address, 1, "ready");
            let members = entry.as_object_mut().expect("an object");
            let is_unsigned = value.as_u64().is_some();
            let valid_text =
                value.is_string() && ["zone", "version", "service"].contains(&fields[field]);
            let valid_number =
                is_unsigned && ["seq", "born", "slots", "coldLeftMs"].contains(&fields[field]);
            let valid_cold_time = value.is_number() && fields[field] == "coldLeftMs";
            if valid_text || valid_number || valid_cold_time || remove && fields[field] == "born" {
                members.remove("addr");
            } else if remove {
                members.remove(fields[field]);
            } else {
                members.insert(fields[field].to_owned(), value);
            }
            entry
        },
    );
    let strategy = prop_oneof![any_json, altered];
    let values = (0..count).map(|_| strategy.new_tree(&mut runner).expect("a value").current());
    values.collect()
}

/// Invalid directory entries, before and after a VM starts and for a known server, are never used; valid
/// servers stay, and each invalid entry is logged once.
#[test]
fn invalid_entries_are_ignored() {
    let (store, good) = (start_store(), start_server("good"));
    let write_invalid = |from: usize, to: usize| {
        for (index, value) in invalid_entries(to).iter().enumerate().skip(from) {
            store.put("keyed.servers", &format!("odd &?/{index}"), Some(value));
        }
    };
    write_invalid(0, 200);
    store.put("keyed.servers", "s", Some(&entry(good.address, 1, "ready")));
    let vm = Vm::start(&store);
    vm.wait_ready();
    assert_eq!(
        (known_servers(&vm), response_text(&vm).as_str()),
        (vec!["s@1".to_owned()], "good")
    );
    write_invalid(200, 400);
    store.register("late", "pool", good.address, "ready");
    until("the later entry is known", || known_servers(&vm).len() == 2);
    assert_eq!(response_text(&vm), "good");
    store.put(
        "keyed.servers",
        "s",
        Some(&json!({ "service": "pool", "addr": 7 })),
    );
    until("the invalid entry removes the server", || {
        known_servers(&vm) == ["late"]
    });
    store.put("keyed.servers", "s", Some(&entry(good.address, 1, "lost")));
    store.put(
        "keyed.servers",
        "late",
        Some(&entry(good.address, 2, "ready")),
    );
    until("the later entry is known", || {
        known_servers(&vm) == ["late@2"]
    });
    let refusals = || vm.lines("event=server_refused server=s ").len();
    // Log lines are written after the state page shows the change.
    until("both entries of the server are logged", || refusals() >= 2);
    assert_eq!(refusals(), 2);
}

/// After the loss of all VMs each of them waited for discovery and for the one that reads for the
/// others, and refused requests for want of servers meanwhile.
#[test]
fn a_starting_vm_reads_a_small_directory_before_it_knows_the_others() {
    let (store, server) = (start_store(), start_server("s"));
    store.put(
        "keyed.servers",
        "s",
        Some(&entry(server.address, 1000, "ready")),
    );
    let vm = Vm::start(&store);
    vm.wait_ready();
    until("the VM reads the store for the others", || {
        !vm.lines("event=directory_reader").is_empty()
    });
    let events = vm.lines("event=directory_rea");
    assert!(events[0].contains("event=directory_read "), "{events:?}");
}
