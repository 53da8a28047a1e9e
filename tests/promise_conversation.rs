//! Conversations that the system keeps, through the binary: what a server gets, what outlasts the loss
//! of VMs, and what a caller is told.

mod platform;

use platform::{Act, Backend, Reply, Store, Vm, call, chunk, events, stream_head, until};
use serde_json::json;
use std::time::{Duration, Instant};

const ROUTE: &str = "/chat/";

/// A server that ends each stream of two events whole.
fn talker() -> Backend {
    Backend::start(|request, _| {
        let id = request.header("x-request-id");
        let said = [1, 2].map(|event| chunk(&format!("id: {event}\ndata: {id}.{event}\n\n")));
        Act::Keep(format!("{}{}{}0\r\n\r\n", stream_head(request), said[0], said[1]).into_bytes())
    })
}

fn store(backend: &Backend) -> Store {
    let store = Store::start();
    let kept = json!({ "retain": true, "canResume": false, "attempts": 1 });
    store.configure(1, &[(ROUTE, "stream", kept)]);
    store.register("s", "pool", backend.address, "ready");
    store
}

fn vms<const COUNT: usize>(store: &Store) -> [Vm; COUNT] {
    let vms = std::array::from_fn(|_| Vm::start(store));
    for vm in &vms {
        vm.wait_ready();
        until("they know each other", || {
            vm.state()["members"].as_array().map(Vec::len) == Some(COUNT)
        });
    }
    vms
}

/// One turn: its identity, the one before, and what is new.
fn say(vm: &Vm, id: &str, prev: Option<&str>, input: &str) -> Reply {
    let mut headers = vec![
        ("X-Request-Id", id),
        ("X-Program", "p"),
        ("X-Deadline-Ms", "3000"),
    ];
    headers.extend(prev.map(|prev| ("X-Prev-Turn", prev)));
    call(vm.callers, "POST", "/chat/x", &headers, input.as_bytes())
}

fn whole(vm: &Vm, id: &str, prev: Option<&str>, input: &str) {
    let reply = say(vm, id, prev, input);
    assert!(reply.status == 200 && reply.whole, "{id}: {reply:?}");
}

/// What the server got last.
fn heard(backend: &Backend) -> String {
    let seen = backend.requests.lock().expect("not poisoned");
    let last = seen.last().expect("it got one");
    String::from_utf8_lossy(&last.body).into_owned()
}

/// A caller sends only what is new. The server gets all that was said before, byte for byte, though
/// each turn comes through another VM; two turns may go on from one.
#[test]
fn a_turn_goes_on_from_all_before_it() {
    let backend = talker();
    let store = store(&backend);
    let [a, b] = vms::<2>(&store);
    whole(&a, "t1", None, "one");
    assert_eq!(heard(&backend), "one");
    whole(&b, "t2", Some("t1"), "two");
    assert_eq!(heard(&backend), "onet1.1\nt1.2\ntwo");
    whole(&a, "t3", Some("t2"), "three");
    assert_eq!(heard(&backend), "onet1.1\nt1.2\ntwot2.1\nt2.2\nthree");
    whole(&a, "u2", Some("t1"), "other");
    assert_eq!(heard(&backend), "onet1.1\nt1.2\nother");
}

/// The VM that served a turn loses power right after the answer, and then all do. The caller goes on
/// through another VM, and through one that has just started: the store had the turn before its
/// answer ended.
#[test]
fn a_kept_turn_outlasts_all_vms() {
    let backend = talker();
    let store = store(&backend);
    let [mut a, mut b] = vms::<2>(&store);
    whole(&a, "t1", None, "one");
    a.kill();
    until("the other one goes on", || {
        say(&b, "t2", Some("t1"), "two").whole
    });
    assert_eq!(heard(&backend), "onet1.1\nt1.2\ntwo");
    b.kill();
    a.restart();
    a.wait_ready();
    until("a new one goes on", || {
        say(&a, "t3", Some("t2"), "three").whole
    });
    assert_eq!(heard(&backend), "onet1.1\nt1.2\ntwot2.1\nt2.2\nthree");
}

