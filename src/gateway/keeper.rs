//! Counts the tokens of programs: one VM for each partition, found by the members' names.
//!
//! Which VM counts a partition is computed and may be disputed for a while. Nothing rests on it: a
//! VM that takes over raises the epoch of the partition's writer at the store, and from then on the
//! store refuses the records of the one before.

use super::Gateway;
use super::peers::{self, Copy, Note, Peer, Question, Reply};
use crate::clock;
use crate::code::{Code, Failure};
use crate::id::{Epoch, Shard, rendezvous};
use crate::platform::records::{ALLOWANCE_TOPIC, DETOUR_TOPIC};
use crate::platform::store::{Fault, Keyed, Store, Writer};
use crate::policy::allowance::{Entry, Ledger, Reservation, Turn, Verdict};
use crate::telemetry::event;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Mutex, Notify};
use tokio::time::{Instant, sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

/// How long a turn waits for the store before its allowance is kept by other VMs instead. A record
/// takes about 8 ms on a good day; a store that is slow or away must not hold up every program.
const PATIENCE: Duration = Duration::from_millis(250);
/// Epochs in one millisecond of the clock: so many VMs can be told apart.
const EPOCHS: u64 = 1 << 12;
/// By how much an epoch is raised that is too low: ten seconds of the clock.
const EPOCH_STEP: u64 = 10_000 * EPOCHS;
/// How long a turn waits for a partition to be taken over, two calls to the store.
const TAKE: Duration = Duration::from_secs(1);
/// How long a VM must have run to trust that it was told of all programs that still go on.
const COPIES_COMPLETE: Duration = Duration::from_secs(5);
/// How long a copy is kept.
const KEPT: Duration = Duration::from_secs(120);
/// How long the VMs that may keep copies are waited for.
const GATHER: Duration = Duration::from_millis(70);
/// Copies in one datagram.
const COPIES_SENT: usize = 40;
/// Programs in one datagram of a partition that is handed over.
const ADOPTED: usize = 4;
/// How many other VMs keep what the store has not taken.
const COPIES: usize = 2;
/// The pause between two tries of a record.
const AGAIN: Duration = Duration::from_millis(100);
/// Failures in a row after which this VM says that it has lost the store.
const LOST: u32 = 2;
/// After this long without a failure the store is tried again.
const TRY_AGAIN: Duration = Duration::from_secs(1);
/// How often the VMs are asked in turn for one reservation.
const ROUNDS: usize = 2;
/// The pause between two rounds, in which the members hear who counts.
const SETTLE: Duration = Duration::from_millis(80);
/// How long a VM that was shut out does not take the same partition again. Until the members have
/// heard of the new counter, requests that are sent here would make the two shut each other out
/// again and again, and every time what was handed out counts as spent.
const SHUT_OUT: Duration = Duration::from_millis(600);
/// VMs that are asked for one reservation.
const ASKED: usize = 4;
/// When a caller may come back whose program nobody can count now.
const COME_BACK: Duration = Duration::from_millis(700);
/// How long a program may pause where its route does not say.
const IDLE: Duration = Duration::from_secs(60);
/// Added to the pause of a program before its record is dropped.
const IDLE_MARGIN: Duration = Duration::from_secs(30);
/// Programs whose spending is remembered at the VM through which they came.
const SEEN: usize = 50_000;

/// The writer's hold on a partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Hold {
    epoch: u64,
    sequence: u64,
    /// Whether the store has shut out the writer before. Until then nothing can be recorded.
    fenced: bool,
}

/// One partition.
#[derive(Debug, Default)]
struct Part {
    hold: Cell<Option<Hold>>,
    ledger: RefCell<Ledger>,
    /// Allowances that are not durable yet.
    pending: RefCell<HashMap<String, u64>>,
    /// Allowances that the VM that counts has told this one, in case it takes over.
    kept: RefCell<HashMap<String, (u64, Instant)>>,
    /// Those of them that the store may lack.
    lacking: RefCell<HashMap<String, u64>>,
    /// When another VM last shut this one out.
    shut_out: Cell<Option<Instant>>,
    /// Whether the store did not take the newest record.
    failing: Cell<bool>,
    /// Programs whose allowance was recorded in another partition.
    detours: RefCell<HashSet<(u64, String)>>,
    /// Whether it is being handed over to another VM.
    handing: Cell<bool>,
    /// What another VM is handing over.
    incoming: RefCell<Vec<(Entry, u64)>>,
    /// Where the partition was handed over to.
    successor: Cell<Option<SocketAddr>>,
    taking: Mutex<()>,
    writing: Cell<bool>,
    written: Notify,
}

