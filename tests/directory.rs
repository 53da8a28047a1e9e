//! The directory of backend servers, through the binary: servers that start again, and entries that
//! are not a server's.

mod platform;

use platform::{Act, Backend, Store, Vm, call, until, whole};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, TestRng, TestRunner};
use serde_json::{Value, json};
use std::net::SocketAddr;

fn server(name: &'static str) -> Backend {
    Backend::start(move |request, _| Act::Keep(whole(request, name)))
}

fn site() -> Store {
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

fn asked(vm: &Vm) -> String {
    call(vm.callers, "GET", "/a/x", &[("X-Request-Id", "r")], b"").text()
}

fn known(vm: &Vm) -> Vec<String> {
    let state = vm.state();
    let servers = state["servers"].as_array().into_iter().flatten();
    let ids = servers.filter_map(|server| server["id"].as_str());
    ids.map(ToOwned::to_owned).collect()
}

/// A server starts again under its name, at another address. Requests go to the new run, as to a new
/// server; an entry of the run before that comes late changes nothing.
#[test]
fn a_server_that_starts_again_is_another_one() {
    let (store, before, after) = (site(), server("before"), server("after"));
    store.put(
        "keyed.servers",
        "s",
        Some(&entry(before.address, 1000, "ready")),
    );
    let vm = Vm::start(&store);
    vm.wait_ready();
    assert_eq!(asked(&vm), "before");
    store.put(
        "keyed.servers",
        "s",
        Some(&entry(after.address, 2000, "ready")),
    );
    until("the new run is known", || known(&vm) == ["s@2000"]);
    assert_eq!(asked(&vm), "after");
    let seen = after.requests.lock().expect("not poisoned")[0].clone();
    assert_eq!(seen.header("x-expect-instance"), "s");
    store.put(
        "keyed.servers",
        "s",
        Some(&entry(before.address, 1000, "draining")),
    );
    store.register("other", "other", after.address, "ready");
    until("what came after it is known", || known(&vm).len() == 2);
    assert_eq!(asked(&vm), "after");
}

/// Any JSON, by a seed that is always the same.
fn rubbish(count: usize) -> Vec<Value> {
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
    // An entry of a server in which one field is of another kind, or missing.
    let odd =
        (0..fields.len(), any_json.clone(), any::<bool>()).prop_map(move |(field, value, gone)| {
            let address = "127.0.0.1:9".parse().expect("an address");
            let mut entry = entry(address, 1, "ready");
            let members = entry.as_object_mut().expect("an object");
            let whole = value.as_u64().is_some();
            let text = value.is_string() && ["zone", "version", "service"].contains(&fields[field]);
            let number = whole && ["seq", "born", "slots", "coldLeftMs"].contains(&fields[field]);
            let left = value.is_number() && fields[field] == "coldLeftMs";
            if text || number || left || gone && fields[field] == "born" {
                members.remove("addr");
            } else if gone {
                members.remove(fields[field]);
            } else {
                members.insert(fields[field].to_owned(), value);
            }
            entry
        });
    let strategy = prop_oneof![any_json, odd];
    let values = (0..count).map(|_| strategy.new_tree(&mut runner).expect("a value").current());
    values.collect()
}

/// Another writer fills the directory with entries that are no server's, before a VM starts, while it
/// runs, and under the name of a server. None is used, each is told once, and the others hold.
#[test]
fn rubbish_names_no_server() {
    let (store, good) = (site(), server("good"));
    let fill = |from: usize, to: usize| {
        for (index, value) in rubbish(to).iter().enumerate().skip(from) {
            store.put("keyed.servers", &format!("odd &?/{index}"), Some(value));
        }
    };
    fill(0, 200);
    store.put("keyed.servers", "s", Some(&entry(good.address, 1, "ready")));
    let vm = Vm::start(&store);
    vm.wait_ready();
    assert_eq!(
        (known(&vm), asked(&vm).as_str()),
        (vec!["s@1".to_owned()], "good")
    );
    fill(200, 400);
    store.register("late", "pool", good.address, "ready");
    until("what came after it is known", || known(&vm).len() == 2);
    assert_eq!(asked(&vm), "good");
    store.put(
        "keyed.servers",
        "s",
        Some(&json!({ "service": "pool", "addr": 7 })),
    );
    until("it is used no more", || known(&vm) == ["late"]);
    store.put("keyed.servers", "s", Some(&entry(good.address, 1, "lost")));
    store.put(
        "keyed.servers",
        "late",
        Some(&entry(good.address, 2, "ready")),
    );
    until("what came after it is known", || known(&vm) == ["late@2"]);
    let told = vm.lines("event=server_refused");
    let named = told.iter().filter(|line| line.contains("server=s "));
    assert_eq!(named.count(), 2, "{told:?}");
}
