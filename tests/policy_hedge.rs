//! When a request whose answer is late goes to a second server as well.

use std::time::Duration;
use vanillatrail::policy::hedge::Hedge;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// One answer in twenty never comes. The others take 10 to 30 ms, so that a lost one shows after less
/// than 100 ms, and the budget covers all that are lost.
#[test]
fn a_lost_answer_shows_soon() {
    let mut hedge = Hedge::default();
    for round in 0..200 {
        if round % 20 == 19 {
            let delay = hedge.delay().expect("enough is known");
            assert!(delay < ms(100), "{delay:?}");
            assert!(hedge.spend());
            hedge.answered(delay + ms(20));
        } else {
            hedge.answered(ms(10 + round % 3 * 10));
        }
    }
}

/// All answers get slower, since there is too much to do. What is late moves with what is usual, and
/// what is sent twice stays under a fifth, so that a burst is not made worse.
#[test]
fn overload_is_not_made_worse() {
    let mut hedge = Hedge::default();
    for _ in 0..100 {
        hedge.answered(ms(20));
    }
    let mut twice = 0;
    for round in 0_u64..200 {
        let took = ms(20 + round * 5);
        if hedge.delay().is_some_and(|delay| took > delay) && hedge.spend() {
            twice += 1;
        }
        hedge.answered(took);
    }
    assert!(twice <= 20, "{twice}");
}
