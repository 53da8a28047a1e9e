//! Callers and backend servers that live and read slowly, through the binary.

mod platform;

use platform::{
    Act, Backend, Reply, Request, Store, Vm, WAIT_TIMEOUT, chunk, full_response, receive,
    stream_head, until, unused_address,
};
use serde_json::json;
use socket2::{Domain, SockAddr, Socket, Type};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Barrier;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::Duration;

/// Receive buffer of a slow reader. The kernel raises it to the least that it allows.
const SMALL_WINDOW: usize = 1;
/// Pauses of slow readers, within the deadline of the routes.
const PAUSES: [Duration; 2] = [Duration::from_millis(2500), Duration::from_secs(6)];
const TIMEOUT_MS: u64 = 9000;
const CALLERS: usize = 6;

fn socket() -> Socket {
    Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket")
}

/// Listens for as many connections as the queue holds that are not accepted yet.
fn listen(socket: Socket, queue: i32) -> TcpListener {
    let address = SockAddr::from(SocketAddr::new(unused_address(), 0));
    socket.bind(&address).expect("the address is free");
    socket.listen(queue).expect("the socket listens");
    TcpListener::from(socket)
}

/// A socket whose peer can send little that is not read.
fn small_window_socket() -> Socket {
    let socket = socket();
    let set = socket.set_recv_buffer_size(SMALL_WINDOW);
    set.expect("the size is set");
    socket
}

fn connect(to: SocketAddr) -> TcpStream {
    let socket = small_window_socket();
    socket.connect(&SockAddr::from(to)).expect("the VM listens");
    let stream = TcpStream::from(socket);
    let set = stream.set_read_timeout(Some(WAIT_TIMEOUT));
    set.expect("the timeout is set");
    stream
}

fn start_vm(server: SocketAddr) -> (Store, Vm) {
    let store = Store::start();
    let timeout = json!({ "timeoutMs": TIMEOUT_MS });
    let plain = json!({ "timeoutMs": TIMEOUT_MS, "service": "other", "attempts": 1 });
    store.configure(
        1,
        &[
            ("/a/", "stream", timeout),
            ("/b/", "unsafe", plain.clone()),
            ("/c/", "safe", plain),
        ],
    );
    store.register("s", "pool", server, "ready");
    store.register("o", "other", server, "ready");
    let vm = Vm::start(&store);
    vm.wait_ready();
    (store, vm)
}

/// Sends a request without a body, waits, and then reads its answer to the end.
fn read_late(stream: &mut TcpStream, path: &str, id: &str, pause: Duration) -> Reply {
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
    );
    stream
        .write_all(request.as_bytes())
        .expect("the request is sent");
    sleep(pause);
    receive(&mut BufReader::new(stream)).unwrap_or_default()
}

/// Answers with more bytes than a small window takes: a stream of two events, or a body.
fn long_answer(request: &Request) -> Act {
    let text = "x".repeat(20_000);
    if request.target.starts_with("/a/") {
        let event = |id: u32| chunk(&format!("id: {id}\ndata: {text}\n\n"));
        let stream = stream_head(request) + &event(1) + &event(2) + "0\r\n\r\n";
        return Act::Keep(stream.into_bytes());
    }
    Act::Keep(full_response(request, &text))
}

/// Sends requests on kept connections whose answers are read after a pause, and stops the VM meanwhile if `stops`.
fn play_late_readers(pause: Duration, stops: bool) {
    let backend = Backend::start(|request, _| long_answer(request));
    let (_store, mut vm) = start_vm(backend.address);
    let (callers, whole) = (vm.callers, AtomicUsize::new(0));
    let sent = Barrier::new(CALLERS + 1);
    std::thread::scope(|scope| {
        for number in 0..CALLERS {
            let (sent, whole) = (&sent, &whole);
            scope.spawn(move || {
                let mut stream = connect(callers);
                let path = ["/a/x", "/b/x", "/c/x"][number % 3];
                let first = read_late(&mut stream, path, &format!("f{number}"), Duration::ZERO);
                assert!(first.is_whole_success());
                sent.wait();
                let late = read_late(&mut stream, path, &format!("l{number}"), pause);
                whole.fetch_add(usize::from(late.is_whole_success()), Ordering::SeqCst);
            });
        }
        sent.wait();
        until("the requests have run", || backend.count() == 2 * CALLERS);
        if stops {
            vm.terminate();
        }
    });
    assert_eq!(whole.into_inner(), CALLERS, "pause {pause:?}, stop {stops}");
}

