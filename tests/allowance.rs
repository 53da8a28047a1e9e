//! Token budget of a program across crashes and handovers of its owner.

use proptest::prelude::*;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::policy::allowance::{Ledger, Request, Reservation, Snapshot, Verdict};
use vanillatrail::policy::unrecorded::Unrecorded;

const BUDGET_TOKENS: u64 = 870;
const MAX_TURN_TOKENS: u64 = 290;

fn reservation(number: u64) -> Reservation {
    Reservation { vm: 1, number }
}

fn turn(seen: u64) -> Request {
    Request {
        budget: BUDGET_TOKENS,
        most: MAX_TURN_TOKENS,
        seen,
    }
}

/// A new owner knows only the recorded allowance, so all of it counts as spent.
#[test]
fn the_recorded_allowance_counts_as_spent_after_a_crash() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    assert_eq!(
        ledger.reserve(now, "p", reservation(1), turn(0)),
        Verdict::Record(580)
    );
    ledger.mark_recorded("p", 580);
    ledger.settle(now, reservation(1), 70);
    let mut new_owner = Ledger::default();
    new_owner.restore(now, "p", 580);
    assert_eq!(new_owner.usage("p"), (0, 580));
    assert_eq!(
        new_owner.reserve(now, "p", reservation(2), turn(0)),
        Verdict::Record(1160)
    );
}

/// Guards against a program that has used little and is refused for good after a loss of all VMs, since all of its budget was
/// recorded ahead at a slow store, or counts as lost beyond the record.
#[test]
fn a_program_that_has_used_little_goes_on_after_a_loss_of_all_vms() {
    const MOST: u64 = 286;
    let now = Instant::now();
    for budget in [2 * MOST, 3 * MOST, 900, 1_300, 2_200, 21_500] {
        let turn = Request {
            budget,
            most: MOST,
            seen: 0,
        };
        let mut ledger = Ledger::default();
        let mut recorded = 0;
        if let Verdict::Record(allowed) = ledger.reserve(now, "p", reservation(1), turn) {
            ledger.mark_recorded("p", allowed);
            recorded = allowed;
        }
        if let Some(allowed) = ledger.allowance_ahead("p", turn) {
            ledger.mark_recorded("p", allowed);
            recorded = allowed;
        }
        ledger.settle(now, reservation(1), 39);
        let mut new_owner = Ledger::default();
        new_owner.mark_incomplete(Unrecorded::Quarter, now + Duration::from_mins(1));
        new_owner.restore(now, "p", recorded);
        let verdict = new_owner.reserve(now, "p", reservation(2), turn);
        assert_ne!(verdict, Verdict::Spent, "{recorded} of {budget} recorded");
    }
}

/// A running turn is counted with its maximum, and with its actual usage once it has ended.
#[test]
fn running_turns_count_with_their_maximum_until_they_end() {
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

/// Repeated reservations and settlements are idempotent.
#[test]
fn a_repeated_reservation_is_counted_once() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    ledger.reserve(now, "p", reservation(1), turn(0));
    ledger.reserve(now, "p", reservation(1), turn(0));
    assert_eq!(ledger.usage("p"), (1, MAX_TURN_TOKENS));
    ledger.settle(now, reservation(1), 10);
    ledger.settle(now, reservation(1), 10);
    assert_eq!(ledger.usage("p"), (1, 10));
}

/// The usage that a VM has seen includes maxima of running turns. It must not raise the usage of a program that
/// the ledger knows.
#[test]
fn usage_seen_by_a_vm_is_not_charged_again() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    ledger.reserve(now, "p", reservation(1), turn(0));
    ledger.mark_recorded("p", 580);
    ledger.settle(now, reservation(1), 70);
    ledger.reserve(now, "p", reservation(2), turn(290));
    assert_eq!(ledger.usage("p"), (2, 70 + MAX_TURN_TOKENS));
}

/// A handover passes actual usage on, and the new owner settles turns that started before.
#[test]
fn a_handover_preserves_actual_usage() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    ledger.reserve(now, "p", reservation(1), turn(0));
    ledger.mark_recorded("p", 580);
    let mut new_owner = Ledger::default();
    new_owner.restore(now, "p", 580);
    for entry in ledger.export() {
        new_owner.import(now, entry, 0);
    }
    new_owner.settle(now, reservation(1), 70);
    assert_eq!(new_owner.usage("p"), (1, 70));
}

