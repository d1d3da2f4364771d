//! Client of the state service.

use crate::controller::CommitOutcome;
use crate::protocol::{JobStatus, KeyValue, KeyValuePage, Transaction, WatchResponse};
use crate::records::JobRecord;
use crate::replica::past_key;
use awc::Client;
use awc::http::StatusCode;
use serde::Deserialize;
use std::time::Duration;

/// Why a read did not succeed.
#[derive(Debug, thiserror::Error, Clone, PartialEq, Eq)]
pub enum StateError {
    /// 429: the budget of requests is used up.
    #[error("too many requests")]
    Busy,
    /// 503, no answer, or no connection.
    #[error("out of reach")]
    Down,
    /// 410: the watch must begin anew.
    #[error("history is gone")]
    Compacted,
    /// An answer that makes no sense.
    #[error("answer not understood: {0}")]
    Odd(String),
}

/// Answer to asking for or renewing a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// Granted or renewed.
    Held(u64),
    /// Over.
    Gone,
    /// No or not now.
    Failed,
}

/// The client. Cheap to clone; connections are kept and shared.
#[derive(Clone)]
pub struct StateClient {
    http: Client,
    base: String,
}

/// Longest wait for one read of the archive that no user waits for.
const ARCHIVE_WAIT: Duration = Duration::from_millis(1500);

/// Largest body accepted from the state service.
const BODY: usize = 64 << 20;

impl StateClient {
    /// A client of the service at `addr`.
    pub fn new(http: Client, addr: &str) -> Self {
        Self {
            http,
            base: format!("http://{addr}"),
        }
    }

    async fn get(&self, path: &str, wait: Duration) -> Result<(StatusCode, Vec<u8>), StateError> {
        let request = self
            .http
            .get(format!("{}{path}", self.base))
            .timeout(wait)
            .send();
        let answer = request.await.map_err(|_| StateError::Down)?;
        let mut answer = answer.timeout(wait);
        let body = answer.body().limit(BODY);
        let body = body.await.map_err(|_| StateError::Down)?;
        match answer.status() {
            StatusCode::TOO_MANY_REQUESTS => Err(StateError::Busy),
            StatusCode::GONE => Err(StateError::Compacted),
            s if s.is_success() || s == StatusCode::NOT_FOUND => Ok((s, body.to_vec())),
            s if s.is_server_error() => Err(StateError::Down),
            s => Err(StateError::Odd(s.to_string())),
        }
    }

    /// Reads one key.
    pub async fn read(&self, key: &str, wait: Duration) -> Result<Option<KeyValue>, StateError> {
        let (status, body) = self.get(&format!("/keys/{key}"), wait).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        parse(&body).map(Some)
    }

    /// Reads a job that is over from the archive.
    pub async fn archived(
        &self,
        job: &str,
        wait: Duration,
    ) -> Result<Option<JobRecord>, StateError> {
        let Some(item) = self.read(&past_key(job), wait).await? else {
            return Ok(None);
        };
        let record = item.value.read();
        record.map(Some).map_err(|e| StateError::Odd(e.to_string()))
    }

    /// Reads the final states of jobs from the archive, as far as they are there.
    pub async fn final_states(&self, jobs: &[String]) -> Vec<(String, JobStatus)> {
        let mut found = Vec::new();
        for job in jobs {
            if let Ok(Some(record)) = self.archived(job, ARCHIVE_WAIT).await {
                found.push((job.clone(), record.status));
            }
        }
        found
    }

    /// Reads the service's revision, on the way of a key that is short.
    pub async fn revision_of(&self, key: &str, wait: Duration) -> Result<u64, StateError> {
        let path = format!("/keys?starts={key}&limit=1");
        let (_, body) = self.get(&path, wait).await?;
        parse::<KeyValuePage>(&body).map(|l| l.revision)
    }

    /// Reads every key with a prefix. The revisions are those of the first and of the last page.
    pub async fn list(&self, prefix: &str) -> Result<(Vec<KeyValue>, u64, u64), StateError> {
        let mut items: Vec<KeyValue> = Vec::new();
        let mut revision = None;
        loop {
            let after = items.last().map(|i| format!("&after={}", i.key));
            let path = format!(
                "/keys?starts={prefix}&limit=500{}",
                after.unwrap_or_default()
            );
            let (_, body) = self.get(&path, Duration::from_secs(3)).await?;
            let page: KeyValuePage = parse(&body)?;
            revision.get_or_insert(page.revision);
            let more = page.has_next && !page.items.is_empty();
            items.extend(page.items);
            if !more {
                return Ok((items, revision.unwrap_or(0), page.revision));
            }
        }
    }

