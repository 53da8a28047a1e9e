//! Teams: API keys, priorities and request limits of callers.

use crate::policy::limit::Limit;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

const FINGERPRINT_BYTES: usize = 16;

/// A truncated hash of an API key, stored in its place so that no key stays in memory, copies or
/// logs.
///
/// ```
/// use vanillatrail::gateway::team::Fingerprint;
/// let fingerprint = Fingerprint::of(b"a key");
/// assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of a key. Keys are random, so no salt is needed.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        let hash = blake3::hash(key);
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&hash.as_bytes()[..FINGERPRINT_BYTES]);
        Self(bytes)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&URL_SAFE_NO_PAD.encode(self.0))
    }
}

impl FromStr for Fingerprint {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bytes = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|error| error.to_string())?;
        let bytes = bytes
            .try_into()
            .map_err(|_| format!("fingerprint is not {FINGERPRINT_BYTES} bytes long"))?;
        Ok(Self(bytes))
    }
}

/// A group of callers that share API keys, a priority and a request limit.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Name of the team, sent to backend servers.
    pub name: Arc<str>,
    /// Priority of the team's requests, 0 is the highest; `None` for that of the route.
    pub rank: Option<u8>,
    /// Limit on the team's request rate; `None` if unlimited.
    pub limit: Option<Limit>,
}

/// The teams of a configuration, indexed by name and by the fingerprints of their keys.
///
/// ```
/// use vanillatrail::gateway::team::{Fingerprint, Team, Teams};
/// let team = Team { name: "payroll".into(), rank: None, limit: None };
/// let teams = Teams::new([(team, vec![Fingerprint::of(b"a key")])]);
/// assert_eq!(&*teams.by_key(b"a key").unwrap().name, "payroll");
/// assert!(teams.by_key(b"another").is_none());
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Teams {
    by_name: HashMap<Arc<str>, Arc<Team>>,
    by_key: HashMap<Fingerprint, Arc<Team>>,
}

impl Teams {
    /// Indexes teams, each given with the fingerprints of its keys.
    #[must_use]
    pub fn new(teams: impl IntoIterator<Item = (Team, Vec<Fingerprint>)>) -> Self {
        let mut index = Self::default();
        for (team, keys) in teams {
            let team = Arc::new(team);
            index
                .by_key
                .extend(keys.into_iter().map(|key| (key, Arc::clone(&team))));
            index.by_name.insert(Arc::clone(&team.name), team);
        }
        index
    }

    /// The team that an API key belongs to.
    #[must_use]
    pub fn by_key(&self, key: &[u8]) -> Option<&Arc<Team>> {
        self.by_key.get(&Fingerprint::of(key))
    }

    /// The team with this name.
    #[must_use]
    pub fn by_name(&self, name: &str) -> Option<&Arc<Team>> {
        self.by_name.get(name)
    }

    /// Number of teams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether the configuration has no teams.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}

/// Below the store's limit of 255 bytes per key.
const MAX_NAME_BYTES: usize = 200;

/// Prefixes a name that a caller chose, of a program, session or turn, with the caller's team, so
/// that equal names of two teams differ.
///
/// Without a team the name is unchanged, so that records of deployments without teams stay valid. A
/// long name is replaced by its fingerprint.
///
/// ```
/// use vanillatrail::gateway::team::scoped_name;
/// assert_eq!(scoped_name(Some("payroll"), "p1"), "payroll/p1");
/// assert_ne!(scoped_name(Some("a"), "b/c"), scoped_name(Some("a/b"), "c"));
/// assert_eq!(scoped_name(None, "p1"), "p1");
/// assert!(scoped_name(None, &"p".repeat(9000)).len() < 200);
/// ```
#[must_use]
pub fn scoped_name(team: Option<&str>, name: &str) -> String {
    let prefix = team
        .map(|team| percent_encode(team) + "/")
        .unwrap_or_default();
    let full_name = prefix + name;
    if full_name.len() <= MAX_NAME_BYTES {
        return full_name;
    }
    Fingerprint::of(full_name.as_bytes()).to_string()
}

/// Percent-encodes a team's name, slashes included.
fn percent_encode(team: &str) -> String {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let parts = team.bytes().map(|byte| match byte {
        byte if is_plain(byte) => char::from(byte).to_string(),
        byte => format!("%{byte:02X}"),
    });
    parts.collect()
}
