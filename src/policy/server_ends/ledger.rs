//! What VMs remember of the requests under which servers end, and the verdict on each.

use super::record::Record;
use super::{
    ATTEMPT_LIFETIME, END_LIFETIME, Knowledge, MAX_ENDED_SERVERS, MAX_KNOWN, MAX_NEWS_PER_MESSAGE,
    News, ServerHash, Verdict, What,
};
use crate::id::ContentHash;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// `Retry-After` where this VM alone may not send a request on. Others may know more by then.
const INCOMPLETE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` where this VM is about to learn what was before its start.
const UNREAD_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Requests that are remembered, at about 300 bytes each.
const MAX_REQUESTS: usize = 4096;
/// Servers that ended lately and are remembered, at about 50 bytes each.
const MAX_GONE_SERVERS: usize = 512;
/// Largest error of the age of repeated news, from its way and from rounding.
const MAX_AGE_ERROR: Duration = Duration::from_secs(1);

/// The requests that are under way or have failed lately, and the servers that ended under them.
#[derive(Debug, Default)]
pub struct Ledger {
    records: HashMap<ContentHash, Record>,
    /// Those with the fewest ends and attempts first, so that a server that ends under many requests at once does not
    /// displace the one that ends servers.
    drop_order: BTreeSet<(usize, Instant, ContentHash)>,
    /// Servers that ended, so that an attempt counts whose failure becomes known later.
    gone: HashMap<ServerHash, Instant>,
}

impl Ledger {
    /// Whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether a success excuses an attempt that began then: the request had met no failure since its last success, or
    /// has succeeded since.
    #[must_use]
    pub fn excuses(&self, now: Instant, content: ContentHash, began: Instant) -> bool {
        let record = self.current(now, content);
        record.is_some_and(|record| record.is_proven() || record.succeeded >= Some(began))
    }

    /// Whether a request has failed, or servers ended under it, since it succeeded last.
    #[must_use]
    pub fn is_suspect(&self, now: Instant, content: ContentHash) -> bool {
        let record = self.current(now, content);
        record.is_some_and(Record::is_suspect)
    }

    /// Whether a request without a success was sent to more than one server.
    #[must_use]
    pub fn is_repeated(&self, now: Instant, content: ContentHash) -> bool {
        let record = self.current(now, content);
        record.is_some_and(|record| {
            !record.is_proven() && record.attempts.len() + record.ended.len() > 1
        })
    }

    /// Whether an attempt at this server is on record.
    #[must_use]
    pub fn knows_attempt(&self, now: Instant, content: ContentHash, server: ServerHash) -> bool {
        let record = self.current(now, content);
        record.is_some_and(|record| record.has_attempt(server))
    }

    /// Records what happened. Returns what other VMs have to be told of it; `None` if it was no news.
    ///
    /// ```
    /// use tokio::time::Instant;
    /// use vanillatrail::id::ContentHash;
    /// use vanillatrail::policy::server_ends::{Ledger, News, What};
    /// let (mut ledger, now) = (Ledger::default(), Instant::now());
    /// let news = |what| News { content: ContentHash(1), server: 7, run: 1, what, excused: false, age_ms: 0 };
    /// assert!(ledger.record(now, news(What::Began)).is_some());
    /// assert_eq!(ledger.record(now, news(What::Ended)), Some(news(What::Ended)));
    /// assert_eq!(ledger.record(now, news(What::Ended)), None);
    /// assert_eq!(ledger.ended(now, ContentHash(1)), 1);
    /// ```
    pub fn record(&mut self, now: Instant, news: News) -> Option<News> {
        let age = Duration::from_millis(news.age_ms.into());
        let lifetime = match news.what {
            What::Ended | What::Lost => END_LIFETIME,
            _ => ATTEMPT_LIFETIME,
        };
        if age >= lifetime {
            return None;
        }
        let at = now.checked_sub(age).unwrap_or(now);
        let News {
            content,
            server,
            run,
            ..
        } = news;
        let record = self.take(now, content);
        let mut record = record.unwrap_or_else(|| Record::new(at));
        let what = match news.what {
            What::Failed if self.is_gone(server) => What::Ended,
            what => what,
        };
        // Old news is repeated, and each repetition seems a little younger.
        let is_repeated = news.age_ms > 0;
        let is_excused = is_repeated && record.succeeded >= Some(at);
        let result = match what {
            What::Succeeded => {
                let known = record.succeeded.map(|known| known + MAX_AGE_ERROR);
                let is_known = is_repeated && known >= Some(at);
                if !is_known {
                    record.succeed(at, server, run);
                }
                (!is_known).then_some(news)
            }
            _ if is_excused || record.has_ended(server) => None,
            What::Lost => {
                let is_new = record.lost.is_none();
                record.lost.get_or_insert(at);
                is_new.then_some(news)
            }
            What::Began => {
                let attempt = record.attempt_or_new(server);
                attempt.excused |= news.excused;
                let is_new = attempt.begin(at, run);
                is_new.then_some(news)
            }
            What::NotRun => {
                let was_known = record.end_run(server, run, false);
                was_known.then_some(news)
            }
            What::Failed if is_repeated && record.has_failed(server) => None,
            What::Failed => {
                let excused = record.fail(at, server, run, news.excused);
                Some(News { excused, ..news })
            }
            What::Ended => {
                let excused = record.add_end(at, server, news.excused);
                excused.map(|excused| News {
                    what,
                    excused,
                    ..news
                })
            }
            What::Answered => {
                let was_known = record.end_run(server, run, true);
                was_known.then_some(news)
            }
        };
        if result.is_some() {
            record.last = record.last.max(at);
        }
        self.put(content, record);
        result
    }

    /// Removes a record that has not expired, to change it.
    fn take(&mut self, now: Instant, content: ContentHash) -> Option<Record> {
        let record = self.records.remove(&content)?;
        self.drop_order.remove(&record.drop_key(content));
        (record.expires() > now).then_some(record)
    }

    fn put(&mut self, content: ContentHash, record: Record) {
        self.drop_order.insert(record.drop_key(content));
        self.records.insert(content, record);
        if self.records.len() > MAX_REQUESTS
            && let Some((_, _, dropped)) = self.drop_order.pop_first()
        {
            self.records.remove(&dropped);
        }
    }

    /// Counts the end of a server for each request whose last attempt there failed. What is being sent there counts once it
    /// has failed, since it may not reach the server. Returns what other VMs have to be told of it.
    ///
    /// ```
    /// use tokio::time::Instant;
    /// use vanillatrail::id::ContentHash;
    /// use vanillatrail::policy::server_ends::{Ledger, News, What};
    /// let (mut ledger, now) = (Ledger::default(), Instant::now());
    /// let what = What::Failed;
    /// ledger.record(now, News { content: ContentHash(1), server: 7, run: 1, what, excused: false, age_ms: 0 });
    /// assert_eq!(ledger.server_ended(now, 7).len(), 1);
    /// assert_eq!(ledger.ended(now, ContentHash(1)), 1);
    /// ```
    pub fn server_ended(&mut self, now: Instant, server: ServerHash) -> Vec<News> {
        if self.gone.len() >= MAX_GONE_SERVERS
            && let Some((oldest, _)) = self.gone.iter().min_by_key(|(_, at)| **at)
        {
            let oldest = *oldest;
            self.gone.remove(&oldest);
        }
        self.gone.insert(server, now);
        let records = self.records.iter();
        let affected = records.filter(|(_, record)| record.counts_end_of(now, server));
        let affected: Vec<ContentHash> = affected.map(|(content, _)| *content).collect();
        let ended = affected
            .into_iter()
            .filter_map(|content| self.server_ended_under(now, content, server));
        ended.collect()
    }

    /// As [`Ledger::server_ended`], for one request alone: whether others met the end is not known.
    pub fn server_ended_under(
        &mut self,
        now: Instant,
        content: ContentHash,
        server: ServerHash,
    ) -> Option<News> {
        // Without an attempt on record, a success has excused its failure meanwhile.
        let record = self.current(now, content)?;
        let end = News {
            content,
            server,
            run: 0,
            what: What::Ended,
            excused: false,
            age_ms: 0,
        };
        record.has_attempt(server).then(|| self.record(now, end))?
    }

    /// Records that a server which seemed to have ended is registered.
    pub fn server_registered(&mut self, server: ServerHash) {
        self.gone.remove(&server);
    }

    /// Whether a server ended lately.
    #[must_use]
    pub fn is_gone(&self, server: ServerHash) -> bool {
        self.gone.contains_key(&server)
    }

    /// Records that a server to be looked at lives.
    pub fn server_lives(&mut self, now: Instant, content: ContentHash, server: ServerHash) {
        let attempt = self.records.get_mut(&content);
        let attempt = attempt.and_then(|record| record.attempt(server));
        if let Some(attempt) = attempt {
            attempt.survived = attempt.exposed_until().is_some_and(|until| until <= now);
        }
    }

    /// Servers that ended under a request.
    #[must_use]
    pub fn ended(&self, now: Instant, content: ContentHash) -> usize {
        self.current(now, content).map_or(0, Record::count_ended)
    }

    fn current(&self, now: Instant, content: ContentHash) -> Option<&Record> {
        let record = self.records.get(&content)?;
        (record.expires() > now).then_some(record)
    }

    /// Whether a request may be sent to one more server.
    #[must_use]
    pub fn verdict(&self, now: Instant, content: ContentHash, knowledge: Knowledge) -> Verdict {
        self.verdict_at(now, content, None, knowledge)
    }

    /// Whether a request may be sent to this server, which may be exposed to it already.
    #[must_use]
    pub fn verdict_at(
        &self,
        now: Instant,
        content: ContentHash,
        server: Option<ServerHash>,
        knowledge: Knowledge,
    ) -> Verdict {
        if knowledge == Knowledge::Unread {
            return Verdict::Refuse(UNREAD_RETRY_AFTER);
        }
        let Some(record) = self.current(now, content) else {
            return Verdict::Send;
        };
        if record.count_ended() >= MAX_ENDED_SERVERS {
            return Verdict::Refuse(record.expires().saturating_duration_since(now));
        }
        if record.count_ended() >= knowledge.max_ended() {
            return Verdict::Refuse(INCOMPLETE_RETRY_AFTER);
        }
        if record.is_proven() {
            return Verdict::Send;
        }
        let attempts = record.attempts.iter();
        let unknown = attempts.filter(|attempt| attempt.needs_look(now));
        let unknown: Vec<_> = unknown.map(|attempt| attempt.server).collect();
        if !unknown.is_empty() {
            return Verdict::Pending {
                servers: unknown,
                wait: Duration::ZERO,
            };
        }
        let exposed = record.exposed(now);
        let is_exposed = exposed.iter().any(|attempt| Some(attempt.server) == server);
        let others = exposed.len() - usize::from(is_exposed);
        if record.count_ended() + others < MAX_ENDED_SERVERS {
            return Verdict::Send;
        }
        let until = exposed.iter().filter_map(|attempt| attempt.exposed_until());
        let until = until.min().unwrap_or(now);
        Verdict::Pending {
            servers: exposed.iter().map(|attempt| attempt.server).collect(),
            wait: until.saturating_duration_since(now),
        }
    }

    /// Counts an attempt that may have been lost with all VMs, if nothing is known of the request. A success excuses it.
    ///
    /// ```
    /// use tokio::time::Instant;
    /// use vanillatrail::id::ContentHash;
    /// use vanillatrail::policy::server_ends::Ledger;
    /// let (mut ledger, now) = (Ledger::default(), Instant::now());
    /// ledger.assume_lost_attempt(now, ContentHash(1));
    /// assert_eq!(ledger.ended(now, ContentHash(1)), 1);
    /// ```
    pub fn assume_lost_attempt(&mut self, now: Instant, content: ContentHash) {
        if self.current(now, content).is_some() {
            return;
        }
        self.record(
            now,
            News {
                content,
                server: 0,
                run: 0,
                what: What::Lost,
                excused: false,
                age_ms: 0,
            },
        );
    }

    /// Whether an attempt is counted that may have been lost with all VMs.
    #[must_use]
    pub fn assumes_lost_attempt(&self, now: Instant, content: ContentHash) -> bool {
        let record = self.current(now, content);
        record.is_some_and(|record| record.lost.is_some())
    }

    /// Whether a server is known to have ended under a request.
    #[must_use]
    pub fn met_ended_server(&self, now: Instant, content: ContentHash) -> bool {
        let record = self.current(now, content);
        record.is_some_and(|record| !record.ended.is_empty())
    }

    /// All that is known of one request.
    #[must_use]
    pub fn describe(&self, now: Instant, content: ContentHash) -> Vec<News> {
        let record = self.current(now, content);
        let known = record.map(|record| record.describe(now, content));
        known.into_iter().flatten().collect()
    }

    /// What is known of one request, for another VM; at most [`MAX_KNOWN`], the ends first.
    #[must_use]
    pub fn known(&self, now: Instant, content: ContentHash) -> Vec<News> {
        let record = self.current(now, content);
        let known = record.map(|record| record.describe(now, content));
        known.into_iter().flatten().take(MAX_KNOWN).collect()
    }

    /// What to tell another VM, at most [`MAX_NEWS_PER_MESSAGE`]: of the requests with most ends, the newest first.
    #[must_use]
    pub fn worst(&self, now: Instant) -> Vec<News> {
        let with_attempts = self.drop_order.iter().rev();
        let with_attempts = with_attempts.take_while(|(weight, ..)| *weight > 0);
        let records = with_attempts
            .filter_map(|(_, _, content)| Some((*content, self.records.get(content)?)));
        let news = records.flat_map(|(content, record)| record.describe(now, content));
        news.take(MAX_NEWS_PER_MESSAGE).collect()
    }

    /// As [`Ledger::worst`], without requests that have met no failure.
    #[must_use]
    pub fn worst_failures(&self, now: Instant) -> Vec<News> {
        let mut news = self.worst(now);
        let is_told = |record: &Record| record.is_suspect() || record.has_excused;
        news.retain(|news| self.records.get(&news.content).is_some_and(is_told));
        news
    }

    /// Number of requests on record, and of those that are refused.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let refused = self.records.values();
        let refused = refused.filter(|record| record.count_ended() >= MAX_ENDED_SERVERS);
        (self.records.len(), refused.count())
    }

    /// Counts ended servers for attempts of which nobody told in time how they ended. Returns what other VMs have to be told.
    pub fn count_untold(&mut self, now: Instant) -> Vec<News> {
        let gone: Vec<ServerHash> = self.gone.keys().copied().collect();
        let untold = self.records.iter().flat_map(|(content, record)| {
            let servers = gone.iter().copied();
            let ended = servers.filter(move |server| record.counts_end_of(now, *server));
            ended.map(move |server| (*content, server))
        });
        let untold: Vec<_> = untold.collect();
        let ended = untold
            .into_iter()
            .filter_map(|(content, server)| self.server_ended_under(now, content, server));
        ended.collect()
    }

    /// Drops what has expired.
    pub fn drop_expired(&mut self, now: Instant) {
        let records = &mut self.records;
        self.drop_order.retain(|(_, _, content)| {
            let keeps = records
                .get(content)
                .is_some_and(|record| record.expires() > now);
            if !keeps {
                records.remove(content);
            }
            keeps
        });
        self.gone.retain(|_, at| *at + ATTEMPT_LIFETIME > now);
    }
}
