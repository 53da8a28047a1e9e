//! One log line.

use chrono::NaiveDateTime;

/// Where the time of a line stands; anything before it is a prefix that a collector added.
const TIME: &str = "ts=";
const FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.f";

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
    /// What stood before the line.
    pub prefix: &'a str,
    /// When it was written.
    pub time: NaiveDateTime,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Reads a line; none where it is not one of a VM.
    #[must_use]
    pub fn parse(text: &'a str) -> Option<Self> {
        let start = text.find(TIME)?;
        let (prefix, line) = text.split_at(start);
        let pairs = pairs(line);
        let (_, time) = pairs.first()?;
        let time = NaiveDateTime::parse_from_str(time, FORMAT).ok()?;
        let line = Self {
            prefix: prefix.trim(),
            time,
            pairs,
        };
        line.get("event").is_some().then_some(line)
    }

    /// The value of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&'a str> {
        let pair = self.pairs.iter().find(|(known, _)| *known == key);
        pair.map(|(_, value)| *value)
    }

    /// What it tells of.
    #[must_use]
    pub fn event(&self) -> &'a str {
        self.get("event").unwrap_or_default()
    }

    /// A number of milliseconds, or zero.
    pub(super) fn millis(&self, key: &str) -> u64 {
        self.get(key)
            .and_then(|text| text.parse().ok())
            .unwrap_or_default()
    }
}

/// The pairs of a line. Values with spaces stand in quotes.
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

/// Where the closing quote stands; quotes inside are escaped.
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
