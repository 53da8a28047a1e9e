//! Processes of the built binary.

use super::{POLL_TIMEOUT, free_address, poll};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// A child process of a test, killed on drop.
pub struct Process {
    child: Child,
    pub address: SocketAddr,
    pub log: PathBuf,
}

impl Process {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        assert!(status.expect("kill runs").success(), "kill -{name} {pid}");
    }

    /// SIGKILL, and waits until the process is gone.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process is ours");
        self.child.wait().expect("the process is ours");
    }

    /// How many lines of its log hold `text`.
    pub fn logged(&self, text: &str) -> usize {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).count()
    }

    /// The value of `offset=` in the newest line of its log that holds `text`.
    pub fn offset_of(&self, text: &str) -> Option<u64> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let line = log.lines().rfind(|line| line.contains(text))?;
        let (_, rest) = line.split_once("offset=")?;
        rest.split_whitespace().next()?.parse().ok()
    }

    /// Waits until the process has ended by itself.
    pub fn wait(&mut self) -> std::process::ExitStatus {
        let deadline = Instant::now() + POLL_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("the process is ours") {
                return status;
            }
            assert!(Instant::now() < deadline, "the process does not end");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a stand-in and waits until it listens.
pub(super) fn standin(dir: &TempDir, kind: &str, index: usize) -> Process {
    let address = free_address();
    let log = dir.path().join(format!("{kind}-{index}.log"));
    let process = spawn(
        &["standin", kind, "--listen", &address.to_string()],
        &log,
        address,
    );
    poll("the stand-in listens", || {
        std::net::TcpStream::connect(address).ok()
    });
    process
}

pub(super) fn serve(dir: &TempDir, settings: &std::path::Path, callers: SocketAddr) -> Process {
    let name = settings
        .file_stem()
        .expect("a file")
        .to_string_lossy()
        .into_owned();
    let log = dir.path().join(format!("{name}.log"));
    spawn(
        &["serve", "--settings", &settings.to_string_lossy()],
        &log,
        callers,
    )
}

fn spawn(arguments: &[&str], log: &std::path::Path, address: SocketAddr) -> Process {
    let file = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)
        .expect("the log file is writable");
    let child = Command::new(env!("CARGO_BIN_EXE_vanillatrail"))
        .args(arguments)
        .stdout(Stdio::null())
        .stderr(file)
        .spawn()
        .expect("the binary runs");
    Process {
        child,
        address,
        log: log.to_path_buf(),
    }
}
