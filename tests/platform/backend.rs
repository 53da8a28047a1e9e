//! Fake backend servers.

use super::{Request, unused_address};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What a fake backend server does with a request.
pub enum Act {
    /// Sends these bytes and keeps the connection open.
    Keep(Vec<u8>),
    /// Sends these bytes and closes the connection.
    Close(Vec<u8>),
    /// Sends these bytes and waits until the client closes the connection.
    Hang(Vec<u8>),
    /// Sends these bytes, and ends the server: it listens no longer, and its connections are closed.
    End(Vec<u8>),
    /// Sends these bytes and closes the connection, and ends the server after this time.
    CloseThenEnd(Vec<u8>, Duration),
    /// Sends nothing, and ends the server after this time.
    SilentThenEnd(Duration),
    /// Sends the first bytes, and then the others again and again with this pause until the client closes the connection.
    Endless(Vec<u8>, Vec<u8>, Duration),
}

/// A fake backend server.
#[derive(Debug, Clone)]
pub struct Backend {
    pub address: SocketAddr,
    /// Received requests, in order of arrival.
    pub requests: Arc<Mutex<Vec<Request>>>,
    /// Whether the client closed a connection during [`Act::Hang`] or [`Act::Endless`].
    pub client_closed: Arc<AtomicBool>,
    /// Bytes sent again and again by [`Act::Endless`].
    pub endless_bytes: Arc<AtomicUsize>,
    life: Arc<Life>,
}

/// Whether a fake backend server runs, and what ends with it.
#[derive(Debug, Default)]
struct Life {
    ends: AtomicBool,
    listener_closed: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Life {
    /// Stops listening, then closes all connections, as when a process ends.
    fn end(&self, address: SocketAddr) {
        if self.ends.swap(true, Ordering::SeqCst) {
            return;
        }
        // Wakes the thread that accepts.
        drop(TcpStream::connect(address));
        while !self.listener_closed.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(1));
        }
        // A process that another test is starting has a copy of the listener until it runs its program.
        while TcpStream::connect(address).is_ok() {
            std::thread::sleep(Duration::from_millis(1));
        }
        for connection in self.connections.lock().expect("not poisoned").drain(..) {
            // Fails if the client has closed it.
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }
}

impl Backend {
    /// Starts a server. `act` gets the request and its number, from 0.
    pub fn start(act: impl Fn(&Request, usize) -> Act + Send + Sync + 'static) -> Self {
        let requests: Arc<Mutex<Vec<Request>>> = Arc::default();
        let client_closed = Arc::new(AtomicBool::new(false));
        let (seen, closed) = (Arc::clone(&requests), Arc::clone(&client_closed));
        let endless_bytes = Arc::new(AtomicUsize::new(0));
        let sending = Arc::clone(&endless_bytes);
        let life = Arc::<Life>::default();
        let (serving, accepting) = (Arc::clone(&life), Arc::clone(&life));
        let listener = TcpListener::bind(SocketAddr::new(unused_address(), 0));
        let listener = listener.expect("the address is free");
        let address = listener.local_addr().expect("the listener is bound");
        let serve = Arc::new(move |mut stream: TcpStream| {
            let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
            while let Some(mut request) = Request::read(&mut reader) {
                request.local_address = Some(address);
                let number = {
                    let mut seen = seen.lock().expect("not poisoned");
                    seen.push(request.clone());
                    seen.len() - 1
                };
                let (bytes, keep) = match act(&request, number) {
                    Act::Keep(bytes) => (bytes, true),
                    Act::Close(bytes) => (bytes, false),
                    Act::End(bytes) => {
                        drop(stream.write_all(&bytes));
                        return serving.end(address);
                    }
                    Act::CloseThenEnd(bytes, delay) => {
                        let serving = Arc::clone(&serving);
                        std::thread::spawn(move || {
                            std::thread::sleep(delay);
                            serving.end(address);
                        });
                        (bytes, false)
                    }
                    Act::SilentThenEnd(delay) => {
                        std::thread::sleep(delay);
                        return serving.end(address);
                    }
                    Act::Endless(first, repeated, pause) => {
                        let mut sent = stream.write_all(&first);
                        while sent.is_ok() {
                            std::thread::sleep(pause);
                            sent = stream.write_all(&repeated);
                            sending.fetch_add(repeated.len(), Ordering::Relaxed);
                        }
                        closed.store(true, Ordering::Relaxed);
                        return;
                    }
                    Act::Hang(bytes) => {
                        drop(stream.write_all(&bytes));
                        let end = reader.read(&mut [0; 1]);
                        closed.store(!matches!(end, Ok(size) if size > 0), Ordering::Relaxed);
                        return;
                    }
                };
                if stream.write_all(&bytes).is_err() || !keep {
                    return;
                }
            }
        });
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.ends.load(Ordering::SeqCst) {
                    break;
                }
                let handle = || stream.try_clone().expect("a handle");
                let (connection, served) = (handle(), handle());
                let mut connections = accepting.connections.lock().expect("not poisoned");
                connections.push(connection);
                drop(connections);
                let (serve, life) = (Arc::clone(&serve), Arc::clone(&accepting));
                std::thread::spawn(move || {
                    let peer = served.peer_addr().ok();
                    serve(stream);
                    // The handle in the list keeps it open. Fails if the client has closed it.
                    let _ = served.shutdown(std::net::Shutdown::Both);
                    let mut connections = life.connections.lock().expect("not poisoned");
                    // Those without a peer are closed.
                    connections.retain(|open| open.peer_addr().is_ok_and(|at| Some(at) != peer));
                });
            }
            drop(listener);
            accepting.listener_closed.store(true, Ordering::SeqCst);
        });
        Self {
            address,
            requests,
            client_closed,
            endless_bytes,
            life,
        }
    }

    /// Ends the server.
    pub fn end(&self) {
        self.life.end(self.address);
    }

    pub fn has_ended(&self) -> bool {
        self.life.ends.load(Ordering::SeqCst)
    }

    pub fn count(&self) -> usize {
        self.requests.lock().expect("not poisoned").len()
    }
}
