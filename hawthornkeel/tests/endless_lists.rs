//! Platforms whose list of targets has no end: the list in use stays, and reading it is bounded.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel::forward::http_client::HttpClient;
use hawthornkeel::forward::list_reader::ListError;
use hawthornkeel::forward::list_reader::ListLimits;
use hawthornkeel::forward::list_reader::ListReading;
use hawthornkeel::forward::list_reader::read_list;
use hawthornkeel_fakes::thread;
use rstest::rstest;

const LIMITS: ListLimits = ListLimits {
    max_pages: 20,
    max_bytes: 1 << 20,
    page_timeout: Duration::from_millis(500),
    timeout: Duration::from_millis(800),
};

/// Returns a page with one target, the token of the next page and a field of `padding` bytes.
fn page(number: usize, next: Option<&str>, padding: usize) -> String {
    let next = next.map_or("null".to_owned(), |n| format!("\"{n}\""));
    let padding = "x".repeat(padding);
    format!(
        r#"{{"instances":[{{"identifier":"i-{number}","service":"ledger","address":"10.0.0.1:1",
        "zone":"a","slots":1,"state":"ready"}}],"next":{next},"padding":"{padding}"}}"#
    )
}

/// Serves a list whose page with a number is what `content` returns after `delay`.
fn serve(
    delay: Duration,
    content: impl Fn(usize) -> String + Send + 'static,
) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let served = Arc::<AtomicUsize>::default();
    let count = Arc::clone(&served);
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let number = count.fetch_add(1, Ordering::SeqCst);
            let mut request = [0; 4096];
            let _ = stream.read(&mut request);
            std::thread::sleep(delay);
            let body = content(number);
            let length = body.len();
            let head =
                format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n");
            let _ = stream.write_all(head.as_bytes());
            let _ = stream.write_all(body.as_bytes());
        }
    });
    (address, served)
}

fn read(address: SocketAddr) -> (Result<ListReading, ListError>, Duration) {
    thread::block_on(async move {
        let started = Instant::now();
        let list = read_list(&HttpClient::default(), address, &LIMITS).await;
        (list, started.elapsed())
    })
    .unwrap()
}

#[test]
fn pages_joined() {
    let next = ["a", "b", "c"];
    let content = move |number| page(number, next.get(number).copied(), 0);
    let (address, _) = serve(Duration::ZERO, content);
    assert_eq!(read(address).0.unwrap().list.targets.len(), 4);
}

#[rstest]
#[case::next_is_same(1)]
#[case::next_is_earlier(3)]
fn page_repeats(#[case] period: usize) {
    let content = move |number| page(number, Some(&format!("t{}", number % period)), 0);
    let (address, served) = serve(Duration::ZERO, content);
    assert_eq!(read(address).0, Err(ListError::RepeatedPage));
    assert_eq!(served.load(Ordering::SeqCst), period + 1);
}

#[test]
fn pages_without_end() {
    let content = |number| page(number, Some(&format!("t{number}")), 0);
    let (address, _) = serve(Duration::ZERO, content);
    assert_eq!(read(address).0, Err(ListError::TooManyPages));
}

#[test]
fn large_pages() {
    let content = |number| page(number, Some(&format!("t{number}")), 200_000);
    let (address, served) = serve(Duration::ZERO, content);
    assert_eq!(read(address).0, Err(ListError::TooLarge));
    assert_eq!(served.load(Ordering::SeqCst), 6);
}

#[test]
fn slow_pages() {
    let content = |number| page(number, Some(&format!("t{number}")), 0);
    let (address, _) = serve(Duration::from_millis(100), content);
    let (list, elapsed) = read(address);
    assert_eq!(list, Err(ListError::TimedOut));
    assert!(elapsed < LIMITS.timeout + Duration::from_millis(300), "{elapsed:?}");
}
