//! What became of the requests of each team, route, service or program.

use super::line::Line;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::str::FromStr;

/// Groups that are kept at the most.
const GROUPS: usize = 100_000;
/// What a request waited for, by the keys of its line.
const WAITS: [&str; 5] = [
    "allowed_ms",
    "limited_ms",
    "waited_ms",
    "history_ms",
    "kept_ms",
];

/// By what requests are told apart.
///
/// ```
/// use vanillatrail::explain::Field;
/// assert_eq!("team".parse(), Ok(Field::Team));
/// assert!("colour".parse::<Field>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Field {
    /// The team whose key they bore.
    Team,
    /// Their route.
    Route,
    /// The kind of their route.
    Kind,
    /// The service that they went to.
    Service,
    /// Their program.
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
        field.ok_or_else(|| format!("requests are not told apart by `{text}`"))
    }
}

/// What became of the requests of one group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Group {
    /// What they have in common.
    pub name: String,
    /// Requests that ended well.
    pub good: u64,
    /// Requests that ended otherwise.
    pub bad: u64,
    /// Those, by result.
    pub results: BTreeMap<String, u64>,
    /// Milliseconds that all of them together waited for tokens, limits, places, what was said before, and records.
    pub waited_ms: u64,
    /// Milliseconds from the heads of requests to their last bytes, together.
    pub total_ms: u64,
}

impl Group {
    fn add(&mut self, line: &Line<'_>) {
        let result = line.get("result").unwrap_or("unknown");
        if result.starts_with('2') {
            self.good += 1;
        } else {
            self.bad += 1;
            *self.results.entry(result.to_owned()).or_default() += 1;
        }
        self.waited_ms += WAITS.map(|key| line.millis(key)).iter().sum::<u64>();
        self.total_ms += line.millis("total_ms");
    }
}

/// The requests of some logs by one field.
///
/// ```
/// use vanillatrail::explain::{Field, Groups, Line};
/// let mut groups = Groups::new(Field::Team);
/// for result in ["200", "VT2009"] {
///     let text = format!("ts=2026-12-03T02:01:25.000 event=request_ended team=payroll result={result}");
///     groups.add(&Line::parse(&text).unwrap());
/// }
/// let payroll = &groups.worst()[0];
/// assert_eq!((payroll.name.as_str(), payroll.good, payroll.bad), ("payroll", 1, 1));
/// ```
#[derive(Debug)]
pub struct Groups {
    field: Field,
    known: HashMap<String, Group>,
    left_out: u64,
}

impl Groups {
    /// No requests yet.
    #[must_use]
    pub fn new(field: Field) -> Self {
        Self {
            field,
            known: HashMap::new(),
            left_out: 0,
        }
    }

    /// Takes in a line; those that tell of no request's end, or lack the field, count for nothing.
    pub fn add(&mut self, line: &Line<'_>) {
        let name = line.get(self.field.key()).filter(|name| !name.is_empty());
        let Some(name) = name.filter(|_| line.event() == "request_ended") else {
            return;
        };
        if let Some(group) = self.known.get_mut(name) {
            return group.add(line);
        }
        if self.known.len() >= GROUPS {
            self.left_out += 1;
            return;
        }
        self.known.entry(name.to_owned()).or_default().add(line);
    }

    /// Lines that were left out, since there were too many groups.
    #[must_use]
    pub const fn left_out(&self) -> u64 {
        self.left_out
    }

    /// All groups, those with most bad ends first, and of these the ones that waited longest.
    #[must_use]
    pub fn worst(&self) -> Vec<Group> {
        let groups = self.known.iter().map(|(name, group)| Group {
            name: name.clone(),
            ..group.clone()
        });
        let mut groups: Vec<Group> = groups.collect();
        groups.sort_by(|one, other| {
            let rank = |group: &Group| (Reverse(group.bad), Reverse(group.waited_ms));
            rank(one).cmp(&rank(other)).then(one.name.cmp(&other.name))
        });
        groups
    }
}
