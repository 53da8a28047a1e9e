//! Streams of services whose servers run several versions of their software, through the binary.

mod platform;

use platform::program::wait_until_joined;
use platform::{Act, Backend, Reply, Store, Vm, call, chunk, stream_head, until};
use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

const EVENTS: u64 = 8;

/// Servers whose events name their version. While `holds` is set, they send two events and then nothing.
struct Site {
    store: Store,
    vms: Vec<Vm>,
    servers: Vec<(Backend, &'static str)>,
    holds: Arc<AtomicBool>,
}

fn event_text(number: u64, version: &str) -> String {
    format!("id: {number}\ndata: {version}\n\n")
}

impl Site {
    /// Starts VMs that know each other, before one server of each of these versions.
    fn start(vms: usize, versions: &[&'static str]) -> Self {
        let store = Store::start();
        store.configure(1, &[("/a/", "stream", json!({ "attempts": 1 }))]);
        let mut site = Self {
            vms: (0..vms).map(|_| Vm::start(&store)).collect(),
            store,
            servers: Vec::new(),
            holds: Arc::new(AtomicBool::new(true)),
        };
        for version in versions {
            site.add_server(version);
        }
        wait_until_joined(&site.vms);
        site.wait_until_known();
        site
    }

    fn add_server(&mut self, version: &'static str) {
        let holds = Arc::clone(&self.holds);
        let server = Backend::start(move |request, _| {
            let first = request.header("last-event-id").parse().unwrap_or(0) + 1;
            let event = |number| chunk(&event_text(number, version));
            if holds.load(Ordering::SeqCst) {
                let text = stream_head(request) + &event(first) + &event(first + 1);
                return Act::Hang(text.into_bytes());
            }
            let events: String = (first..=EVENTS).map(event).collect();
            Act::Keep((stream_head(request) + &events + "0\r\n\r\n").into_bytes())
        });
        let name = format!("s{}", self.servers.len());
        self.store
            .register_version(&name, "pool", server.address, "ready", version);
        self.servers.push((server, version));
    }

    fn wait_until_known(&self) {
        for vm in &self.vms {
            until("the VM knows all servers", || {
                let state = vm.state();
                let servers = state["servers"].as_array().map_or(0, Vec::len);
                servers == self.servers.len()
            });
        }
    }

    /// Begins a stream and reads its first two events.
    fn begin(&self, vm: usize, id: &str) -> Stream {
        let mut stream = TcpStream::connect(self.vms[vm].callers).expect("the VM listens");
        stream
            .set_read_timeout(Some(platform::WAIT_TIMEOUT))
            .expect("the timeout is set");
        let head = format!(
            "POST /a/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n"
        );
        stream
            .write_all(head.as_bytes())
            .expect("the request is sent");
        let mut reader = BufReader::new(stream);
        let mut text = String::new();
        while text.matches("data: ").count() < 2 || !text.ends_with("\n\n\r\n") {
            assert!(
                reader.read_line(&mut text).is_ok_and(|size| size > 0),
                "{text}"
            );
        }
        Stream { reader, text }
    }

    /// Takes up a stream after its second event.
    fn take_up(&self, vm: usize, id: &str, resumes: Option<&str>) -> Reply {
        let mut headers = vec![
            ("X-Request-Id", id),
            ("X-Deadline-Ms", "3000"),
            ("Last-Event-Id", "2"),
        ];
        headers.extend(resumes.map(|id| ("Resumes", id)));
        call(self.vms[vm].callers, "POST", "/a/x", &headers, b"")
    }

    /// Requests that reached servers with an event ID.
    fn resumed(&self) -> usize {
        let requests = self.servers.iter().map(|(server, _)| {
            let requests = server.requests.lock().expect("not poisoned");
            let resumed = requests
                .iter()
                .filter(|request| !request.header("last-event-id").is_empty());
            resumed.count()
        });
        requests.sum()
    }
}

/// A stream of which two events were read.
struct Stream {
    reader: BufReader<TcpStream>,
    text: String,
}

impl Stream {
    fn version(&self) -> String {
        let (_, rest) = self.text.split_once("data: ").expect("an event");
        rest.lines().next().expect("a line").to_owned()
    }

