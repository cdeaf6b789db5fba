//! Stand-ins for the platform's list, for model runners, for runners of stages and for plain runners.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::http;
use crate::http::Channel;
use crate::http::Request;
use crate::json;
use crate::record;

/// An entry of the platform's list.
#[derive(Clone, Debug)]
pub struct Listed {
    pub identifier: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub state: &'static str,
    pub born: u64,
}

impl Listed {
    pub fn new(service: &str, number: usize, zone: &str, address: SocketAddr, slots: u32) -> Self {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Self {
            identifier: format!("i-{service}-{number}"),
            service: service.to_owned(),
            address,
            zone: zone.to_owned(),
            slots,
            state: "ready",
            born: now.as_millis() as u64,
        }
    }

    fn json(&self) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{}\",\"cold_remaining_ms\":0,\"born\":{},\
             \"identifier\":\"{}\"}}",
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.state,
            self.born,
            self.identifier
        )
    }
}

/// The platform's list: entries of runners, and entries that come from another writer as they stand.
#[derive(Clone, Default)]
pub struct List {
    pub runners: Arc<Mutex<Vec<Listed>>>,
    pub foreign: Arc<Mutex<Vec<Vec<u8>>>>,
}

/// Serves the platform's list.
pub fn serve_list(address: SocketAddr, list: List) {
    let handler = move |channel: &mut Channel, request: Request| {
        let mut entries = list.foreign.lock().unwrap().clone();
        entries.extend(list.runners.lock().unwrap().iter().map(|l| l.json().into_bytes()));
        let entries = entries.join(&b',');
        let body = [b"{\"instances\":[", entries.as_slice(), b"],\"next\":null}"].concat();
        let found = request.path.starts_with("/instances");
        let json = [("Content-Type", "application/json")];
        let status = if found { 200 } else { 404 };
        channel.send(&http::answer(status, &json, &body))?;
        Ok(true)
    };
    http::serve(address, Arc::new(handler)).expect("the list's address can be bound");
}

/// A result of a piece that lies at its maker; the record shows all of it.
#[allow(dead_code)]
#[derive(Clone, Debug)]
pub struct Made {
    pub request: String,
    pub stage: u32,
    pub piece: u32,
    pub key: String,
    pub held: bool,
}

/// What the runners of stages made, by handle.
pub type Results = Arc<Mutex<HashMap<String, Made>>>;

/// When a runner of stages sends an extra answer: it is asked at each call that comes on a channel
/// whose last answer was to a call of pieces, with the handles of that answer.
pub type ExtraAnswer = Arc<dyn Fn(&str, &[String]) -> bool + Send + Sync>;

/// Serves a runner of stages: one call at a time, 150 ms a call and 16 ms a piece.
pub fn serve_stage(listed: Listed, results: Results, extra: ExtraAnswer) {
    let turn = Arc::new(Mutex::new(0_u64));
    let address = listed.address;
    let handler = move |channel: &mut Channel, request: Request| {
        let echo = request.header("request-id").to_owned();
        let mut headers = vec![("Content-Type", "application/json"), ("Server-Load", "0,0,1")];
        if !echo.is_empty() {
            headers.push(("Request-Id", echo.as_str()));
        }
        let expected = request.header("expected-instance");
        if !expected.is_empty() && expected != listed.identifier {
            channel.send(&http::answer(421, &headers, b"{}"))?;
            return Ok(true);
        }
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let body = json::parse(&text);
        match request.path.as_str() {
            "/stage-run" => {
                if let Some((handles, answer)) = channel.last_answer.take() {
                    let handles: Vec<String> = handles.split(' ').map(str::to_owned).collect();
                    if extra(&listed.identifier, &handles) {
                        record::line(&format!(
                            "{} sends an extra answer: once more {handles:?}",
                            listed.identifier
                        ));
                        channel.send(&answer)?;
                    }
                }
                let Some(body) = body else { return Ok(false) };
                let items = body.get("items").map(|i| i.list().to_vec()).unwrap_or_default();
                let mut number = turn.lock().unwrap();
                thread::sleep(Duration::from_millis(150 + 16 * items.len() as u64));
                let (mut replies, mut handles) = (Vec::new(), Vec::new());
                for item in &items {
                    *number += 1;
                    let handle = format!("{address}/{:x}{:04x}", listed.born % 0xffff, *number);
                    let text = |n: &str| item.get(n).and_then(|v| v.text()).unwrap_or_default();
                    let part = |n: &str| item.get(n).and_then(|v| v.number()).unwrap_or(0.0) as u32;
                    let made = Made {
                        request: text("identifier").to_owned(),
                        stage: part("stage"),
                        piece: part("piece"),
                        key: text("key").to_owned(),
                        held: true,
                    };
                    record::line(&format!("{} makes {handle} for {made:?}", listed.identifier));
                    results.lock().unwrap().insert(handle.clone(), made);
                    replies.push(format!("{{\"handle\":\"{handle}\"}}"));
                    handles.push(handle);
                }
                drop(number);
                let body = format!("{{\"items\":[{}]}}", replies.join(","));
                let answer = http::answer(200, &headers, body.as_bytes());
                channel.send(&answer)?;
                channel.last_answer = Some((handles.join(" "), answer));
            }
            "/stage-free" => {
                let freed = body.as_ref().and_then(|b| b.get("handles"));
                for handle in freed.map(|h| h.list().to_vec()).unwrap_or_default() {
                    if let Some(made) = results.lock().unwrap().get_mut(handle.text().unwrap_or(""))
                    {
                        made.held = false;
                    }
                }
                channel.last_answer = None;
                channel.send(&http::answer(200, &headers, b"{}"))?;
            }
            "/report" => {
                let body = format!(
                    "{{\"queued_requests\":0,\"busy\":false,\"free_memory_mb\":40,\"born\":{}}}",
                    listed.born
                );
                channel.last_answer = None;
                channel.send(&http::answer(200, &headers, body.as_bytes()))?;
            }
            _ => channel.send(&http::answer(200, &[("Instance-Id", &listed.identifier)], b""))?,
        }
        Ok(true)
    };
    http::serve(address, Arc::new(handler)).expect("a runner's address can be bound");
}

