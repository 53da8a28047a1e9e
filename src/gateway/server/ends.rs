//! Servers that end under requests: what this VM knows of them, and what VMs tell each other.
//!
//! Without that, each VM and each retry of a caller would send a request that ends servers to further ones.

use crate::gateway::Gateway;
use crate::gateway::peers::{Note, Question, Reply, peer_address};
use crate::gateway::queue::permit::Turnover;
use crate::gateway::server::connection::Unreachable;
use crate::gateway::world::directory::{Entry, Instance};
use crate::id::ContentHash;
use crate::policy::server_ends::{
    Knowledge, Ledger, MAX_NEWS_PER_MESSAGE, News, ServerHash, Try, What,
};
use crate::telemetry::event;
use rand::seq::IteratorRandom;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

/// Time after which a starting VM that found no informed VM counts as informed: callers have given up the requests of
/// before.
const UNINFORMED_PERIOD: Duration = Duration::from_secs(5);
/// Time after its start in which a VM sends no request on before it is informed. It joins the others within a few round
/// trips; one that is alone, or starts with all others, finds nobody who could inform it.
const START_PERIOD: Duration = Duration::from_millis(200);
/// Pause between two looks whether this VM is informed.
const INFORMED_INTERVAL: Duration = Duration::from_millis(10);
/// Pause between two questions of a starting VM.
const QUESTION_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for the answer to such a question.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after which an end is sent once more, in case a datagram was lost.
const RESEND_DELAY: Duration = Duration::from_millis(40);
/// Most answers that are kept to be told together.
const MAX_ANSWERED: usize = 1024;
/// Most VMs that are told of attempts which concern few of them: failed ones at a service that has no shared queue, and
/// those of a request that was sent to a second server.
const MAX_TOLD_OF_ATTEMPTS: usize = 32;

/// What this VM knows of requests under which servers end.
#[derive(Debug)]
pub(crate) struct Ends {
    started: Instant,
    pub(super) ledger: RefCell<Ledger>,
    /// Whether this VM knows what was noticed before it started.
    informed: Cell<bool>,
    /// Whether this VM has read what was recorded before it started.
    restored: Cell<bool>,
    /// Whether its first read of that is under way. The next ones follow a failure, and may fail for long.
    is_reading: Cell<bool>,
    /// Whether no VM has started before this one, so that none can have been lost.
    is_first: Cell<bool>,
    /// Whole answers of attempts that other VMs have on record, by service, to be told together.
    answered: RefCell<HashMap<Arc<str>, Vec<News>>>,
}

impl Ends {
    pub(crate) fn new() -> Self {
        Self {
            started: Instant::now(),
            ledger: RefCell::default(),
            informed: Cell::default(),
            restored: Cell::default(),
            is_reading: Cell::new(true),
            is_first: Cell::default(),
            answered: RefCell::default(),
        }
    }

    /// Waits until this VM knows what was noticed before it started, in the first moments after its start.
    async fn wait_until_informed(&self) {
        while !self.informed.get() && self.started.elapsed() < START_PERIOD {
            sleep(INFORMED_INTERVAL).await;
        }
    }

    /// Whether this VM is about to learn what was noticed before it started, and refuses requests until then.
    pub(crate) fn is_reading(&self) -> bool {
        self.is_reading.get() && !self.is_assumed_informed()
    }

    /// Waits until this VM knows what was noticed before it started, or can't learn it soon.
    pub(crate) async fn wait_until_read(&self, until: Instant) {
        while self.is_reading() && Instant::now() < until {
            sleep(INFORMED_INTERVAL).await;
        }
    }

    /// Notes that the first read has ended, whether or not it failed.
    pub(super) fn end_first_read(&self) {
        self.is_reading.set(false);
    }

    /// Whether this VM started so long ago that callers have given up the requests of before.
    pub(super) fn is_start_over(&self) -> bool {
        self.started.elapsed() >= UNINFORMED_PERIOD
    }

