//! The parts that keep conversations: what was said, what leads to a turn, what the store lacks.

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

/// The data of an event may stand in several lines, behind a version or an identity, with either kind
/// of line end, and come in any pieces of whole events.
#[test]
fn what_was_said_is_the_data_of_the_events() {
    let mut transcript = Transcript::default();
    transcript.push(b"id: 1\ndata: one\n\nx-weight-versions: 3\nid: 2\ndata:two\ndata: three\n\n");
    transcript.push(b"id: 3\r\ndata:  four\r\n\r\n: data: a comment\n\ndata:\n\n");
    assert_eq!(transcript.finish(), "one\ntwo\nthree\n four\n\n");
}

/// A server gets all inputs and outputs that lead to the turn, the oldest first; two turns that go on
/// from one see the same beginning and nothing of each other.
#[test]
fn branches_share_their_beginning() {
    let (now, mut cache) = (Instant::now(), cache());
    cache.insert(now, turn("a", None, "A", "1\n"));
    cache.insert(now, turn("b", Some("a"), "B", "2\n"));
    cache.insert(now, turn("c", Some("a"), "C", "3\n"));
    let whole = |cache: &mut Cache, last| match cache.history(now, &id(last), 100) {
        History::Complete(turns) => build_prompt(&turns, &"new".into()),
        other => panic!("{other:?}"),
    };
    assert_eq!(whole(&mut cache, "b"), "A1\nB2\nnew");
    assert_eq!(whole(&mut cache, "c"), "A1\nC3\nnew");
}

/// Where a turn in the middle has left the memory, it is named, so that it can be fetched; nothing is
/// made of what is left.
#[test]
fn a_gap_is_named() {
    let (now, mut cache) = (Instant::now(), cache());
    cache.insert(now, turn("a", None, "A", "1\n"));
    cache.insert(now, turn("c", Some("b"), "C", "3\n"));
    assert_eq!(cache.history(now, &id("c"), 100), History::Missing(id("b")));
    assert_eq!(cache.history(now, &id("x"), 100), History::Missing(id("x")));
}

/// Callers choose the identities. One that names its own turn as the one before, or has said nothing
/// many times, must not keep a VM busy for ever.
#[test]
fn a_circle_is_too_long() {
    let (now, mut cache) = (Instant::now(), cache());
    cache.insert(now, turn("a", Some("b"), "", ""));
    cache.insert(now, turn("b", Some("a"), "", ""));
    assert_eq!(cache.history(now, &id("a"), 1000), History::TooLong);
    cache.insert(now, turn("long", None, "0123456789", ""));
    assert_eq!(cache.history(now, &id("long"), 9), History::TooLong);
}

/// The memory is bounded by bytes and by time; a turn that was of use stays, with all that leads to it.
#[test]
fn what_is_of_no_use_leaves() {
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

/// Hints leave with time, too.
#[test]
fn a_pointer_is_a_hint() {
    let (now, second) = (Instant::now(), Duration::from_secs(1));
    let mut pointers = Locations::new(second);
    pointers.set(now, id("a"), "10.0.0.1:1".parse().expect("an address"));
    pointers.expire(now + second * 2);
    assert_eq!(pointers.get(&id("a")), None);
}

/// Each bucket has a partition, and others for a time in which its own takes nothing.
#[test]
fn a_bucket_has_other_partitions() {
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

/// What happens to a VM's records of one bucket.
#[derive(Debug, Clone)]
enum Event {
    /// A turn ended, kept until then.
    Push(u8, u64),
    /// A write of what is lacking begins.
    Write,
    /// The oldest write under way is done, and the VM hears so.
    Done,
    /// It is done, and the answer is lost.
    Lost,
    /// It fails.
    Failed,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0_u8..12, 1_u64..4).prop_map(|(name, until_ms)| Event::Push(name, until_ms)),
        Just(Event::Write),
        Just(Event::Done),
        Just(Event::Lost),
        Just(Event::Failed),
    ]
}

proptest! {
    /// An answer ends once its turn is no longer lacking. Writes overlap, fail, lose their answers
    /// and are done late; whatever happens, what is not lacking is at the store, for as long as asked.
    #[test]
    fn what_is_not_lacking_is_at_the_store(events in prop::collection::vec(event(), 0..80)) {
        let mut outbox = Outbox::default();
        let mut under_way: Vec<Vec<Rc<Turn>>> = Vec::new();
        let mut store: BTreeMap<Id, u64> = BTreeMap::new();
        let mut asked: BTreeMap<Id, u64> = BTreeMap::new();
        let take = |store: &mut BTreeMap<Id, u64>, batch: &[Rc<Turn>]| {
            for turn in batch {
                let kept = store.entry(turn.id.clone()).or_default();
                *kept = turn.until_ms.max(*kept);
            }
        };
        for event in events {
            match event {
                Event::Push(name, until_ms) => {
                    let turn = Turn { until_ms, ..(*turn(&format!("t{name}"), None, "i", "o\n")).clone() };
                    let longest = asked.entry(turn.id.clone()).or_default();
                    *longest = until_ms.max(*longest);
                    outbox.push(Rc::new(turn));
                }
                Event::Write => under_way.push(outbox.batch(4)),
                Event::Done if !under_way.is_empty() => {
                    let batch = under_way.remove(0);
                    take(&mut store, &batch);
                    outbox.mark_recorded(&batch);
                }
                Event::Lost if !under_way.is_empty() => take(&mut store, &under_way.remove(0)),
                Event::Failed if !under_way.is_empty() => drop(under_way.remove(0)),
                Event::Done | Event::Lost | Event::Failed => {}
            }
            for (id, until_ms) in &asked {
                let kept = store.get(id).copied().unwrap_or_default();
                prop_assert!(outbox.contains(id) || kept >= *until_ms, "{id}");
            }
        }
    }

    /// Whoever else writes to the store: bytes that are no turn's are told from turns, and a turn
    /// comes back as it was.
    #[test]
    fn a_record_is_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200), cut in 0_usize..60) {
        if let Some(turn) = Turn::decode(&bytes) {
            prop_assert_eq!(Turn::decode(&turn.encode()), Some(turn));
        }
        let whole = turn("t", Some("s"), "an input", "an output\n").encode();
        let cut = cut.min(whole.len() - 1);
        prop_assert_eq!(Turn::decode(&whole[..cut]), None);
    }
}
