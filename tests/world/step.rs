//! What can happen, and how much of it has.

/// One thing that happens.
#[derive(Debug, Clone)]
pub enum Step {
    Receipt {
        vm: usize,
        program: usize,
    },
    Model {
        vm: usize,
        program: usize,
        tokens: u64,
    },
    /// The oldest record of a VM gets into the log; the reply may be lost, a copy may follow.
    Append {
        vm: usize,
        lost: bool,
        copied: bool,
    },
    /// A VM sends a read and its reply waits in the socket.
    Fetch {
        vm: usize,
    },
    /// A VM takes in the reply that waits.
    Take {
        vm: usize,
    },
    /// A VM gets all its records into the log and reads up to its end.
    Turn {
        vm: usize,
    },
    Settle {
        vm: usize,
    },
    Claim {
        vm: usize,
    },
    Withdraw {
        vm: usize,
        program: usize,
    },
    Kill {
        vm: usize,
    },
    Pause {
        vm: usize,
    },
    Wake {
        vm: usize,
    },
    /// A late copy of a record arrives at the log.
    Copy {
        which: usize,
    },
    /// A request on the wire takes effect.
    Serve {
        which: usize,
    },
    /// The reply to a request arrives, or is lost.
    Reply {
        which: usize,
        lost: bool,
    },
    Log {
        up: bool,
    },
    Time {
        ms: u64,
    },
}

/// How much of what has happened.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    pub steps: u64,
    pub effects: u64,
    pub unknown: u64,
    pub dropped: u64,
    pub answered: u64,
    pub takeovers: u64,
    pub void: u64,
}

impl Seen {
    pub fn add(&mut self, other: &Self) {
        self.steps += other.steps;
        self.effects += other.effects;
        self.unknown += other.unknown;
        self.dropped += other.dropped;
        self.answered += other.answered;
        self.takeovers += other.takeovers;
        self.void += other.void;
    }
}
