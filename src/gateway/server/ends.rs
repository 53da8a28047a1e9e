//! Servers that ended under a request: notices them, and tells the other VMs.
//!
//! Without that, each VM and each retry of a caller would send a request that ends servers to further ones.

use crate::code::{Code, Failure};
use crate::gateway::Gateway;
use crate::gateway::peers::{Note, Question, Reply, peer_address};
use crate::gateway::request::job::Job;
use crate::gateway::request::reply;
use crate::gateway::world::directory::Entry;
use crate::id::ContentHash;
use crate::policy::server_ends::{End, Knowledge, Ledger};
use crate::telemetry::event;
use rand::seq::IteratorRandom;
use std::cell::{Cell, RefCell};
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
/// Pause between two questions of a starting VM.
const QUESTION_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for the answer to such a question.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after which an end is sent once more, in case a datagram was lost.
const RESEND_DELAY: Duration = Duration::from_millis(40);
/// Silence of a server from which a request that is given up may have met its end. Servers pause for less even under load.
const MIN_SILENCE: Duration = Duration::from_secs(1);

/// What this VM knows of servers that ended under requests.
#[derive(Debug, Default)]
pub(crate) struct Ends {
    ledger: RefCell<Ledger>,
    /// Whether this VM knows what was noticed before it started.
    informed: Cell<bool>,
}

impl Ends {
    pub(crate) fn state(&self) -> serde_json::Value {
        let (requests, refused) = self.ledger.borrow().counts();
        serde_json::json!({
            "requests": requests,
            "refused": refused,
            "informed": self.informed.get(),
        })
    }
}

impl Job {
    /// Fails if too many servers ended under this request, in this attempt of its caller or in earlier ones.
    ///
    /// # Errors
    /// [`Code::ServersEnded`]
    pub(crate) async fn check_ended_servers(&self) -> Result<(), Failure> {
        let gateway = &self.gateway;
        let ends = &gateway.ends;
        if ends.ledger.borrow().is_empty() {
            return Ok(());
        }
        let now = Instant::now();
        let is_suspect = ends.ledger.borrow().ended(now, self.content()) > 0;
        let knowledge = if is_suspect && !gateway.reaches_majority().await {
            Knowledge::CutOff
        } else if ends.informed.get() {
            Knowledge::Complete
        } else {
            Knowledge::SinceStart
        };
        let ledger = ends.ledger.borrow();
        let Some(retry_after) = ledger.refusal(now, self.content(), knowledge) else {
            return Ok(());
        };
        gateway.metrics.count_server_end("refused");
        let message = "servers ended under the request";
        Err(if self.may_have_run.get() {
            reply::outcome_unknown(Code::ServersEnded, message)
        } else {
            Failure::refused(Code::ServersEnded, message).retry_after(retry_after)
        })
    }

    /// Finds out whether a server that broke off has ended, and records that. Returns whether it has.
    pub(crate) async fn check_server(&self, server: &Arc<Entry>) -> bool {
        // The sample of other VMs is needed next, and is kept for a while.
        let (has_ended, _) = tokio::join!(
            self.gateway.has_ended(server),
            self.gateway.reaches_majority()
        );
        log_check(&self.meta.id, self.content(), server, has_ended);
        if has_ended {
            self.record_end_of(server).await;
        }
        has_ended
    }

    /// Records that a server ended while it ran this request, and tells the other VMs.
    pub(crate) async fn record_end_of(&self, server: &Entry) {
        self.gateway
            .record_end(&self.meta.id, self.content(), server)
            .await;
    }

    /// Watches an attempt at a server for the case that the request is given up while the server is silent.
    pub(crate) fn watch_silence<'a>(&'a self, server: &'a Arc<Entry>) -> SilenceWatch<'a> {
        SilenceWatch {
            job: self,
            server,
            since: Instant::now(),
            is_over: false,
        }
    }

    /// Finds out whether a server that sent nothing `since` has ended, now that the request is given up. A host that
    /// loses power closes no connection.
    pub(crate) fn check_silent_server(&self, server: &Arc<Entry>, since: Instant) {
        if since.elapsed() < MIN_SILENCE {
            return;
        }
        let (gateway, server) = (Rc::clone(&self.gateway), Arc::clone(server));
        let (id, content) = (self.meta.id.clone(), self.content());
        spawn_local(async move {
            let has_ended = gateway.has_ended(&server).await;
            log_check(&id, content, &server, has_ended);
            if has_ended {
                gateway.record_end(&id, content, &server).await;
            }
        });
    }

    /// Records that this request has succeeded: then it did not cause the ends under it.
    ///
    /// Of requests without a program, many callers may send the same content, so that each failure of several servers
    /// meets some. A content that succeeded before such a failure is not refused after it.
    pub(crate) async fn record_success(&self) {
        let ends = &self.gateway.ends;
        let may_be_shared = self.meta.program.is_none();
        if !may_be_shared && ends.ledger.borrow().is_empty() {
            return;
        }
        let now = Instant::now();
        let is_suspect = ends.ledger.borrow().ended(now, self.content()) > 0;
        if !is_suspect && !may_be_shared {
            return;
        }
        let success = End {
            content: self.content(),
            server: None,
            age_ms: 0,
        };
        ends.ledger.borrow_mut().record(now, success);
        if is_suspect {
            self.gateway.tell_end(success).await;
        }
    }
}