/// A handover from a fenced-off owner must not undo what another owner has recorded since.
#[test]
fn a_stale_handover_does_not_reduce_the_recorded_allowance() {
    let now = Instant::now();
    let mut new_owner = Ledger::default();
    new_owner.restore(now, "p", 1160);
    new_owner.import(
        now,
        Snapshot {
            program: "p".to_owned(),
            allowed: 580,
            spent: 70,
            turns: 1,
            open: Vec::new(),
        },
        0,
    );
    assert_eq!(new_owner.usage("p").1, 70 + 580);
}

/// A former owner that adopts the partition again without reading the store must not count from its
/// own accounts, which lack what the owners in between have granted.
#[test]
fn a_former_owner_counts_from_the_handover() {
    let now = Instant::now();
    let mut former = Ledger::default();
    former.reserve(now, "p", reservation(1), turn(0));
    former.mark_recorded("p", 580);
    former.settle(now, reservation(1), 70);
    former.forget_accounts();
    let mut owner = Ledger::default();
    owner.restore(now, "p", 580);
    owner.reserve(now, "p", reservation(2), turn(0));
    owner.mark_recorded("p", 1160);
    owner.settle(now, reservation(2), 200);
    for entry in owner.export() {
        former.import(now, entry, 0);
    }
    assert_eq!(former.usage("p"), owner.usage("p"));
}

/// Losing a partition must not lose the note that unrecorded grants may be missing.
#[test]
fn a_former_owner_still_knows_that_grants_may_be_lost() {
    let now = Instant::now();
    let mut former = Ledger::default();
    former.mark_incomplete(Unrecorded::Half, now + Duration::from_mins(1));
    former.forget_accounts();
    assert_eq!(former.lost(now), Unrecorded::Half);
}

/// Programs idle for longer than the timeout are removed.
#[test]
fn idle_programs_expire() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    ledger.restore(now, "old", 10);
    ledger.restore(now + Duration::from_secs(50), "new", 10);
    let expired = ledger.expire(now + Duration::from_mins(1), Duration::from_mins(1));
    assert_eq!(expired, vec!["old".to_owned()]);
    assert_eq!(ledger.len(), 1);
}

/// Unrecorded grants during an outage are bounded, and the bound counts as spent if all VMs are lost.
#[test]
fn unrecorded_grants_count_as_spent_after_data_loss() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    ledger.reserve(now, "p", reservation(1), turn(0));
    assert!(ledger.allows_unrecorded("p", turn(0), Unrecorded::Half));
    ledger.reserve(now, "p", reservation(2), turn(0));
    assert!(!ledger.allows_unrecorded("p", turn(0), Unrecorded::Half));
    let mut new_owner = Ledger::default();
    new_owner.mark_incomplete(Unrecorded::Half, now + Duration::from_mins(1));
    new_owner.reserve(now, "p", reservation(3), turn(0));
    assert_eq!(
        new_owner.usage("p"),
        (1, BUDGET_TOKENS / 2 + MAX_TURN_TOKENS)
    );
}

#[derive(Debug, Clone)]
enum Step {
    /// A turn starts if the budget allows, and uses some of its maximum.
    Turn { used: u64, ends: bool },
    /// The owner is killed, and a new one reads the records.
    OwnerCrash,
    /// The owner shuts down gracefully and hands over.
    Handover,
    /// The owner is fenced off: another VM reads the records, and the owner keeps running.
    Fenced,
    /// The owner shuts down gracefully and hands over to the VM that was fenced off last, which can't
    /// reach the store.
    HandoverToFormerOwner,
    /// The response to an append is lost: the record is durable, but the turn does not run.
    LostResponse,
    /// The store becomes unavailable; grants are only replicated to other VMs.
    StoreLost,
    /// The store is available again.
    StoreBack,
    /// All VMs are killed, and unrecorded grants are lost.
    AllVmsLost,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..=MAX_TURN_TOKENS, any::<bool>()).prop_map(|(used, ends)| Step::Turn { used, ends }),
        1 => Just(Step::OwnerCrash),
        1 => Just(Step::Handover),
        1 => Just(Step::Fenced),
        1 => Just(Step::HandoverToFormerOwner),
        1 => Just(Step::LostResponse),
        1 => Just(Step::StoreLost),
        1 => Just(Step::StoreBack),
        1 => Just(Step::AllVmsLost),
    ]
}