/// The partitions that this VM counts, and what it has seen of programs.
#[derive(Debug)]
pub(crate) struct Keeper {
    /// The number of this VM.
    vm: u64,
    store: Store,
    count: u64,
    parts: RefCell<HashMap<u64, Rc<Part>>>,
    seen: RefCell<HashMap<String, u64>>,
    /// Allowances that were given and can't be recorded, since this VM was shut out.
    orphans: RefCell<Vec<Copy>>,
    /// The VM that last granted a reservation of a partition.
    counted_at: RefCell<HashMap<u64, SocketAddr>>,
    failures: Cell<u32>,
    failed: Cell<Option<Instant>>,
    began: Instant,
}

/// Leave for one turn to generate tokens; ends with [`Gateway::settle`].
#[derive(Debug, Clone)]
pub(crate) struct Allowance {
    owner: Option<SocketAddr>,
    part: u64,
    reservation: u64,
    /// Turns of the program so far, this one included.
    pub(crate) turns: u32,
}

impl Keeper {
    pub(crate) fn new(vm: u64, store: SocketAddr, count: u64) -> Self {
        Self {
            vm,
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

    fn part(&self, number: u64) -> Rc<Part> {
        Rc::clone(self.parts.borrow_mut().entry(number).or_default())
    }

    fn part_of(&self, program: &str) -> u64 {
        xxh3_64(program.as_bytes()) % self.count
    }

    /// Whether the store takes records from this VM.
    pub(crate) fn has_store(&self) -> bool {
        let lately = self.failed.get().is_some_and(|failed| failed.elapsed() < TRY_AGAIN);
        self.failures.get() < LOST || !lately
    }

    fn heard(&self, good: bool) {
        let before = self.has_store();
        self.failures.set(if good { 0 } else { self.failures.get() + 1 });
        self.failed.set((!good).then(Instant::now));
        match (before, self.has_store()) {
            (true, false) => event!(warn, "store_lost", for_what = "allowances"),
            (false, true) => event!(info, "store_back", for_what = "allowances"),
            _ => {}
        }
    }

    fn settle(&self, part: u64, reservation: Reservation, used: u64) {
        let part = self.part(part);
        part.ledger.borrow_mut().settle(Instant::now(), reservation, used);
    }

    /// Takes a partition over: shuts out the writer before, then reads what it has recorded.
    async fn take(&self, number: u64, part: &Part) -> Result<(), Fault> {
        let _taking = part.taking.lock().await;
        if part.hold.get().is_some_and(|hold| hold.fenced) {
            return Ok(());
        }
        let mut epoch = self.epoch();
        let hold = loop {
            let writer = self.writer(epoch, 0);
            match self.store.append(ALLOWANCE_TOPIC, number, &[], Some(&writer)).await {
                Ok(()) => {
                    break Hold {
                        epoch,
                        sequence: 0,
                        fenced: true,
                    };
                }
                // The clock of the VM before is ahead of this one's.
                Err(Fault::Fenced) => epoch += EPOCH_STEP,
                Err(fault) => {
                    self.heard(false);
                    return Err(fault);
                }
            }
        };
        let detours = self.other_parts(number).map(|other| self.store.newest(DETOUR_TOPIC, other));
        let (newest, detours) = tokio::join!(
            self.store.newest(ALLOWANCE_TOPIC, number),
            futures::future::join_all(detours),
        );
        self.heard(newest.is_ok());
        let newest = newest?;
        for detour in detours.iter().flatten().flat_map(|detours| &detours.records) {
            let (Some(value), true) = (&detour.value, self.part_of(&detour.key) == number) else {
                continue;
            };
            let mut kept = part.kept.borrow_mut();
            let known = kept.entry(detour.key.clone()).or_insert((0, Instant::now()));
            known.0 = decode(value).unwrap_or_default().max(known.0);
        }
        let now = Instant::now();
        // What was adopted, or counted while the store was away, is known better than its records.
        let mut ledger = part.ledger.take();
        if part.hold.get().is_none() {
            ledger = Ledger::default();
        }
        for record in &newest.records {
            let allowed = record.value.as_ref().and_then(decode);
            ledger.restore(now, &record.key, allowed.unwrap_or_default());
        }
        let kept = part.kept.take();
        for (program, (allowed, _)) in &kept {
            ledger.restore(now, program, *allowed);
        }
        event!(
            info,
            "allowances_taken",
            part = number,
            epoch = hold.epoch,
            programs = ledger.len(),
            copies = kept.len()
        );
        // What the store has not taken yet must not be lost to the next VM.
        let lacking = kept.into_iter().filter(|(program, (allowed, _))| {
            let recorded = newest.records.iter().find(|record| record.key == *program);
            let recorded = recorded.and_then(|record| record.value.as_ref().and_then(decode));
            recorded.unwrap_or_default() < *allowed
        });
        let lacking = lacking.map(|(program, (allowed, _))| (program, allowed));
        part.pending.borrow_mut().extend(lacking);
        part.ledger.replace(ledger);
        part.hold.set(Some(hold));
        part.successor.set(None);
        Ok(())
    }

    /// Counts a partition while the store is away, from the copies that this VM was told.
    ///
    /// The VM that counted before may still live behind a partition of the network; it can't go
    /// beyond allowances that are durable or copied, and all of those are taken as spent here.
    fn take_from_copies(&self, number: u64, part: &Part) -> bool {
        let kept = part.kept.borrow();
        if kept.is_empty() || self.began.elapsed() < COPIES_COMPLETE {
            return false;
        }
        let mut ledger = Ledger::default();
        for (program, (allowed, _)) in kept.iter() {
            ledger.restore(Instant::now(), program, *allowed);
        }
        event!(warn, "allowances_taken_from_copies", part = number, programs = kept.len());
        part.ledger.replace(ledger);
        part.hold.set(Some(Hold {
            epoch: self.epoch(),
            sequence: 0,
            fenced: false,
        }));
        true
    }

    /// An epoch that is higher than those before, and no other VM's: two writers of one epoch would
    /// not shut each other out.
    fn epoch(&self) -> u64 {
        clock::wall_ms() * EPOCHS + self.vm % EPOCHS
    }

    fn writer(&self, epoch: u64, sequence: u64) -> Writer {
        Writer {
            name: "allowance".to_owned(),
            epoch,
            sequence,
        }
    }

    fn start_writing(self: Rc<Self>, number: u64, part: Rc<Part>) {
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
                if self.take(number, &part).await.is_err() {
                    sleep(AGAIN).await;
                }
                continue;
            }
            let records: Vec<Keyed> = batch.iter().map(|(key, allowed)| encode(key, *allowed)).collect();
            if !self.append(number, &part, hold, &records).await {
                continue;
            }
            let mut pending = part.pending.borrow_mut();
            let mut ledger = part.ledger.borrow_mut();
            for (program, allowed) in batch {
                ledger.recorded(&program, allowed);
                if pending.get(&program).is_some_and(|newest| *newest <= allowed) {
                    pending.remove(&program);
                }
            }
            drop((pending, ledger));
            part.written.notify_waiters();
            self.end_detours(number, &part).await;
        }
    }

