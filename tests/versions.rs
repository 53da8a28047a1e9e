//! Streams of services whose servers run several versions of their software, through the binary.

mod platform;

use platform::program::wait_until_joined;
use platform::{Act, Backend, Reply, Store, Vm, call, chunk, stream_head, until};
use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::policy::stream_versions::{ORIGIN_LIFETIME, Origins, Rollouts};

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
             X-Deadline-Ms: 4000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
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

/// When the servers of the first version leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Leaving {
    BeforeTheKill,
    WhileTheVmsAreDown,
    AfterTheRestart,
    Never,
}

/// Which of the records of streams can be read after the restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Records {
    All,
    /// Not one partition of marks, of three.
    MostMarks,
    /// Not those of single streams.
    NoStreams,
    None,
}

#[derive(Debug, Clone, Copy)]
struct Case {
    leaving: Leaving,
    records: Records,
    /// Whether servers of the second version take the names of those that have left.
    reuses_names: bool,
}

impl Site {
    fn withdraw_first_version(&self, case: Case) {
        let mut successors = self.servers.iter().filter(|(_, version)| *version == "v2");
        for (number, (server, version)) in self.servers.iter().enumerate() {
            if *version != "v1" {
                continue;
            }
            let name = format!("s{number}");
            let successor = successors.next().filter(|_| case.reuses_names);
            if let Some((successor, version)) = successor {
                self.store
                    .register_version(&name, "pool", successor.address, "ready", version);
            } else {
                self.store.put("keyed.servers", &name, None);
            }
            server.end();
        }
    }

    fn set_unreadable(&self, records: Records) {
        let marks = (0..4).map(|part| ("keyed.streamversions", part));
        let streams = (0..4).map(|part| ("streams", part));
        let partitions: Vec<_> = match records {
            Records::All => Vec::new(),
            Records::MostMarks => marks.take(1).collect(),
            Records::NoStreams => streams.collect(),
            Records::None => marks.chain(streams).collect(),
        };
        self.store.set_unavailable_partitions(&partitions);
    }
}

/// Plays one loss of all VMs around a rollout. Returns how many streams were taken up by name, and how many of them went
/// on to their end.
fn play_loss_of_all_vms(case: Case) -> (usize, usize) {
    const STREAMS: usize = 6;
    let mut site = Site::start(2, &["v1", "v1"]);
    let mut streams = Vec::new();
    let begin = |site: &Site, streams: &mut Vec<Stream>| {
        for number in streams.len()..streams.len() + STREAMS {
            streams.push(site.begin(number % 2, &format!("r{number}")));
        }
    };
    begin(&site, &mut streams);
    site.add_server("v2");
    site.add_server("v2");
    site.wait_until_known();
    begin(&site, &mut streams);
    if case.leaving == Leaving::BeforeTheKill {
        site.withdraw_first_version(case);
        until("the VMs know that the first version has left", || {
            site.vms.iter().all(|vm| {
                let servers = vm.state()["servers"].clone();
                let versions = servers.as_array().cloned().unwrap_or_default();
                versions.iter().all(|server| server["version"] == "v2")
            })
        });
    }
    // Records of streams are collected before they are written.
    std::thread::sleep(Duration::from_millis(300));
    site.holds.store(false, Ordering::SeqCst);
    site.vms.iter_mut().for_each(Vm::kill);
    if case.leaving == Leaving::WhileTheVmsAreDown {
        site.withdraw_first_version(case);
    }
    site.set_unreadable(case.records);
    site.vms.iter_mut().for_each(Vm::restart);
    site.vms.iter().for_each(Vm::wait_ready);
    let (mut named, mut went_on) = (0, 0);
    for (number, stream) in streams.into_iter().enumerate() {
        if number == STREAMS / 2 && case.leaving == Leaving::AfterTheRestart {
            site.withdraw_first_version(case);
        }
        let resumes = format!("r{number}");
        let is_named = !number.is_multiple_of(3);
        let reply = site.take_up(
            number % 2,
            &format!("t{number}"),
            is_named.then_some(resumes.as_str()),
        );
        let text = stream.text + &reply.text();
        assert_one_version(&text);
        assert!(matches!(reply.status, 200 | 503), "{case:?}: {reply:?}");
        named += usize::from(is_named);
        went_on += usize::from(is_named && reply.status == 200 && reply.whole);
    }
    (named, went_on)
}

/// Guards against streams joined from two versions after the loss of all VMs, and against refusing them all although
/// servers of their version are left.
#[test]
fn streams_go_on_at_their_version_after_the_loss_of_all_vms() {
    let leavings = [
        Leaving::BeforeTheKill,
        Leaving::WhileTheVmsAreDown,
        Leaving::AfterTheRestart,
        Leaving::Never,
    ];
    let all_records = [
        Records::All,
        Records::MostMarks,
        Records::NoStreams,
        Records::None,
    ];
    for leaving in leavings {
        std::thread::scope(|scope| {
            for records in all_records {
                scope.spawn(move || {
                    let case = Case {
                        leaving,
                        records,
                        reuses_names: matches!(records, Records::All | Records::None),
                    };
                    let (named, went_on) = play_loss_of_all_vms(case);
                    let are_readable = matches!(records, Records::All | Records::MostMarks);
                    if leaving == Leaving::Never && are_readable {
                        assert!(went_on * 2 >= named, "{case:?}: {went_on} of {named}");
                    }
                });
            }
        });
    }
}

