//! Incomplete responses and invalid status codes end as broken exchanges.
//!
//! Guards against partial bodies that are returned as complete because the failed write of the
//! request consumed the reset, and against statuses outside 100 to 599.

#![allow(clippy::unwrap_used)]

mod cut_target;

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use hawthornkeel::forward::exchange_error::ExchangeError;
use hawthornkeel::forward::http_client::HttpClient;
use hawthornkeel::forward::http_client::OutgoingRequest;
use hawthornkeel::forward::internal_request;
use hawthornkeel::forward::internal_request::InternalRequest;
use hawthornkeel::forward::list_reader::ListError;
use hawthornkeel::forward::list_reader::ListLimits;
use hawthornkeel::forward::list_reader::read_list;
use hawthornkeel::forward::response_memory::ResponseMemory;
use hawthornkeel::runtime;
use hawthornkeel::target::call::Call;
use hawthornkeel::target::client::Client;
use hawthornkeel::target::client::ClientLimits;
use hawthornkeel::target::error::CallError;
use rstest::rstest;

use crate::cut_target::Answer;
use crate::cut_target::Close;
use crate::cut_target::CutTarget;

const LIMIT: Duration = Duration::from_secs(5);
/// Size of an upload that socket buffers can't hold.
const UPLOAD_BYTES: usize = 24 << 20;
/// Exchanges of each case. The client may see the response or the failed write first, and picks one
/// at random if both are there.
const ROUNDS: usize = 16;
const BODY: &str = "{\"next\": null}";

/// How a target ends its connection within the upload.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// By an orderly end of its own direction; it reads no more.
    Shutdown,
    /// By a reset, as it leaves bytes unread.
    Reset,
}

/// Length of a complete body; or what an exchange ended with, and whether it is anything else than a
/// broken exchange whose outcome is unknown.
type Got = Result<usize, (bool, String)>;

fn forward_error(error: &ExchangeError) -> (bool, String) {
    (error.is_not_run() || !error.is_broken_off(), error.to_string())
}

fn own_error(error: &CallError) -> (bool, String) {
    (error.is_not_run(), error.to_string())
}

async fn forward_exchange(address: SocketAddr, reader: &str, body: &Bytes) -> Got {
    let client = HttpClient::new("request-id", ResponseMemory::new(1 << 20));
    let deadline = Instant::now() + LIMIT;
    let result = async {
        if matches!(reader, "pieces" | "report") {
            let body = (reader == "pieces").then_some(&body[..]);
            let request = InternalRequest { address, path: "/", body, fields: &[], deadline };
            return internal_request::send(&client, &request).await.map(|r| r.body.len());
        }
        let head = format!("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n", body.len());
        let mut data = BytesMut::from(head.as_bytes());
        data.extend_from_slice(body);
        let (data, retryable) = (data.freeze(), reader != "once");
        let request = OutgoingRequest { data, id: None, bodiless: false, retryable };
        let mut response = client.send(address, &request, deadline).await?;
        if reader != "stream" {
            return response.read_to_end(deadline).await.map(|body| body.len());
        }
        let mut length = 0;
        while let Some(chunk) = response.chunk(deadline).await? {
            length += chunk.len();
        }
        Ok(length)
    };
    result.await.map_err(|e: ExchangeError| forward_error(&e))
}

async fn exchange(address: SocketAddr, reader: &str, body: &Bytes) -> Got {
    match reader {
        "list" => {
            let client = HttpClient::default();
            match read_list(&client, address, &ListLimits::default()).await {
                Ok(_) => Ok(0),
                Err(ListError::Exchange(error)) => Err(forward_error(&error)),
                Err(error) => Err((true, error.to_string())),
            }
        }
        "own" => {
            let client = Client::new(ClientLimits::default());
            let body = body.clone();
            let call = Call { timeout: LIMIT, progress_timeout: LIMIT, body, ..Call::default() };
            let response = client.call(address, &call).await;
            response.map(|r| r.body.len()).map_err(|e| own_error(&e))
        }
        _ => forward_exchange(address, reader, body).await,
    }
}

/// Target that reads a part of an upload, waits for a signal, and answers without reading the rest.
struct EarlyTarget {
    address: SocketAddr,
    begun: Receiver<()>,
    answer: Sender<()>,
    answered: Receiver<()>,
    /// Ends the thread with the connection.
    _end: Sender<()>,
}

