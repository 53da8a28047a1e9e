//! Steps of a random schedule, and counters of their effects.

/// One step of a random schedule.
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
    /// Appends the oldest queued record of a VM; the reply may be lost, or the record sent twice.
    Append {
        vm: usize,
        lost: bool,
        duplicated: bool,
    },
    /// A VM requests a page of the log; the reply stays in its socket.
    Fetch {
        vm: usize,
    },
    /// A VM applies the page in its socket.
    ApplyPage {
        vm: usize,
    },
    /// A VM appends all its records and reads the log up to its end.
    Sync {
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
    Resume {
        vm: usize,
    },
    /// A delayed duplicate of a record arrives at the log.
    Copy {
        index: usize,
    },
    /// A request in flight takes effect at the service.
    Serve {
        index: usize,
    },
    /// The reply to a request arrives, or is lost.
    Reply {
        index: usize,
        lost: bool,
    },
    Log {
        up: bool,
    },
    Time {
        ms: u64,
    },
}

/// How often each outcome occurred, so that the test can tell that schedules exercise it.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    pub steps: u64,
    pub effects: u64,
    pub unknown: u64,
    pub dropped: u64,
    pub answered: u64,
    pub takeovers: u64,
    pub fenced: u64,
}

impl Counters {
    pub fn add(&mut self, other: &Self) {
        self.steps += other.steps;
        self.effects += other.effects;
        self.unknown += other.unknown;
        self.dropped += other.dropped;
        self.answered += other.answered;
        self.takeovers += other.takeovers;
        self.fenced += other.fenced;
    }
}
