//! Ends of backend servers that show late, elsewhere or not at all to the VM that sent the request, through the binary.

mod platform;

use platform::fatal::{Fatal, MAX_ENDED, Site, turn, turn_within};
use platform::{call, until};
use std::time::{Duration, Instant};

/// Time in which every server of these tests has ended that is going to.
const ENDS_LATEST: Duration = Duration::from_millis(400);

/// Sends a fatal turn several times, each at the next VM.
fn repeat_turn(site: &Site, times: usize) {
    for number in 0..times {
        let vm = &site.vms[number % site.vms.len()];
        let reply = turn(vm, "/a/fatal", &format!("r{number}"));
        assert!(!reply.whole || reply.status >= 500, "{reply:?}");
    }
    std::thread::sleep(ENDS_LATEST);
}

/// Guards against a server that passes for alive as its process ends a little after it broke off.
#[test]
fn servers_that_end_after_they_broke_off_count() {
    for delay in [5, 50, 150].map(Duration::from_millis) {
        for fatal in [Fatal::CloseThenEnd(delay), Fatal::GarbageThenEnd(delay)] {
            let site = Site::start(3, fatal, usize::MAX);
            repeat_turn(&site, 8);
            assert_eq!(site.ended(), MAX_ENDED, "{fatal:?}");
        }
    }
}

/// Guards against not looking at a server after the repeat at it.
#[test]
fn a_server_that_ends_at_the_repeat_counts() {
    let site = Site::start(3, Fatal::EndAtRepeat, usize::MAX);
    repeat_turn(&site, 8);
    assert_eq!(site.ended(), MAX_ENDED);
}

/// Guards against taking a new process at the address of a server for that server.
#[test]
fn a_server_that_is_replaced_at_its_address_counts() {
    let site = Site::start(3, Fatal::Replaced, usize::MAX);
    repeat_turn(&site, 16);
    assert_eq!(site.ended(), MAX_ENDED);
}

/// Guards against ends that show only by the registration, after the connection broke.
#[test]
fn a_server_whose_registration_lapses_counts() {
    let site = Site::start(
        3,
        Fatal::CloseThenLapse(Duration::from_millis(100)),
        usize::MAX,
    );
    repeat_turn(&site, 8);
    assert_eq!(site.ended(), MAX_ENDED);
    for vm in &site.vms {
        until("the VM knows the ends", || {
            vm.state()["server_ends"]["refused"] == 1
        });
    }
}

/// Guards against a success that excuses the ends which come after it.
#[test]
fn ends_after_a_success_count() {
    let site = Site::start(1, Fatal::BeforeResponse, 0);
    let send = |id| {
        let headers = [("X-Request-Id", id)];
        call(site.vms[0].callers, "POST", "/a/fatal", &headers, b"")
    };
    assert_eq!(send("r0").status, 200);
    site.set_fatal_requests(usize::MAX);
    for id in ["r1", "r2", "r3"] {
        assert!(send(id).status >= 500);
    }
    assert_eq!(site.ended(), MAX_ENDED);
}

/// Guards against ends that nobody notices, since the VM that sent the request is killed too.
#[test]
fn ends_count_though_the_vm_is_killed_with_the_server() {
    let mut site = Site::start(4, Fatal::EndWithVm, usize::MAX);
    for number in 0..8 {
        let vm = number % 4;
        site.doom(&[vm]);
        let reply = turn(&site.vms[vm], "/a/fatal", &format!("r{number}"));
        // No answer: it was killed.
        if reply.status == 0 {
            site.restart(vm);
            site.vms[vm].wait_ready();
        }
    }
    std::thread::sleep(ENDS_LATEST);
    assert_eq!(site.ended(), MAX_ENDED);
}

