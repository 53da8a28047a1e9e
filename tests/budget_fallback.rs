//! Token budgets while the store loses one part of its partitions after another, and while a handover gets no answer.

mod platform;

use platform::program::{engine, start_site, turn};
use platform::{Store, Vm, until};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

const BUDGET: u64 = 2000;
/// Tokens of one turn, which are the most that it may generate.
const TURN_TOKENS: u64 = 290;
const TOPICS: [&str; 2] = ["keyed.allowance", "keyed.detour"];
const PARTITIONS: u64 = 4;

/// What happens to the VM that counts the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Killed,
    Stopped,
    /// All VMs lose power.
    AllKilled,
}

/// A program of the partition with this number.
fn program_of(partition: u64) -> String {
    let mut names = (0..).map(|number| format!("p{number}"));
    let found = names.find(|name| xxh3_64(name.as_bytes()) % PARTITIONS == partition);
    found.expect("a name")
}

fn set_unavailable(store: &Store, numbers: &[u64]) {
    let all = numbers
        .iter()
        .flat_map(|number| TOPICS.map(|topic| (topic, *number)));
    store.set_unavailable_partitions(&all.collect::<Vec<_>>());
}

fn owner_of(vms: &[Vm]) -> usize {
    let owns_program = |vm: &Vm| vm.state()["counted"]["programs"].as_u64().unwrap_or(0) > 0;
    until("a VM counts the program", || vms.iter().any(owns_program));
    vms.iter().position(owns_program).expect("an owner")
}

/// Sends turns until one is refused for the budget; returns the tokens received.
fn spend(vms: &[&Vm], program: &str) -> u64 {
    let (mut tokens, mut number) = (0, 0);
    until("the budget is spent", || {
        number += 1;
        let vm = vms[number % vms.len()];
        let (status, received) = turn(vm, program, BUDGET, &format!("z{number}"));
        tokens += received;
        status == 402
    });
    tokens
}

/// Plays one restart of the store by parts: `first` are unavailable while turns are counted, and `then` after the VM
/// that counts has ended.
fn play(partition: u64, first: &[u64], then: &[u64], end: End) {
    let backend = engine(TURN_TOKENS / 10);
    let (store, mut vms) = start_site(&backend, 3);
    let program = program_of(partition);
    let (status, mut tokens) = turn(&vms[0], &program, BUDGET, "first");
    assert_eq!(status, 200);
    let owner = owner_of(&vms);
    set_unavailable(&store, first);
    for number in 0..4 {
        tokens += turn(&vms[owner], &program, BUDGET, &format!("a{number}")).1;
    }
    match end {
        End::Killed => vms[owner].kill(),
        End::AllKilled => vms.iter_mut().for_each(Vm::kill),
        End::Stopped => {}
    }
    set_unavailable(&store, then);
    if end == End::Stopped {
        vms[owner].terminate();
        until("the VM has handed its partitions over", || {
            !vms[owner].lines("event=allowances_handed_over").is_empty()
        });
    }
    if end == End::AllKilled {
        vms.iter_mut().for_each(Vm::restart);
        vms.iter().for_each(Vm::wait_ready);
    }
    let is_left = |number: usize| number != owner || end == End::AllKilled;
    let left: Vec<&Vm> = (0..3).filter(|n| is_left(*n)).map(|n| &vms[n]).collect();
    for number in 0..10 {
        let vm = left[number % left.len()];
        tokens += turn(vm, &program, BUDGET, &format!("b{number}")).1;
    }
    set_unavailable(&store, &[]);
    tokens += spend(&left, &program);
    assert!(
        tokens <= BUDGET + TURN_TOKENS,
        "{tokens} tokens, partition {partition}, {first:?} and then {then:?}, {end:?}"
    );
}

