//! Error responses that the gateway produces itself.

use crate::code::{Code, Failure, Ran};
use crate::gateway::request::body::Body;
use crate::platform::headers;
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use std::time::Duration;

/// Builds the response for a failure.
///
/// A status on which callers retry is only used if the request has not run.
pub(crate) fn error_response(id: &str, failure: &Failure) -> Response<Body> {
    let code = failure.code;
    let status = match (failure.ran, code.status()) {
        (Ran::No, status) => status,
        (_, 502 | 504 | 500) => code.status(),
        (_, _) => 502,
    };
    let body = serde_json::to_vec(failure).unwrap_or_default();
    let mut response = Response::new(Body::full(Bytes::from(body)));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if let Some((name, value)) = headers::request_id_header(id) {
        headers.insert(name, value);
    }
    if let Some(retry_after_ms) = failure.retry_after_ms {
        let (name, value) = headers::retry_after(Duration::from_millis(retry_after_ms));
        headers.insert(name, value);
    }
    response
}

/// A failure of a request that a server may have run.
pub(crate) fn outcome_unknown(code: Code, message: &str) -> Failure {
    Failure::refused(code, message).ran(Ran::Unknown)
}
