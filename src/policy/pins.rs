//! For which ended runs an engine keeps the prompt in its memory until the next turn, and for how long.
//!
//! Answers the load in which the prompts of pausing programs are evicted and read again a moment later. A pinned
//! prompt takes memory from running requests, so a pin is set only where the next turn is likely and near. The VMs see
//! no end of a program; a pin is therefore never longer than a second.

use serde_json::{Value, json};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Longest pin. Bounds how long a pin outlives its program, also when the VM that set it is lost.
const MAX_PIN: Duration = Duration::from_secs(1);
/// Pauses of a class that must be known before one of its prompts is pinned.
const MIN_SAMPLES: u32 = 3;
/// Weight of the newest pause.
const PAUSE_WEIGHT: f64 = 0.1;
/// Mean deviations above the mean that a pin covers.
const DEVIATIONS: f64 = 3.0;
/// Shortest pin: a caller needs a round trip for its next turn.
const MIN_PIN_MS: f64 = 20.0;
/// Prompt tokens that an engine reads in a millisecond. Bounds the memory that a pin is worth, not a time.
const PROMPT_TOKENS_PER_MS: f64 = 80.0;
/// Largest share of the memory of engines that pins may hold.
const MAX_MEMORY_SHARE: f64 = 0.2;
/// Steps of a session that are told apart, the parts of a prompt that are read.
const MAX_STEPS: usize = 17;
/// Turns of a class and step after which the counts of the class are halved.
const MAX_TURNS: f64 = 2000.0;
/// How long an ended turn is remembered, to learn the pause after it.
const SESSION_MEMORY: Duration = Duration::from_secs(3);
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Turns and classes remembered; others are not learned from and get no pins.
const MAX_SESSIONS: usize = 10_000;
const MAX_CLASSES: usize = 256;

/// One turn of a session.
#[derive(Debug, Clone, Copy)]
pub struct Turn {
    /// Hash of the class of its program.
    pub class: u64,
    /// Hash of its session.
    pub session: u64,
    /// Parts of its prompt; each turn of a session adds one.
    pub step: usize,
    /// Tokens that it holds at its end.
    pub tokens: u64,
    /// Milliseconds until the deadline of its program; negative if that has passed.
    pub left_ms: i64,
}

/// The engines that may keep prompts.
#[derive(Debug, Clone, Copy)]
pub struct Room {
    /// Memory of one engine in tokens.
    pub engine_tokens: u64,
    /// Number of engines.
    pub engines: usize,
    /// Number of VMs that set pins.
    pub vms: usize,
    /// Longest pin that the engines accept.
    pub limit: Duration,
}

/// A prompt pinned at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pin {
    /// The engine that keeps it.
    pub engine: Arc<str>,
    /// Tokens that it keeps.
    pub tokens: u64,
    /// How long it keeps them after the end of the run.
    pub time: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Pause {
    mean_ms: f64,
    deviation_ms: f64,
    samples: u32,
}

impl Pause {
    fn record(&mut self, ms: f64) {
        if self.samples == 0 {
            (self.mean_ms, self.deviation_ms) = (ms, ms / 2.0);
        }
        let error = ms - self.mean_ms;
        self.mean_ms += PAUSE_WEIGHT * error;
        self.deviation_ms += PAUSE_WEIGHT * (error.abs() - self.deviation_ms);
        self.samples = self.samples.saturating_add(1);
    }

    const fn is_known(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }
}

/// What is known of the sessions of a class.
#[derive(Debug, Clone, Default)]
struct Class {
    /// Turns by step. Callers reach VMs at random, so the ratio of two steps shows how many sessions go on.
    turns: [f64; MAX_STEPS],
    after_step: [Pause; MAX_STEPS],
    /// Pauses after all steps, where too few of one step are known.
    any: Pause,
}

#[derive(Debug)]
struct Ended {
    turn: Turn,
    at: Instant,
    pin: Option<Pin>,
}

/// Decides about the pins of the turns that one VM serves.
///
/// ```
/// use std::{sync::Arc, time::Duration};
/// use tokio::time::Instant;
/// use vanillatrail::policy::pins::{Planner, Room, Turn};
/// let room = Room { engine_tokens: 50_000, engines: 4, vms: 2, limit: Duration::from_secs(1) };
/// let (mut planner, engine, mut now) = (Planner::default(), Arc::from("e1"), Instant::now());
/// let turn = |step| Turn { class: 1, session: 2, step, tokens: 900, left_ms: 5000 };
/// for step in 1..5 {
///     planner.arrive(now, &turn(step));
///     planner.end(now, turn(step), None);
///     now += Duration::from_millis(40);
/// }
/// let pin = planner.plan(&turn(1), &engine, &room);
/// assert!(pin.is_some());
/// planner.end(now, turn(1), pin.clone());
/// assert!(planner.has_pin(2));
/// assert_eq!(planner.end_session(2), pin);
/// ```
#[derive(Debug, Default)]
pub struct Planner {
    classes: HashMap<u64, Class>,
    ended: HashMap<u64, Ended>,
    /// Tokens pinned, or to be pinned at the end of a run, by engine.
    held: HashMap<Arc<str>, u64>,
    swept: Option<Instant>,
}

