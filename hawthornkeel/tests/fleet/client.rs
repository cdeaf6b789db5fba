//! Blocking requests of callers and operators.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;

use crate::fleet::KEY;
use crate::fleet::TEST_TIMEOUT;

/// Answer to a caller or operator.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status.
    pub status: u16,
    /// Header fields in lower case, one a line.
    pub fields: String,
    /// Body.
    pub body: String,
}

impl HttpResponse {
    /// Returns the value of a field of a refusal.
    pub fn field(&self, name: &str) -> String {
        self.value(name).as_str().unwrap_or_default().to_owned()
    }

    /// Returns what the last stage answered; nothing where the request was refused.
    pub fn result(&self) -> Option<serde_json::Value> {
        (self.status == 200).then(|| self.value("answer"))
    }

    fn value(&self, name: &str) -> serde_json::Value {
        let value: serde_json::Value = serde_json::from_str(&self.body).unwrap_or_default();
        value[name].clone()
    }
}

/// Calls a pipeline at the address of an instance.
pub fn call_at(address: SocketAddr, pipeline: &str, key: &str, body: &str) -> Option<HttpResponse> {
    let key = match key {
        "" => String::new(),
        key => format!("idempotency-key: {key}\r\n"),
    };
    let fields = format!("authorization: Bearer {KEY}\r\n{key}");
    post(address, &format!("/v1/pipelines/{pipeline}"), &fields, body)
}

/// Sends a GET request; nothing is returned where no whole answer came.
pub fn get(address: SocketAddr, path: &str) -> Option<HttpResponse> {
    exchange(address, "GET", path, "", "")
}

/// Sends a POST request; nothing is returned where no whole answer came.
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
