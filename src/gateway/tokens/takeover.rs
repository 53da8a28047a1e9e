//! How a VM goes on with a partition that another VM has counted.

use crate::clock;
use crate::gateway::tokens::keeper::{ALIVE_KEY, IDLE, Keeper, OURS, decode, writer};
use crate::gateway::tokens::part::{Hold, Part};
use crate::id::Offset;
use crate::platform::records::{ALLOWANCE_TOPIC, FALLBACK_ALLOWANCE_TOPIC};
use crate::platform::store::{Error, Latest, Record, Writer};
use crate::policy::allowance::Ledger;
use crate::policy::share::Origin;
use crate::telemetry::event;
use bytes::Bytes;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The key of the record that names the VM that counts a partition; no program has such a name.
const OWNER_KEY: &str = "@owner";
/// Epochs in one millisecond of the clock: so many VMs can be told apart.
const EPOCHS: u64 = 1 << 12;
/// By how much an epoch is raised that is too low: ten seconds of the clock.
const EPOCH_STEP: u64 = 10_000 * EPOCHS;
/// How long a VM must have run to trust that it was told of all programs that still go on.
const COPIES_COMPLETE: Duration = Duration::from_secs(5);
/// The key of the record that tells until when what was given without a record may have been
/// forgotten: the time of day in milliseconds.
const DOUBT_KEY: &str = "@doubt";
/// How long before the oldest VM began to run a partition must have been recorded last for an
/// outage of the store to have come between. VMs that all lose power are back after up to 2 s.
const OUTAGE: Duration = Duration::from_millis(2500);

/// Who has taken a partition last, as the store tells it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Owner {
    /// The record: where the VM is asked, and when it took the partition.
    record: Option<Bytes>,
    /// Where the partition ended when that was read.
    pub(crate) end: Offset,
}

impl Owner {
    /// Whether nobody has ever taken it.
    pub(crate) const fn is_none(&self) -> bool {
        self.record.is_none()
    }

    /// Where the VM is asked.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        let text = std::str::from_utf8(self.record.as_ref()?).ok()?;
        let (address, _taken_ms) = text.split_once(' ')?;
        address.parse().ok()
    }
}

impl Keeper {
    /// Who has taken a partition last.
    pub(crate) async fn owner(&self, number: u64) -> Result<Owner, Error> {
        let newest = self.store.read_latest(ALLOWANCE_TOPIC, number).await?;
        let mut records = newest.records.into_iter();
        let record = records.find(|record| record.key == OWNER_KEY);
        Ok(Owner {
            record: record.and_then(|record| record.value),
            end: newest.end,
        })
    }

    /// Takes a partition over: shuts out the writer before, then reads what it has recorded.
    ///
    /// With `as_of` only if nobody has written to the partition since it ended there. VMs that start together
    /// all read that nobody counts; without the condition each took the partition from the one before,
    /// 50 times for 24 partitions, and what was allowed counted as spent each time.
    pub(crate) async fn take(
        &self,
        number: u64,
        part: &Part,
        as_of: Option<Offset>,
        origin: Origin,
    ) -> Result<(), Error> {
        let _taking = part.taking.lock().await;
        if part.hold.get().is_some_and(|hold| hold.fenced) {
            return Ok(());
        }
        let began = (Instant::now(), clock::wall_ms());
        let hold = self.fence(number, as_of, origin).await?;
        part.confirmed.set(Some(began));
        let newest = self.read_records(number, part).await?;
        let kept = part.kept.take();
        let ledger = self.ledger(part, &newest.records, &kept);
        event!(
            info,
            "allowances_taken",
            part = number,
            epoch = hold.epoch,
            programs = ledger.len(),
            copies = kept.len(),
            oldest_ms = part.oldest_ms.get(),
            doubtful = ledger.is_incomplete()
        );
        // What the store has not taken yet must not be lost to the next VM.
        for (program, (allowed, _)) in kept {
            part.lack(&program, allowed);
        }
        // A copy may be older than the record, which would then be replaced by less than was given.
        let recorded = |key: &str| {
            let record = newest.records.iter().find(|record| record.key == key)?;
            record.value.as_ref().and_then(decode)
        };
        let mut pending = part.pending.borrow_mut();
        pending.retain(|key, allowed| recorded(key).is_none_or(|recorded| recorded < *allowed));
        drop(pending);
        part.lack(ALIVE_KEY, clock::wall_ms());
        part.ledger.replace(ledger);
        part.hold.set(Some(hold));
        part.successor.set(None);
        Ok(())
    }

    /// Raises the epoch of a partition's writer, so that the store refuses the one before.
    async fn fence(
        &self,
        number: u64,
        expected_end: Option<Offset>,
        origin: Origin,
    ) -> Result<Hold, Error> {
        let record = Bytes::from(format!("{} {}", self.address, clock::wall_ms()));
        let owner = [Record {
            key: OWNER_KEY.to_owned(),
            value: Some(record.clone()),
        }];
        let mut epoch = self.epoch();
        loop {
            let writer = Writer {
                expected_end,
                ..writer(epoch, 0)
            };
            let append = self
                .store
                .append_hedged(ALLOWANCE_TOPIC, number, &owner, Some(&writer));
            let mut done = append.await;
            // The answer may have been lost, and the partition ends later by this very record.
            if done == Err(Error::Conflict)
                && self.owner(number).await?.record == Some(record.clone())
            {
                done = Ok(());
            }
            match done {
                Ok(()) => {
                    return Ok(Hold {
                        epoch,
                        sequence: 1,
                        fenced: true,
                        origin,
                    });
                }
                Err(Error::Conflict) => return Err(Error::Conflict),
                // The clock of the VM before is ahead of this one's.
                Err(Error::Fenced) => epoch += EPOCH_STEP,
                Err(fault) => {
                    self.heard(false);
                    return Err(fault);
                }
            }
        }
    }

