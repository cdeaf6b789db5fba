//! Blocking HTTP requests of callers and operators.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;

use crate::fleet::KEY;
use crate::fleet::TEST_TIMEOUT;

/// HTTP response to a caller or operator.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Header fields in lower case, one per line.
    pub fields: String,
    /// Body.
    pub body: String,
}

impl HttpResponse {
    /// Returns a text field of a problem document, empty where it is absent.
    pub fn field(&self, name: &str) -> String {
        self.json_field(name).as_str().unwrap_or_default().to_owned()
    }

    /// Returns the last stage's result; `None` where the request failed.
    pub fn result(&self) -> Option<serde_json::Value> {
        (self.status == 200).then(|| self.json_field("answer"))
    }

    fn json_field(&self, name: &str) -> serde_json::Value {
        let value: serde_json::Value = serde_json::from_str(&self.body).unwrap_or_default();
        value[name].clone()
    }
}

/// Calls a pipeline of the instance at `address`; an empty key sends no idempotency key.
pub fn call_at(address: SocketAddr, pipeline: &str, key: &str, body: &str) -> Option<HttpResponse> {
    let key = match key {
        "" => String::new(),
        key => format!("idempotency-key: {key}\r\n"),
    };
    let fields = format!("authorization: Bearer {KEY}\r\n{key}");
    post(address, &format!("/v1/pipelines/{pipeline}"), &fields, body)
}

/// Sends a GET request; returns `None` without a complete response.
pub fn get(address: SocketAddr, path: &str) -> Option<HttpResponse> {
    exchange(address, "GET", path, "", "")
}

/// Sends a POST request; returns `None` without a complete response.
pub fn post(address: SocketAddr, path: &str, fields: &str, body: &str) -> Option<HttpResponse> {
    exchange(address, "POST", path, fields, body)
}

fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    fields: &str,
    body: &str,
) -> Option<HttpResponse> {
    let mut stream = TcpStream::connect_timeout(&address, TEST_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n{fields}\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let fields = head.split_once("\r\n").map_or("", |(_, fields)| fields).to_lowercase();
    Some(HttpResponse { status, fields, body: body.to_owned() })
}