/// The store takes no turns. The caller has its events at once, and the end only when the store is
/// back: an end before would promise a turn that the loss of all VMs would take away. Where the store
/// stays away for as long as the caller waits, the answer is cut, and there is no turn.
#[test]
fn an_answer_ends_once_its_turn_is_kept() {
    let backend = talker();
    let store = store(&backend);
    let [vm] = vms::<1>(&store);
    store.refuse_appends(Some("keyed.turn"));
    let began = Instant::now();
    let reply = std::thread::scope(|scope| {
        let waiting = scope.spawn(|| say(&vm, "t1", None, "one"));
        std::thread::sleep(Duration::from_secs(1));
        store.refuse_appends(None);
        waiting.join().expect("it does not panic")
    });
    assert!(reply.whole && began.elapsed() >= Duration::from_secs(1));
    store.refuse_appends(Some("keyed.turn"));
    let cut = say(&vm, "t2", Some("t1"), "two");
    assert_eq!((cut.status, cut.whole), (200, false));
    assert!(cut.text().contains("t2.2"), "{}", cut.text());
    store.refuse_appends(None);
    assert_eq!(say(&vm, "t3", Some("t2"), "three").status, 404);
}

/// The store does not take turns in their own partitions, but in others. They are recorded there, and
/// are found there after the loss of all VMs.
#[test]
fn a_turn_takes_a_detour() {
    let backend = talker();
    let store = store(&backend);
    let [mut vm] = vms::<1>(&store);
    store.refuse_appends(Some("keyed.turns"));
    whole(&vm, "t1", None, "one");
    assert!(!store.values("keyed.turndetour").is_empty());
    vm.kill();
    vm.restart();
    vm.wait_ready();
    whole(&vm, "t2", Some("t1"), "two");
    assert_eq!(heard(&backend), "onet1.1\nt1.2\ntwo");
}

/// A server breaks off in the middle of an answer. The caller's answer is cut as well, and leaves no
/// turn: who names it is told so, and nothing reaches a server.
#[test]
fn a_broken_answer_leaves_no_turn() {
    let backend = Backend::start(|request, _| {
        Act::Close(format!("{}{}", stream_head(request), events(1..=1)).into_bytes())
    });
    let store = store(&backend);
    let [vm] = vms::<1>(&store);
    let cut = say(&vm, "t1", None, "one");
    assert_eq!((cut.status, cut.whole), (200, false));
    let reply = say(&vm, "t2", Some("t1"), "two");
    assert_eq!(reply.status, 404);
    assert!(reply.text().contains("VT1013"), "{}", reply.text());
    assert_eq!(backend.count(), 1);
}

/// The store can't be read, and no VM has the turn in memory. Whether there is such a turn is not
/// known, so the caller is told when to come back, at once and not at the end of its time.
#[test]
fn a_turn_that_cannot_be_read_is_not_denied() {
    let backend = talker();
    let store = store(&backend);
    let [mut vm] = vms::<1>(&store);
    whole(&vm, "t1", None, "one");
    vm.kill();
    vm.restart();
    vm.wait_ready();
    store.set_down(true);
    let began = Instant::now();
    let reply = say(&vm, "t2", Some("t1"), "two");
    assert_eq!(reply.status, 503, "{}", reply.text());
    assert!(reply.headers.contains_key("retry-after"));
    assert!(began.elapsed() < Duration::from_secs(2));
    assert_eq!(backend.count(), 1);
    store.set_down(false);
    until("the store is read again", || {
        say(&vm, "t3", Some("t1"), "two").whole
    });
    assert_eq!(heard(&backend), "onet1.1\nt1.2\ntwo");
}

