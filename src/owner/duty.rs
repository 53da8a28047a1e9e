//! The owner thread: claims shards, applies their records and serves requests.

use super::Envelope;
use super::run::Run;
use crate::backend;
use crate::code::{Code, Failure, Ran};
use crate::config::Snapshot;
use crate::dispatch;
use crate::id::{self, Boot, Epoch, Offset, Sequence, Shard, Vm, Zone};
use crate::journal::{Body, Command, Event, Id, Record, Sequences, stream_of};
use crate::member::{Announcement, View};
use crate::ownership::{Claimer, Ledger, Validity};
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

/// Interval of the checks of claims, time limits, evictions and checkpoints.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Settings of the owner thread, and its channels to the other threads.
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
    pub(crate) announcement: Arc<watch::Sender<Announcement>>,
    pub(crate) journal: flume::Sender<Command>,
    pub(crate) dispatch: dispatch::Client,
    pub(crate) metrics: Metrics,
    /// Cancelled when this VM is to hand over all its shards.
    pub(crate) leaving: CancellationToken,
}

/// State of one shard, as read from its stream.
#[derive(Debug, Default)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts")]
pub(super) struct ShardState {
    pub(super) ledger: Ledger,
    pub(super) table: Table,
    /// Epoch of this VM's claim; `None` if this VM does not own the shard.
    pub(super) epoch: Option<Epoch>,
    /// Epoch of this VM's first claim since another VM last owned the shard.
    pub(super) owned_since: Epoch,
    /// The log has trimmed records of the shard that were not read, and no complete checkpoint was read
    /// since.
    pub(super) gap: bool,
    /// Claims that were left to other VMs because of the gap.
    pub(super) skipped_claims: u32,
    /// Offset from which the shard can be read completely.
    pub(super) checkpoint_offset: Offset,
    /// Checkpoints of the shard are being written.
    pub(super) checkpointing: bool,
    /// The shard is being handed over: no new call starts.
    pub(super) releasing: bool,
    /// The last owner released the shard to this VM.
    pub(super) offered: bool,
}

/// Result of an appended record, once it was read back from the log.
#[derive(Debug, Clone, Copy)]
pub(super) struct Receipt {
    pub(super) validity: Validity,
    /// When the read that returned the record was sent.
    pub(super) asked: Instant,
}

/// Waits for an appended record to be read back.
#[derive(Debug)]
pub(super) struct Waiter {
    /// The program that the record belongs to.
    pub(super) program: Option<id::Program>,
    receipt: oneshot::Sender<Receipt>,
}

pub(super) struct Owner {
    pub(super) context: Context,
    pub(super) boot: Boot,
    pub(super) shards: RefCell<BTreeMap<Shard, ShardState>>,
    /// Calls in progress, at most one for each program.
    pub(super) runs: RefCell<HashMap<id::Program, Rc<Run>>>,
    /// Keys of operations in progress, such as `open/{key}`, that must not run twice at a time.
    pub(super) in_progress: RefCell<HashSet<String>>,
    /// Notified after each change of a table, a call in progress or an ownership.
    pub(super) changed: Notify,
    pub(super) forecast: RefCell<Forecast>,
    pub(super) engines: backend::Engines,
    pub(super) services: backend::Services,
    sequences: RefCell<Sequences>,
    pub(super) waiters: RefCell<HashMap<(u64, Sequence), Waiter>>,
    /// Offset of the next entry of each stream.
    pub(super) next_offsets: RefCell<HashMap<u64, Offset>>,
    pub(super) claimer: RefCell<Claimer>,
}

/// Runs until a channel is closed or every shard has been handed over.
pub(crate) async fn run(
    context: Context,
    requests: flume::Receiver<Envelope>,
    events: flume::Receiver<Event>,
    dumps: flume::Receiver<oneshot::Sender<Value>>,
) {
    let boot = Boot(rand::random());
    let owner = Rc::new(Owner {
        boot,
        shards: RefCell::default(),
        runs: RefCell::default(),
        in_progress: RefCell::default(),
        changed: Notify::new(),
        forecast: RefCell::default(),
        engines: backend::Engines::new(),
        services: backend::Services::new(),
        sequences: RefCell::new(Sequences::new(context.streams)),
        waiters: RefCell::default(),
        next_offsets: RefCell::default(),
        claimer: RefCell::new(Claimer::new(context.vm.clone(), context.shards)),
        context,
    });
    owner.start().await;
    let mut tick = interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            envelope = requests.recv_async() => match envelope {
                Ok(envelope) => { spawn_local(owner.clone().serve(envelope)); }
                Err(_) => return,
            },
            event = events.recv_async() => match event {
                Ok(event) => owner.handle_event(event),
                Err(_) => return,
            },
            dump = dumps.recv_async() => match dump {
                Ok(reply) => { let _ = reply.send(owner.dump()); }
                Err(_) => return,
            },
            _ = tick.tick() => {
                if owner.context.leaving.is_cancelled() {
                    if owner.release_shards() {
                        return;
                    }
                } else {
                    owner.claim_shards();
                }
                owner.start_due_steps();
                owner.renew_oldest_claim();
            }
        }
    }
}

