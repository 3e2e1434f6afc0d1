//! JSON, base64 and HTTP/1.1 on the standard library alone, as far as the stand-ins need them.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// `Value` is a JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, key: &str) -> &Value {
        static NULL: Value = Value::Null;
        match self {
            Value::Table(fields) => fields
                .iter()
                .find(|(have, _)| have == key)
                .map_or(&NULL, |(_, value)| value),
            _ => &NULL,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Value::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(list) => list,
            _ => &[],
        }
    }

    pub fn write(&self) -> String {
        let mut out = String::new();
        self.write_to(&mut out);
        out
    }

    fn write_to(&self, out: &mut String) {
        match self {
            Value::Null => out.push_str("null"),
            Value::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Value::Number(number) => out.push_str(&number.to_string()),
            Value::Text(text) => write_text(text, out),
            Value::List(list) => {
                out.push('[');
                for (at, value) in list.iter().enumerate() {
                    if at > 0 {
                        out.push(',');
                    }
                    value.write_to(out);
                }
                out.push(']');
            }
            Value::Table(fields) => {
                out.push('{');
                for (at, (key, value)) in fields.iter().enumerate() {
                    if at > 0 {
                        out.push(',');
                    }
                    write_text(key, out);
                    out.push(':');
                    value.write_to(out);
                }
                out.push('}');
            }
        }
    }

    /// Parses a text; `None` if it is no JSON.
    pub fn parse(text: &str) -> Option<Value> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }
}

fn write_text(text: &str, out: &mut String) {
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.at < self.bytes.len() && self.bytes[self.at].is_ascii_whitespace() {
            self.at += 1;
        }
    }

    fn eat(&mut self, byte: u8) -> bool {
        self.space();
        let is_next = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(is_next);
        is_next
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        let is_next = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        is_next.then_some(value)
    }

    fn value(&mut self) -> Option<Value> {
        self.space();
        match self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.eat(b'}') {
                    return Some(Value::Table(fields));
                }
                loop {
                    self.space();
                    let key = self.string()?;
                    if !self.eat(b':') {
                        return None;
                    }
                    fields.push((key, self.value()?));
                    if self.eat(b'}') {
                        return Some(Value::Table(fields));
                    }
                    if !self.eat(b',') {
                        return None;
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.eat(b']') {
                    return Some(Value::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.eat(b']') {
                        return Some(Value::List(list));
                    }
                    if !self.eat(b',') {
                        return None;
                    }
                }
            }
            b'"' => self.string().map(Value::Text),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'n' => self.word("null", Value::Null),
            _ => {
                let begin = self.at;
                while self
                    .bytes
                    .get(self.at)
                    .is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b))
                {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[begin..self.at]).ok()?;
                text.parse().ok().map(Value::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut out = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(out).ok();
                }
                b'\\' => {
                    self.at += 1;
                    let c = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match c {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let hex = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let hex = std::str::from_utf8(hex).ok()?;
                            let code = u32::from_str_radix(hex, 16).ok()?;
                            let c = char::from_u32(code).unwrap_or('\u{fffd}');
                            out.extend(c.to_string().as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                byte => {
                    out.push(byte);
                    self.at += 1;
                }
            }
        }
    }
}

pub fn text(value: &str) -> Value {
    Value::Text(value.to_owned())
}

pub fn number(value: u64) -> Value {
    Value::Number(value as f64)
}

pub fn table(fields: Vec<(&str, Value)>) -> Value {
    Value::Table(
        fields
            .into_iter()
            .map(|(key, value)| (key.to_owned(), value))
            .collect(),
    )
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as standard base64 text with padding.
pub fn encode(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for at in 0..4 {
            if at <= chunk.len() {
                out.push(DIGITS[(word >> (18 - 6 * at)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// Returns the number of bytes that a base64 text with padding stands for.
pub fn decoded_length(text: &str) -> usize {
    text.len() / 4 * 3 - text.bytes().rev().take_while(|byte| *byte == b'=').count()
}

/// `Request` is an HTTP request.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(have, _)| have.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn query(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(have, _)| have == name);
        found.map_or("", |(_, value)| value)
    }
}

/// The answer to a request: status and body; `None` closes the connection without an answer.
pub type Reply = Option<(u16, String)>;

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3);
        match (
            bytes[at],
            hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (b'+', _) => {
                out.push(b' ');
                at += 1;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a head: its first line and its headers; `None` if the connection has ended.
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
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> Option<String> {
    let length = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length: usize = length.map_or(Some(0), |(_, value)| value.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

/// `Slot` is the place of an open connection.
struct Slot(Arc<AtomicUsize>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Starts a server on a free loopback port, with a thread for each connection; returns its address.
///
/// Beyond `most` open connections, new ones wait in the listener's queue.
pub fn serve(most: usize, handler: impl Fn(&Request) -> Reply + Send + Sync + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let handler = Arc::new(handler);
    let open = Arc::new(AtomicUsize::new(0));
    std::thread::spawn(move || {
        loop {
            while open.load(Ordering::SeqCst) >= most {
                std::thread::sleep(Duration::from_millis(1));
            }
            let Ok((stream, _)) = listener.accept() else {
                continue;
            };
            open.fetch_add(1, Ordering::SeqCst);
            let slot = Slot(Arc::clone(&open));
            let handler = Arc::clone(&handler);
            let thread = std::thread::Builder::new().stack_size(128 << 10);
            let _is_started = thread.spawn(move || {
                let _slot = slot;
                let _is_set = stream.set_nodelay(true);
                let mut reader = BufReader::new(stream);
                while let Some((first, headers)) = read_head(&mut reader) {
                    let Some(body) = read_body(&mut reader, &headers) else {
                        return;
                    };
                    let mut words = first.split(' ');
                    let method = words.next().unwrap_or_default().to_owned();
                    let target = words.next().unwrap_or_default();
                    let (path, query) = target.split_once('?').unwrap_or((target, ""));
                    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                    let request = Request {
                        method,
                        path: path.to_owned(),
                        query: pairs
                            .map(|(name, value)| (name.to_owned(), percent_decode(value)))
                            .collect(),
                        headers,
                        body,
                    };
                    let Some((status, body)) = handler(&request) else {
                        return;
                    };
                    let answer = format!(
                        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n\
                         content-length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if reader.get_mut().write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Sends one request on a connection of its own; `None` without a complete answer in time.
pub fn call(
    address: &str,
    host: &str,
    method: &str,
    path: &str,
    key: Option<&str>,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let end = Instant::now() + limit;
    let stream = TcpStream::connect_timeout(&address.parse().ok()?, limit).ok()?;
    let left = end.saturating_duration_since(Instant::now());
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .ok()?;
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream);
    let key = key.map_or_else(String::new, |key| format!("authorization: Token {key}\r\n"));
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\n{key}content-type: application/json\r\n\
         x-deadline-ms: {}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        limit.as_millis(),
        body.len()
    );
    reader.get_mut().write_all(head.as_bytes()).ok()?;
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, read_body(&mut reader, &headers)?))
}
