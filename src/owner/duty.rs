//! The owner thread: claims shards, folds their records and serves requests.

use super::Envelope;
use super::run::Run;
use crate::backend;
use crate::code::{Code, Failure, Ran};
use crate::config::Snapshot;
use crate::dispatch;
use crate::id::{self, Boot, Epoch, Offset, Sequence, Shard, Vm, Zone};
use crate::journal::{Body, Command, Event, Id, Numbers, Record, stream_of};
use crate::member::{Beat, View};
use crate::ownership::{Claimer, Ledger, Verdict};
use crate::policy::forecast::Forecast;
use crate::program::Table;
use crate::telemetry::{Metrics, event};
use serde_json::Value;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;

/// Time between looks at claims, limits and evictions.
const TICK: Duration = Duration::from_millis(100);

/// What the owner works with.
#[derive(Debug, Clone)]
pub(crate) struct Context {
    pub(crate) vm: Vm,
    pub(crate) zone: Zone,
    pub(crate) shards: u64,
    pub(crate) streams: u64,
    pub(crate) max_programs: usize,
    pub(crate) checkpoint_entries: u64,
    pub(crate) config: watch::Receiver<Arc<Snapshot>>,
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) announcement: Arc<watch::Sender<Beat>>,
    pub(crate) journal: flume::Sender<Command>,
    pub(crate) dispatch: dispatch::Client,
    pub(crate) metrics: Metrics,
    /// Cancelled when this VM hands its shards over.
    pub(crate) leaving: CancellationToken,
}

/// One shard of a stream that this VM follows.
#[derive(Debug, Default)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts")]
pub(super) struct Held {
    pub(super) ledger: Ledger,
    pub(super) table: Table,
    /// The epoch of this VM's claim while it is the newest.
    pub(super) epoch: Option<Epoch>,
    /// The first of this VM's claims since when no other has held the shard.
    pub(super) since: Epoch,
    /// The log has trimmed records of the shard that were not read, and no whole set of
    /// checkpoints has been read since.
    pub(super) gap: bool,
    /// Claims that were left to VMs that may have no gap.
    pub(super) left: u32,
    /// The shard can be read whole from this offset on.
    pub(super) base: Offset,
    /// Checkpoints of the shard are under way.
    pub(super) renewing: bool,
    /// The shard is being handed over: no new run starts.
    pub(super) leaving: bool,
    /// The newest holder has released the shard to this VM.
    pub(super) offered: bool,
}

/// What reading a record back has told.
#[derive(Debug, Clone, Copy)]
pub(super) struct Receipt {
    pub(super) verdict: Verdict,
    /// When the read that showed it was sent.
    pub(super) asked: Instant,
}

/// A record on its way into the log and back.
#[derive(Debug)]
pub(super) struct Waiter {
    /// The program that it is about.
    pub(super) program: Option<id::Program>,
    receipt: oneshot::Sender<Receipt>,
}

pub(super) struct Owner {
    pub(super) context: Context,
    pub(super) boot: Boot,
    pub(super) shards: RefCell<BTreeMap<Shard, Held>>,
    pub(super) runs: RefCell<HashMap<id::Program, Rc<Run>>>,
    /// Keys that are being opened, and programs that are being ended or cared for.
    pub(super) busy: RefCell<HashSet<String>>,
    /// Rung after each change of a table, a run or a claim.
    pub(super) changed: Notify,
    pub(super) forecast: RefCell<Forecast>,
    pub(super) engines: backend::Engines,
    pub(super) services: backend::Services,
    numbers: RefCell<Numbers>,
    pub(super) waiters: RefCell<HashMap<(u64, Sequence), Waiter>>,
    /// The offset that each stream's next entry has.
    pub(super) next: RefCell<HashMap<u64, Offset>>,
    pub(super) claimer: RefCell<Claimer>,
}

/// Serves until the rings are closed or every shard has been handed over.
pub(crate) async fn run(
    context: Context,
    asks: flume::Receiver<Envelope>,
    events: flume::Receiver<Event>,
    dumps: flume::Receiver<oneshot::Sender<Value>>,
) {
    let boot = Boot(rand::random());
    let owner = Rc::new(Owner {
        boot,
        shards: RefCell::default(),
        runs: RefCell::default(),
        busy: RefCell::default(),
        changed: Notify::new(),
        forecast: RefCell::default(),
        engines: backend::Engines::new(),
        services: backend::Services::new(),
        numbers: RefCell::new(Numbers::new(context.streams)),
        waiters: RefCell::default(),
        next: RefCell::default(),
        claimer: RefCell::new(Claimer::new(context.vm.clone(), context.shards)),
        context,
    });
    owner.start().await;
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            ask = asks.recv_async() => match ask {
                Ok(ask) => { spawn_local(owner.clone().serve(ask)); }
                Err(_) => return,
            },
            event = events.recv_async() => match event {
                Ok(event) => owner.take(event),
                Err(_) => return,
            },
            dump = dumps.recv_async() => match dump {
                Ok(reply) => { let _ = reply.send(owner.dump()); }
                Err(_) => return,
            },
            _ = tick.tick() => {
                if owner.context.leaving.is_cancelled() {
                    if owner.release() {
                        return;
                    }
                } else {
                    owner.claim();
                }
                owner.care();
                owner.renew();
            }
        }
    }
}

