//! Bad input from callers and from senders without the peer key is refused with a code and affects
//! nothing else.

mod support;

use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};
use std::time::Duration;
use support::{Environment, model, poll};

fn post_raw(environment: &Environment, path: &str, body: String) -> (u16, Value) {
    let url = format!("http://{}{path}", environment.vms[0].callers);
    let client = reqwest::blocking::Client::new();
    let reply = client.post(url).body(body).send().expect("the VM answers");
    let status = reply.status().as_u16();
    (status, reply.json().expect("a refusal is JSON"))
}

fn assert_refused(reply: &(u16, Value), status: u16, code: &str, path: &str) {
    let (actual_status, body) = reply;
    assert_eq!(
        (*actual_status, &body["code"]),
        (status, &json!(code)),
        "{body}"
    );
    assert_eq!(body["ran"], json!(false), "{body}");
    let message = body["message"].as_str().unwrap_or_default();
    assert!(message.contains(path), "{path} not in {body}");
}

#[test]
fn bad_bodies_are_refused_with_the_path() {
    let environment = Environment::start(1, 1);
    let open = |body: Value| post_raw(&environment, "/v1/programs", body.to_string());
    let raw = |body: &str| post_raw(&environment, "/v1/programs", body.to_owned());
    assert_refused(&raw("{"), 400, "VT1001", "EOF");
    assert_refused(&raw("[1, 2]"), 400, "VT1001", "");
    let body = json!({ "class": "quick", "key": "k", "budget": { "tokens": "many" } });
    assert_refused(&open(body), 400, "VT1001", "budget.tokens");
    let body = json!({ "class": "quick", "key": "k", "budget": { "tokens": -1 } });
    assert_refused(&open(body), 400, "VT1001", "budget.tokens");
    let body = json!({ "class": "quick", "key": "k", "budget": { "tokens": u64::MAX } });
    assert_refused(&open(body), 400, "VT1001", "budget.tokens");
    let body = json!({ "class": "quick", "key": "k", "budget": { "tokens": 1 }, "weight": 3 });
    assert_refused(&open(body), 400, "VT1001", "weight");
    let body = json!({ "class": "quick", "key": "", "budget": { "tokens": 1 } });
    assert_refused(&open(body), 400, "VT1001", "key");
    let body = json!({ "class": "nobody's", "key": "k", "budget": { "tokens": 1 } });
    assert_refused(&open(body), 400, "VT1001", "class");
    let body = json!({ "class": "unknown", "key": "k", "budget": { "tokens": 1 } });
    assert_refused(&open(body), 422, "VT1003", "unknown");
    let too_large =
        json!({ "class": "quick", "key": "k".repeat(2 << 20), "budget": { "tokens": 1 } });
    assert_refused(&open(too_large), 413, "VT1002", "1048576");
}

#[test]
fn bad_calls_are_refused_and_do_not_change_the_program() {
    let environment = Environment::start(1, 1);
    let program = environment.open(0, "quick", "refused", 1000);
    let call = |body: Value| environment.call(0, &program, &body);
    assert_refused(&call(json!({ "call": 1 })), 400, "VT1001", "exactly one");
    assert_refused(&call(model(0, "zero", 5)), 400, "VT1001", "count from 1");
    let body = json!({ "call": 1.5, "service": { "service": "filing", "operation": "rates" } });
    assert_refused(&call(body), 400, "VT1001", "call");
    // Adding to this number could overflow and bypass the budget.
    assert_refused(
        &call(model(1, "wrap", u64::MAX)),
        400,
        "VT1001",
        "model.max_tokens",
    );
    let budget = json!({ "tokens": 10, "calls": u64::MAX });
    let body = json!({ "call": 1, "spawn": { "class": "quick", "budget": budget } });
    assert_refused(&call(body), 400, "VT1001", "spawn.budget.calls");
    assert_refused(&call(model(1, "costly", 5000)), 409, "VT2001", "1000");
    let body = json!({ "call": 1, "service": { "service": "filing", "operation": "refund" } });
    assert_refused(&call(body), 404, "VT1005", "filing/refund");
    let mut body = model(1, "who", 5);
    body["model"]["model"] = json!("huge");
    assert_refused(&call(body), 422, "VT1010", "huge");
    let unknown_program = format!("p1-{:032x}", 7);
    assert_refused(
        &environment.call(0, &unknown_program, &model(1, "x", 5)),
        404,
        "VT1004",
        "p1-",
    );
    assert_refused(
        &environment.call(0, "p1-7", &model(1, "x", 5)),
        400,
        "VT1001",
        "program id",
    );
    let (status, answer) = call(model(1, "Which levy applies?", 5));
    assert_eq!(status, 200, "{answer}");
}

