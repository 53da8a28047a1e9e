//! Which team a request is of, and what that changes of it.

use crate::code::{Code, Failure};
use crate::gateway::Gateway;
use crate::gateway::request::admit::behind;
use crate::gateway::world::table::{Route, Table};
use crate::gateway::world::team::{Team, scoped_name};
use crate::platform::headers::{self, Meta};
use http::HeaderMap;
use std::sync::Arc;

/// The team that holds the key of a request, which is taken out of its headers; none where there are no teams, or
/// on a public route without a key.
///
/// # Errors
/// [`Code::UnknownKey`] where no team holds the key; [`Code::NotReady`] where this VM may not know of it yet.
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
    let holder = key.and_then(|key| teams.by_key(key.as_bytes()).cloned());
    if holder.is_some() || route.public {
        return Ok(holder);
    }
    // It may have been added since; a 401 would end the caller's program.
    if let Some(failure) = behind(gateway) {
        return Err(failure);
    }
    Err(Failure::refused(
        Code::UnknownKey,
        "no team holds the key of the request",
    ))
}

/// Makes the names of a request its team's own.
///
/// Two teams that choose the same name for a program would count on one token budget, and go on from each other's
/// turns. Parts of prompts keep their names: engines keep one copy of a part for all.
pub(super) fn claim(meta: &mut Meta, table: &Table, team: Option<&Team>) {
    if table.teams.is_none() {
        return;
    }
    // Without a key a name must not be a team's either.
    let scope = Some(team.map_or("", |team| &*team.name));
    for name in [&mut meta.program, &mut meta.session, &mut meta.prev_turn] {
        *name = name.take().map(|name| scoped_name(scope, &name));
    }
    meta.turn_name = scoped_name(scope, &meta.id);
}
