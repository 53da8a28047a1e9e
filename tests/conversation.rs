//! Conversation storage: transcripts, history of a turn, cache, partitions and the outbox of turns to store.

use proptest::prelude::*;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::conversation::{
    Cache, History, Id, Layout, Locations, Outbox, Transcript, Turn, build_prompt,
};

fn id(text: &str) -> Id {
    text.parse().expect("a short text")
}

fn turn(name: &str, prev: Option<&str>, input: &str, output: &str) -> Rc<Turn> {
    Rc::new(Turn {
        id: id(name),
        prev: prev.map(id),
        until_ms: 1000,
        input: input.to_owned().into(),
        output: output.to_owned().into(),
    })
}

fn cache() -> Cache {
    Cache::new(1 << 20, Duration::from_secs(20))
}

/// Event data may span several lines, follow other fields, use either line ending and arrive in pieces of
/// complete events.
#[test]
fn a_transcript_joins_the_data_of_all_events() {
    let mut transcript = Transcript::default();
    transcript.push(b"id: 1\ndata: one\n\nx-weight-versions: 3\nid: 2\ndata:two\ndata: three\n\n");
    transcript.push(b"id: 3\r\ndata:  four\r\n\r\n: data: a comment\n\ndata:\n\n");
    assert_eq!(transcript.finish(), "one\ntwo\nthree\n four\n\n");
}

/// A prompt has the inputs and outputs of all earlier turns, oldest first, and nothing of other branches.
#[test]
fn branches_of_a_conversation_share_their_history() {
    let (now, mut cache) = (Instant::now(), cache());
    cache.insert(now, turn("a", None, "A", "1\n"));
    cache.insert(now, turn("b", Some("a"), "B", "2\n"));
    cache.insert(now, turn("c", Some("a"), "C", "3\n"));
    let prompt_for = |cache: &mut Cache, last| match cache.history(now, &id(last), 100) {
        History::Complete(turns) => build_prompt(&turns, &"new".into()),
        other => panic!("{other:?}"),
    };
    assert_eq!(prompt_for(&mut cache, "b"), "A1\nB2\nnew");
    assert_eq!(prompt_for(&mut cache, "c"), "A1\nC3\nnew");
}

/// If an earlier turn is not cached, the walk returns its id and no partial history.
#[test]
fn a_missing_turn_is_reported() {
    let (now, mut cache) = (Instant::now(), cache());
    cache.insert(now, turn("a", None, "A", "1\n"));
    cache.insert(now, turn("c", Some("b"), "C", "3\n"));
    assert_eq!(cache.history(now, &id("c"), 100), History::Missing(id("b")));
    assert_eq!(cache.history(now, &id("x"), 100), History::Missing(id("x")));
}

/// Callers choose turn ids, so a cycle of empty turns must not loop forever. A history over the byte limit is
/// rejected too.
#[test]
fn a_cyclic_history_is_too_long() {
    let (now, mut cache) = (Instant::now(), cache());
    cache.insert(now, turn("a", Some("b"), "", ""));
    cache.insert(now, turn("b", Some("a"), "", ""));
    assert_eq!(cache.history(now, &id("a"), 1000), History::TooLong);
    cache.insert(now, turn("long", None, "0123456789", ""));
    assert_eq!(cache.history(now, &id("long"), 9), History::TooLong);
}

/// The cache is bounded by bytes and time; a used turn stays together with its history.
#[test]
fn unused_turns_are_evicted() {
    let (now, second) = (Instant::now(), Duration::from_secs(1));
    let mut cache = Cache::new(6, second * 3);
    cache.insert(now, turn("a", None, "A", "1"));
    cache.insert(now + second, turn("b", Some("a"), "B", "2"));
    cache.insert(now + second, turn("x", None, "X", "9"));
    assert!(matches!(
        cache.history(now + second * 2, &id("b"), 100),
        History::Complete(_)
    ));
    cache.insert(now + second * 2, turn("y", None, "Y", "8"));
    assert_eq!((cache.len(), cache.bytes()), (3, 6));
    assert!(cache.get(now + second * 2, &id("x")).is_none());
    cache.expire(now + second * 6);
    assert!(cache.is_empty());
}

