//! Attempts of requests at servers, and whether a request may be sent to one more server.

use crate::code::{Code, Failure};
use crate::gateway::Gateway;
use crate::gateway::queue::permit::Permit;
use crate::gateway::request::job::Job;
use crate::gateway::request::reply;
use crate::gateway::server::ends::{news, server_hash};
use crate::gateway::world::directory::Entry;
use crate::gateway::world::table::Kind;
use crate::id::ContentHash;
use crate::policy::dispatch::{Outcome, Request};
use crate::policy::server_ends::{News, ServerHash, Try, Verdict, What};
use crate::telemetry::event;
use futures::future::join_all;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Longest wait for servers that may yet end, before a request is refused.
const MAX_VERDICT_WAIT: Duration = Duration::from_secs(1);
/// Pause before the second look at such servers. It doubles up to [`MAX_LOOK_INTERVAL`].
const MIN_LOOK_INTERVAL: Duration = Duration::from_millis(10);
const MAX_LOOK_INTERVAL: Duration = Duration::from_millis(160);

/// An attempt without a whole answer so far.
#[derive(Debug, Clone)]
pub(crate) struct Attempted {
    server: Arc<Entry>,
    began: Instant,
    /// Whether a success before it excuses it.
    excused: bool,
}

const SERVERS_ENDED: &str = "servers ended under the request, or may yet";

/// The failure of a request that has not run and is not sent to a server for this time.
pub(crate) fn servers_ended(retry_after: Duration) -> Failure {
    Failure::refused(Code::ServersEnded, SERVERS_ENDED).retry_after(retry_after)
}

impl Job {
    /// Whether the queue of the request's service is shared by all VMs.
    pub(crate) const fn is_shared(&self) -> bool {
        self.tokens_per_event > 0
    }

    /// Identifies this try of its caller in the ledger.
    pub(crate) fn as_try(&self) -> Try {
        Try {
            content: self.content(),
            run: self.run_number,
        }
    }

    /// Fails if too many servers ended under this request, in this attempt of its caller or in earlier ones.
    ///
    /// # Errors
    /// [`Code::ServersEnded`]
    pub(crate) async fn check_ended_servers(&self) -> Result<(), Failure> {
        match self.gateway.look_at_exposed(self.content()).await {
            Verdict::Refuse(retry_after) => Err(self.servers_ended(retry_after)),
            Verdict::Send | Verdict::Pending { .. } => Ok(()),
        }
    }

    /// Whether the request may be sent to one more server, past the queue.
    pub(crate) async fn may_expose_server(&self) -> bool {
        let until = Instant::now() + self.remaining().min(MAX_VERDICT_WAIT);
        self.gateway.settle(self.content(), until).await == Verdict::Send
    }

    /// The failure of a request that is not sent to one more server for this time.
    pub(crate) fn servers_ended(&self, retry_after: Duration) -> Failure {
        self.gateway.metrics.count_server_end("refused");
        if self.may_have_run.get() {
            reply::outcome_unknown(Code::ServersEnded, SERVERS_ENDED)
        } else {
            servers_ended(retry_after)
        }
    }

    /// Records that the request is being sent to a server, and tells the VMs that decide on the next attempt: this one may
    /// be lost together with the server.
    pub(crate) async fn attempt_began(&self, server: &Arc<Entry>) {
        let now = Instant::now();
        let excused = self.is_excused(now);
        let attempt = Attempted {
            server: Arc::clone(server),
            began: now,
            excused,
        };
        let previous = self.attempted.replace(Some(attempt));
        let began = news(self.as_try(), &server.id, What::Began);
        let began = News { excused, ..began };
        self.gateway.ends.record(began);
        let is_repeat = previous.is_some_and(|previous| previous.server.id == server.id);
        if is_repeat {
            return;
        }
        let is_repeated = self.gateway.ends.is_repeated(self.content());
        if self.is_shared() {
            self.tell_began(began, is_repeated).await;
        }
        if is_repeated {
            self.gateway.record_ends_durably(self.content()).await;
        } else if self.gateway.ends.assumes_lost_attempt(self.content()) {
            self.gateway.record_first_attempt(self.content()).await;
        }
    }

    async fn tell_began(&self, began: News, is_repeated: bool) {
        let others = self.gateway.few_others();
        if !others.is_empty() && is_repeated {
            let known = self.gateway.ends.known(self.content());
            return self.gateway.tell(&others, &known).await;
        }
        let mut deciders = self.gateway.queue_candidates(&self.service);
        if let Some((vm, granted)) = self.granted.get()
            && granted == began.server
        {
            // It has recorded the attempt.
            deciders.retain(|decider| *decider != vm);
        }
        self.gateway.tell(&deciders, &[began]).await;
    }

