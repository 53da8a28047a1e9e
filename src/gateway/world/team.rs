//! Teams: who may send requests, by which keys, and how many.

use crate::policy::limit::Limit;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Bytes of a fingerprint. Of 128 bits nobody finds a second key, and 2,700 teams with three keys each stay small.
const SIZE: usize = 16;

/// What a key is compared by, so that no key stays in memory, in a copy or in a log.
///
/// ```
/// use vanillatrail::gateway::team::Fingerprint;
/// let print = Fingerprint::of(b"a key");
/// assert_eq!(print.to_string().parse(), Ok(print));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Fingerprint([u8; SIZE]);

impl Fingerprint {
    /// The fingerprint of a key. Keys are drawn at random, so that no salt is needed.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        let hash = blake3::hash(key);
        let mut bytes = [0; SIZE];
        bytes.copy_from_slice(&hash.as_bytes()[..SIZE]);
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
        let bytes = bytes.try_into().map_err(|_| format!("not {SIZE} bytes"))?;
        Ok(Self(bytes))
    }
}

/// A team.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Its name.
    pub name: Arc<str>,
    /// The rank of its requests, in place of their route's; 0 goes first.
    pub rank: Option<u8>,
    /// Its limit; none where it has none.
    pub limit: Option<Limit>,
}

/// All teams, by the fingerprints of their keys.
///
/// ```
/// use vanillatrail::gateway::team::{Fingerprint, Team, Teams};
/// let team = Team { name: "payroll".into(), rank: None, limit: None };
/// let teams = Teams::new([(team, vec![Fingerprint::of(b"a key")])]);
/// assert_eq!(&*teams.holder(b"a key").unwrap().name, "payroll");
/// assert!(teams.holder(b"another").is_none());
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Teams {
    named: HashMap<Arc<str>, Arc<Team>>,
    holders: HashMap<Fingerprint, Arc<Team>>,
}

impl Teams {
    /// Teams with the fingerprints of their keys.
    #[must_use]
    pub fn new(teams: impl IntoIterator<Item = (Team, Vec<Fingerprint>)>) -> Self {
        let mut all = Self::default();
        for (team, keys) in teams {
            let team = Arc::new(team);
            all.holders
                .extend(keys.into_iter().map(|key| (key, Arc::clone(&team))));
            all.named.insert(Arc::clone(&team.name), team);
        }
        all
    }

    /// The team that holds a key.
    #[must_use]
    pub fn holder(&self, key: &[u8]) -> Option<&Arc<Team>> {
        self.holders.get(&Fingerprint::of(key))
    }

    /// A team by its name.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<&Arc<Team>> {
        self.named.get(name)
    }

    /// How many teams there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.named.len()
    }

    /// Whether there is no team.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.named.is_empty()
    }
}

/// Bytes of a scoped name at the most; a key of the store has 255.
const LONGEST: usize = 200;

/// The name of something of a team, which no other team can name: a program, a line or a turn.
///
/// Callers choose these names, and those of two teams may be the same. Without a team a name stays as it is, so
/// that deployments without teams read their records from before. A long one is replaced by its fingerprint.
///
/// ```
/// use vanillatrail::gateway::team::scoped;
/// assert_eq!(scoped(Some("payroll"), "p1"), "payroll/p1");
/// assert_ne!(scoped(Some("a"), "b/c"), scoped(Some("a/b"), "c"));
/// assert_eq!(scoped(None, "p1"), "p1");
/// assert!(scoped(None, &"p".repeat(9000)).len() < 200);
/// ```
#[must_use]
pub fn scoped(team: Option<&str>, name: &str) -> String {
    let scope = team.map(|team| escaped(team) + "/").unwrap_or_default();
    let whole = scope + name;
    if whole.len() <= LONGEST {
        return whole;
    }
    Fingerprint::of(whole.as_bytes()).to_string()
}

/// A team's name without slashes, and printable.
fn escaped(team: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let parts = team.bytes().map(|byte| match byte {
        byte if plain(byte) => char::from(byte).to_string(),
        byte => format!("%{byte:02X}"),
    });
    parts.collect()
}
