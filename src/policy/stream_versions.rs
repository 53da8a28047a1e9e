//! Software versions of servers, as far as streams depend on them.
//!
//! Load that it answers: servers are replaced by ones of another version while streams break and are taken up again. What two
//! versions write does not fit together, so a stream may go on only at the version that began it. Callers take streams
//! up at any VM, so VMs keep the version of streams that began elsewhere.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How long the version of a stream is kept. Longer than a stream and its caller's tries to take it up.
pub const ORIGIN_LIFETIME: Duration = Duration::from_mins(2);
/// Streams whose version is kept, at about 100 bytes each.
const MAX_ORIGINS: usize = 20_000;

/// Hash that identifies a stream: of the request ID of the try that got its first event.
pub type StreamHash = u64;

/// The versions at which streams began.
///
/// ```
/// use tokio::time::Instant;
/// use vanillatrail::policy::stream_versions::Origins;
/// let (mut origins, now) = (Origins::default(), Instant::now());
/// origins.insert(now, 7, "v1".into());
/// assert_eq!(origins.get(now, 7).as_deref(), Some("v1"));
/// assert_eq!(origins.get(now, 8), None);
/// ```
#[derive(Debug, Default)]
pub struct Origins {
    versions: HashMap<StreamHash, (Arc<str>, Instant)>,
    by_age: VecDeque<StreamHash>,
}

impl Origins {
    /// Records the version at which a stream began. The first record of a stream counts.
    pub fn insert(&mut self, now: Instant, stream: StreamHash, version: Arc<str>) {
        while let Some(oldest) = self.by_age.front() {
            let known = self.versions.get(oldest);
            let is_current = known.is_some_and(|(_, at)| *at + ORIGIN_LIFETIME > now);
            if is_current && self.by_age.len() < MAX_ORIGINS {
                break;
            }
            self.versions.remove(oldest);
            self.by_age.pop_front();
        }
        if self.versions.contains_key(&stream) {
            return;
        }
        self.versions.insert(stream, (version, now));
        self.by_age.push_back(stream);
    }

    /// The version at which a stream began; `None` if it is not known.
    #[must_use]
    pub fn get(&self, now: Instant, stream: StreamHash) -> Option<Arc<str>> {
        let (version, at) = self.versions.get(&stream)?;
        (*at + ORIGIN_LIFETIME > now).then(|| Arc::clone(version))
    }

    /// Number of streams on record.
    #[must_use]
    pub fn len(&self) -> usize {
        self.versions.len()
    }

    /// Whether no stream is on record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }
}

/// Registered servers of one version.
#[derive(Debug, Clone, Copy)]
struct Registered {
    servers: usize,
    /// When the first of them was added.
    since: Instant,
}

/// Registered servers of one service.
#[derive(Debug)]
struct Service {
    versions: HashMap<Arc<str>, Registered>,
    /// When the last server of a version was removed.
    removed: HashMap<Arc<str>, Instant>,
    /// When a version was last added or removed.
    changed_at: Instant,
    /// When there were last several versions; the present state does not count.
    several_until: Option<Instant>,
    /// When the first server was added.
    known_since: Instant,
}

impl Service {
    fn new(now: Instant) -> Self {
        Self {
            versions: HashMap::new(),
            removed: HashMap::new(),
            changed_at: now,
            several_until: None,
            known_since: now,
        }
    }

    fn remove_version(&mut self, now: Instant, version: &Arc<str>) {
        if self.versions.len() > 1 {
            self.several_until = Some(now);
        }
        self.versions.remove(version);
        self.removed.insert(Arc::clone(version), now);
        self.changed_at = now;
    }
}