fn log_check(id: &str, content: ContentHash, server: &Entry, has_ended: bool) {
    event!(
        info,
        "server_checked",
        id = id,
        server = server.id,
        content = content,
        ended = has_ended
    );
}

/// Calls [`Job::check_silent_server`] unless the attempt ends first.
#[derive(Debug)]
pub(crate) struct SilenceWatch<'a> {
    job: &'a Job,
    server: &'a Arc<Entry>,
    since: Instant,
    is_over: bool,
}

impl SilenceWatch<'_> {
    pub(crate) fn end(mut self) {
        self.is_over = true;
    }
}

impl Drop for SilenceWatch<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            self.job.check_silent_server(self.server, self.since);
        }
    }
}

impl Gateway {
    /// Whether a server is unreachable, or another instance of it has registered.
    async fn has_ended(&self, server: &Entry) -> bool {
        let connection = self.connect(server).await;
        let is_reachable = connection.is_some();
        if let Some(connection) = connection {
            self.connections.put(connection, None);
        }
        !is_reachable || self.was_replaced(server)
    }

    /// Whether another instance of the server has registered since.
    pub(crate) fn was_replaced(&self, server: &Entry) -> bool {
        let routing = self.routing.borrow();
        let current = routing.directory.by_name(&server.name);
        current.is_some_and(|current| current.id != server.id)
    }

    async fn record_end(self: &Rc<Self>, id: &str, content: ContentHash, server: &Entry) {
        let end = End {
            content,
            server: Some(xxh3_64(server.id.as_bytes())),
            age_ms: 0,
        };
        let now = Instant::now();
        let is_news = self.ends.ledger.borrow_mut().record(now, end);
        self.metrics.count_server_end("noticed");
        event!(
            info,
            "server_ended",
            id = id,
            server = server.id,
            content = content,
            ended = self.ends.ledger.borrow().ended(now, content)
        );
        if is_news {
            self.tell_end(end).await;
        }
    }

    /// Tells all other VMs of an end, before the caller learns of it and may ask one of them.
    async fn tell_end(self: &Rc<Self>, end: End) {
        self.broadcast_end(end).await;
        let gateway = Rc::clone(self);
        spawn_local(async move {
            sleep(RESEND_DELAY).await;
            gateway.broadcast_end(end).await;
        });
    }

    async fn broadcast_end(&self, end: End) {
        for peer in self.other_vms() {
            self.peers.notify(peer, Note::Ended(vec![end])).await;
        }
    }

    fn other_vms(&self) -> Vec<SocketAddr> {
        let view = self.view.borrow();
        let members = view.members.values();
        let others = members.filter(|member| member.vm != self.settings.vm);
        others.map(|member| peer_address(member.address)).collect()
    }

    /// Merges what another VM tells.
    pub(crate) fn merge_ends(&self, ends: &[End]) {
        let now = Instant::now();
        let mut ledger = self.ends.ledger.borrow_mut();
        for end in ends {
            ledger.record(now, *end);
        }
    }

    /// The ends of the worst requests, and whether this VM knows those from before its start.
    pub(crate) fn worst_ends(&self) -> Reply {
        let ledger = self.ends.ledger.borrow();
        Reply::Ends {
            ends: ledger.worst(Instant::now()),
            informed: self.ends.informed.get(),
        }
    }

    /// Drops expired records, and repeats the others to one other VM, which may have been cut off when they were new.
    pub(crate) async fn repeat_ends(&self) {
        if self.ends.ledger.borrow().is_empty() {
            return;
        }
        let now = Instant::now();
        let ends = {
            let mut ledger = self.ends.ledger.borrow_mut();
            ledger.drop_expired(now);
            ledger.worst(now)
        };
        let peer = self.other_vms().into_iter().choose(&mut rand::rng());
        if let Some(peer) = peer {
            self.peers.notify(peer, Note::Ended(ends)).await;
        }
    }

    /// Asks other VMs what was noticed before this one started.
    pub(crate) async fn learn_ends(self: Rc<Self>) {
        let started = Instant::now();
        while started.elapsed() < UNINFORMED_PERIOD {
            sleep(QUESTION_INTERVAL).await;
            let peer = self.other_vms().into_iter().choose(&mut rand::rng());
            let Some(peer) = peer else {
                continue;
            };
            let question = self.peers.ask(peer, &Question::Ends);
            let reply = timeout(QUESTION_TIMEOUT, question).await;
            if let Ok(Some(Reply::Ends { ends, informed })) = reply {
                self.merge_ends(&ends);
                if informed {
                    break;
                }
            }
        }
        self.ends.informed.set(true);
        let after_ms = started.elapsed().as_millis();
        let (requests, _) = self.ends.ledger.borrow().counts();
        event!(
            info,
            "server_ends_known",
            after_ms = after_ms,
            requests = requests
        );
    }
}
