//! Incoming connections: authenticates the peer, then serves its frames and calls.

use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use hawthornkeel_config::settings::Peers;
use hawthornkeel_config::settings::Trust;
use hawthornkeel_core::names::InstanceName;
use indexmap::IndexMap;
use monoio::time::timeout;
use quinn::Connection;
use quinn::Incoming;
use quinn::RecvStream;
use quinn::SendStream;
use quinn::VarInt;

use crate::peer::credentials::certificate_matches;
use crate::peer::frame::Frame;
use crate::peer::frame::FrameKind;
use crate::peer::frame::Refusal;
use crate::peer::wire;
use crate::peer::wire::WireError;

/// Close code: the peer violated the protocol or failed authentication.
const CODE_REFUSED: VarInt = VarInt::from_u32(1);

/// Time from the end of the handshake within which a peer must have sent its name.
pub(super) const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Future of a call's response.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Frame>>>;
type FrameHandler = Rc<dyn Fn(&InstanceName, Frame)>;
type CallHandler = Rc<dyn Fn(InstanceName, Frame) -> ResponseFuture>;
/// Future that writes the response of a call with a body.
pub type StreamFuture = Pin<Box<dyn Future<Output = ()>>>;
type StreamHandler = Rc<dyn Fn(InstanceName, Frame, SendStream) -> StreamFuture>;

/// Handlers of incoming frames, by kind.
#[derive(Default)]
pub struct Handlers {
    /// Name of this instance.
    pub name: InstanceName,
    /// How peers are authenticated.
    pub trust: Trust,
    /// Handlers of one-way frames.
    pub frames: RefCell<IndexMap<FrameKind, FrameHandler>>,
    /// Handlers of calls.
    pub calls: RefCell<IndexMap<FrameKind, CallHandler>>,
    /// Handlers of calls whose response has a body.
    pub streams: RefCell<IndexMap<FrameKind, StreamHandler>>,
}

/// Serves incoming connections until the endpoint is closed.
pub async fn accept(endpoint: quinn::Endpoint, handlers: Rc<Handlers>) {
    while let Some(incoming) = endpoint.accept().await {
        let handlers = handlers.clone();
        monoio::spawn(async move { serve(incoming, handlers).await });
    }
}

async fn serve(incoming: Incoming, handlers: Rc<Handlers>) {
    let address = incoming.remote_address();
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(error) => {
            tracing::warn!(event = "peer-refused", %address, %error);
            return;
        }
    };
    match authenticate(&connection, &handlers).await {
        Ok((name, stream)) => {
            tracing::info!(event = "peer-accepted", peer = %name, %address);
            monoio::spawn(serve_calls(connection.clone(), name.clone(), handlers.clone()));
            let error = serve_frames(&name, stream, &handlers).await;
            refuse(&connection, &error);
        }
        Err(error) => refuse(&connection, &error),
    }
}

/// Closes `connection` because of `error`, unless it is closed already.
fn refuse(connection: &Connection, error: &dyn std::fmt::Display) {
    if connection.close_reason().is_none() {
        let error = error.to_string();
        tracing::warn!(event = "peer-refused", address = %connection.remote_address(), %error);
        connection.close(CODE_REFUSED, error.as_bytes());
    }
}

/// Reads the name that the peer claims, verifies it and replies with this instance's name.
async fn authenticate(
    connection: &Connection,
    handlers: &Handlers,
) -> Result<(InstanceName, RecvStream), String> {
    let hello = timeout(HELLO_TIMEOUT, read_hello(connection)).await;
    let (name, stream) = hello.map_err(|_| "no name in time".to_owned())??;
    match handlers.trust {
        Trust::Certificates if !certificate_matches(connection, name.as_str()) => {
            return Err(format!("certificate is not for {name}"));
        }
        Trust::Addresses if Peers::name_from_address(connection.remote_address()) != name => {
            return Err(format!("address is not that of {name}"));
        }
        Trust::Certificates | Trust::Addresses => {}
    }
    let hello = wire::encode(&Frame::Hello(handlers.name.clone())).map_err(|e| e.to_string())?;
    let mut reply = connection.open_uni().await.map_err(|e| e.to_string())?;
    reply.write_chunk(hello).await.map_err(|e| e.to_string())?;
    reply.finish().map_err(|e| e.to_string())?;
    Ok((name, stream))
}

/// Reads the name that the peer claims; returns it with the stream of one-way frames.
async fn read_hello(connection: &Connection) -> Result<(InstanceName, RecvStream), String> {
    let mut stream = connection.accept_uni().await.map_err(|e| e.to_string())?;
    match wire::read(&mut stream).await {
        Ok(Frame::Hello(name)) => Ok((name, stream)),
        Ok(_) => Err("connection starts without a name".to_owned()),
        Err(error) => Err(error.to_string()),
    }
}

/// Handles one-way frames in order until the stream fails.
async fn serve_frames(
    name: &InstanceName,
    mut stream: RecvStream,
    handlers: &Handlers,
) -> WireError {
    loop {
        let frame = match wire::read(&mut stream).await {
            Ok(frame) => frame,
            Err(error) => return error,
        };
        let handler = handlers.frames.borrow().get(&frame.kind()).cloned();
        match handler {
            Some(handler) => handler(name, frame),
            None => {
                tracing::debug!(event = "frame-unsupported", peer = %name, kind = ?frame.kind())
            }
        }
    }
}

async fn serve_calls(connection: Connection, name: InstanceName, handlers: Rc<Handlers>) {
    while let Ok((send, receive)) = connection.accept_bi().await {
        let (name, handlers) = (name.clone(), handlers.clone());
        monoio::spawn(async move {
            if let Err(error) = serve_call(&name, send, receive, &handlers).await {
                tracing::debug!(event = "call-failed", peer = %name, %error);
            }
        });
    }
}

async fn serve_call(
    name: &InstanceName,
    mut send: SendStream,
    mut receive: RecvStream,
    handlers: &Handlers,
) -> Result<(), String> {
    let response = match wire::read(&mut receive).await {
        Ok(frame) => {
            let handler = handlers.streams.borrow().get(&frame.kind()).cloned();
            if let Some(handler) = handler {
                handler(name.clone(), frame, send).await;
                return Ok(());
            }
            dispatch(name, frame, handlers).await
        }
        Err(WireError::UnknownVersion(found)) => {
            tracing::warn!(event = "version-refused", peer = %name, found, known = wire::VERSION);
            Frame::Refused(Refusal::Version { found, known: wire::VERSION })
        }
        Err(WireError::Malformed(_) | WireError::UnknownEncoding(_) | WireError::Decompress) => {
            Frame::Refused(Refusal::Malformed)
        }
        Err(error) => return Err(error.to_string()),
    };
    let response = wire::encode(&response).map_err(|e| e.to_string())?;
    send.write_chunk(response).await.map_err(|e| e.to_string())?;
    send.finish().map_err(|e| e.to_string())
}

async fn dispatch(name: &InstanceName, frame: Frame, handlers: &Handlers) -> Frame {
    let handler = handlers.calls.borrow().get(&frame.kind()).cloned();
    match handler {
        Some(handler) => handler(name.clone(), frame).await,
        None => Frame::Refused(Refusal::Unsupported),
    }
}
