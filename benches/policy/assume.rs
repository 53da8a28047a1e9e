//! Every size that the measurement assumes. None of them is a figure of the users'.

/// Steps of an engine in seconds: a lone call, each further call, and a chunk of prefill.
pub const STEP: f64 = 0.020;
/// What each call in flight adds to a step, in seconds.
pub const STEP_PER_CALL: f64 = 0.0006;
/// What a chunk of prefill adds to a step, in seconds.
pub const STEP_PER_CHUNK: f64 = 0.030;
/// Prompt tokens that one step works through.
pub const CHUNK: f64 = 512.0;
/// Calls that an engine takes into its batch.
pub const BATCH: usize = 64;
/// Tokens per second that an engine imports from exported cache.
pub const IMPORT_RATE: f64 = 40_000.0;
/// How late cache events arrive, in seconds.
pub const EVENT_LAG: f64 = 2.0;
/// Share of cache events that are lost.
pub const EVENT_LOSS: f64 = 0.1;
/// How long a lost dispatcher is missing, in seconds.
pub const TAKEOVER: f64 = 2.0;
/// Share of tool calls that hang while tools hang.
pub const HANG_SHARE: f64 = 0.02;
/// How long a hanging tool call lasts before it is given up, in seconds.
pub const HANG: f64 = 10.0;
/// Share of programs that loop while programs loop.
pub const LOOP_SHARE: f64 = 0.01;

/// A class of programs.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    pub name: &'static str,
    /// Share of the programs that arrive.
    pub share: f64,
    pub target: f64,
    /// Whether a caller waits.
    pub waiting: bool,
    /// Turns, from and to, both included.
    pub turns: (usize, usize),
    /// Turns after which the configuration ends a program.
    pub turn_limit: usize,
    /// Median tokens of the first prompt.
    pub opening: f64,
    /// Median tokens that each later turn adds to the prompt.
    pub added: f64,
    /// Median tokens generated per turn.
    pub generated: f64,
    /// Median seconds of a tool call.
    pub tool: f64,
    /// Sub-agents that one turn in the middle spawns, from and to.
    pub children: (usize, usize),
    /// The class of the sub-agents.
    pub child: usize,
    /// Times as many arrivals at the peak.
    pub peak: f64,
}

/// A deployment.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub name: &'static str,
    pub engines: usize,
    /// Tokens that one engine's cache and its running calls hold.
    pub memory: u64,
    pub callers: usize,
    pub classes: &'static [Class],
}

const PLAIN: Class = Class {
    name: "",
    share: 0.0,
    target: 0.0,
    waiting: true,
    turns: (1, 1),
    turn_limit: 40,
    opening: 0.0,
    added: 0.0,
    generated: 0.0,
    tool: 0.0,
    children: (0, 0),
    child: 0,
    peak: 1.0,
};

/// Ten engines, clerks before the monthly cut-off, audit exports that may run overnight.
pub const ASSOCIATION: Scenario = Scenario {
    name: "association",
    engines: 10,
    memory: 400_000,
    callers: 20,
    classes: &[
        Class {
            name: "explainer",
            share: 0.60,
            target: 15.0,
            turns: (1, 3),
            opening: 1200.0,
            added: 300.0,
            generated: 90.0,
            tool: 0.4,
            peak: 1.5,
            ..PLAIN
        },
        Class {
            name: "assessment",
            share: 0.30,
            target: 120.0,
            turns: (4, 12),
            opening: 3000.0,
            added: 500.0,
            generated: 160.0,
            tool: 1.5,
            peak: 1.2,
            ..PLAIN
        },
        Class {
            name: "export",
            share: 0.10,
            target: 3600.0,
            waiting: false,
            turns: (10, 24),
            turn_limit: 80,
            opening: 2500.0,
            added: 500.0,
            generated: 250.0,
            tool: 3.0,
            ..PLAIN
        },
    ],
};

/// Ten engines with little memory, customers on the phone, routes reworked when a van drops out.
pub const CONSORTIUM: Scenario = Scenario {
    name: "consortium",
    engines: 10,
    memory: 250_000,
    callers: 15,
    classes: &[
        Class {
            name: "status",
            share: 0.35,
            target: 12.0,
            turns: (1, 2),
            opening: 900.0,
            added: 200.0,
            generated: 70.0,
            tool: 0.3,
            ..PLAIN
        },
        Class {
            name: "negotiation",
            share: 0.47,
            target: 90.0,
            turns: (3, 9),
            opening: 2500.0,
            added: 350.0,
            generated: 100.0,
            tool: 4.0,
            peak: 1.2,
            ..PLAIN
        },
        Class {
            name: "rework",
            share: 0.06,
            target: 150.0,
            turns: (3, 6),
            opening: 4000.0,
            added: 600.0,
            generated: 180.0,
            tool: 1.0,
            children: (3, 6),
            child: 3,
            peak: 4.0,
            ..PLAIN
        },
        Class {
            name: "rework-part",
            target: 150.0,
            turns: (2, 4),
            opening: 2000.0,
            added: 400.0,
            generated: 120.0,
            tool: 1.0,
            ..PLAIN
        },
        Class {
            name: "report",
            share: 0.12,
            target: 3600.0,
            waiting: false,
            turns: (6, 14),
            turn_limit: 80,
            opening: 2500.0,
            added: 500.0,
            generated: 250.0,
            tool: 3.0,
            ..PLAIN
        },
    ],
};

/// Both deployments.
pub const SCENARIOS: [Scenario; 2] = [ASSOCIATION, CONSORTIUM];