impl Owner {
    async fn start(&self) {
        let boot = self.boot;
        self.context.announcement.send_modify(|announcement| {
            announcement.boot = boot;
            announcement.owned.clear();
        });
        for stream in 0..self.context.streams {
            let _ = self
                .context
                .journal
                .send_async(Command::Follow { stream })
                .await;
        }
    }

    /// Appends a record under `epoch` and waits until it was read back and validated; returns when that read
    /// was sent.
    ///
    /// # Errors
    /// [`Code::NotOwner`] if a newer claim precedes the record, which is then void.
    pub(super) async fn append(
        &self,
        shard: Shard,
        epoch: Epoch,
        body: Body,
    ) -> Result<Instant, Failure> {
        loop {
            let pending = self.submit(shard, epoch, body.clone())?;
            match pending
                .await
                .map(|receipt| (receipt.validity, receipt.asked))
            {
                Ok((Validity::Valid | Validity::Claimed(_), asked)) => return Ok(asked),
                // Overtaken by this VM's own renewed claim: written again under the new epoch.
                Ok((Validity::Fenced, _)) if self.owns_since(shard, epoch) => {}
                Ok((Validity::Fenced | Validity::Duplicate, _)) => return Err(not_owner(shard)),
                Err(_) => {
                    let message = "the owner was restarted";
                    return Err(Failure::refused(Code::Internal, message).ran(Ran::Unknown));
                }
            }
        }
    }

    /// As [`Owner::append`], but waits while the journal's queue is full: used where giving up would lose the
    /// outcome of a call that ran.
    pub(super) async fn append_retrying(
        &self,
        shard: Shard,
        epoch: Epoch,
        body: Body,
    ) -> Result<Instant, Failure> {
        loop {
            match self.append(shard, epoch, body.clone()).await {
                Err(failure) if failure.code == Code::RingFull => sleep(TICK_INTERVAL).await,
                appended => return appended,
            }
        }
    }

    pub(super) fn journal_has_room(&self, records: usize) -> bool {
        let journal = &self.context.journal;
        journal
            .capacity()
            .is_none_or(|capacity| journal.len() + records <= capacity)
    }

    /// Queues a record for the journal; the receiver gets the result once the record is read back.
    pub(super) fn submit(
        &self,
        shard: Shard,
        epoch: Epoch,
        body: Body,
    ) -> Result<oneshot::Receiver<Receipt>, Failure> {
        let stream = stream_of(shard, self.context.streams);
        let program = body.program();
        let epoch = if self.owns_since(shard, epoch) {
            self.owned_epoch(shard)?
        } else {
            epoch
        };
        let sequence = self.sequences.borrow_mut().next(stream);
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
        let (receipt, pending) = oneshot::channel();
        self.waiters
            .borrow_mut()
            .insert((stream, sequence), Waiter { program, receipt });
        Ok(pending)
    }

    /// Epoch under which this VM owns `shard`.
    ///
    /// # Errors
    /// [`Code::NotOwner`] if it doesn't; [`Code::HistoryGap`] if it owns it without having read all records.
    pub(super) fn owned_epoch(&self, shard: Shard) -> Result<Epoch, Failure> {
        let shards = self.shards.borrow();
        let state = shards.get(&shard).ok_or_else(|| not_owner(shard))?;
        let epoch = state.epoch.ok_or_else(|| not_owner(shard))?;
        if state.gap {
            let message = format!("the log has trimmed records of shard {shard}");
            return Err(Failure::refused(Code::HistoryGap, message).ran(Ran::Unknown));
        }
        Ok(epoch)
    }

    /// Whether this VM has owned `shard` without interruption since its claim at `epoch`.
    pub(super) fn owns_since(&self, shard: Shard, epoch: Epoch) -> bool {
        let shards = self.shards.borrow();
        let state = shards.get(&shard);
        state.is_some_and(|state| state.epoch.is_some() && !state.gap && state.owned_since <= epoch)
    }

    fn handle_event(self: &Rc<Self>, event: Event) {
        match event {
            Event::Page {
                stream,
                entries,
                requested_at: asked,
            } => {
                // Waiters are notified after the whole page was applied, so that they see a newer claim
                // that was read with their record.
                let mut results = Vec::new();
                for (offset, records) in entries {
                    if self.is_next_entry(stream, offset) {
                        results.extend(self.apply_entry(stream, offset, &records));
                    }
                }
                for (waiter, validity) in results {
                    let _ = waiter.receipt.send(Receipt { validity, asked });
                }
            }
            Event::Trimmed { stream, first } => {
                event!(warn, "journal_trimmed", stream = stream, first = first);
                self.next_offsets.borrow_mut().insert(stream, first);
                self.reset_stream(stream);
            }
        }
        self.changed.notify_waiters();
    }

