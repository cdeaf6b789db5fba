//! Calls and streams to the built-in target.

use std::net::SocketAddr;

use bytes::Bytes;
use hawthornkeel::http::server::Limits;
use hawthornkeel::http::server::Server;
use hawthornkeel::target::builtin;
use hawthornkeel::target::call::Call;
use hawthornkeel::target::client::Client;
use hawthornkeel::target::client::ClientLimits;
use hawthornkeel::target::completion::COMPLETIONS;
use hawthornkeel::target::completion::Completion;
use hawthornkeel::target::stream::Event;
use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::ids::RequestId;
use monoio::LegacyDriver;
use monoio::RuntimeBuilder;

fn run(test: impl Future<Output = ()>) {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap();
    runtime.block_on(test);
}

fn start() -> SocketAddr {
    let server = Server::bind("127.0.0.1:0".parse().unwrap(), Limits::default()).unwrap();
    let address = server.address();
    monoio::spawn(server.serve(builtin::handle));
    address
}

fn call(number: u128) -> Call {
    let id = CallId { request: RequestId(number), ..CallId::default() };
    Call { id, ..Call::default() }
}

async fn read_text(client: &Client, address: SocketAddr, call: &Call) -> String {
    let mut stream = client.stream(address, call).await.unwrap();
    let mut text = String::new();
    while let Event::Token { offset, text: piece } = stream.next().await.unwrap() {
        assert_eq!(offset, call.resume_offset + text.len() as u64);
        text.push_str(&piece);
    }
    text
}

#[test]
fn service_returns_whole_response() {
    run(async {
        let address = start();
        let client = Client::new(ClientLimits::default());
        for number in 0..3 {
            let body = Bytes::from(format!("{{\"number\":{number}}}"));
            let call = Call { path: "/rank".to_owned(), body, ..call(number) };
            let response = client.call(address, &call).await.unwrap();
            let expected = format!("{{\"service\":\"/rank\",\"input\":{{\"number\":{number}}}}}");
            assert_eq!(response.body, expected);
        }
    });
}

#[test]
fn stream_resumes_from_offset() {
    run(async {
        let address = start();
        let client = Client::new(ClientLimits::default());
        let body = Completion { prompt: "check the stability notes", ..Completion::default() };
        let whole = Call { path: COMPLETIONS.to_owned(), body: body.to_bytes(), ..call(1) };
        let text = read_text(&client, address, &whole).await;
        assert_eq!(text, "Answer to: check the stability notes ");
        for offset in [1, 7, 20] {
            let rest = Call { resume_offset: offset as u64, ..whole.clone() };
            assert_eq!(read_text(&client, address, &rest).await, text[offset..]);
        }
    });
}