    /// Records that the server did not run the request.
    pub(crate) async fn attempt_not_run(&self, server: &Arc<Entry>) {
        self.attempted.take();
        let told = self.record_attempt(server, What::NotRun);
        if let Some(told) = told.filter(|_| self.is_shared()) {
            self.tell_attempt(told).await;
        }
    }

    /// Records that the attempt ended without a whole answer, before the caller learns of it.
    pub(crate) async fn attempt_failed(&self) {
        let Some(told) = self.record_failure() else {
            return;
        };
        self.tell_attempt(told).await;
        let may_be_repeated = self.route.idempotent() || self.route.kind == Kind::Stream;
        let is_written = self
            .gateway
            .end_records
            .is_written(told.content, told.server);
        if may_be_repeated && !is_written {
            self.gateway.record_ends_durably(told.content).await;
        } else {
            self.gateway.queue_end_record(told.content);
        }
    }

    fn record_failure(&self) -> Option<News> {
        let attempt = self.attempted.take()?;
        let excused = attempt.excused || self.is_excused(attempt.began);
        let failed = news(self.as_try(), &attempt.server.id, What::Failed);
        self.gateway.ends.record(News { excused, ..failed })
    }

    fn is_excused(&self, began: Instant) -> bool {
        let ledger = self.gateway.ends.ledger.borrow();
        ledger.excuses(Instant::now(), self.content(), began)
    }

    /// Records a whole answer that is no success, or that this VM stopped a run whose server was to leave.
    pub(crate) fn attempt_answered(&self) {
        let Some(attempt) = self.attempted.take() else {
            return;
        };
        let answered = self.record_attempt(&attempt.server, What::Answered);
        if let Some(answered) = answered.filter(|_| self.is_shared()) {
            self.gateway.ends.answered(&self.service, answered);
        }
    }

    fn record_attempt(&self, server: &Entry, what: What) -> Option<News> {
        let news = news(self.as_try(), &server.id, what);
        self.gateway.ends.record(news)
    }

