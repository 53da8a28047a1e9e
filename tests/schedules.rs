//! Random schedules over ledger, table and effect, with a log in memory.
//!
//! Three VMs own one shard in turn and run the calls of two programs, while VMs are killed, paused and
//! resumed, replies are lost, records are delayed and repeated, and the log is down at times. The
//! invariants are checked after each step.

mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, FileFailurePersistence, RngSeed, TestError, TestRunner};
use std::cell::RefCell;
use world::{Counters, Step, World};

const SCHEDULES: u32 = 600;

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let vm = 0..3_usize;
    let program = 0..2_usize;
    let step = prop_oneof![
        16 => (vm.clone(), program.clone()).prop_map(|(vm, program)| Step::Receipt { vm, program }),
        6 => (vm.clone(), program.clone(), 1..60_u64)
            .prop_map(|(vm, program, tokens)| Step::Model { vm, program, tokens }),
        8 => (vm.clone(), any::<bool>(), any::<bool>())
            .prop_map(|(vm, lost, duplicated)| Step::Append { vm, lost: lost && duplicated, duplicated }),
        4 => vm.clone().prop_map(|vm| Step::Fetch { vm }),
        4 => vm.clone().prop_map(|vm| Step::ApplyPage { vm }),
        24 => vm.clone().prop_map(|vm| Step::Sync { vm }),
        4 => vm.clone().prop_map(|vm| Step::Settle { vm }),
        2 => vm.clone().prop_map(|vm| Step::Claim { vm }),
        5 => (vm.clone(), program).prop_map(|(vm, program)| Step::Withdraw { vm, program }),
        1 => vm.clone().prop_map(|vm| Step::Kill { vm }),
        1 => vm.clone().prop_map(|vm| Step::Pause { vm }),
        2 => vm.prop_map(|vm| Step::Resume { vm }),
        1 => (0..8_usize).prop_map(|index| Step::Copy { index }),
        12 => (0..3_usize).prop_map(|index| Step::Serve { index }),
        12 => (0..3_usize, prop::bool::weighted(0.2)).prop_map(|(index, lost)| Step::Reply { index, lost }),
        1 => prop::bool::weighted(0.8).prop_map(|up| Step::Log { up }),
        1 => (1..2500_u64).prop_map(|ms| Step::Time { ms }),
    ];
    prop::collection::vec(step, 100..260)
}

#[test]
fn invariants_hold_under_random_schedules() {
    let config = Config {
        cases: SCHEDULES,
        rng_seed: RngSeed::Fixed(20_260_712),
        failure_persistence: Some(Box::new(FileFailurePersistence::Direct(
            "tests/schedules.txt",
        ))),
        ..Config::default()
    };
    let total = RefCell::new(Counters::default());
    let mut runner = TestRunner::new(config);
    let outcome = runner.run(&steps(), |steps| {
        let mut world = World::new();
        for step in &steps {
            world.apply(step);
            world
                .check()
                .map_err(|violation| TestCaseError::fail(format!("{step:?}: {violation}")))?;
        }
        total.borrow_mut().add(&world.counters);
        Ok(())
    });
    let total = total.into_inner();
    println!("schedules={SCHEDULES} {total:?}");
    if let Err(TestError::Fail(reason, steps)) = outcome {
        panic!("{reason}\n{steps:#?}");
    }
    // Guards against schedules that exercise nothing.
    let Counters {
        effects,
        unknown,
        dropped,
        answered,
        takeovers,
        fenced,
        ..
    } = total;
    for count in [effects, unknown, dropped, answered, takeovers, fenced] {
        assert!(count > 100, "{total:?}");
    }
}
