//! Requests under which backend servers end, through the binary: the servers' processes are gone, so that connections to
//! them are refused.

mod platform;

use platform::fatal::{Fatal, MAX_ENDED, Site, turn, wait_until_informed};
use platform::program::wait_until_joined;
use platform::{Vm, call, until};
use proptest::prelude::*;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::ContentHash;
use vanillatrail::member::MAX_DATAGRAM_BYTES;
use vanillatrail::policy::server_ends::Knowledge::{self, Complete, CutOff};
use vanillatrail::policy::server_ends::{
    ATTEMPT_LIFETIME, END_LIFETIME, EXPOSURE, Ledger, News, Verdict, What,
};

/// Guards against a request that ends a server in each of its caller's retries, at any VM.
#[test]
fn a_request_that_ended_three_servers_is_not_sent_again_by_any_vm() {
    let site = Site::start(3, Fatal::BeforeResponse, usize::MAX);
    for number in 0..6 {
        let reply = turn(&site.vms[number % 3], "/a/fatal", &format!("r{number}"));
        assert!(reply.status >= 500, "{reply:?}");
    }
    assert_eq!((site.ended(), site.received()), (MAX_ENDED, MAX_ENDED));
    for vm in &site.vms {
        assert_eq!(turn(vm, "/a/other", "o").status, 200);
    }
}

/// Guards against a stream that is resumed at one server after another, and ends each of them.
#[test]
fn a_stream_that_ended_three_servers_is_not_resumed() {
    let site = Site::start(3, Fatal::MidStream, usize::MAX);
    for (number, vm) in site.vms.iter().enumerate() {
        let reply = turn(vm, "/a/fatal", &format!("r{number}"));
        assert!(!reply.whole || reply.status >= 500, "{reply:?}");
    }
    assert_eq!((site.ended(), site.received()), (MAX_ENDED, MAX_ENDED));
}

/// Guards against failing a request that merely met two servers that ended.
#[test]
fn a_request_that_met_two_ended_servers_is_answered() {
    for fatal in [Fatal::BeforeResponse, Fatal::MidStream] {
        let site = Site::start(1, fatal, 2);
        let reply = turn(&site.vms[0], "/a/fatal", "r");
        assert!(reply.status == 200 && reply.whole, "{fatal:?}: {reply:?}");
        assert_eq!(site.ended(), 2);
    }
}

/// Guards against failing a request that met one server that ended, at a VM that has just started.
#[test]
fn a_request_that_met_an_ended_server_is_answered_by_a_vm_that_has_just_started() {
    let mut site = Site::start(1, Fatal::BeforeResponse, 1);
    site.vms[0].kill();
    site.vms[0].restart();
    site.vms[0].wait_ready();
    let reply = turn(&site.vms[0], "/a/fatal", "r");
    assert!(reply.status == 200 && reply.whole, "{reply:?}");
    assert_eq!(site.ended(), 1);
}

/// Guards against failing streams that could go on: servers that only close connections have not ended.
#[test]
fn servers_that_only_break_streams_off_do_not_count_as_ended() {
    let site = Site::start(3, Fatal::CloseOnly, 4);
    for number in 0..4 {
        let reply = turn(&site.vms[number % 3], "/a/fatal", &format!("r{number}"));
        assert!(reply.status == 200 && reply.whole, "{reply:?}");
    }
    assert_eq!((site.ended(), site.received()), (0, 8));
}

/// Guards against refusing what many callers send side by side, after a mass failure of servers that met all of them.
#[test]
fn a_content_that_succeeded_before_a_mass_failure_is_not_refused() {
    let site = Site::start(1, Fatal::Hang, 0);
    let send = |id: &str| {
        let headers = [("X-Request-Id", id)];
        call(site.vms[0].callers, "POST", "/a/fatal", &headers, b"").status
    };
    assert_eq!(send("r0"), 200);
    site.set_fatal_requests(usize::MAX);
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..6)
            .map(|caller| scope.spawn(move || send(&format!("c{caller}"))))
            .collect();
        until("all requests are at servers", || site.received() == 6 + 1);
        site.set_fatal_requests(0);
        site.end_receivers();
        for caller in callers {
            assert_eq!(caller.join().expect("the caller ends"), 200);
        }
    });
    assert!(site.ended() > MAX_ENDED, "{}", site.ended());
    assert_eq!(send("r1"), 200);
}

