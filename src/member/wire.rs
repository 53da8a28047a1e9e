//! The datagrams between members, sealed with the peer key.

use crate::id::{Boot, Epoch, Incarnation, Millicores, Offset, Server, Shard, Vm, Zone};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Bytes that a datagram may have, so that no network on the way has to split it.
pub const DATAGRAM: usize = 1200;
/// Bytes of the seal in front of a datagram.
pub(super) const SEAL: usize = 16;
/// Bytes of a datagram that are kept for its seal, header and kind.
pub(super) const ENVELOPE: usize = 120;

/// Claims that are sent together at most, so that they fit a datagram.
const CLAIMS: usize = 48;
/// Bytes of one claim among those of its owner, at most.
const CLAIM: usize = 20;

// Variants and the fields of maps are named in one letter: the codec writes variant names out.

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Message {
    /// The sender.
    pub from: Header,
    /// What is asked or answered.
    pub kind: Kind,
    /// What the sender passes on.
    pub news: Vec<News>,
}

/// What every message tells of its sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Its name.
    pub vm: Vm,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The configuration offset that it has applied.
    pub applied: Offset,
    /// The newest configuration offset that it knows any VM to have applied.
    pub newest: Offset,
}

/// What a message asks or answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub enum Kind {
    /// Asks for an [`Kind::Ack`]; only from the VM `to`, where it is known who has the address.
    #[serde(rename = "p")]
    Ping {
        /// Comes back in the acknowledgement.
        number: u64,
        /// The VM that is asked.
        to: Option<Vm>,
    },
    /// Answers a ping.
    #[serde(rename = "a")]
    Ack {
        /// The number of the ping.
        number: u64,
    },
    /// Asks to ping another VM and to pass its acknowledgement back.
    #[serde(rename = "r")]
    Relay {
        /// Comes back in the acknowledgement.
        number: u64,
        /// The VM to ping.
        to: Vm,
        /// Where it is.
        address: SocketAddr,
    },
    /// Only passes news on.
    #[serde(rename = "n")]
    Gossip,
    /// Starts an exchange of what differs.
    #[serde(rename = "d")]
    Digest(Digest),
    /// Answers a digest: the news are the sender's contents of the buckets that differ.
    #[serde(rename = "f")]
    Differ {
        /// The buckets of members that differ.
        members: Vec<u8>,
        /// The buckets of claims that differ.
        claims: Vec<u8>,
    },
    /// Ends an exchange: the news are the sender's contents of the buckets that differ.
    #[serde(rename = "c")]
    Contents,
    /// Tells the receiver that it is suspected, or held to be gone or unknown, at an incarnation.
    #[serde(rename = "x")]
    Doubt {
        /// The incarnation that it has to exceed; zero where it is not known at all.
        incarnation: Incarnation,
    },
}

/// Digests of what a member knows, by bucket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Digest {
    /// Enters every digest, so that two that are equal by chance differ the next time.
    pub salt: u16,
    /// Of the members that are held to be alive.
    pub members: Vec<u16>,
    /// Of the claims of shards, by owner.
    pub claims: Vec<u16>,
    /// Of the leaving backend servers.
    pub leaving: u16,
}

/// The state in which a member is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub enum State {
    /// It answers, or has told a new incarnation since it last did not.
    #[serde(rename = "a")]
    Alive,
    /// It did not answer somebody; it may refute this by a new incarnation.
    #[serde(rename = "s")]
    Suspect,
    /// The sender held it in suspicion for long enough and dropped it from its view.
    #[serde(rename = "g")]
    Gone,
    /// It said itself that it leaves.
    #[serde(rename = "l")]
    Left,
}

/// What a member says of itself and seldom changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Its name.
    pub vm: Vm,
    /// Its availability zone.
    pub zone: Zone,
    /// The run of its process.
    pub boot: Boot,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// The processor time that it may use.
    pub cores: Millicores,
    /// Whether it takes on shards.
    pub ready: bool,
    /// The incarnation at which this last changed.
    pub version: Incarnation,
}

/// A claim of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The shard.
    pub shard: Shard,
    /// Where the claim stands; the highest counts.
    pub epoch: Epoch,
    /// Whether the owner has given the shard up since.
    pub released: bool,
}

