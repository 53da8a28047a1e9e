//! Parser for log lines of VMs.

use chrono::NaiveDateTime;

/// Start of a log line; anything before it is a prefix added by a log collector.
const LINE_START: &str = "ts=";
const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.f";

/// One log line of a VM.
///
/// ```
/// use vanillatrail::explain::Line;
/// let line = Line::parse(r#"vm-a| ts=2026-12-03T02:01:24.156 level=info event=started vm="vm a""#).unwrap();
/// assert_eq!(line.event(), "started");
/// assert_eq!(line.get("vm"), Some("vm a"));
/// assert!(Line::parse("no time in it").is_none());
/// ```
#[derive(Debug, Clone)]
pub struct Line<'a> {
    /// Prefix added by a log collector; empty without one.
    pub prefix: &'a str,
    /// Timestamp of the event.
    pub time: NaiveDateTime,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Parses a line; `None` if it was not written by a VM.
    #[must_use]
    pub fn parse(text: &'a str) -> Option<Self> {
        let start = text.find(LINE_START)?;
        let (prefix, line) = text.split_at(start);
        let pairs = pairs(line);
        let (_, time) = pairs.first()?;
        let time = NaiveDateTime::parse_from_str(time, TIME_FORMAT).ok()?;
        let line = Self {
            prefix: prefix.trim(),
            time,
            pairs,
        };
        line.get("event").is_some().then_some(line)
    }

    /// The value of a key, without quotes; `None` if the line lacks the key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&'a str> {
        let pair = self.pairs.iter().find(|(name, _)| *name == key);
        pair.map(|(_, value)| *value)
    }

    /// Name of the logged event.
    #[must_use]
    pub fn event(&self) -> &'a str {
        self.get("event").unwrap_or_default()
    }

    /// The value of a key in milliseconds; zero if it is missing or not a number.
    pub(super) fn millis(&self, key: &str) -> u64 {
        self.get(key)
            .and_then(|text| text.parse().ok())
            .unwrap_or_default()
    }
}

/// Splits a line into key-value pairs. Values with spaces are quoted.
fn pairs(mut rest: &str) -> Vec<(&str, &str)> {
    let mut pairs = Vec::new();
    while let Some((key, tail)) = rest.split_once('=') {
        let (value, after) = match tail.strip_prefix('"') {
            Some(quoted) => quoted.split_at(end_of_quote(quoted)),
            None => tail.split_at(tail.find(' ').unwrap_or(tail.len())),
        };
        pairs.push((key.trim_start(), value));
        rest = after.trim_start_matches('"');
    }
    pairs
}

/// Index of the closing quote, skipping escaped quotes.
fn end_of_quote(text: &str) -> usize {
    let mut escaped = false;
    for (index, byte) in text.bytes().enumerate() {
        match byte {
            b'"' if !escaped => return index,
            b'\\' => escaped = !escaped,
            _ => escaped = false,
        }
    }
    text.len()
}