/// Serves a model runner: the first event after `first`, three events in all. It runs a request with
/// the inputs that the request names, and says in its events whose they are.
pub fn serve_model(
    listed: Listed,
    results: Results,
    first: Duration,
    foreign: Arc<Mutex<Vec<String>>>,
) {
    let address = listed.address;
    let handler = move |channel: &mut Channel, request: Request| {
        let id = request.header("request-id").to_owned();
        if request.method == "GET" {
            let body = format!("{{\"busy\":false,\"born\":{}}}", listed.born);
            let headers = [("Instance-Id", listed.identifier.as_str())];
            channel.send(&http::answer(200, &headers, body.as_bytes()))?;
            return Ok(true);
        }
        let refuse =
            |status| http::answer(status, &[("Request-Id", &id), ("Not-Executed", "1")], b"");
        let expected = request.header("expected-instance");
        if !expected.is_empty() && expected != listed.identifier {
            channel.send(&refuse(421))?;
            return Ok(true);
        }
        let inputs = request.header("inputs").to_owned();
        if inputs.is_empty() {
            channel.send(&refuse(400))?;
            return Ok(true);
        }
        let known = results.lock().unwrap().clone();
        let made: Vec<_> = inputs.split(',').map(|h| known.get(h.trim()).cloned()).collect();
        record::line(&format!("{} gets request {id} with inputs {made:?}", listed.identifier));
        if made.iter().any(|m| m.as_ref().is_none_or(|m| !m.held)) {
            record::line(&format!("{} refuses request {id}: an input is gone", listed.identifier));
            channel.send(&refuse(409))?;
            return Ok(true);
        }
        for other in made.iter().flatten().filter(|m| m.request != id) {
            let what = format!("request {id} is run with an input of request {}", other.request);
            record::line(&format!("MIXED: {what}"));
            foreign.lock().unwrap().push(what);
        }
        thread::sleep(first);
        let keys: Vec<String> = made.iter().flatten().map(|m| m.key.clone()).collect();
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: sig-{id}\r\n\
             Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        channel.send(head.as_bytes())?;
        for number in 1..=3 {
            let event = format!("id: {number}\ndata: from {}\n\n", keys.join(" "));
            channel.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(Duration::from_millis(20));
        }
        channel.send(b"0\r\n\r\n")?;
        Ok(true)
    };
    http::serve(address, Arc::new(handler)).expect("a runner's address can be bound");
}

/// A request that reached a plain runner.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub runner: String,
    pub zone: String,
}

/// Serves a plain runner, which works 15 ms on each request.
pub fn serve_plain(listed: Listed, arrivals: Arc<Mutex<Vec<Arrival>>>) {
    let address = listed.address;
    let handler = move |channel: &mut Channel, request: Request| {
        let id = request.header("request-id").to_owned();
        if id.is_empty() {
            let headers = [("Instance-Id", listed.identifier.as_str())];
            channel.send(&http::answer(200, &headers, b""))?;
            return Ok(true);
        }
        let expected = request.header("expected-instance");
        if !expected.is_empty() && expected != listed.identifier {
            let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
            channel.send(&http::answer(421, &headers, b""))?;
            return Ok(true);
        }
        let (runner, zone) = (listed.identifier.clone(), listed.zone.clone());
        arrivals.lock().unwrap().push(Arrival { at: Instant::now(), runner, zone });
        record::line(&format!("request {id} reaches {} in {}", listed.identifier, listed.zone));
        thread::sleep(Duration::from_millis(15));
        let signature = format!("sig-{id}");
        let headers = [("Request-Id", id.as_str()), ("Server-Signature", signature.as_str())];
        channel.send(&http::answer(200, &headers, format!("answer to {id}").as_bytes()))?;
        Ok(true)
    };
    http::serve(address, Arc::new(handler)).expect("a runner's address can be bound");
}
