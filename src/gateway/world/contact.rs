//! Finds the other VMs through the store.

use crate::member::List;
use crate::platform::records::CONTACT_TOPIC;
use crate::platform::store::{Keyed, Store};
use crate::settings;
use crate::telemetry::event;
use bytes::Bytes;
use std::time::Duration;
use tokio::time::sleep;

/// The pause before the store is read again: first short, since all VMs may start at once, then
/// rarely, since the membership itself brings news.
const PAUSES: [Duration; 4] = [
    Duration::from_millis(300),
    Duration::from_millis(700),
    Duration::from_secs(2),
    Duration::from_secs(8),
];

/// Writes this VM's address to the store, and passes on those of the others.
pub(crate) async fn run(settings: settings::Gateway, contacts: flume::Sender<List>) {
    let store = Store::new(settings.store.address);
    let mut round = 0;
    let mut written = false;
    loop {
        if !written {
            written = write(&store, &settings).await;
        }
        match store.newest(CONTACT_TOPIC, 0).await {
            Ok(newest) => {
                let values = newest
                    .records
                    .iter()
                    .filter_map(|record| record.value.as_ref());
                let text = values.filter_map(|value| std::str::from_utf8(value).ok());
                let vms = text.filter_map(|text| text.parse().ok()).collect();
                let leaving = Vec::new();
                if contacts.send_async(List { vms, leaving }).await.is_err() {
                    return;
                }
            }
            Err(fault) => event!(debug, "contacts_unread", reason = fault),
        }
        let pause = PAUSES[usize::min(round, PAUSES.len() - 1)];
        round += 1;
        sleep(pause).await;
    }
}

async fn write(store: &Store, settings: &settings::Gateway) -> bool {
    let record = Keyed {
        key: settings.vm.to_string(),
        value: Some(Bytes::from(settings.listen.peers.to_string())),
    };
    let written = store.append(CONTACT_TOPIC, 0, &[record], None).await;
    if let Err(fault) = &written {
        event!(debug, "contact_unwritten", reason = fault);
    }
    written.is_ok()
}
