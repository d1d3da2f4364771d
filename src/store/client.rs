//! The HTTP client of the key-value store: `PROTOCOL`, "Controller nodes -> state service".

use super::{CommitOutcome, LeaseOutcome, PrefixRead, StoreError};
use crate::protocol::{
    CommitResponse, GrantedLease, JobStatus, KeyValue, KeyValuePage, LeaseRequest, Transaction,
    WatchResponse,
};
use crate::records::JobRecord;
use crate::replica::archive_key;
use awc::Client;
use awc::http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Longest wait for one read of the archive that no user waits for.
const ARCHIVE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest wait for a lease, or for its renewal.
const LEASE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest wait for one page of a prefix.
const PAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// What a watch may take in excess of the time that the store is told to wait.
const WATCH_MARGIN: Duration = Duration::from_millis(1500);
/// Keys asked for in one page of a prefix.
const PAGE_KEYS: usize = 500;
/// Largest body accepted from the store, bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// What the store answers to a transaction that names a lease which has expired.
const NO_SUCH_LEASE: &str = "no such lease";

/// The client. Cheap to clone; connections are kept and shared.
#[derive(Clone)]
pub struct StoreClient {
    http: Client,
    base_url: String,
}

/// An answer that arrived whole.
struct Answer {
    status: StatusCode,
    body: Vec<u8>,
}

impl StoreClient {
    /// A client of the store at `address`, `host:port`.
    pub fn new(http: Client, address: &str) -> Self {
        Self {
            http,
            base_url: format!("http://{address}"),
        }
    }

    /// Reads one key; none if it does not exist.
    ///
    /// # Errors
    ///
    /// If the store refuses the read, does not answer within `timeout`, or answers something else.
    pub async fn read(&self, key: &str, timeout: Duration) -> Result<Option<KeyValue>, StoreError> {
        let answer = self.get(&format!("/keys/{key}"), timeout).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        parse(&answer.body).map(Some)
    }

    /// Reads a job that is over from the archive; none if it is not there.
    ///
    /// # Errors
    ///
    /// As [`read`](Self::read), and if the value is not a job's.
    pub async fn archived_job(
        &self,
        job: &str,
        timeout: Duration,
    ) -> Result<Option<JobRecord>, StoreError> {
        let Some(item) = self.read(&archive_key(job), timeout).await? else {
            return Ok(None);
        };
        let record = item.value.read();
        record.map(Some).map_err(invalid_response)
    }

    /// Reads the final states of jobs from the archive, as far as they are there and can be read.
    pub async fn archived_statuses(&self, jobs: &[String]) -> Vec<(String, JobStatus)> {
        let mut found = Vec::new();
        for job in jobs {
            if let Ok(Some(record)) = self.archived_job(job, ARCHIVE_TIMEOUT).await {
                found.push((job.clone(), record.status));
            }
        }
        found
    }

    /// Reads the store's revision. The request lists `key`, whose value should be short.
    ///
    /// # Errors
    ///
    /// As [`read`](Self::read).
    pub async fn revision(&self, key: &str, timeout: Duration) -> Result<u64, StoreError> {
        let path = format!("/keys?starts={key}&limit=1");
        let answer = self.get(&path, timeout).await?;
        parse::<KeyValuePage>(&answer.body).map(|page| page.revision)
    }

    /// Reads every key with a prefix, page by page.
    ///
    /// # Errors
    ///
    /// As [`read`](Self::read), for any of the pages.
    pub async fn list(&self, prefix: &str) -> Result<PrefixRead, StoreError> {
        let mut items: Vec<KeyValue> = Vec::new();
        let mut first_revision = None;
        loop {
            let after = items.last().map(|item| format!("&after={}", item.key));
            let path = format!(
                "/keys?starts={prefix}&limit={PAGE_KEYS}{}",
                after.unwrap_or_default()
            );
            let answer = self.get(&path, PAGE_TIMEOUT).await?;
            let page: KeyValuePage = parse(&answer.body)?;
            first_revision.get_or_insert(page.revision);
            let more = page.has_next && !page.items.is_empty();
            items.extend(page.items);
            if !more {
                return Ok(PrefixRead {
                    items,
                    first_revision: first_revision.unwrap_or(0),
                    last_revision: page.revision,
                });
            }
        }
    }

