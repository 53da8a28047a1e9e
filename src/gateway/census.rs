//! Which VMs there were lately, and whether this one reaches most of them.

use crate::gateway::peers::Question;
use crate::gateway::{Gateway, peers};
use crate::id::Vm;
use crate::member::View;
use crate::policy::outage::{SAMPLE, is_majority};
use futures::future::join_all;
use rand::seq::IteratorRandom;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// How long a VM counts that is heard no more. Cuts last for seconds, or for minutes between regions; VMs that
/// are taken away for good are few in that time.
const LATELY: Duration = Duration::from_mins(5);
/// How long the VMs of a sample may take to answer: a round trip within a region takes 1 to 4 ms.
const ANSWER: Duration = Duration::from_millis(100);
/// How long an answer is used. While the store is away every new allowance asks.
const FRESH: Duration = Duration::from_millis(400);

/// When each VM was last a member, and where it is asked.
#[derive(Debug, Default)]
pub(crate) struct Census {
    seen: RefCell<HashMap<Vm, (SocketAddr, Instant)>>,
    reached: Cell<Option<(Instant, bool)>>,
}

impl Census {
    fn note(&self, now: Instant, view: &View) {
        let mut seen = self.seen.borrow_mut();
        for member in view.members.values().filter(|member| !member.suspect) {
            let entry = (peers::address(member.address), now);
            match seen.get_mut(&member.vm) {
                Some(known) => *known = entry,
                None => drop(seen.insert(member.vm.clone(), entry)),
            }
        }
        seen.retain(|_, (_, at)| *at + LATELY > now);
    }

    /// How many VMs were members lately, this one among them.
    pub(crate) fn known(&self) -> usize {
        self.seen.borrow().len()
    }

    fn sample(&self, own: SocketAddr) -> Vec<SocketAddr> {
        let seen = self.seen.borrow();
        let others = seen.values().map(|(address, _)| *address);
        let others = others.filter(|address| *address != own);
        others.sample(&mut rand::rng(), SAMPLE)
    }
}

impl Gateway {
    /// Notes who is a member, for a time in which most are not heard.
    pub(crate) fn note_members(&self) {
        self.census.note(Instant::now(), &self.view.borrow());
    }

    /// Whether this VM reaches most of the VMs that there were lately.
    ///
    /// A third of the VMs was cut off from the store and from all others. Among themselves they found nobody who
    /// had the store, took that for an outage and gave 960 tokens without a record, while the others took
    /// their partitions at the store and gave 864 of the same budget of 576. The members that are heard tell only
    /// seconds later.
    pub(crate) async fn reaches_most(&self) -> bool {
        let fresh = self.census.reached.get();
        if let Some((_, reached)) = fresh.filter(|(at, _)| at.elapsed() < FRESH) {
            return reached;
        }
        let sample = self.census.sample(self.address());
        let asks = sample.iter().map(|peer| async move {
            let reply = timeout(ANSWER, self.peers.ask(*peer, &Question::Heard)).await;
            matches!(reply, Ok(Some(_)))
        });
        let answers = join_all(asks).await;
        let answered = answers.iter().filter(|answered| **answered).count();
        let reached = is_majority(answered, sample.len(), self.census.known());
        self.census.reached.set(Some((Instant::now(), reached)));
        reached
    }
}
