//! The member view is published whenever it changes.

mod beat;

use beat::announcement;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::{Incarnation, Offset};
use vanillatrail::member::{Action, Gossip, View};

/// A VM can't reach the log and learns from the header of any message that a peer has applied
/// more of the configuration. Its other duties ask for the view only when it is said to have
/// changed; told nothing, they keep to the old configuration for as long as nothing else happens.
#[test]
fn a_view_that_differs_is_said_to_have_changed() {
    let beats = [announcement(0), announcement(1), announcement(2)];
    let seeds: Vec<SocketAddr> = beats.iter().map(|beat| beat.address).collect();
    let mut now = Instant::now();
    let mut nodes: Vec<Gossip> = (0..3)
        .map(|index: u16| {
            let beat = beats[usize::from(index)].clone();
            Gossip::new(now, beat, Incarnation(1), seeds.clone(), u64::from(index))
        })
        .collect();
    let mut published = vec![View::default(); 3];
    let mut seen = 0;
    for step in 1..400_u64 {
        now += Duration::from_millis(50);
        if step % 40 == 0 {
            let mut told = beats[0].clone();
            told.applied = Offset(step);
            nodes[0].update_local(&told);
        }
        let mut wire: Vec<(usize, Action)> = Vec::new();
        for (index, node) in nodes.iter_mut().enumerate() {
            wire.extend(node.tick(now).into_iter().map(|action| (index, action)));
        }
        while let Some((from, action)) = wire.pop() {
            let Action::Send { to, message } = action else {
                continue;
            };
            let target = seeds.iter().position(|seed| *seed == to).expect("a seed");
            let answers = nodes[target].on_message(now, seeds[from], message);
            wire.extend(answers.into_iter().map(|action| (target, action)));
            let changed = nodes[target].view_changed();
            let view = nodes[target].view(now);
            if view != published[target] {
                assert!(changed, "step {step}: vm-{target} has {view:?}");
                seen += usize::from(view.members.len() == 3);
                published[target] = view;
            }
        }
    }
    assert!(seen > 10, "{seen} changes prove little");
    let first = &beats[0].vm;
    assert!(published[1].members[first].applied >= Offset(320));
}