/// Guards against a VM that forgets with its restart which requests ended servers.
#[test]
fn a_restarted_vm_learns_which_requests_ended_servers() {
    let mut site = Site::start(3, Fatal::BeforeResponse, usize::MAX);
    assert!(turn(&site.vms[0], "/a/fatal", "r0").status >= 500);
    assert_eq!(site.ended(), MAX_ENDED);
    for vm in &mut site.vms[..2] {
        vm.kill();
        vm.restart();
        wait_until_informed(vm);
    }
    for (number, vm) in site.vms.iter().enumerate() {
        assert!(turn(vm, "/a/fatal", &format!("s{number}")).status >= 500);
    }
    assert_eq!(site.received(), MAX_ENDED);
}

/// Guards against VMs that all restart at once and end further servers.
#[test]
fn vms_that_all_restart_end_no_further_servers() {
    let mut site = Site::start(2, Fatal::BeforeResponse, usize::MAX);
    assert!(turn(&site.vms[0], "/a/fatal", "r0").status >= 500);
    site.vms.iter_mut().for_each(Vm::kill);
    site.vms.iter_mut().for_each(Vm::restart);
    wait_until_joined(&site.vms);
    for number in 0..6 {
        turn(&site.vms[number % 2], "/a/fatal", &format!("s{number}"));
    }
    assert_eq!(site.ended(), MAX_ENDED);
}

/// Guards against a VM that is cut off from most others, and can't learn how many servers ended before.
#[test]
fn a_vm_that_reaches_few_others_ends_one_more_server() {
    let site = Site::start(3, Fatal::BeforeResponse, usize::MAX);
    site.vms[1].signal("-STOP");
    site.vms[2].signal("-STOP");
    for number in 0..4 {
        assert!(turn(&site.vms[0], "/a/fatal", &format!("r{number}")).status >= 500);
    }
    let ended = site.ended();
    site.vms[1].signal("-CONT");
    site.vms[2].signal("-CONT");
    assert_eq!(ended, 1);
}

fn news(content: u64, server: u64, what: What) -> News {
    News {
        content: ContentHash(content),
        server,
        run: 1,
        what,
        excused: false,
        age_ms: 0,
    }
}

fn end(content: u64, server: u64) -> News {
    news(content, server, What::Ended)
}

fn is_refused(ledger: &Ledger, now: Instant, content: u64, knowledge: Knowledge) -> bool {
    let verdict = ledger.verdict(now, ContentHash(content), knowledge);
    matches!(verdict, Verdict::Refuse(_))
}

/// Guards against unbounded memory, and against a mass failure of servers that displaces the request which ends them.
#[test]
fn the_ledger_is_bounded_and_keeps_the_worst_request() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    for server in 0..3 {
        assert!(ledger.record(now, end(0, server)).is_some());
    }
    for content in 1..100_000 {
        ledger.record(now, end(content, 9));
    }
    assert!(ledger.counts().0 <= 4096);
    assert!(is_refused(&ledger, now, 0, Complete));
    assert!(!is_refused(&ledger, now, 99_999, Complete));
    assert!(is_refused(&ledger, now, 99_999, CutOff));
}

/// Guards against refusing a request for good, and against a wrong time to come back.
#[test]
fn a_request_may_be_sent_again_after_the_time_that_its_refusal_gives() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    for server in 0..3 {
        ledger.record(now, end(1, server));
    }
    let Verdict::Refuse(retry_after) = ledger.verdict(now, ContentHash(1), Complete) else {
        panic!("not refused");
    };
    assert!(is_refused(&ledger, now + retry_after / 2, 1, Complete));
    assert!(!is_refused(&ledger, now + retry_after, 1, Complete));
    ledger.drop_expired(now + retry_after);
    assert!(ledger.is_empty());
}

