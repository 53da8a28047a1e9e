//! Counts the tokens of programs: one VM for each partition, found by the members' names.
//!
//! Which VM counts a partition is computed and may be disputed for a while. Nothing rests on it: a
//! VM that takes over raises the epoch of the partition's writer at the store, and from then on the
//! store refuses the records of the one before.

use crate::clock;
use crate::gateway::peers::Copy;
use crate::gateway::tokens::part::{Hold, Part};
use crate::gateway::{Gateway, peers};
use crate::id::{Epoch, Shard};
use crate::platform::records::ALLOWANCE_TOPIC;
use crate::platform::store::{Error, Record, Store, Writer};
use crate::policy::allowance::{Reservation, Snapshot};
use crate::policy::share::Origin;
use crate::telemetry::event;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use xxhash_rust::xxh3::xxh3_64;

/// How long a turn waits for the store before its allowance is kept by other VMs instead. A record
/// takes about 8 ms on a good day; a store that is slow or away must not hold up every program.
pub(crate) const PATIENCE: Duration = Duration::from_millis(250);
/// Keys that begin so are not of programs.
pub(crate) const OURS: char = '@';
/// The key of the record that tells when the VM that counts a partition last could record: the time
/// of day in milliseconds.
pub(crate) const ALIVE_KEY: &str = "@alive";
/// Time between two records of [`ALIVE_KEY`].
const ALIVE: Duration = Duration::from_secs(1);
/// How long a copy is kept.
const KEPT: Duration = Duration::from_mins(2);
/// The pause between two tries of a record, at first and at most: every VM that counts tries for each
/// of its partitions, and a store that is away should not be met by all of that at once.
const AGAIN: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(400));
/// Failures in a row after which this VM says that it has lost the store.
const LOST: u32 = 2;
/// After this long without a failure the store is tried again.
const TRY_AGAIN: Duration = Duration::from_secs(1);
/// How long a program may pause where its route does not say.
pub(crate) const IDLE: Duration = Duration::from_mins(1);
/// Added to the pause of a program before its record is dropped.
const IDLE_MARGIN: Duration = Duration::from_secs(30);

/// The partitions that this VM counts, and what it has seen of programs.
#[derive(Debug)]
pub(crate) struct Keeper {
    /// Where other VMs ask this one.
    pub(crate) address: SocketAddr,
    /// The number of this VM.
    pub(crate) vm: u64,
    pub(crate) store: Store,
    pub(crate) count: u64,
    parts: RefCell<HashMap<u64, Rc<Part>>>,
    pub(crate) seen: RefCell<HashMap<String, u64>>,
    /// Allowances that were given and can't be recorded, since this VM was shut out.
    pub(crate) orphans: RefCell<Vec<Copy>>,
    /// The VM that last granted a reservation of a partition.
    pub(crate) counted_at: RefCell<HashMap<u64, SocketAddr>>,
    failures: Cell<u32>,
    failed: Cell<Option<Instant>>,
    pub(crate) began: Instant,
}

/// Leave for one turn to generate tokens; ends with [`Gateway::settle`].
#[derive(Debug, Clone)]
pub(crate) struct Allowance {
    pub(crate) owner: Option<SocketAddr>,
    pub(crate) part: u64,
    pub(crate) reservation: u64,
    /// Turns of the program so far, this one included.
    pub(crate) turns: u32,
}

impl Keeper {
    pub(crate) fn new(address: SocketAddr, store: SocketAddr, count: u64) -> Self {
        Self {
            address,
            vm: peers::vm_number(address),
            store: Store::new(store),
            count,
            parts: RefCell::default(),
            seen: RefCell::default(),
            counted_at: RefCell::default(),
            orphans: RefCell::default(),
            failures: Cell::new(0),
            failed: Cell::new(None),
            began: Instant::now(),
        }
    }

    pub(crate) fn part(&self, number: u64) -> Rc<Part> {
        Rc::clone(self.parts.borrow_mut().entry(number).or_default())
    }

    pub(crate) fn part_of(&self, program: &str) -> u64 {
        xxh3_64(program.as_bytes()) % self.count
    }

    /// For how long this VM has run, in milliseconds.
    pub(crate) fn up_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Records that this VM can record.
    pub(crate) fn tell_alive(self: &Rc<Self>) {
        for (number, part) in self.held() {
            part.lack(ALIVE_KEY, clock::wall_ms());
            Rc::clone(self).start_writing(number, part);
        }
    }

    /// Whether the store takes records from this VM.
    pub(crate) fn has_store(&self) -> bool {
        let lately = self
            .failed
            .get()
            .is_some_and(|failed| failed.elapsed() < TRY_AGAIN);
        self.failures.get() < LOST || !lately
    }

