//! The operators' HTTP client: asks one entry of a list, and the next when one does not answer.

use std::time::Duration;

use async_std::future::timeout;
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use http_types::{Method, Request, Response, StatusCode, Url};
use marigoldpick_core::code::Code;
use marigoldpick_core::id;
use marigoldpick_core::operator::{
    Accepted, Ask, Cancel, Confirm, Drain, Explain, Problem, Status, Timeline,
};
use marigoldpick_core::plan::Plan;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The variable that names entries when no `--entry` is given.
pub const ENTRY_VARIABLE: &str = "MARIGOLD_ENTRY";
/// The entry that is asked when none is named.
pub const DEFAULT_ENTRY: &str = "127.0.0.1:7400";
/// The longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest wait for a whole answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// The largest answer, in bytes.
const MAX_ANSWER: u64 = 64 << 20;

/// `Client` asks entries.
#[derive(Clone, Debug)]
pub struct Client {
    entries: Vec<String>,
}

/// `Failure` is why one entry gave no answer.
#[derive(Clone, Debug)]
enum Failure {
    /// The entry was not reached: the call had no effect.
    Away(String),
    /// The answer was lost: the call may have had an effect.
    Lost(String),
    /// The entry answered with a problem.
    Problem(Problem),
}

impl Client {
    /// Makes a client for the entries named, or those of the environment, or the default one.
    ///
    /// # Errors
    /// `BadValue` when an address is no IP number and port.
    pub fn new(named: &[String]) -> Result<Self, Problem> {
        let environment = std::env::var(ENTRY_VARIABLE).unwrap_or_default();
        let words = if named.is_empty() {
            vec![environment]
        } else {
            named.to_vec()
        };
        let mut entries = Vec::new();
        for word in words.iter().flat_map(|word| word.split(',')) {
            let word = word.trim();
            if !word.is_empty() {
                entries.push(address(word)?);
            }
        }
        if entries.is_empty() {
            entries.push(DEFAULT_ENTRY.to_owned());
        }
        Ok(Self { entries })
    }

    /// Makes a client of these entries, each an IP number and a port.
    #[must_use]
    pub const fn of(entries: Vec<String>) -> Self {
        Self { entries }
    }

    /// Returns the entries' addresses.
    #[must_use]
    pub fn entries(&self) -> &[String] {
        &self.entries
    }

    /// Asks for a plan.
    ///
    /// # Errors
    /// The entry's problem, or `PeerAway` when no entry answers.
    pub async fn plan(&self, ask: &Ask) -> Result<Plan, Problem> {
        self.read(Method::Post, "/v1/plan", ask).await
    }

    /// Confirms a plan. Plans are held by the entry that made them, so all are asked.
    ///
    /// # Errors
    /// The entry's problem, `AcceptUnknown` when the answer was lost, or `PeerAway`.
    pub async fn confirm(&self, plan: id::Plan) -> Result<Accepted, Problem> {
        self.change("/v1/confirm", &Confirm { plan }).await
    }

    /// Cancels jobs.
    ///
    /// # Errors
    /// The entry's problem, `AcceptUnknown` when the answer was lost, or `PeerAway`.
    pub async fn cancel(&self, jobs: Vec<id::Job>) -> Result<Accepted, Problem> {
        self.change("/v1/cancel", &Cancel { jobs }).await
    }

    /// Starts or ends a drain.
    ///
    /// # Errors
    /// The entry's problem, `AcceptUnknown` when the answer was lost, or `PeerAway`.
    pub async fn drain(&self, drain: &Drain) -> Result<Accepted, Problem> {
        self.change("/v1/drain", drain).await
    }

    /// Reads what an entry knows.
    ///
    /// # Errors
    /// The entry's problem, or `PeerAway` when no entry answers.
    pub async fn status(&self) -> Result<Status, Problem> {
        self.read(Method::Get, "/v1/status", &()).await
    }

    /// Reads why a task is as it is. An entry that leads none of its shards knows less, so the
    /// next one is asked on `NotLead` and `UnknownTask`.
    ///
    /// # Errors
    /// The entry's problem, or `PeerAway` when no entry answers.
    pub async fn explain(&self, task: &id::Task) -> Result<Explain, Problem> {
        let path = format!("/v1/explain/{}", task.to_string().replace('/', "%2F"));
        self.read(Method::Get, &path, &()).await
    }

    /// Reads a page of an entry's events.
    ///
    /// # Errors
    /// The entry's problem, or `PeerAway` when no entry answers.
    pub async fn timeline(&self, after: u64) -> Result<Timeline, Problem> {
        let path = format!("/v1/timeline?after={after}");
        self.read(Method::Get, &path, &()).await
    }

