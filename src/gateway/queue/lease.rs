//! One queue per service, shared by all VMs: the VM that owns it leases slots to the others.
//!
//! With a queue on each VM, no VM knows the load of a server, so requests would queue at the servers, where they
//! can't be prioritized.

use crate::code::{Code, Failure};
use crate::gateway::peers::{Peer, Question, Reply, ReplyAddress};
use crate::gateway::queue::permit::{
    Permit, SlotGuard, SlotOwner, no_server, overloaded, too_large,
};
use crate::gateway::world::directory::Entry;
use crate::gateway::{Gateway, peers};
use crate::id::{self, rendezvous_score};
use crate::policy::dispatch::{Load, Outcome, Request};
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
/// A VM may own a queue if it has at least the processor time of the largest VM divided by this, since
/// the owner handles the datagrams of all VMs.
pub(super) const MIN_CORES_DIVISOR: u64 = 2;
/// How long a lease outlives the request's time limit, if no release message arrives.
const LEASE_GRACE: Duration = Duration::from_millis(300);

/// A slot in use by another VM.
#[derive(Debug)]
struct Lease {
    permit: Permit,
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
    /// Cancels the wait of a request of another VM, or releases its slot.
    pub(crate) fn release(&self, asked: &ReplyAddress, outcome: Outcome) {
        let cancel = self.waiting.borrow_mut().remove(asked);
        if let Some(cancel) = cancel {
            // Fails if the slot was granted meanwhile; then the lease is released below.
            let _ = cancel.send(());
        }
        let lease = self.granted.borrow_mut().remove(asked);
        if let Some(lease) = lease {
            lease.permit.release(outcome);
        }
    }

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
    /// VMs to ask for a slot of a service, best first; empty if this VM owns the queue or none of them answers.
    fn queue_owners(&self, service: &str) -> Vec<Peer> {
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
        let preferred = ranked
            .into_iter()
            .take_while(|(_, member)| member.vm != self.settings.vm);
        let peers = preferred.map(|(_, member)| Peer {
            vm: member.vm.clone(),
            address: peers::peer_address(member.address),
            ready: member.ready,
        });
        peers
            .filter(|peer| !self.peers.is_unresponsive(peer.address))
            .take(MAX_OWNERS_ASKED)
            .collect()
    }

    /// Waits for a permit from the VM that owns the queue of the service, or from this VM if no owner
    /// answers.
    ///
    /// # Errors
    /// [`Code::NoServer`] if the service has no server, [`Code::Overloaded`] if none will be free in
    /// time.
    pub(crate) async fn acquire_shared_permit(
        self: &Rc<Self>,
        request: &mut Request,
    ) -> Result<Permit, Failure> {
        for peer in self.queue_owners(&request.service) {
            for _ in 0..MAX_REJECTED_SLOTS {
                match self.acquire_from_peer(peer.address, request).await {
                    None => break,
                    Some(Ok(permit)) => return Ok(permit),
                    Some(Err(AcquireError::Failure(failure))) => return Err(failure),
                    Some(Err(AcquireError::UnusableServer(server))) => request.avoid.push(server),
                }
            }
        }
        self.acquire_local_permit(request.clone()).await
    }

    /// Asks one VM for a slot; `None` if it does not answer or does not own the queue.
    async fn acquire_from_peer(
        self: &Rc<Self>,
        peer: SocketAddr,
        request: &Request,
    ) -> Option<Result<Permit, AcquireError>> {
        let question_number = self.peers.next_number();
        let slot = SlotGuard::new(Rc::clone(self), SlotOwner::Remote(peer, question_number));
        let question = match &request.version {
            Some(version) => Question::PlaceAtVersion {
                request: request.clone(),
                version: Arc::clone(version),
            },
            None => Question::Place(request.clone()),
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
            _ => return None,
        };
        // The directory here may differ from that of the queue owner.
        let entry = self.routing.borrow().server(&server);
        let is_usable = |entry: &Arc<Entry>| !entry.draining && request.accepts(&entry.version);
        Some(match entry.filter(is_usable) {
            Some(entry) => Ok(Permit::new(slot, entry)),
            None => Err(AcquireError::UnusableServer(server)),
        })
    }

    /// Leases a slot to another VM, as soon as one is free.
    pub(crate) async fn lease_slot(
        self: &Rc<Self>,
        asked: ReplyAddress,
        request: Request,
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
        let mut permit = pin!(self.acquire_local_permit(request));
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
                let lease = Lease { permit, expires };
                self.leases.granted.borrow_mut().insert(asked, lease);
                Reply::Placed(server)
            }
            Err(failure) if failure.code == Code::NoServer => Reply::NoServer,
            Err(failure) if failure.code == Code::RequestTooLarge => Reply::TooLarge,
            Err(failure) => Reply::Full {
                retry_ms: failure.retry_after_ms.unwrap_or_default(),
            },
        }
    }

    /// Ends leases that have expired or whose VM is no longer a member.
    pub(crate) fn expire_leases(&self) {
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
            self.leases.release(&asked, Outcome::Void);
        }
    }
}

/// Why no slot could be acquired from a VM.
enum AcquireError {
    Failure(Failure),
    /// The slot's server is draining or unknown here.
    UnusableServer(Arc<str>),
}
