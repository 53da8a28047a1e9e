//! What to order of each engine of a pool, from what it should be and what it says it is.

use crate::id::Server;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// Time between an order, or a failed step, and the next look at the engine.
const AGAIN: Duration = Duration::from_millis(500);

/// What an engine should be, or says it is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct State {
    /// The version of the model's weights.
    pub weights: Option<String>,
    /// The adapters loaded on top.
    pub adapters: BTreeSet<String>,
    /// The role, in the engine's own words.
    pub role: Option<String>,
}

/// What to do with an engine now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Read its state.
    Read,
    /// Order it to become this.
    Order(State),
}

#[derive(Debug)]
struct Track {
    goal: State,
    seen: Option<State>,
    next: Instant,
}

/// Brings the engines of one pool to their goals and keeps them there.
///
/// Orders follow the state that was read, not the change that caused them. An order of a former
/// holder that reaches an engine late, where the engine ignores its fencing number, shows in the
/// next reading and is undone: whatever arrives, the engine ends at the newest holder's goal.
#[derive(Debug)]
pub struct Reconciler {
    engines: BTreeMap<Server, Track>,
    settled: Duration,
    load_interval: Duration,
    next_load: Instant,
}

impl Reconciler {
    /// A controller that starts at `now`, reads settled engines every `settled` and orders new
    /// weights at most once every `load_interval`.
    ///
    /// A holder can't know when the one before it last ordered weights, so it waits a whole
    /// interval first: the store's limit holds across a change of holder.
    ///
    /// ```
    /// use std::time::Duration;
    /// use vanillatrail::order::Reconciler;
    /// let now = tokio::time::Instant::now();
    /// let mut reconciler = Reconciler::new(now, Duration::from_secs(5), Duration::from_secs(60));
    /// assert!(reconciler.due_steps(now).is_empty());
    /// ```
    #[must_use]
    pub fn new(now: Instant, settled: Duration, load_interval: Duration) -> Self {
        let next_load = now + load_interval;
        Self {
            engines: BTreeMap::new(),
            settled,
            load_interval,
            next_load,
        }
    }

    /// Takes up other times; a load that was put off longer than the new interval is moved up.
    ///
    /// ```
    /// use std::time::Duration;
    /// use vanillatrail::order::Reconciler;
    /// let now = tokio::time::Instant::now();
    /// let mut reconciler = Reconciler::new(now, Duration::from_secs(5), Duration::from_secs(60));
    /// reconciler.set_intervals(now, Duration::from_secs(2), Duration::from_secs(6));
    /// ```
    pub fn set_intervals(&mut self, now: Instant, settled: Duration, load_interval: Duration) {
        self.settled = settled;
        self.load_interval = load_interval;
        self.next_load = self.next_load.min(now + load_interval);
    }

    /// Sets what each engine should be.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use std::time::Duration;
    /// use vanillatrail::order::{Reconciler, State, Step};
    /// let now = tokio::time::Instant::now();
    /// let mut reconciler = Reconciler::new(now, Duration::from_secs(5), Duration::ZERO);
    /// reconciler.set_desired(now, &BTreeMap::from([("e1".parse().unwrap(), State::default())]));
    /// assert_eq!(reconciler.due_steps(now), [("e1".parse().unwrap(), Step::Read)]);
    /// ```
    pub fn set_desired(&mut self, now: Instant, goals: &BTreeMap<Server, State>) {
        self.engines.retain(|server, _| goals.contains_key(server));
        for (server, goal) in goals {
            let fresh = || Track {
                goal: goal.clone(),
                seen: None,
                next: now,
            };
            let track = self.engines.entry(server.clone()).or_insert_with(fresh);
            if track.goal != *goal {
                track.goal = goal.clone();
                track.next = now;
            }
        }
    }

    /// The steps to take now; each engine is left alone until its step is told of or late.
    ///
    /// ```
    /// use std::time::Duration;
    /// let now = tokio::time::Instant::now();
    /// let zero = Duration::ZERO;
    /// assert!(vanillatrail::order::Reconciler::new(now, zero, zero).due_steps(now).is_empty());
    /// ```
    pub fn due_steps(&mut self, now: Instant) -> Vec<(Server, Step)> {
        let mut due = Vec::new();
        for (server, track) in &mut self.engines {
            if track.next > now {
                continue;
            }
            track.next = now + AGAIN;
            let step = match track.seen.take() {
                Some(seen) if seen == track.goal => Step::Read,
                Some(seen) if seen.weights == track.goal.weights => Step::Order(track.goal.clone()),
                Some(seen) => {
                    if self.next_load > now {
                        track.seen = Some(seen);
                        continue;
                    }
                    self.next_load = now + self.load_interval;
                    Step::Order(track.goal.clone())
                }
                None => Step::Read,
            };
            due.push((server.clone(), step));
        }
        due
    }

    /// Takes in what an engine says it is.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use std::time::Duration;
    /// use vanillatrail::order::{Reconciler, State, Step};
    /// let now = tokio::time::Instant::now();
    /// let mut reconciler = Reconciler::new(now, Duration::from_secs(5), Duration::ZERO);
    /// let goal = State { role: Some("prefill".to_owned()), ..State::default() };
    /// reconciler.set_desired(now, &BTreeMap::from([("e1".parse().unwrap(), goal.clone())]));
    /// reconciler.due_steps(now);
    /// reconciler.record_state(now, &"e1".parse().unwrap(), State::default());
    /// assert_eq!(reconciler.due_steps(now), [("e1".parse().unwrap(), Step::Order(goal))]);
    /// ```
    pub fn record_state(&mut self, now: Instant, server: &Server, state: State) {
        let Some(track) = self.engines.get_mut(server) else {
            return;
        };
        track.next = if state == track.goal {
            now + self.settled
        } else {
            now
        };
        track.seen = Some(state).filter(|state| *state != track.goal);
    }

    /// Engines that are not known to be at their goal.
    ///
    /// ```
    /// use std::time::Duration;
    /// let now = tokio::time::Instant::now();
    /// let zero = Duration::ZERO;
    /// assert_eq!(vanillatrail::order::Reconciler::new(now, zero, zero).diverged(), 0);
    /// ```
    #[must_use]
    pub fn diverged(&self) -> usize {
        self.engines
            .values()
            .filter(|track| track.seen.is_some())
            .count()
    }
}
