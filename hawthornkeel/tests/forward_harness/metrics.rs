//! Metrics of the harness's instances.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;

/// Returns the metrics of an instance, or what was received of them.
pub fn metrics(admin: SocketAddr) -> String {
    let mut page = String::new();
    if let Ok(mut stream) = TcpStream::connect(admin) {
        let request = "GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let _ = stream.write_all(request.as_bytes());
        let _ = stream.read_to_string(&mut page);
    }
    page
}
