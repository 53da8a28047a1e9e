//! One finished turn.

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::rc::Rc;
use std::str::FromStr;

/// Bytes of an identity at the most; a key of the store has 255. Callers use 16, and a team's name goes before.
const ID: usize = 200;

/// The identity of a turn, as its caller chose it.
///
/// ```
/// use vanillatrail::conversation::Id;
/// assert!("40c8f1a7b3e9265d".parse::<Id>().is_ok());
/// assert!("".parse::<Id>().is_err());
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Id(Rc<str>);

impl Id {
    /// Its text.
    ///
    /// ```
    /// use vanillatrail::conversation::Id;
    /// assert_eq!("a1".parse::<Id>().unwrap().as_str(), "a1");
    /// ```
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Id {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() || text.len() > ID {
            return Err(format!("a turn's identity has 1 to {ID} bytes"));
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err("a turn's identity is printable".to_owned());
        }
        Ok(Self(text.into()))
    }
}

impl TryFrom<String> for Id {
    type Error = String;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Id> for String {
    fn from(id: Id) -> Self {
        id.0.as_ref().to_owned()
    }
}

/// A turn whose answer reached its caller whole.
///
/// ```
/// use vanillatrail::conversation::Turn;
/// let turn = Turn {
///     id: "t1".parse().unwrap(),
///     prev: None,
///     until_ms: 60_000,
///     input: "hello".into(),
///     output: "hi\n".into(),
/// };
/// assert_eq!(Turn::decode(&turn.encode()), Some(turn));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Turn {
    /// Its identity.
    pub id: Id,
    /// The turn that it went on from.
    pub prev: Option<Id>,
    /// The time of day, in milliseconds, until which it is kept.
    pub until_ms: u64,
    /// What the caller sent.
    pub input: Bytes,
    /// The data of each event, followed by a line feed.
    pub output: Bytes,
}

impl Turn {
    /// The record of the turn.
    ///
    /// # Panics
    /// Never: each field can be written.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        rmp_serde::to_vec(self)
            .expect("a turn can be encoded")
            .into()
    }

    /// Reads a record; none where it is not a turn's.
    #[must_use]
    pub fn decode(record: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(record).ok()
    }

    /// Bytes of what was said.
    ///
    /// ```
    /// # use vanillatrail::conversation::Turn;
    /// let record = Turn { id: "t".parse().unwrap(), prev: None, until_ms: 0, input: "ab".into(), output: "c\n".into() };
    /// assert_eq!(record.size(), 4);
    /// ```
    #[must_use]
    pub fn size(&self) -> usize {
        self.input.len() + self.output.len()
    }
}

/// What a backend server gets: all turns, the oldest first, then the new input.
///
/// ```
/// # use std::rc::Rc;
/// # use vanillatrail::conversation::{Turn, build_prompt};
/// let first = Turn { id: "t".parse().unwrap(), prev: None, until_ms: 0, input: "ab".into(), output: "c\n".into() };
/// assert_eq!(build_prompt(&[Rc::new(first)], &"d".into()), "abc\nd");
/// ```
#[must_use]
pub fn build_prompt(turns: &[Rc<Turn>], input: &Bytes) -> Bytes {
    let size = turns.iter().map(|turn| turn.size()).sum::<usize>();
    let mut whole = BytesMut::with_capacity(size + input.len());
    for turn in turns {
        whole.extend_from_slice(&turn.input);
        whole.extend_from_slice(&turn.output);
    }
    whole.extend_from_slice(input);
    whole.freeze()
}
