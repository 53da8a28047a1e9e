//! Reads copies of the configuration and the directory from other VMs.

use crate::gateway::world::snapshot;
use crate::gateway::world::sources::Sources;
use crate::gateway::world::state::World;
use crate::platform::store::Store;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Time between two looks at whether copies are needed, by a VM that can't route yet and by one that can.
const COPIES_PERIOD: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(1));
/// How much longer than a read waits the store may be silent before copies of the configuration are read.
const SILENT: Duration = Duration::from_millis(500);

/// Reads copies while the originals can't be read: anything where nothing is known yet, and later a
/// configuration that others have applied and this VM has not.
///
/// Members tell each other the newest version that anybody has, so that nobody asks for what is not there. When
/// 300 VMs without the store asked three others each four times a second, they sent each other 0.4 GB in 2 s.
pub(super) async fn follow(sources: &Sources, worlds: &watch::Sender<World>) {
    let store = Store::new(sources.store);
    let mut period = COPIES_PERIOD.0;
    loop {
        sleep(period).await;
        let (complete, behind) = {
            let world = worlds.borrow();
            let silent = sources.config_wait() + SILENT;
            let silent = world.heard.is_none_or(|heard| heard.elapsed() > silent);
            (world.is_complete(), silent && sources.is_behind(&world))
        };
        period = if complete {
            COPIES_PERIOD.1
        } else {
            COPIES_PERIOD.0
        };
        if complete && !behind {
            continue;
        }
        let members = sources.addresses();
        let (mut snapshot, mut from) = (snapshot::from_peers(&members).await, "peer");
        if snapshot.is_none() && !complete {
            (snapshot, from) = (snapshot::from_store(&store).await, "copy");
        }
        if let Some(snapshot) = snapshot {
            worlds.send_if_modified(|world| world.learn_copy(snapshot, from));
        }
    }
}
