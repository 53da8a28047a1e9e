//! The token budget of a program, over several VMs that run the binary.

mod platform;

use platform::program::{EVENT, acquainted, engine, site, turn};
use platform::{Store, Vm, until};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// A program loops without end, and its turns come in through three VMs in turn. Its budget holds
/// over all of them: 402 ends it, and nothing of a refused turn reaches a server.
#[test]
fn a_looping_program_is_stopped_over_all_vms() {
    let backend = engine(12);
    let (_store, vms) = site(&backend, 3);
    let mut handed = 0;
    let mut refused = 0;
    for number in 0..30 {
        let (status, tokens) = turn(&vms[number % 3], "loop", 870, &format!("r{number}"));
        handed += tokens;
        refused += u64::from(status == 402);
        assert!([200, 402].contains(&status), "{status}");
    }
    assert!(refused > 0);
    assert!((600..=870 + 290).contains(&handed), "{handed}");
    assert_eq!(backend.count() as u64, handed / (12 * EVENT));
}

/// The VM that counts a program is killed, and then all of them are. Those that take over read what
/// was recorded: the program goes on, and is stopped by its budget all the same.
#[test]
fn the_budget_holds_over_the_loss_of_all_vms() {
    let backend = engine(9);
    let (store, mut vms) = site(&backend, 2);
    let mut handed = 0;
    for number in 0..3 {
        handed += turn(&vms[number % 2], "p", 2000, &format!("a{number}")).1;
    }
    assert_eq!(handed, 270);
    for vm in &mut vms {
        vm.kill();
    }
    assert!(store.values("keyed.allowance").contains_key("p"));
    for vm in &mut vms {
        vm.restart();
    }
    for vm in &vms {
        vm.wait_ready();
    }
    let mut last = 0;
    for number in 0..60 {
        let (status, tokens) = turn(&vms[number % 2], "p", 2000, &format!("b{number}"));
        handed += tokens;
        last = status;
    }
    assert_eq!(last, 402);
    assert!((1000..=2000 + 290).contains(&handed), "{handed}");
}

/// The store is away. Programs that are known go on, their allowances are kept by another VM, and
/// the budget holds when the store is back and the VM that counted is killed.
#[test]
fn programs_go_on_without_the_store() {
    let backend = engine(9);
    let (store, mut vms) = site(&backend, 2);
    let mut handed = turn(&vms[0], "p", 2000, "first").1;
    store.set_down(true);
    let mut served = 0;
    for number in 0..6 {
        let (status, tokens) = turn(&vms[0], "p", 2000, &format!("a{number}"));
        served += u64::from(status == 200);
        handed += tokens;
    }
    assert_eq!(served, 6);
    store.set_down(false);
    let counts = |vm: &Vm| vm.state()["counted"]["programs"].as_u64().unwrap_or(0) > 0;
    let counter = usize::from(!counts(&vms[0]));
    until("the records flow", || {
        let recorded = store.values("keyed.allowance");
        recorded
            .get("p")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
            >= handed
    });
    vms[counter].kill();
    let other = &vms[1 - counter];
    let mut refused = false;
    for number in 0..60 {
        let (status, tokens) = turn(other, "p", 2000, &format!("b{number}"));
        handed += tokens;
        refused |= status == 402;
    }
    assert!(refused);
    assert!(handed <= 2000 + 290, "{handed}");
}

/// Two of five VMs are cut off from the store and from the other three, and one of them counts a program whose
/// turns go on. Alone they can't tell that from an outage for all. The other side will count the program from
/// what is recorded, so whatever is handed out here beyond that would be handed out twice: it is refused, with a
/// time to come back, and served once the cut is over.
#[test]
fn a_vm_that_reaches_few_others_gives_nothing_without_a_record() {
    let backend = engine(9);
    let (store, vms) = site(&backend, 5);
    let mut handed = turn(&vms[0], "p", 2000, "first").1;
    let counts = |vm: &Vm| vm.state()["counted"]["programs"].as_u64().unwrap_or(0) > 0;
    let counter = vms.iter().position(counts).expect("a VM counts");
    // Long enough for each VM to have noted all others.
    std::thread::sleep(std::time::Duration::from_secs(1));
    store.set_down(true);
    let lost: Vec<&Vm> = vms
        .iter()
        .enumerate()
        .filter(|(at, _)| *at != counter)
        .take(3)
        .map(|(_, vm)| vm)
        .collect();
    for vm in &lost {
        vm.signal("-STOP");
    }
    let mut refused = false;
    for number in 0..6 {
        let (status, tokens) = turn(&vms[counter], "p", 2000, &format!("a{number}"));
        handed += tokens;
        refused |= status == 503;
    }
    for vm in &lost {
        vm.signal("-CONT");
    }
    let recorded: u64 = store.values("keyed.allowance")["p"]
        .parse()
        .expect("a number");
    assert!(refused && handed <= recorded, "{handed} of {recorded}");
    store.set_down(false);
    until("it is served again", || {
        turn(&vms[counter], "p", 2000, "again").0 == 200
    });
}

