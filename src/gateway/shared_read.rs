//! Reads that several requests wait for.

use tokio::sync::Mutex;
use tokio::time::Instant;

/// The last of a series of reads. Whoever asked before it began shares its result, failures included: else the last one
/// would wait for the retries of all others.
#[derive(Debug)]
pub(crate) struct SharedRead<T>(Mutex<Option<(Instant, T)>>);

impl<T> Default for SharedRead<T> {
    fn default() -> Self {
        Self(Mutex::new(None))
    }
}

impl<T: Clone> SharedRead<T> {
    /// The result of a read that begins after this call; `read` returns its start time and result, and is not polled if
    /// another request has read meanwhile.
    pub(crate) async fn get(&self, read: impl Future<Output = (Instant, T)>) -> T {
        let requested_at = Instant::now();
        let mut last = self.0.lock().await;
        let shared = last.as_ref().filter(|(began, _)| *began > requested_at);
        if let Some((_, result)) = shared {
            return result.clone();
        }
        let (began, result) = read.await;
        *last = Some((began, result.clone()));
        result
    }
}
