//! The partitions of the fake store, and how it answers requests for them.

use super::{Request, response};
use serde_json::json;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// All partitions by topic and number.
pub type Partitions = Mutex<HashMap<(String, u64), Partition>>;

#[derive(Debug, Default)]
pub struct Partition {
    pub records: Vec<Vec<u8>>,
    /// Epoch and next sequence number of each producer.
    writers: HashMap<String, (u64, u64)>,
    /// Keys whose records have expired: reads of the newest records leave them out.
    pub expired: HashSet<String>,
}

/// Most records in one answer with the newest records, and about the most bytes of their values.
const MAX_PAGE_ITEMS: usize = 500;
const MAX_PAGE_BYTES: usize = 1 << 20;

/// Decodes a value of a query.
fn decode_query(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'+' => b' ',
            b'%' => {
                let digits: String = rest.by_ref().take(2).map(char::from).collect();
                u8::from_str_radix(&digits, 16).expect("two hexadecimal digits")
            }
            byte => byte,
        });
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Newest value and offset of each key, without tombstones.
pub fn newest_records(records: &[Vec<u8>]) -> BTreeMap<String, (Vec<u8>, usize)> {
    let mut newest = BTreeMap::new();
    for (offset, record) in records.iter().enumerate() {
        let size = usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..=size]).into_owned();
        let value = record[1 + size..].to_vec();
        if value.is_empty() {
            newest.remove(&key);
        } else {
            newest.insert(key, (value, offset));
        }
    }
    newest
}

/// Answers a request that no fault keeps from the partitions.
pub fn serve(partitions: &Partitions, request: &Request) -> Vec<u8> {
    let topic = request.query("topic").unwrap_or_default().to_owned();
    let key = (topic, request.query_number("part"));
    let path = request
        .target
        .split('?')
        .next()
        .unwrap_or_default()
        .to_owned();
    match path.as_str() {
        "/log-append" => append(partitions, key, request),
        "/log-newest" => {
            let partitions = partitions.lock().expect("not poisoned");
            let records = partitions
                .get(&key)
                .map_or(&[][..], |partition| &partition.records);
            let expired = partitions.get(&key).map(|partition| &partition.expired);
            let after = request.query("after").map(decode_query);
            let mut newest = newest_records(records)
                .into_iter()
                .filter(|(key, _)| expired.is_none_or(|expired| !expired.contains(key)))
                .filter(|(key, _)| after.as_ref().is_none_or(|after| key > after))
                .peekable();
            let (mut items, mut bytes) = (Vec::new(), 0);
            while let Some((key, (value, offset))) =
                newest.next_if(|_| items.len() < MAX_PAGE_ITEMS && bytes < MAX_PAGE_BYTES)
            {
                bytes += value.len();
                let value =
                    base64::Engine::encode(&base64::engine::general_purpose::STANDARD, value);
                items.push(json!({ "key": key, "value": value, "offset": offset }));
            }
            let truncated = newest.peek().is_some();
            let body = json!({ "items": items, "truncated": truncated, "end": records.len() });
            response("200 OK", body.to_string().as_bytes())
        }
        "/log-read" => read(partitions, &key, request),
        _ => response("404 Not Found", b"{}"),
    }
}

fn append(partitions: &Partitions, key: (String, u64), request: &Request) -> Vec<u8> {
    let mut partitions = partitions.lock().expect("not poisoned");
    let partition = partitions.entry(key).or_default();
    let end = partition.records.len() as u64;
    if request.query("asOf").is_some() && request.query_number("asOf") != end {
        return response("412 Precondition Failed", br#"{"end":0}"#);
    }
    if let Some(writer) = request.query("producer") {
        let (epoch, sequence) = (request.query_number("epoch"), request.query_number("seq"));
        let known = partition
            .writers
            .entry(writer.to_owned())
            .or_insert((epoch, sequence));
        if epoch < known.0 {
            return response("409 Conflict", br#"{"why":"fenced"}"#);
        }
        if epoch > known.0 {
            *known = (epoch, sequence);
        } else if sequence < known.1 {
            return response("200 OK", br#"{"offset":0,"end":0}"#);
        }
        if !request.body.is_empty() {
            known.1 = sequence + 1;
        }
    }
    let mut rest = &*request.body;
    while let Some((size, tail)) = rest.split_at_checked(4) {
        let size = u32::from_be_bytes(size.try_into().expect("four bytes")) as usize;
        partition.records.push(tail[..size].to_vec());
        rest = &tail[size..];
    }
    response("200 OK", br#"{"offset":0,"end":0}"#)
}

fn read(partitions: &Partitions, key: &(String, u64), request: &Request) -> Vec<u8> {
    let from = usize::try_from(request.query_number("from")).expect("small");
    let until = Instant::now() + Duration::from_millis(request.query_number("waitMs"));
    loop {
        {
            let partitions = partitions.lock().expect("not poisoned");
            let records = partitions
                .get(key)
                .map_or(&[][..], |partition| &partition.records);
            if records.len() > from || Instant::now() >= until {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    let size = u32::try_from(record.len()).expect("small");
                    body.extend_from_slice(&size.to_be_bytes());
                    body.extend_from_slice(record);
                }
                return response("200 OK", &body);
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}
