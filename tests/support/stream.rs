//! Streamed answers (server-sent events).

use super::Environment;
use serde_json::Value;
use std::io::{BufRead, BufReader};

/// The events of one streamed answer.
pub struct Stream(std::io::Lines<BufReader<reqwest::blocking::Response>>);

impl Iterator for Stream {
    type Item = (String, Value);

    fn next(&mut self) -> Option<(String, Value)> {
        let (mut event, mut data) = (None, None);
        loop {
            let line = self.0.next()?.ok()?;
            if let Some(name) = line.strip_prefix("event:") {
                event = Some(name.trim().to_owned());
            } else if let Some(text) = line.strip_prefix("data:") {
                data = serde_json::from_str(text).ok();
            } else if line.is_empty()
                && let (Some(event), Some(data)) = (event.take(), data.take())
            {
                return Some((event, data));
            }
        }
    }
}

impl Environment {
    /// Makes a call at a VM with a streamed answer.
    pub fn stream_call(&self, vm: usize, program: &str, body: &Value) -> Stream {
        let url = format!(
            "http://{}/v1/programs/{program}/calls",
            self.vms[vm].callers
        );
        Self::stream(self.http.post(url).body(body.to_string()))
    }

    /// Resumes a streamed answer; `rest` is the call number with the query.
    pub fn stream_rest(&self, vm: usize, program: &str, rest: &str) -> Stream {
        let base = format!("http://{}/v1/programs/{program}", self.vms[vm].callers);
        Self::stream(self.http.get(format!("{base}/calls/{rest}")))
    }

    fn stream(request: reqwest::blocking::RequestBuilder) -> Stream {
        let request = request.header("accept", "text/event-stream");
        let reply = request.send().expect("the VM answers");
        Stream(BufReader::new(reply).lines())
    }
}
