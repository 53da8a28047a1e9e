//! What this VM asks of other VMs' directories, and what it learns of them.

use super::wire::{News, Packet};
use super::{COPIES, Heard, Relay};
use crate::gateway::world::state::apply_change;
use crate::id::Offset;
use crate::policy::relay::{Requester, Step, next_step};
use crate::telemetry::event;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

/// Time after which a question is sent again. A round trip within a region takes 1 to 4 ms.
const AGAIN: Duration = Duration::from_millis(60);
/// How often it is sent.
const SENDS: usize = 3;
/// For how long a VM that did not answer, or whose directory is old, is not asked again.
const PASSED_OVER: Duration = Duration::from_secs(1);

impl Relay {
    /// Asks VMs one after the other until one has a fresh directory; `reads` tells whether this one may read the store
    /// where none has.
    pub(in crate::gateway::world) async fn hear(
        &self,
        sources: &[SocketAddr],
        reads: bool,
    ) -> Heard {
        let asker = Requester {
            period: self.period,
            without_directory_for: self.as_of().is_none().then(|| self.began.elapsed()),
            may_read_store: reads && self.has_store.get(),
        };
        for source in sources {
            if self.is_passed_over(*source) {
                continue;
            }
            let began = Instant::now();
            let step = match self.ask(*source).await {
                Some(news) => match next_step(news.standing(), asker) {
                    Step::Use => self.learn(&news, began, true),
                    Step::Wait => return Heard::Soon,
                    Step::Next => None,
                },
                None => None,
            };
            if let Some(heard) = step {
                self.note_source(Some(*source));
                return heard;
            }
            self.pass_over(*source, Instant::now());
        }
        self.note_source(None);
        Heard::Nobody
    }

    fn pass_over(&self, source: SocketAddr, now: Instant) {
        let mut passed_over = self.passed_over.borrow_mut();
        passed_over.retain(|_, until| now < *until);
        passed_over.insert(source, now + PASSED_OVER);
    }

    fn is_passed_over(&self, source: SocketAddr) -> bool {
        let passed_over = self.passed_over.borrow();
        passed_over
            .get(&source)
            .is_some_and(|until| Instant::now() < *until)
    }

    /// The VM from which this one heard last.
    pub(in crate::gateway::world) fn source(&self) -> Option<SocketAddr> {
        self.worlds.borrow().directory_source
    }

    fn note_source(&self, source: Option<SocketAddr>) {
        let mut before = source;
        self.worlds.send_if_modified(|world| {
            before = std::mem::replace(&mut world.directory_source, source);
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

    async fn ask(&self, source: SocketAddr) -> Option<News> {
        let number = self.numbers.get();
        self.numbers.set(number + 1);
        let as_of = self.as_of().unwrap_or_default();
        let (answer, mut news) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, answer);
        for _ in 0..SENDS {
            self.send(source, &Packet::Ask { number, as_of }).await;
            if let Ok(news) = timeout(AGAIN, &mut news).await {
                return news.ok();
            }
        }
        self.waiting.borrow_mut().remove(&number);
        None
    }

    /// Takes in what another VM said after `asked`, as an answer or not; none where this VM knows more.
    pub(super) fn learn(&self, news: &News, asked: Instant, answer: bool) -> Option<Heard> {
        self.note_config(news.config);
        let known = self.as_of();
        if known.is_some_and(|known| news.until < known) {
            return None;
        }
        let changes = match (&news.changes, known) {
            (Some(changes), Some(known)) if news.since <= known => changes,
            _ => {
                self.want_copy(news.until);
                return Some(Heard::News);
            }
        };
        self.update(news.until, |world| {
            let changes = changes
                .iter()
                .filter(|change| apply_change(world, change, false));
            // All stand at the last offset: a part of them may follow from what this VM knew.
            changes.map(|change| (news.until, change.clone())).collect()
        });
        let age = news.age_ms.map(Duration::from_millis);
        if let Some(at) = age.and_then(|age| asked.checked_sub(age)) {
            self.aged(at);
        }
        let Some(digest) = news.digest else {
            return Some(Heard::More);
        };
        // Two VMs that read the store at the same time differ for a moment.
        let differs = self.worlds.borrow().directory.digest() != digest;
        if answer && self.differs.replace(differs) && differs {
            event!(info, "directory_differs", as_of = news.until);
            self.want_copy(news.until);
        }
        Some(Heard::News)
    }

    fn note_config(&self, version: u64) {
        let known = self.worlds.borrow().config_version();
        let told = self.told_config.get().map_or(0, |(told, _)| told);
        if version > known.max(told) {
            self.told_config.set(Some((version, Instant::now())));
            self.wanted.notify_one();
        }
    }

    fn want_copy(&self, least: Offset) {
        let lately = self.copied.get().is_some_and(|at| at.elapsed() < COPIES);
        if lately {
            return;
        }
        self.wants_copy.set(Some(least));
        self.wanted.notify_one();
    }
}
