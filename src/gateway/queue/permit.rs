//! Permits to send one request to one backend server.

use crate::code::{Code, Failure};
use crate::gateway::Gateway;
use crate::gateway::front::metrics::Metrics;
use crate::gateway::peers::Note;
use crate::gateway::queue::reports::Exchange;
use crate::gateway::world::directory::{Change, Directory, Entry, Instance};
use crate::gateway::world::state::Routing;
use crate::gateway::world::table::Table;
use crate::id;
use crate::policy::dispatch::{
    Description, Dispatcher, LATE_REQUEST_RETRY_AFTER, Load, Outcome, Placement, Request, Tick,
};
use crate::policy::stream_versions::Rollouts;
use crate::policy::{affinity, load_share};
use crate::telemetry::event;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::Instant;

/// `Retry-After` for a service without servers; about the time in which a replacement registers.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Hosts change several times a second, so that a line for each change would tell nothing.
const PACE_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// The dispatcher of this VM, and the requests that wait for it.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    pub(super) dispatcher: RefCell<Dispatcher>,
    /// Notifies a waiting request of its server, or with `None` that it was refused.
    waiters: RefCell<HashMap<id::Permit, oneshot::Sender<Option<Instance>>>>,
    next_permit: Cell<u64>,
    pace_logged_at: Cell<Option<Instant>>,
    /// Exchange of load reports with other VMs.
    pub(crate) exchange: Exchange,
    /// Software versions of the servers that the dispatcher has.
    pub(crate) rollouts: RefCell<Rollouts>,
    /// Directory entries of the servers that the dispatcher has, by server name.
    entries: RefCell<HashMap<Arc<str>, Arc<Entry>>>,
    /// Since when this VM knows of each draining server that it drains.
    leaving: RefCell<HashMap<Instance, Instant>>,
    /// Requests of services without an engine that are already counted in the metrics.
    reported_plain: RefCell<HashMap<String, (affinity::Counts, load_share::Counts)>>,
}

/// Instances of servers that changes of the directory removed and added.
#[derive(Debug, Default)]
pub(crate) struct Turnover {
    /// Those that left unannounced: removed, replaced under their name or at their address, and not draining.
    pub(crate) left: Vec<Instance>,
    pub(crate) joined: Vec<Instance>,
}

impl Turnover {
    /// Adds a change to a directory of `others` and, before the change, `previous`.
    fn add(
        &mut self,
        others: &HashMap<Arc<str>, Arc<Entry>>,
        previous: Option<&Entry>,
        change: &Change,
    ) {
        let new = match change {
            Change::Set(entry) => Some(entry),
            Change::Removed(_) => None,
        };
        let is_same = previous.zip(new).is_some_and(|(old, new)| old.id == new.id);
        if is_same {
            return;
        }
        let at_its_address = others
            .values()
            .filter(|other| new.is_some_and(|new| new.address == other.address));
        let left = at_its_address.map(Arc::as_ref).chain(previous);
        let left = left.filter(|entry| !entry.draining);
        self.left.extend(left.map(|entry| Arc::clone(&entry.id)));
        self.joined.extend(new.map(|entry| Arc::clone(&entry.id)));
    }
}

fn describe(entry: &Entry, table: Option<&Table>) -> Description {
    let service = table.and_then(|table| table.services.get(&entry.service));
    let engine = service.and_then(|service| service.engine.as_ref());
    Description {
        id: Instance::clone(&entry.id),
        service: entry.service.as_str().into(),
        zone: entry.zone.as_str().into(),
        version: Arc::clone(&entry.version),
        slots: entry.slots,
        cache_tokens: engine.map_or(0, |engine| engine.cache_tokens),
        draining: entry.draining,
    }
}

