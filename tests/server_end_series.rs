//! One request that ends each server which runs it, tried again and again while VMs and servers come and go.

mod platform;

use platform::fatal::{Fatal, MAX_ENDED, Site, turn, turn_after};
use platform::{Vm, until};
use serde_json::json;
use std::time::{Duration, Instant};

/// Topic of the records.
const END_TOPIC: &str = "keyed.serverends";

/// Tries of each series.
const TRIES: usize = 8;
/// Time in which every server of these tests has ended that is going to.
const ENDS_LATEST: Duration = Duration::from_millis(300);

/// Sends a fatal turn [`TRIES`] times, each at the next VM, and acts between two tries. Returns how many servers ended.
fn series(site: &mut Site, mut between: impl FnMut(&mut Site, usize)) -> usize {
    let mut last_event = None;
    for number in 0..TRIES {
        let vm = number % site.vms.len();
        let reply = turn_after(&site.vms[vm], "/a/fatal", &format!("r{number}"), last_event);
        assert!(!reply.whole || reply.status >= 500, "{reply:?}");
        last_event = reply.last_event_id().or(last_event);
        between(site, number);
    }
    std::thread::sleep(ENDS_LATEST);
    site.ended()
}

/// Kills all VMs, and starts them again.
fn restart_all(site: &mut Site) {
    site.vms.iter_mut().for_each(Vm::kill);
    site.vms.iter_mut().for_each(Vm::restart);
    site.vms.iter().for_each(Vm::wait_ready);
}

/// Guards against forgetting what ended servers as all VMs are lost, once or between all tries.
#[test]
fn a_loss_of_all_vms_forgets_no_ends() {
    for (vms, fatal, losses) in [
        (2, Fatal::BeforeResponse, vec![0]),
        (3, Fatal::MidStream, vec![0]),
        (3, Fatal::MidStream, vec![0, 2, 4]),
        (2, Fatal::EndAtRepeat, vec![1]),
        (5, Fatal::CloseThenEnd(Duration::from_millis(50)), vec![1]),
        (
            2,
            Fatal::CloseThenEnd(Duration::from_millis(50)),
            (0..TRIES).collect(),
        ),
    ] {
        let mut site = Site::start(vms, fatal, usize::MAX);
        let ended = series(&mut site, |site, number| {
            if losses.contains(&number) {
                restart_all(site);
            }
        });
        assert_eq!(ended, MAX_ENDED, "{fatal:?}, losses after {losses:?}");
    }
}

/// Guards against forgetting it at a service where each VM has a queue of its own, and where no stream is resumed.
#[test]
fn a_loss_of_all_vms_forgets_no_ends_on_other_routes() {
    for (service, fatal, losses) in [
        ("other", Fatal::BeforeResponse, vec![0]),
        ("other", Fatal::MidStream, vec![0, 2]),
        ("pool", Fatal::MidStream, vec![1]),
    ] {
        let route = json!({ "attempts": 2, "canResume": false, "service": service });
        let mut site = Site::with_route(3, fatal, usize::MAX, &route);
        let ended = series(&mut site, |site, number| {
            if losses.contains(&number) {
                restart_all(site);
            }
        });
        assert_eq!(ended, MAX_ENDED, "{service}, {fatal:?}");
    }
}

/// Guards against a successor at the address of a stream's server, under a new name, that passes for that server.
#[test]
fn a_successor_at_the_address_of_a_streams_server_is_another_one() {
    for (service, resumable) in [("pool", true), ("pool", false), ("other", true)] {
        for fatal in [Fatal::Replaced, Fatal::MidStreamReplaced] {
            let route = json!({ "attempts": 1, "canResume": resumable, "service": service });
            let mut site = Site::with_route(3, fatal, usize::MAX, &route);
            let ended = series(&mut site, |_, _| {});
            assert_eq!(ended, MAX_ENDED, "{service}, {resumable}, {fatal:?}");
        }
    }
}

/// Guards against forgetting an attempt that is lost with all VMs, before anybody could tell of it.
#[test]
fn an_attempt_that_is_lost_with_all_vms_counts() {
    for vms in [1, 3] {
        let mut site = Site::start(vms, Fatal::EndWithVm, usize::MAX);
        for number in 0..TRIES {
            let all: Vec<_> = (0..vms).collect();
            site.doom(&all);
            let vm = number % vms;
            if turn(&site.vms[vm], "/a/fatal", &format!("r{number}")).status == 0 {
                restart_all(&mut site);
            }
        }
        assert!(site.ended() <= MAX_ENDED, "{} of {vms} VMs", site.ended());
    }
}

/// Guards against records that can't be found, as other partitions of the store are away when they are written and read.
#[test]
fn a_store_that_lacks_partitions_forgets_no_ends() {
    let mut site = Site::start(2, Fatal::BeforeResponse, usize::MAX);
    site.store.set_unavailable_partitions(&[(END_TOPIC, 0)]);
    let ended = series(&mut site, |site, number| {
        if number == 0 {
            site.store.set_unavailable_partitions(&[(END_TOPIC, 2)]);
            restart_all(site);
        }
    });
    assert_eq!(ended, MAX_ENDED);
}

/// Guards against requests that wait for a store which takes no records, and against forgetting what failed meanwhile.
#[test]
fn a_store_that_takes_no_records_delays_no_request_for_long() {
    let mut site = Site::start(3, Fatal::CloseOnly, usize::MAX);
    site.store.refuse_appends(Some(END_TOPIC));
    let started = Instant::now();
    for number in 0..2 {
        turn(&site.vms[number], "/a/fatal", &format!("r{number}"));
    }
    assert!(started.elapsed() < Duration::from_secs(4));
    let count = |site: &Site| site.store.newest_values(END_TOPIC).len();
    let before = count(&site);
    site.store.refuse_appends(None);
    // In a majority of four partitions, by two VMs.
    until("the records are written", || count(&site) >= before + 6);
    restart_all(&mut site);
    until("the VM has the records", || {
        site.vms[0].state()["server_ends"]["requests"] != 0
    });
}

/// Guards against a bound that holds among few VMs only.
#[test]
fn a_loss_of_many_vms_forgets_no_ends() {
    for (vms, fatal) in [(12, Fatal::BeforeResponse), (40, Fatal::MidStream)] {
        let mut site = Site::start(vms, fatal, usize::MAX);
        let ended = series(&mut site, |site, number| {
            if number == 1 {
                restart_all(site);
            }
        });
        assert_eq!(ended, MAX_ENDED, "{vms} VMs, {fatal:?}");
    }
}

/// Guards against forgetting what failed as most VMs are lost, with all that were told.
#[test]
fn a_loss_of_most_vms_forgets_no_ends() {
    const VMS: usize = 7;
    for fatal in [
        Fatal::MidStream,
        Fatal::CloseThenEnd(Duration::from_millis(150)),
    ] {
        let mut site = Site::start(VMS, fatal, usize::MAX);
        let ended = series(&mut site, |site, number| {
            let survivors = [(number + 1) % VMS, (number + 3) % VMS];
            let lost = (0..VMS).filter(|vm| !survivors.contains(vm));
            let lost: Vec<_> = lost.collect();
            for vm in &lost {
                site.vms[*vm].kill();
            }
            for vm in &lost {
                site.vms[*vm].restart();
            }
            for vm in &lost {
                site.vms[*vm].wait_ready();
            }
        });
        assert_eq!(ended, MAX_ENDED, "{fatal:?}");
    }
}