impl EarlyTarget {
    fn start(response: String, end: End) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (begin, begun) = mpsc::channel();
        let (answer, asked) = mpsc::channel();
        let (done, answered) = mpsc::channel();
        let (_end, ended) = mpsc::channel::<()>();
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            stream.read_exact(&mut [0; 1024]).unwrap();
            begin.send(()).unwrap();
            if asked.recv().is_err() {
                return;
            }
            stream.write_all(response.as_bytes()).unwrap();
            let kept = end_within(stream, end);
            let _ = done.send(());
            let _ = ended.recv();
            drop(kept);
        });
        Self { address, begun, answer, answered, _end }
    }

    /// Lets the target answer once the client's write is blocked; the client's thread doesn't run
    /// before the connection has ended, so both the response and the end are there at once.
    async fn answer_within_upload(&self) {
        while self.begun.try_recv().is_err() {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        monoio::time::sleep(Duration::from_millis(1)).await;
        self.answer.send(()).unwrap();
        self.answered.recv().unwrap();
        std::future::pending().await
    }
}

fn end_within(stream: TcpStream, end: End) -> Option<TcpStream> {
    match end {
        End::Shutdown => {
            stream.shutdown(Shutdown::Write).unwrap();
            Some(stream)
        }
        End::Reset => None,
    }
}

fn early_exchange(reader: &str, fields: &str, end: End) -> Got {
    let response = format!("HTTP/1.1 200 OK\r\n{fields}\r\n{BODY}");
    let target = EarlyTarget::start(response, end);
    let body = Bytes::from(vec![b'x'; UPLOAD_BYTES]);
    runtime::block_on(async move {
        monoio::select! {
            biased;
            got = exchange(target.address, reader, &body) => got,
            () = target.answer_within_upload() => Ok(0),
        }
    })
    .unwrap()
}

/// A partial body was returned as complete, as its end was taken from the end of the connection.
#[rstest]
fn early_responses_without_length(
    #[values("whole", "once", "stream", "pieces", "own")] reader: &str,
    #[values("", "Not-Executed: 1\r\n")] fields: &str,
    #[values(End::Shutdown, End::Reset)] end: End,
) {
    // The pipeline's client reads no response before it has written its request.
    if (reader, end) == ("own", End::Shutdown) {
        return;
    }
    for round in 0..if end == End::Reset { ROUNDS } else { 1 } {
        let got = early_exchange(reader, fields, end);
        assert!(matches!(got, Err((false, _))), "round {round}: {got:?}");
    }
}

/// A response whose framing tells its end is complete although its request was not read.
#[rstest]
fn early_responses_with_end(
    #[values("whole", "once", "stream", "pieces")] reader: &str,
    #[values("Content-Length: 14\r\n", "Content-Length: 7\r\n")] fields: &str,
) {
    let got = early_exchange(reader, fields, End::Shutdown);
    let length = if fields.contains("14") { 14 } else { 7 };
    assert_eq!(got, Ok(length));
}

/// A status that is no response's was passed on, or left open whether the request had run.
#[rstest]
fn statuses(
    #[values("whole", "once", "stream", "pieces", "report", "list", "own")] reader: &str,
    #[values("000", "099", "99", "1000", "600", "999", "101", "200", "100 A\r\n\r\nHTTP/1.1 200")]
    status: &'static str,
) {
    let id = "X-Request-Id: 00000000000000000000000000000000/0/0";
    let bytes =
        format!("HTTP/1.1 {status} A\r\n{id}\r\nContent-Length: {}\r\n\r\n{BODY}", BODY.len());
    // What follows an unrequested change of the protocol must not be taken for the response.
    let bytes = if status == "101" {
        format!("HTTP/1.1 101 A\r\n\r\n{}", bytes.replace("101", "200"))
    } else {
        bytes
    };
    let target = CutTarget::start(move |_, _| Answer {
        bytes: bytes.clone().into_bytes(),
        close: Some(Close::End),
    });
    let got = runtime::block_on(exchange(target.address, reader, &Bytes::from("{}"))).unwrap();
    match status.ends_with("200") {
        // The list's page has no targets, which is an error of its own.
        true if reader == "list" => assert!(!matches!(got, Err((false, _))), "{got:?}"),
        true => assert_eq!(got, Ok(BODY.len())),
        false => assert!(matches!(got, Err((false, _))), "{got:?}"),
    }
}
