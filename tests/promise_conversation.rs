//! Conversations with saved turns, through the binary: the history that a backend server gets, loss of
//! VMs, store outages, and what the caller is answered.

mod platform;

use platform::{Act, Backend, Reply, Store, Vm, call, chunk, events, stream_head, until};
use serde_json::json;
use std::time::{Duration, Instant};

const ROUTE: &str = "/chat/";

/// A backend server that answers each request with a complete stream of two events.
fn start_backend() -> Backend {
    Backend::start(|request, _| {
        let id = request.header("x-request-id");
        let events_of_answer =
            [1, 2].map(|event| chunk(&format!("id: {event}\ndata: {id}.{event}\n\n")));
        Act::Keep(
            format!(
                "{}{}{}0\r\n\r\n",
                stream_head(request),
                events_of_answer[0],
                events_of_answer[1]
            )
            .into_bytes(),
        )
    })
}

fn store(backend: &Backend) -> Store {
    let store = Store::start();
    let settings = json!({ "retain": true, "canResume": false, "attempts": 1 });
    store.configure(1, &[(ROUTE, "stream", settings)]);
    store.register("s", "pool", backend.address, "ready");
    store
}

fn vms<const COUNT: usize>(store: &Store) -> [Vm; COUNT] {
    let vms = std::array::from_fn(|_| Vm::start(store));
    for vm in &vms {
        vm.wait_ready();
        until("the VMs know each other", || {
            vm.state()["members"].as_array().map(Vec::len) == Some(COUNT)
        });
    }
    vms
}

/// Sends one turn with its id, the id of the previous turn, and the new input.
fn send_turn(vm: &Vm, id: &str, prev: Option<&str>, input: &str) -> Reply {
    let mut headers = vec![
        ("X-Request-Id", id),
        ("X-Program", "p"),
        ("X-Deadline-Ms", "3000"),
    ];
    headers.extend(prev.map(|prev| ("X-Prev-Turn", prev)));
    call(vm.callers, "POST", "/chat/x", &headers, input.as_bytes())
}

fn send_complete_turn(vm: &Vm, id: &str, prev: Option<&str>, input: &str) {
    let reply = send_turn(vm, id, prev, input);
    assert!(reply.status == 200 && reply.whole, "{id}: {reply:?}");
}

/// Body of the last request that the backend server received.
fn last_request_body(backend: &Backend) -> String {
    let requests = backend.requests.lock().expect("not poisoned");
    let last = requests.last().expect("a request");
    String::from_utf8_lossy(&last.body).into_owned()
}

/// A caller sends only the new input. The backend server must get the whole history byte for byte, also
/// when turns arrive at different VMs and when two turns follow the same one.
#[test]
fn a_turn_is_sent_with_the_whole_history() {
    let backend = start_backend();
    let store = store(&backend);
    let [a, b] = vms::<2>(&store);
    send_complete_turn(&a, "t1", None, "one");
    assert_eq!(last_request_body(&backend), "one");
    send_complete_turn(&b, "t2", Some("t1"), "two");
    assert_eq!(last_request_body(&backend), "onet1.1\nt1.2\ntwo");
    send_complete_turn(&a, "t3", Some("t2"), "three");
    assert_eq!(
        last_request_body(&backend),
        "onet1.1\nt1.2\ntwot2.1\nt2.2\nthree"
    );
    send_complete_turn(&a, "u2", Some("t1"), "other");
    assert_eq!(last_request_body(&backend), "onet1.1\nt1.2\nother");
}

/// All VMs are killed after a turn was answered. The conversation must continue at another VM and at a
/// restarted one, since the turn was stored before its answer ended.
#[test]
fn a_saved_turn_survives_the_loss_of_all_vms() {
    let backend = start_backend();
    let store = store(&backend);
    let [mut a, mut b] = vms::<2>(&store);
    send_complete_turn(&a, "t1", None, "one");
    a.kill();
    until("the other VM continues", || {
        send_turn(&b, "t2", Some("t1"), "two").is_whole_success()
    });
    assert_eq!(last_request_body(&backend), "onet1.1\nt1.2\ntwo");
    b.kill();
    a.restart();
    a.wait_ready();
    until("a restarted VM continues", || {
        send_turn(&a, "t3", Some("t2"), "three").is_whole_success()
    });
    assert_eq!(
        last_request_body(&backend),
        "onet1.1\nt1.2\ntwot2.1\nt2.2\nthree"
    );
}

