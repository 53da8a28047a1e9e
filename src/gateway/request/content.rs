//! Identifies a request over the retries of its caller, each of which has a request ID of its own.

use super::job::Job;
use crate::id::ContentHash;
use http::header::HOST;
use std::hash::{Hash, Hasher};
use xxhash_rust::xxh3::Xxh3;

impl Job {
    /// Hash of what stays the same when the caller sends the request again.
    pub(crate) fn content(&self) -> ContentHash {
        *self.content.get_or_init(|| {
            let mut hasher = Xxh3::new();
            self.team_name().hash(&mut hasher);
            self.headers
                .get(HOST)
                .map(http::HeaderValue::as_bytes)
                .hash(&mut hasher);
            self.method.as_str().hash(&mut hasher);
            self.uri
                .path_and_query()
                .map(http::uri::PathAndQuery::as_str)
                .hash(&mut hasher);
            let meta = &self.meta;
            (&meta.program, &meta.session, &meta.prev_turn).hash(&mut hasher);
            (meta.affinity, meta.prompt_tokens, meta.max_tokens).hash(&mut hasher);
            for part in &meta.prompt_parts {
                (part.id, part.tokens).hash(&mut hasher);
            }
            self.input.hash(&mut hasher);
            ContentHash(hasher.finish())
        })
    }
}