/// Guards against tokens given twice right after a cut, by a VM that does not know yet that others have the store.
#[test]
fn a_vm_gives_nothing_without_a_record_once_it_reaches_those_with_the_store() {
    let backend = engine(2);
    let store = Store::start();
    let door = store.door();
    store.configure(1, &[("/a/", "stream", serde_json::json!({}))]);
    store.register("s", "pool", backend.address, "ready");
    let mut vms: Vec<Vm> = (0..5).map(|_| Vm::start(&door)).collect();
    acquainted(&vms);
    let mut handed = turn(&vms[0], "p", 2000, "first").1;
    vms.extend((0..6).map(|_| Vm::start(&store)));
    acquainted(&vms);
    let (cut_off, others) = vms.split_at(5);
    let counts = |vm: &&Vm| vm.state()["counted"]["programs"].as_u64().unwrap_or(0) > 0;
    let counter = cut_off.iter().find(counts).expect("a VM counts");
    // Long enough for each VM to have noted all others.
    std::thread::sleep(Duration::from_secs(1));
    for vm in others {
        vm.signal("-STOP");
    }
    door.set_down(true);
    let since = Instant::now();
    let mut made = 0;
    let mut turns_until = |seconds: f64| {
        while since.elapsed().as_secs_f64() < seconds {
            made += 1;
            handed += turn(counter, "p", 2000, &format!("a{made}")).1;
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    turns_until(4.0);
    for vm in others {
        vm.signal("-CONT");
    }
    turns_until(5.5);
    let copied = counter.lines("event=allowance_copied");
    assert!(copied.is_empty(), "{handed} tokens: {copied:?}");
}

/// A VM stops as planned and hands its programs over whole: nothing of the budget is lost, so that a
/// program of exactly as many turns as its budget holds is not refused.
#[test]
fn a_planned_stop_loses_nothing_of_a_budget() {
    let backend = engine(10);
    let (_store, mut vms) = site(&backend, 2);
    for number in 0..4 {
        assert_eq!(turn(&vms[0], "p", 1000, &format!("a{number}")).0, 200);
    }
    let counts = |vm: &Vm| vm.state()["counted"]["programs"].as_u64().unwrap_or(0) > 0;
    let counter = usize::from(!counts(&vms[0]));
    vms[counter].terminate();
    until("it hands over", || {
        !vms[counter]
            .lines("event=allowances_handed_over")
            .is_empty()
    });
    let other = &vms[1 - counter];
    for number in 0..6 {
        assert_eq!(
            turn(other, "p", 1000, &format!("b{number}")).0,
            200,
            "turn {number}"
        );
    }
}

/// The store is away for some seconds, in which a looping program gets tokens that nobody can
/// record. Then all VMs are killed, and the store is back before them. The VMs that start know
/// from the age of the newest records that some may be missing, and stop the program early enough.
#[test]
fn the_budget_holds_over_the_loss_of_all_vms_in_an_outage() {
    let backend = engine(20);
    let (store, mut vms) = site(&backend, 2);
    let mut handed = turn(&vms[0], "p", 870, "first").1;
    store.set_down(true);
    for number in 0..12 {
        handed += turn(&vms[number % 2], "p", 870, &format!("a{number}")).1;
    }
    std::thread::sleep(std::time::Duration::from_secs(4));
    for vm in &mut vms {
        vm.kill();
    }
    store.set_down(false);
    for vm in &mut vms {
        vm.restart();
    }
    for vm in &vms {
        vm.wait_ready();
    }
    for number in 0..12 {
        handed += turn(&vms[number % 2], "p", 870, &format!("b{number}")).1;
    }
    assert!(handed <= 870 + 290, "{handed}");
}

/// A program's newest allowance went through another partition, so the other VM's copy is older.
/// Then the store is away and the VM that counted is killed: another one goes on from its copy,
/// and when the store is back it must not replace the newer record by that copy. There are three VMs, since one
/// that reaches less than half of the others may be cut off and gives nothing without a record.
#[test]
fn an_older_copy_does_not_replace_a_record() {
    let backend = engine(20);
    let (store, mut vms) = site(&backend, 3);
    let counts = |vm: &Vm| vm.state()["counted"]["programs"].as_u64().unwrap_or(0) > 0;
    let mut handed = turn(&vms[0], "p", 2900, "first").1;
    until("a VM counts", || vms.iter().any(counts));
    let first = vms.iter().position(counts).expect("a VM counts");
    let recorded = || store.values("keyed.allowance").get("p").cloned();
    let before = recorded();
    store.set_stuck(Some("keyed.allowance"));
    for number in 0..4 {
        handed += turn(&vms[first], "p", 2900, &format!("a{number}")).1;
    }
    store.set_stuck(None);
    until("the record is newer", || recorded() != before);
    let newest: u64 = recorded().expect("it is there").parse().expect("a number");
    std::thread::sleep(std::time::Duration::from_secs(5));
    store.set_down(true);
    vms[first].kill();
    let others = || {
        vms.iter()
            .enumerate()
            .filter(|(number, _)| *number != first)
    };
    until("another one counts", || {
        for (_, vm) in others() {
            turn(vm, "p", 2900, "again");
        }
        others().any(|(_, vm)| counts(vm))
    });
    store.set_down(false);
    until("it has taken the partition", || {
        others().any(|(_, vm)| !vm.lines("event=allowances_taken part").is_empty())
    });
    std::thread::sleep(std::time::Duration::from_secs(1));
    let now: u64 = recorded().expect("it is there").parse().expect("a number");
    assert!(now >= newest, "{now} after {newest}, {handed} tokens");
}

/// The store goes silent: calls are taken and nothing comes back. A turn waited there for its own
/// partition and then for each of three others, a quarter of a second each, and so did every new
/// program for as long as the store was away. Now a VM finds out once, and then asks other VMs alone.
#[test]
fn a_silent_store_is_waited_for_once() {
    let backend = engine(1);
    let (store, vms) = site(&backend, 3);
    let programs = |name: &str| {
        (0..12)
            .map(|number| format!("{name}{number}"))
            .collect::<Vec<_>>()
    };
    for program in programs("before") {
        // Each partition has a VM that counts it.
        until("it is served", || {
            turn(&vms[0], &program, 2000, &program).0 == 200
        });
    }
    store.set_silent(true);
    for program in programs("first") {
        turn(&vms[0], &program, 2000, &program);
    }
    let waits = programs("later").into_iter().map(|program| {
        let began = Instant::now();
        assert_eq!(turn(&vms[0], &program, 2000, &program).0, 200);
        began.elapsed()
    });
    let longest = waits.max().expect("there are some");
    assert!(longest < Duration::from_millis(600), "{longest:?}");
}

/// A partition of the store takes no records, so that two allowances go through another one. It takes
/// the first, and no more; then the VM that counts is killed. The second one is known from the detour
/// alone: dropped with the first, the program would get its budget once more.
#[test]
fn a_detour_stays_until_its_program_is_over() {
    let backend = engine(12);
    let (store, mut vms) = site(&backend, 1);
    let same_part = |number: &usize| xxh3_64(format!("p{number}").as_bytes()).is_multiple_of(4);
    let programs: Vec<String> = (0..)
        .filter(same_part)
        .take(3)
        .map(|n| format!("p{n}"))
        .collect();
    let [warm, first, second] = &*programs else {
        panic!("there are three");
    };
    assert_eq!(turn(&vms[0], warm, 580, "warm").0, 200);
    store.set_stuck(Some("keyed.allowance"));
    assert_eq!(turn(&vms[0], first, 2000, "first").0, 200);
    assert_eq!(turn(&vms[0], second, 580, "second").0, 200);
    assert!(store.values("keyed.detour").contains_key(second));
    store.pass(1);
    std::thread::sleep(Duration::from_secs(1));
    vms[0].kill();
    store.set_stuck(None);
    vms[0].restart();
    vms[0].wait_ready();
    until("the budget is known to be spent", || {
        turn(&vms[0], second, 580, "again").0 == 402
    });
    let seen = backend.requests.lock().expect("not poisoned");
    let again = seen
        .iter()
        .filter(|request| request.header("x-request-id") == "again");
    assert_eq!(again.count(), 0);
}
