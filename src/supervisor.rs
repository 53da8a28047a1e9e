//! Runs each duty on a thread of its own and restarts it a limited number of times if it panics.

use crate::telemetry::event;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::thread::JoinHandle;
use tokio::task::LocalSet;
use tokio_util::sync::CancellationToken;

/// After this many restarts of one duty, the process stops.
const MAX_RESTARTS: u32 = 3;

/// Threads of one VM.
#[derive(Debug)]
pub(crate) struct Supervisor {
    stop: CancellationToken,
    threads: Vec<(&'static str, JoinHandle<()>)>,
}

impl Supervisor {
    /// Creates a supervisor that cancels `stop` if a duty panics too often.
    pub(crate) fn new(stop: CancellationToken) -> Self {
        Self {
            stop,
            threads: Vec::new(),
        }
    }

    /// Runs a duty on a new thread.
    ///
    /// After a panic, `start` creates the duty again with empty memory; durable state is read back
    /// from the log. If it keeps panicking, the process stops so that another VM takes over.
    pub(crate) fn spawn<F, S>(&mut self, name: &'static str, mut start: S)
    where
        F: Future<Output = ()>,
        S: FnMut() -> F + Send + 'static,
    {
        let stop = self.stop.clone();
        let run_with_restarts = move || {
            for attempt in 0..=MAX_RESTARTS {
                let runtime = tokio::runtime::Builder::new_current_thread()
                    .enable_all()
                    .build()
                    .expect("the runtime can be created");
                let run_once = AssertUnwindSafe(|| {
                    LocalSet::new().block_on(&runtime, async { start().await });
                });
                if catch_unwind(run_once).is_ok() {
                    return;
                }
                event!(error, "duty_panicked", duty = name, attempt = attempt);
            }
            stop.cancel();
        };
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(run_with_restarts);
        self.threads
            .push((name, thread.expect("the thread can be created")));
    }

    /// Waits until all duties have ended.
    pub(crate) fn join(self) {
        for (name, thread) in self.threads {
            if thread.join().is_err() {
                event!(error, "duty_lost", duty = name);
            }
        }
    }
}