/// Guards against refusing the streams of a service with one version after the loss of all VMs.
#[test]
fn streams_of_the_only_version_go_on_after_the_loss_of_all_vms() {
    let mut site = Site::start(2, &["v1", "v1"]);
    let streams: Vec<Stream> = (0..4)
        .map(|number| site.begin(number % 2, &format!("r{number}")))
        .collect();
    site.holds.store(false, Ordering::SeqCst);
    site.vms.iter_mut().for_each(Vm::kill);
    site.vms.iter_mut().for_each(Vm::restart);
    site.vms.iter().for_each(Vm::wait_ready);
    for number in 0..streams.len() {
        let resumes = format!("r{number}");
        let resumes = Some(resumes.as_str()).filter(|_| number > 0);
        let reply = site.take_up(number % 2, &format!("t{number}"), resumes);
        assert!(reply.status == 200 && reply.whole, "{reply:?}");
    }
}

/// Guards against refusing streams that no VM knows, or whose callers name no earlier try, although all servers have one
/// version.
#[test]
fn a_stream_goes_on_at_the_only_version() {
    let mut site = Site::start(2, &["v1", "v1"]);
    site.holds.store(false, Ordering::SeqCst);
    assert_eq!(site.take_up(0, "s", None).status, 200);
    // The first VM has to find that by itself.
    site.vms[1].kill();
    until("there was one version for long enough", || {
        site.take_up(0, "t", Some("unknown")).status == 200
    });
    // A VM that has just started learns that from another one.
    site.vms[1].restart();
    wait_until_joined(&site.vms);
    site.wait_until_known();
    for resumes in [None, Some("unknown")] {
        let reply = site.take_up(1, "u", resumes);
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    site.add_server("v2");
    site.wait_until_known();
    for resumes in [None, Some("unknown")] {
        assert_eq!(site.take_up(0, "w", resumes).status, 503);
    }
}

/// Guards against a server that starts again under its name with another version, and is taken for the one that began the
/// stream.
#[test]
fn a_stream_is_not_resumed_at_a_server_replaced_under_its_name() {
    let mut site = Site::start(1, &["v1"]);
    let stream = site.begin(0, "r");
    site.add_server("v2");
    let next = site.servers[1].0.address;
    site.store
        .register_version("s0", "pool", next, "ready", "v2");
    site.store.put("keyed.servers", "s1", None);
    until("the VM knows the new instance", || {
        let servers = site.vms[0].state()["servers"].clone();
        servers
            .as_array()
            .is_some_and(|servers| servers.len() == 1 && servers[0]["version"] == "v2")
    });
    site.holds.store(false, Ordering::SeqCst);
    site.servers[0].0.end();
    let (text, is_complete) = stream.finish();
    assert_one_version(&text);
    assert!(!is_complete, "{text}");
}

/// Guards against a rollout whose end makes a VM sure of the new version while streams of the previous one are taken up,
/// and against an update of a server that looks like a rollout.
#[test]
fn a_version_counts_as_the_only_one_some_time_after_the_rollout() {
    let (second, start) = (Duration::from_secs(1), Instant::now());
    let (old, new): (Arc<str>, Arc<str>) = ("v1".into(), "v2".into());
    let mut rollouts = Rollouts::default();
    let only = |rollouts: &Rollouts, at| rollouts.only_version(at, "pool", second);
    rollouts.add(start, "pool", &old);
    assert_eq!(only(&rollouts, start + second), Some(Arc::clone(&old)));
    rollouts.add(start + second * 2, "pool", &new);
    assert_eq!(only(&rollouts, start + second * 9), None);
    rollouts.remove(start + second * 10, "pool", &old);
    assert_eq!(only(&rollouts, start + second * 10), None);
    assert_eq!(only(&rollouts, start + second * 11), Some(Arc::clone(&new)));
    let servers = [("pool", &new), ("pool", &new)];
    rollouts.replace(start + second * 12, servers.into_iter());
    rollouts.add(start + second * 12, "pool", &new);
    rollouts.remove(start + second * 12, "pool", &new);
    assert_eq!(only(&rollouts, start + second * 12), Some(new));
}

/// Guards against unbounded memory for the versions of streams, and against a late record that changes one.
#[test]
fn origins_of_streams_are_bounded_and_kept() {
    let (mut origins, now) = (Origins::default(), Instant::now());
    for stream in 0..50_000 {
        origins.insert(now, stream, "v1".into());
    }
    assert_eq!(origins.len(), 20_000);
    origins.insert(now, 49_999, "v2".into());
    assert_eq!(origins.get(now, 49_999).as_deref(), Some("v1"));
    assert_eq!(origins.get(now, 0), None);
    let later = now + ORIGIN_LIFETIME;
    assert_eq!(origins.get(later, 49_999), None);
    origins.insert(later, 1, "v2".into());
    assert_eq!(origins.len(), 1);
}