/// Guards against granting tokens again that were recorded in fallback partitions, where some of these can't be read
/// when the partition is taken over.
#[test]
fn fallback_records_are_found_while_other_partitions_are_unavailable() {
    let first_and_then: [(&[u64], &[u64]); 5] = [
        (&[0], &[1]),
        (&[0], &[1, 2]),
        (&[0, 3], &[1, 2]),
        (&[0, 1], &[2, 3]),
        (&[0, 2], &[1, 2, 3]),
    ];
    for end in [End::Killed, End::Stopped, End::AllKilled] {
        std::thread::scope(|scope| {
            for (number, (first, then)) in first_and_then.into_iter().enumerate() {
                // The same for programs of any partition.
                let partition = number as u64 % PARTITIONS;
                let shift = move |numbers: &[u64]| {
                    let numbers = numbers.iter();
                    numbers
                        .map(|number| (number + partition) % PARTITIONS)
                        .collect::<Vec<_>>()
                };
                scope.spawn(move || play(partition, &shift(first), &shift(then), end));
            }
        });
    }
}

/// Guards against refusing programs whose partition is well while a minority of its fallback partitions is not.
#[test]
fn a_partition_is_taken_over_while_one_fallback_partition_is_unavailable() {
    let backend = engine(1);
    let (store, mut vms) = start_site(&backend, 3);
    let program = program_of(0);
    assert_eq!(turn(&vms[0], &program, BUDGET, "first").0, 200);
    let owner = owner_of(&vms);
    set_unavailable(&store, &[2]);
    vms[owner].kill();
    let other = &vms[(owner + 1) % 3];
    until("the program is served again", || {
        turn(other, &program, BUDGET, "again").0 == 200
    });
}

/// Guards against two VMs that grant the same allowance: the handover of a stopping VM gets no answer, since the other VM
/// is suspended, and the other VM takes the partition over when it wakes up.
#[test]
fn an_unanswered_handover_grants_no_allowance_twice() {
    for partition in 0..2 {
        let backend = engine(TURN_TOKENS / 10);
        let (_store, mut vms) = start_site(&backend, 2);
        let program = program_of(partition);
        let mut tokens = turn(&vms[0], &program, BUDGET, "first").1;
        let owner = owner_of(&vms);
        let other = 1 - owner;
        vms[other].signal("-STOP");
        vms[owner].terminate();
        until("the handover has failed", || {
            !vms[owner].lines("event=allowances_handed_over").is_empty()
        });
        tokens += turn(&vms[owner], &program, BUDGET, "second").1;
        vms[other].signal("-CONT");
        until("the other VM has taken the partition over", || {
            !vms[other].lines("event=allowances_adopted").is_empty()
        });
        vms[owner].wait();
        tokens += spend(&[&vms[other]], &program);
        assert!(tokens <= BUDGET + TURN_TOKENS, "{tokens} tokens");
    }
}

/// Guards against grants that only VMs know of, and against a record for each turn, while the store lacks but the
/// partition of the program.
#[test]
fn an_allowance_in_fallback_partitions_covers_several_turns() {
    let backend = engine(1);
    let (store, vms) = start_site(&backend, 2);
    let program = program_of(0);
    assert_eq!(turn(&vms[0], &program, BUDGET, "first").0, 200);
    set_unavailable(&store, &[0]);
    // The VM that counts has no other partition, and finds that all its writes fail.
    std::thread::sleep(Duration::from_secs(2));
    let programs = (1..).map(|number| format!("q{number}"));
    let of_partition = programs.filter(|name| xxh3_64(name.as_bytes()).is_multiple_of(PARTITIONS));
    for program in of_partition.take(3) {
        for number in 0..10 {
            let (status, _) = turn(
                &vms[number % 2],
                &program,
                BUDGET,
                &format!("{program}-{number}"),
            );
            assert_eq!(status, 200);
        }
        assert!(store.values("keyed.detour").contains_key(&program));
    }
    for vm in &vms {
        let replicated = vm.lines("event=allowance_copied");
        assert!(replicated.is_empty(), "{replicated:?}");
    }
    let appends = store.request_count("/log-append", "keyed.detour");
    assert!(appends <= 3 * 2 * 3, "{appends} appends for 30 turns");
}
