//! What the owner tells an operator of its state.

use super::duty::Owner;
use crate::program::Table;
use serde_json::{Value, json};

impl Owner {
    /// The shards that this VM owns, their open programs and the runs under way.
    pub(super) fn dump(&self) -> Value {
        let shards = self.shards.borrow();
        let runs = self.runs.borrow();
        let owned = shards.iter().filter_map(|(shard, held)| {
            let epoch = held.epoch?;
            let state = json!({
                "epoch": epoch,
                "leaving": held.leaving,
                "programs": held.table.iter().count(),
                "open": held.table.open_count(),
                "open_programs": open_programs(&held.table),
            });
            Some((shard.to_string(), state))
        });
        let runs = runs
            .iter()
            .map(|(program, run)| (program.to_string(), run.state()));
        json!({
            "boot": self.boot,
            "shards": owned.collect::<serde_json::Map<_, _>>(),
            "runs": runs.collect::<serde_json::Map<_, _>>(),
            "records_awaited": self.waiters.borrow().len(),
        })
    }
}

/// What each program that has not ended waits for, as far as its records tell.
fn open_programs(table: &Table) -> Value {
    let open = table.iter().filter(|program| !program.is_ended());
    let told = open.map(|program| {
        let state = json!({
            "class": program.class,
            "next_call": program.next_call(),
            "opened_ms": program.opened_ms,
            "intent": program.intent,
        });
        (program.id.to_string(), state)
    });
    Value::Object(told.collect())
}
