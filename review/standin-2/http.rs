//! A server and a client of HTTP/1.1 over loopback sockets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn query(&self, name: &str) -> String {
        let found = self.query.iter().find(|(have, _)| have == name);
        found.map(|(_, value)| value.clone()).unwrap_or_default()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(have, _)| have == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// A status and a body; a server without an answer closes the connection.
pub type Answer = Option<(u16, String)>;

/// A server with a thread for each connection.
pub struct Server {
    pub address: String,
    /// The number of open connections.
    pub open: Arc<AtomicUsize>,
}

impl Server {
    pub fn start(
        address: &str,
        handler: impl Fn(&Request) -> Answer + Send + Sync + 'static,
    ) -> std::io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?.to_string();
        let open = Arc::new(AtomicUsize::new(0));
        let server = Server {
            address,
            open: Arc::clone(&open),
        };
        let handler = Arc::new(handler);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let (handler, open) = (Arc::clone(&handler), Arc::clone(&open));
                std::thread::spawn(move || {
                    open.fetch_add(1, Ordering::SeqCst);
                    serve(stream, &*handler);
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Ok(server)
    }
}

fn serve(stream: TcpStream, handler: &dyn Fn(&Request) -> Answer) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    let mut writer = stream;
    while let Some(request) = read_request(&mut reader) {
        let answer = handler(&request);
        let Some((status, body)) = answer else { break };
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            break;
        }
    }
    let _ = writer.shutdown(Shutdown::Both);
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
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
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> Option<String> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.map_or(Some(0), |(_, value)| value.parse::<usize>().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

fn read_request(reader: &mut (impl BufRead + Read)) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        method,
        path: decode(path),
        query: pairs.map(|(name, value)| (decode(name), decode(value))).collect(),
        headers,
        body,
    })
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
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

/// A request whose last bytes have not been sent.
pub struct Unfinished {
    stream: TcpStream,
    rest: Vec<u8>,
}

impl Unfinished {
    /// Connects and sends a request without the last `left` bytes of its body.
    ///
    /// `key` is the key of the caller's tenant; empty for none.
    pub fn begin(
        address: &str,
        (method, path, host): (&str, &str, &str),
        (key, body): (&str, &str),
        left: usize,
        limit: Duration,
    ) -> Result<Unfinished, String> {
        let target = address.parse().map_err(|_| "bad address".to_owned())?;
        let failed = |error: std::io::Error| error.to_string();
        let mut stream = TcpStream::connect_timeout(&target, limit).map_err(failed)?;
        stream.set_read_timeout(Some(limit)).map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        let authorization = if key.is_empty() {
            String::new()
        } else {
            format!("Authorization: Token {key}\r\n")
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\n{authorization}Content-Type: application/json\r\nX-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n",
            limit.as_millis(),
            body.len()
        );
        let mut bytes = (head + body).into_bytes();
        let rest = bytes.split_off(bytes.len() - left);
        stream.write_all(&bytes).map_err(failed)?;
        Ok(Unfinished { stream, rest })
    }

    /// Sends the last bytes, and returns the answer.
    pub fn finish(mut self) -> Result<(u16, String), String> {
        let failed = |error: std::io::Error| error.to_string();
        self.stream.write_all(&self.rest).map_err(failed)?;
        let mut reader = BufReader::new(self.stream);
        let (first, headers) = read_head(&mut reader).ok_or("no answer")?;
        let status = first.split(' ').nth(1).and_then(|code| code.parse().ok());
        let body = read_body(&mut reader, &headers).ok_or("no whole answer")?;
        Ok((status.ok_or("no status")?, body))
    }
}

/// Sends one request on a connection of its own.
pub fn call(
    address: &str,
    target: (&str, &str, &str),
    body: &str,
    limit: Duration,
) -> Result<(u16, String), String> {
    Unfinished::begin(address, target, ("", body), 0, limit)?.finish()
}
