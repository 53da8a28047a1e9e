//! A loopback proxy that harms the connections through it.

use super::platform::{listen, unused_address};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

/// What happens to bytes on their way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Harm {
    /// They pass.
    None,
    /// They come 100 ms later.
    Delay,
    /// The connection is reset.
    Reset,
    /// Requests pass, answers are held up.
    OneWay,
    /// Nothing passes.
    Silence,
}

/// All harms but none.
pub const HARMS: [Harm; 4] = [Harm::Delay, Harm::Reset, Harm::OneWay, Harm::Silence];

/// A proxy in front of one address.
#[derive(Debug, Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    harm: Arc<AtomicU8>,
}

impl Proxy {
    pub fn start(to: SocketAddr) -> Self {
        let harm = Arc::new(AtomicU8::new(Harm::None as u8));
        let shared = Arc::clone(&harm);
        let bound = listen(SocketAddr::new(unused_address(), 0), move |caller| {
            let Ok(server) = TcpStream::connect(to) else {
                return;
            };
            let (back, forth) = (handles(&server, &caller), handles(&caller, &server));
            let harm = Arc::clone(&shared);
            std::thread::spawn(move || pass(back, &harm, true));
            pass(forth, &shared, false);
        });
        Self {
            address: bound,
            harm,
        }
    }

    pub fn set(&self, harm: Harm) {
        self.harm.store(harm as u8, Ordering::Relaxed);
    }
}

fn handles(from: &TcpStream, to: &TcpStream) -> (TcpStream, TcpStream) {
    let handle = |stream: &TcpStream| stream.try_clone().expect("a handle");
    (handle(from), handle(to))
}

fn pass((mut from, mut to): (TcpStream, TcpStream), harm: &AtomicU8, answers: bool) {
    let mut buffer = [0; 4096];
    while let Ok(size) = from.read(&mut buffer) {
        if size == 0 {
            break;
        }
        let is = |which: Harm| harm.load(Ordering::Relaxed) == which as u8;
        while is(Harm::Silence) || (answers && is(Harm::OneWay)) {
            std::thread::sleep(Duration::from_millis(10));
        }
        if is(Harm::Delay) {
            std::thread::sleep(Duration::from_millis(100));
        }
        if is(Harm::Reset) || to.write_all(&buffer[..size]).is_err() {
            break;
        }
    }
    // Both ends see it; either may have closed already.
    drop(from.shutdown(Shutdown::Both));
    drop(to.shutdown(Shutdown::Both));
}
