//! The member view is published whenever it changes.

mod beat;

use beat::announcement;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::{Incarnation, Offset};
use vanillatrail::member::{Action, Gossip, View};

/// Guards against a VM that keeps an old configuration because a peer's newer offset, received in a message header,
/// changes the view but is not reported as a change.
#[test]
fn every_change_of_the_view_is_reported() {
    let announcements = [announcement(0), announcement(1), announcement(2)];
    let seeds: Vec<SocketAddr> = announcements
        .iter()
        .map(|announcement| announcement.address)
        .collect();
    let mut now = Instant::now();
    let mut nodes: Vec<Gossip> = (0..3)
        .map(|index: u16| {
            let announcement = announcements[usize::from(index)].clone();
            Gossip::new(
                now,
                announcement,
                Incarnation(1),
                seeds.clone(),
                u64::from(index),
            )
        })
        .collect();
    let mut published = vec![View::default(); 3];
    let mut complete_views = 0;
    for step in 1..400_u64 {
        now += Duration::from_millis(50);
        if step % 40 == 0 {
            let mut announcement = announcements[0].clone();
            announcement.applied = Offset(step);
            nodes[0].update_local(&announcement);
        }
        let mut pending: Vec<(usize, Action)> = Vec::new();
        for (index, node) in nodes.iter_mut().enumerate() {
            pending.extend(node.tick(now).into_iter().map(|action| (index, action)));
        }
        while let Some((from, action)) = pending.pop() {
            let Action::Send { to, message } = action else {
                continue;
            };
            let target = seeds.iter().position(|seed| *seed == to).expect("a seed");
            let answers = nodes[target].on_message(now, seeds[from], message);
            pending.extend(answers.into_iter().map(|action| (target, action)));
            let changed = nodes[target].view_changed();
            let view = nodes[target].view(now);
            if view != published[target] {
                assert!(changed, "step {step}: vm-{target} has {view:?}");
                complete_views += usize::from(view.members.len() == 3);
                published[target] = view;
            }
        }
    }
    assert!(
        complete_views > 10,
        "only {complete_views} changed views were complete"
    );
    let first = &announcements[0].vm;
    assert!(published[1].members[first].applied >= Offset(320));
}
