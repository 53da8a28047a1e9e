//! Leave to send one request to one backend server.

use crate::code::{Code, Failure};
use crate::gateway::Gateway;
use crate::gateway::peers::Note;
use crate::gateway::world::directory::{Change, Directory, Entry, Instance};
use crate::gateway::world::state::Routing;
use crate::gateway::world::table::Table;
use crate::id;
use crate::policy::dispatch::{
    Description, Dispatcher, LATE_REQUEST_RETRY_AFTER, Outcome, Placement, Request, Tick,
};
use crate::telemetry::event;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// When a caller may come back whose service has no server: a replaced one takes about as long to
/// register.
const NO_SERVER: Duration = Duration::from_millis(400);

/// The windows of the backend servers, and the requests that wait.
#[derive(Debug, Default)]
pub(crate) struct Desk {
    dispatcher: RefCell<Dispatcher>,
    waiters: RefCell<HashMap<id::Permit, oneshot::Sender<Option<Instance>>>>,
    numbers: Cell<u64>,
    /// The servers that the windows are of, by name.
    known: RefCell<HashMap<Arc<str>, Arc<Entry>>>,
}

fn describe(entry: &Entry, table: Option<&Table>) -> Description {
    let service = table.and_then(|table| table.services.get(&entry.service));
    let engine = service.and_then(|service| service.engine.as_ref());
    Description {
        id: Instance::clone(&entry.id),
        service: entry.service.as_str().into(),
        zone: entry.zone.as_str().into(),
        slots: entry.slots,
        cache_tokens: engine.map_or(0, |engine| engine.cache_tokens),
        draining: entry.draining,
    }
}

impl Desk {
    /// Takes in the directory, and what the configuration says of its services.
    pub(crate) fn configure(&self, directory: &Directory, table: Option<&Table>) {
        let descriptions = directory.iter().map(|entry| describe(entry, table));
        self.dispatcher.borrow_mut().set_servers(descriptions);
        let known = directory
            .iter()
            .map(|entry| (Arc::clone(&entry.name), Arc::clone(entry)));
        *self.known.borrow_mut() = known.collect();
        self.grant();
    }

    /// Takes in changes of the directory, under the same configuration.
    pub(crate) fn change(&self, changes: &[Change], table: Option<&Table>) {
        let mut known = self.known.borrow_mut();
        let mut dispatcher = self.dispatcher.borrow_mut();
        for change in changes {
            let before = known.remove(change.name());
            let Change::Set(entry) = change else {
                if let Some(before) = before {
                    dispatcher.remove_server(&before.service, &before.id);
                }
                continue;
            };
            let same =
                |before: &Arc<Entry>| before.id == entry.id && before.service == entry.service;
            if let Some(before) = before.filter(|before| !same(before)) {
                dispatcher.remove_server(&before.service, &before.id);
            }
            dispatcher.update_server(describe(entry, table));
            known.insert(Arc::clone(&entry.name), Arc::clone(entry));
        }
        drop((known, dispatcher));
        self.grant();
    }

    /// Requests that wait and requests that run at each server, by service.
    pub(crate) fn state(&self) -> serde_json::Value {
        self.dispatcher.borrow().state()
    }

    fn grant(&self) {
        let granted = self.dispatcher.borrow_mut().grant(Instant::now());
        for (permit, server) in granted {
            self.tell(permit, Some(server));
        }
    }

    /// Tells a request that waits where it may go, or that it is given up.
    fn tell(&self, permit: id::Permit, server: Option<Instance>) {
        let Some(waiter) = self.waiters.borrow_mut().remove(&permit) else {
            return;
        };
        if waiter.send(server).is_err() {
            // Its caller has left; the guard of the wait gives the place back.
        }
    }

    fn done(&self, number: id::Permit, outcome: Outcome) {
        self.dispatcher
            .borrow_mut()
            .finish(Instant::now(), number, outcome);
        self.waiters.borrow_mut().remove(&number);
        self.grant();
    }

