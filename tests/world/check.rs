//! Checks of the invariants that can be observed from outside.

use super::{BUDGET, World, program};

impl World {
    /// Checks all invariants that can be observed from outside.
    pub fn check(&self) -> Result<(), String> {
        if let Some(violation) = &self.violation {
            return Err(violation.clone());
        }
        for (vm, state) in self.vms.iter().enumerate() {
            if state.table != self.reference.1[state.position] {
                return Err(format!(
                    "vm-{vm} has a different history at {}",
                    state.position
                ));
            }
        }
        if let Some((call, count)) = self.effects.iter().find(|(_, count)| **count > 1) {
            return Err(format!("{call:?} took effect {count} times"));
        }
        if let Some(run) = self.refused.intersection(&self.started).next() {
            return Err(format!("run {run} was refused as not run, but sent"));
        }
        let tables = &self.reference.1;
        let table = tables.last().expect("at least one table");
        for index in 0..2 {
            let program = table
                .get(program(index))
                .map_err(|failure| failure.to_string())?;
            let spent = self.spent.get(&index).copied().unwrap_or(0);
            if spent > BUDGET.0 || program.used_tokens() > BUDGET {
                return Err(format!(
                    "program {index} spent {spent}, counted {}",
                    program.used_tokens()
                ));
            }
        }
        for ((index, call), answer) in &self.answers {
            let program = table
                .get(program(*index))
                .map_err(|failure| failure.to_string())?;
            let index = usize::try_from(call.0).expect("small") - 1;
            let stored = program.answered.get(index).map(|stored| &stored.answer);
            if stored != Some(answer) {
                return Err(format!(
                    "call {call} was answered {answer:?}, but the history has {stored:?}"
                ));
            }
        }
        Ok(())
    }
}
