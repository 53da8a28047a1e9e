//! Team limits without I/O: several owners of one limit, and admission of whole programs.

use proptest::prelude::*;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::policy::limit::{Limit, Limiter, MAX_GRANT_DELAY, Share, Tolerance};
use vanillatrail::policy::quota::{Demand, Quota, Request, Verdict};

const WINDOW: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(5);

fn tolerance() -> Tolerance {
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

/// Highest number of requests that limit, burst and tolerance allow in any window.
fn max_requests_per_window(limit: Limit) -> f64 {
    (limit.per_second * WINDOW.as_secs_f64() + limit.burst) * 1.1 + 20.0
}

/// Highest number of requests sent in any window.
fn max_in_any_window(sent: &[Instant]) -> usize {
    let mut sent = sent.to_vec();
    sent.sort();
    let mut last = 0;
    let mut worst = 0;
    for (first, start) in sent.iter().enumerate() {
        while last < sent.len() && sent[last] < *start + WINDOW {
            last += 1;
        }
        worst = worst.max(last - first);
    }
    worst
}

/// Tries to send `wanted` requests now and records when each accepted one is sent.
fn send_wanted(limiter: &mut Limiter, now: Instant, wanted: usize, sent: &mut Vec<Instant>) {
    for _ in 0..wanted {
        if let Ok(wait) = limiter.try_acquire(now, Duration::from_millis(300)) {
            sent.push(now + wait);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Owners that know nothing of earlier grants follow each other. No window exceeds the limit and the
    /// tolerance.
    #[test]
    fn successive_owners_keep_the_limit(
        per_second in 5.0..500.0_f64,
        lifetimes_ms in prop::collection::vec(1000_u64..6000, 1..12),
        demand in prop::collection::vec(0_usize..40, 1..20),
    ) {
        let limit = limit(per_second);
        let (mut now, mut sent) = (Instant::now(), Vec::new());
        let mut step = 0;
        for lifetime_ms in lifetimes_ms {
            let (mut limiter, end) = (Limiter::new(now), now + Duration::from_millis(lifetime_ms));
            while now < end {
                limiter.configure(now, &tolerance(), limit, Share::Whole);
                send_wanted(&mut limiter, now, demand[step / 40 % demand.len()], &mut sent);
                now += STEP;
                step += 1;
            }
            // A granted request may be sent this much later; the next owner starts after that.
            now += MAX_GRANT_DELAY;
        }
        prop_assert!(max_in_any_window(&sent) as f64 <= max_requests_per_window(limit));
    }

    /// Two owners overlap during a takeover with half of the limit each, and a third, cut off with a third of
    /// all VMs, uses its share of the tolerance.
    #[test]
    fn concurrent_owners_keep_the_limit(
        per_second in 5.0..500.0_f64,
        demand in prop::collection::vec(0_usize..40, 1..20),
    ) {
        let limit = limit(per_second);
        let (start, mut sent) = (Instant::now(), Vec::new());
        let shares = [Share::Half, Share::Half, Share::Tolerance(0.3)];
        let mut limiters = shares.map(|share| (Limiter::new(start), share));
        for step in 0..3000_u32 {
            let now = start + STEP * step;
            for (number, (limiter, share)) in limiters.iter_mut().enumerate() {
                limiter.configure(now, &tolerance(), limit, *share);
                let wanted = demand[(step as usize / 40 + number) % demand.len()];
                send_wanted(limiter, now, wanted, &mut sent);
            }
        }
        prop_assert!(max_in_any_window(&sent) as f64 <= max_requests_per_window(limit));
    }
}

/// A lowered limit holds after one window, and a raised limit applies immediately.
#[test]
fn a_lowered_limit_applies_within_one_window() {
    let (start, mut limiter) = (Instant::now(), Limiter::new(Instant::now()));
    let mut sent = Vec::new();
    for step in 0..4000_u32 {
        let now = start + STEP * step;
        let limit = limit(if (1600..3600).contains(&step) {
            40.0
        } else {
            400.0
        });
        limiter.configure(now, &tolerance(), limit, Share::Whole);
        send_wanted(&mut limiter, now, 9, &mut sent);
    }
    let at = |step: u32| start + STEP * step;
    let within = |from: u32, to: u32| {
        let in_span = sent
            .iter()
            .copied()
            .filter(|sent| (at(from)..at(to)).contains(sent));
        in_span.collect::<Vec<_>>()
    };
    assert!(
        max_in_any_window(&within(1600 + 1000, 3600)) as f64
            <= max_requests_per_window(limit(40.0))
    );
    assert!(
        within(3600, 3800).len() >= 200,
        "{}",
        within(3600, 3800).len()
    );
}

/// Sequential requests of one program.
const REQUESTS_PER_PROGRAM: u32 = 24;
/// Time between two requests of a program.
const REQUEST_INTERVAL: Duration = Duration::from_millis(80);

struct Program {
    number: u64,
    sent: u32,
    next: Instant,
    retried: bool,
}

/// Simulates 30 s in which a team starts 7.5 times as many programs as its limit allows, and returns how many
/// complete. A program fails when it is refused twice in a row.
fn completed_programs(by_program: bool) -> u32 {
    let limit = limit(12.0);
    let programs_per_second = (12.0 * 5.0 + 12.0) / 5.0 / f64::from(REQUESTS_PER_PROGRAM);
    let start_interval = Duration::from_secs_f64(1.0 / (programs_per_second * 7.5));
    let start = Instant::now();
    let (mut quota, mut demand) = (Quota::new(start), Demand::default());
    let mut programs: VecDeque<Program> = VecDeque::new();
    let (mut number, mut completed, mut next_start) = (0, 0, start);
    for step in 0..6000_u32 {
        let now = start + STEP * step;
        quota.configure(now, &tolerance(), limit, Share::Whole);
        if next_start <= now {
            next_start += start_interval;
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
            match quota.decide(now, &mut demand, request) {
                Verdict::Granted(wait) => {
                    program.sent += 1;
                    program.retried = false;
                    program.next = now + wait + REQUEST_INTERVAL;
                }
                Verdict::Refused(_) if program.retried => return false,
                Verdict::Refused(retry_after) => {
                    program.retried = true;
                    program.next = now + retry_after;
                }
            }
            completed += u32::from(program.sent == REQUESTS_PER_PROGRAM);
            program.sent < REQUESTS_PER_PROGRAM
        });
    }
    completed
}

/// Under overload, refusing new programs instead of arbitrary requests lets about as many complete as the limit
/// allows.
#[test]
fn refusing_new_programs_lets_started_ones_complete() {
    let (by_request, by_program) = (completed_programs(false), completed_programs(true));
    // 14.4 requests/s for 30 s are enough for 18 programs of 24 requests.
    assert!(by_program >= 13, "{by_program} of 18 programs completed");
    assert!(
        by_program >= by_request * 2,
        "{by_program} programs, {by_request} with refusals by request"
    );
}
