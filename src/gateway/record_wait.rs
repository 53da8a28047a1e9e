//! Waits for a record of the store that something depends on.

use crate::policy::store_health::{LastWrite, MAX_BUSY_WAIT};
use std::cell::Cell;
use std::pin::pin;
use std::time::Duration;
use tokio::time::timeout;

/// Waits for a record up to `limit`, and longer if the last write of its writer was rejected by a busy store. `None` if the
/// record was not taken in that time.
pub(crate) async fn wait_for_record<T>(
    limit: Duration,
    last_write: &Cell<LastWrite>,
    record: impl Future<Output = T>,
) -> Option<T> {
    let mut record = pin!(record);
    if let Ok(done) = timeout(limit, record.as_mut()).await {
        return Some(done);
    }
    if last_write.get() != LastWrite::Rejected {
        return None;
    }
    let rest = MAX_BUSY_WAIT.saturating_sub(limit);
    timeout(rest, record).await.ok()
}
