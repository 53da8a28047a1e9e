//! Encoding of the gossip datagrams, which are authenticated with the peer key.

use crate::id::{Boot, Epoch, Incarnation, Millicores, Offset, Server, Shard, Vm, Zone};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Largest datagram; fits the usual MTU without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Length of the authentication tag in front of a datagram.
pub(super) const TAG_BYTES: usize = 16;
/// Bytes reserved in a datagram for its tag, header and kind.
pub(super) const ENVELOPE_BYTES: usize = 120;

/// Limits an update to what fits a datagram.
const MAX_CLAIMS_PER_UPDATE: usize = 48;
/// Largest encoding of one claim.
const CLAIM_BYTES: usize = 20;

// Variants are renamed to one letter because the codec writes variant names, but not field names.

/// Content of one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Message {
    /// Identity and offsets of the sender.
    pub from: Header,
    /// Request or reply that the message carries.
    pub kind: Kind,
    /// Updates about members, shards and backend servers, piggybacked on the message.
    #[serde(rename = "news")]
    pub updates: Vec<Update>,
}

/// Sender information in every message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Name of the sender.
    pub vm: Vm,
    /// Current incarnation of the sender.
    pub incarnation: Incarnation,
    /// Offset of the last configuration record that the sender has applied.
    pub applied: Offset,
    /// Highest configuration offset that the sender knows any VM to have applied.
    pub newest: Offset,
}

/// Request or reply of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub enum Kind {
    /// Requests a [`Kind::Ack`].
    #[serde(rename = "p")]
    Ping {
        /// Returned in the acknowledgement; zero for a contact address.
        number: u64,
        /// VM that has to answer; `None` if it is unknown which VM has the address.
        to: Option<Vm>,
    },
    /// Acknowledges a [`Kind::Ping`].
    #[serde(rename = "a")]
    Ack {
        /// Number of the ping that is acknowledged.
        number: u64,
    },
    /// Requests an indirect ping: the receiver pings `to` and forwards its acknowledgement.
    #[serde(rename = "r")]
    Relay {
        /// Returned in the forwarded acknowledgement.
        number: u64,
        /// VM to ping.
        to: Vm,
        /// Address of the VM to ping.
        address: SocketAddr,
    },
    /// Carries only updates; not answered.
    #[serde(rename = "n")]
    Gossip,
    /// Starts an anti-entropy exchange.
    #[serde(rename = "d")]
    Digest(Digest),
    /// Answers a digest, with the sender's contents of the differing buckets as updates.
    #[serde(rename = "f")]
    Differ {
        /// Indices of the differing member buckets.
        members: Vec<u8>,
        /// Indices of the differing claim buckets.
        claims: Vec<u8>,
    },
    /// Ends an exchange, with the sender's contents of the differing buckets as updates.
    #[serde(rename = "c")]
    Contents,
    /// Tells the receiver that the sender suspects it, considers it gone or does not know it, so
    /// that it can refute.
    #[serde(rename = "x")]
    Suspicion {
        /// Incarnation that the receiver has to exceed; zero if the sender does not know it.
        incarnation: Incarnation,
    },
}

/// Bucketed hashes of the sender's membership state, for anti-entropy exchanges.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Digest {
    /// Hashed into every digest, so that a collision does not recur in the next exchange.
    pub salt: u16,
    /// One hash per bucket of live members.
    pub members: Vec<u16>,
    /// One hash per bucket of shard claims, bucketed by owner.
    pub claims: Vec<u16>,
    /// Hash of the draining backend servers.
    pub leaving: u16,
}

/// State of a member as another VM sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub enum State {
    /// The member answers probes, or has refuted the last suspicion.
    #[serde(rename = "a")]
    Alive,
    /// A probe was not answered; the member can refute this with a higher incarnation.
    #[serde(rename = "s")]
    Suspect,
    /// The suspicion was not refuted in time, and the member was removed from the view.
    #[serde(rename = "g")]
    Gone,
    /// The member announced that it leaves.
    #[serde(rename = "l")]
    Left,
}

/// Properties of a member that seldom change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Name of the VM.
    pub vm: Vm,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Identifies one run of the process; differs after each restart.
    pub boot: Boot,
    /// Address for gossip datagrams and for connections of other VMs.
    pub address: SocketAddr,
    /// CPU limit of the VM, in thousandths of a core.
    pub cores: Millicores,
    /// Whether the VM accepts shards.
    pub ready: bool,
    /// Incarnation at which the profile last changed.
    pub version: Incarnation,
}

