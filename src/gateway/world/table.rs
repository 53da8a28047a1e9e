//! The routing table: which service handles a request, and how it may be retried and limited.

use crate::gateway::world::team::Teams;
use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

/// Whether requests of a route may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A request may run more than once.
    Safe,
    /// A request must run at most once.
    Unsafe,
    /// The response is an event stream; whether it can be retried depends on [`Route::resumable`].
    Stream,
}

impl Kind {
    /// The name used in the configuration and in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
            Self::Stream => "stream",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "safe" => Ok(Self::Safe),
            "unsafe" => Ok(Self::Unsafe),
            "stream" => Ok(Self::Stream),
            other => Err(format!("unknown route kind `{other}`")),
        }
    }
}

/// One service behind a route, with its share of the requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the weights of the route's other targets.
    pub weight: f64,
}

/// How requests for one host and path prefix are handled.
#[derive(Debug, Clone, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a flag of the configuration"
)]
pub struct Route {
    /// Name of the route in logs and metrics.
    pub name: String,
    /// Matches the `Host` header, ignoring case and port.
    pub host: String,
    /// Matches the start of the request path; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be retried.
    pub kind: Kind,
    /// Longest time until the response is complete.
    pub timeout: Duration,
    /// Latency objective (SLO) of the route; zero if none is configured.
    pub latency_target: Duration,
    /// Maximum number of backend servers that one request is tried on.
    pub attempts: u32,
    /// Scheduling priority; 0 is the highest.
    pub rank: u8,
    /// The services that requests are split between.
    pub targets: Vec<Target>,
    /// Whether a broken stream may be resumed on another backend server.
    pub resumable: bool,
    /// Whether the gateway stores the conversation history, so that callers send only the new turn.
    pub stores_history: bool,
    /// How long a program may stay idle between two turns; `None` for the default.
    pub program_idle_timeout: Option<Duration>,
    /// Whether requests need no API key.
    pub public: bool,
    /// Whether a server that recently handled an object handles it faster.
    pub sticky: bool,
}

impl Route {
    /// Whether a request may run more than once, judged by the kind and [`Route::resumable`].
    #[must_use]
    pub fn idempotent(&self) -> bool {
        match self.kind {
            Kind::Safe => true,
            Kind::Unsafe => false,
            Kind::Stream => self.resumable,
        }
    }

    /// Picks a target by weight; `draw` is uniform over all `u64` values. `None` without targets.
    #[must_use]
    pub fn pick_service(&self, draw: u64) -> Option<&str> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut remaining = draw as f64 / u64::MAX as f64 * total;
        for target in &self.targets {
            remaining -= target.weight;
            if remaining < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| target.service.as_str())
    }
}

/// Settings of a service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Service {
    /// Connections that one server accepts from all VMs together; `None` if not configured.
    pub max_connections: Option<usize>,
    /// Set if the servers of the service are model engines.
    pub engine: Option<Engine>,
}

/// Settings of the model engines of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Engine {
    /// Requests that one engine processes in a batch.
    pub slots: usize,
    /// Capacity of one engine's KV cache, in tokens.
    pub cache_tokens: u64,
    /// Tokens per event of a response stream.
    pub tokens_per_event: u64,
    /// Whether a run may be moved to another engine.
    pub moves: bool,
    /// Whether a run's memory may be copied to another engine while it runs.
    pub backups: bool,
    /// Longest time for which an ended run may stay in an engine's memory; zero if it may not.
    pub pin_limit: Duration,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sizes {
    /// Maximum size of the request line and headers.
    pub max_head_bytes: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Time within which the head of a request has to arrive.
    pub head_timeout: Duration,
    /// Time after which an idle keep-alive connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Sizes {
    fn default() -> Self {
        Self {
            max_head_bytes: 16_384,
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    /// Version number; a configuration with a higher version replaces this one.
    pub version: u64,
    /// Routes by host, in lower case; the longest prefixes first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Limits on callers' requests and connections.
    pub request_limits: Sizes,
    /// The teams that may send requests; `None` if requests need no API key.
    pub teams: Option<Teams>,
}

impl Table {
    /// Indexes `routes` by host and prefix. The table has no teams.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: HashMap<String, Service>,
        request_limits: Sizes,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            routes: hosts,
            services,
            request_limits,
            teams: None,
        }
    }

    /// Finds the route of `host` with the longest prefix that matches `path`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = self
            .routes
            .get(name)
            .or_else(|| self.routes.get(&name.to_ascii_lowercase()))?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Longest time limit of the routes with streams that callers may resume; zero if there are none.
    #[must_use]
    pub fn longest_resumable_timeout(&self) -> Duration {
        let routes = self.routes.values().flatten();
        let timeouts = routes
            .filter(|route| route.resumable)
            .map(|route| route.timeout);
        timeouts.max().unwrap_or_default()
    }

    /// Longest time for which a route lets programs pause; `None` if no route tells.
    #[must_use]
    pub fn longest_program_pause(&self) -> Option<Duration> {
        let routes = self.routes.values().flatten();
        routes.filter_map(|route| route.program_idle_timeout).max()
    }

    /// Number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Whether the table has no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