    /// Appends one batch. Gives false where it has to be looked at anew.
    async fn append(&self, number: u64, part: &Part, hold: Hold, records: &[Keyed]) -> bool {
        let writer = self.writer(hold.epoch, hold.sequence);
        loop {
            let done = self.store.append(ALLOWANCE_TOPIC, number, records, Some(&writer)).await;
            let next = |sequence| {
                // Handed over meanwhile, it is not this VM's any more.
                if part.hold.get() == Some(hold) {
                    part.hold.set(Some(Hold { sequence, ..hold }));
                }
            };
            match done {
                Ok(()) => {
                    self.heard(true);
                    if part.failing.replace(false) {
                        event!(info, "records_flow", part = number);
                    }
                    next(hold.sequence + 1);
                    return true;
                }
                Err(Fault::Fenced) => {
                    self.shut_out(number, part, hold.epoch);
                    return false;
                }
                Err(Fault::Sequence(expected)) => {
                    event!(warn, "sequence_corrected", part = number, sent = hold.sequence, expected = expected);
                    next(expected);
                    sleep(AGAIN).await;
                    return false;
                }
                // The same sequence number again: if it was done, the store says so.
                Err(fault) => {
                    if !part.failing.replace(true) {
                        event!(warn, "records_stuck", part = number, reason = fault);
                    }
                    sleep(AGAIN).await;
                }
            }
        }
    }

    /// Records an allowance in another partition while its own does not take it.
    ///
    /// The store may lose some of its partitions and serve the rest. If all VMs lost power then,
    /// copies in memory would be gone, and a program would get its budget a second time.
    async fn detour(&self, number: u64, part: &Part, copy: &Copy) -> bool {
        let record = [encode(&copy.program, copy.allowed)];
        for other in self.other_parts(number) {
            let write = self.store.append(DETOUR_TOPIC, other, &record, None);
            if !matches!(timeout(PATIENCE, write).await, Ok(Ok(()))) {
                continue;
            }
            self.heard(true);
            part.detours.borrow_mut().insert((other, copy.program.clone()));
            event!(
                info,
                "allowance_detoured",
                program = copy.program,
                part = number,
                through = other,
                allowed = copy.allowed
            );
            return true;
        }
        self.heard(false);
        false
    }

