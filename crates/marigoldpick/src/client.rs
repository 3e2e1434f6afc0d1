//! Provides the operators' HTTP client, which fails over to the next entry of a list.

use std::time::Duration;

use async_std::future::timeout;
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use http_types::{Method, Request, Response, StatusCode, Url};
use marigoldpick_core::code::Code;
use marigoldpick_core::id;
use marigoldpick_core::operator::{
    Accepted, Cancel, Confirm, Drain, Explain, PlanRequest, Problem, Status, Timeline,
};
use marigoldpick_core::plan::Plan;
use marigoldpick_core::team::Overview;
use marigoldpick_core::work::Job;
use marigoldpick_core::work::explain::Answer;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The environment variable with the entries to use when no `--entry` is given.
pub const ENTRY_VARIABLE: &str = "MARIGOLD_ENTRY";
/// The address of the entry to use when none is given.
pub const DEFAULT_ENTRY: &str = "127.0.0.1:7400";
/// The timeout for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The timeout for a complete response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// The most bytes that are read of a response body.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// `Client` sends operators' calls to entries.
#[derive(Clone, Debug)]
pub struct Client {
    entries: Vec<String>,
}

/// `Failure` is the reason why a call to one entry failed.
#[derive(Clone, Debug)]
enum Failure {
    /// The entry could not be reached, so the call had no effect.
    Unreachable(String),
    /// The response was lost, so the call may have had an effect.
    ResponseLost(String),
    /// The entry responded with a problem.
    Problem(Problem),
}

impl Client {
    /// Creates a client for the named entries.
    ///
    /// When none is named, the client uses the entries of the environment, or else the default one.
    ///
    /// # Errors
    /// `BadValue` when an address is not an IP address and port.
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
                entries.push(parse_address(word)?);
            }
        }
        if entries.is_empty() {
            entries.push(DEFAULT_ENTRY.to_owned());
        }
        Ok(Self { entries })
    }

    /// Creates a client for these entries, each an IP address and port.
    #[must_use]
    pub const fn of(entries: Vec<String>) -> Self {
        Self { entries }
    }

    /// Returns the entries' addresses.
    #[must_use]
    pub fn entries(&self) -> &[String] {
        &self.entries
    }

    /// Requests a plan.
    ///
    /// # Errors
    /// The entry's problem, or `PeerAway` when no entry answers.
    pub async fn plan(&self, ask: &PlanRequest) -> Result<Plan, Problem> {
        self.read(Method::Post, "/v1/plan", ask).await
    }

    /// Confirms a plan.
    ///
    /// Only the entry that made a plan holds it, so the client tries the entries in turn.
    ///
    /// # Errors
    /// The entry's problem, `AcceptUnknown` when the response was lost, or `PeerAway`.
    pub async fn confirm(&self, plan: id::Plan) -> Result<Accepted, Problem> {
        self.change("/v1/confirm", &Confirm { plan }).await
    }

    /// Cancels jobs.
    ///
    /// # Errors
    /// The entry's problem, `AcceptUnknown` when the response was lost, or `PeerAway`.
    pub async fn cancel(&self, jobs: Vec<id::Job>) -> Result<Accepted, Problem> {
        self.change("/v1/cancel", &Cancel { jobs }).await
    }

    /// Starts or ends a drain.
    ///
    /// # Errors
    /// The entry's problem, `AcceptUnknown` when the response was lost, or `PeerAway`.
    pub async fn drain(&self, drain: &Drain) -> Result<Accepted, Problem> {
        self.change("/v1/drain", drain).await
    }

    /// Reads the state of an entry.
    ///
    /// # Errors
    /// The entry's problem, or `PeerAway` when no entry answers.
    pub async fn status(&self) -> Result<Status, Problem> {
        self.read(Method::Get, "/v1/status", &()).await
    }

    /// Reads what an entry on the users' platform knows of the teams.
    ///
    /// # Errors
    /// The entry's problem, or `PeerAway` when no entry answers.
    pub async fn teams(&self) -> Result<Overview, Problem> {
        self.read(Method::Get, "/v1/teams", &()).await
    }

    /// Reads where a job would go, from the first entry that leads.
    ///
    /// If none of the entries leads, the answer is that of the last one that answered.
    ///
    /// # Errors
    /// The entry's problem, or `PeerAway` when no entry answers.
    pub async fn locate(&self, job: &Job) -> Result<Answer, Problem> {
        let mut last = Err(Problem::new(Code::PeerAway, "no entry is given"));
        for entry in &self.entries {
            let client = Self::of(vec![entry.clone()]);
            let answer: Result<Answer, Problem> = client.read(Method::Post, "/v1/where", job).await;
            match answer {
                Ok(answer) if answer.placement.is_some() => return Ok(answer),
                Err(problem) if problem.code != Code::PeerAway => return Err(problem),
                Err(_) if last.is_ok() => {}
                answer => last = answer,
            }
        }
        last
    }

    /// Reads the reasons for the state of a task.
    ///
    /// An entry that leads none of the task's shards may not know the task, so the client tries the
    /// next entry after `NotLead` and `UnknownTask`.
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
        payload: &Q,
    ) -> Result<A, Problem> {
        let mut last = None;
        for entry in &self.entries {
            match call(entry, method, path, payload).await {
                Ok(answer) => return Ok(answer),
                Err(Failure::Problem(problem)) if !can_retry(problem.code) => return Err(problem),
                Err(Failure::Problem(problem)) => last = Some(problem),
                Err(Failure::Unreachable(why) | Failure::ResponseLost(why)) => {
                    last.get_or_insert_with(|| unreachable(entry, &why));
                }
            }
        }
        Err(last.unwrap_or_else(|| Problem::new(Code::PeerAway, "no entry is given")))
    }

    async fn change<Q: Serialize>(&self, path: &str, payload: &Q) -> Result<Accepted, Problem> {
        let mut last = None;
        for entry in &self.entries {
            match call(entry, Method::Post, path, payload).await {
                Ok(answer) => return Ok(answer),
                Err(Failure::Problem(problem)) if !can_retry(problem.code) => return Err(problem),
                Err(Failure::Problem(problem)) => last = Some(problem),
                Err(Failure::Unreachable(why)) => {
                    last.get_or_insert_with(|| unreachable(entry, &why));
                }
                Err(Failure::ResponseLost(why)) => {
                    let details = format!("{entry}: {why}; look at status first");
                    return Err(Problem::new(Code::AcceptUnknown, details));
                }
            }
        }
        Err(last.unwrap_or_else(|| Problem::new(Code::PeerAway, "no entry is given")))
    }
}