/// The versions of the registered servers, by service.
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// use vanillatrail::policy::stream_versions::Rollouts;
/// let (mut rollouts, now, second) = (Rollouts::default(), Instant::now(), Duration::from_secs(1));
/// rollouts.add(now, "pool", &"v1".into());
/// assert_eq!(rollouts.only_version(now, "pool", second), None);
/// assert_eq!(rollouts.only_version(now + second, "pool", second).as_deref(), Some("v1"));
/// ```
#[derive(Debug, Default)]
pub struct Rollouts {
    services: HashMap<String, Service>,
}

impl Rollouts {
    /// Replaces all servers, given by service and version.
    pub fn replace<'a>(
        &mut self,
        now: Instant,
        servers: impl Iterator<Item = (&'a str, &'a Arc<str>)>,
    ) {
        for service in self.services.values_mut() {
            for registered in service.versions.values_mut() {
                registered.servers = 0;
            }
        }
        for (service, version) in servers {
            self.add(now, service, version);
        }
        for service in self.services.values_mut() {
            let versions = service.versions.iter();
            let gone = versions.filter(|(_, registered)| registered.servers == 0);
            let gone: Vec<_> = gone.map(|(version, _)| Arc::clone(version)).collect();
            for version in gone {
                service.remove_version(now, &version);
            }
        }
    }

    /// Adds a server.
    pub fn add(&mut self, now: Instant, service: &str, version: &Arc<str>) {
        let service = self
            .services
            .entry(service.to_owned())
            .or_insert_with(|| Service::new(now));
        if let Some(registered) = service.versions.get_mut(version) {
            registered.servers += 1;
            return;
        }
        let registered = Registered {
            servers: 1,
            since: now,
        };
        service.versions.insert(Arc::clone(version), registered);
        service.removed.remove(version);
        service.changed_at = now;
    }

    /// Removes a server.
    pub fn remove(&mut self, now: Instant, service: &str, version: &Arc<str>) {
        let Some(service) = self.services.get_mut(service) else {
            return;
        };
        let Some(registered) = service.versions.get_mut(version) else {
            return;
        };
        registered.servers -= 1;
        if registered.servers == 0 {
            service.remove_version(now, version);
        }
    }

    /// The version of all servers of a service, if no server of another one was registered for this time.
    #[must_use]
    pub fn only_version(&self, now: Instant, service: &str, time: Duration) -> Option<Arc<str>> {
        let service = self.services.get(service)?;
        let mut versions = service.versions.keys();
        let version = versions.next()?;
        let is_only = versions.next().is_none() && service.changed_at + time <= now;
        is_only.then(|| Arc::clone(version))
    }

    /// Whether a service had servers of several versions within this time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    /// use vanillatrail::policy::stream_versions::Rollouts;
    /// let (mut rollouts, now, second) = (Rollouts::default(), Instant::now(), Duration::from_secs(1));
    /// rollouts.add(now, "pool", &"v1".into());
    /// assert!(!rollouts.had_several(now, "pool", second));
    /// rollouts.add(now, "pool", &"v2".into());
    /// rollouts.remove(now, "pool", &"v1".into());
    /// assert!(rollouts.had_several(now, "pool", second));
    /// assert!(!rollouts.had_several(now + second, "pool", second));
    /// ```
    #[must_use]
    pub fn had_several(&self, now: Instant, service: &str, time: Duration) -> bool {
        self.services.get(service).is_some_and(|service| {
            service.versions.len() > 1
                || service
                    .several_until
                    .is_some_and(|until| until + time > now)
        })
    }

    /// Since when a service has servers of this version; `None` if it has none.
    #[must_use]
    pub fn registered_since(&self, service: &str, version: &str) -> Option<Instant> {
        let service = self.services.get(service)?;
        Some(service.versions.get(version)?.since)
    }

    /// Since when a service has no servers of this version, as far as is known; `None` if it has some.
    #[must_use]
    pub fn absent_since(&self, service: &str, version: &str) -> Option<Instant> {
        let service = self.services.get(service)?;
        if service.versions.contains_key(version) {
            return None;
        }
        let removed = service.removed.get(version).copied();
        Some(removed.unwrap_or(service.known_since))
    }
}
