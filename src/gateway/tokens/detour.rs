//! Allowances whose partition of the store does not take them go through other partitions.

use crate::gateway::peers::Copy;
use crate::gateway::tokens::keeper::{Keeper, PATIENCE, encode};
use crate::gateway::tokens::part::Part;
use crate::platform::records::FALLBACK_ALLOWANCE_TOPIC;
use crate::platform::store::Record;
use crate::telemetry::event;
use futures::future::select_ok;
use tokio::time::timeout;

impl Keeper {
    /// Records an allowance in another partition while its own does not take it.
    ///
    /// The store may lose some of its partitions and serve the rest. If all VMs lost power then,
    /// copies in memory would be gone, and a program would get its budget a second time.
    pub(crate) async fn detour(&self, number: u64, part: &Part, copy: &Copy) -> bool {
        if self.is_away() {
            return false;
        }
        let record = [encode(&copy.program, copy.allowed)];
        // All at once: one after the other, a turn waited 250 ms for each of three that were silent.
        let writes = self.other_parts(number).map(|other| {
            let write = self
                .store
                .append(FALLBACK_ALLOWANCE_TOPIC, other, &record, None);
            Box::pin(async move { write.await.map(|()| other) })
        });
        let written = timeout(PATIENCE, select_ok(writes)).await;
        let Ok(Ok((other, _))) = written else {
            self.heard(false);
            return false;
        };
        self.heard(true);
        // Those that were not waited for may be written as well.
        let detours = self
            .other_parts(number)
            .map(|other| (other, copy.program.clone()));
        part.detours.borrow_mut().extend(detours);
        event!(
            info,
            "allowance_detoured",
            program = copy.program,
            part = number,
            through = other,
            allowed = copy.allowed
        );
        true
    }

    /// Drops the detours of programs that can't come back.
    ///
    /// Not when their own partition has taken the allowance: that drop may take effect seconds later,
    /// and would take a newer allowance along, which the partition does not have yet.
    pub(crate) async fn end_detours(&self, number: u64, part: &Part, over: &[Record]) {
        for other in self.other_parts(number) {
            let records: Vec<Record> = {
                let mut detours = part.detours.borrow_mut();
                let through = |record: &&Record| detours.remove(&(other, record.key.clone()));
                over.iter().filter(through).cloned().collect()
            };
            if records.is_empty() {
                continue;
            }
            if let Err(fault) = self
                .store
                .append(FALLBACK_ALLOWANCE_TOPIC, other, &records, None)
                .await
            {
                // A detour that stays says no more than the partition's own record.
                event!(debug, "detours_left", part = number, reason = fault);
            }
        }
    }

    /// The partitions through which detours go. With a quarter of all away, one of three is there
    /// in 98 of 100 cases.
    pub(crate) fn other_parts(&self, number: u64) -> [u64; 3] {
        [self.count / 2, self.count / 3, 1].map(|offset| (number + offset) % self.count)
    }
}
