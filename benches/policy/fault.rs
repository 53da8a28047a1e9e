//! Faults that a run can inject.

use std::fmt;

/// Fault that is active during the middle third of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An engine fails and restarts with an empty cache.
    EngineLost,
    /// An engine is three times slower and does not report it.
    EngineSlow,
    /// The VM with the dispatch queue fails; the queue and the learned state are lost.
    VmLost,
    /// No cache events arrive.
    EventsCut,
    /// Some tool calls hang.
    Hangs,
    /// Some programs loop until their turn limit.
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
