//! A stand-in for the platform's lagging VM list.

use super::faults::{self, Switches};
use poem::web::{Data, Json};
use poem::{EndpointExt, IntoEndpoint, Route, get, handler, post};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Addresses of live VMs and names of leaving backend servers.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct List {
    /// Peer addresses of the system's own VMs.
    pub(crate) vms: BTreeSet<SocketAddr>,
    /// Backend servers that are leaving.
    pub(crate) leaving: BTreeSet<crate::id::Server>,
}

#[derive(Debug, Clone, Default)]
struct State(Arc<Mutex<List>>);

pub(super) fn routes() -> impl IntoEndpoint<Endpoint: 'static> {
    Route::new()
        .at("/vms", get(get_list).post(set_list))
        .at("/faults", post(faults::set))
        .data(State::default())
        .data(Switches::default())
}

#[handler]
async fn get_list(state: Data<&State>, switches: Data<&Switches>) -> poem::Result<Json<List>> {
    switches.enter().await?;
    Ok(Json(state.0.0.lock().expect("no holder panics").clone()))
}

#[handler]
fn set_list(state: Data<&State>, fresh: Json<List>) -> Json<List> {
    let mut list = state.0.0.lock().expect("no holder panics");
    *list = fresh.0;
    Json(list.clone())
}
