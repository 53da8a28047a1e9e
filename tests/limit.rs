//! The limits of teams, without I/O: what counters that know nothing of each other grant together, and what a
//! limit is spent on.

use proptest::prelude::*;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::policy::limit::{Limit, Limiter, MAX_GRANT_DELAY, Share, Tolerance};
use vanillatrail::policy::quota::{Demand, Quota, Request, Verdict};

const WINDOW: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(5);

fn bound() -> Tolerance {
    Tolerance {
        window: WINDOW,
        excess: 0.1,
        slack: 20.0,
    }
}

fn limit(per_second: f64) -> Limit {
    Limit {
        per_second,
        burst: per_second,
    }
}

/// The most that a team may send in any window.
fn most(limit: Limit) -> f64 {
    (limit.per_second * WINDOW.as_secs_f64() + limit.burst) * 1.1 + 20.0
}

/// The most that was sent within any window.
fn busiest(sent: &[Instant]) -> usize {
    let mut sent = sent.to_vec();
    sent.sort();
    let mut last = 0;
    let mut worst = 0;
    for (first, begin) in sent.iter().enumerate() {
        while last < sent.len() && sent[last] < *begin + WINDOW {
            last += 1;
        }
        worst = worst.max(last - first);
    }
    worst
}

/// A counter that is asked for `wanted` requests at each step.
fn drain(meter: &mut Limiter, now: Instant, wanted: usize, sent: &mut Vec<Instant>) {
    for _ in 0..wanted {
        if let Ok(wait) = meter.try_acquire(now, Duration::from_millis(300)) {
            sent.push(now + wait);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// The VM that counts a team is lost again and again, and each that follows knows nothing of what was granted.
    /// No window has more than the limit and the tolerance.
    #[test]
    fn counters_that_follow_each_other_keep_the_bound(
        per_second in 5.0..500.0_f64,
        lives in prop::collection::vec(1000_u64..6000, 1..12),
        demand in prop::collection::vec(0_usize..40, 1..20),
    ) {
        let limit = limit(per_second);
        let (mut now, mut sent) = (Instant::now(), Vec::new());
        let mut step = 0;
        for life in lives {
            let (mut meter, end) = (Limiter::new(now), now + Duration::from_millis(life));
            while now < end {
                meter.configure(now, &bound(), limit, Share::Whole);
                drain(&mut meter, now, demand[step / 40 % demand.len()], &mut sent);
                now += STEP;
                step += 1;
            }
            // The next one begins no sooner after the last grant.
            now += MAX_GRANT_DELAY;
        }
        prop_assert!(busiest(&sent) as f64 <= most(limit));
    }

    /// A counter may live on while another one has taken over: each grants half. A third one, cut off from both
    /// with a third of all VMs, grants its part of the tolerance.
    #[test]
    fn counters_beside_each_other_keep_the_bound(
        per_second in 5.0..500.0_f64,
        demand in prop::collection::vec(0_usize..40, 1..20),
    ) {
        let limit = limit(per_second);
        let (begun, mut sent) = (Instant::now(), Vec::new());
        let shares = [Share::Half, Share::Half, Share::Tolerance(0.3)];
        let mut meters = shares.map(|share| (Limiter::new(begun), share));
        for step in 0..3000_u32 {
            let now = begun + STEP * step;
            for (number, (meter, share)) in meters.iter_mut().enumerate() {
                meter.configure(now, &bound(), limit, *share);
                let wanted = demand[(step as usize / 40 + number) % demand.len()];
                drain(meter, now, wanted, &mut sent);
            }
        }
        prop_assert!(busiest(&sent) as f64 <= most(limit));
    }
}

/// Operators lower a limit to a tenth while the team sends all it may. One window later no more goes than the new
/// limit allows; when it is raised again, more goes at once.
#[test]
fn a_lowered_limit_binds_within_a_window() {
    let (begun, mut meter) = (Instant::now(), Limiter::new(Instant::now()));
    let mut sent = Vec::new();
    for step in 0..4000_u32 {
        let now = begun + STEP * step;
        let limit = limit(if (1600..3600).contains(&step) {
            40.0
        } else {
            400.0
        });
        meter.configure(now, &bound(), limit, Share::Whole);
        drain(&mut meter, now, 9, &mut sent);
    }
    let at = |step: u32| begun + STEP * step;
    let within = |from: u32, to: u32| {
        let of_span = sent
            .iter()
            .copied()
            .filter(|sent| (at(from)..at(to)).contains(sent));
        of_span.collect::<Vec<_>>()
    };
    assert!(busiest(&within(1600 + 1000, 3600)) as f64 <= most(limit(40.0)));
    assert!(
        within(3600, 3800).len() >= 200,
        "{}",
        within(3600, 3800).len()
    );
}

/// Requests of one program of the replay, one after the other.
const REQUESTS: u32 = 24;
/// Time between two of them.
const PACE: Duration = Duration::from_millis(80);

/// A program of the replay.
struct Program {
    number: u64,
    sent: u32,
    next: Instant,
    retried: bool,
}

/// Plays a team that begins 7.5 times as many programs as its limit carries, for 30 s; gives how many ended
/// whole. A program that is refused twice in a row fails.
fn replay(by_program: bool) -> u32 {
    let limit = limit(12.0);
    let carried = (12.0 * 5.0 + 12.0) / 5.0 / f64::from(REQUESTS);
    let gap = Duration::from_secs_f64(1.0 / (carried * 7.5));
    let begun = Instant::now();
    let (mut quota, mut needs) = (Quota::new(begun), Demand::default());
    let mut programs: VecDeque<Program> = VecDeque::new();
    let (mut number, mut ended, mut due) = (0, 0, begun);
    for step in 0..6000_u32 {
        let now = begun + STEP * step;
        quota.configure(now, &bound(), limit, Share::Whole);
        if due <= now {
            due += gap;
            number += 1;
            programs.push_back(Program {
                number,
                sent: 0,
                next: now,
                retried: false,
            });
        }
        programs.retain_mut(|program| {
            if program.next > now {
                return true;
            }
            let request = Request {
                program: by_program.then_some(program.number),
                class: by_program.then_some(1),
                max_wait: Duration::from_millis(700),
            };
            match quota.decide(now, &mut needs, request) {
                Verdict::Granted(wait) => {
                    program.sent += 1;
                    program.retried = false;
                    program.next = now + wait + PACE;
                }
                Verdict::Refused(_) if program.retried => return false,
                Verdict::Refused(back) => {
                    program.retried = true;
                    program.next = now + back;
                }
            }
            ended += u32::from(program.sent == REQUESTS);
            program.sent < REQUESTS
        });
    }
    ended
}

/// A team begins 7.5 times as many programs as its limit carries. Refusing whichever request comes over the limit
/// breaks nearly all of them; refusing new programs lets as many end as the limit carries.
#[test]
fn a_limit_is_spent_on_whole_programs() {
    let (by_request, by_program) = (replay(false), replay(true));
    // 14.4 requests a second for 30 s are 18 programs of 24.
    assert!(by_program >= 13, "{by_program} programs of 18 ended");
    assert!(
        by_program >= by_request * 2,
        "{by_program} against {by_request}"
    );
}
