//! Stand-in of the platform's list of instances, which lags.

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
    /// It takes work.
    #[default]
    Live,
    /// It finishes its work and takes no more.
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
    /// Lag with which this list and later ones show, in milliseconds; unchanged where absent.
    #[serde(default, skip_serializing)]
    pub lag_ms: Option<u64>,
}

/// Stand-in platform; clones share it.
#[derive(Clone, Default)]
pub struct Platform {
    shared: Rc<RefCell<Shared>>,
}

#[derive(Default)]
struct Shared {
    shown: InstanceList,
    /// Lists that don't show yet, with the time from which they do.
    pending: Vec<(Instant, InstanceList)>,
    lag: Duration,
}

impl Platform {
    /// Replaces the list; it shows after the lag.
    pub fn set(&self, list: InstanceList) {
        let mut shared = self.shared.borrow_mut();
        if let Some(lag) = list.lag_ms {
            shared.lag = Duration::from_millis(lag);
        }
        let from = Instant::now() + shared.lag;
        shared.pending.push((from, list));
    }

    /// Returns the list as it shows now.
    pub fn list(&self) -> InstanceList {
        let mut shared = self.shared.borrow_mut();
        let now = Instant::now();
        let due = shared.pending.iter().take_while(|(from, _)| *from <= now).count();
        let last = shared.pending.drain(..due).next_back();
        if let Some((_, list)) = last {
            shared.shown = list;
        }
        shared.shown.clone()
    }

    /// Accepts and serves for good.
    pub async fn serve(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let platform = self.clone();
            monoio::spawn(async move {
                // A connection that breaks is the other end's to open again.
                let _ = platform.connection(HttpConnection::new(stream)).await;
            });
        }
    }

    async fn connection(&self, mut wire: HttpConnection) -> io::Result<()> {
        while let Some(request) = wire.read_request().await? {
            let (status, body) = self.answer(&request);
            let id = request.header("x-request-id");
            let echo = match id {
                "" => String::new(),
                _ => format!("x-request-id: {id}\r\n"),
            };
            wire.write(http1::encode_response(status, &echo, &body)).await?;
            if request.wants_close() {
                break;
            }
        }
        Ok(())
    }

    fn answer(&self, request: &ReceivedRequest) -> (u16, Vec<u8>) {
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