impl Owner {
    async fn start(&self) {
        let boot = self.boot;
        self.context.announcement.send_modify(|beat| {
            beat.boot = boot;
            beat.held.clear();
        });
        for stream in 0..self.context.streams {
            let _ = self
                .context
                .journal
                .send_async(Command::Follow { stream })
                .await;
        }
    }

    /// Appends a record under `epoch` and waits until it has been read back and judged; gives
    /// the time at which the read was sent.
    ///
    /// # Errors
    /// [`Code::NotOwner`] when a newer claim stands before it: it does not count.
    pub(super) async fn append(
        &self,
        shard: Shard,
        epoch: Epoch,
        body: Body,
    ) -> Result<Instant, Failure> {
        loop {
            let wait = self.push(shard, epoch, body.clone())?;
            match wait.await.map(|receipt| (receipt.verdict, receipt.asked)) {
                Ok((Verdict::Valid | Verdict::Claimed(_), asked)) => return Ok(asked),
                // Written just before this VM's own renewed claim: it counts for nobody, and is
                // written again under the new epoch.
                Ok((Verdict::Void, _)) if self.holds(shard, epoch) => {}
                Ok((Verdict::Void | Verdict::Duplicate, _)) => return Err(not_owner(shard)),
                Err(_) => {
                    let message = "the owner was restarted";
                    return Err(Failure::refused(Code::Internal, message).ran(Ran::Unknown));
                }
            }
        }
    }

    /// As [`Owner::append`], for a record that has to follow what was done: a full queue is
    /// waited for. Given up, the outcome of a call that ran would be lost.
    pub(super) async fn append_surely(
        &self,
        shard: Shard,
        epoch: Epoch,
        body: Body,
    ) -> Result<Instant, Failure> {
        loop {
            match self.append(shard, epoch, body.clone()).await {
                Err(failure) if failure.code == Code::RingFull => sleep(TICK).await,
                appended => return appended,
            }
        }
    }

    /// Whether the journal's queue has room for so many records.
    pub(super) fn has_room(&self, records: usize) -> bool {
        let journal = &self.context.journal;
        journal
            .capacity()
            .is_none_or(|most| journal.len() + records <= most)
    }

    /// Hands a record to the journal; the receiver gets the verdict once it is read back.
    pub(super) fn push(
        &self,
        shard: Shard,
        epoch: Epoch,
        body: Body,
    ) -> Result<oneshot::Receiver<Receipt>, Failure> {
        let stream = stream_of(shard, self.context.streams);
        let program = body.program();
        let epoch = if self.holds(shard, epoch) {
            self.epoch(shard)?
        } else {
            epoch
        };
        let sequence = self.numbers.borrow_mut().next(stream);
        let id = Id {
            vm: self.context.vm.clone(),
            boot: self.boot,
            sequence,
        };
        let record = Record {
            id,
            shard,
            epoch,
            body,
        };
        self.context
            .journal
            .try_send(Command::Append {
                stream,
                record: Box::new(record),
            })
            .map_err(|_| {
                Failure::refused(Code::RingFull, "the journal's queue is full")
                    .retry_after(Duration::from_millis(500))
            })?;
        let (receipt, wait) = oneshot::channel();
        self.waiters
            .borrow_mut()
            .insert((stream, sequence), Waiter { program, receipt });
        Ok(wait)
    }

    /// The epoch under which this VM owns `shard`.
    ///
    /// # Errors
    /// [`Code::NotOwner`] when it doesn't.
    pub(super) fn epoch(&self, shard: Shard) -> Result<Epoch, Failure> {
        let shards = self.shards.borrow();
        let held = shards.get(&shard).ok_or_else(|| not_owner(shard))?;
        let epoch = held.epoch.ok_or_else(|| not_owner(shard))?;
        if held.gap {
            let message = format!("the log has trimmed records of shard {shard}");
            return Err(Failure::refused(Code::HistoryGap, message).ran(Ran::Unknown));
        }
        Ok(epoch)
    }

    /// Whether this VM has owned `shard` without a break since its claim at `epoch`.
    pub(super) fn holds(&self, shard: Shard, epoch: Epoch) -> bool {
        let shards = self.shards.borrow();
        let held = shards.get(&shard);
        held.is_some_and(|held| held.epoch.is_some() && !held.gap && held.since <= epoch)
    }

