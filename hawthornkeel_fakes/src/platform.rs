//! Fake platform that serves a list of instances with a configurable delay.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use monoio::net::TcpListener;
use serde::Deserialize;
use serde::Serialize;

use crate::http1;
use crate::http1::HttpConnection;
use crate::http1::ReceivedRequest;

/// State of an instance in the list.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// Accepts new work.
    #[default]
    Live,
    /// Finishes its work and accepts no new work.
    #[serde(rename = "leaving")]
    Draining,
}

/// Instance in the list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Name.
    pub name: String,
    /// Address.
    pub address: String,
    /// Pool that it belongs to.
    pub pool: String,
    /// Data centre that it runs in.
    pub data_centre: String,
    /// State.
    #[serde(default)]
    pub state: InstanceState,
}

/// List of instances.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Instances.
    pub instances: Vec<Instance>,
    /// Delay until this list and later ones are served, in milliseconds; unchanged where absent.
    #[serde(default, skip_serializing)]
    pub lag_ms: Option<u64>,
}

/// Fake platform; clones share its state.
#[derive(Clone, Default)]
pub struct Platform {
    shared: Rc<RefCell<Shared>>,
}

#[derive(Default)]
struct Shared {
    served: InstanceList,
    /// Lists that are not served yet, with the time from which they are.
    pending: Vec<(Instant, InstanceList)>,
    lag: Duration,
}

impl Platform {
    /// Replaces the list; the new one is served after the delay.
    pub fn set(&self, list: InstanceList) {
        let mut shared = self.shared.borrow_mut();
        if let Some(lag) = list.lag_ms {
            shared.lag = Duration::from_millis(lag);
        }
        let due = Instant::now() + shared.lag;
        shared.pending.push((due, list));
    }

    /// Returns the list that is served now.
    pub fn list(&self) -> InstanceList {
        let mut shared = self.shared.borrow_mut();
        let now = Instant::now();
        let count = shared.pending.iter().take_while(|(due, _)| *due <= now).count();
        let last = shared.pending.drain(..count).next_back();
        if let Some((_, list)) = last {
            shared.served = list;
        }
        shared.served.clone()
    }

    /// Accepts and serves connections until the listener fails.
    pub async fn serve(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let platform = self.clone();
            monoio::spawn(async move {
                // The client reconnects after an error.
                let _ = platform.serve_connection(HttpConnection::new(stream)).await;
            });
        }
    }

    async fn serve_connection(&self, mut connection: HttpConnection) -> io::Result<()> {
        while let Some(request) = connection.read_request().await? {
            let (status, body) = self.handle(&request);
            let id = request.header("x-request-id");
            let echo = match id {
                "" => String::new(),
                _ => format!("x-request-id: {id}\r\n"),
            };
            connection.write(http1::encode_response(status, &echo, &body)).await?;
            if request.wants_close() {
                break;
            }
        }
        Ok(())
    }

    fn handle(&self, request: &ReceivedRequest) -> (u16, Vec<u8>) {
        match (&request.head.method, request.head.uri.path()) {
            (&Method::GET, "/instances") => {
                (200, serde_json::to_vec(&self.list()).unwrap_or_default())
            }
            (&Method::POST, "/instances") => match serde_json::from_slice(&request.body) {
                Ok(list) => {
                    self.set(list);
                    (200, b"{}".to_vec())
                }
                Err(error) => (400, error.to_string().into_bytes()),
            },
            _ => (404, Vec::new()),
        }
    }
}
