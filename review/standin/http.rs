//! A small HTTP/1.1 server and client over loopback connections.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::json::Json;

/// `Request` is one request on a connection.
#[derive(Debug)]
pub struct Request {
    /// The number of the connection.
    pub connection: u64,
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Json,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }
}

/// `Outcome` is what a server does with a request.
#[derive(Debug)]
pub enum Outcome {
    Answer(u16, Json),
    /// The connection carries nothing further, and stays open.
    Silence,
    /// The connection is closed without an answer.
    Close,
}

/// `Link` is a machine's network link, which its connections share.
#[derive(Debug)]
pub struct Link {
    bytes_per_second: f64,
    free_at: Mutex<Instant>,
}

impl Link {
    pub fn new(mbps: f64) -> Arc<Self> {
        Arc::new(Self {
            bytes_per_second: mbps * 1e6 / 8.0,
            free_at: Mutex::new(Instant::now()),
        })
    }

    /// Waits until the link has carried `bytes` more.
    fn carry(&self, bytes: usize) {
        let span = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        let end = {
            let mut free_at = self.free_at.lock().unwrap();
            *free_at = (*free_at).max(Instant::now()) + span;
            *free_at
        };
        thread::sleep(end.saturating_duration_since(Instant::now()));
    }
}

/// The most bytes of a connection that its link carries at a time.
const CHUNK: usize = 4_096;

/// `Server` listens at a loopback address with a free port.
#[derive(Debug)]
pub struct Server {
    pub address: String,
    open: Arc<Mutex<Vec<(u64, TcpStream)>>>,
}

static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(1);

impl Server {
    /// Starts a server. `accepts` says whether connections are taken; others are closed at once.
    pub fn start(
        accepts: impl Fn() -> bool + Send + Sync + 'static,
        handler: impl Fn(Request) -> Outcome + Send + Sync + 'static,
    ) -> Self {
        Self::start_behind(None, accepts, handler)
    }

    /// Starts a server whose answers go over a link.
    pub fn start_behind(
        link: Option<Arc<Link>>,
        accepts: impl Fn() -> bool + Send + Sync + 'static,
        handler: impl Fn(Request) -> Outcome + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let open: Arc<Mutex<Vec<(u64, TcpStream)>>> = Arc::default();
        let streams = Arc::clone(&open);
        let handler = Arc::new(handler);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !accepts() {
                    continue;
                }
                let number = NEXT_CONNECTION.fetch_add(1, Ordering::SeqCst);
                let Ok(copy) = stream.try_clone() else {
                    continue;
                };
                streams.lock().unwrap().push((number, copy));
                let (handler, streams) = (Arc::clone(&handler), Arc::clone(&streams));
                let link = link.clone();
                thread::spawn(move || {
                    serve(&stream, number, link.as_deref(), &*handler);
                    let _ = stream.shutdown(Shutdown::Both);
                    streams.lock().unwrap().retain(|(have, _)| *have != number);
                });
            }
        });
        Self { address, open }
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.open.lock().unwrap().len()
    }
}

fn serve(
    stream: &TcpStream,
    number: u64,
    link: Option<&Link>,
    handler: &(impl Fn(Request) -> Outcome + ?Sized),
) {
    let _ = stream.set_nodelay(true);
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    let mut writer = stream;
    while let Some(request) = read_request(&mut reader, number) {
        match handler(request) {
            Outcome::Answer(status, body) => {
                let body = body.to_string();
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                for chunk in (head + &body).as_bytes().chunks(CHUNK) {
                    if let Some(link) = link {
                        link.carry(chunk.len());
                    }
                    if writer.write_all(chunk).is_err() {
                        return;
                    }
                }
            }
            Outcome::Silence => {
                // Until the other side closes the connection.
                let _ = std::io::copy(&mut reader, &mut std::io::sink());
                return;
            }
            Outcome::Close => return,
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>, connection: u64) -> Option<Request> {
    let (line, headers) = read_head(reader)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let body = read_body(reader, &headers)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        connection,
        method,
        path: decode(path),
        query: query
            .map(|(key, value)| (decode(key), decode(value)))
            .collect(),
        headers,
        body: Json::parse(&body).unwrap_or(Json::Null),
    })
}

type Head = (String, Vec<(String, String)>);

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Head> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, headers: &[(String, String)]) -> Option<String> {
    let length = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case("Content-Length"));
    let length: usize = length.map_or(Some(0), |(_, value)| value.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = text.get(at + 1..at + 3);
        match (
            bytes[at],
            digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 2;
            }
            (b'+', _) => out.push(b' '),
            (byte, _) => out.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one request on a new connection; returns `None` without a complete answer within `limit`.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    host: &str,
    body: Option<&Json>,
    limit: Duration,
) -> Option<(u16, Json)> {
    let address = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let body = body.map(Json::to_string).unwrap_or_default();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Deadline-Ms: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        limit.as_millis(),
        body.len()
    );
    stream.write_all((head + &body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (line, headers) = read_head(&mut reader)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, Json::parse(&body).unwrap_or(Json::Null)))
}
