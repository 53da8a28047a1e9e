//! One queue for the servers of a service: the VM that holds it leases places to the others.
//!
//! Each VM alone sees a small part of what a server runs. With windows of their own, requests wait at the servers,
//! where no order can be kept, and programs are late long after a burst.

use crate::code::{Code, Failure};
use crate::gateway::peers::{Asked, Peer, Question, Reply};
use crate::gateway::queue::permit::{Held, Permit, Place, no_server, overloaded};
use crate::gateway::{Gateway, peers};
use crate::id::{self, rendezvous_score};
use crate::policy::dispatch::{Outcome, Request};
use crate::telemetry::event;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::future::ready;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

/// VMs that are asked for one place before this one decides alone.
const ASKED: usize = 2;
/// Places that are given back, since their server leaves or is not known here, before another VM is
/// asked: directories are at most half a second apart.
const UNUSABLE: usize = 3;
/// A VM holds a queue if it has at least the strongest one's processor time divided by this: each
/// request costs three datagrams there, up to 3,000 a second for all VMs of a deployment.
const STRONG: u64 = 2;
/// How long a lease goes on after its request must have ended: its end was told in a datagram
/// that was lost, or the VM has ended.
const OVERDUE: Duration = Duration::from_millis(300);

/// A place that another VM uses.
#[derive(Debug)]
struct Lease {
    permit: Permit,
    until: Instant,
}

/// What other VMs wait for and use.
#[derive(Debug, Default)]
pub(crate) struct Leases {
    waiting: RefCell<HashMap<Asked, oneshot::Sender<()>>>,
    granted: RefCell<HashMap<Asked, Lease>>,
}

impl Leases {
    /// A request is over, or waits no longer.
    pub(crate) fn end(&self, asked: &Asked, outcome: Outcome) {
        let waiting = self.waiting.borrow_mut().remove(asked);
        if let Some(waiting) = waiting {
            // It may have been granted in this very moment; then it is found below.
            let _ = waiting.send(());
        }
        let lease = self.granted.borrow_mut().remove(asked);
        if let Some(lease) = lease {
            lease.permit.end(outcome);
        }
    }

    fn server(&self, asked: &Asked) -> Option<Arc<str>> {
        let granted = self.granted.borrow();
        let lease = granted.get(asked)?;
        Some(Arc::clone(&lease.permit.server.id))
    }

    /// How many requests of other VMs wait and run.
    pub(crate) fn len(&self) -> (usize, usize) {
        (self.waiting.borrow().len(), self.granted.borrow().len())
    }
}

impl Gateway {
    /// The VMs that may hold the queue of a service, in this order; none where it is this one.
    fn holders(&self, service: &str) -> Vec<Peer> {
        let view = self.view.borrow();
        let key = format!("dispatch/{service}");
        let ready = view.members.values().filter(|member| member.ready);
        let strongest = ready.clone().map(|member| member.cores).max();
        let enough = id::Millicores(strongest.unwrap_or_default().0 / STRONG);
        let mut ranked: Vec<_> = ready
            .filter(|member| member.cores >= enough)
            .map(|member| (rendezvous_score(&key, member.vm.as_str()), member))
            .collect();
        ranked.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
        let before = ranked
            .into_iter()
            .take_while(|(_, member)| member.vm != self.settings.vm);
        let peers = before.map(|(_, member)| Peer {
            vm: member.vm.clone(),
            address: peers::address(member.address),
            ready: member.ready,
        });
        peers
            .filter(|peer| !self.peers.is_silent(peer.address))
            .take(ASKED)
            .collect()
    }

    /// Waits for leave to send a request, from the VM that holds the queue of its service.
    ///
    /// # Errors
    /// [`Code::NoServer`] where the service has no server, [`Code::Overloaded`] where no server will
    /// be free in time.
    pub(crate) async fn permit_shared(
        self: &Rc<Self>,
        ask: &mut Request,
    ) -> Result<Permit, Failure> {
        for peer in self.holders(&ask.service) {
            for _ in 0..UNUSABLE {
                match self.acquire(peer.address, ask).await {
                    None => break,
                    Some(Ok(permit)) => return Ok(permit),
                    Some(Err(Unusable::Failure(failure))) => return Err(failure),
                    Some(Err(Unusable::Server(server))) => ask.avoid.push(server),
                }
            }
        }
        self.permit(ask.clone()).await
    }