    /// Whether this entry is the next one of its stream.
    ///
    /// After a restart of the owner thread, its channel may still hold later entries that were read for the
    /// previous one. Applied first, they would make the earlier entries look like duplicates.
    fn is_next_entry(&self, stream: u64, offset: Offset) -> bool {
        let mut next_offsets = self.next_offsets.borrow_mut();
        let next = next_offsets.entry(stream).or_default();
        let is_next = offset == *next;
        if is_next {
            next.0 += 1;
        }
        is_next
    }

    fn apply_entry(
        self: &Rc<Self>,
        stream: u64,
        offset: Offset,
        records: &[Record],
    ) -> Vec<(Waiter, Validity)> {
        let apply = |(index, record): (usize, &Record)| {
            let validity = self.apply_record(offset, index, record);
            let own_record = record.id.boot == self.boot && record.id.vm == self.context.vm;
            let waiters = &mut self.waiters.borrow_mut();
            let waiter = own_record.then(|| waiters.remove(&(stream, record.id.sequence)))?;
            Some((waiter?, validity))
        };
        records.iter().enumerate().filter_map(apply).collect()
    }

    /// Resets the shards of a stream after the log trimmed records that were not read.
    fn reset_stream(&self, stream: u64) {
        let shards = (0..self.context.shards).map(Shard);
        for shard in shards.filter(|shard| stream_of(*shard, self.context.streams) == stream) {
            let reset = ShardState {
                gap: true,
                ..ShardState::default()
            };
            self.shards.borrow_mut().insert(shard, reset);
            self.cancel_runs(shard);
        }
        self.announce_owned();
    }

    fn cancel_runs(&self, shard: Shard) {
        let runs = self.runs.borrow();
        for run in runs.values().filter(|run| run.program.shard() == shard) {
            run.cancel.cancel();
        }
    }

    fn apply_record(self: &Rc<Self>, offset: Offset, index: usize, record: &Record) -> Validity {
        let shard = record.shard;
        let own_record = record.id.boot == self.boot && record.id.vm == self.context.vm;
        let validity = {
            let mut shards = self.shards.borrow_mut();
            let state = shards.entry(shard).or_default();
            let validity = state.ledger.apply(offset, index, record);
            match validity {
                Validity::Valid => {
                    state.table.apply(&record.body);
                    if matches!(record.body, Body::Checkpointed) {
                        state.gap = false;
                        state.checkpoint_offset = record.epoch.offset();
                    }
                }
                Validity::Claimed(epoch) => {
                    if !(own_record && state.epoch.is_some()) {
                        state.owned_since = epoch;
                        state.checkpointing = false;
                    }
                    state.epoch = own_record.then_some(epoch);
                    state.offered = false;
                }
                Validity::Fenced | Validity::Duplicate => {}
            }
            if validity == Validity::Valid
                && let Body::Release { successor } = &record.body
            {
                state.epoch = None;
                state.offered = successor.as_ref() == Some(&self.context.vm);
            }
            validity
        };
        if let Validity::Claimed(epoch) = validity {
            self.handle_claim(shard, epoch, own_record, &record.id.vm);
        }
        if validity == Validity::Valid && matches!(record.body, Body::Release { .. }) {
            self.announce_owned();
        }
        validity
    }

    fn handle_claim(self: &Rc<Self>, shard: Shard, epoch: Epoch, own_record: bool, by: &Vm) {
        event!(
            info,
            "shard_claimed",
            vm = self.context.vm,
            shard = shard,
            epoch = epoch,
            by = by
        );
        if own_record {
            self.context.metrics.claims.add(1, &[]);
            self.start_due_steps();
            self.start_checkpoint(shard, epoch);
        } else {
            self.cancel_runs(shard);
        }
        self.announce_owned();
    }

    /// Announces the owned shards to the other VMs.
    fn announce_owned(&self) {
        let shards = self.shards.borrow();
        let owned = shards
            .iter()
            .filter_map(|(shard, state)| Some((*shard, state.epoch?)));
        let owned: Vec<(Shard, Epoch)> = owned.collect();
        self.context
            .announcement
            .send_modify(|announcement| announcement.owned = owned);
    }
}

/// Makes the sender of the request look for the owner on another VM.
pub(super) fn not_owner(shard: Shard) -> Failure {
    Failure::refused(
        Code::NotOwner,
        format!("shard {shard} is owned by another VM"),
    )
    .retry_after(Duration::from_millis(200))
}