    /// Whether this VM counts as informed, or waits no longer for it.
    fn is_assumed_informed(&self) -> bool {
        self.informed.get() || self.is_start_over()
    }

    /// Counts an attempt for a request of which nothing is known, as long as its caller may have sent it to VMs that were all
    /// lost.
    pub(crate) async fn assume_lost_attempt(&self, content: ContentHash) {
        self.wait_until_informed().await;
        let may_follow_loss = self.restored.get() && !self.is_first.get();
        if may_follow_loss && !self.is_assumed_informed() {
            let mut ledger = self.ledger.borrow_mut();
            ledger.assume_lost_attempt(Instant::now(), content);
        }
    }

    pub(super) fn assumes_lost_attempt(&self, content: ContentHash) -> bool {
        let ledger = self.ledger.borrow();
        ledger.assumes_lost_attempt(Instant::now(), content)
    }

    /// Takes over what was recorded before this VM started.
    pub(super) fn restore(&self, news: &[News], is_first: bool) {
        let (mut ledger, now) = (self.ledger.borrow_mut(), Instant::now());
        for news in news {
            ledger.record(now, *news);
        }
        drop(ledger);
        self.is_first.set(is_first);
        self.restored.set(true);
    }

    pub(crate) fn state(&self) -> serde_json::Value {
        let (requests, refused) = self.ledger.borrow().counts();
        serde_json::json!({
            "requests": requests,
            "refused": refused,
            "informed": self.informed.get(),
            "restored": self.restored.get(),
        })
    }

    /// Records what another VM knows, or what happened here; returns what to tell others of it.
    pub(crate) fn record(&self, news: News) -> Option<News> {
        self.ledger.borrow_mut().record(Instant::now(), news)
    }

    /// Records a whole answer of an attempt that other VMs have on record.
    pub(super) fn answered(&self, service: &Arc<str>, news: News) {
        let mut answered = self.answered.borrow_mut();
        let answered = answered.entry(Arc::clone(service)).or_default();
        if answered.len() < MAX_ANSWERED {
            answered.push(News {
                what: What::Answered,
                ..news
            });
        }
    }

    /// Whether a request was sent to several servers and has not succeeded.
    pub(super) fn is_repeated(&self, content: ContentHash) -> bool {
        let ledger = self.ledger.borrow();
        ledger.is_repeated(Instant::now(), content)
    }

    /// What is known of a request, to be told with it.
    pub(crate) fn known(&self, content: ContentHash) -> Vec<News> {
        self.ledger.borrow().known(Instant::now(), content)
    }
}

/// Identifies an instance of a server in the ledger.
pub(crate) fn server_hash(server: &Instance) -> ServerHash {
    xxh3_64(server.as_bytes())
}

/// What has just happened to a request at a server.
pub(crate) fn news(request: Try, server: &Instance, what: What) -> News {
    News {
        content: request.content,
        server: server_hash(server),
        run: request.run,
        what,
        excused: false,
        age_ms: 0,
    }
}

impl Gateway {
    /// How much this VM knows of the servers that ended under a request.
    pub(super) async fn knowledge_of(&self, content: ContentHash) -> Knowledge {
        self.ends.wait_until_informed().await;
        let is_suspect = {
            let ledger = self.ends.ledger.borrow();
            ledger.met_ended_server(Instant::now(), content)
        };
        if is_suspect && !self.reaches_majority().await {
            Knowledge::CutOff
        } else if self.ends.is_assumed_informed() || self.ends.restored.get() {
            Knowledge::Complete
        } else {
            Knowledge::Unread
        }
    }

    /// Whether a server is unreachable, or another instance of it has registered. Records what that shows for all
    /// requests.
    pub(super) async fn has_ended(self: &Rc<Self>, server: &Entry) -> bool {
        match self.connect(server).await {
            Ok(connection) => self.connections.put(connection, None),
            Err(unreachable) => {
                self.note_unreachable(server, unreachable).await;
                return true;
            }
        }
        let is_gone = self.ends.ledger.borrow().is_gone(server_hash(&server.id));
        is_gone || self.was_replaced(server)
    }

