//! The software version at which a stream goes on, within an answer and over the tries of its caller.

use crate::code::{Code, Failure};
use crate::gateway::Gateway;
use crate::gateway::peers::{Note, Question, Reply, peer_address};
use crate::gateway::request::job::Job;
use crate::gateway::server::stream_records::Recorded;
use crate::gateway::world::table::Kind;
use crate::id::rendezvous_score;
use crate::policy::stream_versions::{Origins, StreamHash};
use crate::telemetry::event;
use futures::stream::{FuturesUnordered, StreamExt};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};
use xxhash_rust::xxh3::xxh3_64;

/// VMs that are told the version of a stream, beside the one that serves it.
const HOLDERS: usize = 2;
/// VMs that are asked for it: the holders, and those that came before them when the stream began.
const HOLDERS_ASKED: usize = 4;
/// Longest wait for their answers. A round trip within a region takes 1 to 4 ms.
const HOLDERS_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest age of the directory at which it shows that a service has one version. A server is in use at other VMs before it
/// is in a directory that lags.
const MAX_DIRECTORY_AGE: Duration = Duration::from_millis(1500);
/// Time for which a service must have had one version, relative to the time limit of the route: streams that began before it
/// have ended.
const ONE_VERSION_TIMEOUTS: u32 = 2;
/// `Retry-After` for a caller that must request the stream from its first event.
const RESTART_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The versions of streams that began here, or whose holder this VM is.
#[derive(Debug, Default)]
pub(crate) struct StreamVersions {
    origins: RefCell<Origins>,
}

impl StreamVersions {
    pub(crate) fn count(&self) -> usize {
        self.origins.borrow().len()
    }

    pub(crate) fn get(&self, stream: StreamHash) -> Option<Arc<str>> {
        self.origins.borrow().get(Instant::now(), stream)
    }

    pub(crate) fn insert(&self, stream: StreamHash, version: Arc<str>) {
        let mut origins = self.origins.borrow_mut();
        origins.insert(Instant::now(), stream, version);
    }
}

/// Where the version of a stream is known from.
#[derive(Debug, Clone, Copy)]
enum Source {
    Own,
    Holder,
    /// It was recorded at the store.
    Record,
    /// All streams of the service have it, by the records at the store.
    OnlyMark,
    /// All servers of the service have it.
    OnlyVersion,
}

impl Source {
    const fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Holder => "holder",
            Self::Record => "record",
            Self::OnlyMark => "only_mark",
            Self::OnlyVersion => "only_version",
        }
    }
}

impl Job {
    fn stream_hash(&self, id: &str) -> StreamHash {
        xxh3_64(format!("{}/{id}", self.team_name().unwrap_or_default()).as_bytes())
    }

    /// Records the version of the server that sent the first event of this stream, here and at other VMs: a caller may take
    /// the stream up there. Must come before the event is passed on.
    pub(crate) async fn record_stream_version(&self, version: &Arc<str>) {
        if self.stream_version.borrow().is_some() {
            return;
        }
        self.stream_version.replace(Some(Arc::clone(version)));
        if !self.route.resumable || self.meta.id.is_empty() {
            return;
        }
        let stream = self.stream_hash(&self.meta.id);
        let gateway = &self.gateway;
        gateway.stream_versions.insert(stream, Arc::clone(version));
        for holder in gateway.stream_holders(stream, HOLDERS) {
            let version = Arc::clone(version);
            let note = Note::StreamBegan { stream, version };
            gateway.peers.notify(holder, note).await;
        }
        gateway.record_stream(&self.service, stream, version, self.route.timeout);
        gateway.mark_version(&self.service, version).await;
    }

    /// Finds the version of the stream that this request takes up, if it takes one up.
    ///
    /// # Errors
    /// [`Code::StreamVersionLost`] if it is unknown and could be one of several.
    pub(crate) async fn find_stream_version(&self) -> Result<(), Failure> {
        let is_resumable = self.route.kind == Kind::Stream && self.route.resumable;
        let Some(last_event) = self.meta.last_event.filter(|_| is_resumable) else {
            return Ok(());
        };
        let found = self.stream_version_source().await;
        event!(
            info,
            "stream_taken_up",
            id = self.meta.id,
            resumes = self.meta.resumes.as_deref().unwrap_or_default(),
            last = last_event,
            version = found.as_ref().map_or("", |(version, _)| &**version),
            source = found.as_ref().map_or("none", |(_, source)| source.name()),
            content = self.content()
        );
        let Some((version, _)) = found else {
            return Err(stream_version_lost());
        };
        self.stream_version.replace(Some(version));
        Ok(())
    }

