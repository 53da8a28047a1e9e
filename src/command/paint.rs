//! Colored output if standard output is a terminal.

use std::io::{IsTerminal, stdout};

pub(super) fn green(text: &str) -> String {
    paint("32", text)
}

pub(super) fn red(text: &str) -> String {
    paint("31", text)
}

fn paint(ansi_color: &str, text: &str) -> String {
    // https://no-color.org: any value except the empty string disables colors.
    let disabled = std::env::var_os("NO_COLOR").is_some_and(|value| !value.is_empty());
    if disabled || !stdout().is_terminal() {
        return text.to_owned();
    }
    format!("\u{1b}[{ansi_color}m{text}\u{1b}[0m")
}
