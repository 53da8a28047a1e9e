//! Shares of a service's capacity between classes of programs, and between the teams of a class.
//!
//! The load: a burst, or one team at many times its usual rate, asks for more than the servers can do. Start-time fair
//! queueing over whole programs: an admitted program advances the virtual time of its class, and of its team within the
//! class, by its expected time at servers, and the waiting program with the lowest virtual time is admitted first. A
//! class or team that asks for less than its share is thus admitted before the others. One that was idle starts at the
//! current virtual time, without credit. Only those with waiting programs are considered, so one that is alone may use
//! everything.
//!
//! Classes come first, then teams: by team first, one long program of a team would block its short ones for longer than
//! their target.

use crate::id::Permit;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Team, if any, and class of a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Flow {
    pub(super) team: Option<u64>,
    pub(super) class: u64,
}

/// Position among the waiting programs of a flow; the lowest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    /// Whether none of its requests was granted yet.
    pub(super) is_unstarted: bool,
    /// The newest goes first: an older one may not end in time any more.
    pub(super) arrival_ms: Reverse<i64>,
}

/// Virtual time in milliseconds at servers.
#[derive(Debug)]
struct Clock<K> {
    now: f64,
    finish: HashMap<K, f64>,
}

impl<K> Default for Clock<K> {
    fn default() -> Self {
        Self {
            now: 0.0,
            finish: HashMap::new(),
        }
    }
}

impl<K: std::hash::Hash + Eq + Copy> Clock<K> {
    fn start(&self, key: K) -> f64 {
        self.finish
            .get(&key)
            .map_or(self.now, |at| at.max(self.now))
    }

    fn advance(&mut self, key: K, cost: f64) {
        let start = self.start(key);
        self.now = self.now.max(start);
        self.finish.insert(key, start + cost);
    }

    fn correct(&mut self, key: K, by: f64) {
        if let Some(finish) = self.finish.get_mut(&key) {
            *finish += by;
        }
    }

    /// Forgets keys without influence on the order.
    fn prune(&mut self) {
        let now = self.now;
        self.finish.retain(|_, finish| *finish > now);
    }
}

/// Waiting programs by flow, and what each flow has used.
#[derive(Debug, Default)]
pub(super) struct Fairness {
    classes: Clock<u64>,
    /// Clocks of the teams, by class.
    teams: HashMap<u64, Clock<Option<u64>>>,
    waiting: BTreeMap<Flow, BTreeSet<(Position, Permit)>>,
}

impl Fairness {
    pub(super) fn push(&mut self, flow: Flow, position: Position, permit: Permit) {
        self.waiting
            .entry(flow)
            .or_default()
            .insert((position, permit));
    }

    pub(super) fn remove(&mut self, flow: Flow, position: Position, permit: Permit) {
        if let Some(waiting) = self.waiting.get_mut(&flow) {
            waiting.remove(&(position, permit));
            if waiting.is_empty() {
                self.waiting.remove(&flow);
            }
        }
    }

    /// Virtual times at which the class, and the team within the class, may use the servers again.
    fn tag(&self, flow: Flow) -> (f64, f64) {
        let teams = self.teams.get(&flow.class);
        let team = teams.map_or(0.0, |clock| clock.start(flow.team));
        (self.classes.start(flow.class), team)
    }

    /// The first waiting program of each flow, in the order in which they are admitted.
    pub(super) fn heads(&self) -> Vec<(Flow, Permit)> {
        let heads = self.waiting.iter().filter_map(|(flow, waiting)| {
            let (_, permit) = waiting.first()?;
            Some((self.tag(*flow), *flow, *permit))
        });
        let mut heads: Vec<_> = heads.collect();
        heads.sort_by(|(a, ..), (b, ..)| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)));
        heads
            .into_iter()
            .map(|(_, flow, permit)| (flow, permit))
            .collect()
    }

    /// Whether a new program of this flow goes before all waiting ones.
    pub(super) fn goes_first(&self, flow: Flow) -> bool {
        let (class, team) = self.tag(flow);
        self.waiting.keys().all(|other| {
            let other = self.tag(*other);
            class
                .total_cmp(&other.0)
                .then(team.total_cmp(&other.1))
                .is_le()
        })
    }

    /// Records that a program was admitted that is expected to spend this time at servers.
    pub(super) fn charge(&mut self, flow: Flow, server_ms: f64) {
        self.classes.advance(flow.class, server_ms);
        let teams = self.teams.entry(flow.class).or_default();
        teams.advance(flow.team, server_ms);
    }

    /// Corrects what a flow was charged, once a program has ended.
    pub(super) fn correct(&mut self, flow: Flow, by_ms: f64) {
        self.classes.correct(flow.class, by_ms);
        if let Some(teams) = self.teams.get_mut(&flow.class) {
            teams.correct(flow.team, by_ms);
        }
    }

    /// Forgets flows without influence on the order.
    pub(super) fn sweep(&mut self) {
        self.classes.prune();
        self.teams.retain(|_, clock| {
            clock.prune();
            !clock.finish.is_empty()
        });
    }

    /// Number of waiting programs, and of their flows.
    pub(super) fn waiting(&self) -> (usize, usize) {
        let programs = self.waiting.values().map(BTreeSet::len).sum();
        (programs, self.waiting.len())
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