/// One piece of news.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub enum News {
    /// All of a member.
    #[serde(rename = "p")]
    Profile {
        /// What it says of itself.
        profile: Profile,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The state in which it is held at that incarnation.
        state: State,
        /// The configuration offset that it has applied.
        applied: Offset,
    },
    /// The state of a member whose profile has not changed.
    #[serde(rename = "s")]
    Status {
        /// The member.
        vm: Vm,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The state in which it is held at that incarnation.
        state: State,
    },
    /// The configuration offset that a member has applied.
    #[serde(rename = "o")]
    Applied {
        /// The member.
        vm: Vm,
        /// The offset.
        applied: Offset,
    },
    /// A VM owns shards.
    #[serde(rename = "c")]
    Claims {
        /// The owner.
        vm: Vm,
        /// The run of its process.
        boot: Boot,
        /// Its claims.
        claims: Vec<Claim>,
    },
    /// A backend server is leaving.
    #[serde(rename = "b")]
    Leaving {
        /// The server.
        server: Server,
        /// Raised when the announcement is renewed.
        serial: u64,
        /// Seconds for which the announcement still holds.
        seconds: u64,
    },
}

impl News {
    /// Adds `more` to `news`; claims go to those of the same owner, where there are some.
    pub(super) fn join(news: &mut Vec<Self>, more: Self) {
        if more.joins(news)
            && let Some(Self::Claims { claims, .. }) = news.last_mut()
            && let Self::Claims { claims: more, .. } = more
        {
            claims.extend(more);
        } else {
            news.push(more);
        }
    }

    /// Whether these are claims of the owner that the last of `news` is about.
    fn joins(&self, news: &[Self]) -> bool {
        let (
            Self::Claims { vm, boot, .. },
            Some(Self::Claims {
                vm: owner,
                boot: run,
                claims,
            }),
        ) = (self, news.last())
        else {
            return false;
        };
        owner == vm && run == boot && claims.len() < CLAIMS
    }

    /// Bytes on the wire when joined to `news`.
    pub(super) fn size_in(&self, news: &[Self]) -> usize {
        if self.joins(news) { CLAIM } else { self.size() }
    }

    /// Bytes on the wire.
    pub(super) fn size(&self) -> usize {
        rmp_serde::to_vec(self).map_or(DATAGRAM, |bytes| bytes.len())
    }
}

/// Seals and opens datagrams with the peer key.
///
/// ```
/// use vanillatrail::member::{Message, Sealer};
/// let sealer = Sealer::new("a key of the settings");
/// assert!(sealer.open::<Message>(b"random bytes from a stranger").is_none());
/// ```
#[derive(Clone)]
pub struct Sealer {
    key: [u8; 32],
}

impl std::fmt::Debug for Sealer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Sealer").finish_non_exhaustive()
    }
}

impl Sealer {
    /// A sealer for the peer key of the settings.
    ///
    /// ```
    /// assert!(format!("{:?}", vanillatrail::member::Sealer::new("secret")).contains("Sealer"));
    /// ```
    #[must_use]
    pub fn new(key: &str) -> Self {
        Self {
            key: blake3::derive_key("vanillatrail peer key", key.as_bytes()),
        }
    }

    /// The datagram for a message.
    ///
    /// # Panics
    /// Where the message is of a type that the codec can't write; ours all can be written.
    #[must_use]
    pub fn seal<T: Serialize>(&self, message: &T) -> Vec<u8> {
        let body = rmp_serde::to_vec(message).expect("a message can be encoded");
        let mut datagram = self.hash(&body)[..SEAL].to_vec();
        datagram.extend(body);
        datagram
    }

    /// The message in a datagram, if it was sealed with the same key.
    #[must_use]
    pub fn open<T: DeserializeOwned>(&self, datagram: &[u8]) -> Option<T> {
        let (seal, body) = datagram.split_at_checked(SEAL)?;
        // Hashes of equal length are compared through a second keyed hash, so that the time taken
        // tells a stranger nothing of the seal that it should have sent.
        if self.hash(seal) != self.hash(&self.hash(body)[..SEAL]) {
            return None;
        }
        rmp_serde::from_slice(body).ok()
    }

    fn hash(&self, bytes: &[u8]) -> [u8; 32] {
        *blake3::keyed_hash(&self.key, bytes).as_bytes()
    }
}
