//! Tracks the recently seen members, and whether this VM reaches most of them.

use crate::gateway::peers::{Question, Reply};
use crate::gateway::tokens::partition::Partition;
use crate::gateway::tokens::partitions::STORE_TIMEOUT;
use crate::gateway::{Gateway, peers};
use crate::id::Vm;
use crate::member::View;
use crate::policy::outage::{REACHABILITY_SAMPLE_SIZE, Reachability, heard_after_loss};
use crate::telemetry::event;
use futures::future::join_all;
use rand::seq::IteratorRandom;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::{Instant, timeout};

/// How long a VM that is no longer a member still counts. Longer than most network failures, and short
/// enough that few VMs are removed for good meanwhile.
const MEMBER_RETENTION: Duration = Duration::from_mins(5);
/// How long the sampled VMs may take to answer. A round trip within a region takes 1 to 4 ms.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a sample is reused: in a store outage every new allowance needs one.
const SAMPLE_MAX_AGE: Duration = Duration::from_millis(400);

/// Address of each recent member and when it was last seen, and the newest sample.
#[derive(Debug, Default)]
pub(crate) struct Members {
    seen: RefCell<HashMap<Vm, (SocketAddr, Instant)>>,
    newest_sample: Mutex<Option<Sample>>,
}

/// Replies of a random sample of the recent members.
#[derive(Debug, Clone, Copy)]
struct Sample {
    taken_at: Instant,
    reachability: Reachability,
    /// Start of the newest call that the store answered to one of the sampled VMs.
    last_store_contact: Option<Instant>,
}

impl Members {
    fn record(&self, now: Instant, view: &View) {
        let mut seen = self.seen.borrow_mut();
        for member in view.members.values().filter(|member| !member.suspect) {
            let sighting = (peers::peer_address(member.address), now);
            match seen.get_mut(&member.vm) {
                Some(known) => *known = sighting,
                None => drop(seen.insert(member.vm.clone(), sighting)),
            }
        }
        seen.retain(|_, (_, at)| *at + MEMBER_RETENTION > now);
    }

    /// Number of recently seen members, including this VM.
    pub(crate) fn count(&self) -> usize {
        self.seen.borrow().len()
    }

    fn sample_others(&self, own: SocketAddr) -> Vec<SocketAddr> {
        let seen = self.seen.borrow();
        let others = seen.values().map(|(address, _)| *address);
        let others = others.filter(|address| *address != own);
        others.sample(&mut rand::rng(), REACHABILITY_SAMPLE_SIZE)
    }
}

impl Gateway {
    /// Records the present members, so that they still count while they can't be reached.
    pub(crate) fn record_members(&self) {
        self.recent_members
            .record(Instant::now(), &self.view.borrow());
    }

    /// Whether this VM reaches most of the recently seen members.
    ///
    /// Guards against a network split: a minority without the store would assume a store outage and grant
    /// tokens without a record, while the majority grants from the same budgets. The membership view shows
    /// the split only seconds later.
    pub(crate) async fn reaches_majority(&self) -> bool {
        self.reachability().await.is_majority()
    }

    /// How many of the recently seen members answer this VM.
    pub(crate) async fn reachability(&self) -> Reachability {
        self.fresh_sample().await.reachability
    }

    /// Whether the store has answered another VM since the first of this VM's writes to a partition that it did not answer.
    ///
    /// After a network split a VM may reach most others before it learns that the store has fenced it: by then
    /// another VM owns the partition, and a program would get the same tokens from both.
    pub(crate) async fn peers_have_store(&self, partition: &Partition) -> bool {
        let Some(since) = partition.unanswered_since.get() else {
            return false;
        };
        // A call of another VM that began after the write may still have been answered before the store fell silent.
        let usual = self
            .partitions
            .store
            .observer()
            .scaled_timeout(STORE_TIMEOUT);
        let lost_for = since.elapsed().saturating_sub(usual);
        let last_contact = self.fresh_sample().await.last_store_contact;
        heard_after_loss(lost_for, last_contact.map(|at| at.elapsed()))
    }

    /// Start of the newest call that the store answered to one of the other VMs, as far as these answer.
    pub(crate) async fn last_store_contact_of_others(&self) -> Option<Instant> {
        self.fresh_sample().await.last_store_contact
    }

    async fn fresh_sample(&self) -> Sample {
        // Concurrent callers wait for the same sample.
        let mut newest = self.recent_members.newest_sample.lock().await;
        if let Some(sample) = newest.filter(|sample| sample.taken_at.elapsed() < SAMPLE_MAX_AGE) {
            return sample;
        }
        let addresses = self.recent_members.sample_others(self.peer_address());
        let questions = addresses.iter().map(|peer| async move {
            let reply = timeout(REPLY_TIMEOUT, self.peers.ask(*peer, &Question::Heard)).await;
            reply.ok().flatten()
        });
        let replies: Vec<Reply> = join_all(questions).await.into_iter().flatten().collect();
        let reachability = Reachability {
            answered: replies.len(),
            asked: addresses.len(),
            known: self.recent_members.count(),
        };
        let contact_ages = replies.iter().filter_map(|reply| match reply {
            Reply::Heard { ago_ms } => ago_ms.map(Duration::from_millis),
            _ => None,
        });
        let sample = Sample {
            taken_at: Instant::now(),
            reachability,
            last_store_contact: contact_ages
                .min()
                .and_then(|ago| Instant::now().checked_sub(ago)),
        };
        let previous = newest.map(|sample| sample.reachability.is_majority());
        if previous != Some(reachability.is_majority()) {
            event!(
                info,
                "members_asked",
                answered = reachability.answered,
                asked = reachability.asked,
                known = reachability.known,
                most = reachability.is_majority()
            );
        }
        *newest = Some(sample);
        sample
    }
}
