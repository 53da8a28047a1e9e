//! The rate limit of the fake store.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

/// Appends that may come at once, in seconds of the rate.
const BURST_SECONDS: f64 = 0.1;

/// Limits appends to a number a second, or rejects all calls.
#[derive(Debug, Default)]
pub struct Rate {
    appends: Mutex<Option<Bucket>>,
    rejects_all: AtomicBool,
}

#[derive(Debug)]
struct Bucket {
    per_second: f64,
    left: f64,
    filled_at: Instant,
}

impl Rate {
    /// Allows this many appends a second; `None` allows all.
    pub fn set(&self, per_second: Option<f64>) {
        let bucket = per_second.map(|per_second| Bucket {
            per_second,
            left: per_second * BURST_SECONDS,
            filled_at: Instant::now(),
        });
        *self.appends.lock().expect("not poisoned") = bucket;
    }

    /// Rejects all calls.
    pub fn reject_all(&self, rejects: bool) {
        self.rejects_all.store(rejects, Ordering::Relaxed);
    }

    /// Whether one more call is allowed now.
    pub fn allows(&self, is_append: bool) -> bool {
        if self.rejects_all.load(Ordering::Relaxed) {
            return false;
        }
        let mut bucket = self.appends.lock().expect("not poisoned");
        let Some(bucket) = bucket.as_mut().filter(|_| is_append) else {
            return true;
        };
        let now = Instant::now();
        let filled = bucket.per_second * (now - bucket.filled_at).as_secs_f64();
        bucket.left = (bucket.left + filled).min(bucket.per_second * BURST_SECONDS);
        bucket.filled_at = now;
        let is_allowed = bucket.left >= 1.0;
        bucket.left -= f64::from(u8::from(is_allowed));
        is_allowed
    }
}