    /// Reads the records of a partition, and adds those that went through others to the copies.
    async fn read_records(&self, number: u64, part: &Part) -> Result<Latest, Error> {
        let detours = self
            .other_parts(number)
            .map(|other| self.store.read_latest(FALLBACK_ALLOWANCE_TOPIC, other));
        let (newest, detours) = tokio::join!(
            self.store.read_latest(ALLOWANCE_TOPIC, number),
            futures::future::join_all(detours),
        );
        self.heard(newest.is_ok());
        let newest = newest?;
        let detours = self.other_parts(number).into_iter().zip(&detours);
        let detours = detours.filter_map(|(other, newest)| Some((other, newest.as_ref().ok()?)));
        let detours = detours.flat_map(|(other, newest)| {
            let records = newest.records.iter();
            records.map(move |record| (other, record))
        });
        for (other, detour) in detours {
            let (Some(value), true) = (&detour.value, self.part_of(&detour.key) == number) else {
                continue;
            };
            part.detours
                .borrow_mut()
                .insert((other, detour.key.clone()));
            let mut kept = part.kept.borrow_mut();
            let known = kept.entry(detour.key.clone());
            let known = known.or_insert((0, Instant::now()));
            known.0 = decode(value).unwrap_or_default().max(known.0);
        }
        Ok(newest)
    }

    /// The accounts as the records and the copies tell them.
    fn ledger(
        &self,
        part: &Part,
        records: &[Record],
        kept: &HashMap<String, (u64, Instant)>,
    ) -> Ledger {
        let now = Instant::now();
        // What was adopted, or counted while the store was away, is known better than its records.
        let mut ledger = part.ledger.take();
        if part.hold.get().is_none() {
            let doubtful = ledger.is_incomplete();
            ledger = Ledger::default();
            if doubtful {
                ledger.mark_incomplete();
            }
        }
        let programs = records.iter();
        for record in programs.filter(|record| !record.key.starts_with(OURS)) {
            let allowed = record.value.as_ref().and_then(decode);
            ledger.restore(now, &record.key, allowed.unwrap_or_default());
        }
        for (program, (allowed, _)) in kept {
            ledger.restore(now, program, *allowed);
        }
        // Where nobody was asked, this VM has been told all by the one before.
        let oldest_ms = part.oldest_ms.get().max(self.up_ms());
        if is_doubtful(records, oldest_ms) {
            ledger.mark_incomplete();
            let until = clock::wall_ms() + u64::try_from(IDLE.as_millis()).unwrap_or(u64::MAX);
            part.lack(DOUBT_KEY, until);
        }
        ledger
    }

    /// Counts a partition while the store is away, from the copies that this VM was told.
    ///
    /// The VM that counted before may still live behind a partition of the network; it can't go
    /// beyond allowances that are durable or copied, and all of those are taken as spent here.
    pub(crate) fn take_from_copies(&self, number: u64, part: &Part) -> bool {
        let kept = part.kept.borrow();
        if kept.is_empty() || self.began.elapsed() < COPIES_COMPLETE {
            return false;
        }
        let mut ledger = Ledger::default();
        for (program, (allowed, _)) in kept.iter() {
            ledger.restore(Instant::now(), program, *allowed);
            // Which of them the store lacks is not known while it is away.
            part.lack(program, *allowed);
        }
        event!(
            warn,
            "allowances_taken_from_copies",
            part = number,
            programs = kept.len()
        );
        part.ledger.replace(ledger);
        part.hold.set(Some(Hold {
            epoch: self.epoch(),
            sequence: 0,
            fenced: false,
            // The one before does not answer.
            origin: Origin::Unresponsive(Instant::now()),
        }));
        true
    }

    /// An epoch that is higher than those before, and no other VM's: two writers of one epoch would
    /// not shut each other out.
    fn epoch(&self) -> u64 {
        clock::wall_ms() * EPOCHS + self.vm % EPOCHS
    }
}

/// Whether the VM that counted a partition may have given what no record and no live VM tells
/// of: it could not record for a while, and then all VMs were lost.
fn is_doubtful(records: &[Record], oldest_ms: u64) -> bool {
    let time = |key| {
        let record = records.iter().find(|record| record.key == key);
        record.and_then(|record| record.value.as_ref().and_then(decode))
    };
    let now = clock::wall_ms();
    let outage = u64::try_from(OUTAGE.as_millis()).unwrap_or(u64::MAX);
    let lost = time(ALIVE_KEY).is_some_and(|alive| alive + outage + oldest_ms < now);
    lost || time(DOUBT_KEY).is_some_and(|until| now < until)
}
