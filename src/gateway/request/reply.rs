//! Answers of our own.

use crate::code::{Code, Failure, Ran};
use crate::gateway::request::body::Body;
use crate::platform::headers;
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use std::time::Duration;

/// The answer that tells a caller of a failure.
///
/// A status by which callers repeat a request is used only for one that has not run.
pub(crate) fn failure(id: &str, failure: &Failure) -> Response<Body> {
    let code = failure.code;
    let status = match (failure.ran, code.status()) {
        (Ran::No, status) => status,
        (_, 502 | 504 | 500) => code.status(),
        (_, _) => 502,
    };
    let text = serde_json::to_vec(failure).unwrap_or_default();
    let mut reply = Response::new(Body::whole(Bytes::from(text)));
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = reply.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if let Some((name, value)) = headers::request_id_header(id) {
        headers.insert(name, value);
    }
    if let Some(after) = failure.retry_after_ms {
        let (name, value) = headers::retry_after(Duration::from_millis(after));
        headers.insert(name, value);
    }
    reply
}

/// A failure after which the request may have run.
pub(crate) fn unknown(code: Code, message: &str) -> Failure {
    Failure::refused(code, message).ran(Ran::Unknown)
}