/// Pointers to other VMs expire.
#[test]
fn pointers_expire() {
    let (now, second) = (Instant::now(), Duration::from_secs(1));
    let mut pointers = Locations::new(second);
    pointers.set(now, id("a"), "10.0.0.1:1".parse().expect("an address"));
    pointers.expire(now + second * 2);
    assert_eq!(pointers.get(&id("a")), None);
}

/// Each bucket has a partition and different fallback partitions.
#[test]
fn a_bucket_has_fallback_partitions() {
    for partitions in 1..40 {
        let layout = Layout {
            topics: 4,
            partitions,
        };
        let bucket = layout.bucket(&id("t"));
        let others = layout.fallback_partitions(bucket);
        assert!(layout.topic(bucket) < 4 && layout.partition(bucket) < partitions);
        assert!(!others.contains(&layout.partition(bucket)));
        assert!(
            partitions < 4 || others.len() == 3,
            "{partitions}: {others:?}"
        );
    }
}

/// Events of the outbox of one bucket.
#[derive(Debug, Clone)]
enum Event {
    /// A turn ended and is retained until the second value.
    Push(u8, u64),
    /// A write of pending turns starts.
    Write,
    /// The oldest write completes.
    Completed,
    /// The oldest write completes, but its response is lost.
    LostResponse,
    /// The oldest write fails.
    Failed,
}

fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0_u8..12, 1_u64..4).prop_map(|(name, until_ms)| Event::Push(name, until_ms)),
        Just(Event::Write),
        Just(Event::Completed),
        Just(Event::LostResponse),
        Just(Event::Failed),
    ]
}

proptest! {
    /// Writes overlap, fail, complete late or lose their responses. A turn that the outbox no longer lacks is
    /// in the store with the retention that was asked for.
    #[test]
    fn turns_that_are_not_pending_are_stored(events in prop::collection::vec(any_event(), 0..80)) {
        let mut outbox = Outbox::default();
        let mut in_flight: Vec<Vec<Rc<Turn>>> = Vec::new();
        let mut store: BTreeMap<Id, u64> = BTreeMap::new();
        let mut requested: BTreeMap<Id, u64> = BTreeMap::new();
        let store_batch = |store: &mut BTreeMap<Id, u64>, batch: &[Rc<Turn>]| {
            for turn in batch {
                let stored_until = store.entry(turn.id.clone()).or_default();
                *stored_until = turn.until_ms.max(*stored_until);
            }
        };
        for event in events {
            match event {
                Event::Push(name, until_ms) => {
                    let turn = Turn { until_ms, ..(*turn(&format!("t{name}"), None, "i", "o\n")).clone() };
                    let requested_until = requested.entry(turn.id.clone()).or_default();
                    *requested_until = until_ms.max(*requested_until);
                    outbox.push(Rc::new(turn));
                }
                Event::Write => in_flight.push(outbox.batch(4)),
                Event::Completed if !in_flight.is_empty() => {
                    let batch = in_flight.remove(0);
                    store_batch(&mut store, &batch);
                    outbox.mark_recorded(&batch);
                }
                Event::LostResponse if !in_flight.is_empty() => store_batch(&mut store, &in_flight.remove(0)),
                Event::Failed if !in_flight.is_empty() => drop(in_flight.remove(0)),
                Event::Completed | Event::LostResponse | Event::Failed => {}
            }
            for (id, until_ms) in &requested {
                let stored_until = store.get(id).copied().unwrap_or_default();
                prop_assert!(outbox.contains(id) || stored_until >= *until_ms, "{id}");
            }
        }
    }

    /// Decoding rejects truncated records and invalid bytes, and a decoded turn survives a round trip.
    #[test]
    fn invalid_records_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200), cut in 0_usize..60) {
        if let Some(turn) = Turn::decode(&bytes) {
            prop_assert_eq!(Turn::decode(&turn.encode()), Some(turn));
        }
        let encoded = turn("t", Some("s"), "an input", "an output\n").encode();
        let cut = cut.min(encoded.len() - 1);
        prop_assert_eq!(Turn::decode(&encoded[..cut]), None);
    }
}