    /// Waits, at most `wait_ms` milliseconds, for changes of keys with a prefix after a revision.
    ///
    /// # Errors
    ///
    /// As [`read`](Self::read), and [`StoreError::Compacted`] if the revision is too old.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait_ms: u64,
    ) -> Result<WatchResponse, StoreError> {
        let path = format!("/watch?starts={prefix}&after={after}&waitMs={wait_ms}");
        let timeout = Duration::from_millis(wait_ms) + WATCH_MARGIN;
        let answer = self.get(&path, timeout).await?;
        parse(&answer.body)
    }

    /// Sends a transaction. It is sent once: what was not answered may have been carried out.
    pub async fn commit(&self, transaction: &Transaction, timeout: Duration) -> CommitOutcome {
        let Some(answer) = self.post("/commit", transaction, timeout).await else {
            return CommitOutcome::Unknown;
        };
        let response = serde_json::from_slice::<CommitResponse>(&answer.body);
        match answer.status {
            StatusCode::OK => response.map_or(CommitOutcome::Unknown, |response| {
                CommitOutcome::Done(response.revision)
            }),
            StatusCode::CONFLICT => CommitOutcome::Conflict(response.unwrap_or_default().revision),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                CommitOutcome::Refused
            }
            StatusCode::BAD_REQUEST => classify_bad_request(transaction, &answer.body),
            _ => CommitOutcome::Unknown,
        }
    }

    /// Asks for a lease that expires after `ttl_ms` milliseconds unless it is renewed.
    pub async fn lease(&self, ttl_ms: u64) -> LeaseOutcome {
        let request = LeaseRequest { ttl_ms };
        match self.post("/leases", &request, LEASE_TIMEOUT).await {
            Some(answer) if answer.status == StatusCode::OK => {
                match parse::<GrantedLease>(&answer.body) {
                    Ok(granted) => LeaseOutcome::Held(granted.lease_id),
                    Err(_) => LeaseOutcome::Failed,
                }
            }
            _ => LeaseOutcome::Failed,
        }
    }

    /// Renews a lease.
    pub async fn renew(&self, lease_id: u64) -> LeaseOutcome {
        let path = format!("/leases/{lease_id}/extend");
        let empty = serde_json::json!({});
        let answer = self.post(&path, &empty, LEASE_TIMEOUT).await;
        match answer.map(|answer| answer.status) {
            Some(StatusCode::OK) => LeaseOutcome::Held(lease_id),
            Some(StatusCode::NOT_FOUND) => LeaseOutcome::Expired,
            _ => LeaseOutcome::Failed,
        }
    }

    /// Sends a read. An answer of 404 is no error here: it says that a key does not exist.
    async fn get(&self, path: &str, timeout: Duration) -> Result<Answer, StoreError> {
        let request = self
            .http
            .get(format!("{}{path}", self.base_url))
            .timeout(timeout)
            .send();
        let response = request.await.map_err(|_| StoreError::Unavailable)?;
        let mut response = response.timeout(timeout);
        let body = response.body().limit(MAX_BODY_BYTES);
        let body = body.await.map_err(|_| StoreError::Unavailable)?.to_vec();
        match response.status() {
            StatusCode::TOO_MANY_REQUESTS => Err(StoreError::RateLimited),
            StatusCode::GONE => Err(StoreError::Compacted),
            status if status.is_success() || status == StatusCode::NOT_FOUND => {
                Ok(Answer { status, body })
            }
            status if status.is_server_error() => Err(StoreError::Unavailable),
            status => Err(invalid_response(status)),
        }
    }

    /// Sends a request that changes something; no answer if none arrived whole.
    async fn post(&self, path: &str, body: &impl Serialize, timeout: Duration) -> Option<Answer> {
        let text = serde_json::to_vec(body).ok()?;
        let request = self
            .http
            .post(format!("{}{path}", self.base_url))
            .content_type("application/json")
            .timeout(timeout)
            .send_body(text);
        let mut response = request.await.ok()?.timeout(timeout);
        let body = response.body().limit(MAX_BODY_BYTES).await.ok()?;
        Some(Answer {
            status: response.status(),
            body: body.to_vec(),
        })
    }
}

/// What became of a transaction that was answered with 400.
fn classify_bad_request(transaction: &Transaction, body: &[u8]) -> CommitOutcome {
    let text = String::from_utf8_lossy(body).into_owned();
    if text.contains(NO_SUCH_LEASE) {
        return CommitOutcome::NoLease;
    }
    tracing::error!(
        text,
        mutations = transaction.mutations.len(),
        preconditions = transaction.preconditions.len(),
        "store rejected a transaction as malformed"
    );
    CommitOutcome::Malformed
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(invalid_response)
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "passed to `map_err`, which gives the error by value"
)]
fn invalid_response(error: impl ToString) -> StoreError {
    StoreError::InvalidResponse(error.to_string())
}