    async fn stream_version_source(&self) -> Option<(Arc<str>, Source)> {
        let gateway = &self.gateway;
        let time = self.route.timeout * ONE_VERSION_TIMEOUTS;
        let Some(resumes) = &self.meta.resumes else {
            let version = match gateway.recorded_version(&self.service, None).await {
                Recorded::OnlyVersion(version) => return Some((version, Source::OnlyMark)),
                Recorded::Version(_) | Recorded::Several => return None,
                // No stream has begun here since VMs write marks.
                Recorded::Nothing => {
                    gateway
                        .agreed_version(&self.service, Duration::ZERO)
                        .await?
                }
                Recorded::Unreadable => gateway.agreed_version(&self.service, time).await?,
            };
            return Some((version, Source::OnlyVersion));
        };
        let stream = self.stream_hash(resumes);
        if let Some(version) = gateway.stream_versions.get(stream) {
            return Some((version, Source::Own));
        }
        if let Some(version) = gateway.ask_holders(stream).await {
            gateway.stream_versions.insert(stream, Arc::clone(&version));
            return Some((version, Source::Holder));
        }
        match gateway.recorded_version(&self.service, Some(stream)).await {
            Recorded::OnlyVersion(version) => Some((version, Source::OnlyMark)),
            Recorded::Version(version) => Some((version, Source::Record)),
            Recorded::Several => None,
            Recorded::Nothing | Recorded::Unreadable => {
                let version = gateway.agreed_version(&self.service, time).await?;
                Some((version, Source::OnlyVersion))
            }
        }
    }
}

/// The failure of a request that can't go on at the version of its stream.
pub(crate) fn stream_version_lost() -> Failure {
    let failure = Failure::refused(
        Code::StreamVersionLost,
        "the stream can't go on at its software version; request it from its first event",
    );
    failure.retry_after(RESTART_RETRY_AFTER)
}

impl Gateway {
    /// The VMs that come first for a stream, without this one.
    fn stream_holders(&self, stream: StreamHash, count: usize) -> Vec<SocketAddr> {
        let key = format!("stream/{stream}");
        let view = self.view.borrow();
        let others = view.members.values();
        let others = others.filter(|member| member.vm != self.settings.vm);
        let mut ranked: Vec<_> = others
            .map(|member| (rendezvous_score(&key, member.vm.as_str()), member))
            .collect();
        ranked.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
        let first = ranked.into_iter().take(count);
        first
            .map(|(_, member)| peer_address(member.address))
            .collect()
    }

    async fn ask_holders(&self, stream: StreamHash) -> Option<Arc<str>> {
        let holders = self.stream_holders(stream, HOLDERS_ASKED);
        self.first_version(&holders, &Question::StreamVersion { stream })
            .await
    }

    /// The first version that one of these VMs answers.
    async fn first_version(&self, vms: &[SocketAddr], question: &Question) -> Option<Arc<str>> {
        let answers = vms
            .iter()
            .map(|vm| timeout(HOLDERS_TIMEOUT, self.peers.ask(*vm, question)));
        let mut answers: FuturesUnordered<_> = answers.collect();
        while let Some(answer) = answers.next().await {
            if let Ok(Some(Reply::Version(Some(version)))) = answer {
                return Some(version);
            }
        }
        None
    }

    /// The version of all servers of a service, if this VM or another one is sure that there was no other for this time.
    async fn agreed_version(&self, service: &str, time: Duration) -> Option<Arc<str>> {
        if let Some(version) = self.only_version(service, time).await {
            return Some(version);
        }
        let version = {
            let rollouts = self.queue.rollouts.borrow();
            rollouts.only_version(Instant::now(), service, Duration::ZERO)?
        };
        // This VM may have started only now, and have its directory from a copy.
        let question = Question::OnlyVersion {
            service: service.into(),
            time,
        };
        let others = self.stream_holders(xxh3_64(service.as_bytes()), HOLDERS_ASKED);
        let known = self.first_version(&others, &question).await;
        known.filter(|known| *known == version)
    }

    /// The version of all servers of a service, if this VM is sure that there was no other for this time.
    pub(crate) async fn only_version(&self, service: &str, time: Duration) -> Option<Arc<str>> {
        let version = {
            let rollouts = self.queue.rollouts.borrow();
            rollouts.only_version(Instant::now(), service, time)?
        };
        let confirmed_at = self.routing.borrow().directory_confirmed_at?;
        // A VM that reaches most others gets new servers from them, unless the store answers none.
        let is_current =
            confirmed_at.elapsed() <= MAX_DIRECTORY_AGE || self.reaches_majority().await;
        is_current.then_some(version)
    }
}
