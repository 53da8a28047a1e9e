//! Newtypes for names, ids, positions and quantities.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use xxhash_rust::xxh3::xxh3_64;

/// Error for a text that is not a valid name, id or number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError {
    expected: &'static str,
    text: String,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a valid {}: `{}`", self.expected, self.text)
    }
}

impl std::error::Error for ParseError {}

macro_rules! name {
    ($type:ident, $expected:literal, $doc:literal) => {
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
                let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
                if text.is_empty() || text.len() > 128 || !text.chars().all(is_allowed) {
                    return Err(ParseError {
                        expected: $expected,
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
    ($type:ident, $expected:literal, $doc:literal) => {
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
                    expected: $expected,
                    text: text.into(),
                })
            }
        }
    };
}

name!(
    Vm,
    "VM name",
    "Name of a VM that runs the scheduler, from its settings."
);
name!(Zone, "availability zone", "Name of an availability zone.");
name!(
    Server,
    "backend server name",
    "Name of a backend server: a model engine or a server of a service."
);
name!(
    Class,
    "class name",
    "Name of a class of programs, for which operators set a latency target."
);
name!(
    Service,
    "service name",
    "Name of a service other than the model engines."
);
name!(
    Operation,
    "operation name",
    "Name of an operation of a service."
);
name!(
    Model,
    "model name",
    "Name of a model that a pool of engines serves."
);

number!(
    Boot,
    "process number",
    "Random number that identifies one run of a VM's process."
);
number!(
    Incarnation,
    "incarnation",
    "Version of what a VM announces about itself by gossip; the highest is valid."
);
number!(
    Shard,
    "shard",
    "Number of a shard of programs; at most one VM owns it at a time."
);
number!(
    Call,
    "call number",
    "Number of a call within its program, from 1."
);
number!(
    Offset,
    "offset",
    "Position of an entry in a stream of the log, from 0."
);
number!(
    Sequence,
    "sequence",
    "Sequence number of a record among those written by one process."
);
number!(Tokens, "token count", "Number of model tokens.");
number!(
    Millicores,
    "share of a core",
    "CPU time, in thousandths of a core."
);
number!(
    Permit,
    "permit",
    "Id of a permit to send one call to one backend server."
);
number!(
    ContentHash,
    "content hash",
    "Hash of a request's content, which is the same in each retry of its caller."
);

/// Maximum number of records per append, as encoded in an [`Epoch`].
const MAX_RECORDS_PER_APPEND: u64 = 1 << 16;

/// Fencing token of a shard owner: the position of its claim in the stream, that is the append
/// offset and the index in the batch.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch of the claim at this position.
    ///
    /// ```
    /// use vanillatrail::id::{Epoch, Offset};
    /// assert!(Epoch::at(Offset(2), 0) > Epoch::at(Offset(1), 9));
    /// ```
    #[must_use]
    pub const fn at(offset: Offset, index: usize) -> Self {
        Self((offset.0 + 1) * MAX_RECORDS_PER_APPEND + index as u64)
    }
}

impl Epoch {
    /// Append offset of the claim.
    ///
    /// ```
    /// use vanillatrail::id::{Epoch, Offset};
    /// assert_eq!(Epoch::at(Offset(7), 3).offset(), Offset(7));
    /// ```
    #[must_use]
    pub const fn offset(self) -> Offset {
        Offset((self.0 / MAX_RECORDS_PER_APPEND).saturating_sub(1))
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
            expected: "epoch",
            text: text.into(),
        })
    }
}

/// Program id: the shard and 128 random bits, so that it can't be guessed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Program {
    shard: u32,
    random: u128,
}

impl Program {
    /// Creates the id of a program in `shard` from 128 random bits.
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

    /// Shard that the program belongs to.
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
            expected: "program id",
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

/// Shard of the program that is opened with `key`.
///
/// ```
/// use vanillatrail::id::shard_of;
/// assert_eq!(shard_of("order-7", 16), shard_of("order-7", 16));
/// ```
#[must_use]
pub fn shard_of(key: &str, shards: u64) -> Shard {
    Shard(xxh3_64(key.as_bytes()) % shards.max(1))
}

/// Digest of a request body, to distinguish a retry from a different call with the same number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest([u8; 16]);

impl Digest {
    /// Computes the truncated BLAKE3 hash of `bytes`.
    ///
    /// ```
    /// use vanillatrail::id::Digest;
    /// assert_ne!(Digest::of(b"a"), Digest::of(b"b"));
    /// ```
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        let mut truncated = [0; 16];
        truncated.copy_from_slice(&blake3::hash(bytes).as_bytes()[..16]);
        Self(truncated)
    }
}

/// Score of `candidate` for `key` in rendezvous hashing; the highest score wins.
///
/// ```
/// use vanillatrail::id::rendezvous_score;
/// assert_eq!(rendezvous_score("shard-1", "vm-a"), rendezvous_score("shard-1", "vm-a"));
/// ```
#[must_use]
pub fn rendezvous_score(key: &str, candidate: &str) -> u64 {
    xxh3_64(format!("{key}\u{0}{candidate}").as_bytes())
}
