//! A fake endpoint, whose behaviour the body of each request selects.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use sha2::{Digest, Sha256};

/// `Log` lists the runs of all endpoints in order, as request ids and attempts.
pub type Log = Arc<Mutex<Vec<(String, u32)>>>;

/// `Endpoint` is a running fake endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub address: String,
    counts: Arc<Mutex<Counts>>,
}

#[derive(Debug, Default)]
struct Counts {
    busy: usize,
    most: usize,
    open: usize,
    refusing: bool,
    released: bool,
    served: usize,
}

impl Endpoint {
    pub async fn start(log: Log) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let endpoint = Self {
            address: listener.local_addr().unwrap().to_string(),
            counts: Arc::default(),
        };
        let own = endpoint.clone();
        async_std::task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                async_std::task::spawn(own.clone().connection(stream, Arc::clone(&log)));
            }
        });
        endpoint
    }

    /// Returns the most requests that ran at once.
    pub fn most(&self) -> usize {
        self.counts.lock().unwrap().most
    }

    /// Returns how many requests ran.
    pub fn served(&self) -> usize {
        self.counts.lock().unwrap().served
    }

    /// Returns how many connections are open.
    pub fn open(&self) -> usize {
        self.counts.lock().unwrap().open
    }

    /// Sets whether requests are refused before they run.
    pub fn refuse(&self, on: bool) {
        self.counts.lock().unwrap().refusing = on;
    }

    /// Lets requests with the body `gated` be answered.
    pub fn release(&self) {
        self.counts.lock().unwrap().released = true;
    }

    async fn connection(self, mut stream: TcpStream, log: Log) {
        self.counts.lock().unwrap().open += 1;
        while let Some((id, attempt, body)) = read(&mut stream).await {
            let refused = self.counts.lock().unwrap().refusing;
            if refused {
                let head =
                    "HTTP/1.1 503 Refused\r\nx-marigold-refused: 1\r\ncontent-length: 0\r\n\r\n";
                let _ = stream.write_all(head.as_bytes()).await;
                continue;
            }
            let nth = {
                let mut log = log.lock().unwrap();
                log.push((id.clone(), attempt));
                log.iter().filter(|run| run.0 == id).count()
            };
            self.count_start();
            while body == "gated" && !self.counts.lock().unwrap().released {
                async_std::task::sleep(Duration::from_millis(5)).await;
            }
            let keep_open = answer(&mut stream, &id, &body, nth).await;
            self.counts.lock().unwrap().busy -= 1;
            if keep_open.is_none() {
                break;
            }
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
        self.counts.lock().unwrap().open -= 1;
    }

    fn count_start(&self) {
        let mut counts = self.counts.lock().unwrap();
        counts.busy += 1;
        counts.served += 1;
        counts.most = counts.most.max(counts.busy);
    }
}

/// Reads one request; returns its id, attempt and body.
async fn read(stream: &mut TcpStream) -> Option<(String, u32, String)> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?.to_lowercase();
    let field = |name: &str| {
        let line = head.lines().find(|line| line.starts_with(name))?;
        Some(line[name.len()..].trim().to_owned())
    };
    let length = field("content-length:")?.parse().ok()?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    let attempt = field("x-marigold-attempt:")?.parse().ok()?;
    let id = field("x-marigold-request:")?;
    Some((id, attempt, String::from_utf8(body).ok()?))
}

/// Answers as the body selects; `None` closes the connection.
async fn answer(stream: &mut TcpStream, id: &str, body: &str, nth: usize) -> Option<()> {
    let mut words = body.split(' ');
    let word = words.next().unwrap_or_default();
    let number = words.next().and_then(|word| word.parse().ok()).unwrap_or(0);
    let whole = match word {
        "large" | "large-cut" | "chunked" | "chunked-cut" => "x".repeat(number as usize),
        _ => format!("answer to {id}: {body}"),
    };
    let good = sha(&whole);
    match word {
        "slow" => {
            async_std::task::sleep(Duration::from_millis(number)).await;
            send(stream, id, &whole, whole.len(), &good).await
        }
        "die" => None,
        "die-once" if nth <= 1 => None,
        "hang" => {
            async_std::task::sleep(Duration::from_secs(20)).await;
            None
        }
        "cut" => {
            send(stream, id, &whole[..5], whole.len(), &good).await;
            None
        }
        "large-cut" => {
            send(stream, id, &whole[..whole.len() - 1], whole.len(), &good).await;
            None
        }
        "half-head" => {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nx-mari").await;
            None
        }
        "other" => send(stream, "another-request", &whole, whole.len(), &good).await,
        "false" => send(stream, id, &whole, whole.len(), &sha("false")).await,
        "long" => send(stream, id, &format!("{whole}more"), whole.len(), &good).await,
        "chunked" => chunked(stream, id, &whole, &good, true).await,
        "chunked-cut" => chunked(stream, id, &whole, &good, false).await,
        _ => send(stream, id, &whole, whole.len(), &good).await,
    }
}

async fn send(
    stream: &mut TcpStream,
    id: &str,
    body: &str,
    length: usize,
    sha: &str,
) -> Option<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-marigold-request: {id}\r\nx-marigold-digest: {sha}\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    stream.write_all(body.as_bytes()).await.ok()
}

async fn chunked(
    stream: &mut TcpStream,
    id: &str,
    body: &str,
    sha: &str,
    whole: bool,
) -> Option<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-marigold-request: {id}\r\nx-marigold-digest: {sha}\r\nx-marigold-length: {}\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n",
        body.len(),
        body.len()
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    let most = if whole { body.len() } else { body.len() / 2 };
    stream.write_all(&body.as_bytes()[..most]).await.ok()?;
    if !whole {
        return None;
    }
    stream.write_all(b"\r\n0\r\n\r\n").await.ok()
}

fn sha(text: &str) -> String {
    let digest = Sha256::digest(text.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