    /// Tells of the services for which requests wait.
    pub(crate) fn log(&self) {
        for crowd in self.dispatcher.borrow().queue_stats(Instant::now()) {
            event!(
                info,
                "requests_wait",
                service = crowd.service,
                in_time = crowd.on_time,
                late = crowd.late,
                past = crowd.overdue,
                running = crowd.running,
                places = crowd.usable_slots,
                per_second = crowd.grants_per_second,
                programs = crowd.admitted_programs,
                needs = format!("{:.2?}", crowd.slots_per_program)
            );
        }
    }

    /// Grants what a rested server can take again, and gives up what has waited in vain.
    pub(crate) fn tick(&self) {
        let Tick { granted, timed_out } = self.dispatcher.borrow_mut().tick(Instant::now());
        for (permit, server) in granted {
            self.tell(permit, Some(server));
        }
        for permit in timed_out {
            self.tell(permit, None);
        }
    }
}

/// Where a place is kept.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Held {
    /// In the windows of this VM.
    Here(id::Permit),
    /// In those of another VM, under the number of the question for it.
    There(SocketAddr, u64),
}

/// A place in the window of a server, or in the queue before it. Dropping it gives it back.
#[derive(Debug)]
pub(crate) struct Place {
    gateway: Rc<Gateway>,
    held: Held,
    outcome: Cell<Outcome>,
}

impl Place {
    pub(crate) const fn new(gateway: Rc<Gateway>, held: Held) -> Self {
        Self {
            gateway,
            held,
            outcome: Cell::new(Outcome::Void),
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let outcome = self.outcome.get();
        match self.held {
            Held::Here(permit) => self.gateway.desk.done(permit, outcome),
            Held::There(peer, number) => {
                let gateway = Rc::clone(&self.gateway);
                let note = Note::Left { number, outcome };
                tokio::task::spawn_local(async move { gateway.peers.tell(peer, note).await });
            }
        }
    }
}

/// Leave to send one request to one server.
#[derive(Debug)]
pub(crate) struct Permit {
    place: Place,
    pub(crate) server: Arc<Entry>,
}

impl Permit {
    pub(crate) const fn new(place: Place, server: Arc<Entry>) -> Self {
        Self { place, server }
    }

    /// Tells how the request ended; without it nothing is learned.
    pub(crate) fn end(self, outcome: Outcome) {
        self.place.outcome.set(outcome);
    }
}

impl Gateway {
    /// Waits for leave to send a request, from the windows that this VM holds.
    ///
    /// # Errors
    /// [`Code::NoServer`] where the service has no server, [`Code::Overloaded`] where no server will
    /// be free in time.
    pub(crate) async fn permit(self: &Rc<Self>, ask: Request) -> Result<Permit, Failure> {
        loop {
            let permit = id::Permit(self.desk.numbers.get());
            self.desk.numbers.set(permit.0 + 1);
            let now = Instant::now();
            let verdict = self
                .desk
                .dispatcher
                .borrow_mut()
                .request(now, permit, ask.clone());
            let place = Place::new(Rc::clone(self), Held::Here(permit));
            let server = match verdict {
                Placement::Granted(server) => server,
                Placement::NoServer => return Err(no_server()),
                Placement::Refused(back) => return Err(overloaded(back)),
                Placement::Waiting => {
                    let (waiter, granted) = oneshot::channel();
                    self.desk.waiters.borrow_mut().insert(permit, waiter);
                    let granted = granted.await.map_err(|_| no_server())?;
                    granted.ok_or_else(|| overloaded(LATE_REQUEST_RETRY_AFTER))?
                }
            };
            let known = self.world.borrow().server(&server);
            if let Some(server) = known {
                return Ok(Permit { place, server });
            }
        }
    }
}

impl Routing {
    /// A registered server.
    pub(crate) fn server(&self, id: &Instance) -> Option<Arc<Entry>> {
        self.directory.get(id).map(Arc::clone)
    }
}

/// A request that would wait in vain.
pub(crate) fn overloaded(back: Duration) -> Failure {
    let failure = Failure::refused(Code::Overloaded, "no server will be free in time");
    failure.retry_after(back)
}

pub(crate) fn no_server() -> Failure {
    Failure::refused(Code::NoServer, "the service has no server now").retry_after(NO_SERVER)
}
