//! Identifies the team of a request and scopes the request's names to it.

use crate::code::{Code, Failure};
use crate::gateway::Gateway;
use crate::gateway::request::admit::stale_config_failure;
use crate::gateway::world::table::{Route, Table};
use crate::gateway::world::team::{Team, scoped_name};
use crate::platform::headers::{self, Meta};
use http::HeaderMap;
use std::sync::Arc;

/// Removes the API key from the headers and returns the team that holds it; `None` where no teams are configured,
/// or on a public route without a valid key.
///
/// # Errors
/// [`Code::UnknownKey`] if no team holds the key; [`Code::NotReady`] if the configuration may be out of date.
pub(super) fn identify(
    gateway: &Gateway,
    table: &Table,
    route: &Route,
    headers: &mut HeaderMap,
) -> Result<Option<Arc<Team>>, Failure> {
    let key = headers::take_api_key(headers);
    let Some(teams) = &table.teams else {
        return Ok(None);
    };
    let team = key.and_then(|key| teams.by_key(key.as_bytes()).cloned());
    if team.is_some() || route.public {
        return Ok(team);
    }
    // A stale configuration may lack a new key, and callers do not retry a 401.
    if let Some(failure) = stale_config_failure(gateway) {
        return Err(failure);
    }
    Err(Failure::refused(
        Code::UnknownKey,
        "no team holds the API key of the request",
    ))
}

/// Prefixes the names in a request with its team, and replaces long names by their fingerprints.
///
/// Otherwise teams that choose the same program name would share a token budget and conversation turns. Names of prompt
/// parts stay as they are, since engines cache each part once for all teams.
pub(super) fn scope_names(meta: &mut Meta, table: &Table, team: Option<&Team>) {
    // Requests without a key get an empty scope, so their names can't match a team's.
    let scope = table.teams.as_ref();
    let scope = scope.map(|_| team.map_or("", |team| &*team.name));
    for name in [&mut meta.program, &mut meta.session, &mut meta.prev_turn] {
        *name = name.take().map(|name| scoped_name(scope, &name));
    }
    meta.turn_name = scoped_name(scope, &meta.id);
}