/// What passes a bound is refused before it runs, with a code: a turn that would not fit into a record,
/// and an identity that no turn can have.
#[test]
fn what_passes_a_bound_is_refused() {
    let backend = talker();
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
    assert_eq!(say(&vm, "t1", Some(&long), "one").status, 404);
    assert_eq!(say(&vm, "t2", Some("none"), "one").status, 404);
    assert_eq!(backend.count(), 0);
}

/// Half an answer can't be made whole by its second half: a caller that wants to go on within a turn
/// that is kept is asked to begin it again.
#[test]
fn a_kept_turn_begins_at_its_start() {
    let backend = talker();
    let store = store(&backend);
    let [vm] = vms::<1>(&store);
    let headers = [("X-Request-Id", "t1"), ("Last-Event-Id", "1")];
    let reply = call(vm.callers, "POST", "/chat/x", &headers, b"one");
    assert_eq!(reply.status, 503);
    assert!(reply.headers.contains_key("retry-after"));
    assert_eq!(backend.count(), 0);
}

/// The store takes no turns, and all VMs lose power before it is back. A turn that only VMs held would
/// be gone, though its caller had been told that it was whole; so no answer may have ended.
#[test]
fn no_turn_rests_on_vms_alone() {
    let backend = talker();
    let store = store(&backend);
    let mut vms = vms::<3>(&store);
    store.refuse_appends(Some("keyed.turn"));
    let ended = say(&vms[0], "t1", None, "one").whole;
    for vm in &mut vms {
        vm.kill();
    }
    store.refuse_appends(None);
    for vm in &mut vms {
        vm.restart();
        vm.wait_ready();
    }
    let served = say(&vms[0], "t2", Some("t1"), "two").status == 200;
    assert_eq!(ended, served);
}

/// All VMs lose power, and reading a bucket of turns takes half a second then, since small VMs read many
/// at once. Callers come back all together; each goes on within its time, those that want a turn of one
/// bucket after one read of it. Reads were given up after 0.3 s, and begun again for each that waited.
#[test]
fn many_go_on_after_the_loss_of_all_vms() {
    const MANY: usize = 12;
    let backend = talker();
    let store = store(&backend);
    let [mut vm] = vms::<1>(&store);
    for number in 0..MANY {
        whole(&vm, &format!("t{number}"), None, "one");
    }
    vm.kill();
    store.set_read_delay(Duration::from_millis(500));
    vm.restart();
    vm.wait_ready();
    let (vm, next) = (&vm, |number| format!("u{number}"));
    std::thread::scope(|scope| {
        let callers = (0..MANY * 2).map(|number| {
            let prev = format!("t{}", number % MANY);
            scope.spawn(move || say(vm, &next(number), Some(&prev), "two"))
        });
        let callers: Vec<_> = callers.collect();
        for caller in callers {
            let reply = caller.join().expect("it does not panic");
            assert!(reply.status == 200 && reply.whole, "{reply:?}");
        }
    });
}

/// The store takes no turns from one VM, and serves the other. The turn is recorded by that one, the
/// answer ends, and after the loss of both the conversation goes on.
#[test]
fn another_vm_records_what_the_store_does_not_take() {
    let backend = talker();
    let store = store(&backend);
    let door = store.new_endpoint();
    let mut vms = [Vm::start(&door), Vm::start(&store)];
    for vm in &vms {
        vm.wait_ready();
        until("they know each other", || {
            vm.state()["members"].as_array().map(Vec::len) == Some(2)
        });
    }
    door.refuse_appends(Some("keyed.turn"));
    whole(&vms[0], "t1", None, "one");
    until("it is told", || {
        !vms[0]
            .lines("event=turn_kept id=t1 prev=\"\" bytes=13 at=relay")
            .is_empty()
    });
    for vm in &mut vms {
        vm.kill();
    }
    vms[1].restart();
    vms[1].wait_ready();
    whole(&vms[1], "t2", Some("t1"), "two");
    assert_eq!(heard(&backend), "onet1.1\nt1.2\ntwo");
}