/// Guards against callers that send one content side by side, each to servers of its own.
#[test]
fn a_content_that_is_sent_side_by_side_ends_three_servers() {
    let site = Site::start(4, Fatal::BeforeResponse, usize::MAX);
    std::thread::scope(|scope| {
        for (caller, vm) in site.vms.iter().enumerate() {
            scope.spawn(move || {
                for number in 0..3 {
                    turn(vm, "/a/fatal", &format!("c{caller}r{number}"));
                }
            });
        }
    });
    assert_eq!(site.ended(), MAX_ENDED);
}

/// Guards against ends that come after the caller has given up.
#[test]
fn a_server_that_ends_after_its_caller_left_counts() {
    let site = Site::start(
        3,
        Fatal::SilentThenEnd(Duration::from_millis(1200)),
        usize::MAX,
    );
    for number in 0..8 {
        turn_within(
            &site.vms[number % 3],
            "/a/fatal",
            &format!("r{number}"),
            800,
        );
    }
    std::thread::sleep(Duration::from_millis(1300));
    assert_eq!(site.ended(), MAX_ENDED);
}

/// Guards against refusing for good what three servers broke off that live on.
#[test]
fn a_request_that_three_living_servers_broke_off_is_answered_soon() {
    let site = Site::start(3, Fatal::CloseBeforeResponse, 6);
    let started = Instant::now();
    let mut number = 0;
    until("the request is answered", || {
        number += 1;
        turn(&site.vms[number % 3], "/a/fatal", &format!("r{number}")).status == 200
    });
    assert!(started.elapsed() < Duration::from_secs(8));
    assert_eq!(site.ended(), 0);
}

/// Guards against counting servers that were gone before the request was sent to them.
#[test]
fn a_request_that_finds_servers_gone_is_answered() {
    let site = Site::start(3, Fatal::CloseOnly, 0);
    site.end_first(5);
    for number in 0..9 {
        let path = format!("/a/{}", number / 3);
        let reply = turn(&site.vms[number % 3], &path, &format!("r{number}"));
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    for vm in &site.vms {
        assert_eq!(vm.state()["server_ends"]["refused"], 0);
    }
}

/// Guards against counting the end of a server for requests that it had answered, at VMs that keep the attempts of others.
#[test]
fn servers_that_end_after_they_answered_do_not_count() {
    let site = Site::start(3, Fatal::CloseOnly, 0);
    for number in 0..12 {
        let path = format!("/a/{number}");
        let reply = turn(&site.vms[number % 3], &path, &format!("r{number}"));
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    // VMs tell each other of answers twice a second.
    std::thread::sleep(Duration::from_millis(1200));
    site.end_first(9);
    for vm in &site.vms {
        assert!(turn(vm, "/a/x", "x").status >= 500);
    }
    for vm in &site.vms {
        assert_eq!(vm.lines("event=server_ended "), [""; 0]);
    }
}

/// Guards against a VM that has just started again, and sends a request on before it has asked what the others know.
#[test]
fn a_vm_that_has_just_started_asks_before_it_sends() {
    let mut site = Site::start(3, Fatal::BeforeResponse, usize::MAX);
    assert!(turn(&site.vms[0], "/a/fatal", "r").status >= 500);
    assert_eq!(site.ended(), MAX_ENDED);
    for number in 0..8 {
        let vm = 1 + number % 2;
        site.restart(vm);
        site.vms[vm].wait_ready();
        assert!(turn(&site.vms[vm], "/a/fatal", &format!("s{number}")).status >= 500);
    }
    assert_eq!(site.received(), MAX_ENDED);
}

/// Guards against counting servers that had ended before requests were sent to them, as other VMs notice that meanwhile.
#[test]
fn requests_that_reach_no_server_count_no_ends() {
    let site = Site::start(4, Fatal::CloseOnly, 0);
    site.end_first(6);
    std::thread::scope(|scope| {
        for caller in 0..24 {
            let vm = &site.vms[caller % 4];
            scope.spawn(move || turn(vm, &format!("/a/{caller}"), &format!("c{caller}")));
        }
    });
    for vm in &site.vms {
        assert_eq!(vm.lines("event=server_ended "), [""; 0]);
    }
}
