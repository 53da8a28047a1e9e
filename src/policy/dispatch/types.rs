//! Servers, requests and their results, as the dispatcher sees them.

use crate::id::Permit;
use crate::policy::prefix::Part;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Longest queue time of a request whose program is late or was not admitted. Short, so that its
/// caller can retry in time. About a quarter of the targets of the shorter programs.
const MAX_LATE_WAIT: Duration = Duration::from_millis(700);
/// The same limit as a fraction of the request's own maximum wait.
const MAX_LATE_WAIT_SHARE: f64 = 0.35;

/// A backend server, as registered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Description {
    /// Identity of this run of the server; changes when it restarts.
    pub id: Arc<str>,
    /// Service that it serves.
    pub service: Arc<str>,
    /// Availability zone that it runs in.
    pub zone: Arc<str>,
    /// Version of its software.
    pub version: Arc<str>,
    /// Requests that it runs concurrently.
    pub slots: usize,
    /// Capacity of its prefix cache in tokens; 0 if it has none or it is unknown.
    pub cache_tokens: u64,
    /// Whether it is draining and must get no new requests.
    pub draining: bool,
}

/// A request for a slot on a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Service that has to run it.
    pub service: Arc<str>,
    /// Availability zone of the VM that sends it.
    pub zone: Arc<str>,
    /// Hash that identifies the VM that sends it.
    pub vm: u64,
    /// Priority of its route; 0 is the most urgent.
    pub rank: u8,
    /// Hash of the program that it belongs to.
    pub program: Option<u64>,
    /// Turns of the program so far, including this one; 0 if unknown.
    pub turns: u32,
    /// Milliseconds until the deadline of its program; negative if the deadline has passed.
    pub left_ms: i64,
    /// Maximum time in the queue, in milliseconds.
    #[serde(rename = "limit_ms")]
    pub max_wait_ms: u64,
    /// Hash of its session, a series of turns whose prompts extend each other.
    #[serde(rename = "line")]
    pub session: Option<u64>,
    /// Parts of its prompt in order, for prefix caching; empty if unknown.
    pub prompt: Vec<Part>,
    /// Servers on which it has already failed.
    pub avoid: Vec<Arc<str>>,
    /// What it is expected to use, and whom it belongs to; `None` if nothing of that is known.
    ///
    /// The last encoded field, and omitted if absent, so that requests without it are encoded as before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub demand: Option<Demand>,
    /// Hash of the object that it concerns, on routes whose servers keep objects.
    ///
    /// Not encoded: only engines are shared through the queue of another VM, and they keep none.
    #[serde(skip)]
    pub object: Option<u64>,
    /// Software version at which its stream began, and must go on.
    ///
    /// Not encoded, so that requests are encoded as before; a message of its own carries it.
    #[serde(skip)]
    pub version: Option<Arc<str>>,
    /// The only servers that may get it; empty if all may.
    #[serde(skip)]
    pub only: Vec<Arc<str>>,
}

/// What a request is expected to use, and whom it belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// Hash of its route, which stands for the class of programs.
    pub class: u64,
    /// Hash of the team that sent it; `None` without configured teams.
    pub team: Option<u64>,
    /// Tokens of its prompt; 0 if unknown.
    pub prompt_tokens: u32,
    /// Tokens that its caller expects it to generate; 0 if unknown.
    pub output_tokens: u32,
    /// Most tokens that it generates; 0 if unknown.
    pub max_output_tokens: u32,
}

impl Request {
    /// Whether it may be sent to this server.
    ///
    /// ```
    /// use vanillatrail::policy::dispatch::Request;
    /// # let request = Request {
    /// #     service: "pool".into(), zone: "a".into(), vm: 1, rank: 0, program: None, turns: 0,
    /// #     left_ms: 0, max_wait_ms: 0, session: None, prompt: vec![], avoid: vec![], demand: None,
    /// #     object: None, version: None, only: vec![],
    /// # };
    /// let resumed = Request { version: Some("v1".into()), ..request };
    /// assert!(resumed.accepts("s0", "v1") && !resumed.accepts("s0", "v2"));
    /// let exposed = Request { only: vec!["s0".into()], ..resumed };
    /// assert!(exposed.accepts("s0", "v1") && !exposed.accepts("s1", "v1"));
    /// ```
    #[must_use]
    pub fn accepts(&self, server: &str, version: &str) -> bool {
        let is_allowed = self.only.is_empty() || self.only.iter().any(|only| **only == *server);
        is_allowed && self.version.as_deref().is_none_or(|only| only == version)
    }

    pub(in crate::policy) fn accepts_server(&self, server: &Description) -> bool {
        self.accepts(&server.id, &server.version)
    }

    pub(in crate::policy) fn max_wait(&self) -> Duration {
        Duration::from_millis(self.max_wait_ms)
    }

    /// Maximum queue time if its program is late or was not admitted.
    pub(in crate::policy) fn max_late_wait(&self) -> Duration {
        MAX_LATE_WAIT.min(self.max_wait().mul_f64(MAX_LATE_WAIT_SHARE))
    }
}

/// Load that a server reports in a response header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests that it runs.
    pub running: usize,
    /// Requests that it queues.
    pub waiting: usize,
    /// Momentary pace of its host, which it shares with others; `None` if it reports none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host_pace: Option<HostPace>,
}

/// How long work takes on a host at the moment, in percent of the usual time; above 100 it is slower.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HostPace(pub u32);

impl HostPace {
    /// Factor on the usual time.
    ///
    /// ```
    /// use vanillatrail::policy::dispatch::HostPace;
    /// assert_eq!(HostPace(250).factor(), 2.5);
    /// ```
    #[must_use]
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

/// Result of a request at its server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub enum Outcome {
    /// The server completed the request.
    Done {
        /// Time spent at the server.
        took: Duration,
        /// Size of the request, in a unit that is the same for all requests of the service.
        work: f64,
        /// Load that the server reported, if any.
        load: Option<Load>,
    },
    /// The server answered with a server error.
    Error,
    /// The server rejected it because it is full.
    Full,
    /// The connection failed or the server did not answer.
    Failed,
    /// No result: the caller disconnected, or the request was not sent.
    Void,
}

/// Result of [`Dispatcher::request`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Placement {
    /// The request may be sent to this server.
    Granted(Arc<str>),
    /// The request is queued; [`Dispatcher::grant`] or [`Dispatcher::tick`] grants it later.
    Waiting,
    /// The service has no server that takes new requests.
    NoServer,
    /// No slot is expected to free up within its maximum wait; the caller may retry after this
    /// time.
    Refused(Duration),
}

/// Result of [`Dispatcher::tick`].
#[derive(Debug, Default)]
pub struct Tick {
    /// Granted requests and their servers.
    pub granted: Vec<(Permit, Arc<str>)>,
    /// Requests dropped from the queue. They were not sent.
    pub timed_out: Vec<Permit>,
}
