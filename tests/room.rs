//! Room for what callers make a VM hold: who is refused, and whose connection is closed.

use proptest::prelude::*;
use std::time::Duration;
use vanillatrail::policy::room::{
    Connections, Holder, Memory, Need, Phase, Port, SMALL_BYTES, STALLED_AFTER, UNREAD_AFTER,
    close_for_connection, close_for_memory, retry_after,
};

const MIB: usize = 1 << 20;
const VM: Memory = Memory::of_machine(120_000_000);
const NEEDS: [Need; 4] = [Need::Small, Need::Large, Need::Answer, Need::Message];

fn holder(key: usize, phase: Phase, bytes: usize, quiet: Duration) -> Holder<usize> {
    Holder {
        key,
        phase,
        used: true,
        bytes,
        arrived: bytes,
        age: quiet,
        quiet,
        left: Duration::from_secs(4),
    }
}

fn any_holder() -> impl Strategy<Value = Holder<usize>> {
    let phase = prop_oneof![
        Just(Phase::Idle),
        Just(Phase::Head),
        Just(Phase::Body),
        Just(Phase::Working),
        Just(Phase::Answer),
        Just(Phase::Closing),
    ];
    let times = (0..8000_u64, 0..8000_u64, 0..8000_u64);
    (any::<usize>(), phase, 0..8 * MIB, any::<bool>(), times).prop_map(
        |(key, phase, bytes, used, (age, quiet, left))| Holder {
            key,
            phase,
            used,
            bytes,
            arrived: bytes / 2,
            age: Duration::from_millis(age),
            quiet: Duration::from_millis(quiet.min(age)),
            left: Duration::from_millis(left),
        },
    )
}

/// Guards against large requests that take the room of small ones.
#[test]
fn small_requests_keep_room() {
    let held = VM.limit(Need::Large);
    assert!(!VM.admits(held, Need::Large, SMALL_BYTES + 1));
    assert!(VM.admits(held, Need::Answer, SMALL_BYTES + 1));
    assert!(VM.admits(VM.limit(Need::Answer), Need::Small, SMALL_BYTES));
    assert!(VM.limit(Need::Small) - VM.limit(Need::Large) > 100 * SMALL_BYTES);
}

/// Guards against limits that a single caller meets in calm.
#[test]
fn one_body_and_one_answer_of_the_largest_size_fit_the_smallest_machine() {
    let smallest = Memory::of_machine(64_000_000);
    assert!(smallest.admits(0, Need::Large, 4 * MIB));
    assert!(smallest.admits(4 * MIB, Need::Answer, 8 * MIB));
    assert!(smallest.admits(0, Need::Message, 2 * MIB));
}

/// Guards against callers that take the descriptors of servers, the store and other VMs.
#[test]
fn callers_leave_descriptors_for_others() {
    for descriptors in [64, 400, 1000, 8200, 1 << 20] {
        let connections = Connections::of_descriptors(descriptors);
        let callers = connections.limit(Port::Callers);
        // Each request may need a connection to its server.
        assert!(callers > 0 && 2 * callers < descriptors, "{descriptors}");
    }
    assert!(Connections::of_descriptors(1000).limit(Port::Operators) < 100);
}

/// Guards against connections that are being closed, and take the descriptors that are kept for others.
#[test]
fn all_listeners_together_leave_descriptors() {
    for descriptors in [400, 1000, 8200, 1 << 20] {
        let connections = Connections::of_descriptors(descriptors);
        let open = Port::ALL.map(|port| connections.limit_with_closing(port));
        let open: usize = open.into_iter().sum();
        assert!(open < descriptors / 16 * 15, "{open} of {descriptors}");
    }
}

/// Guards against closing a connection whose request is at work, or an answer that its caller reads.
#[test]
fn requests_at_work_and_answers_that_are_read_stay() {
    let hour = Duration::from_hours(1);
    let holders = || {
        vec![
            holder(1, Phase::Working, 4 * MIB, hour),
            holder(2, Phase::Answer, 8 * MIB, Duration::ZERO),
            holder(3, Phase::Answer, 8 * MIB, UNREAD_AFTER / 2),
        ]
    };
    for need in NEEDS {
        assert!(close_for_memory(holders(), need, 100 * MIB).is_empty());
    }
    assert!(close_for_connection(holders()).is_empty());
}

