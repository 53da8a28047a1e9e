//! A call that must not be repeated is sent at most once, also after failures.
//!
//!     cargo run --example effect

use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::effect::{Action, Effect, Event};

fn run_events(scenario: &str, events: &[Event]) -> Vec<Action> {
    let mut effect = Effect::default();
    let actions: Vec<Action> = events.iter().map(|event| effect.handle(*event)).collect();
    println!("{scenario}: {actions:?}");
    actions
}

fn main() {
    let now = Instant::now();
    let read_back = Event::IntentRead {
        valid: true,
        requested_at: now,
        now,
    };
    let stale = Event::IntentRead {
        valid: true,
        requested_at: now,
        now: now + Duration::from_mins(1),
    };

    let replied = run_events("reply received", &[read_back, Event::Replied]);
    assert_eq!(replied, [Action::Send, Action::Record]);
    let lost = run_events(
        "reply lost",
        &[read_back, Event::Failed { maybe_sent: true }],
    );
    assert_eq!(lost, [Action::Send, Action::RecordUnknown]);
    let twice = run_events("intent read twice", &[read_back, read_back]);
    assert_eq!(twice, [Action::Send, Action::Wait]);
    // The process was suspended after the read, so another VM may own the program.
    let paused = run_events("process paused", &[stale]);
    assert_eq!(paused, [Action::DropIntent]);
    let withdrawn = run_events("deadline passed first", &[Event::Cancelled, read_back]);
    assert_eq!(withdrawn, [Action::DropIntent, Action::Wait]);
}
