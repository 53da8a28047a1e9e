//! Tokens granted without a record, in random orders of restarts, outages, takeovers, cuts and losses of VMs.

use proptest::prelude::*;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::policy::allowance::{Ledger, Request, Reservation, Snapshot, Verdict};
use vanillatrail::policy::unrecorded::{Unrecorded, known_for, min_replicas};

const PROGRAM: &str = "p";
const TURN: Request = Request {
    budget: 2320,
    most: 290,
    seen: 0,
};
const VMS: usize = 3;
const HEARTBEAT_MS: u64 = 1000;

#[derive(Debug, Clone, Copy)]
enum Step {
    /// Turns at the owner, or at the VM that takes over.
    Turns(u64),
    Wait(u64),
    /// The store falls silent, or answers again.
    Outage(bool),
    /// A VM is stopped as planned and started again.
    Restart(usize),
    /// A VM is lost and started again.
    Loss(usize),
    /// All VMs are lost, and started again after this time.
    LossOfAll(u64),
    /// A VM is cut off from the store and the others.
    Cut(usize),
    Heal,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1..6_u64).prop_map(Step::Turns),
        4 => (10..2000_u64).prop_map(Step::Wait),
        3 => any::<bool>().prop_map(Step::Outage),
        2 => (0..VMS).prop_map(Step::Restart),
        2 => (0..VMS).prop_map(Step::Loss),
        1 => (0..3000_u64).prop_map(Step::LossOfAll),
        1 => (0..VMS).prop_map(Step::Cut),
        1 => Just(Step::Heal),
    ]
}

