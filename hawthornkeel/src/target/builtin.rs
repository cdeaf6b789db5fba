//! Plain answering target for trials: speaks both protocols, with text made from the request.

use std::sync::OnceLock;

use bytes::Bytes;
use hawthornkeel_core::ids::Incarnation;
use http::Method;
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

use crate::http::channel;
use crate::http::channel::Closed;
use crate::http::channel::Sender;
use crate::http::message::Request;
use crate::http::message::Response;
use crate::http::problem::Code;
use crate::http::problem::Problem;
use crate::target::call::REQUEST_ID;
use crate::target::call::RESUME_OFFSET;
use crate::target::completion;
use crate::target::load;
use crate::target::load::LoadReport;
use crate::target::order;
use crate::target::process::INCARNATION;

/// Tokens that wait to be sent, at most.
const QUEUE: usize = 16;

/// Words of the prompt that an answer repeats, at most.
const MAX_WORDS: usize = 24;

/// Tokens of an answer where the request sets no bound.
const MAX_TOKENS: usize = 256;

/// Request of the completions protocol, as far as it is used.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Ask {
    prompt: String,
    messages: Vec<Message>,
    max_tokens: Option<usize>,
    stream: bool,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Message {
    content: String,
}

#[derive(Serialize)]
struct ServiceAnswer<'a> {
    service: &'a str,
    input: &'a RawValue,
}

#[derive(Serialize)]
struct Chunk<'a> {
    choices: [Choice<'a>; 1],
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
}

#[derive(Serialize)]
struct Delta<'a> {
    content: &'a str,
}

/// Answers a request to the target; to be given to [`crate::http::server::Server::serve`].
pub async fn handle(request: Request) -> Response {
    let id = request.head.header(REQUEST_ID).unwrap_or_default().to_owned();
    let response = match (&request.head.method, request.head.path.as_str()) {
        (&Method::GET, load::PATH) => report(),
        (&Method::POST, order::PATH) => Response::json("{}"),
        (&Method::POST, completion::COMPLETIONS | completion::CHAT) => complete(&request),
        (&Method::POST, _) => serve(&request),
        _ => Problem::not_run(Code::NotFound).into_response(),
    };
    let response = response.with_header(INCARNATION, &own_incarnation().to_string());
    if id.is_empty() { response } else { response.with_header(REQUEST_ID, &id) }
}

/// Returns the incarnation of this process, which tells it from the one before.
fn own_incarnation() -> u64 {
    static OWN: OnceLock<u64> = OnceLock::new();
    *OWN.get_or_init(rand::random)
}

fn report() -> Response {
    let incarnation = Some(Incarnation(own_incarnation()));
    let report = LoadReport { incarnation, cold: Some(false), ..LoadReport::default() };
    Response::json(serde_json::to_vec(&report).unwrap_or_default())
}

fn serve(request: &Request) -> Response {
    let Ok(input) = serde_json::from_slice::<&RawValue>(&request.body) else {
        return Problem::not_run(Code::BadRequest).into_response();
    };
    let answer = ServiceAnswer { service: &request.head.path, input };
    Response::json(serde_json::to_vec(&answer).unwrap_or_default())
}

fn complete(request: &Request) -> Response {
    let Ok(ask) = serde_json::from_slice::<Ask>(&request.body) else {
        return Problem::not_run(Code::BadRequest).into_response();
    };
    let chat = request.head.path == completion::CHAT;
    let tokens = tokens_of(&ask);
    if !ask.stream {
        return Response::json(encode(&tokens.concat(), chat));
    }
    let offset = request.head.header(RESUME_OFFSET).and_then(|o| o.parse().ok()).unwrap_or(0);
    let (sender, receiver) = channel::bounded(QUEUE);
    monoio::spawn(async move {
        // The caller has left where this fails: nobody is there to be told.
        let _ = stream(sender, tokens, offset, chat).await;
    });
    let response = Response::events(receiver);
    if offset > 0 { response.with_header(RESUME_OFFSET, &offset.to_string()) } else { response }
}

async fn stream(
    sender: Sender,
    tokens: Vec<String>,
    offset: usize,
    chat: bool,
) -> Result<(), Closed> {
    let mut skip = offset;
    for token in tokens {
        // Tokens before the offset are passed over, one that straddles it is cut.
        let rest = token.get(skip.min(token.len())..).unwrap_or_default();
        skip = skip.saturating_sub(token.len());
        if !rest.is_empty() {
            sender.send(event(&encode(rest, chat))).await?;
        }
    }
    sender.send(event(b"[DONE]")).await?;
    sender.finish();
    Ok(())
}

fn event(data: &[u8]) -> Bytes {
    [b"data: ", data, b"\n\n"].concat().into()
}

fn encode(text: &str, chat: bool) -> Vec<u8> {
    let choice = match chat {
        true => Choice { index: 0, text: None, delta: Some(Delta { content: text }) },
        false => Choice { index: 0, text: Some(text), delta: None },
    };
    serde_json::to_vec(&Chunk { choices: [choice] }).unwrap_or_default()
}

fn tokens_of(ask: &Ask) -> Vec<String> {
    let last = ask.messages.last().map(|m| m.content.as_str());
    let prompt = last.unwrap_or(&ask.prompt);
    let max = ask.max_tokens.unwrap_or(MAX_TOKENS);
    let opening = ["Answer ", "to: "].into_iter().map(str::to_owned);
    let words = prompt.split_whitespace().take(MAX_WORDS).map(|w| format!("{w} "));
    opening.chain(words).take(max).collect()
}