/// A caller sends half of its request and then nothing. It must be refused after a timeout, and other
/// callers must be served meanwhile.
#[test]
fn a_slow_caller_is_refused_and_does_not_block_others() {
    let environment = Environment::start(1, 1);
    let mut slow = TcpStream::connect(environment.vms[0].callers).expect("the VM listens");
    let head = "POST /v1/programs HTTP/1.1\r\nhost: vm\r\ncontent-length: 100\r\n\r\n{\"class\":";
    slow.write_all(head.as_bytes()).expect("sent");
    for index in 0..5 {
        environment.open(0, "quick", &format!("meanwhile-{index}"), 100);
    }
    slow.set_read_timeout(Some(Duration::from_mins(1)))
        .expect("a socket");
    let mut reply = [0; 1024];
    let read = slow.read(&mut reply).expect("an answer");
    let reply = String::from_utf8_lossy(&reply[..read]);
    assert!(reply.starts_with("HTTP/1.1 400"), "{reply}");
    assert!(reply.contains("VT1001"), "{reply}");
}

#[test]
fn too_many_open_programs_are_refused_until_one_ends() {
    let mut environment = Environment::platform(1);
    environment.configure();
    environment.add_vm(&json!({ "max_programs": 2 }));
    environment.wait_owned();
    let first = environment.open(0, "quick", "one", 100);
    environment.open(0, "quick", "two", 100);
    let body = json!({ "class": "quick", "key": "three", "budget": { "tokens": 100 } });
    let vm = environment.vms[0].callers;
    let refused = environment.post(vm, "/v1/programs", &body);
    assert_refused(&refused, 429, "VT2007", "2 programs");
    assert!(
        refused.1["retry_after_ms"].as_u64() > Some(0),
        "{}",
        refused.1
    );
    assert_eq!(environment.open(0, "quick", "one", 100), first);
    environment.end(0, &first);
    environment.open(0, "quick", "three", 100);
}

/// Noise and the heartbeats of a VM with another peer key are sent to the peer port. The VM must refuse
/// and log them, and its view must not change.
#[test]
fn datagrams_without_the_peer_key_do_not_change_the_view() {
    let mut environment = Environment::start(1, 1);
    let peers = environment.vms[0].peers;
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    for size in [0_usize, 1, 15, 16, 17, 300, 9000] {
        let noise: Vec<u8> = (0..=255)
            .cycle()
            .skip(size)
            .step_by(31)
            .take(size)
            .collect();
        socket.send_to(&noise, peers).expect("sent");
    }
    let refused = "event=datagram_refused";
    poll("the datagrams are refused", || {
        (environment.vms[0].process.logged(refused) >= 7).then_some(())
    });

    // A VM with another peer key.
    environment.add_vm(&json!({ "peer_key": "the key of somebody else", "vm": "stranger" }));
    let before = environment.vms[0].process.logged(refused);
    poll(
        "the heartbeats of the VM with another key are refused",
        || (environment.vms[0].process.logged(refused) > before + 3).then_some(()),
    );
    let (_, state) = environment.get(environment.vms[0].operators, "/state");
    let members = state["view"]["members"].as_object().expect("a view");
    assert_eq!(members.keys().collect::<Vec<_>>(), ["vm-0"], "{state}");
}

#[test]
fn operators_and_callers_use_separate_addresses() {
    let environment = Environment::start(1, 1);
    let vm = &environment.vms[0];
    for path in ["/state", "/metrics", "/readyz", "/healthz"] {
        assert_eq!(environment.get(vm.callers, path).0, 404, "{path}");
        assert_eq!(environment.get(vm.operators, path).0, 200, "{path}");
    }
    let body = json!({ "class": "quick", "key": "k", "budget": { "tokens": 1 } });
    let client = reqwest::blocking::Client::new();
    let url = format!("http://{}/v1/programs", vm.operators);
    let reply = client
        .post(url)
        .body(body.to_string())
        .send()
        .expect("the VM answers");
    assert_eq!(reply.status().as_u16(), 404);
}