    /// Whether no partition takes records from this VM. Once that is known, callers are not made to
    /// find it out again: the records of the partitions that it counts are tried all the time, and
    /// tell when the store is back.
    pub(crate) fn is_away(&self) -> bool {
        self.failures.get() >= LOST && (!self.has_store() || !self.held().is_empty())
    }

    pub(crate) fn heard(&self, good: bool) {
        let before = self.has_store();
        self.failures
            .set(if good { 0 } else { self.failures.get() + 1 });
        self.failed.set((!good).then(Instant::now));
        match (before, self.has_store()) {
            (true, false) => event!(warn, "store_lost", for_what = "allowances"),
            (false, true) => event!(info, "store_back", for_what = "allowances"),
            _ => {}
        }
    }

    pub(crate) fn settle(&self, part: u64, reservation: Reservation, used: u64) {
        let part = self.part(part);
        part.ledger
            .borrow_mut()
            .settle(Instant::now(), reservation, used);
    }

    pub(crate) fn start_writing(self: Rc<Self>, number: u64, part: Rc<Part>) {
        if !part.writing.replace(true) {
            tokio::task::spawn_local(self.write(number, part));
        }
    }

    /// Writes what is pending until nothing is left; one append at a time, so that allowances that
    /// come meanwhile share the next one.
    async fn write(self: Rc<Self>, number: u64, part: Rc<Part>) {
        loop {
            let batch: Vec<(String, u64)> = part
                .pending
                .borrow()
                .iter()
                .map(|(program, allowed)| (program.clone(), *allowed))
                .collect();
            let Some(hold) = part.hold.get().filter(|_| !batch.is_empty()) else {
                part.writing.set(false);
                return;
            };
            if !hold.fenced {
                if self.take(number, &part, None, hold.origin).await.is_err() {
                    sleep(AGAIN.0).await;
                }
                continue;
            }
            let records: Vec<Record> = batch
                .iter()
                .map(|(key, allowed)| encode(key, *allowed))
                .collect();
            if !self.append(number, &part, hold, &records).await {
                continue;
            }
            part.take_recorded(batch);
            part.written.notify_waiters();
        }
    }

    /// Appends one batch. Gives false where it has to be looked at anew.
    async fn append(&self, number: u64, part: &Part, hold: Hold, records: &[Record]) -> bool {
        let writer = writer(hold.epoch, hold.sequence);
        let mut pause = AGAIN.0;
        loop {
            let began = (Instant::now(), clock::wall_ms());
            let done = self
                .store
                .append_hedged(ALLOWANCE_TOPIC, number, records, Some(&writer))
                .await;
            let next = |sequence| {
                // Handed over meanwhile, it is not this VM's any more.
                if part.hold.get() == Some(hold) {
                    part.hold.set(Some(Hold { sequence, ..hold }));
                }
            };
            match done {
                Ok(()) => {
                    self.heard(true);
                    part.confirmed.set(Some(began));
                    if part.failing.take().is_some() {
                        event!(info, "records_flow", part = number);
                    }
                    next(hold.sequence + 1);
                    return true;
                }
                Err(Error::Fenced) => {
                    self.shut_out(number, part, hold.epoch);
                    return false;
                }
                Err(Error::SequenceMismatch(expected)) => {
                    event!(
                        warn,
                        "sequence_corrected",
                        part = number,
                        sent = hold.sequence,
                        expected = expected
                    );
                    next(expected);
                    sleep(AGAIN.0).await;
                    return false;
                }
                // The same sequence number again: if it was done, the store says so.
                Err(fault) => {
                    if part.failing.get().is_none() {
                        part.failing.set(Some(Instant::now()));
                        event!(warn, "records_stuck", part = number, reason = fault);
                    }
                    sleep(pause).await;
                    pause = (pause * 2).min(AGAIN.1);
                }
            }
        }
    }

    /// Another VM counts the partition.
    pub(crate) fn shut_out(&self, number: u64, part: &Part, epoch: u64) {
        event!(warn, "allowances_lost", part = number, epoch = epoch);
        part.hold.set(None);
        part.shut_out.set(Some(Instant::now()));
        let lacking = part.pending.take().into_iter();
        let lacking = lacking.filter(|(key, _)| !key.starts_with(OURS));
        let copies = lacking.map(|(program, allowed)| Copy {
            part: number,
            program,
            allowed,
            epoch,
            fenced: true,
        });
        self.orphans.borrow_mut().extend(copies);
        part.written.notify_waiters();
    }

