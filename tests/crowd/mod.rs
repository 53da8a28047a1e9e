//! Crowds of callers that keep their connections open, and what a process holds meanwhile.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Memory of the smallest VM.
pub const VM_BYTES: usize = 120_000_000;
/// Time after which a caller gives up sending to a VM that does not read.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Threads that send at the same time.
const SENDERS: usize = 64;
/// Time without a new peak after which a process has read what was sent.
const SETTLE_TIME: Duration = Duration::from_secs(1);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(3);

static ALONE: Mutex<()> = Mutex::new(());

/// Waits until no other test of this file runs.
pub fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Opens `count` connections, and sends the pieces that `pieces` returns for each. Returns the connections.
pub fn gather<P>(to: SocketAddr, count: usize, pieces: impl Fn(usize) -> P + Sync) -> Vec<TcpStream>
where
    P: IntoIterator<Item = Vec<u8>>,
{
    let next = AtomicUsize::new(0);
    let callers = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..SENDERS.min(count) {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= count {
                        return;
                    }
                    let connected = TcpStream::connect_timeout(&to, SEND_TIMEOUT);
                    let Ok(mut caller) = connected else { continue };
                    let limited = caller.set_write_timeout(Some(SEND_TIMEOUT));
                    limited.expect("the timeout is set");
                    // The VM may refuse it or close its connection at any point.
                    let _ = pieces(number)
                        .into_iter()
                        .try_for_each(|piece| caller.write_all(&piece));
                    callers.lock().expect("not poisoned").push(caller);
                }
            });
        }
    });
    callers.into_inner().expect("not poisoned")
}

/// The largest memory and number of descriptors of a process since the start of the watch.
pub struct Watch {
    pid: u32,
    bytes: Arc<AtomicUsize>,
    descriptors: Arc<AtomicUsize>,
    ends: Arc<AtomicBool>,
    sampler: Option<JoinHandle<()>>,
}

impl Watch {
    pub fn start(pid: u32) -> Self {
        let (bytes, descriptors) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let ends = Arc::<AtomicBool>::default();
        let sampler = std::thread::spawn({
            let (bytes, descriptors) = (Arc::clone(&bytes), Arc::clone(&descriptors));
            let ends = Arc::clone(&ends);
            move || {
                while !ends.load(Ordering::Relaxed) {
                    bytes.fetch_max(anonymous_bytes(pid).unwrap_or(0), Ordering::Relaxed);
                    descriptors.fetch_max(open_descriptors(pid), Ordering::Relaxed);
                    std::thread::sleep(SAMPLE_INTERVAL);
                }
            }
        });
        Self {
            pid,
            bytes,
            descriptors,
            ends,
            sampler: Some(sampler),
        }
    }

    pub fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    pub fn descriptors(&self) -> usize {
        self.descriptors.load(Ordering::Relaxed)
    }

    /// Waits until the process has read what was sent: its peak has not grown for a while.
    pub fn settle(&self) {
        let mut last = 0;
        while last < self.bytes() {
            last = self.bytes();
            std::thread::sleep(SETTLE_TIME);
        }
    }

    /// Checks that the process lives and stayed within the memory of the smallest VM.
    pub fn check(&self) {
        let peak = self.bytes();
        eprintln!(
            "peak: {} MiB, {} descriptors",
            peak >> 20,
            self.descriptors()
        );
        assert!(anonymous_bytes(self.pid).is_some(), "the process has ended");
        assert!(peak < VM_BYTES, "peak of {peak} bytes");
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
        if let Some(sampler) = self.sampler.take() {
            drop(sampler.join());
        }
    }
}

/// Anonymous memory of a process; `None` if it has ended.
fn anonymous_bytes(pid: u32) -> Option<usize> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"))?;
    let kib: usize = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kib << 10)
}

fn open_descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// `size` bytes as chunks of this size, without the last chunk.
pub fn chunks(size: usize, chunk: usize) -> impl Iterator<Item = Vec<u8>> {
    let mut one = format!("{chunk:x}\r\n").into_bytes();
    one.resize(one.len() + chunk, b'x');
    one.extend_from_slice(b"\r\n");
    // Small chunks are sent many at a time.
    let together = (65_536 / one.len()).max(1);
    let piece = one.repeat(together);
    std::iter::repeat_n(piece, size.div_ceil(chunk * together))
}
