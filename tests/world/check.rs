//! The promises, as far as they can be seen from outside.

use super::{BUDGET, World, program};

impl World {
    /// Every promise that can be seen from outside, after each step.
    pub fn check(&self) -> Result<(), String> {
        if let Some(broken) = &self.broken {
            return Err(broken.clone());
        }
        for (vm, state) in self.vms.iter().enumerate() {
            if state.table != self.truth.1[state.at] {
                return Err(format!("vm-{vm} has another history at {}", state.at));
            }
        }
        if let Some((call, count)) = self.effects.iter().find(|(_, count)| **count > 1) {
            return Err(format!("{call:?} took effect {count} times"));
        }
        if let Some(run) = self.refused.intersection(&self.started).next() {
            return Err(format!("run {run} was refused as not run, and sent"));
        }
        let tables = &self.truth.1;
        let table = tables.last().expect("one");
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
        for ((index, call), answer) in &self.told {
            let program = table
                .get(program(*index))
                .map_err(|failure| failure.to_string())?;
            let index = usize::try_from(call.0).expect("small") - 1;
            let kept = program.answered.get(index).map(|kept| &kept.answer);
            if kept != Some(answer) {
                return Err(format!(
                    "call {call} was told {answer:?}, the history has {kept:?}"
                ));
            }
        }
        Ok(())
    }
}