/// During a store outage the events reach the caller at once, but the answer must not end before its turn
/// is stored. If the outage lasts until the deadline, the answer is cut and no turn exists.
#[test]
fn an_answer_ends_only_after_its_turn_is_stored() {
    let backend = start_backend();
    let store = store(&backend);
    let [vm] = vms::<1>(&store);
    store.refuse_appends(Some("keyed.turn"));
    let began = Instant::now();
    let reply = std::thread::scope(|scope| {
        let waiting = scope.spawn(|| send_turn(&vm, "t1", None, "one"));
        std::thread::sleep(Duration::from_secs(1));
        store.refuse_appends(None);
        waiting.join().expect("no panic")
    });
    assert!(reply.whole && began.elapsed() >= Duration::from_secs(1));
    store.refuse_appends(Some("keyed.turn"));
    let cut = send_turn(&vm, "t2", Some("t1"), "two");
    assert_eq!((cut.status, cut.whole), (200, false));
    assert!(cut.text().contains("t2.2"), "{}", cut.text());
    store.refuse_appends(None);
    assert_eq!(send_turn(&vm, "t3", Some("t2"), "three").status, 404);
}

/// The store accepts no turns in their own partitions. They must be written to the fallback topic and
/// found there after the loss of all VMs.
#[test]
fn a_turn_is_stored_in_the_fallback_topic() {
    let backend = start_backend();
    let store = store(&backend);
    let [mut vm] = vms::<1>(&store);
    store.refuse_appends(Some("keyed.turns"));
    send_complete_turn(&vm, "t1", None, "one");
    assert!(!store.values("keyed.turndetour").is_empty());
    vm.kill();
    vm.restart();
    vm.wait_ready();
    send_complete_turn(&vm, "t2", Some("t1"), "two");
    assert_eq!(last_request_body(&backend), "onet1.1\nt1.2\ntwo");
}

/// A backend server breaks off in the middle of an answer. The caller's answer must be cut too, and a
/// request that names the turn must be refused without reaching a server.
#[test]
fn a_truncated_answer_saves_no_turn() {
    let backend = Backend::start(|request, _| {
        Act::Close(format!("{}{}", stream_head(request), events(1..=1)).into_bytes())
    });
    let store = store(&backend);
    let [vm] = vms::<1>(&store);
    let cut = send_turn(&vm, "t1", None, "one");
    assert_eq!((cut.status, cut.whole), (200, false));
    let reply = send_turn(&vm, "t2", Some("t1"), "two");
    assert_eq!(reply.status, 404);
    assert!(reply.text().contains("VT1013"), "{}", reply.text());
    assert_eq!(backend.count(), 1);
}

/// The store cannot be read and no VM has the turn in memory. The caller must get a retry-after at once,
/// and not an error that says that the turn does not exist.
#[test]
fn an_unreadable_turn_is_not_reported_as_missing() {
    let backend = start_backend();
    let store = store(&backend);
    let [mut vm] = vms::<1>(&store);
    send_complete_turn(&vm, "t1", None, "one");
    vm.kill();
    vm.restart();
    vm.wait_ready();
    store.set_down(true);
    let began = Instant::now();
    let reply = send_turn(&vm, "t2", Some("t1"), "two");
    assert_eq!(reply.status, 503, "{}", reply.text());
    assert!(reply.headers.contains_key("retry-after"));
    assert!(began.elapsed() < Duration::from_secs(2));
    assert_eq!(backend.count(), 1);
    store.set_down(false);
    until("the store is read again", || {
        send_turn(&vm, "t3", Some("t1"), "two").is_whole_success()
    });
    assert_eq!(last_request_body(&backend), "onet1.1\nt1.2\ntwo");
}