impl Queue {
    /// Replaces the servers by those of a directory, with the service settings of `table`.
    ///
    /// Returns what that changed.
    pub(crate) fn configure(&self, directory: &Directory, table: Option<&Table>) -> Turnover {
        let descriptions = directory.iter().map(|entry| describe(entry, table));
        let plain = table.into_iter().flat_map(|table| {
            let services = table.services.iter();
            services.filter(|(_, service)| service.engine.is_none())
        });
        let plain = plain.map(|(name, _)| Arc::from(name.as_str()));
        let engines = table.into_iter().flat_map(|table| &table.services);
        let tokens_per_event = engines.filter_map(|(service, settings)| {
            let engine = settings.engine.as_ref()?;
            Some((service.as_str().into(), engine.tokens_per_event))
        });
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.set_servers(descriptions);
        dispatcher.set_tokens_per_event(tokens_per_event);
        dispatcher.set_plain_services(plain);
        drop(dispatcher);
        let versions = directory
            .iter()
            .map(|entry| (entry.service.as_str(), &entry.version));
        self.rollouts.borrow_mut().replace(Instant::now(), versions);
        let entries = directory
            .iter()
            .map(|entry| (Arc::clone(&entry.name), Arc::clone(entry)));
        let previous = self.entries.replace(entries.collect());
        let draining = directory.iter().filter(|entry| entry.draining);
        let mut leaving = self.leaving.borrow_mut();
        let draining = draining.map(|entry| {
            let since = leaving.get(&entry.id).copied();
            let since = since.unwrap_or_else(Instant::now);
            (Instance::clone(&entry.id), since)
        });
        *leaving = draining.collect();
        drop(leaving);
        self.grant_waiting();
        let is_left = |entry: &&Arc<Entry>| directory.get(&entry.id).is_none() && !entry.draining;
        let left = previous.values().filter(is_left);
        Turnover {
            left: left.map(|entry| Arc::clone(&entry.id)).collect(),
            joined: Vec::new(),
        }
    }

    /// Applies changes of the directory under an unchanged configuration. Returns which servers left and joined by them.
    pub(crate) fn apply_changes(&self, changes: &[Change], table: Option<&Table>) -> Turnover {
        let mut turnover = Turnover::default();
        let mut entries = self.entries.borrow_mut();
        let mut dispatcher = self.dispatcher.borrow_mut();
        let mut rollouts = self.rollouts.borrow_mut();
        let now = Instant::now();
        for change in changes {
            let previous = entries.remove(change.name());
            let new = match change {
                Change::Set(entry) => Some(&**entry),
                Change::Removed(_) => None,
            };
            self.note_leaving(previous.as_deref(), new, now);
            turnover.add(&entries, previous.as_deref(), change);
            // Added before the previous one is removed, so that an update does not look like a change of version.
            if let Change::Set(entry) = change {
                rollouts.add(now, &entry.service, &entry.version);
            }
            if let Some(previous) = &previous {
                rollouts.remove(now, &previous.service, &previous.version);
            }
            let Change::Set(entry) = change else {
                if let Some(previous) = previous {
                    dispatcher.remove_server(&previous.service, &previous.id);
                }
                continue;
            };
            let same_server = |previous: &Arc<Entry>| {
                previous.id == entry.id && previous.service == entry.service
            };
            if let Some(previous) = previous.filter(|previous| !same_server(previous)) {
                dispatcher.remove_server(&previous.service, &previous.id);
            }
            dispatcher.update_server(describe(entry, table));
            entries.insert(Arc::clone(&entry.name), Arc::clone(entry));
        }
        drop((entries, dispatcher, rollouts));
        self.grant_waiting();
        turnover
    }

    /// Notes whether a server has begun to drain.
    fn note_leaving(&self, previous: Option<&Entry>, new: Option<&Entry>, now: Instant) {
        let mut leaving = self.leaving.borrow_mut();
        let since = previous.and_then(|entry| leaving.remove(&entry.id));
        if let Some(new) = new.filter(|entry| entry.draining) {
            let is_same = previous.is_some_and(|entry| entry.id == new.id);
            let since = since.filter(|_| is_same).unwrap_or(now);
            leaving.insert(Instance::clone(&new.id), since);
        }
    }

    /// Time since a draining server was first seen to drain; zero if the queue does not know that yet.
    pub(crate) fn leaving_for(&self, server: &Instance) -> Duration {
        let leaving = self.leaving.borrow();
        leaving.get(server).map_or(Duration::ZERO, Instant::elapsed)
    }

    /// Waiting requests and requests in flight at each server, by service.
    pub(crate) fn state(&self) -> serde_json::Value {
        self.dispatcher.borrow().state()
    }

    fn grant_waiting(&self) {
        let granted = self.dispatcher.borrow_mut().grant(Instant::now());
        for (permit, server) in granted {
            self.notify(permit, Some(server));
        }
    }

    /// Notifies a waiting request of its server, or with `None` that it was refused.
    fn notify(&self, permit: id::Permit, server: Option<Instance>) {
        let Some(waiter) = self.waiters.borrow_mut().remove(&permit) else {
            return;
        };
        if waiter.send(server).is_err() {
            // The caller has disconnected; the `SlotGuard` releases the slot.
        }
    }

