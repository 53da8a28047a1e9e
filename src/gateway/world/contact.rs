//! Finds the other VMs through the store.

use crate::clock;
use crate::member::{Introduction, List};
use crate::platform::records::CONTACT_TOPIC;
use crate::platform::store::{Keyed, Store};
use crate::telemetry::event;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// The pause before the store is read again: first short, since all VMs may start at once, then
/// rarely, since the membership itself brings news.
const PAUSES: [Duration; 4] = [
    Duration::from_millis(300),
    Duration::from_millis(700),
    Duration::from_secs(2),
    RENEWAL,
];
/// Time between two writes of this VM's own record. 430 VMs write 14 records a second.
const RENEWAL: Duration = Duration::from_secs(30);
/// How old a record may be whose VM is taken for a member before it has answered: two renewals, one of which
/// may fail. A VM that has gone since is held in suspicion, and dropped some seconds later.
const FRESH: Duration = Duration::from_mins(1);
/// How long a VM that starts may take to know a configuration before it introduces itself all the same. An
/// introduction from before that would have to be corrected by news to everybody.
const SETTLED: Duration = Duration::from_millis(200);

/// What a VM leaves at the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Contact {
    introduction: Introduction,
    /// When it was written, in milliseconds since the Unix epoch.
    written_ms: u64,
}

impl Contact {
    fn is_fresh(&self, now_ms: u64) -> bool {
        u128::from(now_ms.saturating_sub(self.written_ms)) < FRESH.as_millis()
    }
}

/// Leaves this VM's introduction at the store, and passes on those of the others.
pub(crate) async fn run(
    store: SocketAddr,
    mut introduction: watch::Receiver<Option<Introduction>>,
    contacts: flume::Sender<List>,
) {
    let store = Store::new(store);
    let mut round = 0;
    let mut written = false;
    let settled =
        introduction.wait_for(|mine| mine.as_ref().is_some_and(|mine| mine.profile.ready));
    // Where it takes longer, others hear of the rest by news.
    let _ = timeout(SETTLED, settled).await;
    loop {
        let mine = introduction.borrow().clone();
        let due = !written || round >= PAUSES.len();
        if let Some(mine) = mine.filter(|_| due) {
            written = write(&store, mine).await;
        }
        if let Some(list) = read(&store).await
            && contacts.send_async(list).await.is_err()
        {
            return;
        }
        let pause = PAUSES[usize::min(round, PAUSES.len() - 1)];
        round += 1;
        sleep(pause).await;
    }
}

async fn write(store: &Store, introduction: Introduction) -> bool {
    let key = introduction.profile.vm.to_string();
    let contact = Contact {
        introduction,
        written_ms: clock::wall_ms(),
    };
    let value = serde_json::to_vec(&contact).unwrap_or_default();
    let record = Keyed {
        key,
        value: Some(Bytes::from(value)),
    };
    let written = store.append(CONTACT_TOPIC, 0, &[record], None).await;
    if let Err(fault) = &written {
        event!(debug, "contact_unwritten", reason = fault);
    }
    written.is_ok()
}

async fn read(store: &Store) -> Option<List> {
    let newest = match store.newest(CONTACT_TOPIC, 0).await {
        Ok(newest) => newest,
        Err(fault) => {
            event!(debug, "contacts_unread", reason = fault);
            return None;
        }
    };
    let values = newest
        .records
        .iter()
        .filter_map(|record| record.value.as_ref());
    let contacts = values.filter_map(|value| serde_json::from_slice::<Contact>(value).ok());
    let (now_ms, mut list) = (clock::wall_ms(), List::default());
    for contact in contacts {
        list.vms.push(contact.introduction.profile.address);
        if contact.is_fresh(now_ms) {
            list.introductions.push(contact.introduction);
        }
    }
    Some(list)
}
