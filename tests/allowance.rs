//! The token budget of a program, over crashes and hand-overs of the VM that counts it.

use proptest::prelude::*;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::policy::allowance::{Ledger, Request, Reservation, Snapshot, Verdict};

const BUDGET: u64 = 870;
const MOST: u64 = 290;

fn reservation(number: u64) -> Reservation {
    Reservation { vm: 1, number }
}

fn turn(seen: u64) -> Request {
    Request {
        budget: BUDGET,
        most: MOST,
        seen,
    }
}

/// A caller's program makes one turn after another, and the VM that counts crashes between them.
/// The next one reads only what was recorded; what it allows counts as spent, so that the program
/// never gets more than its budget and one turn.
#[test]
fn what_was_allowed_counts_as_spent_after_a_crash() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    assert_eq!(
        ledger.reserve(now, "p", reservation(1), turn(0)),
        Verdict::Record(580)
    );
    ledger.mark_recorded("p", 580);
    ledger.settle(now, reservation(1), 70);
    let mut next = Ledger::default();
    next.restore(now, "p", 580);
    assert_eq!(next.usage("p"), (0, 580));
    assert_eq!(
        next.reserve(now, "p", reservation(2), turn(0)),
        Verdict::Record(1160)
    );
}

/// Five sub-agents of a program ask at once, before any of them has ended. Each is counted at its
/// most until it ends, and then at what it used, so that none is refused for nothing.
#[test]
fn turns_under_way_count_at_their_most_until_they_end() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    for number in 0..3 {
        assert_ne!(
            ledger.reserve(now, "p", reservation(number), turn(0)),
            Verdict::Spent
        );
    }
    assert_eq!(
        ledger.reserve(now, "p", reservation(3), turn(0)),
        Verdict::Spent
    );
    ledger.settle(now, reservation(0), 40);
    assert_ne!(
        ledger.reserve(now, "p", reservation(4), turn(0)),
        Verdict::Spent
    );
}

/// The answer to a reservation is lost and the VM asks again. The turn is counted once.
#[test]
fn a_repeated_reservation_is_counted_once() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    ledger.reserve(now, "p", reservation(1), turn(0));
    ledger.reserve(now, "p", reservation(1), turn(0));
    assert_eq!(ledger.usage("p"), (1, MOST));
    ledger.settle(now, reservation(1), 10);
    ledger.settle(now, reservation(1), 10);
    assert_eq!(ledger.usage("p"), (1, 10));
}

/// A VM knows from its own answers that a turn under way was counted at its most. When it asks
/// again after that turn has ended with less, the program must not be charged for the rest.
#[test]
fn what_a_vm_has_seen_does_not_charge_a_known_program_again() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    ledger.reserve(now, "p", reservation(1), turn(0));
    ledger.mark_recorded("p", 580);
    ledger.settle(now, reservation(1), 70);
    ledger.reserve(now, "p", reservation(2), turn(290));
    assert_eq!(ledger.usage("p"), (2, 70 + MOST));
}

/// A planned stop hands the accounts over whole: the next VM knows what was really used, and the
/// end of a turn that began before is counted there.
#[test]
fn a_hand_over_keeps_what_was_used() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    ledger.reserve(now, "p", reservation(1), turn(0));
    ledger.mark_recorded("p", 580);
    let mut next = Ledger::default();
    next.restore(now, "p", 580);
    for entry in ledger.export() {
        next.import(now, entry);
    }
    next.settle(now, reservation(1), 70);
    assert_eq!(next.usage("p"), (1, 70));
}

/// A VM was shut out without knowing, and a third one has recorded more meanwhile. Its hand-over
/// must not take back what the third one may have given.
#[test]
fn a_stale_hand_over_counts_what_others_recorded() {
    let now = Instant::now();
    let mut next = Ledger::default();
    next.restore(now, "p", 1160);
    next.import(
        now,
        Snapshot {
            program: "p".to_owned(),
            allowed: 580,
            spent: 70,
            turns: 1,
            open: Vec::new(),
        },
    );
    assert_eq!(next.usage("p").1, 70 + 580);
}

/// A program that has not been seen for longer than it may pause is forgotten.
#[test]
fn idle_programs_are_forgotten() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    ledger.restore(now, "old", 10);
    ledger.restore(now + Duration::from_secs(50), "new", 10);
    let expired = ledger.expire(now + Duration::from_mins(1), Duration::from_mins(1));
    assert_eq!(expired, vec!["old".to_owned()]);
    assert_eq!(ledger.len(), 1);
}

