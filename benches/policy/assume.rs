//! Parameters of the simulated engines, faults and workloads.

/// Duration of an engine step, without calls and prefill.
pub const STEP_S: f64 = 0.020;
/// Added duration of a step for each call in flight.
pub const STEP_PER_CALL_S: f64 = 0.0006;
/// Added duration of a step that processes a prefill chunk.
pub const STEP_PER_CHUNK_S: f64 = 0.030;
/// Prompt tokens of a prefill chunk.
pub const CHUNK_TOKENS: f64 = 512.0;
pub const MAX_BATCH_CALLS: usize = 64;
/// Speed at which an engine imports exported KV cache.
pub const IMPORT_TOKENS_PER_SECOND: f64 = 40_000.0;
/// Delay of cache events.
pub const EVENT_DELAY_S: f64 = 2.0;
/// Share of cache events that are lost.
pub const EVENT_LOSS_SHARE: f64 = 0.1;
/// Time until another VM takes over from a lost dispatcher.
pub const TAKEOVER_S: f64 = 2.0;
/// Share of tool calls that hang under [`Fault::Hangs`](crate::fault::Fault::Hangs).
pub const HANG_SHARE: f64 = 0.02;
/// Duration of a hanging tool call.
pub const HANG_S: f64 = 10.0;
/// Share of programs that loop under [`Fault::Loops`](crate::fault::Fault::Loops).
pub const LOOP_SHARE: f64 = 0.01;

/// Workload of one class of programs.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    pub name: &'static str,
    /// Share of all arriving programs.
    pub share: f64,
    /// Target duration in seconds.
    pub target: f64,
    /// Whether a caller waits for the result.
    pub waiting: bool,
    /// Range of the number of turns, both ends included.
    pub turns: (usize, usize),
    /// Limit on the number of turns.
    pub turn_limit: usize,
    /// Median tokens of the first prompt.
    pub first_prompt: f64,
    /// Median tokens that each later turn adds to the prompt.
    pub added_prompt: f64,
    /// Median tokens generated per turn.
    pub generated: f64,
    /// Median seconds of a tool call.
    pub tool_s: f64,
    /// Range of the number of sub-agents that the middle turn spawns, both ends included.
    pub children: (usize, usize),
    /// Class of the sub-agents.
    pub child: usize,
    /// Arrival rate at the peak, relative to the mean.
    pub peak: f64,
}

/// Simulated deployment and its workload.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub name: &'static str,
    pub engines: usize,
    /// KV-cache capacity of one engine in tokens, shared by running calls and cached prefixes.
    pub cache_tokens: u64,
    pub callers: usize,
    pub classes: &'static [Class],
}

const DEFAULT_CLASS: Class = Class {
    name: "",
    share: 0.0,
    target: 0.0,
    waiting: true,
    turns: (1, 1),
    turn_limit: 40,
    first_prompt: 0.0,
    added_prompt: 0.0,
    generated: 0.0,
    tool_s: 0.0,
    children: (0, 0),
    child: 0,
    peak: 1.0,
};

/// Tax workload: interactive explanations, longer assessments and batch exports.
pub const ASSOCIATION: Scenario = Scenario {
    name: "association",
    engines: 10,
    cache_tokens: 400_000,
    callers: 20,
    classes: &[
        Class {
            name: "explainer",
            share: 0.60,
            target: 15.0,
            turns: (1, 3),
            first_prompt: 1200.0,
            added_prompt: 300.0,
            generated: 90.0,
            tool_s: 0.4,
            peak: 1.5,
            ..DEFAULT_CLASS
        },
        Class {
            name: "assessment",
            share: 0.30,
            target: 120.0,
            turns: (4, 12),
            first_prompt: 3000.0,
            added_prompt: 500.0,
            generated: 160.0,
            tool_s: 1.5,
            peak: 1.2,
            ..DEFAULT_CLASS
        },
        Class {
            name: "export",
            share: 0.10,
            target: 3600.0,
            waiting: false,
            turns: (10, 24),
            turn_limit: 80,
            first_prompt: 2500.0,
            added_prompt: 500.0,
            generated: 250.0,
            tool_s: 3.0,
            ..DEFAULT_CLASS
        },
    ],
};

/// Delivery workload with a smaller KV cache: status questions, negotiations, and reworked routes
/// that spawn sub-agents.
pub const CONSORTIUM: Scenario = Scenario {
    name: "consortium",
    engines: 10,
    cache_tokens: 250_000,
    callers: 15,
    classes: &[
        Class {
            name: "status",
            share: 0.35,
            target: 12.0,
            turns: (1, 2),
            first_prompt: 900.0,
            added_prompt: 200.0,
            generated: 70.0,
            tool_s: 0.3,
            ..DEFAULT_CLASS
        },
        Class {
            name: "negotiation",
            share: 0.47,
            target: 90.0,
            turns: (3, 9),
            first_prompt: 2500.0,
            added_prompt: 350.0,
            generated: 100.0,
            tool_s: 4.0,
            peak: 1.2,
            ..DEFAULT_CLASS
        },
        Class {
            name: "rework",
            share: 0.06,
            target: 150.0,
            turns: (3, 6),
            first_prompt: 4000.0,
            added_prompt: 600.0,
            generated: 180.0,
            tool_s: 1.0,
            children: (3, 6),
            child: 3,
            peak: 4.0,
            ..DEFAULT_CLASS
        },
        Class {
            name: "rework-part",
            target: 150.0,
            turns: (2, 4),
            first_prompt: 2000.0,
            added_prompt: 400.0,
            generated: 120.0,
            tool_s: 1.0,
            ..DEFAULT_CLASS
        },
        Class {
            name: "report",
            share: 0.12,
            target: 3600.0,
            waiting: false,
            turns: (6, 14),
            turn_limit: 80,
            first_prompt: 2500.0,
            added_prompt: 500.0,
            generated: 250.0,
            tool_s: 3.0,
            ..DEFAULT_CLASS
        },
    ],
};

pub const SCENARIOS: [Scenario; 2] = [ASSOCIATION, CONSORTIUM];
