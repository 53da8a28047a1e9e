//! Request statistics per team, route, kind, service or program.

use super::line::Line;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::str::FromStr;

/// Limit on memory for logs with many programs.
const MAX_GROUPS: usize = 100_000;
/// Log keys of the waiting times of a request.
const WAIT_KEYS: [&str; 5] = [
    "allowed_ms",
    "limited_ms",
    "waited_ms",
    "history_ms",
    "kept_ms",
];

/// Log key by which requests are grouped.
///
/// ```
/// use vanillatrail::explain::Field;
/// assert_eq!("team".parse(), Ok(Field::Team));
/// assert!("colour".parse::<Field>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Field {
    /// Team that the request's API key belongs to.
    Team,
    /// Name of the matched route.
    Route,
    /// Kind of the matched route.
    Kind,
    /// Service that handled the request.
    Service,
    /// Agent program that sent the request.
    Program,
}

impl Field {
    const ALL: [Self; 5] = [
        Self::Team,
        Self::Route,
        Self::Kind,
        Self::Service,
        Self::Program,
    ];

    const fn key(self) -> &'static str {
        match self {
            Self::Team => "team",
            Self::Route => "route",
            Self::Kind => "kind",
            Self::Service => "service",
            Self::Program => "program",
        }
    }
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.key())
    }
}

impl FromStr for Field {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut all = Self::ALL.into_iter();
        let field = all.find(|field| field.key() == text);
        field.ok_or_else(|| format!("requests can't be grouped by `{text}`"))
    }
}

/// Statistics of the requests with one value of the grouping field.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Group {
    /// Value of the grouping field.
    pub name: String,
    /// Requests with a 2xx result.
    #[serde(rename = "good")]
    pub succeeded: u64,
    /// Requests with another result.
    #[serde(rename = "bad")]
    pub failed: u64,
    /// Failed requests by HTTP status or result code.
    pub results: BTreeMap<String, u64>,
    /// Sum of the waiting times for token grants, team limits, slots, conversation history and
    /// saved turns, in milliseconds.
    pub waited_ms: u64,
    /// Sum of the times from request head to last response byte, in milliseconds.
    pub total_ms: u64,
}

impl Group {
    fn add(&mut self, line: &Line<'_>) {
        let result = line.get("result").unwrap_or("unknown");
        if result.starts_with('2') {
            self.succeeded += 1;
        } else {
            self.failed += 1;
            *self.results.entry(result.to_owned()).or_default() += 1;
        }
        self.waited_ms += WAIT_KEYS.map(|key| line.millis(key)).iter().sum::<u64>();
        self.total_ms += line.millis("total_ms");
    }
}

/// Statistics of logged requests, grouped by one field.
///
/// ```
/// use vanillatrail::explain::{Field, Groups, Line};
/// let mut groups = Groups::new(Field::Team);
/// for result in ["200", "VT2009"] {
///     let text = format!("ts=2026-12-03T02:01:25.000 event=request_ended team=payroll result={result}");
///     groups.add(&Line::parse(&text).unwrap());
/// }
/// let payroll = &groups.worst_first()[0];
/// assert_eq!((payroll.name.as_str(), payroll.succeeded, payroll.failed), ("payroll", 1, 1));
/// ```
#[derive(Debug)]
pub struct Groups {
    field: Field,
    by_name: HashMap<String, Group>,
    dropped_lines: u64,
}

impl Groups {
    /// An empty set of groups.
    #[must_use]
    pub fn new(field: Field) -> Self {
        Self {
            field,
            by_name: HashMap::new(),
            dropped_lines: 0,
        }
    }

    /// Adds a `request_ended` line that has the field; other lines are ignored.
    pub fn add(&mut self, line: &Line<'_>) {
        let name = line.get(self.field.key()).filter(|name| !name.is_empty());
        let Some(name) = name.filter(|_| line.event() == "request_ended") else {
            return;
        };
        if let Some(group) = self.by_name.get_mut(name) {
            return group.add(line);
        }
        if self.by_name.len() >= MAX_GROUPS {
            self.dropped_lines += 1;
            return;
        }
        self.by_name.entry(name.to_owned()).or_default().add(line);
    }

    /// Number of lines dropped because of the limit on groups.
    #[must_use]
    pub const fn dropped_lines(&self) -> u64 {
        self.dropped_lines
    }

    /// All groups, sorted by most failures, then by longest waiting time.
    #[must_use]
    pub fn worst_first(&self) -> Vec<Group> {
        let groups = self.by_name.iter().map(|(name, group)| Group {
            name: name.clone(),
            ..group.clone()
        });
        let mut groups: Vec<Group> = groups.collect();
        groups.sort_by(|one, other| {
            let rank = |group: &Group| (Reverse(group.failed), Reverse(group.waited_ms));
            rank(one).cmp(&rank(other)).then(one.name.cmp(&other.name))
        });
        groups
    }
}