    async fn tell_attempt(&self, told: News) {
        let gateway = &self.gateway;
        if told.what == What::Ended {
            return gateway.tell_all(vec![told]).await;
        }
        let deciders = gateway.deciders(&self.service, self.is_shared());
        gateway.tell(&deciders, &[told]).await;
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

    /// Records that this request has succeeded: then it did not cause the ends under it so far.
    pub(crate) async fn record_success(&self) {
        let server = self.attempted.take();
        let server = server.map_or(0, |attempt| server_hash(&attempt.server.id));
        let success = News {
            content: self.content(),
            server,
            run: self.run_number,
            what: What::Succeeded,
            excused: false,
            age_ms: 0,
        };
        let ends = &self.gateway.ends;
        let is_suspect = {
            let ledger = ends.ledger.borrow();
            ledger.is_suspect(Instant::now(), self.content())
        };
        ends.record(success);
        if is_suspect {
            self.gateway.tell_all(vec![success]).await;
        } else if self.is_shared() {
            ends.answered(&self.service, success);
        }
    }

    /// Records the attempt under way as failed, in a job that is dropped.
    pub(crate) fn drop_attempt(&self) {
        let Some(told) = self.record_failure() else {
            return;
        };
        let gateway = Rc::clone(&self.gateway);
        gateway.queue_end_record(told.content);
        let deciders = gateway.deciders(&self.service, self.is_shared());
        spawn_local(async move { gateway.tell(&deciders, &[told]).await });
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

impl Gateway {
    async fn verdict(&self, content: ContentHash) -> Verdict {
        let knowledge = self.knowledge_of(content).await;
        let ledger = self.ends.ledger.borrow();
        ledger.verdict(Instant::now(), content, knowledge)
    }

    /// The verdict on a request after a look at the servers that it depends on.
    async fn look_at_exposed(self: &Rc<Self>, content: ContentHash) -> Verdict {
        let verdict = self.verdict(content).await;
        let Verdict::Pending { servers, .. } = verdict else {
            return verdict;
        };
        let looks = servers.into_iter().map(|server| self.look(content, server));
        join_all(looks).await;
        self.verdict(content).await
    }

    /// The verdict on a request, once it is certain or at this time.
    async fn settle(self: &Rc<Self>, content: ContentHash, until: Instant) -> Verdict {
        let mut pause = MIN_LOOK_INTERVAL;
        loop {
            let verdict = self.look_at_exposed(content).await;
            let is_certain = !matches!(verdict, Verdict::Pending { .. });
            if is_certain || Instant::now() >= until {
                return verdict;
            }
            sleep_until(until.min(Instant::now() + pause)).await;
            pause = (pause * 2).min(MAX_LOOK_INTERVAL);
        }
    }

    fn server_of_hash(&self, server: ServerHash) -> Option<Arc<Entry>> {
        let directory = Arc::clone(&self.routing.borrow().directory);
        let mut entries = directory.iter();
        let entry = entries.find(|entry| server_hash(&entry.id) == server);
        entry.cloned()
    }

    /// Looks whether a server has ended that is exposed to a request.
    async fn look(self: &Rc<Self>, content: ContentHash, server: ServerHash) {
        let entry = self.server_of_hash(server);
        let has_ended = match &entry {
            Some(entry) => self.has_ended(entry).await,
            None => true,
        };
        let now = Instant::now();
        if !has_ended {
            let mut ledger = self.ends.ledger.borrow_mut();
            return ledger.server_lives(now, content, server);
        }
        let told = {
            let mut ledger = self.ends.ledger.borrow_mut();
            ledger.server_ended_under(now, content, server)
        };
        if let Some(told) = told {
            let name = entry.as_ref().map_or("", |entry| &*entry.id);
            self.note_end("", content, name);
            self.tell_all(vec![told]).await;
        }
    }

    /// Waits for a permit from this VM's own dispatcher, at a server that may be exposed to the request, and records the
    /// attempt. Attempts of one content are recorded here one after the other, so that those sent side by side are
    /// bounded too.
    ///
    /// # Errors
    /// As [`Gateway::acquire_local_permit`], and [`Code::ServersEnded`].
    pub(crate) async fn acquire_exposed_permit(
        self: &Rc<Self>,
        mut request: Request,
        attempt: Try,
    ) -> Result<Permit, Failure> {
        let content = attempt.content;
        let started = Instant::now();
        let max_wait = Duration::from_millis(request.max_wait_ms);
        let is_suspect = self.ends.ledger.borrow().is_suspect(started, content);
        // Servers that failed may yet end, so that others wait in vain; those that work on it will answer.
        let max_pending = if is_suspect {
            MAX_VERDICT_WAIT
        } else {
            max_wait
        };
        let until = started + max_pending.min(max_wait);
        loop {
            let pending = match self.verdict(content).await {
                Verdict::Refuse(retry_after) => return Err(servers_ended(retry_after)),
                Verdict::Pending { wait, .. } if wait.is_zero() => {
                    self.look_at_exposed(content).await;
                    continue;
                }
                Verdict::Pending { servers, wait } => Some((servers, wait)),
                Verdict::Send => None,
            };
            let left = max_wait.saturating_sub(started.elapsed());
            request.max_wait_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
            let permit = match pending {
                None => {
                    request.only.clear();
                    self.acquire_local_permit(request.clone()).await?
                }
                Some((_, wait)) if Instant::now() >= until => return Err(servers_ended(wait)),
                Some((servers, _)) => {
                    let permit = self.acquire_among_exposed(&mut request, content, &servers, until);
                    match permit.await {
                        Some(permit) => permit,
                        None => continue,
                    }
                }
            };
            let server = server_hash(&permit.server.id);
            let knowledge = self.knowledge_of(content).await;
            let verdict = {
                let ledger = self.ends.ledger.borrow();
                ledger.verdict_at(Instant::now(), content, Some(server), knowledge)
            };
            if verdict == Verdict::Send {
                self.ends
                    .record(news(attempt, &permit.server.id, What::Began));
                return Ok(permit);
            }
            permit.release(Outcome::Void);
        }
    }

    /// Waits for a permit at one of these exposed servers; `None` once the verdict on the request may be another one.
    async fn acquire_among_exposed(
        self: &Rc<Self>,
        request: &mut Request,
        content: ContentHash,
        exposed: &[ServerHash],
        until: Instant,
    ) -> Option<Permit> {
        let entries = exposed.iter();
        let entries = entries.filter_map(|server| self.server_of_hash(*server));
        request.only = entries.map(|entry| Arc::clone(&entry.id)).collect();
        let pause = until.min(Instant::now() + MAX_LOOK_INTERVAL);
        if !request.only.is_empty() {
            let permit = timeout_at(pause, self.acquire_local_permit(request.clone()));
            if let Ok(Ok(permit)) = permit.await {
                return Some(permit);
            }
        }
        sleep_until(pause).await;
        self.look_at_exposed(content).await;
        None
    }

    /// Records how the attempt of another VM ended, for which this one had granted the server.
    pub(crate) fn record_outcome(&self, request: Try, server: &Entry, outcome: Outcome) {
        let what = match outcome {
            Outcome::Done { .. } => What::Succeeded,
            Outcome::Error => What::Answered,
            Outcome::Full => What::NotRun,
            // The VM has told what happened to the attempt.
            Outcome::Failed | Outcome::Void => return,
        };
        self.ends.record(news(request, &server.id, what));
    }

    /// Records that another VM was lost with its attempt, or did not tell how it ended.
    pub(crate) fn record_lost_attempt(self: &Rc<Self>, request: Try, server: &Entry) {
        self.ends.record(news(request, &server.id, What::Failed));
        self.queue_end_record(request.content);
    }
}
