//! Built-in target for trials: serves JSON services and completions, echoing the request.

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

/// Largest number of tokens queued for sending.
const TOKEN_QUEUE: usize = 16;

/// Largest number of prompt words that a response repeats.
const MAX_PROMPT_WORDS: usize = 24;

/// Token limit of a response if the request does not set one.
const DEFAULT_MAX_TOKENS: usize = 256;

/// Fields of a completions request that this target uses.
#[derive(Default, Deserialize)]
#[serde(default)]
struct CompletionRequest {
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
struct ServiceResponse<'a> {
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

/// Handles a request to the target; a handler for [`crate::http::server::Server::serve`].
pub async fn handle(request: Request) -> Response {
    let id = request.head.header(REQUEST_ID).unwrap_or_default().to_owned();
    let response = match (&request.head.method, request.head.path.as_str()) {
        (&Method::GET, load::PATH) => load_report(),
        (&Method::POST, order::PATH) => Response::json("{}"),
        (&Method::POST, completion::COMPLETIONS | completion::CHAT) => serve_completion(&request),
        (&Method::POST, _) => serve_json(&request),
        _ => Problem::not_run(Code::NotFound).into_response(),
    };
    let response = response.with_header(INCARNATION, &own_incarnation().to_string());
    if id.is_empty() { response } else { response.with_header(REQUEST_ID, &id) }
}

/// Returns the incarnation of this process: a random number that changes with each restart.
fn own_incarnation() -> u64 {
    static OWN: OnceLock<u64> = OnceLock::new();
    *OWN.get_or_init(rand::random)
}

fn load_report() -> Response {
    let incarnation = Some(Incarnation(own_incarnation()));
    let report = LoadReport { incarnation, cold: Some(false), ..LoadReport::default() };
    Response::json(serde_json::to_vec(&report).unwrap_or_default())
}

fn serve_json(request: &Request) -> Response {
    let Ok(input) = serde_json::from_slice::<&RawValue>(&request.body) else {
        return Problem::not_run(Code::BadRequest).into_response();
    };
    let response = ServiceResponse { service: &request.head.path, input };
    Response::json(serde_json::to_vec(&response).unwrap_or_default())
}

fn serve_completion(request: &Request) -> Response {
    let Ok(completion) = serde_json::from_slice::<CompletionRequest>(&request.body) else {
        return Problem::not_run(Code::BadRequest).into_response();
    };
    let chat = request.head.path == completion::CHAT;
    let tokens = response_tokens(&completion);
    if !completion.stream {
        return Response::json(encode(&tokens.concat(), chat));
    }
    let offset = request.head.header(RESUME_OFFSET).and_then(|o| o.parse().ok()).unwrap_or(0);
    let (sender, receiver) = channel::bounded(TOKEN_QUEUE);
    monoio::spawn(async move {
        // Fails only if the caller has disconnected.
        let _ = send_tokens(sender, tokens, offset, chat).await;
    });
    let response = Response::events(receiver);
    if offset > 0 { response.with_header(RESUME_OFFSET, &offset.to_string()) } else { response }
}

async fn send_tokens(
    sender: Sender,
    tokens: Vec<String>,
    offset: usize,
    chat: bool,
) -> Result<(), Closed> {
    let mut skip = offset;
    for token in tokens {
        // Skips tokens before the offset, and the part before it of a token that contains it.
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

fn response_tokens(request: &CompletionRequest) -> Vec<String> {
    let last = request.messages.last().map(|m| m.content.as_str());
    let prompt = last.unwrap_or(&request.prompt);
    let max = request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    let prefix = ["Answer ", "to: "].into_iter().map(str::to_owned);
    let words = prompt.split_whitespace().take(MAX_PROMPT_WORDS).map(|w| format!("{w} "));
    prefix.chain(words).take(max).collect()
}
