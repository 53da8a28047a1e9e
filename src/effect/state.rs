//! The decision on one call that must not be repeated: events in, actions out, no I/O.

use std::time::Duration;
use tokio::time::Instant;

/// Age of what was read from the log past which an intent is dropped instead of sent.
///
/// It is counted from when the read was sent, not from when its reply was seen: a process that
/// was stopped in between finds an old reply in its socket and would take it for news.
const SEND_WINDOW: Duration = Duration::from_secs(3);

/// What has happened to the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The intent was read back.
    IntentRead {
        /// It is valid, and the program has it as the open intent of its next call.
        valid: bool,
        /// When the read that showed it was sent.
        requested_at: Instant,
        /// The time of the decision.
        now: Instant,
    },
    /// The deadline passed, the program is to end, or another VM took the shard over.
    Cancelled,
    /// The service replied.
    Replied,
    /// There is no reply that tells the outcome.
    Failed {
        /// Whether any of the request may have reached the service.
        maybe_sent: bool,
    },
}

/// What is to be done next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Nothing now.
    Wait,
    /// Send the call; this action is given once at most.
    Send,
    /// Record that the intent was dropped, and refuse the call as not run.
    DropIntent,
    /// Leave the call to the owner whose records count, and send nothing.
    Abandon,
    /// Record the reply as the answer.
    Record,
    /// Record the outcome as unknown.
    RecordUnknown,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Recording,
    Sent,
    Over,
}

/// One call whose intent is on its way into the log.
///
/// ```
/// use vanillatrail::effect::{Action, Effect, Event};
/// let now = tokio::time::Instant::now();
/// let mut effect = Effect::default();
/// assert_eq!(effect.handle(Event::IntentRead { valid: true, requested_at: now, now }), Action::Send);
/// assert_eq!(effect.handle(Event::Failed { maybe_sent: true }), Action::RecordUnknown);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Effect {
    stage: Stage,
}

impl Effect {
    /// Takes in an event and gives the action that follows.
    ///
    /// ```
    /// use vanillatrail::effect::{Action, Effect, Event};
    /// let now = tokio::time::Instant::now();
    /// let mut effect = Effect::default();
    /// assert_eq!(effect.handle(Event::Cancelled), Action::DropIntent);
    /// let late = Event::IntentRead { valid: true, requested_at: now, now };
    /// assert_eq!(effect.handle(late), Action::Wait);
    /// ```
    pub fn handle(&mut self, event: Event) -> Action {
        let (stage, action) = match (self.stage, event) {
            (
                Stage::Recording,
                Event::IntentRead {
                    valid,
                    requested_at,
                    now,
                },
            ) => Self::read_back(valid, now.saturating_duration_since(requested_at)),
            // The intent may still reach the log. Only this process could send it, and with the
            // stage over it never does, so "not run" stays true.
            (Stage::Recording, Event::Cancelled)
            | (Stage::Sent, Event::Failed { maybe_sent: false }) => {
                (Stage::Over, Action::DropIntent)
            }
            (Stage::Sent, Event::Replied) => (Stage::Over, Action::Record),
            (Stage::Sent, Event::Failed { maybe_sent: true }) => {
                (Stage::Over, Action::RecordUnknown)
            }
            (stage, _) => (stage, Action::Wait),
        };
        self.stage = stage;
        action
    }

    fn read_back(valid: bool, age: Duration) -> (Stage, Action) {
        if !valid {
            return (Stage::Over, Action::Abandon);
        }
        if age > SEND_WINDOW {
            return (Stage::Over, Action::DropIntent);
        }
        (Stage::Sent, Action::Send)
    }
}