/// Guards against refusing a content that many callers send, after servers ended for another reason.
#[test]
fn a_success_shows_that_a_request_did_not_end_the_servers() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    for server in 0..3 {
        ledger.record(now, end(1, server));
    }
    assert!(ledger.record(now, news(1, 9, What::Succeeded)).is_some());
    let later = now + Duration::from_millis(10);
    ledger.record(later, end(1, 8));
    assert!(!is_refused(&ledger, later, 1, Complete));
    // Other VMs learn both, also one that knew the first ends alone.
    let mut other = Ledger::default();
    for server in 0..3 {
        other.record(now, end(1, server));
    }
    let later = now + Duration::from_millis(20);
    for news in ledger.worst(later) {
        other.record(later, news);
    }
    assert!(!is_refused(&other, later, 1, Complete));
    assert_eq!(other.ended(later, ContentHash(1)), 1);
}

/// Guards against a message to another VM that is larger than a datagram, and is dropped there.
#[test]
fn what_vms_tell_each_other_of_ended_servers_fits_into_a_datagram() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    for content in 0..1000 {
        for server in 0..=content % 3 {
            ledger.record(now, end(u64::MAX - content, u64::MAX - server));
        }
    }
    let ends = ledger.worst(now + END_LIFETIME / 2);
    let encoded = rmp_serde::to_vec(&ends).expect("ends can be encoded");
    assert!(
        encoded.len() + 100 < MAX_DATAGRAM_BYTES,
        "{}",
        encoded.len()
    );
    let mut other = Ledger::default();
    for end in ends {
        other.record(now, end);
    }
    assert!(other.counts().1 >= 10, "{:?}", other.counts());
}

/// Guards against sending a request on while servers that it was sent to may yet end, in whatever order that shows.
#[test]
fn servers_that_end_within_their_exposure_are_bounded() {
    let config = proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(49),
        failure_persistence: None,
        ..Default::default()
    };
    // Time before each step, time until the server of the step ends, and whether its attempt fails first.
    let steps = proptest::collection::vec((0..2000_u64, 0..4990_u64, any::<bool>()), 40);
    proptest!(config, |(steps in steps)| {
        let (mut ledger, mut now) = (Ledger::default(), Instant::now());
        let mut ends: Vec<Instant> = Vec::new();
        for (pause_ms, end_ms, fails) in steps {
            now += Duration::from_millis(pause_ms);
            match ledger.verdict(now, ContentHash(1), Complete) {
                Verdict::Send => {
                    let server = ends.len() as u64;
                    ends.push(now + Duration::from_millis(end_ms));
                    ledger.record(now, news(1, server, What::Began));
                    if fails {
                        ledger.record(now, news(1, server, What::Failed));
                    }
                }
                Verdict::Pending { servers, .. } => {
                    for server in servers {
                        if ends[usize::try_from(server).expect("small")] <= now {
                            ledger.server_ended_under(now, ContentHash(1), server);
                        } else {
                            ledger.server_lives(now, ContentHash(1), server);
                        }
                    }
                }
                Verdict::Refuse(_) => {}
            }
        }
        prop_assert!(ends.len() <= MAX_ENDED, "{} servers ended", ends.len());
    });
}

