//! What goes wrong in a run.

use std::fmt;

/// One fault, between a third and two thirds of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An engine dies and comes back empty.
    EngineLost,
    /// An engine takes three times as long as it reports.
    EngineSlow,
    /// The VM that holds the queue is lost, and what it had learned with it.
    VmLost,
    /// No cache event arrives.
    EventsCut,
    /// Some tool calls hang.
    Hangs,
    /// Some programs never end by themselves.
    Loops,
}

impl Fault {
    pub const ALL: [Self; 6] = [
        Self::EngineLost,
        Self::EngineSlow,
        Self::VmLost,
        Self::EventsCut,
        Self::Hangs,
        Self::Loops,
    ];
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::EngineLost => "engine lost",
            Self::EngineSlow => "engine slow",
            Self::VmLost => "vm lost",
            Self::EventsCut => "events cut",
            Self::Hangs => "tools hang",
            Self::Loops => "programs loop",
        })
    }
}