    async fn read<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        question: &Q,
    ) -> Result<A, Problem> {
        let mut last = None;
        for entry in &self.entries {
            match call(entry, method, path, question).await {
                Ok(answer) => return Ok(answer),
                Err(Failure::Problem(problem)) if !elsewhere(problem.code) => return Err(problem),
                Err(Failure::Problem(problem)) => last = Some(problem),
                Err(Failure::Away(why) | Failure::Lost(why)) => {
                    last.get_or_insert_with(|| away(entry, &why));
                }
            }
        }
        Err(last.unwrap_or_else(|| Problem::new(Code::PeerAway, "no entry is named")))
    }

    async fn change<Q: Serialize>(&self, path: &str, question: &Q) -> Result<Accepted, Problem> {
        let mut last = None;
        for entry in &self.entries {
            match call(entry, Method::Post, path, question).await {
                Ok(answer) => return Ok(answer),
                Err(Failure::Problem(problem)) if !elsewhere(problem.code) => return Err(problem),
                Err(Failure::Problem(problem)) => last = Some(problem),
                Err(Failure::Away(why)) => {
                    last.get_or_insert_with(|| away(entry, &why));
                }
                Err(Failure::Lost(why)) => {
                    let details = format!("{entry}: {why}; look at status first");
                    return Err(Problem::new(Code::AcceptUnknown, details));
                }
            }
        }
        Err(last.unwrap_or_else(|| Problem::new(Code::PeerAway, "no entry is named")))
    }
}

/// Tells whether another entry may know more.
const fn elsewhere(code: Code) -> bool {
    matches!(
        code,
        Code::UnknownPlan | Code::UnknownTask | Code::NotLead | Code::NoLead
    )
}

fn away(entry: &str, why: &str) -> Problem {
    Problem::new(Code::PeerAway, format!("{entry}: {why}"))
}

fn address(word: &str) -> Result<String, Problem> {
    match word.parse::<std::net::SocketAddr>() {
        Ok(address) => Ok(address.to_string()),
        Err(_) => Err(Problem::new(
            Code::BadValue,
            format!("--entry {word}: must be an IP number and a port, such as {DEFAULT_ENTRY}"),
        )),
    }
}

async fn call<Q: Serialize, A: DeserializeOwned>(
    entry: &str,
    method: Method,
    path: &str,
    question: &Q,
) -> Result<A, Failure> {
    let request = request(entry, method, path, question)?;
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(entry))
        .await
        .map_err(|_late| Failure::Away("no connection in time".to_owned()))?
        .map_err(|error| Failure::Away(error.to_string()))?;
    let answer = timeout(ANSWER_TIMEOUT, exchange(stream, request))
        .await
        .map_err(|_late| Failure::Lost("no answer in time".to_owned()))?;
    let (status, body) = answer.map_err(Failure::Lost)?;
    decode(status, &body)
}

fn request<Q: Serialize>(
    entry: &str,
    method: Method,
    path: &str,
    question: &Q,
) -> Result<Request, Failure> {
    let url = Url::parse(&format!("http://{entry}{path}"))
        .map_err(|error| Failure::Away(error.to_string()))?;
    let mut request = Request::new(method, url);
    if method == Method::Post {
        let body =
            serde_json::to_string(question).map_err(|error| Failure::Away(error.to_string()))?;
        request.set_body(body);
        request.set_content_type(http_types::mime::JSON);
    }
    request.insert_header("connection", "close");
    Ok(request)
}

async fn exchange(stream: TcpStream, request: Request) -> Result<(StatusCode, Vec<u8>), String> {
    let response: Response = async_h1::connect(stream, request)
        .await
        .map_err(|error| error.to_string())?;
    let status = response.status();
    let length = response.len();
    let mut body = Vec::new();
    response
        .take(MAX_ANSWER)
        .read_to_end(&mut body)
        .await
        .map_err(|error| error.to_string())?;
    if length.is_some_and(|length| length != body.len()) {
        return Err("the answer was cut short".to_owned());
    }
    Ok((status, body))
}

fn decode<A: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<A, Failure> {
    if status.is_success() {
        return serde_json::from_slice(body)
            .map_err(|error| Failure::Lost(format!("the answer is malformed: {error}")));
    }
    let problem = serde_json::from_slice(body).unwrap_or_else(|_source| {
        Problem::new(Code::BadRequest, format!("the entry answered {status}"))
    });
    Err(Failure::Problem(problem))
}
