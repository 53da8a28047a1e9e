//! Newtypes for identities, positions and sizes.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use xxhash_rust::xxh3::xxh3_64;

/// The text is not a valid identity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError {
    what: &'static str,
    text: String,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a valid {}: `{}`", self.what, self.text)
    }
}

impl std::error::Error for ParseError {}

macro_rules! name {
    ($type:ident, $what:literal, $doc:literal) => {
        #[doc = $doc]
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(std::sync::Arc<str>);

        impl $type {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $type {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let plain = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
                if text.is_empty() || text.len() > 128 || !text.chars().all(plain) {
                    return Err(ParseError {
                        what: $what,
                        text: text.chars().take(40).collect(),
                    });
                }
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $type {
            type Error = ParseError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

macro_rules! number {
    ($type:ident, $what:literal, $doc:literal) => {
        #[doc = $doc]
        #[derive(
            Debug,
            Clone,
            Copy,
            Default,
            PartialEq,
            Eq,
            Hash,
            PartialOrd,
            Ord,
            Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $type(pub u64);

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $type {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|_| ParseError {
                    what: $what,
                    text: text.into(),
                })
            }
        }
    };
}

name!(
    Vm,
    "VM name",
    "The name of one of the system's own VMs, from its settings."
);
name!(
    Zone,
    "availability zone",
    "An availability zone, from the settings."
);
name!(
    Server,
    "backend server name",
    "A backend server: a model engine or a service server."
);
name!(
    Class,
    "class name",
    "A class of programs, for which operators set a target."
);
name!(
    Service,
    "service name",
    "A plain service beside the engines."
);
name!(Operation, "operation name", "An operation of a service.");
name!(
    Model,
    "model name",
    "A model that a pool of engines serves."
);

number!(
    Boot,
    "process number",
    "A random number that tells two runs of one VM apart."
);
number!(
    Incarnation,
    "incarnation",
    "A number that a VM raises whenever it says something new of itself; the highest counts."
);
number!(
    Shard,
    "shard",
    "A shard of programs; one VM owns it at a time."
);
number!(
    Call,
    "call number",
    "The number of a call within its program, from 1."
);
number!(
    Offset,
    "offset",
    "The position of an entry in a stream of the log."
);
number!(
    Sequence,
    "sequence",
    "The position of a record among those of one process."
);
number!(Tokens, "token count", "A number of tokens.");
number!(
    Millicores,
    "share of a core",
    "Processor time, in thousandths of a core."
);
number!(
    Permit,
    "permit",
    "Leave to send one call to one backend server."
);

/// Entries per append that an [`Epoch`] can tell apart.
const EPOCH_ENTRIES: u64 = 1 << 16;

/// The position of a claim in its stream: append offset, then place in the batch.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch that a claim at this place starts.
    ///
    /// ```
    /// use vanillatrail::id::{Epoch, Offset};
    /// assert!(Epoch::at(Offset(2), 0) > Epoch::at(Offset(1), 9));
    /// ```
    #[must_use]
    pub const fn at(offset: Offset, index: usize) -> Self {
        Self((offset.0 + 1) * EPOCH_ENTRIES + index as u64)
    }
}

impl Epoch {
    /// The offset of the claim.
    ///
    /// ```
    /// use vanillatrail::id::{Epoch, Offset};
    /// assert_eq!(Epoch::at(Offset(7), 3).offset(), Offset(7));
    /// ```
    #[must_use]
    pub const fn offset(self) -> Offset {
        Offset((self.0 / EPOCH_ENTRIES).saturating_sub(1))
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Epoch {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| ParseError {
            what: "epoch",
            text: text.into(),
        })
    }
}

/// A program: its shard, and 128 random bits so that it cannot be guessed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Program {
    shard: u32,
    random: u128,
}

impl Program {
    /// A program in `shard` with `random` as its unguessable part.
    ///
    /// ```
    /// use vanillatrail::id::{Program, Shard};
    /// let id = Program::new(Shard(3), 7);
    /// assert_eq!(id.to_string().parse(), Ok(id));
    /// ```
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "settings allow 65,536 shards"
    )]
    pub const fn new(shard: Shard, random: u128) -> Self {
        Self {
            shard: shard.0 as u32,
            random,
        }
    }

    /// The shard that the id carries.
    ///
    /// ```
    /// use vanillatrail::id::{Program, Shard};
    /// assert_eq!(Program::new(Shard(3), 7).shard(), Shard(3));
    /// ```
    #[must_use]
    pub const fn shard(self) -> Shard {
        Shard(self.shard as u64)
    }
}

impl fmt::Display for Program {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "p{:x}-{:032x}", self.shard, self.random)
    }
}

impl FromStr for Program {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || ParseError {
            what: "program id",
            text: text.chars().take(60).collect(),
        };
        let (shard, random) = text
            .strip_prefix('p')
            .and_then(|rest| rest.split_once('-'))
            .ok_or_else(malformed)?;
        if random.len() != 32 || shard.is_empty() || shard.len() > 8 {
            return Err(malformed());
        }
        Ok(Self {
            shard: u32::from_str_radix(shard, 16).map_err(|_| malformed())?,
            random: u128::from_str_radix(random, 16).map_err(|_| malformed())?,
        })
    }
}

impl TryFrom<String> for Program {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Program> for String {
    fn from(id: Program) -> Self {
        id.to_string()
    }
}

/// The shard that an opening key falls into.
///
/// ```
/// use vanillatrail::id::shard_of;
/// assert_eq!(shard_of("order-7", 16), shard_of("order-7", 16));
/// ```
#[must_use]
pub fn shard_of(key: &str, shards: u64) -> Shard {
    Shard(xxh3_64(key.as_bytes()) % shards.max(1))
}

/// The digest of a request body, by which a repeated call is told from another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest([u8; 16]);

impl Digest {
    /// The digest of `bytes`.
    ///
    /// ```
    /// use vanillatrail::id::Digest;
    /// assert_ne!(Digest::of(b"a"), Digest::of(b"b"));
    /// ```
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        let mut short = [0; 16];
        short.copy_from_slice(&blake3::hash(bytes).as_bytes()[..16]);
        Self(short)
    }
}

/// A rank for `candidate` under `key`; the highest is the rendezvous choice.
///
/// ```
/// use vanillatrail::id::rendezvous_score;
/// assert_eq!(rendezvous_score("shard-1", "vm-a"), rendezvous_score("shard-1", "vm-a"));
/// ```
#[must_use]
pub fn rendezvous_score(key: &str, candidate: &str) -> u64 {
    xxh3_64(format!("{key}\u{0}{candidate}").as_bytes())
}