    /// Whether another instance of the server has registered since.
    pub(crate) fn was_replaced(&self, server: &Entry) -> bool {
        let routing = self.routing.borrow();
        let current = routing.directory.by_name(&server.name);
        current.is_some_and(|current| current.id != server.id)
    }

    /// Records that a server ended under a request, and tells the other VMs.
    pub(super) async fn record_end(
        self: &Rc<Self>,
        id: &str,
        content: ContentHash,
        server: &Entry,
    ) {
        let told = {
            let mut ledger = self.ends.ledger.borrow_mut();
            ledger.server_ended_under(Instant::now(), content, server_hash(&server.id))
        };
        if let Some(told) = told {
            self.note_end(id, content, &server.id);
            self.tell_all(vec![told]).await;
        }
    }

    /// Records that a server refuses connections, or that another instance is at its address: that counts for all requests
    /// that it did not answer.
    pub(super) async fn server_is_gone(self: &Rc<Self>, server: &Entry) {
        let ended = self.count_end(&server.id);
        if !ended.is_empty() {
            self.tell_all(ended).await;
        }
    }

    /// Records that no connection to a server opened. One that accepts none in time may live.
    pub(super) async fn note_unreachable(
        self: &Rc<Self>,
        server: &Entry,
        unreachable: Unreachable,
    ) {
        if unreachable == Unreachable::Refused {
            self.server_is_gone(server).await;
        }
    }

    /// Records which servers left the directory, unannounced. Each VM has it from its own directory, so nobody is told.
    pub(crate) fn servers_left(self: &Rc<Self>, turnover: &Turnover) {
        for server in &turnover.left {
            self.count_end(server);
        }
        let mut ledger = self.ends.ledger.borrow_mut();
        for server in &turnover.joined {
            ledger.server_registered(server_hash(server));
        }
    }

    fn count_end(self: &Rc<Self>, server: &Instance) -> Vec<News> {
        let now = Instant::now();
        let ended = {
            let mut ledger = self.ends.ledger.borrow_mut();
            ledger.server_ended(now, server_hash(server))
        };
        for end in &ended {
            self.note_end("", end.content, server);
            if self.end_records.has_written(end.content) {
                self.queue_end_record(end.content);
            }
        }
        ended
    }

    /// Counts and logs an end; `id` is empty where it was not noticed by the request.
    pub(super) fn note_end(&self, id: &str, content: ContentHash, server: &str) {
        self.metrics.count_server_end("noticed");
        let ledger = self.ends.ledger.borrow();
        event!(
            info,
            "server_ended",
            id = id,
            server = server,
            content = content,
            ended = ledger.ended(Instant::now(), content)
        );
    }

    /// Tells all other VMs, before the caller learns of it and may ask one of them.
    pub(super) async fn tell_all(self: &Rc<Self>, news: Vec<News>) {
        for news in &news {
            self.queue_end_record(news.content);
        }
        let others = self.other_vms();
        self.tell(&others, &news).await;
        let gateway = Rc::clone(self);
        spawn_local(async move {
            sleep(RESEND_DELAY).await;
            gateway.tell(&others, &news).await;
        });
    }

    /// The VMs that decide on the next attempt at a service: those that may own its queue or, where each VM has a queue of
    /// its own, all others as long as they are few.
    pub(super) fn deciders(&self, service: &str, is_shared: bool) -> Vec<SocketAddr> {
        if is_shared {
            return self.queue_candidates(service);
        }
        self.few_others()
    }

    /// All other VMs; none if they are many.
    pub(super) fn few_others(&self) -> Vec<SocketAddr> {
        let mut others = self.other_vms();
        if others.len() > MAX_TOLD_OF_ATTEMPTS {
            others.clear();
        }
        others
    }