proptest! {
    /// In any order of events, a program gets at most its budget and one turn.
    #[test]
    fn no_schedule_exceeds_the_budget_by_more_than_a_turn(steps in prop::collection::vec(any_step(), 1..200)) {
        let now = Instant::now();
        let mut durable: HashMap<&str, u64> = HashMap::new();
        let mut ledger = Ledger::default();
        let mut former: Option<Ledger> = None;
        let mut used_tokens = 0;
        let mut outage = false;
        for (number, step) in steps.into_iter().enumerate() {
            let reservation = reservation(number as u64);
            match step {
                Step::Turn { used, ends } => {
                    match ledger.reserve(now, "p", reservation, turn(0)) {
                        Verdict::Spent => continue,
                        Verdict::Covered => {}
                        Verdict::Record(_) if outage => {
                            if !ledger.allows_unrecorded("p", turn(0), Unrecorded::Half) {
                                ledger.settle(now, reservation, 0);
                                continue;
                            }
                        }
                        Verdict::Record(allowed) => {
                            durable.insert("p", allowed);
                            ledger.mark_recorded("p", allowed);
                        }
                    }
                    used_tokens += used;
                    if ends {
                        ledger.settle(now, reservation, used);
                    }
                }
                Step::StoreLost => outage = true,
                Step::StoreBack => {
                    outage = false;
                    // Records the grants of the outage first.
                    let (_, total) = ledger.usage("p");
                    if total > ledger.allowed("p") {
                        durable.insert("p", total);
                        ledger.mark_recorded("p", total);
                    }
                }
                Step::AllVmsLost => {
                    let lost = std::mem::take(&mut ledger);
                    former = None;
                    ledger.restore(now, "p", durable.get("p").copied().unwrap_or(0));
                    if outage || lost.lost(now) != Unrecorded::None {
                        ledger.mark_incomplete(Unrecorded::Half, now + Duration::from_mins(1));
                    }
                    outage = false;
                }
                Step::OwnerCrash | Step::LostResponse | Step::Fenced if outage => {}
                Step::Fenced => {
                    let mut new_owner = Ledger::default();
                    new_owner.restore(now, "p", durable.get("p").copied().unwrap_or(0));
                    new_owner.inherit_lost(&ledger);
                    let mut fenced = std::mem::replace(&mut ledger, new_owner);
                    fenced.forget_accounts();
                    former = Some(fenced);
                }
                Step::HandoverToFormerOwner => {
                    let Some(mut adopter) = former.take() else { continue };
                    for entry in ledger.export() {
                        adopter.import(now, entry, 0);
                    }
                    adopter.inherit_lost(&ledger);
                    ledger = adopter;
                }
                Step::LostResponse => {
                    if let Verdict::Record(allowed) = ledger.reserve(now, "p", reservation, turn(0)) {
                        durable.insert("p", allowed);
                    }
                    ledger.settle(now, reservation, 0);
                }
                Step::OwnerCrash => {
                    let lost = std::mem::take(&mut ledger);
                    ledger.restore(now, "p", durable.get("p").copied().unwrap_or(0));
                    ledger.inherit_lost(&lost);
                }
                Step::Handover => {
                    let (entries, lost) = (ledger.export(), std::mem::take(&mut ledger));
                    ledger.inherit_lost(&lost);
                    ledger.restore(now, "p", durable.get("p").copied().unwrap_or(0));
                    for entry in entries {
                        ledger.import(now, entry, 0);
                    }
                }
            }
            prop_assert!(used_tokens <= BUDGET_TOKENS + MAX_TURN_TOKENS, "{used_tokens} tokens");
        }
    }
}