    /// Waits for changes after a revision.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait_ms: u64,
    ) -> Result<WatchResponse, StateError> {
        let path = format!("/watch?starts={prefix}&after={after}&waitMs={wait_ms}");
        let wait = Duration::from_millis(wait_ms + 1500);
        let (_, body) = self.get(&path, wait).await?;
        parse(&body)
    }

    async fn post(&self, path: &str, body: &impl serde::Serialize, wait: Duration) -> Answer {
        let Ok(text) = serde_json::to_vec(body) else {
            return Answer::None;
        };
        let request = self
            .http
            .post(format!("{}{path}", self.base))
            .content_type("application/json")
            .timeout(wait)
            .send_body(text);
        let Ok(answer) = request.await else {
            return Answer::None;
        };
        let mut answer = answer.timeout(wait);
        match answer.body().limit(BODY).await {
            Ok(body) => Answer::Some(answer.status(), body.to_vec()),
            Err(_) => Answer::None,
        }
    }

    /// Sends a transaction.
    pub async fn commit(&self, transaction: &Transaction, wait: Duration) -> CommitOutcome {
        #[derive(Deserialize, Default)]
        struct CommitResponse {
            #[serde(default)]
            #[serde(rename = "ledger")]
            revision: u64,
        }
        let Answer::Some(status, body) = self.post("/commit", transaction, wait).await else {
            return CommitOutcome::Unknown;
        };
        match status {
            StatusCode::OK => match serde_json::from_slice::<CommitResponse>(&body) {
                Ok(l) => CommitOutcome::Done(l.revision),
                Err(_) => CommitOutcome::Unknown,
            },
            StatusCode::CONFLICT => {
                let l: CommitResponse = serde_json::from_slice(&body).unwrap_or_default();
                CommitOutcome::Conflict(l.revision)
            }
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                CommitOutcome::Refused
            }
            StatusCode::BAD_REQUEST => {
                let text = String::from_utf8_lossy(&body).into_owned();
                if text.contains("no such lease") {
                    return CommitOutcome::NoLease;
                }
                let (changes, preconditions) =
                    (transaction.mutations.len(), transaction.preconditions.len());
                tracing::error!(
                    text,
                    changes,
                    preconditions,
                    "the state service calls a transaction malformed"
                );
                CommitOutcome::Malformed
            }
            _ => CommitOutcome::Unknown,
        }
    }

    /// Asks for a lease.
    pub async fn lease(&self, life_ms: u64) -> LeaseAnswer {
        #[derive(Deserialize)]
        struct GrantedLease {
            #[serde(rename = "permit")]
            lease_id: u64,
        }
        let body = serde_json::json!({ "lifeMs": life_ms });
        match self
            .post("/leases", &body, Duration::from_millis(1500))
            .await
        {
            Answer::Some(StatusCode::OK, body) => {
                match serde_json::from_slice::<GrantedLease>(&body) {
                    Ok(p) => LeaseAnswer::Held(p.lease_id),
                    Err(_) => LeaseAnswer::Failed,
                }
            }
            _ => LeaseAnswer::Failed,
        }
    }

    /// Renews a lease.
    pub async fn renew(&self, lease_id: u64) -> LeaseAnswer {
        let path = format!("/leases/{lease_id}/extend");
        let body = serde_json::json!({});
        match self.post(&path, &body, Duration::from_millis(1500)).await {
            Answer::Some(StatusCode::OK, _) => LeaseAnswer::Held(lease_id),
            Answer::Some(StatusCode::NOT_FOUND, _) => LeaseAnswer::Gone,
            _ => LeaseAnswer::Failed,
        }
    }
}

enum Answer {
    Some(StatusCode, Vec<u8>),
    None,
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, StateError> {
    serde_json::from_slice(body).map_err(|e| StateError::Odd(e.to_string()))
}
