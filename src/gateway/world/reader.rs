//! Reads the directory at the store, on the VM that does so for the others.

use crate::gateway::world::health::Health;
use crate::gateway::world::relay::Relay;
use crate::gateway::world::state::{apply, whole};
use crate::id::Offset;
use crate::platform::records::DIRECTORY_TOPIC;
use crate::platform::store::{Fault, Store};
use crate::telemetry::event;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// After an outage servers whose records lapsed write them again, within about two seconds. Until
/// then a missing record says nothing of its server.
const RETURN: Duration = Duration::from_millis(2300);

/// What the reader remembers between two reads.
#[derive(Debug)]
pub(super) struct Reader {
    store: Store,
    health: Health,
    /// Where the next read begins; none where all records have to be read.
    next: Option<Offset>,
    /// Until when a record that was missing when the store came back says nothing. Then all are read once more.
    lenient_until: Option<Instant>,
    reading: bool,
    /// When the store was last back, as far as this has been acted on.
    back: Option<Instant>,
}

impl Reader {
    pub(super) fn new(store: SocketAddr) -> Self {
        Self {
            store: Store::new(store),
            health: Health::new("directory"),
            next: None,
            lenient_until: None,
            reading: false,
            back: None,
        }
    }

    /// Another VM reads again.
    pub(super) fn rest(&mut self) {
        if std::mem::take(&mut self.reading) {
            event!(info, "directory_reader", reads = false);
        }
    }

    /// Reads what is new. Gives false where the store did not answer.
    pub(super) async fn read(&mut self, relay: &Relay) -> bool {
        if !std::mem::replace(&mut self.reading, true) {
            event!(info, "directory_reader", reads = true);
            self.begin(relay);
        }
        // Others may have read on while the store did not answer this VM.
        let missed = !relay.is_fresh();
        let back = relay.store_back.get();
        if back > self.back {
            self.back = back;
            if missed {
                self.read_all_twice(back);
            }
        }
        let began = Instant::now();
        match self.read_new(relay).await {
            Ok(()) => {
                relay.aged(began);
                if self.health.good().is_some() && missed {
                    self.read_all_twice(Some(Instant::now()));
                }
                true
            }
            Err(Fault::Trimmed(_)) => {
                self.next = None;
                true
            }
            Err(fault) => {
                self.health.bad(&fault, &mut self.store).await;
                false
            }
        }
    }

    /// Goes on from what the VM that read before has passed on. It may have kept servers whose records were
    /// missing after an outage, so that all records are read again a little later.
    fn begin(&mut self, relay: &Relay) {
        self.next = relay.as_of();
        self.lenient_until = self.next.map(|_| Instant::now() + RETURN);
    }

    /// Reads all records now, and once more when servers have had the time to come back since then.
    fn read_all_twice(&mut self, back: Option<Instant>) {
        self.lenient_until = back.map(|back| back + RETURN);
        self.next = None;
    }

    async fn read_new(&mut self, relay: &Relay) -> Result<(), Fault> {
        let lenient = self
            .lenient_until
            .is_some_and(|until| Instant::now() < until);
        if self.lenient_until.is_some() && !lenient {
            self.lenient_until = None;
            // What is still missing now is gone.
            self.next = None;
        }
        let Some(mut from) = self.next else {
            let newest = self.store.newest(DIRECTORY_TOPIC, 0).await?;
            self.next = Some(newest.end);
            relay.replace(newest.end, |world| {
                let first = !world.listed;
                let changes = whole(world, &newest.records, lenient);
                if first {
                    // One line for all, not one for each of thousands.
                    event!(info, "directory_read", servers = world.directory.len());
                }
                changes
            });
            return Ok(());
        };
        loop {
            let page = self
                .store
                .read(DIRECTORY_TOPIC, 0, from, Duration::ZERO)
                .await?;
            from = page.next;
            self.next = Some(from);
            relay.update(from, |world| {
                let records = page.records.iter();
                let changes =
                    records.filter_map(|(at, record)| Some((*at, apply(world, record, false)?)));
                changes.collect()
            });
            if page.records.is_empty() || page.next >= page.end {
                return Ok(());
            }
        }
    }
}