/// Requests whose previous turn is unknown or has an id beyond the length limit are refused before they
/// reach a server.
#[test]
fn unknown_and_overlong_turn_ids_are_refused() {
    let backend = start_backend();
    let store = store(&backend);
    store.configure(
        2,
        &[(
            ROUTE,
            "stream",
            json!({ "retain": true, "canResume": false }),
        )],
    );
    let [vm] = vms::<1>(&store);
    let long = "x".repeat(200);
    assert_eq!(send_turn(&vm, "t1", Some(&long), "one").status, 404);
    assert_eq!(send_turn(&vm, "t2", Some("none"), "one").status, 404);
    assert_eq!(backend.count(), 0);
}

/// The second half of an answer cannot be saved as a turn: a caller that resumes a stream within a saved
/// turn is asked to send the turn again.
#[test]
fn a_saved_turn_cannot_be_resumed_midway() {
    let backend = start_backend();
    let store = store(&backend);
    let [vm] = vms::<1>(&store);
    let headers = [("X-Request-Id", "t1"), ("Last-Event-Id", "1")];
    let reply = call(vm.callers, "POST", "/chat/x", &headers, b"one");
    assert_eq!(reply.status, 503);
    assert!(reply.headers.contains_key("retry-after"));
    assert_eq!(backend.count(), 0);
}

/// The store accepts no turns and all VMs are killed. An answer that had ended although its turn was only
/// in memory would leave the conversation without that turn.
#[test]
fn no_answer_ends_with_its_turn_only_in_memory() {
    let backend = start_backend();
    let store = store(&backend);
    let mut vms = vms::<3>(&store);
    store.refuse_appends(Some("keyed.turn"));
    let ended = send_turn(&vms[0], "t1", None, "one").whole;
    for vm in &mut vms {
        vm.kill();
    }
    store.refuse_appends(None);
    for vm in &mut vms {
        vm.restart();
        vm.wait_ready();
    }
    let served = send_turn(&vms[0], "t2", Some("t1"), "two").status == 200;
    assert_eq!(ended, served);
}

/// After the loss of all VMs, reads of the store are slow and many callers continue at once. Each must
/// succeed within its deadline, so reads of one bucket have to be shared and not be abandoned early.
#[test]
fn many_conversations_continue_after_the_loss_of_all_vms() {
    const CONVERSATIONS: usize = 12;
    let backend = start_backend();
    let store = store(&backend);
    let [mut vm] = vms::<1>(&store);
    for number in 0..CONVERSATIONS {
        send_complete_turn(&vm, &format!("t{number}"), None, "one");
    }
    vm.kill();
    store.set_read_delay(Duration::from_millis(500));
    vm.restart();
    vm.wait_ready();
    let (vm, next_id) = (&vm, |number| format!("u{number}"));
    std::thread::scope(|scope| {
        let callers = (0..CONVERSATIONS * 2).map(|number| {
            let prev = format!("t{}", number % CONVERSATIONS);
            scope.spawn(move || send_turn(vm, &next_id(number), Some(&prev), "two"))
        });
        let callers: Vec<_> = callers.collect();
        for caller in callers {
            let reply = caller.join().expect("no panic");
            assert!(reply.status == 200 && reply.whole, "{reply:?}");
        }
    });
}

/// The store rejects the turns of one VM only. The other VM must store them on its behalf, so that the
/// conversation continues after the loss of both.
#[test]
fn a_turn_is_stored_through_another_vm() {
    let backend = start_backend();
    let store = store(&backend);
    let second_listener = store.new_endpoint();
    let mut vms = [Vm::start(&second_listener), Vm::start(&store)];
    for vm in &vms {
        vm.wait_ready();
        until("the VMs know each other", || {
            vm.state()["members"].as_array().map(Vec::len) == Some(2)
        });
    }
    second_listener.refuse_appends(Some("keyed.turn"));
    send_complete_turn(&vms[0], "t1", None, "one");
    until("the relayed turn is logged", || {
        !vms[0]
            .lines("event=turn_kept id=t1 prev=\"\" bytes=13 at=relay")
            .is_empty()
    });
    for vm in &mut vms {
        vm.kill();
    }
    vms[1].restart();
    vms[1].wait_ready();
    send_complete_turn(&vms[1], "t2", Some("t1"), "two");
    assert_eq!(last_request_body(&backend), "onet1.1\nt1.2\ntwo");
}