    /// Drops the detours of allowances that their own partition has taken.
    async fn end_detours(&self, number: u64, part: &Part) {
        let ended = part.detours.take();
        for other in self.other_parts(number) {
            let of_it = ended.iter().filter(|(through, _)| *through == other);
            let dropped = of_it.map(|(_, key)| Keyed {
                key: key.clone(),
                value: None,
            });
            let records: Vec<Keyed> = dropped.collect();
            if records.is_empty() {
                continue;
            }
            if let Err(fault) = self.store.append(DETOUR_TOPIC, other, &records, None).await {
                // A detour that stays says no more than the partition's own record.
                event!(debug, "detours_left", part = number, reason = fault);
            }
        }
    }

    /// The partitions through which detours go. With a quarter of all away, one of three is there
    /// in 98 of 100 cases.
    fn other_parts(&self, number: u64) -> [u64; 3] {
        [self.count / 2, self.count / 3, 1].map(|offset| (number + offset) % self.count)
    }

    /// Another VM counts the partition.
    fn shut_out(&self, number: u64, part: &Part, epoch: u64) {
        event!(warn, "allowances_lost", part = number, epoch = epoch);
        part.hold.set(None);
        part.shut_out.set(Some(Instant::now()));
        let lacking = part.pending.take().into_iter();
        let copies = lacking.map(|(program, allowed)| Copy {
            part: number,
            program,
            allowed,
            epoch,
        });
        self.orphans.borrow_mut().extend(copies);
        part.written.notify_waiters();
    }

    /// Forgets programs that can't come back, here and at the store.
    pub(crate) async fn expire(self: &Rc<Self>, idle: Duration) {
        for part in self.parts.borrow().values() {
            let mut kept = part.kept.borrow_mut();
            kept.retain(|_, (_, told)| told.elapsed() < KEPT);
            part.lacking.borrow_mut().retain(|program, _| kept.contains_key(program));
        }
        for (number, part) in self.held() {
            let expired = part.ledger.borrow_mut().expire(Instant::now(), idle + IDLE_MARGIN);
            let fenced = part.hold.get().is_some_and(|hold| hold.fenced);
            if expired.is_empty() || !fenced || part.writing.replace(true) {
                continue;
            }
            let dropped = expired.into_iter().map(|key| Keyed { key, value: None });
            let records: Vec<Keyed> = dropped.collect();
            if let Some(hold) = part.hold.get() {
                self.append(number, &part, hold, &records).await;
            }
            tokio::task::spawn_local(Rc::clone(self).write(number, part));
        }
    }

    /// Keeps the copy of an allowance.
    fn keep(&self, copy: Copy) {
        let part = self.part(copy.part);
        if part.hold.get().is_some() {
            // The VM that counted before has given more than was known here.
            part.ledger.borrow_mut().restore(Instant::now(), &copy.program, copy.allowed);
            return;
        }
        let mut kept = part.kept.borrow_mut();
        let known = kept.entry(copy.program).or_insert((0, Instant::now()));
        *known = (copy.allowed.max(known.0), Instant::now());
    }

    /// Goes on with a partition that another VM hands over.
    fn adopt(&self, number: u64, epoch: u64, entries: Vec<(Entry, u64)>, fenced: bool) {
        let part = self.part(number);
        let now = Instant::now();
        for (entry, lacking) in entries {
            if lacking > 0 {
                let mut pending = part.pending.borrow_mut();
                let newest = pending.entry(entry.program.clone()).or_default();
                *newest = lacking.max(*newest);
            }
            part.ledger.borrow_mut().adopt(now, entry);
        }
        let programs = part.ledger.borrow().len();
        event!(info, "allowances_adopted", part = number, epoch = epoch, programs = programs, fenced = fenced);
        if !fenced {
            part.hold.set(Some(Hold {
                epoch: epoch + 1,
                sequence: 0,
                fenced: false,
            }));
            part.successor.set(None);
        }
    }

    /// What this VM tells the others of the partitions that it counts.
    pub(crate) fn claims(&self) -> Vec<(Shard, Epoch)> {
        let parts = self.parts.borrow();
        let held = parts.iter().filter_map(|(number, part)| {
            let hold = part.hold.get()?;
            Some((Shard(*number), Epoch(hold.epoch)))
        });
        let mut claims: Vec<_> = held.collect();
        claims.sort_unstable();
        claims
    }

