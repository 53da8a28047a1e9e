//! Two operators change the same key concurrently; all readers of the stream agree on the winner.
//!
//!     cargo run --example config

use vanillatrail::config::{Outcome, State};
use vanillatrail::id::Offset;

fn change(by: &str, base: Option<u64>, target_ms: u64) -> Vec<u8> {
    let base = base.map_or("null".to_owned(), |base| base.to_string());
    let value = format!(r#"{{"target_ms": {target_ms}}}"#);
    let change = format!(
        r#"{{"schema": 1, "key": "class/quick", "base": {base}, "value": {value}, "by": "{by}"}}"#
    );
    change.into_bytes()
}

fn main() {
    let stream = [
        change("ama", None, 5000),
        change("ama", Some(0), 4000),
        change("rui", Some(0), 3000),
        change("rui", Some(1), 0),
    ];
    let mut readers = [State::default(), State::default()];
    for (offset, entry) in stream.iter().enumerate() {
        let [first, second] = &mut readers;
        let verdict = first.apply(Offset(offset as u64), entry);
        assert_eq!(second.apply(Offset(offset as u64), entry), verdict);
        match verdict.outcome {
            Outcome::Refused(failure) => println!("{offset} by {}: {failure}", verdict.by),
            ruling => println!("{offset} by {}: {ruling:?}", verdict.by),
        }
    }
    let name = "quick".parse().expect("a valid name");
    let snapshot = readers[0].snapshot();
    let class = snapshot.class(&name).expect("the class is configured");
    println!("target in effect: {} ms", class.target_ms);
    assert_eq!(class.target_ms, 4000);
}