    fn release(&self, permit: id::Permit, outcome: Outcome) {
        self.dispatcher
            .borrow_mut()
            .finish(Instant::now(), permit, outcome);
        self.waiters.borrow_mut().remove(&permit);
        self.grant_waiting();
    }

    /// Logs the load of the services that have waiting requests.
    pub(crate) fn log_waiting(&self) {
        for load in self.dispatcher.borrow().queue_stats(Instant::now()) {
            event!(
                info,
                "requests_wait",
                service = load.service,
                in_time = load.on_time,
                late = load.late,
                past = load.overdue,
                running = load.running,
                places = load.usable_slots,
                per_second = load.grants_per_second,
                programs = load.admitted_programs,
                needs = format!("{:.2?}", load.slots_per_program),
                reserved = load.reserved_slots,
                programs_wait = load.waiting_programs,
                shares = load.waiting_flows
            );
        }
    }

    /// Counts and logs how requests of services without an engine were placed since the previous
    /// call.
    pub(crate) fn report_plain_placement(&self, metrics: &Metrics) {
        let mut reported = self.reported_plain.borrow_mut();
        for (service, by_object, by_load) in self.dispatcher.borrow().plain_counts() {
            let (object, load) = reported.get(service).copied().unwrap_or_default();
            if (by_object, by_load) == (object, load) {
                continue;
            }
            let first = by_object.first.saturating_sub(object.first);
            let later = by_object.later.saturating_sub(object.later);
            let open = by_load.open.saturating_sub(load.open);
            let new = by_load.new.saturating_sub(load.new);
            for (choice, requests) in [
                ("object_first", first),
                ("object_later", later),
                ("load_open", open),
                ("load_new", new),
            ] {
                metrics.count_plain_choices(choice, requests);
            }
            if later + new > 0 {
                event!(
                    info,
                    "plain_placed",
                    service = service,
                    object_first = first,
                    object_later = later,
                    load_open = open,
                    load_new = new
                );
            }
            reported.insert(service.to_owned(), (by_object, by_load));
        }
    }

    /// Records the pace of hosts in the metrics, and logs it every [`PACE_LOG_INTERVAL`].
    pub(crate) fn record_pace(&self, metrics: &Metrics) {
        let now = Instant::now();
        let is_due = |at: Instant| at + PACE_LOG_INTERVAL <= now;
        let logs = self.pace_logged_at.get().is_none_or(is_due);
        for pace in self.dispatcher.borrow().pace_stats(now) {
            metrics.record_pace(&pace);
            if logs {
                self.pace_logged_at.set(Some(now));
                event!(
                    info,
                    "hosts_pace",
                    service = pace.service,
                    servers = pace.servers,
                    slow = pace.slow,
                    distrusted = pace.distrusted,
                    mean_pace = format!("{:.2}", pace.mean_pace),
                    waits = pace.waits,
                    fullest_memory = format!("{:.2}", pace.fullest_memory),
                    memory_waits = pace.memory_waits
                );
            }
        }
    }

    /// Programs that wait to be admitted in the order of shares, at all services.
    pub(crate) fn waiting_programs(&self) -> usize {
        let dispatcher = self.dispatcher.borrow();
        let loads = dispatcher.queue_stats(Instant::now());
        loads.map(|load| load.waiting_programs).sum()
    }

    /// Grants slots at servers that recovered, and refuses requests that waited too long.
    pub(crate) fn tick(&self) {
        let Tick { granted, timed_out } = self.dispatcher.borrow_mut().tick(Instant::now());
        for (permit, server) in granted {
            self.notify(permit, Some(server));
        }
        for permit in timed_out {
            self.notify(permit, None);
        }
    }
}

/// The VM whose dispatcher counts a slot.
#[derive(Debug, Clone, Copy)]
pub(crate) enum SlotOwner {
    Local(id::Permit),
    /// Another VM; the number is that of the question sent to it.
    Remote(SocketAddr, u64),
}

/// A slot at a server, or a position in the queue for one. Dropping it releases it.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    gateway: Rc<Gateway>,
    owner: SlotOwner,
    outcome: Cell<Outcome>,
}