    /// The partitions that this VM counts.
    fn held(&self) -> Vec<(u64, Rc<Part>)> {
        let parts = self.parts.borrow();
        let held = parts.iter().filter(|(_, part)| part.hold.get().is_some());
        held.map(|(number, part)| (*number, Rc::clone(part))).collect()
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

fn encode(program: &str, allowed: u64) -> Keyed {
    Keyed {
        key: program.to_owned(),
        value: Some(Bytes::from(allowed.to_string())),
    }
}

fn decode(value: &Bytes) -> Option<u64> {
    std::str::from_utf8(value).ok()?.parse().ok()
}

/// A reservation as the VM that counts the program sees it.
#[derive(Debug)]
struct Request<'a> {
    part: u64,
    program: &'a str,
    reservation: Reservation,
    turn: Turn,
    takeover: bool,
}

impl Gateway {
    /// The VMs to ask for a partition, in this order: the one that last answered, the one that
    /// says that it counts, and those that would take over.
    fn candidates(&self, part: u64) -> Vec<Peer> {
        let all = self.counters(part);
        let cached = self.keeper.counted_at.borrow().get(&part).copied();
        let claimed = self.claimed(part);
        let known = all.iter().filter(|peer| {
            Some(peer.address) == cached || claimed.as_ref().map(|claimed| &claimed.vm) == Some(&peer.vm)
        });
        let mut order: Vec<Peer> = known.cloned().collect();
        order.sort_by_key(|peer| Some(peer.address) != cached);
        for peer in all {
            if !order.contains(&peer) {
                order.push(peer);
            }
        }
        order.truncate(ASKED);
        order
    }

    /// The VM that says that it counts a partition.
    fn claimed(&self, part: u64) -> Option<Peer> {
        let view = self.view.borrow();
        let owner = view.owner(Shard(part))?;
        Some(Peer {
            vm: owner.vm.clone(),
            address: peers::address(owner.address),
            ready: owner.ready,
        })
    }

    /// The VMs that may count a partition, the one that should first, silent ones last.
    fn counters(&self, part: u64) -> Vec<Peer> {
        let view = self.view.borrow();
        let key = format!("allowance/{part}");
        let mut members: Vec<_> = view
            .members
            .values()
            .map(|member| {
                let silent = self.peers.is_silent(peers::address(member.address));
                let rank = rendezvous(&key, member.vm.as_str());
                (member.ready && !silent, rank, member)
            })
            .collect();
        members.sort_by(|one, other| (other.0, other.1).cmp(&(one.0, one.1)));
        let peers = members.into_iter().map(|(_, _, member)| Peer {
            vm: member.vm.clone(),
            address: peers::address(member.address),
            ready: member.ready,
        });
        peers.collect()
    }

    /// The VM that takes a partition over where this one can't go on.
    fn next_counter(&self, part: u64) -> Option<Peer> {
        let others = self.counters(part).into_iter();
        others.filter(|peer| peer.vm != self.settings.vm).next()
    }

    /// Asks for leave to generate up to `most` tokens for a program.
    ///
    /// # Errors
    /// [`Code::BudgetSpent`], or [`Code::LogUnavailable`] where nobody can tell now.
    pub(crate) async fn reserve(
        self: &Rc<Self>,
        program: &str,
        budget: u64,
        most: u64,
    ) -> Result<Allowance, Failure> {
        let part = self.keeper.part_of(program);
        let seen = self.keeper.seen.borrow().get(program).copied();
        let seen = seen.unwrap_or_default();
        let reservation = self.peers.number();
        for round in 0..ROUNDS {
            // One that says that it does not count may know better than this VM who does; only
            // silence, or a second round, is a reason to take over.
            let mut takeover = round > 0;
            for peer in self.candidates(part) {
                let question = Question::Reserve {
                    part,
                    program: program.to_owned(),
                    budget,
                    most,
                    seen,
                    reservation,
                    takeover,
                };
                match self.ask_counter(&peer, question).await {
                    Some(Reply::Granted { turns, total }) => {
                        self.note_seen(program, total);
                        self.keeper.counted_at.borrow_mut().insert(part, peer.address);
                        return Ok(Allowance {
                            owner: (peer.vm != self.settings.vm).then_some(peer.address),
                            part,
                            reservation,
                            turns,
                        });
                    }
                    Some(Reply::Spent) => {
                        return Err(Failure::refused(
                            Code::BudgetSpent,
                            "the token budget of the program is spent",
                        ));
                    }
                    other => {
                        self.keeper.counted_at.borrow_mut().remove(&part);
                        takeover |= other != Some(Reply::NotOwner);
                    }
                }
            }
            sleep(SETTLE).await;
        }
        let failure = Failure::refused(Code::LogUnavailable, "nobody can count the program's tokens");
        Err(failure.retry_after(COME_BACK))
    }

