//! `state`: shows the in-memory state of VMs.

use super::client::Client;
use super::{Exit, paint, print_json, runtime};
use crate::code::Failure;
use serde_json::{Map, Value};
use std::fmt::Write;
use std::net::SocketAddr;

/// Prints the state of the VMs with the given operator addresses.
pub(crate) fn run(vms: &[SocketAddr], json: bool) -> Result<Exit, Failure> {
    let client = Client::new();
    let runtime = runtime()?;
    let mut states = Map::new();
    let mut exit = Exit::Success;
    for vm in vms {
        match runtime.block_on(client.get(*vm, "/state")) {
            Ok(state) => {
                if !json {
                    print!("{}", summary(&state));
                }
                states.insert(vm.to_string(), state);
            }
            Err(failure) => {
                eprintln!("vanillatrail: {vm}: {failure}");
                exit = Exit::from(&failure);
            }
        }
    }
    if json {
        print_json(&states)?;
    }
    Ok(exit)
}

fn summary(state: &Value) -> String {
    if state.get("services").is_some() {
        return gateway_summary(state);
    }
    let local = &state["local"];
    let ready = if local["ready"] == true {
        paint::green("ready")
    } else {
        paint::red("not ready")
    };
    let shards = state["owner"]["shards"].as_object();
    let open: u64 = shards
        .into_iter()
        .flat_map(Map::values)
        .filter_map(|shard| shard["open"].as_u64())
        .sum();
    let count = |value: &Value| value.as_object().map_or(0, Map::len);
    let mut text = format!(
        "{} in {}: {ready}, configuration {}, {} members, {} shards, {open} programs open, {} calls running\n",
        unquoted(&local["vm"]),
        unquoted(&local["zone"]),
        unquoted(&local["applied"]),
        count(&state["view"]["members"]),
        shards.map_or(0, Map::len),
        count(&state["owner"]["runs"]),
    );
    for (pool, queue) in state["dispatch"].as_object().into_iter().flatten() {
        let waiting = unquoted(&queue["waiting"]);
        let (running, window) = (&queue["running"], queue["window"].as_f64().unwrap_or(0.0));
        let _ = writeln!(
            text,
            "  {pool}: {waiting} waiting, running {running}, window {window:.1}"
        );
    }
    text
}

fn gateway_summary(state: &Value) -> String {
    let count = |value: &Value| value.as_array().map_or(0, Vec::len);
    let mut text = format!(
        "{}: configuration {} ({} routes), {} members, {} backend servers, last store \
         response {} ms ago, {} programs accounted, {} idle connections\n",
        unquoted(&state["vm"]),
        unquoted(&state["config"]),
        unquoted(&state["routes"]),
        count(&state["members"]),
        count(&state["servers"]),
        unquoted(&state["store_heard_ms"]),
        unquoted(&state["counted"]["programs"]),
        unquoted(&state["idle_connections"]),
    );
    for (service, pool) in state["services"].as_object().into_iter().flatten() {
        let servers = pool["servers"].as_object();
        let running = servers.into_iter().flat_map(Map::values);
        let running: u64 = running
            .filter_map(|server| server["in_flight"].as_u64())
            .sum();
        let waiting = unquoted(&pool["waiting"]);
        let _ = writeln!(text, "  {service}: {waiting} waiting, {running} running");
    }
    text
}

/// Formats a JSON value; strings without quotes.
pub(super) fn unquoted(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