/// A VM's claim to own a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// Shard that the VM claims.
    pub shard: Shard,
    /// Position of the claim in the log; the highest epoch wins.
    pub epoch: Epoch,
    /// Whether the owner has released the shard since.
    pub released: bool,
}

/// One gossiped update.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub enum Update {
    /// Everything known about a member.
    #[serde(rename = "p")]
    Profile {
        /// Newest known profile.
        profile: Profile,
        /// Newest known incarnation.
        incarnation: Incarnation,
        /// State at that incarnation.
        state: State,
        /// Offset of the last configuration record that the member has applied.
        applied: Offset,
    },
    /// A new state of a member whose profile has not changed.
    #[serde(rename = "s")]
    Status {
        /// Name of the member.
        vm: Vm,
        /// Newest known incarnation.
        incarnation: Incarnation,
        /// State at that incarnation.
        state: State,
    },
    /// A member has applied newer configuration.
    #[serde(rename = "o")]
    Applied {
        /// Name of the member.
        vm: Vm,
        /// Offset of the last configuration record that the member has applied.
        applied: Offset,
    },
    /// Shard claims of one owner.
    #[serde(rename = "c")]
    Claims {
        /// Name of the claiming VM.
        vm: Vm,
        /// Run of the process that made the claims; claims of earlier runs are ignored.
        boot: Boot,
        /// Claims and releases, at most as many as fit a datagram.
        claims: Vec<Claim>,
    },
    /// A backend server is draining.
    #[serde(rename = "b")]
    Draining {
        /// Name of the backend server.
        server: Server,
        /// Raised by one when the notice is renewed.
        serial: u64,
        /// Seconds until the notice expires.
        seconds: u64,
    },
}

impl Update {
    /// Appends `added` to `updates`, merging it into the last update if both are claims of one owner.
    pub(super) fn push_merged(updates: &mut Vec<Self>, added: Self) {
        if added.merges_into(updates)
            && let Some(Self::Claims { claims, .. }) = updates.last_mut()
            && let Self::Claims { claims: added, .. } = added
        {
            claims.extend(added);
        } else {
            updates.push(added);
        }
    }

    /// Whether this and the last of `updates` are claims of one owner that fit one update.
    fn merges_into(&self, updates: &[Self]) -> bool {
        let (
            Self::Claims { vm, boot, .. },
            Some(Self::Claims {
                vm: owner,
                boot: run,
                claims,
            }),
        ) = (self, updates.last())
        else {
            return false;
        };
        owner == vm && run == boot && claims.len() < MAX_CLAIMS_PER_UPDATE
    }

    /// Encoded size when appended to `updates`.
    pub(super) fn size_after(&self, updates: &[Self]) -> usize {
        if self.merges_into(updates) {
            CLAIM_BYTES
        } else {
            self.size()
        }
    }

    /// Encoded size in bytes.
    pub(super) fn size(&self) -> usize {
        rmp_serde::to_vec(self).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
    }
}

/// Authenticates datagrams with the peer key; does not encrypt them.
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
    /// Derives the authentication key from the peer key of the settings.
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

    /// Encodes a message as a datagram: the authentication tag, then `MessagePack`.
    ///
    /// # Panics
    /// If the type of the message can't be encoded as `MessagePack`.
    #[must_use]
    pub fn seal<T: Serialize>(&self, message: &T) -> Vec<u8> {
        let body = rmp_serde::to_vec(message).expect("message types can be encoded");
        let mut datagram = self.hash(&body)[..TAG_BYTES].to_vec();
        datagram.extend(body);
        datagram
    }

    /// Decodes a datagram; `None` if the tag does not match the key or the content is malformed.
    #[must_use]
    pub fn open<T: DeserializeOwned>(&self, datagram: &[u8]) -> Option<T> {
        let (tag, body) = datagram.split_at_checked(TAG_BYTES)?;
        // Keyed hashes of both tags are compared, so that the timing reveals nothing about the
        // expected tag.
        if self.hash(tag) != self.hash(&self.hash(body)[..TAG_BYTES]) {
            return None;
        }
        rmp_serde::from_slice(body).ok()
    }

    fn hash(&self, bytes: &[u8]) -> [u8; 32] {
        *blake3::keyed_hash(&self.key, bytes).as_bytes()
    }
}
