//! Colours, on a terminal only.

use std::io::{IsTerminal, stdout};

/// Text for something that is as it should be.
pub(super) fn good(text: &str) -> String {
    painted("32", text)
}

/// Text for something that is not.
pub(super) fn bad(text: &str) -> String {
    painted("31", text)
}

fn painted(colour: &str, text: &str) -> String {
    // https://no-color.org: any value but the empty one turns colours off.
    let refused = std::env::var_os("NO_COLOR").is_some_and(|value| !value.is_empty());
    if refused || !stdout().is_terminal() {
        return text.to_owned();
    }
    format!("\u{1b}[{colour}m{text}\u{1b}[0m")
}