    async fn ask_counter(self: &Rc<Self>, peer: &Peer, question: Question) -> Option<Reply> {
        if peer.vm == self.settings.vm {
            let me = peers::address(self.settings.listen.peers);
            return Some(self.answer(me, question).await);
        }
        self.peers.ask(peer.address, &question).await
    }

    fn own(&self, reservation: u64) -> Reservation {
        Reservation {
            vm: peers::vm_number(peers::address(self.settings.listen.peers)),
            number: reservation,
        }
    }

    /// Remembers what a program has spent, for a VM that takes over without having seen it.
    fn note_seen(&self, program: &str, total: u64) {
        let mut seen = self.keeper.seen.borrow_mut();
        if seen.len() >= SEEN {
            seen.clear();
        }
        let known = seen.entry(program.to_owned()).or_default();
        *known = total.max(*known);
    }

    /// A turn is over: `used` tokens were handed out.
    pub(crate) async fn settle(&self, allowance: Allowance, used: u64) {
        let Allowance {
            owner,
            part,
            reservation,
            ..
        } = allowance;
        match owner {
            None => self.keeper.settle(part, self.own(reservation), used),
            Some(owner) => {
                let reservation = self.own(reservation);
                let note = Note::Settled {
                    part,
                    reservation,
                    used,
                };
                self.peers.tell(owner, note).await;
            }
        }
    }

    /// Answers a question of another VM.
    pub(crate) async fn answer(self: &Rc<Self>, from: SocketAddr, question: Question) -> Reply {
        match question {
            Question::Reserve {
                part,
                program,
                budget,
                most,
                seen,
                reservation,
                takeover,
            } => {
                let request = Request {
                    part,
                    program: &program,
                    reservation: Reservation {
                        vm: peers::vm_number(from),
                        number: reservation,
                    },
                    turn: Turn { budget, most, seen },
                    takeover,
                };
                self.count(request).await
            }
            Question::Keep(copy) => {
                let part = self.keeper.part(copy.part);
                if part.hold.get().is_some_and(|hold| hold.epoch > copy.epoch) {
                    // The VM that asks stood still while this one took over.
                    self.keeper.keep(copy);
                    return Reply::NotOwner;
                }
                part.lacking.borrow_mut().insert(copy.program.clone(), copy.allowed);
                self.keeper.keep(copy);
                Reply::Kept
            }
            Question::Copies { part } => {
                let part = self.keeper.part(part);
                let lacking = part.lacking.borrow();
                let newest = lacking.iter().take(COPIES_SENT);
                Reply::Copies(newest.map(|(program, allowed)| (program.clone(), *allowed)).collect())
            }
            Question::Adopt {
                part,
                epoch,
                entries,
                first,
                last,
                ending,
            } => self.adopt(part, epoch, entries, (first, last), ending).await,
        }
    }

    /// Takes in what another VM tells.
    pub(crate) async fn noted(&self, note: Note) {
        match note {
            Note::Settled {
                part,
                reservation,
                used,
            } => {
                let successor = self.keeper.part(part).successor.get();
                if let Some(successor) = successor {
                    self.peers.tell(successor, note).await;
                } else {
                    self.keeper.settle(part, reservation, used);
                }
            }
            Note::Copied(copy) => self.keeper.keep(copy),
        }
    }

    async fn adopt(
        self: &Rc<Self>,
        number: u64,
        epoch: u64,
        entries: Vec<(Entry, u64)>,
        (first, last): (bool, bool),
        ending: bool,
    ) -> Reply {
        let part = self.keeper.part(number);
        if first {
            // What is left of a hand-over that broke off is older.
            part.incoming.take();
        }
        part.incoming.borrow_mut().extend(entries);
        if !last {
            return Reply::Kept;
        }
        let entries = part.incoming.take();
        let taken = timeout(TAKE, self.keeper.take(number, &part)).await;
        let taken = matches!(taken, Ok(Ok(())));
        if !taken && !ending {
            return Reply::Away;
        }
        self.keeper.adopt(number, epoch, entries, taken);
        Rc::clone(&self.keeper).start_writing(number, part);
        Reply::Kept
    }

