//! Finished turns and their ids.

use crate::segments::Segments;
use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::rc::Rc;
use std::str::FromStr;

/// Keys in the store have at most 255 bytes. Callers use 16, and the name of a team goes before.
const MAX_ID_BYTES: usize = 200;

/// Id of a turn: the name that its caller chose, prefixed with the team, if any.
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
    /// The id as text, 1 to 200 printable ASCII characters.
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
        if text.is_empty() || text.len() > MAX_ID_BYTES {
            return Err(format!("a turn id must have 1 to {MAX_ID_BYTES} bytes"));
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err("a turn id must be printable ASCII without spaces".to_owned());
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

/// A turn whose response reached its caller completely.
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
    /// Key of the turn's record in the store.
    pub id: Id,
    /// Previous turn of the conversation; `None` for the first.
    pub prev: Option<Id>,
    /// End of retention, in milliseconds since the Unix epoch.
    pub until_ms: u64,
    /// Body of the caller's request.
    pub input: Bytes,
    /// Data of the response's events, each followed by a line feed.
    pub output: Bytes,
}

impl Turn {
    /// Encodes the turn as `MessagePack`.
    ///
    /// # Panics
    /// Never: all fields are serializable.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        rmp_serde::to_vec(self)
            .expect("a turn is serializable")
            .into()
    }

    /// Decodes a stored turn; `None` if the record is malformed.
    #[must_use]
    pub fn decode(record: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(record).ok()
    }

    /// Size of input and output in bytes.
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

/// Inputs and outputs of this size are shared by all prompts that have them. Smaller ones are copied, since a reference
/// would take nearly as much.
const MIN_SHARED_BYTES: usize = 1024;

/// Builds the request body for a backend server: all turns, oldest first, then the new input.
///
/// ```
/// # use std::rc::Rc;
/// # use vanillatrail::conversation::{Turn, build_prompt};
/// let first = Turn { id: "t".parse().unwrap(), prev: None, until_ms: 0, input: "ab".into(), output: "c\n".into() };
/// assert_eq!(build_prompt(&[Rc::new(first)], &"d".into()), "abc\nd");
/// ```
#[must_use]
pub fn build_prompt(turns: &[Rc<Turn>], input: &Segments) -> Segments {
    let mut prompt = Segments::default();
    let mut joined = BytesMut::new();
    for part in turns.iter().flat_map(|turn| [&turn.input, &turn.output]) {
        if part.len() < MIN_SHARED_BYTES {
            joined.extend_from_slice(part);
        } else {
            prompt.push(joined.split().freeze());
            prompt.push(part.clone());
        }
    }
    prompt.push(joined.freeze());
    prompt.extend(input);
    prompt
}

/// Bytes that [`build_prompt`] copies.
///
/// ```
/// # use std::rc::Rc;
/// # use vanillatrail::conversation::{Turn, copied_bytes};
/// let long = vec![0; 100_000];
/// let turn = Turn { id: "t".parse().unwrap(), prev: None, until_ms: 0, input: long.into(), output: "c\n".into() };
/// assert_eq!(copied_bytes(&[Rc::new(turn)]), 2);
/// ```
#[must_use]
pub fn copied_bytes(turns: &[Rc<Turn>]) -> usize {
    let parts = turns.iter().flat_map(|turn| [&turn.input, &turn.output]);
    let sizes = parts.map(Bytes::len);
    sizes.filter(|size| *size < MIN_SHARED_BYTES).sum()
}
