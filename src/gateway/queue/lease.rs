//! One queue per service, shared by all VMs: the VM that owns it leases slots to the others.
//!
//! With a queue on each VM, no VM knows the load of a server, so requests would queue at the servers, where they
//! can't be prioritized.

use crate::code::{Code, Failure};
use crate::gateway::peers::{Peer, Question, Reply, ReplyAddress};
use crate::gateway::queue::permit::{
    Permit, SlotGuard, SlotOwner, no_server, overloaded, too_large,
};
use crate::gateway::server::ends::news;
use crate::gateway::server::exposure::servers_ended;
use crate::gateway::world::directory::Entry;
use crate::gateway::{Gateway, peers};
use crate::id::{self, rendezvous_score};
use crate::policy::dispatch::{Load, Outcome, Request};
use crate::policy::server_ends::{Try, What};
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

/// Maximum VMs asked for a slot before this VM falls back to its own queue.
const MAX_OWNERS_ASKED: usize = 2;
/// Maximum slots rejected because their server is draining or unknown here, before the next VM is
/// asked. Directories of two VMs are at most half a second apart.
const MAX_REJECTED_SLOTS: usize = 3;
/// VMs that are told of attempts at the servers of a service: the owner of its queue, and those that may follow it.
const QUEUE_CANDIDATES: usize = 3;
/// A VM may own a queue if it has at least the processor time of the largest VM divided by this, since
/// the owner handles the datagrams of all VMs.
pub(super) const MIN_CORES_DIVISOR: u64 = 2;
/// How long a lease outlives the request's time limit, if no release message arrives.
const LEASE_GRACE: Duration = Duration::from_millis(300);

/// A slot in use by another VM.
#[derive(Debug)]
struct Lease {
    permit: Permit,
    /// The attempt, if its VM told it.
    attempt: Option<Try>,
    expires: Instant,
}

/// Slots that other VMs wait for or use.
#[derive(Debug, Default)]
pub(crate) struct Leases {
    /// Waiting requests, each with a channel that cancels the wait.
    waiting: RefCell<HashMap<ReplyAddress, oneshot::Sender<()>>>,
    granted: RefCell<HashMap<ReplyAddress, Lease>>,
}

impl Leases {
    /// Records the load that the server of a leased slot reported.
    pub(crate) fn report_load(&self, asked: &ReplyAddress, load: Load) {
        if let Some(lease) = self.granted.borrow().get(asked) {
            lease.permit.report_load(load);
        }
    }

    fn leased_server(&self, asked: &ReplyAddress) -> Option<Arc<str>> {
        let granted = self.granted.borrow();
        let lease = granted.get(asked)?;
        Some(Arc::clone(&lease.permit.server.id))
    }

    /// Number of requests of other VMs that wait, and of those that have a slot.
    pub(crate) fn counts(&self) -> (usize, usize) {
        (self.waiting.borrow().len(), self.granted.borrow().len())
    }
}

impl Gateway {
    /// Cancels the wait of a request of another VM, or releases its slot.
    pub(crate) fn release_lease(&self, asked: &ReplyAddress, outcome: Outcome) {
        let cancel = self.leases.waiting.borrow_mut().remove(asked);
        if let Some(cancel) = cancel {
            // Fails if the slot was granted meanwhile; then the lease is released below.
            let _ = cancel.send(());
        }
        let lease = self.leases.granted.borrow_mut().remove(asked);
        let Some(lease) = lease else {
            return;
        };
        if let Some(attempt) = lease.attempt {
            self.record_outcome(attempt, &lease.permit.server, outcome);
        }
        lease.permit.release(outcome);
    }

