//! Reads the directory from the store, on the VM that does so on behalf of the others.

use crate::gateway::world::health::Health;
use crate::gateway::world::relay::Relay;
use crate::gateway::world::state::{apply_all, apply_record};
use crate::id::Offset;
use crate::platform::records::DIRECTORY_TOPIC;
use crate::platform::store::{Error, Latest, Store};
use crate::telemetry::event;
use std::time::Duration;
use tokio::time::Instant;

/// Time after a store outage in which servers renew expired records. Until then a missing record
/// does not mean that its server is gone.
const REREGISTRATION_TIMEOUT: Duration = Duration::from_millis(2300);

#[derive(Debug)]
pub(super) struct Reader {
    store: Store,
    health: Health,
    /// Offset of the next record to read; `None` to read the latest record of every server.
    next: Option<Offset>,
    /// Until this time servers without a record are kept; then all records are read again.
    keep_missing_until: Option<Instant>,
    active: bool,
    /// The last recovery of the store that has been acted on.
    handled_recovery: Option<Instant>,
}

impl Reader {
    pub(super) fn new(store: &Store) -> Self {
        Self {
            store: store.separate(),
            health: Health::new("directory"),
            next: None,
            keep_missing_until: None,
            active: false,
            handled_recovery: None,
        }
    }

    /// Stops reading, since another VM reads on behalf of this one.
    pub(super) fn deactivate(&mut self) {
        if std::mem::take(&mut self.active) {
            event!(info, "directory_reader", reads = false);
        }
    }

    /// Reads new records. Returns false if the store did not answer.
    pub(super) async fn read(&mut self, relay: &Relay) -> bool {
        if !std::mem::replace(&mut self.active, true) {
            event!(info, "directory_reader", reads = true);
            self.activate(relay);
        }
        // False if other VMs kept the directory up to date while the store did not answer this one.
        let outdated = !relay.is_fresh();
        let recovered = relay.store_back.get();
        if recovered > self.handled_recovery {
            self.handled_recovery = recovered;
            if outdated {
                self.read_all_twice(recovered);
            }
        }
        let started = Instant::now();
        match self.read_pending(relay).await {
            Ok(()) => {
                relay.aged(started);
                if self.health.record_success().is_some() && outdated {
                    self.read_all_twice(Some(Instant::now()));
                }
                true
            }
            Err(Error::Trimmed(_)) => {
                self.next = None;
                true
            }
            Err(error) => {
                self.health.record_failure(&error, &mut self.store).await;
                false
            }
        }
    }

    /// Continues at the offset of the previous reader. That reader may have kept servers without a
    /// record after an outage, so all records are read again later.
    fn activate(&mut self, relay: &Relay) {
        self.next = relay.as_of();
        self.keep_missing_until = self.next.map(|_| Instant::now() + REREGISTRATION_TIMEOUT);
    }

    /// Schedules a read of all records now, and another one when servers have had time to register
    /// again since the recovery of the store.
    fn read_all_twice(&mut self, recovered: Option<Instant>) {
        self.keep_missing_until = recovered.map(|recovered| recovered + REREGISTRATION_TIMEOUT);
        self.next = None;
    }

    async fn read_pending(&mut self, relay: &Relay) -> Result<(), Error> {
        let now = Instant::now();
        // Servers could not renew their registrations at a store that was slow or silent.
        let store_health = self.store.observer().health();
        let keep_missing = !store_health.is_healthy_for(now, REREGISTRATION_TIMEOUT)
            || self.keep_missing_until.is_some_and(|until| now < until);
        if self.keep_missing_until.is_some() && !keep_missing {
            self.keep_missing_until = None;
            // Reads all records again; servers that are still missing are removed.
            self.next = None;
        }
        let Some(mut from) = self.next else {
            if keep_missing {
                let until = now + REREGISTRATION_TIMEOUT;
                self.keep_missing_until = self.keep_missing_until.max(Some(until));
            }
            let latest = self.store.read_latest(DIRECTORY_TOPIC, 0).await?;
            self.next = Some(latest.end);
            replace_all(relay, &latest, keep_missing);
            return Ok(());
        };
        loop {
            let page = self
                .store
                .read(DIRECTORY_TOPIC, 0, from, Duration::ZERO)
                .await?;
            from = page.next;
            self.next = Some(from);
            relay.update(from, |routing| {
                let records = page.records.iter();
                let changes = records
                    .filter_map(|(at, record)| Some((*at, apply_record(routing, record, false)?)));
                changes.collect()
            });
            if page.records.is_empty() || page.next >= page.end {
                return Ok(());
            }
        }
    }
}

/// Replaces the directory by the latest records of all servers. Servers without a record stay if `keep_missing` is set.
pub(super) fn replace_all(relay: &Relay, latest: &Latest, keep_missing: bool) {
    relay.replace(latest.end, |routing| {
        let initial = !routing.directory_loaded;
        let changes = apply_all(routing, &latest.records, keep_missing);
        if initial {
            // Replaces one log line per server.
            event!(info, "directory_read", servers = routing.directory.len());
        }
        changes
    });
}
