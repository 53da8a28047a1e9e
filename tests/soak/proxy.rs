//! A loopback proxy that injects network faults.

use super::platform::{listen, unused_address};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

/// A fault on the connections through the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Fault {
    None,
    /// Bytes are delayed by 100 ms.
    Delay,
    /// The connection is closed at the next bytes.
    Reset,
    /// Requests pass, answers are blocked.
    OneWay,
    /// Both directions are blocked.
    Silence,
}

/// All faults, without `None`.
pub const FAULTS: [Fault; 4] = [Fault::Delay, Fault::Reset, Fault::OneWay, Fault::Silence];

/// A proxy in front of one address.
#[derive(Debug, Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    fault: Arc<AtomicU8>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Self {
        let fault = Arc::new(AtomicU8::new(Fault::None as u8));
        let shared = Arc::clone(&fault);
        let bound = listen(SocketAddr::new(unused_address(), 0), move |caller| {
            let Ok(server) = TcpStream::connect(target) else {
                return;
            };
            let (answers_path, requests_path) = (
                clone_handles(&server, &caller),
                clone_handles(&caller, &server),
            );
            let fault = Arc::clone(&shared);
            std::thread::spawn(move || forward(answers_path, &fault, true));
            forward(requests_path, &shared, false);
        });
        Self {
            address: bound,
            fault,
        }
    }

    pub fn set(&self, fault: Fault) {
        self.fault.store(fault as u8, Ordering::Relaxed);
    }
}

fn clone_handles(from: &TcpStream, target: &TcpStream) -> (TcpStream, TcpStream) {
    let handle = |stream: &TcpStream| stream.try_clone().expect("a handle");
    (handle(from), handle(target))
}

fn forward((mut from, mut target): (TcpStream, TcpStream), fault: &AtomicU8, is_answer_path: bool) {
    let mut buffer = [0; 4096];
    while let Ok(size) = from.read(&mut buffer) {
        if size == 0 {
            break;
        }
        let is_active = |expected: Fault| fault.load(Ordering::Relaxed) == expected as u8;
        while is_active(Fault::Silence) || (is_answer_path && is_active(Fault::OneWay)) {
            std::thread::sleep(Duration::from_millis(10));
        }
        if is_active(Fault::Delay) {
            std::thread::sleep(Duration::from_millis(100));
        }
        if is_active(Fault::Reset) || target.write_all(&buffer[..size]).is_err() {
            break;
        }
    }
    // Closes both connections; errors mean that one is closed already.
    drop(from.shutdown(Shutdown::Both));
    drop(target.shutdown(Shutdown::Both));
}