    fn take(self: &Rc<Self>, event: Event) {
        match event {
            Event::Page {
                stream,
                entries,
                asked,
            } => {
                // Verdicts are told after the whole page: one that waits for its record learns of
                // a newer claim that was read with it.
                let mut told = Vec::new();
                for (offset, records) in entries {
                    if self.follows(stream, offset) {
                        told.extend(self.fold_entry(stream, offset, &records));
                    }
                }
                for (waiter, verdict) in told {
                    let _ = waiter.receipt.send(Receipt { verdict, asked });
                }
            }
            Event::Trimmed { stream, first } => {
                event!(warn, "journal_trimmed", stream = stream, first = first);
                self.next.borrow_mut().insert(stream, first);
                self.forget(stream);
            }
        }
        self.changed.notify_waiters();
    }

    /// Whether this entry is the next of its stream.
    ///
    /// An owner that was restarted finds entries in the ring that were read for the one before.
    /// Folded ahead of the older ones, they would make those look like copies: history lost.
    fn follows(&self, stream: u64, offset: Offset) -> bool {
        let mut next = self.next.borrow_mut();
        let next = next.entry(stream).or_default();
        let follows = offset == *next;
        if follows {
            next.0 += 1;
        }
        follows
    }

    fn fold_entry(
        self: &Rc<Self>,
        stream: u64,
        offset: Offset,
        records: &[Record],
    ) -> Vec<(Waiter, Verdict)> {
        let fold = |(index, record): (usize, &Record)| {
            let verdict = self.fold(offset, index, record);
            let mine = record.id.boot == self.boot && record.id.vm == self.context.vm;
            let waiters = &mut self.waiters.borrow_mut();
            let waiter = mine.then(|| waiters.remove(&(stream, record.id.sequence)))?;
            Some((waiter?, verdict))
        };
        records.iter().enumerate().filter_map(fold).collect()
    }

    /// Drops what is known of the shards of a stream: it misses records.
    fn forget(&self, stream: u64) {
        let shards = (0..self.context.shards).map(Shard);
        for shard in shards.filter(|shard| stream_of(*shard, self.context.streams) == stream) {
            let gap = Held {
                gap: true,
                ..Held::default()
            };
            self.shards.borrow_mut().insert(shard, gap);
            self.cancel_runs(shard);
        }
        self.publish();
    }

    fn cancel_runs(&self, shard: Shard) {
        let runs = self.runs.borrow();
        for run in runs.values().filter(|run| run.program.shard() == shard) {
            run.cancel.cancel();
        }
    }

    fn fold(self: &Rc<Self>, offset: Offset, index: usize, record: &Record) -> Verdict {
        let shard = record.shard;
        let mine = record.id.boot == self.boot && record.id.vm == self.context.vm;
        let verdict = {
            let mut shards = self.shards.borrow_mut();
            let held = shards.entry(shard).or_default();
            let verdict = held.ledger.judge(offset, index, record);
            match verdict {
                Verdict::Valid => {
                    held.table.apply(&record.body);
                    if matches!(record.body, Body::Checkpointed) {
                        held.gap = false;
                        held.base = record.epoch.offset();
                    }
                }
                Verdict::Claimed(epoch) => {
                    if !(mine && held.epoch.is_some()) {
                        held.since = epoch;
                        held.renewing = false;
                    }
                    held.epoch = mine.then_some(epoch);
                    held.offered = false;
                }
                Verdict::Void | Verdict::Duplicate => {}
            }
            if verdict == Verdict::Valid
                && let Body::Release { successor } = &record.body
            {
                held.epoch = None;
                held.offered = successor.as_ref() == Some(&self.context.vm);
            }
            verdict
        };
        if let Verdict::Claimed(epoch) = verdict {
            self.claimed(shard, epoch, mine, &record.id.vm);
        }
        if verdict == Verdict::Valid && matches!(record.body, Body::Release { .. }) {
            self.publish();
        }
        verdict
    }

    fn claimed(self: &Rc<Self>, shard: Shard, epoch: Epoch, mine: bool, by: &Vm) {
        event!(
            info,
            "shard_claimed",
            vm = self.context.vm,
            shard = shard,
            epoch = epoch,
            by = by
        );
        if mine {
            self.context.metrics.claims.add(1, &[]);
            self.care();
            self.renewed(shard, epoch);
        } else {
            self.cancel_runs(shard);
        }
        self.publish();
    }

    fn publish(&self) {
        let held = self.shards.borrow();
        let held = held
            .iter()
            .filter_map(|(shard, held)| Some((*shard, held.epoch?)));
        let held: Vec<(Shard, Epoch)> = held.collect();
        self.context
            .announcement
            .send_modify(|beat| beat.held = held);
    }
}

/// The failure that sends an entry to look for the owner elsewhere.
pub(super) fn not_owner(shard: Shard) -> Failure {
    Failure::refused(
        Code::NotOwner,
        format!("shard {shard} is owned by another VM"),
    )
    .retry_after(Duration::from_millis(200))
}
