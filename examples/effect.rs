//! A call that must not be repeated is sent at most once, whatever happens around it.
//!
//!     cargo run --example effect

use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::effect::{Action, Effect, Event};

fn tell(what: &str, events: &[Event]) -> Vec<Action> {
    let mut effect = Effect::default();
    let actions: Vec<Action> = events.iter().map(|event| effect.handle(*event)).collect();
    println!("{what}: {actions:?}");
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

    let sent = tell("it is answered", &[read_back, Event::Replied]);
    assert_eq!(sent, [Action::Send, Action::Record]);
    let lost = tell(
        "its reply is lost",
        &[read_back, Event::Failed { maybe_sent: true }],
    );
    assert_eq!(lost, [Action::Send, Action::RecordUnknown]);
    let twice = tell("its intent is read twice", &[read_back, read_back]);
    assert_eq!(twice, [Action::Send, Action::Wait]);
    // The process stood still after the read: another VM may own the program by now.
    let paused = tell("its process was paused", &[stale]);
    assert_eq!(paused, [Action::DropIntent]);
    let withdrawn = tell("its deadline passes first", &[Event::Cancelled, read_back]);
    assert_eq!(withdrawn, [Action::DropIntent, Action::Wait]);
}
