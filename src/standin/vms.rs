//! Stand-in for the platform's list of VMs, which tests set and let lag behind.

use super::faults::{self, Switches};
use poem::web::{Data, Json};
use poem::{EndpointExt, IntoEndpoint, Route, get, handler, post};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Document that the platform serves.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct List {
    /// Peer addresses of the live VMs.
    pub(crate) vms: BTreeSet<SocketAddr>,
    /// Backend servers that are draining.
    pub(crate) leaving: BTreeSet<crate::id::Server>,
}

#[derive(Debug, Clone, Default)]
struct State(Arc<Mutex<List>>);

pub(super) fn routes() -> impl IntoEndpoint<Endpoint: 'static> {
    Route::new()
        .at("/vms", get(get_list).post(set_list))
        .at("/faults", post(faults::set_faults))
        .data(State::default())
        .data(Switches::default())
}

#[handler]
async fn get_list(state: Data<&State>, faults: Data<&Switches>) -> poem::Result<Json<List>> {
    faults.delay_or_fail().await?;
    Ok(Json(
        state.0.0.lock().expect("the lock is not poisoned").clone(),
    ))
}

#[handler]
fn set_list(state: Data<&State>, new_list: Json<List>) -> Json<List> {
    let mut list = state.0.0.lock().expect("the lock is not poisoned");
    *list = new_list.0;
    Json(list.clone())
}