    /// Forgets programs that can't come back, here and at the store.
    pub(crate) async fn expire(self: &Rc<Self>, idle: Duration) {
        for part in self.parts.borrow().values() {
            let mut kept = part.kept.borrow_mut();
            kept.retain(|_, (_, told)| told.elapsed() < KEPT);
            part.lacking
                .borrow_mut()
                .retain(|program, _| kept.contains_key(program));
        }
        for (number, part) in self.held() {
            let expired = part
                .ledger
                .borrow_mut()
                .expire(Instant::now(), idle + IDLE_MARGIN);
            let fenced = part.hold.get().is_some_and(|hold| hold.fenced);
            if expired.is_empty() || !fenced || part.writing.replace(true) {
                continue;
            }
            let dropped = expired.into_iter().map(|key| Record { key, value: None });
            let records: Vec<Record> = dropped.collect();
            if let Some(hold) = part.hold.get() {
                self.append(number, &part, hold, &records).await;
            }
            self.end_detours(number, &part, &records).await;
            tokio::task::spawn_local(Rc::clone(self).write(number, part));
        }
    }

    /// Keeps the copy of an allowance.
    pub(crate) fn keep(&self, copy: Copy) {
        let part = self.part(copy.part);
        if part.hold.get().is_some() {
            // The VM that counted before has given more than was known here, and could not record
            // it. Unless this VM does, the program gets it again once all VMs are lost.
            let mut ledger = part.ledger.borrow_mut();
            if ledger.allowed(&copy.program) < copy.allowed {
                part.lack(&copy.program, copy.allowed);
            }
            ledger.restore(Instant::now(), &copy.program, copy.allowed);
            return;
        }
        let mut kept = part.kept.borrow_mut();
        let known = kept.entry(copy.program).or_insert((0, Instant::now()));
        *known = (copy.allowed.max(known.0), Instant::now());
    }

    /// Goes on with a partition that another VM hands over.
    pub(crate) fn adopt(
        &self,
        number: u64,
        epoch: u64,
        entries: Vec<(Snapshot, u64)>,
        fenced: bool,
    ) {
        let part = self.part(number);
        let now = Instant::now();
        for (entry, lacking) in entries {
            if lacking > 0 {
                part.lack(&entry.program, lacking);
            }
            part.ledger.borrow_mut().import(now, entry);
        }
        let programs = part.ledger.borrow().len();
        event!(
            info,
            "allowances_adopted",
            part = number,
            epoch = epoch,
            programs = programs,
            fenced = fenced
        );
        if !fenced {
            part.hold.set(Some(Hold {
                epoch: epoch + 1,
                sequence: 0,
                fenced: false,
                origin: Origin::HandedOver,
            }));
            part.successor.set(None);
        }
    }

    /// What this VM tells the others of the partitions that it counts. Not those that it counts from copies
    /// alone: whoever has taken one at the store must not give it up for that.
    pub(crate) fn claims(&self) -> Vec<(Shard, Epoch)> {
        let parts = self.parts.borrow();
        let held = parts.iter().filter_map(|(number, part)| {
            let hold = part.hold.get().filter(|hold| hold.fenced)?;
            Some((Shard(*number), Epoch(hold.epoch)))
        });
        let mut claims: Vec<_> = held.collect();
        claims.sort_unstable();
        claims
    }

    /// The partitions that this VM counts.
    pub(crate) fn held(&self) -> Vec<(u64, Rc<Part>)> {
        let parts = self.parts.borrow();
        let held = parts.iter().filter(|(_, part)| part.hold.get().is_some());
        held.map(|(number, part)| (*number, Rc::clone(part)))
            .collect()
    }

    /// How many partitions this VM counts, and of how many programs.
    pub(crate) fn size(&self) -> (usize, usize) {
        let parts = self.parts.borrow();
        let held = parts.values().filter(|part| part.hold.get().is_some());
        held.fold((0, 0), |(parts, programs), part| {
            (parts + 1, programs + part.ledger.borrow().len())
        })
    }
}

pub(crate) fn writer(epoch: u64, sequence: u64) -> Writer {
    Writer {
        name: "allowance".to_owned(),
        epoch,
        sequence,
        expected_end: None,
    }
}

pub(crate) fn encode(program: &str, allowed: u64) -> Record {
    Record {
        key: program.to_owned(),
        value: Some(Bytes::from(allowed.to_string())),
    }
}

pub(crate) fn decode(value: &Bytes) -> Option<u64> {
    std::str::from_utf8(value).ok()?.parse().ok()
}

/// Drops the records of programs that can't come back.
pub(crate) async fn keep_house(gateway: Rc<Gateway>) {
    let mut expired = Instant::now();
    loop {
        sleep(ALIVE).await;
        gateway.keeper.tell_alive();
        if expired.elapsed() >= IDLE_MARGIN / 3 {
            expired = Instant::now();
            gateway.keeper.expire(IDLE).await;
        }
    }
}
