//! Requests directory changes from other VMs, and applies what they send.

use super::wire::{News, Packet};
use super::{Heard, MIN_COPY_INTERVAL, Relay};
use crate::gateway::world::state::apply_change;
use crate::id::Offset;
use crate::policy::relay::{Requester, Step, next_step};
use crate::telemetry::event;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

/// Time without an answer after which a request is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(60);
/// How often a request is sent in all.
const MAX_SENDS: usize = 3;
/// For how long a VM that did not answer, or whose directory is outdated, is skipped.
const SKIP_DURATION: Duration = Duration::from_secs(1);

impl Relay {
    /// Asks VMs in turn until one has a fresh directory. `may_read_store` says whether this VM may read the store if
    /// none has.
    pub(in crate::gateway::world) async fn hear(
        &self,
        sources: &[SocketAddr],
        may_read_store: bool,
    ) -> Heard {
        let requester = Requester {
            period: self.period,
            without_directory_for: self.as_of().is_none().then(|| self.started.elapsed()),
            may_read_store: may_read_store && self.has_store.get(),
        };
        for source in sources {
            if self.is_skipped(*source) {
                continue;
            }
            let asked_at = Instant::now();
            let outcome = match self.request_news(*source).await {
                Some(news) => match next_step(news.status(), requester) {
                    Step::Use => self.apply_news(&news, asked_at, true),
                    Step::Wait => return Heard::Soon,
                    Step::Next => None,
                },
                None => None,
            };
            if let Some(heard) = outcome {
                self.note_source(Some(*source));
                return heard;
            }
            self.skip(*source, Instant::now());
        }
        self.note_source(None);
        Heard::Nobody
    }

    fn skip(&self, source: SocketAddr, now: Instant) {
        let mut skipped_until = self.skipped_until.borrow_mut();
        skipped_until.retain(|_, until| now < *until);
        skipped_until.insert(source, now + SKIP_DURATION);
    }

    fn is_skipped(&self, source: SocketAddr) -> bool {
        let skipped_until = self.skipped_until.borrow();
        skipped_until
            .get(&source)
            .is_some_and(|until| Instant::now() < *until)
    }

    /// The VM that last sent this one directory changes; `None` if it reads the store.
    pub(in crate::gateway::world) fn source(&self) -> Option<SocketAddr> {
        self.routing.borrow().directory_source
    }

    fn note_source(&self, source: Option<SocketAddr>) {
        let mut before = source;
        self.routing.send_if_modified(|routing| {
            before = std::mem::replace(&mut routing.directory_source, source);
            false
        });
        if before != source {
            let name = |source: Option<SocketAddr>| {
                source.map_or_else(|| "store".to_owned(), |source| source.to_string())
            };
            event!(
                info,
                "directory_source",
                from = name(source),
                before = name(before),
                as_of = self.as_of().unwrap_or_default()
            );
        }
    }

    async fn request_news(&self, source: SocketAddr) -> Option<News> {
        let number = self.next_request_number.get();
        self.next_request_number.set(number + 1);
        let as_of = self.as_of().unwrap_or_default();
        let (sender, mut receiver) = oneshot::channel();
        self.pending_requests.borrow_mut().insert(number, sender);
        for _ in 0..MAX_SENDS {
            self.send(source, &Packet::Ask { number, as_of }).await;
            if let Ok(news) = timeout(RESEND_INTERVAL, &mut receiver).await {
                return news.ok();
            }
        }
        self.pending_requests.borrow_mut().remove(&number);
        None
    }

    /// Applies changes that another VM sent after `asked_at`, as an answer or unrequested. Returns `None` if this VM's
    /// directory is newer.
    pub(super) fn apply_news(
        &self,
        news: &News,
        asked_at: Instant,
        is_answer: bool,
    ) -> Option<Heard> {
        self.note_config_version(news.config);
        let known = self.as_of();
        if known.is_some_and(|known| news.until < known) {
            return None;
        }
        let changes = match (&news.changes, known) {
            (Some(changes), Some(known)) if news.since <= known => changes,
            _ => {
                self.request_copy(news.until);
                return Some(Heard::News);
            }
        };
        self.update(news.until, |routing| {
            let changes = changes
                .iter()
                .filter(|change| apply_change(routing, change, false));
            // All get the last offset, since this VM may have known some of them.
            changes.map(|change| (news.until, change.clone())).collect()
        });
        let age = news.age_ms.map(Duration::from_millis);
        if let Some(at) = age.and_then(|age| asked_at.checked_sub(age)) {
            self.aged(at);
        }
        let Some(digest) = news.digest else {
            return Some(Heard::More);
        };
        // Digests may differ briefly while two VMs read the store, so only a second difference in a row triggers a
        // copy.
        let differs = self.routing.borrow().directory.digest() != digest;
        if is_answer && self.digest_differs.replace(differs) && differs {
            event!(info, "directory_differs", as_of = news.until);
            self.request_copy(news.until);
        }
        Some(Heard::News)
    }

    fn note_config_version(&self, version: u64) {
        let known = self.routing.borrow().config_version();
        let announced = self.told_config.get().map_or(0, |(announced, _)| announced);
        if version > known.max(announced) {
            self.told_config.set(Some((version, Instant::now())));
            self.wanted.notify_one();
        }
    }

    fn request_copy(&self, minimum: Offset) {
        let is_recent = self
            .last_copied_at
            .get()
            .is_some_and(|at| at.elapsed() < MIN_COPY_INTERVAL);
        if is_recent {
            return;
        }
        self.wants_copy.set(Some(minimum));
        self.wanted.notify_one();
    }
}