/// Guards against an end that counts for nothing, as it is noticed long after the request failed or by another VM.
#[test]
fn an_end_counts_for_each_request_that_failed_there_in_the_last_minute() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    for server in 0..3 {
        ledger.record(now, news(1, server, What::Failed));
        ledger.record(now, news(2, server, What::Began));
        ledger.record(now, news(3, server, What::Began));
        ledger.record(now, news(3, server, What::Answered));
        ledger.record(now, news(4, server, What::Began));
        ledger.record(now, news(4, server, What::NotRun));
    }
    let later = now + ATTEMPT_LIFETIME - Duration::from_millis(1);
    for server in 0..3 {
        assert_eq!(ledger.server_ended(later, server).len(), 2);
    }
    for (content, refused) in [(1, true), (2, true), (3, false), (4, false)] {
        assert_eq!(is_refused(&ledger, later, content, Complete), refused);
    }
    // Longer than a minute after the last end.
    assert!(is_refused(
        &ledger,
        later + ATTEMPT_LIFETIME * 2,
        1,
        Complete
    ));
}

/// Guards against a failure that becomes known after the end of its server, and counts for nothing.
#[test]
fn a_failure_that_is_told_after_the_end_of_its_server_counts() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    ledger.server_ended(now, 7);
    ledger.record(now, news(1, 7, What::Failed));
    assert_eq!(ledger.ended(now, ContentHash(1)), 1);
    // It registers again: the next failure there is none of an ended server.
    ledger.server_registered(7);
    ledger.record(now, news(2, 7, What::Failed));
    assert_eq!(ledger.ended(now, ContentHash(2)), 0);
}

/// Guards against a mass failure that refuses a content which many send, and against a success that excuses later ends.
#[test]
fn ends_of_attempts_that_a_success_excuses_count_as_one() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    ledger.record(now, news(1, 0, What::Succeeded));
    for server in 1..6 {
        ledger.record(now, news(1, server, What::Began));
    }
    for server in 1..6 {
        let told = ledger.record(now, news(1, server, What::Failed));
        let failed = news(1, server, What::Failed);
        let excused = true;
        assert_eq!(told, Some(News { excused, ..failed }));
        assert_eq!(ledger.server_ended(now, server).len(), 1);
    }
    assert_eq!(ledger.ended(now, ContentHash(1)), 1);
    for server in 6..8 {
        assert_eq!(ledger.verdict(now, ContentHash(1), Complete), Verdict::Send);
        ledger.record(now, news(1, server, What::Began));
        ledger.record(now, end(1, server));
    }
    assert!(is_refused(&ledger, now, 1, Complete));
}

/// Guards against VMs that keep a server exposed for good by repeating to each other that an attempt failed there.
#[test]
fn repeated_news_prolongs_no_exposure() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    for server in 0..3 {
        ledger.record(now, news(1, server, What::Failed));
    }
    let half = now + EXPOSURE / 2;
    for news in ledger.worst(half) {
        // Each hop adds to the time, not to the age.
        ledger.record(half + Duration::from_millis(20), news);
    }
    let Verdict::Pending { wait, .. } = ledger.verdict(half, ContentHash(1), Complete) else {
        panic!("three servers are exposed");
    };
    assert_eq!(wait, EXPOSURE / 2);
}

/// Guards against counting a server that had ended before it got the request, as the VM that sends tells that too late.
#[test]
fn a_server_that_ended_before_it_got_the_request_does_not_count() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    for server in 0..3 {
        ledger.record(now, news(1, server, What::Began));
        assert_eq!(ledger.server_ended(now, server), []);
        ledger.record(now, news(1, server, What::NotRun));
    }
    assert_eq!(ledger.ended(now, ContentHash(1)), 0);
    assert_eq!(ledger.verdict(now, ContentHash(1), Complete), Verdict::Send);
}

/// Guards against an end that counts for nothing, as all VMs are lost that could tell how the attempt ended.
#[test]
fn a_server_that_ended_counts_for_an_attempt_that_nobody_reports() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    for server in 0..3 {
        ledger.record(now, news(1, server, What::Began));
        ledger.server_ended(now, server);
    }
    assert!(matches!(
        ledger.verdict(now, ContentHash(1), Complete),
        Verdict::Pending { .. }
    ));
    let later = now + EXPOSURE;
    assert_eq!(ledger.count_untold(later).len(), 3);
    assert!(is_refused(&ledger, later, 1, Complete));
}