    /// The VMs that may own the queue of a service, the owner first, including this one.
    fn ranked_owners(&self, service: &str) -> Vec<Peer> {
        let view = self.view.borrow();
        let key = format!("dispatch/{service}");
        let ready = view.members.values().filter(|member| member.ready);
        let max_cores = ready.clone().map(|member| member.cores).max();
        let min_cores = id::Millicores(max_cores.unwrap_or_default().0 / MIN_CORES_DIVISOR);
        let mut ranked: Vec<_> = ready
            .filter(|member| member.cores >= min_cores)
            .map(|member| (rendezvous_score(&key, member.vm.as_str()), member))
            .collect();
        ranked.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
        let peers = ranked.into_iter().map(|(_, member)| Peer {
            vm: member.vm.clone(),
            address: peers::peer_address(member.address),
            ready: member.ready,
        });
        peers.collect()
    }

    /// VMs to ask for a slot of a service, best first; empty if this VM owns the queue or none of them answers.
    fn queue_owners(&self, service: &str) -> Vec<Peer> {
        let owners = self.ranked_owners(service).into_iter();
        owners
            .take_while(|peer| peer.vm != self.settings.vm)
            .filter(|peer| !self.peers.is_unresponsive(peer.address))
            .take(MAX_OWNERS_ASKED)
            .collect()
    }

    /// The VM that owns the queue of a service and those that come after it, without this one.
    pub(crate) fn queue_candidates(&self, service: &str) -> Vec<SocketAddr> {
        let owners = self.ranked_owners(service).into_iter();
        owners
            .take(QUEUE_CANDIDATES)
            .filter(|peer| peer.vm != self.settings.vm)
            .map(|peer| peer.address)
            .collect()
    }

    /// Waits for a permit from the VM that owns the queue of the service, or from this VM if no owner
    /// answers.
    ///
    /// # Errors
    /// [`Code::NoServer`] if the service has no server, [`Code::Overloaded`] if none will be free in
    /// time, [`Code::ServersEnded`] if servers ended under this content.
    pub(crate) async fn acquire_shared_permit(
        self: &Rc<Self>,
        request: &mut Request,
        attempt: Try,
    ) -> Result<Permit, Failure> {
        for peer in self.queue_owners(&request.service) {
            for _ in 0..MAX_REJECTED_SLOTS {
                match self.acquire_from_peer(peer.address, request, attempt).await {
                    None => break,
                    Some(Ok(permit)) => return Ok(permit),
                    Some(Err(AcquireError::Failure(failure))) => return Err(failure),
                    Some(Err(AcquireError::UnusableServer(server))) => request.avoid.push(server),
                }
            }
        }
        self.acquire_exposed_permit(request.clone(), attempt).await
    }

    /// Asks one VM for a slot; `None` if it does not answer or does not own the queue.
    async fn acquire_from_peer(
        self: &Rc<Self>,
        peer: SocketAddr,
        request: &Request,
        attempt: Try,
    ) -> Option<Result<Permit, AcquireError>> {
        let question_number = self.peers.next_number();
        let slot = SlotGuard::new(Rc::clone(self), SlotOwner::Remote(peer, question_number));
        let question = Question::PlaceContent {
            request: Box::new(request.clone()),
            version: request.version.clone(),
            attempt,
            known: self.ends.known(attempt.content),
        };
        let reply = self
            .peers
            .ask_numbered(question_number, peer, &question)
            .await?;
        let server = match reply {
            Reply::Placed(server) => server,
            Reply::TooLarge => return Some(Err(AcquireError::Failure(too_large()))),
            Reply::NoServer => return Some(Err(AcquireError::Failure(no_server()))),
            Reply::Full { retry_ms } => {
                let failure = overloaded(Duration::from_millis(retry_ms));
                return Some(Err(AcquireError::Failure(failure)));
            }
            Reply::ServersEnded { retry_ms } => {
                let failure = servers_ended(Duration::from_millis(retry_ms));
                return Some(Err(AcquireError::Failure(failure)));
            }
            _ => return None,
        };
        // The directory here may differ from that of the queue owner.
        let entry = self.routing.borrow().server(&server);
        let is_usable =
            |entry: &Arc<Entry>| !entry.draining && request.accepts(&entry.id, &entry.version);
        if let Some(entry) = entry.filter(is_usable) {
            return Some(Ok(Permit::new(slot, entry)));
        }
        let unused = news(attempt, &server, What::NotRun);
        self.tell(&[peer], &[unused]).await;
        Some(Err(AcquireError::UnusableServer(server)))
    }