/// The store is away, a program gets tokens without a record, and then all VMs lose power. Nobody
/// knows of them any more; so they were bounded, and the bound counts as spent afterwards, without
/// which the program would get 290 tokens more than its budget and a turn.
#[test]
fn what_was_given_without_a_record_counts_as_spent_after_a_loss() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    ledger.reserve(now, "p", reservation(1), turn(0));
    assert!(ledger.allows_unrecorded("p", turn(0)));
    ledger.reserve(now, "p", reservation(2), turn(0));
    assert!(!ledger.allows_unrecorded("p", turn(0)));
    let mut next = Ledger::default();
    next.mark_incomplete();
    next.reserve(now, "p", reservation(3), turn(0));
    assert_eq!(next.usage("p"), (1, BUDGET / 2 + MOST));
}

#[derive(Debug, Clone)]
enum Step {
    /// A turn asks, and if it may, hands out a part of its most.
    Turn { used: u64, ends: bool },
    /// The VM that counts dies; another one reads the records.
    Crash,
    /// It stops as planned and hands over.
    HandOver,
    /// The answer to the newest record is lost: it is durable, and the turn does not run.
    LostRecord,
    /// From now on nothing can be recorded; what is given is kept by other VMs.
    Outage,
    /// All is recorded again.
    Back,
    /// All VMs are lost, and with them what was not recorded.
    Loss,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..=MOST, any::<bool>()).prop_map(|(used, ends)| Step::Turn { used, ends }),
        1 => Just(Step::Crash),
        1 => Just(Step::HandOver),
        1 => Just(Step::LostRecord),
        1 => Just(Step::Outage),
        1 => Just(Step::Back),
        1 => Just(Step::Loss),
    ]
}

proptest! {
    /// Whatever happens in whatever order, a program is handed at most its budget and one turn.
    #[test]
    fn no_schedule_gives_more_than_the_budget_and_a_turn(steps in prop::collection::vec(step(), 1..200)) {
        let now = Instant::now();
        let mut durable: HashMap<&str, u64> = HashMap::new();
        let mut ledger = Ledger::default();
        let mut handed = 0;
        let mut away = false;
        for (number, step) in steps.into_iter().enumerate() {
            let reservation = reservation(number as u64);
            match step {
                Step::Turn { used, ends } => {
                    match ledger.reserve(now, "p", reservation, turn(0)) {
                        Verdict::Spent => continue,
                        Verdict::Covered => {}
                        Verdict::Record(_) if away => {
                            if !ledger.allows_unrecorded("p", turn(0)) {
                                ledger.settle(now, reservation, 0);
                                continue;
                            }
                        }
                        Verdict::Record(allowed) => {
                            durable.insert("p", allowed);
                            ledger.mark_recorded("p", allowed);
                        }
                    }
                    handed += used;
                    if ends {
                        ledger.settle(now, reservation, used);
                    }
                }
                Step::Outage => away = true,
                Step::Back => {
                    away = false;
                    // What was given meanwhile is recorded first.
                    let (_, total) = ledger.usage("p");
                    if total > ledger.allowed("p") {
                        durable.insert("p", total);
                        ledger.mark_recorded("p", total);
                    }
                }
                Step::Loss => {
                    let lost = std::mem::take(&mut ledger);
                    ledger.restore(now, "p", durable.get("p").copied().unwrap_or(0));
                    if away || lost.is_incomplete() {
                        ledger.mark_incomplete();
                    }
                    away = false;
                }
                Step::Crash | Step::LostRecord if away => {}
                Step::LostRecord => {
                    if let Verdict::Record(allowed) = ledger.reserve(now, "p", reservation, turn(0)) {
                        durable.insert("p", allowed);
                    }
                    ledger.settle(now, reservation, 0);
                }
                Step::Crash => {
                    let doubtful = ledger.is_incomplete();
                    ledger = Ledger::default();
                    ledger.restore(now, "p", durable.get("p").copied().unwrap_or(0));
                    if doubtful {
                        ledger.mark_incomplete();
                    }
                }
                Step::HandOver => {
                    let (entries, doubtful) = (ledger.export(), ledger.is_incomplete());
                    ledger = Ledger::default();
                    if doubtful {
                        ledger.mark_incomplete();
                    }
                    ledger.restore(now, "p", durable.get("p").copied().unwrap_or(0));
                    for entry in entries {
                        ledger.import(now, entry);
                    }
                }
            }
            prop_assert!(handed <= BUDGET + MOST, "{handed} tokens");
        }
    }
}