/// Returns whether another entry may succeed where this one returned `code`.
const fn can_retry(code: Code) -> bool {
    matches!(
        code,
        Code::UnknownPlan | Code::UnknownTask | Code::NotLead | Code::NoLead
    )
}

fn unreachable(entry: &str, why: &str) -> Problem {
    Problem::new(Code::PeerAway, format!("{entry}: {why}"))
}

fn parse_address(word: &str) -> Result<String, Problem> {
    match word.parse::<std::net::SocketAddr>() {
        Ok(address) => Ok(address.to_string()),
        Err(_) => Err(Problem::new(
            Code::BadValue,
            format!("--entry {word}: must be an IP address and a port, such as {DEFAULT_ENTRY}"),
        )),
    }
}

async fn call<Q: Serialize, A: DeserializeOwned>(
    entry: &str,
    method: Method,
    path: &str,
    payload: &Q,
) -> Result<A, Failure> {
    let request = request(entry, method, path, payload)?;
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(entry))
        .await
        .map_err(|_elapsed| Failure::Unreachable("connection timed out".to_owned()))?
        .map_err(|error| Failure::Unreachable(error.to_string()))?;
    let answer = timeout(RESPONSE_TIMEOUT, exchange(stream, request))
        .await
        .map_err(|_elapsed| Failure::ResponseLost("response timed out".to_owned()))?;
    let (status, body) = answer.map_err(Failure::ResponseLost)?;
    decode(status, &body)
}

fn request<Q: Serialize>(
    entry: &str,
    method: Method,
    path: &str,
    payload: &Q,
) -> Result<Request, Failure> {
    let url = Url::parse(&format!("http://{entry}{path}"))
        .map_err(|error| Failure::Unreachable(error.to_string()))?;
    let mut request = Request::new(method, url);
    if method == Method::Post {
        let body = serde_json::to_string(payload)
            .map_err(|error| Failure::Unreachable(error.to_string()))?;
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
        .take(MAX_RESPONSE_BYTES)
        .read_to_end(&mut body)
        .await
        .map_err(|error| error.to_string())?;
    if length.is_some_and(|length| length != body.len()) {
        return Err("the response was cut short".to_owned());
    }
    Ok((status, body))
}

fn decode<A: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<A, Failure> {
    if status.is_success() {
        return serde_json::from_slice(body)
            .map_err(|error| Failure::ResponseLost(format!("the response is malformed: {error}")));
    }
    let problem = serde_json::from_slice(body).unwrap_or_else(|_error| {
        Problem::new(
            Code::BadRequest,
            format!("the entry responded with {status}"),
        )
    });
    Err(Failure::Problem(problem))
}