impl SlotGuard {
    pub(crate) const fn new(gateway: Rc<Gateway>, owner: SlotOwner) -> Self {
        Self {
            gateway,
            owner,
            outcome: Cell::new(Outcome::Void),
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let outcome = self.outcome.get();
        match self.owner {
            SlotOwner::Local(permit) => self.gateway.queue.release(permit, outcome),
            SlotOwner::Remote(peer, number) => {
                let gateway = Rc::clone(&self.gateway);
                let note = Note::Left { number, outcome };
                tokio::task::spawn_local(async move { gateway.peers.notify(peer, note).await });
            }
        }
    }
}

/// Permission to send one request to one server; dropping it releases the slot.
#[derive(Debug)]
pub(crate) struct Permit {
    slot: SlotGuard,
    pub(crate) server: Arc<Entry>,
}

impl Permit {
    pub(crate) const fn new(slot: SlotGuard, server: Arc<Entry>) -> Self {
        Self { slot, server }
    }

    /// Passes the load in the head of a response on to the dispatcher, before the response ends.
    pub(crate) fn report_load(&self, load: Load) {
        let gateway = &self.slot.gateway;
        match self.slot.owner {
            SlotOwner::Local(permit) => {
                let mut dispatcher = gateway.queue.dispatcher.borrow_mut();
                dispatcher.report(Instant::now(), permit, load);
            }
            SlotOwner::Remote(peer, number) => {
                let (gateway, note) = (Rc::clone(gateway), Note::Load { number, load });
                tokio::task::spawn_local(async move { gateway.peers.notify(peer, note).await });
            }
        }
    }

    /// The other VM whose queue granted the slot.
    pub(crate) const fn lessor(&self) -> Option<SocketAddr> {
        match self.slot.owner {
            SlotOwner::Local(_) => None,
            SlotOwner::Remote(vm, _) => Some(vm),
        }
    }

    /// Releases the slot and reports the outcome, from which the dispatcher learns.
    pub(crate) fn release(self, outcome: Outcome) {
        self.slot.outcome.set(outcome);
    }
}

impl Gateway {
    /// Waits for a permit from this VM's own dispatcher.
    ///
    /// # Errors
    /// [`Code::NoServer`] if the service has no server, [`Code::Overloaded`] if none will be free in
    /// time.
    pub(crate) async fn acquire_local_permit(
        self: &Rc<Self>,
        request: Request,
    ) -> Result<Permit, Failure> {
        loop {
            let permit = id::Permit(self.queue.next_permit.get());
            self.queue.next_permit.set(permit.0 + 1);
            let now = Instant::now();
            if self.queue.dispatcher.borrow().is_too_large(now, &request) {
                return Err(too_large());
            }
            let placement =
                self.queue
                    .dispatcher
                    .borrow_mut()
                    .request(now, permit, request.clone());
            let slot = SlotGuard::new(Rc::clone(self), SlotOwner::Local(permit));
            let server = match placement {
                Placement::Granted(server) => server,
                Placement::NoServer => return Err(no_server()),
                Placement::Refused(retry_after) => return Err(overloaded(retry_after)),
                Placement::Waiting => {
                    let (waiter, grant) = oneshot::channel();
                    self.queue.waiters.borrow_mut().insert(permit, waiter);
                    let server = grant.await.map_err(|_| no_server())?;
                    server.ok_or_else(|| overloaded(LATE_REQUEST_RETRY_AFTER))?
                }
            };
            let entry = self.routing.borrow().server(&server);
            if let Some(server) = entry {
                return Ok(Permit { slot, server });
            }
            // It has left the directory. The queue learns that on this thread.
            yield_now().await;
        }
    }
}

impl Routing {
    pub(crate) fn server(&self, id: &Instance) -> Option<Arc<Entry>> {
        self.directory.get(id).map(Arc::clone)
    }
}

/// The failure of a request for which no server will be free in time.
pub(crate) fn overloaded(retry_after: Duration) -> Failure {
    let failure = Failure::refused(
        Code::Overloaded,
        "no server will be free before the deadline",
    );
    failure.retry_after(retry_after)
}

/// The failure of a request whose prompt no engine can hold.
pub(crate) fn too_large() -> Failure {
    Failure::refused(
        Code::RequestTooLarge,
        "the prompt exceeds the memory of every engine",
    )
}

pub(crate) fn no_server() -> Failure {
    Failure::refused(Code::NoServer, "the service has no registered server")
        .retry_after(NO_SERVER_RETRY_AFTER)
}