    /// Tells these VMs, in as many messages as that takes.
    pub(crate) async fn tell(&self, vms: &[SocketAddr], news: &[News]) {
        for vm in vms {
            for news in news.chunks(MAX_NEWS_PER_MESSAGE) {
                self.peers.notify(*vm, Note::Attempts(news.to_vec())).await;
            }
        }
    }

    fn other_vms(&self) -> Vec<SocketAddr> {
        let view = self.view.borrow();
        let members = view.members.values();
        let others = members.filter(|member| member.vm != self.settings.vm);
        others.map(|member| peer_address(member.address)).collect()
    }

    /// Merges what another VM tells.
    pub(crate) fn merge_news(self: &Rc<Self>, news: &[News]) {
        // VMs that know of several attempts tell them together, and to all others.
        let is_single = news.len() == 1;
        for news in news {
            let now = Instant::now();
            let knows_server = {
                let ledger = self.ends.ledger.borrow();
                ledger.knows_attempt(now, news.content, news.server)
            };
            let told = self.ends.record(*news);
            // Whoever sends it next may not be among those that keep its attempts.
            let is_begun = news.what == What::Began && told.is_some() && !knows_server;
            if is_single && is_begun && self.ends.is_repeated(news.content) {
                let (gateway, known) = (Rc::clone(self), self.ends.known(news.content));
                spawn_local(async move { gateway.tell(&gateway.few_others(), &known).await });
            }
        }
    }

    /// What is known of the worst requests, and whether this VM knows those from before its start.
    pub(crate) fn worst_ends(&self) -> Reply {
        let ledger = self.ends.ledger.borrow();
        Reply::Attempts {
            news: ledger.worst(Instant::now()),
            informed: self.ends.informed.get(),
        }
    }

    /// Counts what nobody has told, drops expired records, and repeats the others to one other VM, which may have been cut off
    /// when they were new.
    pub(crate) async fn repeat_ends(self: &Rc<Self>) {
        let now = Instant::now();
        let (ended, news) = {
            let mut ledger = self.ends.ledger.borrow_mut();
            let ended = ledger.count_untold(now);
            ledger.drop_expired(now);
            (ended, ledger.worst_failures(now))
        };
        if !ended.is_empty() {
            self.tell_all(ended).await;
        }
        if news.is_empty() {
            return;
        }
        let peer = self.other_vms().into_iter().choose(&mut rand::rng());
        if let Some(peer) = peer {
            self.tell(&[peer], &news).await;
        }
    }

    /// Tells the VMs that keep the attempts of this one which of them have a whole answer.
    pub(crate) async fn tell_answered(&self) {
        let answered = self.ends.answered.take();
        for (service, news) in answered {
            let keepers = self.queue_candidates(&service);
            self.tell(&keepers, &news).await;
        }
    }

    /// Asks other VMs what was noticed before this one started.
    pub(crate) async fn learn_ends(self: Rc<Self>) {
        let gateway = Rc::clone(&self);
        spawn_local(async move { gateway.restore_ends().await });
        let started = self.ends.started;
        let mut source = "none";
        while started.elapsed() < UNINFORMED_PERIOD {
            let peer = self.other_vms().into_iter().choose(&mut rand::rng());
            let Some(peer) = peer else {
                sleep(INFORMED_INTERVAL).await;
                continue;
            };
            let question = self.peers.ask(peer, &Question::Ends);
            let reply = timeout(QUESTION_TIMEOUT, question).await;
            if let Ok(Some(Reply::Attempts { news, informed })) = reply {
                self.merge_news(&news);
                if informed {
                    source = "vm";
                    break;
                }
            }
            sleep(QUESTION_INTERVAL).await;
        }
        self.ends.informed.set(true);
        let after_ms = started.elapsed().as_millis();
        let (requests, _) = self.ends.ledger.borrow().counts();
        event!(
            info,
            "server_ends_known",
            source = source,
            after_ms = after_ms,
            requests = requests,
            restored = self.ends.restored.get()
        );
    }
}