    /// Asks one VM for a place; none where it does not answer.
    async fn acquire(
        self: &Rc<Self>,
        peer: SocketAddr,
        ask: &Request,
    ) -> Option<Result<Permit, Unusable>> {
        let number = self.peers.number();
        let place = Place::new(Rc::clone(self), Held::There(peer, number));
        let question = Question::Place(ask.clone());
        let reply = self.peers.ask_as(number, peer, &question).await?;
        let server = match reply {
            Reply::Placed(server) => server,
            Reply::NoServer => return Some(Err(Unusable::Failure(no_server()))),
            Reply::Full { retry_ms } => {
                let failure = overloaded(Duration::from_millis(retry_ms));
                return Some(Err(Unusable::Failure(failure)));
            }
            _ => return None,
        };
        // Either VM may have heard later than the other that a server has come or leaves.
        let known = self.world.borrow().server(&server);
        Some(match known.filter(|entry| !entry.draining) {
            Some(entry) => Ok(Permit::new(place, entry)),
            None => Err(Unusable::Server(server)),
        })
    }

    /// Leases a place to another VM, as soon as there is one.
    pub(crate) async fn lease_to(self: &Rc<Self>, asked: Asked, ask: Request) -> Reply {
        if let Some(server) = self.leases.server(&asked) {
            // The answer before was lost.
            return Reply::Placed(server);
        }
        if !self.world.borrow().is_complete() {
            // It has just started: the VM that comes next knows the servers.
            return Reply::NotOwner;
        }
        let limit = Duration::from_millis(ask.max_wait_ms);
        let until = Instant::now() + limit + OVERDUE;
        let (cancel, cancelled) = oneshot::channel();
        self.leases.waiting.borrow_mut().insert(asked, cancel);
        let mut permit = pin!(self.permit(ask));
        let at_once = tokio::select! {
            biased;
            permit = &mut permit => Some(permit),
            () = ready(()) => None,
        };
        let permit = if let Some(permit) = at_once {
            permit
        } else {
            self.peers.tell_working(asked).await;
            tokio::select! {
                permit = &mut permit => permit,
                _ = cancelled => return Reply::NotOwner,
                () = sleep(limit) => {
                    self.leases.waiting.borrow_mut().remove(&asked);
                    return Reply::NotOwner;
                }
            }
        };
        self.leases.waiting.borrow_mut().remove(&asked);
        match permit {
            Ok(permit) => {
                let server = Arc::clone(&permit.server.id);
                let lease = Lease { permit, until };
                self.leases.granted.borrow_mut().insert(asked, lease);
                Reply::Placed(server)
            }
            Err(failure) if failure.code == Code::NoServer => Reply::NoServer,
            Err(failure) => Reply::Full {
                retry_ms: failure.retry_after_ms.unwrap_or_default(),
            },
        }
    }

    /// Takes places back whose request must have ended, or whose VM has gone.
    pub(crate) fn expire_leases(&self) {
        if self.leases.granted.borrow().is_empty() {
            return;
        }
        let view = self.view.borrow();
        let members: HashSet<SocketAddr> = view
            .members
            .values()
            .map(|member| peers::address(member.address))
            .collect();
        let now = Instant::now();
        let granted = self.leases.granted.borrow();
        let over = granted
            .iter()
            .filter(|((vm, _), lease)| lease.until <= now || !members.contains(vm));
        let over: Vec<Asked> = over.map(|(asked, _)| *asked).collect();
        drop(granted);
        if !over.is_empty() {
            event!(info, "places_taken_back", places = over.len());
        }
        for asked in over {
            self.leases.end(&asked, Outcome::Void);
        }
    }
}

/// Why a place can't be used.
enum Unusable {
    Failure(Failure),
    /// The server leaves, or is not known here.
    Server(Arc<str>),
}