/// Guards against answers that are reset since their caller reads them seconds later with a small window.
#[test]
fn an_answer_that_is_read_late_is_whole() {
    std::thread::scope(|scope| {
        for pause in PAUSES {
            scope.spawn(move || play_late_readers(pause, false));
        }
        // Within the time limit of a stop.
        scope.spawn(|| play_late_readers(PAUSES[0], true));
    });
}

/// A server that begins to read each request after a pause, and then reads this much at a time, with pauses between.
fn slow_server(pause: Duration, step: usize, step_pause: Duration) -> SocketAddr {
    let listener = listen(small_window_socket(), 16);
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve_slowly(stream, pause, step, step_pause));
        }
    });
    address
}

fn serve_slowly(
    mut stream: TcpStream,
    pause: Duration,
    step: usize,
    step_pause: Duration,
) -> Option<()> {
    struct Slow(TcpStream, usize, Duration);
    impl Read for Slow {
        fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
            sleep(self.2);
            let most = buf.len().min(self.1);
            self.0.read(&mut buf[..most])
        }
    }
    sleep(pause);
    let slow = Slow(stream.try_clone().ok()?, step, step_pause);
    let request = Request::read(&mut BufReader::new(slow))?;
    let answer = full_response(&request, &request.body.len().to_string());
    stream.write_all(&answer).ok()
}

/// Guards against requests that are reset since their server reads them slowly, or seconds later, with a small window.
#[test]
fn a_request_that_is_read_late_is_answered() {
    const BODY_BYTES: usize = 40_000;
    let moment = Duration::from_millis(50);
    let servers: [(Duration, usize, Duration); 3] = [
        (PAUSES[0], BODY_BYTES, Duration::ZERO),
        (PAUSES[1], BODY_BYTES, Duration::ZERO),
        (PAUSES[0], 1000, moment),
    ];
    std::thread::scope(|scope| {
        for (pause, step, step_pause) in servers {
            scope.spawn(move || {
                let (_store, vm) = start_vm(slow_server(pause, step, step_pause));
                let body = vec![b'x'; BODY_BYTES];
                let headers = [("X-Request-Id", "r")];
                let reply = platform::call(vm.callers, "POST", "/b/x", &headers, &body);
                let answer = (reply.status, reply.text());
                assert_eq!(answer, (200, BODY_BYTES.to_string()), "pause {pause:?}");
            });
        }
    });
}

/// Guards against a server that counts as lost since it works for long and takes no connections meanwhile.
#[test]
fn a_server_that_accepts_nothing_while_it_works_is_waited_for() {
    let listener = listen(socket(), 0);
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let reader = stream.try_clone().expect("a handle");
        let request = Request::read(&mut BufReader::new(reader)).expect("a request");
        // Fills the queue of new connections.
        let connect = |_| TcpStream::connect_timeout(&address, Duration::from_millis(100));
        let queued: Vec<_> = (0..3).map(connect).collect();
        sleep(PAUSES[1]);
        let sent = stream.write_all(&full_response(&request, "late"));
        sent.expect("the answer is sent");
        drop(queued);
    });
    let (_store, vm) = start_vm(address);
    let reply = platform::call(vm.callers, "POST", "/b/x", &[("X-Request-Id", "r")], b"");
    assert_eq!((reply.status, reply.text().as_str()), (200, "late"));
}
