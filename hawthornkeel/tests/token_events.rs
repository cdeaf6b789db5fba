//! Streamed answers to callers: tokens that arrive together are sent in one chunk, each as its own
//! event.

use futures_channel::oneshot;
use hawthornkeel::entry::reply::Reply;
use hawthornkeel::entry::reply::TokenEvents;
use hawthornkeel::http::channel::BodyEvent;
use hawthornkeel::http::channel::Receiver;
use hawthornkeel::http::message::Body;
use hawthornkeel_core::ids::RequestId;
use hawthornkeel_fakes::thread;

async fn next(receiver: &mut Receiver) -> String {
    match receiver.next().await {
        BodyEvent::Data(data) => String::from_utf8(data.to_vec()).unwrap(),
        other => panic!("no chunk: {other:?}"),
    }
}

#[test]
fn each_token_is_one_event() {
    thread::block_on(async {
        let (sender, response) = oneshot::channel();
        let reply = Reply::new(RequestId(1), true, sender);
        let mut events = TokenEvents::default();
        events.add("a \"b\"");
        events.add("c\n");
        reply.send_tokens(events).await;
        reply.finish(b"{\"text\":\"ac\"}").await;
        let Body::Stream(mut receiver) = response.await.unwrap().body else { panic!("no stream") };
        let expected = "event: token\ndata: {\"text\":\"a \\\"b\\\"\"}\n\n\
                        event: token\ndata: {\"text\":\"c\\n\"}\n\n";
        assert_eq!(next(&mut receiver).await, expected);
        assert!(next(&mut receiver).await.starts_with("event: answer\ndata: "));
        assert_eq!(receiver.next().await, BodyEvent::End);
    })
    .unwrap();
}

#[test]
fn chunk_size_is_bounded() {
    let mut events = TokenEvents::default();
    let mut tokens = 0;
    while !events.is_full() {
        events.add("word ");
        tokens += 1;
    }
    assert!((50..500).contains(&tokens), "{tokens} tokens in a chunk");
}
