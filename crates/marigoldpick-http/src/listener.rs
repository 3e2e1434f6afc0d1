//! Accepts connections.

use std::io;
use std::time::Instant;

use async_std::net::TcpListener;
use async_std::task;
use futures::io::AsyncWriteExt;
use http_types::{Request, Response, StatusCode};
use marigoldpick_core::prelude::*;

use crate::budget::Port;
use crate::intake::LOG_INTERVAL;
use crate::wire::Wire;
use crate::{Intake, Terms, connection};

/// The delay after a failed accept.
const ACCEPT_RETRY: Millis = Millis(50);
/// The answer to a connection that is refused. No request of it has been read.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\n\
    content-length: 0\r\nretry-after: 1\r\n\r\n";

/// `Service` answers requests.
pub trait Service: Clone + Send + Sync + 'static {
    /// Answers one request.
    fn respond(&self, request: Request) -> impl Future<Output = Response> + Send;
}

impl<S: Clone + Send + Sync + 'static> Service for tide::Server<S> {
    async fn respond(&self, request: Request) -> Response {
        let answer = Self::respond(self, request).await;
        answer.unwrap_or_else(|error: http_types::Error| match error.status() {
            status if status.is_success() => Response::new(StatusCode::InternalServerError),
            status => Response::new(status),
        })
    }
}

/// Listens at `address` and serves requests in a task of its own.
///
/// # Errors
/// Fails when the address can't be bound.
pub async fn listen<S: Service, T: Fn() -> Terms + Clone + Send + Sync + 'static>(
    intake: &Intake,
    port: Port,
    address: &str,
    service: S,
    terms: T,
) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    task::spawn(serve(intake.clone(), port, listener, service, terms));
    Ok(())
}

/// Serves the connections of a listener.
pub async fn serve<S: Service, T: Fn() -> Terms + Clone + Send + Sync + 'static>(
    intake: Intake,
    port: Port,
    listener: TcpListener,
    service: S,
    terms: T,
) {
    let mut logged: Option<Instant> = None;
    loop {
        match listener.accept().await {
            Ok((mut stream, _)) => {
                let Some(lease) = intake.open(port, &stream, terms().idle) else {
                    // The refusal fits the empty buffer of a new connection.
                    let _is_closed = stream.write_all(REFUSAL).await;
                    continue;
                };
                if stream.set_nodelay(true).is_ok() {
                    let wire = Box::new(Wire::new(stream, lease));
                    task::spawn(connection::serve(wire, service.clone(), terms.clone()));
                }
            }
            Err(error) => {
                if logged.is_none_or(|at| at.elapsed() >= LOG_INTERVAL.duration()) {
                    logged = Some(Instant::now());
                    log::warn!(target: "intake", "event=accept-failed why=\"{error}\"");
                }
                intake.shed();
                task::sleep(ACCEPT_RETRY.duration()).await;
            }
        }
    }
}
