//! Routes: which service answers a request, and what may be done with it on the way.

use crate::gateway::world::team::Teams;
use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

/// What may be repeated of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It may run more than once.
    Safe,
    /// It may run at most once.
    Unsafe,
    /// Its answer is a series of events.
    Stream,
}

impl Kind {
    /// Its name.
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
            other => Err(format!("not a kind of route: `{other}`")),
        }
    }
}

/// A service that a route leads to, and its share of the requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// The service.
    pub service: String,
    /// Its share, against the weights of the other targets.
    pub weight: f64,
}

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that a request must name.
    pub host: String,
    /// How the path of a request must begin; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// How long a caller may be kept waiting for the final answer.
    pub timeout: Duration,
    /// The time within which an answer is worth most.
    pub objective: Duration,
    /// Backend servers that one request may run on.
    pub attempts: u32,
    /// The rank; 0 goes first.
    pub rank: u8,
    /// Where requests go.
    pub targets: Vec<Target>,
    /// Whether a broken stream may go on at another backend server.
    pub resumable: bool,
    /// Whether callers send only what is new in a turn, and the system keeps what was said before.
    pub keeps_turns: bool,
    /// How long a program may pause between two turns and still come back.
    pub program_idle: Option<Duration>,
    /// Whether its requests need no key.
    pub public: bool,
}

impl Route {
    /// Whether a request may run more than once.
    #[must_use]
    pub fn idempotent(&self) -> bool {
        match self.kind {
            Kind::Safe => true,
            Kind::Unsafe => false,
            Kind::Stream => self.resumable,
        }
    }

    /// The service for a request; `draw` is uniform over all numbers and decides among the targets.
    #[must_use]
    pub fn service(&self, draw: u64) -> Option<&str> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = draw as f64 / u64::MAX as f64 * total;
        for target in &self.targets {
            left -= target.weight;
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| target.service.as_str())
    }
}

/// What is known of a service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Service {
    /// Connections that one of its servers accepts, from all VMs together.
    pub max_connections: Option<usize>,
    /// Set where its servers are model engines.
    pub engine: Option<Engine>,
}

/// What is known of the engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that one engine batches.
    pub slots: usize,
    /// Tokens that fit into one engine's memory.
    pub memory_tokens: u64,
    /// Tokens that one event of a stream stands for.
    pub tokens_per_event: u64,
}

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sizes {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// How long a kept connection may stay idle.
    pub idle: Duration,
}

impl Default for Sizes {
    fn default() -> Self {
        Self {
            head_bytes: 16_384,
            body_bytes: 4 << 20,
            idle: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    /// Its version; a higher one replaces it.
    pub version: u64,
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Bounds on what a caller may send.
    pub sizes: Sizes,
    /// The teams that may send requests; none where no keys are asked for.
    pub teams: Option<Teams>,
}

impl Table {
    /// A table of `routes`.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: HashMap<String, Service>,
        sizes: Sizes,
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
            sizes,
            teams: None,
        }
    }

    /// The route with the longest prefix that begins `path`, among those of `host`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = self
            .routes
            .get(name)
            .or_else(|| self.routes.get(&name.to_ascii_lowercase()))?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// How many routes there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Whether there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
