//! State of the owner thread as shown to operators.

use super::duty::Owner;
use crate::program::Table;
use serde_json::{Value, json};

impl Owner {
    /// Owned shards, their open programs, and the calls in progress.
    pub(super) fn dump(&self) -> Value {
        let shards = self.shards.borrow();
        let runs = self.runs.borrow();
        let owned = shards.iter().filter_map(|(shard, shard_state)| {
            let epoch = shard_state.epoch?;
            let state = json!({
                "epoch": epoch,
                "leaving": shard_state.releasing,
                "programs": shard_state.table.iter().count(),
                "open": shard_state.table.open_count(),
                "open_programs": open_programs(&shard_state.table),
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

/// Next call and open intent of each program that has not ended.
fn open_programs(table: &Table) -> Value {
    let open = table.iter().filter(|program| !program.is_ended());
    let states = open.map(|program| {
        let state = json!({
            "class": program.class,
            "next_call": program.next_call(),
            "opened_ms": program.opened_ms,
            "intent": program.intent,
        });
        (program.id.to_string(), state)
    });
    Value::Object(states.collect())
}