    /// Gives up partitions that another VM counts under a newer epoch.
    pub(crate) fn yield_claimed(&self) {
        for (number, part) in self.keeper.held() {
            let view = self.view.borrow();
            let others = view.members.values();
            let others = others.filter(|member| member.vm != self.settings.vm);
            let mut claims = others.flat_map(|member| &member.held);
            let epoch = part.hold.get().map_or(0, |hold| hold.epoch);
            if claims.any(|(shard, claimed)| shard.0 == number && claimed.0 > epoch) {
                self.keeper.shut_out(number, &part, epoch);
            }
        }
    }

    /// Hands the partitions that this VM counts over to those that come next and have the store.
    ///
    /// A VM that has lost the store alone gives no more durable allowances; were it to go on with
    /// copies, and all VMs lost power, what it gave would be given again.
    pub(crate) async fn hand_over(&self, ending: bool) {
        for (number, part) in self.keeper.held() {
            let next = self.next_counter(number);
            let Some(next) = next.filter(|next| next.ready || ending) else {
                return;
            };
            let Some(hold) = part.hold.take() else { continue };
            part.handing.set(true);
            part.written.notify_waiters();
            let entries = part.ledger.borrow().export();
            let pending = part.pending.borrow().clone();
            let entries: Vec<_> = entries
                .into_iter()
                .map(|entry| {
                    let lacking = pending.get(&entry.program).copied().unwrap_or_default();
                    let allowed = entry.allowed.max(lacking);
                    (Entry { allowed, ..entry }, lacking)
                })
                .collect();
            part.successor.set(Some(next.address));
            let chunks = entries.len().div_ceil(ADOPTED).max(1);
            let mut sent = 0;
            for index in 0..chunks {
                let chunk = entries.iter().skip(index * ADOPTED).take(ADOPTED);
                let question = Question::Adopt {
                    part: number,
                    epoch: hold.epoch,
                    entries: chunk.cloned().collect(),
                    first: index == 0,
                    last: index + 1 == chunks,
                    ending,
                };
                if self.peers.ask(next.address, &question).await != Some(Reply::Kept) {
                    break;
                }
                sent += 1;
            }
            let whole = sent == chunks;
            if whole {
                part.ledger.take();
                part.pending.take();
                part.shut_out.set(Some(Instant::now()));
            } else {
                // Nobody took it; if somebody did all the same, the store refuses what is written.
                part.hold.set(Some(hold));
                part.successor.set(None);
            }
            part.handing.set(false);
            event!(
                info,
                "allowances_handed_over",
                part = number,
                to = next.vm,
                programs = entries.len(),
                whole = whole
            );
        }
    }

    async fn count(self: &Rc<Self>, request: Request<'_>) -> Reply {
        let Request {
            part: number,
            program,
            reservation,
            turn,
            takeover,
        } = request;
        let part = self.keeper.part(number);
        if part.hold.get().is_none() {
            let shut_out = part.shut_out.get().is_some_and(|at| at.elapsed() < SHUT_OUT);
            if shut_out || part.handing.get() {
                return Reply::NotOwner;
            }
            let rightful = self.claimed(number);
            let rightful = rightful.or_else(|| self.counters(number).into_iter().next());
            if !takeover && rightful.is_some_and(|other| other.vm != self.settings.vm) {
                return Reply::NotOwner;
            }
            // It goes on where this request gives up, so that the next one finds it done.
            let keeper = Rc::clone(&self.keeper);
            let taken = Rc::clone(&part);
            let gateway = Rc::clone(self);
            let taking = tokio::task::spawn_local(async move {
                gateway.gather(number).await;
                let done = keeper.take(number, &taken).await;
                keeper.start_writing(number, taken);
                done
            });
            let taken = matches!(timeout(TAKE, taking).await, Ok(Ok(Ok(()))));
            if !taken && !(self.is_heir(number) && self.keeper.take_from_copies(number, &part)) {
                return Reply::Away;
            }
        }
        let verdict = part.ledger.borrow_mut().reserve(Instant::now(), program, reservation, turn);
        let (turns, total) = part.ledger.borrow().standing(program);
        event!(
            info,
            "turn_counted",
            program = program,
            part = number,
            epoch = part.hold.get().map_or(0, |hold| hold.epoch),
            budget = turn.budget,
            total = total,
            allowed = part.ledger.borrow().allowed(program),
            turns = turns,
            seen = turn.seen,
            verdict = verdict
        );
        let covered = match verdict {
            Verdict::Spent => return Reply::Spent,
            Verdict::Covered => true,
            Verdict::Record(allowed) => self.cover(number, &part, program, allowed).await,
        };
        // Where it was asked twice, the other one may have failed and given the tokens back.
        if !covered || !part.ledger.borrow().is_open(reservation) {
            self.keeper.settle(number, reservation, 0);
            return Reply::Away;
        }
        Reply::Granted { turns, total }
    }

