//! HTTP client of the key-value store (`PROTOCOL`, "Controller nodes -> state service").

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

/// Timeout of one archive read that does not serve a user's request.
const ARCHIVE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of a request to grant or renew a lease.
const LEASE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of one page of a prefix read.
const PAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time that a watch may take beyond the wait time requested from the store.
const WATCH_MARGIN: Duration = Duration::from_millis(1500);
/// Maximum number of keys per page of a prefix read.
const PAGE_KEYS: usize = 500;
/// Maximum size of a response body, bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Text in the store's response to a transaction that refers to an expired lease.
const NO_SUCH_LEASE: &str = "no such lease";

/// Client of the key-value store. Cheap to clone; clones share their connections.
#[derive(Clone)]
pub struct StoreClient {
    http: Client,
    base_url: String,
}

/// A complete response.
struct Response {
    status: StatusCode,
    body: Vec<u8>,
}

impl StoreClient {
    /// Creates a client of the store at `address` (`host:port`).
    pub fn new(http: Client, address: &str) -> Self {
        Self {
            http,
            base_url: format!("http://{address}"),
        }
    }

    /// Reads one key; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the store refuses the read, does not respond within `timeout`, or sends an invalid response.
    pub async fn read(&self, key: &str, timeout: Duration) -> Result<Option<KeyValue>, StoreError> {
        let response = self.get(&format!("/keys/{key}"), timeout).await?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        parse(&response.body).map(Some)
    }

    /// Reads a job from the archive; `None` if it is not archived.
    ///
    /// # Errors
    ///
    /// Fails like [`read`](Self::read), and if the value is not a valid job record.
    pub async fn archived_job(
        &self,
        job: &str,
        timeout: Duration,
    ) -> Result<Option<JobRecord>, StoreError> {
        let Some(item) = self.read(&archive_key(job), timeout).await? else {
            return Ok(None);
        };
        let record = item.value.decode();
        record.map(Some).map_err(invalid_response)
    }

    /// Reads the final states of jobs from the archive. Jobs that are missing or cannot be read are left out.
    pub async fn archived_statuses(&self, jobs: &[String]) -> Vec<(String, JobStatus)> {
        let mut found = Vec::new();
        for job in jobs {
            if let Ok(Some(record)) = self.archived_job(job, ARCHIVE_TIMEOUT).await {
                found.push((job.clone(), record.status));
            }
        }
        found
    }

    /// Reads the store's revision, by listing at most one key with the prefix `key`. The value of that key
    /// should be short, because the response contains it.
    ///
    /// # Errors
    ///
    /// Fails like [`read`](Self::read).
    pub async fn revision(&self, key: &str, timeout: Duration) -> Result<u64, StoreError> {
        let path = format!("/keys?starts={key}&limit=1");
        let response = self.get(&path, timeout).await?;
        parse::<KeyValuePage>(&response.body).map(|page| page.revision)
    }

    /// Reads every key with a prefix, page by page.
    ///
    /// # Errors
    ///
    /// Fails like [`read`](Self::read) if any page cannot be read.
    pub async fn list(&self, prefix: &str) -> Result<PrefixRead, StoreError> {
        let mut items: Vec<KeyValue> = Vec::new();
        let mut first_revision = None;
        loop {
            let after = items.last().map(|item| format!("&after={}", item.key));
            let path = format!(
                "/keys?starts={prefix}&limit={PAGE_KEYS}{}",
                after.unwrap_or_default()
            );
            let response = self.get(&path, PAGE_TIMEOUT).await?;
            let page: KeyValuePage = parse(&response.body)?;
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

    /// Waits up to `wait_ms` milliseconds for changes of keys with a prefix after a revision.
    ///
    /// # Errors
    ///
    /// Fails like [`read`](Self::read), and with [`StoreError::Compacted`] if the revision is too old.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait_ms: u64,
    ) -> Result<WatchResponse, StoreError> {
        let path = format!("/watch?starts={prefix}&after={after}&waitMs={wait_ms}");
        let timeout = Duration::from_millis(wait_ms) + WATCH_MARGIN;
        let response = self.get(&path, timeout).await?;
        parse(&response.body)
    }

    /// Sends a transaction. It is never retried, because it may have been applied although no response arrived.
    pub async fn commit(&self, transaction: &Transaction, timeout: Duration) -> CommitOutcome {
        let Some(response) = self.post("/commit", transaction, timeout).await else {
            return CommitOutcome::Unknown;
        };
        let parsed = serde_json::from_slice::<CommitResponse>(&response.body);
        match response.status {
            StatusCode::OK => parsed.map_or(CommitOutcome::Unknown, |parsed| {
                CommitOutcome::Done(parsed.revision)
            }),
            StatusCode::CONFLICT => CommitOutcome::Conflict(parsed.unwrap_or_default().revision),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                CommitOutcome::Refused
            }
            StatusCode::BAD_REQUEST => classify_bad_request(transaction, &response.body),
            _ => CommitOutcome::Unknown,
        }
    }

    /// Requests a lease that expires after `ttl_ms` milliseconds unless it is renewed.
    pub async fn lease(&self, ttl_ms: u64) -> LeaseOutcome {
        let request = LeaseRequest { ttl_ms };
        match self.post("/leases", &request, LEASE_TIMEOUT).await {
            Some(response) if response.status == StatusCode::OK => {
                match parse::<GrantedLease>(&response.body) {
                    Ok(granted) => LeaseOutcome::Held(granted.lease_id),
                    Err(_) => LeaseOutcome::Failed,
                }
            }
            _ => LeaseOutcome::Failed,
        }
    }

    /// Renews a lease for another period of its time to live.
    pub async fn renew(&self, lease_id: u64) -> LeaseOutcome {
        let path = format!("/leases/{lease_id}/extend");
        let empty = serde_json::json!({});
        let response = self.post(&path, &empty, LEASE_TIMEOUT).await;
        match response.map(|response| response.status) {
            Some(StatusCode::OK) => LeaseOutcome::Held(lease_id),
            Some(StatusCode::NOT_FOUND) => LeaseOutcome::Expired,
            _ => LeaseOutcome::Failed,
        }
    }

    /// Sends a read request. A 404 is not an error here: it means that a key does not exist.
    async fn get(&self, path: &str, timeout: Duration) -> Result<Response, StoreError> {
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
                Ok(Response { status, body })
            }
            status if status.is_server_error() => Err(StoreError::Unavailable),
            status => Err(invalid_response(status)),
        }
    }

    /// Sends a request that modifies the store; `None` if no complete response arrived.
    async fn post(&self, path: &str, body: &impl Serialize, timeout: Duration) -> Option<Response> {
        let text = serde_json::to_vec(body).ok()?;
        let request = self
            .http
            .post(format!("{}{path}", self.base_url))
            .content_type("application/json")
            .timeout(timeout)
            .send_body(text);
        let mut response = request.await.ok()?.timeout(timeout);
        let body = response.body().limit(MAX_BODY_BYTES).await.ok()?;
        Some(Response {
            status: response.status(),
            body: body.to_vec(),
        })
    }
}

/// Outcome of a transaction that was answered with 400.
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
    reason = "used with `map_err`, which passes the error by value"
)]
fn invalid_response(error: impl ToString) -> StoreError {
    StoreError::InvalidResponse(error.to_string())
}