#[derive(Debug, Default)]
struct Owner {
    vm: usize,
    ledger: Ledger,
    heartbeat_sent: u64,
    /// Since when the store does not answer it.
    unanswered_since: Option<u64>,
    /// An allowance that is still to be recorded.
    pending: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Vm {
    started: u64,
    /// When the store last answered it since its start, or zero.
    contact: u64,
    /// The allowance that it keeps and the store may lack.
    replica: u64,
}

/// What is at the store.
#[derive(Debug, Default)]
struct Records {
    allowed: u64,
    heartbeat: u64,
    lost: Unrecorded,
}

#[derive(Debug)]
struct World {
    base: Instant,
    now_ms: u64,
    is_silent: bool,
    cut: Option<usize>,
    store: Records,
    vms: [Vm; VMS],
    owner: Option<Owner>,
    /// An owner that was cut off, and does not know yet that another VM has taken over.
    former: Option<Owner>,
    granted: u64,
    reservations: u64,
}

impl World {
    fn new() -> Self {
        Self {
            base: Instant::now(),
            now_ms: 10_000,
            is_silent: false,
            cut: None,
            store: Records::default(),
            vms: [Vm::default(); VMS],
            owner: Some(Owner {
                heartbeat_sent: 10_000,
                ..Owner::default()
            }),
            former: None,
            granted: 0,
            reservations: 0,
        }
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    /// Later than all steps.
    fn doubt_end(&self) -> Instant {
        self.now() + Duration::from_hours(1)
    }

    fn reaches_store(&self, vm: usize) -> bool {
        !self.is_silent && self.cut != Some(vm)
    }

    /// VMs that another one reaches, without itself.
    fn others(&self, vm: usize) -> Vec<usize> {
        let reachable = |other: &usize| *other != vm && self.cut != Some(*other);
        if self.cut == Some(vm) {
            return Vec::new();
        }
        (0..VMS).filter(reachable).collect()
    }

    /// Notes which VMs the store answers. An owner that it answers learns whether another VM has taken over.
    fn note_contacts(&mut self) {
        for vm in (0..VMS)
            .filter(|vm| self.reaches_store(*vm))
            .collect::<Vec<_>>()
        {
            self.vms[vm].contact = self.now_ms;
        }
        let is_answered = |owner: &Owner| self.vms[owner.vm].contact == self.now_ms;
        if self.former.as_ref().is_some_and(is_answered) {
            self.former = None;
        }
        if let Some(owner) = &mut self.owner {
            if self.vms[owner.vm].contact == self.now_ms {
                owner.unanswered_since = None;
            } else {
                owner.unanswered_since.get_or_insert(self.now_ms);
            }
        }
    }

    /// The owner writes what is pending, and a heartbeat.
    fn write(&mut self) {
        let Some(mut owner) = self.owner.take() else {
            return;
        };
        if self.reaches_store(owner.vm) {
            owner.heartbeat_sent = self.now_ms;
            self.store.heartbeat = self.now_ms;
            self.store.lost = self.store.lost.max(owner.ledger.lost(self.now()));
            if owner.pending > 0 {
                self.store.allowed = self.store.allowed.max(owner.pending);
                owner.ledger.mark_recorded(PROGRAM, owner.pending);
                owner.pending = 0;
            }
        }
        self.owner = Some(owner);
    }

    fn wait(&mut self, time_ms: u64) {
        let end = self.now_ms + time_ms;
        while self.now_ms < end {
            self.now_ms = end.min(self.now_ms + HEARTBEAT_MS);
            self.note_contacts();
            self.write();
        }
    }

    /// The accounts of a new owner that has read the records; `lost` are grants that it can't know of.
    fn read(&self, vm: usize, lost: Unrecorded) -> Ledger {
        let mut ledger = Ledger::default();
        ledger.restore(self.now(), PROGRAM, self.store.allowed);
        for keeper in self.others(vm).into_iter().chain([vm]) {
            ledger.restore_unrecorded(self.now(), PROGRAM, self.vms[keeper].replica);
        }
        ledger.mark_incomplete(lost.max(self.store.lost), self.doubt_end());
        ledger
    }

    /// A VM that reaches the store takes over.
    fn take_over(&mut self) {
        let Some(vm) = (0..VMS).find(|vm| self.reaches_store(*vm)) else {
            return;
        };
        let heard = self.others(vm).into_iter().chain([vm]);
        let uptimes = heard.map(|vm| Duration::from_millis(self.now_ms - self.vms[vm].started));
        let age = Duration::from_millis(self.now_ms - self.store.heartbeat);
        let lost = Unrecorded::lost(age, known_for(uptimes.collect(), VMS));
        let ledger = self.read(vm, lost);
        self.become_owner(vm, ledger, 0);
    }

    fn become_owner(&mut self, vm: usize, ledger: Ledger, pending: u64) {
        self.store.lost = self.store.lost.max(ledger.lost(self.now()));
        let replicas = self.others(vm).into_iter().chain([vm]);
        let unrecorded = replicas.map(|vm| self.vms[vm].replica).max();
        self.owner = Some(Owner {
            vm,
            ledger,
            heartbeat_sent: self.now_ms,
            unanswered_since: None,
            pending: pending.max(unrecorded.unwrap_or(0)),
        });
        self.write();
    }

    /// Hands over to another VM, if one is reached.
    fn hand_over(&mut self) {
        let Some(owner) = self.owner.take() else {
            return;
        };
        let Some(next) = self.others(owner.vm).first().copied() else {
            return;
        };
        let entries: Vec<Snapshot> = owner.ledger.export();
        let fenced = self.reaches_store(next);
        let mut ledger = if fenced {
            self.read(next, Unrecorded::None)
        } else {
            let mut ledger = Ledger::default();
            ledger.mark_incomplete(Unrecorded::Quarter, self.doubt_end());
            ledger
        };
        ledger.inherit_lost(&owner.ledger);
        for entry in entries {
            ledger.import(self.now(), entry, owner.pending);
        }
        if fenced {
            return self.become_owner(next, ledger, owner.pending);
        }
        self.owner = Some(Owner {
            vm: next,
            ledger,
            heartbeat_sent: self.now_ms,
            unanswered_since: owner.unanswered_since,
            pending: owner.pending,
        });
    }

    fn start_again(&mut self, vm: usize) {
        self.vms[vm] = Vm {
            started: self.now_ms,
            ..Vm::default()
        };
    }

    fn turn(&mut self) {
        let is_cut = self
            .owner
            .as_ref()
            .is_some_and(|owner| self.cut == Some(owner.vm));
        if is_cut && (0..VMS).any(|vm| self.reaches_store(vm)) {
            self.former = self.owner.take();
        }
        if self.owner.is_none() {
            self.take_over();
        }
        if let Some(mut former) = self.former.take() {
            self.grant(&mut former, false);
            self.former = Some(former);
        }
        if let Some(mut owner) = self.owner.take() {
            let may_record = self.reaches_store(owner.vm);
            self.grant(&mut owner, may_record);
            self.owner = Some(owner);
        }
    }

    /// Grants a turn that uses all of its tokens, if it may run.
    fn grant(&mut self, owner: &mut Owner, may_record: bool) {
        self.reservations += 1;
        let reservation = Reservation {
            vm: 1,
            number: self.reservations,
        };
        let now = self.now();
        let is_granted = match owner.ledger.reserve(now, PROGRAM, reservation, TURN) {
            Verdict::Spent => return,
            Verdict::Covered => true,
            Verdict::Record(allowed) if may_record => {
                self.store.allowed = self.store.allowed.max(allowed);
                owner.ledger.mark_recorded(PROGRAM, allowed);
                true
            }
            Verdict::Record(allowed) => self.replicate(owner, allowed),
        };
        owner
            .ledger
            .settle(now, reservation, if is_granted { TURN.most } else { 0 });
        self.granted += if is_granted { TURN.most } else { 0 };
    }

    fn replicate(&mut self, owner: &mut Owner, allowed: u64) -> bool {
        owner.pending = owner.pending.max(allowed);
        let age = Duration::from_millis(self.now_ms - owner.heartbeat_sent);
        let limit = Unrecorded::grantable(age);
        let others = self.others(owner.vm);
        let witnesses = others.iter().filter(|vm| self.vms[**vm].contact > 0);
        if !owner.ledger.allows_unrecorded(PROGRAM, TURN, limit)
            || witnesses.count() < min_replicas(VMS)
            || others
                .iter()
                .any(|vm| Some(self.vms[*vm].contact) >= owner.unanswered_since)
        {
            return false;
        }
        for vm in others {
            self.vms[vm].replica = self.vms[vm].replica.max(allowed);
        }
        true
    }

    fn play(&mut self, step: Step) {
        self.now_ms += 1;
        self.note_contacts();
        match step {
            Step::Turns(count) => (0..count).for_each(|_| self.turn()),
            Step::Wait(time_ms) => self.wait(time_ms),
            Step::Outage(is_silent) => self.is_silent = is_silent,
            Step::Cut(vm) => self.cut = Some(vm),
            Step::Heal => self.cut = None,
            Step::Restart(vm) => {
                if self.owner.as_ref().is_some_and(|owner| owner.vm == vm) {
                    self.hand_over();
                }
                self.forget(vm);
            }
            Step::Loss(vm) => self.forget(vm),
            Step::LossOfAll(time_ms) => {
                (self.owner, self.former) = (None, None);
                self.now_ms += time_ms;
                (0..VMS).for_each(|vm| self.start_again(vm));
            }
        }
    }

    /// A VM loses what it knows.
    fn forget(&mut self, vm: usize) {
        let is_at = |owner: &Owner| owner.vm == vm;
        if self.owner.as_ref().is_some_and(is_at) {
            self.owner = None;
        }
        if self.former.as_ref().is_some_and(is_at) {
            self.former = None;
        }
        self.start_again(vm);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// Guards against tokens that owners of one outage, or those after a loss of VMs, grant beyond what the budget leaves.
    #[test]
    fn no_order_of_owners_exceeds_the_budget(steps in prop::collection::vec(any_step(), 1..60)) {
        let mut world = World::new();
        for step in steps {
            world.play(step);
            prop_assert!(world.granted <= TURN.budget + TURN.most, "{} tokens", world.granted);
        }
    }
}

/// Guards against half of a budget that is granted before its owner's last record is old enough to show it to the next one.
#[test]
fn what_is_granted_at_an_age_counts_as_lost_from_that_age_on() {
    for age_ms in 0..6000 {
        let age = Duration::from_millis(age_ms);
        assert!(Unrecorded::grantable(age) <= Unrecorded::lost(age, None));
    }
}