    /// Reads the rest; returns whether the stream was complete.
    fn finish(mut self) -> (String, bool) {
        // A stream that is cut may end with an error.
        let _ = self.reader.read_to_string(&mut self.text);
        let is_complete = self.text.ends_with("0\r\n\r\n");
        (self.text, is_complete)
    }
}

fn assert_one_version(text: &str) {
    let has = |version| text.contains(&format!("data: {version}\n"));
    assert!(!(has("v1") && has("v2")), "{text}");
}

/// Guards against a stream that holds events of two versions in one answer, and against cutting it although a server of
/// its version is left.
#[test]
fn a_stream_is_resumed_only_at_the_version_that_began_it() {
    for (versions, goes_on) in [
        (&["v1", "v2", "v2", "v2", "v2", "v2"][..], false),
        (&["v1", "v1", "v2", "v2", "v2", "v2"][..], true),
    ] {
        let mut site = Site::start(1, &versions[..1]);
        let stream = site.begin(0, "r");
        assert_eq!(stream.version(), "v1");
        for version in &versions[1..] {
            site.add_server(version);
        }
        site.wait_until_known();
        site.holds.store(false, Ordering::SeqCst);
        site.servers[0].0.end();
        let (text, is_complete) = stream.finish();
        assert_one_version(&text);
        assert_eq!(is_complete, goes_on, "{text}");
    }
}

/// Guards against a stream that its caller takes up at another VM, and that goes on at another version; and against
/// refusing it although servers of its version are left.
#[test]
fn a_stream_taken_up_at_another_vm_goes_on_at_its_version() {
    let versions = ["v1", "v2", "v1", "v2", "v2", "v1"];
    let mut site = Site::start(3, &versions);
    let ids: Vec<String> = (0..8).map(|number| format!("r{number}")).collect();
    let streams: Vec<Stream> = ids.iter().map(|id| site.begin(0, id)).collect();
    site.holds.store(false, Ordering::SeqCst);
    site.vms[0].kill();
    for (number, stream) in streams.into_iter().enumerate() {
        let version = stream.version();
        let reply = site.take_up(
            1 + number % 2,
            &format!("t{number}"),
            Some(ids[number].as_str()),
        );
        assert!(reply.status == 200 && reply.whole, "{reply:?}");
        let events: String = (3..=EVENTS).map(|n| event_text(n, &version)).collect();
        assert_eq!(reply.text(), events);
    }
}

/// Guards against guessing the version of a stream that no VM knows any more.
#[test]
fn a_stream_of_unknown_version_is_refused_where_versions_differ() {
    let site = Site::start(1, &["v1", "v2"]);
    site.holds.store(false, Ordering::SeqCst);
    for resumes in [None, Some("unknown")] {
        let reply = site.take_up(0, "t", resumes);
        assert_eq!(reply.status, 503, "{reply:?}");
        assert!(reply.headers.contains_key("retry-after"), "{reply:?}");
    }
    assert_eq!(site.resumed(), 0);
}

/// Guards against a VM that forgets with its restart which version began a stream, and guesses it.
#[test]
fn streams_are_not_guessed_after_all_vms_restarted() {
    let mut site = Site::start(2, &["v1", "v2", "v2"]);
    let streams: Vec<Stream> = (0..6)
        .map(|number| site.begin(0, &format!("r{number}")))
        .collect();
    site.holds.store(false, Ordering::SeqCst);
    site.vms.iter_mut().for_each(Vm::kill);
    site.vms.iter_mut().for_each(Vm::restart);
    wait_until_joined(&site.vms);
    site.wait_until_known();
    for (number, stream) in streams.into_iter().enumerate() {
        let id = format!("r{number}");
        let reply = site.take_up(1, &format!("t{number}"), Some(&id));
        assert_one_version(&(stream.text + &reply.text()));
    }
}