    /// Whether this VM comes next for a partition that no live VM counts.
    fn is_heir(&self, part: u64) -> bool {
        let view = self.view.borrow();
        let key = format!("allowance/{part}");
        let first = view.members.values();
        let first = first.max_by_key(|member| rendezvous(&key, member.vm.as_str()));
        let mine = first.is_some_and(|first| first.vm == self.settings.vm);
        mine && view.owner(Shard(part)).is_none()
    }

    /// Waits until an allowance is durable, or kept by other VMs where the store does not take it.
    async fn cover(self: &Rc<Self>, number: u64, part: &Rc<Part>, program: &str, allowed: u64) -> bool {
        let hold = part.hold.get();
        {
            let mut pending = part.pending.borrow_mut();
            let newest = pending.entry(program.to_owned()).or_default();
            *newest = allowed.max(*newest);
        }
        Rc::clone(&self.keeper).start_writing(number, Rc::clone(part));
        let durable = async {
            loop {
                let written = part.written.notified();
                if part.ledger.borrow().allowed(program) >= allowed {
                    return true;
                }
                // Shut out by another VM meanwhile, nothing will be recorded.
                if part.hold.get().map(|hold| hold.epoch) != hold.map(|hold| hold.epoch) {
                    return false;
                }
                written.await;
            }
        };
        let patience = if part.failing.get() { Duration::ZERO } else { PATIENCE };
        let copy = Copy {
            part: number,
            program: program.to_owned(),
            allowed,
            epoch: hold.map_or(0, |hold| hold.epoch),
        };
        match timeout(patience, durable).await {
            Ok(recorded) => {
                self.tell_next(copy).await;
                recorded
            }
            Err(_) if self.keeper.detour(number, part, &copy).await => true,
            Err(_) => self.copy(copy, part).await,
        }
    }

    /// Asks the VMs that may keep copies for allowances that the store may lack.
    async fn gather(&self, part: u64) {
        let others = self.counters(part).into_iter();
        let others = others.filter(|peer| peer.vm != self.settings.vm);
        let asks = others.take(COPIES + 1).map(|peer| async move {
            let question = Question::Copies { part };
            timeout(GATHER, self.peers.ask(peer.address, &question)).await
        });
        for reply in futures::future::join_all(asks).await {
            let Ok(Some(Reply::Copies(copies))) = reply else {
                continue;
            };
            for (program, allowed) in copies {
                let epoch = 0;
                self.keeper.keep(Copy {
                    part,
                    program,
                    allowed,
                    epoch,
                });
            }
        }
    }

    /// Tells all VMs of allowances that this one gave and could not record.
    pub(crate) async fn tell_orphans(&self) {
        let orphans = self.keeper.orphans.take();
        if orphans.is_empty() {
            return;
        }
        let members = self.counters(0);
        event!(info, "allowances_told", programs = orphans.len(), members = members.len());
        for copy in orphans {
            for peer in members.iter().filter(|peer| peer.vm != self.settings.vm) {
                self.peers.tell(peer.address, Note::Copied(copy.clone())).await;
            }
        }
    }

    /// Tells the VM that would take over of a durable allowance, for a time without the store.
    async fn tell_next(&self, copy: Copy) {
        let next = self.next_counter(copy.part);
        if let Some(next) = next {
            self.peers.tell(next.address, Note::Copied(copy)).await;
        }
    }

    /// Has the VMs that would take over keep an allowance.
    async fn copy(&self, copy: Copy, part: &Part) -> bool {
        let question = Question::Keep(copy.clone());
        let others = self.counters(copy.part).into_iter();
        let others = others.filter(|peer| peer.vm != self.settings.vm);
        let asks = others.take(COPIES).map(|peer| {
            let question = &question;
            async move { self.peers.ask(peer.address, question).await }
        });
        let replies = futures::future::join_all(asks).await;
        if replies.contains(&Some(Reply::NotOwner)) {
            self.keeper.shut_out(copy.part, part, copy.epoch);
            return false;
        }
        let copies = replies.iter().flatten().count();
        event!(
            info,
            "allowance_copied",
            program = copy.program,
            allowed = copy.allowed,
            copies = copies
        );
        copies > 0
    }
}

/// Drops the records of programs that can't come back.
pub(crate) async fn keep_house(gateway: Rc<Gateway>) {
    loop {
        sleep(IDLE_MARGIN / 3).await;
        gateway.keeper.expire(IDLE).await;
    }
}
