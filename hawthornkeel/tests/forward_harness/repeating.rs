//! Faulty target that writes the refusal of an earlier request before it answers the next one on the
//! same connection.

use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use crate::forward_harness::process::read_request;
use crate::forward_harness::targets::FakeTargets;

/// Faulty target; clones share it.
#[derive(Clone, Default)]
pub struct RepeatingTarget {
    runs: Arc<Mutex<Vec<String>>>,
    /// Whether the refusal names the request that it was for.
    names_request: bool,
}

impl RepeatingTarget {
    /// Starts the target that the fakes hold at `at`.
    pub fn start(fakes: &FakeTargets, at: usize, names_request: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        fakes.lock().unwrap()[at].address = Some(listener.local_addr().unwrap());
        let target = Self { names_request, ..Self::default() };
        let served = target.clone();
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let target = served.clone();
                thread::spawn(move || target.serve(stream));
            }
        });
        target
    }

    /// Returns the identities of the requests that it ran.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().unwrap().clone()
    }

    /// Runs all requests; from the second one on a connection on, a refusal precedes the answer.
    fn serve(&self, mut stream: TcpStream) {
        let mut refusal = None;
        while let Some((head, _)) = read_request(&mut stream) {
            let id = head.lines().find_map(|l| l.strip_prefix("request-id: ")).unwrap_or_default();
            self.runs.lock().unwrap().push(id.to_owned());
            let earlier = refusal.clone().unwrap_or_default();
            let answer = format!(
                "{earlier}HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: s.1\r\n\
                 Content-Length: 2\r\n\r\nok"
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            let name =
                if self.names_request { format!("Request-Id: {id}\r\n") } else { String::new() };
            refusal.get_or_insert(format!(
                "HTTP/1.1 503 Service Unavailable\r\n{name}Not-Executed: 1\r\n\
                 Content-Length: 4\r\n\r\nfull"
            ));
        }
    }
}
