//! Decides which orders to send to the engines of a pool, from their desired and reported states.

use crate::id::Server;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// Delay after a step before the next one, unless a state is reported meanwhile.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Desired or reported state of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct State {
    /// Version of the model weights.
    pub weights: Option<String>,
    /// Names of the loaded adapters.
    pub adapters: BTreeSet<String>,
    /// Engine-specific role, such as `prefill`.
    pub role: Option<String>,
}

/// Next operation on an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Read the engine's state.
    Read,
    /// Order the engine to change to this state.
    Order(State),
}

#[derive(Debug)]
struct Engine {
    desired: State,
    /// Last reported state, if it differed from `desired` and no step was taken since.
    diverged: Option<State>,
    next_step: Instant,
}

/// Reconciles the engines of one pool with their desired states.
///
/// Orders depend only on the reported state. If an engine that ignores fencing tokens executes a
/// delayed order of a previous owner, the next read shows it and the state is corrected.
#[derive(Debug)]
pub struct Reconciler {
    engines: BTreeMap<Server, Engine>,
    poll_interval: Duration,
    load_interval: Duration,
    next_load: Instant,
}

impl Reconciler {
    /// Creates a reconciler that reads engines in their desired state every `poll_interval` and
    /// orders new weights at most once per `load_interval`.
    ///
    /// The first weights are ordered after a whole interval, since the previous owner of the pool
    /// may just have ordered some.
    ///
    /// ```
    /// use std::time::Duration;
    /// use vanillatrail::order::Reconciler;
    /// let now = tokio::time::Instant::now();
    /// let mut reconciler = Reconciler::new(now, Duration::from_secs(5), Duration::from_secs(60));
    /// assert!(reconciler.due_steps(now).is_empty());
    /// ```
    #[must_use]
    pub fn new(now: Instant, poll_interval: Duration, load_interval: Duration) -> Self {
        let next_load = now + load_interval;
        Self {
            engines: BTreeMap::new(),
            poll_interval,
            load_interval,
            next_load,
        }
    }

    /// Changes the intervals; the next load of weights is at most the new `load_interval` away.
    ///
    /// ```
    /// use std::time::Duration;
    /// use vanillatrail::order::Reconciler;
    /// let now = tokio::time::Instant::now();
    /// let mut reconciler = Reconciler::new(now, Duration::from_secs(5), Duration::from_secs(60));
    /// reconciler.set_intervals(now, Duration::from_secs(2), Duration::from_secs(6));
    /// ```
    pub fn set_intervals(
        &mut self,
        now: Instant,
        poll_interval: Duration,
        load_interval: Duration,
    ) {
        self.poll_interval = poll_interval;
        self.load_interval = load_interval;
        self.next_load = self.next_load.min(now + load_interval);
    }

    /// Sets the desired state of every engine; engines that are not listed are dropped.
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
    pub fn set_desired(&mut self, now: Instant, desired_states: &BTreeMap<Server, State>) {
        self.engines
            .retain(|server, _| desired_states.contains_key(server));
        for (server, desired) in desired_states {
            let new_engine = || Engine {
                desired: desired.clone(),
                diverged: None,
                next_step: now,
            };
            let engine = self
                .engines
                .entry(server.clone())
                .or_insert_with(new_engine);
            if engine.desired != *desired {
                engine.desired = desired.clone();
                engine.next_step = now;
            }
        }
    }

    /// Returns the steps to take now, at most one per engine.
    ///
    /// An engine with a step in progress gets the next one after its state is reported or the
    /// retry interval has passed.
    ///
    /// ```
    /// use std::time::Duration;
    /// let now = tokio::time::Instant::now();
    /// let zero = Duration::ZERO;
    /// assert!(vanillatrail::order::Reconciler::new(now, zero, zero).due_steps(now).is_empty());
    /// ```
    pub fn due_steps(&mut self, now: Instant) -> Vec<(Server, Step)> {
        let mut steps = Vec::new();
        for (server, engine) in &mut self.engines {
            if engine.next_step > now {
                continue;
            }
            engine.next_step = now + RETRY_INTERVAL;
            let step = match engine.diverged.take() {
                Some(state) if state == engine.desired => Step::Read,
                Some(state) if state.weights == engine.desired.weights => {
                    Step::Order(engine.desired.clone())
                }
                Some(state) => {
                    if self.next_load > now {
                        engine.diverged = Some(state);
                        continue;
                    }
                    self.next_load = now + self.load_interval;
                    Step::Order(engine.desired.clone())
                }
                None => Step::Read,
            };
            steps.push((server.clone(), step));
        }
        steps
    }

    /// Records the state that an engine reported.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use std::time::Duration;
    /// use vanillatrail::order::{Reconciler, State, Step};
    /// let now = tokio::time::Instant::now();
    /// let mut reconciler = Reconciler::new(now, Duration::from_secs(5), Duration::ZERO);
    /// let desired = State { role: Some("prefill".to_owned()), ..State::default() };
    /// reconciler.set_desired(now, &BTreeMap::from([("e1".parse().unwrap(), desired.clone())]));
    /// reconciler.due_steps(now);
    /// reconciler.record_state(now, &"e1".parse().unwrap(), State::default());
    /// assert_eq!(reconciler.due_steps(now), [("e1".parse().unwrap(), Step::Order(desired))]);
    /// ```
    pub fn record_state(&mut self, now: Instant, server: &Server, state: State) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        engine.next_step = if state == engine.desired {
            now + self.poll_interval
        } else {
            now
        };
        engine.diverged = Some(state).filter(|state| *state != engine.desired);
    }

    /// Number of engines that reported a state other than the desired one and wait for an order.
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
            .filter(|engine| engine.diverged.is_some())
            .count()
    }
}
