//! One thread for each duty, restarted when it panics, up to a limit.

use crate::telemetry::event;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::thread::JoinHandle;
use tokio::task::LocalSet;
use tokio_util::sync::CancellationToken;

/// How often one duty is started again before the process stops.
const RESTARTS: u32 = 3;

/// The threads of one VM.
#[derive(Debug)]
pub(crate) struct Supervisor {
    stop: CancellationToken,
    threads: Vec<(&'static str, JoinHandle<()>)>,
}

impl Supervisor {
    /// A supervisor that cancels `stop` when a duty can't be kept up.
    pub(crate) fn new(stop: CancellationToken) -> Self {
        Self {
            stop,
            threads: Vec::new(),
        }
    }

    /// Runs the futures that `start` makes on a thread of their own, one at a time.
    ///
    /// A duty that panics has lost what it held in memory; `start` makes it anew, and what must
    /// last is read back from the log. One that panics again and again would serve nobody, so the
    /// process stops and another VM takes over.
    pub(crate) fn spawn<F, S>(&mut self, name: &'static str, mut start: S)
    where
        F: Future<Output = ()>,
        S: FnMut() -> F + Send + 'static,
    {
        let stop = self.stop.clone();
        let body = move || {
            for attempt in 0..=RESTARTS {
                let runtime = tokio::runtime::Builder::new_current_thread()
                    .enable_all()
                    .build()
                    .expect("the system gives a runtime");
                let run = AssertUnwindSafe(|| {
                    LocalSet::new().block_on(&runtime, async { start().await });
                });
                if catch_unwind(run).is_ok() {
                    return;
                }
                event!(error, "duty_panicked", duty = name, attempt = attempt);
            }
            stop.cancel();
        };
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(body);
        self.threads
            .push((name, thread.expect("the system gives a thread")));
    }

    /// Waits until every duty has ended.
    pub(crate) fn join(self) {
        for (name, thread) in self.threads {
            if thread.join().is_err() {
                event!(error, "duty_lost", duty = name);
            }
        }
    }
}
