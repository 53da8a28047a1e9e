//! Leave to send one request to one backend server.

use super::Gateway;
use super::directory::{Directory, Entry, Id};
use super::feed::World;
use crate::code::{Code, Failure};
use crate::policy::dispatch::{Ask, Description, Dispatcher, Outcome, Ticket, Verdict};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
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
    waiters: RefCell<HashMap<Ticket, oneshot::Sender<Id>>>,
    tickets: Cell<u64>,
}

impl Desk {
    /// Takes in the directory.
    pub(crate) fn configure(&self, directory: &Directory) {
        let descriptions = directory.iter().map(|entry| Description {
            id: Id::clone(&entry.id),
            service: entry.service.as_str().into(),
            zone: entry.zone.as_str().into(),
            slots: entry.slots,
            leaving: entry.draining,
        });
        self.dispatcher.borrow_mut().configure(descriptions);
        self.grant();
    }

    /// Requests that wait and requests that run at each server, by service.
    pub(crate) fn state(&self) -> serde_json::Value {
        self.dispatcher.borrow().state()
    }

    fn grant(&self) {
        let granted = self.dispatcher.borrow_mut().grant(Instant::now());
        for (ticket, server) in granted {
            let Some(waiter) = self.waiters.borrow_mut().remove(&ticket) else {
                continue;
            };
            if waiter.send(server).is_err() {
                // Its caller has left; the guard of the wait gives the place back.
            }
        }
    }

    fn done(&self, ticket: Ticket, outcome: Outcome) {
        self.dispatcher
            .borrow_mut()
            .done(Instant::now(), ticket, outcome);
        self.waiters.borrow_mut().remove(&ticket);
        self.grant();
    }

    /// Grants what a rested server can take again.
    pub(crate) fn tick(&self) {
        let next = self.dispatcher.borrow().next();
        if next.is_some_and(|next| next <= Instant::now()) {
            self.grant();
        }
    }
}

/// A place in the window of a server, or in the queue before it. Dropping it gives it back.
#[derive(Debug)]
struct Place {
    gateway: Rc<Gateway>,
    ticket: Ticket,
    outcome: Cell<Outcome>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.gateway.desk.done(self.ticket, self.outcome.get());
    }
}

/// Leave to send one request to one server.
#[derive(Debug)]
pub(crate) struct Permit {
    place: Place,
    pub(crate) server: Arc<Entry>,
}

impl Permit {
    /// Tells how the request ended; without it nothing is learned.
    pub(crate) fn end(self, outcome: Outcome) {
        self.place.outcome.set(outcome);
    }
}

impl Gateway {
    /// Waits for leave to send a request.
    ///
    /// # Errors
    /// [`Code::NoServer`] where the service has no server.
    pub(crate) async fn permit(self: &Rc<Self>, ask: Ask) -> Result<Permit, Failure> {
        loop {
            let ticket = Ticket(self.desk.tickets.get());
            self.desk.tickets.set(ticket.0 + 1);
            let verdict =
                self.desk
                    .dispatcher
                    .borrow_mut()
                    .ask(Instant::now(), ticket, ask.clone());
            let place = Place {
                gateway: Rc::clone(self),
                ticket,
                outcome: Cell::new(Outcome::Void),
            };
            let server = match verdict {
                Verdict::Granted(server) => server,
                Verdict::NoServer => return Err(no_server()),
                Verdict::Waiting => {
                    let (waiter, granted) = oneshot::channel();
                    self.desk.waiters.borrow_mut().insert(ticket, waiter);
                    granted.await.map_err(|_| no_server())?
                }
            };
            let known = self.world.borrow().server(&server);
            if let Some(server) = known {
                return Ok(Permit { place, server });
            }
        }
    }
}

impl World {
    /// A registered server.
    pub(crate) fn server(&self, id: &Id) -> Option<Arc<Entry>> {
        self.directory.get(id).map(Arc::clone)
    }
}

fn no_server() -> Failure {
    Failure::refused(Code::NoServer, "the service has no server now").retry_after(NO_SERVER)
}