    /// Leases a slot to another VM, as soon as one is free.
    pub(crate) async fn lease_slot(
        self: &Rc<Self>,
        asked: ReplyAddress,
        request: Request,
        attempt: Option<Try>,
    ) -> Reply {
        if let Some(server) = self.leases.leased_server(&asked) {
            // A repeated question, since the reply was lost.
            return Reply::Placed(server);
        }
        if !self.routing.borrow().is_complete() {
            // Just started with an incomplete directory; the caller asks the next VM.
            return Reply::NotOwner;
        }
        let max_wait = Duration::from_millis(request.max_wait_ms);
        let expires = Instant::now() + max_wait + LEASE_GRACE;
        let (cancel, cancelled) = oneshot::channel();
        self.leases.waiting.borrow_mut().insert(asked, cancel);
        let mut permit = pin!(async {
            match attempt {
                Some(attempt) => self.acquire_exposed_permit(request, attempt).await,
                None => self.acquire_local_permit(request).await,
            }
        });
        let immediate = tokio::select! {
            biased;
            permit = &mut permit => Some(permit),
            () = ready(()) => None,
        };
        let permit = if let Some(permit) = immediate {
            permit
        } else {
            self.peers.send_working(asked).await;
            tokio::select! {
                permit = &mut permit => permit,
                _ = cancelled => return Reply::NotOwner,
                () = sleep(max_wait) => {
                    self.leases.waiting.borrow_mut().remove(&asked);
                    return Reply::NotOwner;
                }
            }
        };
        self.leases.waiting.borrow_mut().remove(&asked);
        match permit {
            Ok(permit) => {
                let server = Arc::clone(&permit.server.id);
                let lease = Lease {
                    permit,
                    attempt,
                    expires,
                };
                self.leases.granted.borrow_mut().insert(asked, lease);
                Reply::Placed(server)
            }
            Err(failure) if failure.code == Code::NoServer => Reply::NoServer,
            Err(failure) if failure.code == Code::RequestTooLarge => Reply::TooLarge,
            Err(failure) => {
                let retry_ms = failure.retry_after_ms.unwrap_or_default();
                if failure.code == Code::ServersEnded {
                    Reply::ServersEnded { retry_ms }
                } else {
                    Reply::Full { retry_ms }
                }
            }
        }
    }

    /// Ends leases that have expired or whose VM is no longer a member.
    pub(crate) fn expire_leases(self: &Rc<Self>) {
        if self.leases.granted.borrow().is_empty() {
            return;
        }
        let view = self.view.borrow();
        let members: HashSet<SocketAddr> = view
            .members
            .values()
            .map(|member| peers::peer_address(member.address))
            .collect();
        let now = Instant::now();
        let granted = self.leases.granted.borrow();
        let expired = granted
            .iter()
            .filter(|((vm, _), lease)| lease.expires <= now || !members.contains(vm));
        let expired: Vec<ReplyAddress> = expired.map(|(asked, _)| *asked).collect();
        drop(granted);
        if !expired.is_empty() {
            event!(info, "places_taken_back", places = expired.len());
        }
        for asked in expired {
            let lost = {
                let granted = self.leases.granted.borrow();
                let lease = granted.get(&asked);
                lease.and_then(|lease| Some((lease.attempt?, Arc::clone(&lease.permit.server))))
            };
            if let Some((attempt, server)) = lost {
                self.record_lost_attempt(attempt, &server);
            }
            self.release_lease(&asked, Outcome::Void);
        }
    }
}

/// Why no slot could be acquired from a VM.
enum AcquireError {
    Failure(Failure),
    /// The slot's server is draining or unknown here.
    UnusableServer(Arc<str>),
}
