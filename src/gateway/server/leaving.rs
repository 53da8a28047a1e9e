//! Which servers still take work.

use crate::gateway::Gateway;
use crate::gateway::world::directory::Entry;
use crate::platform::headers::RunHeaders;
use std::time::Duration;

/// Reason of an attempt that was not sent, since its server no longer takes work.
pub(crate) const LEAVING: &str = "leaving";
/// Share of the time between a server's notice and its end in which runs still go on there whose memory it has. The notice
/// takes a part of that time until it is known here.
const RETURN_SHARE: f64 = 0.5;

impl Gateway {
    /// Whether a server takes an attempt, as far as the directory tells now. It may say that it leaves after its slot was
    /// granted, while it is at work on the request, or while another server holds the run.
    pub(super) fn takes_work(&self, server: &Entry, run: &RunHeaders<'_>) -> bool {
        let routing = self.routing.borrow();
        let Some(current) = routing.directory.get(&server.id) else {
            return false;
        };
        if !current.draining {
            return true;
        }
        let has_memory = run
            .copy_of
            .as_ref()
            .is_some_and(|copy| copy.holder == server.address);
        let limit = Duration::from_millis(self.settings.bounds.drain_ms).mul_f64(RETURN_SHARE);
        has_memory && self.queue.leaving_for(&server.id) < limit
    }
}
