//! State machine of one call that must not be repeated. Does no I/O.

use std::time::Duration;
use tokio::time::Instant;

/// Maximum age of the log read that returned the intent; an older intent is dropped, not sent.
///
/// The age counts from when the read was sent: a process that was suspended may find an outdated
/// reply in its socket.
const MAX_READ_AGE: Duration = Duration::from_secs(3);

/// Input of the state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The intent was read back from the log.
    IntentRead {
        /// Whether the record is valid and is the open intent of the program's next call.
        valid: bool,
        /// When the read request was sent.
        requested_at: Instant,
        /// Current time.
        now: Instant,
    },
    /// The deadline passed, the program is ending, or another VM took the shard over.
    Cancelled,
    /// The service replied.
    Replied,
    /// The request failed without a reply from which the outcome is known.
    Failed {
        /// Whether any of the request may have reached the service.
        maybe_sent: bool,
    },
}

/// Output of the state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Do nothing.
    Wait,
    /// Send the call; returned at most once.
    Send,
    /// Record that the intent was dropped, and refuse the call as not run.
    DropIntent,
    /// Send and record nothing; another VM owns the shard or the call already has an outcome.
    Abandon,
    /// Record the reply as the answer.
    Record,
    /// Record the outcome as unknown.
    RecordUnknown,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    RecordingIntent,
    Sent,
    Done,
}

/// State of one call, starting when its intent is appended to the log.
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
    /// Handles an event and returns the next action.
    ///
    /// ```
    /// use vanillatrail::effect::{Action, Effect, Event};
    /// let now = tokio::time::Instant::now();
    /// let mut effect = Effect::default();
    /// assert_eq!(effect.handle(Event::Cancelled), Action::DropIntent);
    /// let late_read = Event::IntentRead { valid: true, requested_at: now, now };
    /// assert_eq!(effect.handle(late_read), Action::Wait);
    /// ```
    pub fn handle(&mut self, event: Event) -> Action {
        let (stage, action) = match (self.stage, event) {
            (
                Stage::RecordingIntent,
                Event::IntentRead {
                    valid,
                    requested_at,
                    now,
                },
            ) => Self::on_intent_read(valid, now.saturating_duration_since(requested_at)),
            // The intent may still reach the log, but only this process could send the call, and
            // in stage `Done` it never does. So the call can be reported as not run.
            (Stage::RecordingIntent, Event::Cancelled)
            | (Stage::Sent, Event::Failed { maybe_sent: false }) => {
                (Stage::Done, Action::DropIntent)
            }
            (Stage::Sent, Event::Replied) => (Stage::Done, Action::Record),
            (Stage::Sent, Event::Failed { maybe_sent: true }) => {
                (Stage::Done, Action::RecordUnknown)
            }
            (stage, _) => (stage, Action::Wait),
        };
        self.stage = stage;
        action
    }

    fn on_intent_read(valid: bool, age: Duration) -> (Stage, Action) {
        if !valid {
            return (Stage::Done, Action::Abandon);
        }
        if age > MAX_READ_AGE {
            return (Stage::Done, Action::DropIntent);
        }
        (Stage::Sent, Action::Send)
    }
}
