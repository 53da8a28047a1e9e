//! Which VMs there were lately, and whether this one reaches most of them.

use crate::gateway::peers::{Question, Reply};
use crate::gateway::tokens::partition::Partition;
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

/// How long a VM counts that is heard no more. Cuts last for seconds, or for minutes between regions; VMs that
/// are taken away for good are few in that time.
const LATELY: Duration = Duration::from_mins(5);
/// How long the VMs of a sample may take to answer: a round trip within a region takes 1 to 4 ms.
const ANSWER: Duration = Duration::from_millis(100);
/// How long an answer is used. While the store is away every new allowance asks.
const FRESH: Duration = Duration::from_millis(400);

/// When each VM was last a member, and where it is asked.
#[derive(Debug, Default)]
pub(crate) struct Members {
    seen: RefCell<HashMap<Vm, (SocketAddr, Instant)>>,
    newest: Mutex<Option<Answers>>,
}

/// What a sample of VMs answered.
#[derive(Debug, Clone, Copy)]
struct Answers {
    at: Instant,
    reach: Reachability,
    /// When the newest call began that the store answered one of them; none where it answered nobody.
    store_heard: Option<Instant>,
}

impl Members {
    fn note(&self, now: Instant, view: &View) {
        let mut seen = self.seen.borrow_mut();
        for member in view.members.values().filter(|member| !member.suspect) {
            let entry = (peers::peer_address(member.address), now);
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
        others.sample(&mut rand::rng(), REACHABILITY_SAMPLE_SIZE)
    }
}

impl Gateway {
    /// Notes who is a member, for a time in which most are not heard.
    pub(crate) fn note_members(&self) {
        self.recent_members
            .note(Instant::now(), &self.view.borrow());
    }

    /// Whether this VM reaches most of the VMs that there were lately.
    ///
    /// A third of the VMs was cut off from the store and from all others. Among themselves they found nobody who
    /// had the store, took that for an outage and gave 960 tokens without a record, while the others took
    /// their partitions at the store and gave 864 of the same budget of 576. The members that are heard tell only
    /// seconds later.
    pub(crate) async fn reaches_majority(&self) -> bool {
        self.reachability().await.is_majority()
    }

    /// How many of the VMs that there were lately answer this one.
    pub(crate) async fn reachability(&self) -> Reachability {
        self.answers().await.reach
    }

    /// Whether the store has answered one of the others since it last failed to take records of a partition.
    ///
    /// After a cut a VM may reach most others before it learns that the store has shut it out: another VM counts
    /// the partition by then, and a program would get the same tokens from both.
    pub(crate) async fn peers_have_store(&self, part: &Partition) -> bool {
        let Some(failing) = part.failing_since.get() else {
            return false;
        };
        let heard = self.answers().await.store_heard;
        heard_after_loss(failing.elapsed(), heard.map(|heard| heard.elapsed()))
    }

    async fn answers(&self) -> Answers {
        // Who asks at the same time waits for one sample.
        let mut newest = self.recent_members.newest.lock().await;
        if let Some(answers) = newest.filter(|answers| answers.at.elapsed() < FRESH) {
            return answers;
        }
        let sample = self.recent_members.sample(self.peer_address());
        let asks = sample.iter().map(|peer| async move {
            let reply = timeout(ANSWER, self.peers.ask(*peer, &Question::Heard)).await;
            reply.ok().flatten()
        });
        let replies: Vec<Reply> = join_all(asks).await.into_iter().flatten().collect();
        let reach = Reachability {
            answered: replies.len(),
            asked: sample.len(),
            known: self.recent_members.known(),
        };
        let heard = replies.iter().filter_map(|reply| match reply {
            Reply::Heard { ago_ms } => ago_ms.map(Duration::from_millis),
            _ => None,
        });
        let answers = Answers {
            at: Instant::now(),
            reach,
            store_heard: heard.min().and_then(|ago| Instant::now().checked_sub(ago)),
        };
        let before = newest.map(|answers| answers.reach.is_majority());
        if before != Some(reach.is_majority()) {
            event!(
                info,
                "members_asked",
                answered = reach.answered,
                asked = reach.asked,
                known = reach.known,
                most = reach.is_majority()
            );
        }
        *newest = Some(answers);
        answers
    }
}