impl Planner {
    /// Counts a turn that arrives. Returns the pin of the turn before, which is then no longer counted.
    ///
    /// ```
    /// use tokio::time::Instant;
    /// use vanillatrail::policy::pins::{Planner, Turn};
    /// let turn = Turn { class: 1, session: 2, step: 1, tokens: 900, left_ms: 1000 };
    /// assert_eq!(Planner::default().arrive(Instant::now(), &turn), None);
    /// ```
    pub fn arrive(&mut self, now: Instant, turn: &Turn) -> Option<Pin> {
        self.sweep(now);
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(&turn.class) {
            return None;
        }
        let class = self.classes.entry(turn.class).or_default();
        let step = turn.step.min(MAX_STEPS - 1);
        class.turns[step] += 1.0;
        if class.turns[step] > MAX_TURNS {
            class.turns.iter_mut().for_each(|turns| *turns /= 2.0);
        }
        let before = self.ended.remove(&turn.session)?;
        if before.turn.step + 1 == turn.step {
            let ms = now.saturating_duration_since(before.at).as_secs_f64() * 1000.0;
            class.after_step[before.turn.step.min(MAX_STEPS - 1)].record(ms);
            class.any.record(ms);
        }
        let pin = before.pin?;
        self.release(&pin);
        (before.at + pin.time > now).then_some(pin)
    }

    /// Decides whether the prompt of a turn that starts at `engine` is pinned there at its end. The pin is counted
    /// until it is passed to [`Planner::end`] and expires, or to [`Planner::release`].
    pub fn plan(&mut self, turn: &Turn, engine: &Arc<str>, room: &Room) -> Option<Pin> {
        let class = self.classes.get(&turn.class)?;
        let step = turn.step.min(MAX_STEPS - 2);
        let after = &class.after_step[step];
        let pause = if after.is_known() { after } else { &class.any };
        let pin_ms = (pause.mean_ms + DEVIATIONS * pause.deviation_ms).max(MIN_PIN_MS);
        let limit_ms = room.limit.min(MAX_PIN).as_secs_f64() * 1000.0;
        if !pause.is_known() || pin_ms > limit_ms || turn.left_ms as f64 <= pause.mean_ms {
            return None;
        }
        let goes_on = (class.turns[step + 1] / class.turns[step].max(1.0)).min(1.0);
        // Reading `tokens` again takes tokens / rate; keeping them for a time costs that time's share of the memory.
        // The number of tokens cancels out.
        let saved_ms = goes_on * room.engine_tokens as f64 / PROMPT_TOKENS_PER_MS;
        let kept_ms = goes_on * pause.mean_ms + (1.0 - goes_on) * pin_ms;
        if saved_ms < kept_ms {
            return None;
        }
        let share = room.engine_tokens as f64 * MAX_MEMORY_SHARE;
        let at_engine = self.held.get(engine).copied().unwrap_or(0) + turn.tokens;
        let at_all = self.held.values().sum::<u64>() + turn.tokens;
        // The engines are shared by all VMs, but a single pin may always be set.
        let of_this_vm = share * room.engines as f64 / room.vms.max(1) as f64;
        if at_engine as f64 > share || (at_all > turn.tokens && at_all as f64 > of_this_vm) {
            return None;
        }
        *self.held.entry(Arc::clone(engine)).or_default() += turn.tokens;
        Some(Pin {
            engine: Arc::clone(engine),
            tokens: turn.tokens,
            time: Duration::from_secs_f64(pin_ms / 1000.0),
        })
    }

    /// Records the end of a turn and the pin that is now in force. Returns a pin that is in force no longer, where
    /// another turn of the session has ended before.
    pub fn end(&mut self, now: Instant, turn: Turn, pin: Option<Pin>) -> Option<Pin> {
        self.sweep(now);
        if self.ended.len() >= MAX_SESSIONS && !self.ended.contains_key(&turn.session) {
            if let Some(pin) = &pin {
                self.release(pin);
            }
            return pin;
        }
        let ended = Ended { turn, at: now, pin };
        let before = self.ended.insert(turn.session, ended)?.pin?;
        self.release(&before);
        Some(before)
    }

    /// Ends a session that was refused for good or given up; returns its pin.
    pub fn end_session(&mut self, session: u64) -> Option<Pin> {
        let pin = self.ended.remove(&session)?.pin?;
        self.release(&pin);
        Some(pin)
    }

    /// Whether the last turn of a session has a pin.
    #[must_use]
    pub fn has_pin(&self, session: u64) -> bool {
        let ended = self.ended.get(&session);
        ended.is_some_and(|ended| ended.pin.is_some())
    }

    /// Counts a pin no longer.
    pub fn release(&mut self, pin: &Pin) {
        if let Some(tokens) = self.held.get_mut(&pin.engine) {
            *tokens = tokens.saturating_sub(pin.tokens);
            if *tokens == 0 {
                self.held.remove(&pin.engine);
            }
        }
    }

    /// Forgets pins that have expired and turns that ended long ago.
    fn sweep(&mut self, now: Instant) {
        if self.swept.is_some_and(|at| now < at + SWEEP_INTERVAL) {
            return;
        }
        self.swept = Some(now);
        let mut expired = Vec::new();
        for ended in self.ended.values_mut() {
            let at = ended.at;
            expired.extend(ended.pin.take_if(|pin| at + pin.time <= now));
        }
        self.ended
            .retain(|_, ended| ended.at + SESSION_MEMORY > now);
        for pin in expired {
            self.release(&pin);
        }
    }

    /// Numbers for the state dump.
    #[must_use]
    pub fn state(&self) -> Value {
        json!({
            "classes": self.classes.len(),
            "known": self.classes.values().filter(|class| class.any.is_known()).count(),
            "sessions": self.ended.len(),
            "engines": self.held.len(),
            "held_tokens": self.held.values().sum::<u64>(),
        })
    }
}