/// Guards against refusing requests that arrive well while there are stalled ones.
#[test]
fn stalled_requests_give_way_first() {
    let moment = Duration::from_millis(1);
    let holders = vec![
        holder(1, Phase::Body, 4 * MIB, moment),
        holder(2, Phase::Body, 2 * MIB, STALLED_AFTER),
        holder(3, Phase::Body, 3 * MIB, STALLED_AFTER),
    ];
    assert_eq!(close_for_memory(holders.clone(), Need::Large, MIB), [3]);
    assert_eq!(
        close_for_memory(holders.clone(), Need::Large, 9 * MIB),
        [3, 2]
    );
    // A small request, and an answer whose request has run, go before a large one that is not whole.
    assert_eq!(
        close_for_memory(holders.clone(), Need::Small, 9 * MIB),
        [3, 2, 1]
    );
    assert_eq!(close_for_memory(holders, Need::Answer, 9 * MIB), [3, 2, 1]);
}

/// Guards against bodies that trickle so that they never count as stalled.
#[test]
fn bodies_that_trickle_count_as_stalled() {
    let mut trickling = holder(1, Phase::Body, 4 * MIB, Duration::from_millis(10));
    (trickling.age, trickling.arrived) = (Duration::from_secs(4), 4000);
    assert_eq!(close_for_memory(vec![trickling], Need::Large, MIB), [1]);
    trickling.arrived = 4 * MIB - 1;
    assert!(close_for_memory(vec![trickling], Need::Large, MIB).is_empty());
}

/// Guards against closing the newest connections, whose callers are about to send, before those that stay idle.
#[test]
fn connections_that_never_had_a_request_are_closed_first() {
    let holders = vec![
        holder(1, Phase::Idle, 0, Duration::from_secs(10)),
        Holder {
            used: false,
            ..holder(2, Phase::Idle, 0, Duration::from_secs(2))
        },
        Holder {
            used: false,
            ..holder(3, Phase::Idle, 0, Duration::ZERO)
        },
    ];
    assert_eq!(close_for_connection(holders), [2]);
    let many = (0..640).map(|key| holder(key, Phase::Idle, 0, Duration::from_millis(key as u64)));
    assert_eq!(close_for_connection(many.collect()).len(), 10);
}

proptest! {
    /// Guards against more being held than the limit, however requests come and go.
    #[test]
    fn no_sequence_exceeds_the_limit(sizes in prop::collection::vec((0..9 * MIB, 0..4_usize), 0..200)) {
        let mut held = 0;
        for (size, need) in sizes {
            if VM.admits(held, NEEDS[need], size) {
                held += size;
            } else {
                held = held.saturating_sub(size);
            }
            prop_assert!(held <= VM.limit(Need::Small));
        }
    }

    /// Guards against connections that are closed though they hold nothing in vain, and against closing more than needed.
    #[test]
    fn only_as_many_as_needed_give_way(
        holders in prop::collection::vec(any_holder(), 0..40),
        need in 0..4_usize,
        bytes in 0..20 * MIB,
    ) {
        let closed = close_for_memory(holders.clone(), NEEDS[need], bytes);
        let of = |key: usize| holders.iter().find(|holder| holder.key == key).expect("known");
        let freed = |keys: &[usize]| keys.iter().map(|key| of(*key).bytes).sum::<usize>();
        for key in &closed {
            let holder = of(*key);
            prop_assert!(holder.phase != Phase::Working && holder.phase != Phase::Closing);
            prop_assert!(holder.phase != Phase::Answer || holder.quiet >= UNREAD_AFTER);
        }
        if let Some((_, all_but_last)) = closed.split_last() {
            prop_assert!(freed(all_but_last) < bytes);
        }
    }

    /// Guards against times to come back that are endless or nothing.
    #[test]
    fn the_time_to_come_back_is_bounded(holders in prop::collection::vec(any_holder(), 0..40)) {
        let after = retry_after(&holders);
        prop_assert!((Duration::from_millis(200)..=Duration::from_secs(5)).contains(&after));
    }
}
