//! Client of the cloud API: catalog, list of machines, rental and return requests (PROTOCOL, cloud).
//!
//! Owns the cloud's address, timeouts and response size limits. A rental request whose outcome is in doubt
//! must never be reported as refused: a machine may have been rented although no response arrived.

use crate::leadership::RentalOutcome;
use crate::protocol::{Catalog, CloudMachine, MachineNames, MachinePage, RentalRequest};
use awc::Client;
use awc::http::StatusCode;
use std::time::Duration;
use tracing::error;

/// Timeout for the head of a response of the cloud, and separately for its body.
const CLOUD_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of the catalog or of a page of machines, bytes.
const MAX_READ_BODY_BYTES: usize = 16 << 20;
/// Maximum size of the response to a rental or return request, bytes.
const MAX_WRITE_BODY_BYTES: usize = 1 << 20;
/// Number of machines in a page of the list.
const PAGE_MACHINES: usize = 500;
/// Text in the 503 by which the cloud confirms that nothing was rented. After any other 503 the outcome is in
/// doubt.
const NO_CAPACITY: &str = "no capacity";

/// Client of the cloud API. Cheap to clone; clones share the connection pool.
#[derive(Clone)]
pub(super) struct CloudClient {
    client: Client,
    base_url: String,
}

impl CloudClient {
    /// Creates a client of the cloud at `addr` (host and port).
    pub(super) fn new(client: Client, addr: &str) -> Self {
        Self {
            client,
            base_url: format!("http://{addr}"),
        }
    }

    /// Reads the catalog of machine types; `None` on any failure.
    pub(super) async fn catalog(self) -> Option<Catalog> {
        self.get(&format!("{}/catalog", self.base_url)).await
    }

    /// Reads all pages of the list of machines; `None` if any page fails.
    pub(super) async fn list_machines(self) -> Option<Vec<CloudMachine>> {
        let mut machines: Vec<CloudMachine> = Vec::new();
        loop {
            let after = machines
                .last()
                .map(|machine| format!("after={}&", machine.name));
            let url = format!(
                "{}/machines?{}limit={PAGE_MACHINES}",
                self.base_url,
                after.unwrap_or_default()
            );
            let page: MachinePage = self.get(&url).await?;
            let has_more = page.has_next && !page.machines.is_empty();
            machines.extend(page.machines);
            if !has_more {
                return Some(machines);
            }
        }
    }

    /// Rents machines. The request id makes the request idempotent.
    pub(super) async fn rent(self, request: RentalRequest) -> RentalOutcome {
        let url = format!("{}/machines", self.base_url);
        match self.post(url, &request).await {
            Some((StatusCode::OK, body)) => match serde_json::from_slice::<MachineNames>(&body) {
                Ok(rented) => RentalOutcome::Rented(rented.machines),
                Err(_) => RentalOutcome::Unknown,
            },
            Some((StatusCode::SERVICE_UNAVAILABLE, body))
                if String::from_utf8_lossy(&body).contains(NO_CAPACITY) =>
            {
                RentalOutcome::Refused
            }
            Some((StatusCode::BAD_REQUEST, body)) => {
                let answer = String::from_utf8_lossy(&body).into_owned();
                error!(
                    answer,
                    request_id = request.request_id,
                    "cloud rejected rental request as malformed"
                );
                RentalOutcome::Refused
            }
            _ => RentalOutcome::Unknown,
        }
    }

    /// Returns machines to the cloud. The result is whether the cloud confirmed the return.
    pub(super) async fn return_machines(self, machines: Vec<String>) -> bool {
        let url = format!("{}/machines/return", self.base_url);
        let response = self.post(url, &MachineNames { machines }).await;
        response.is_some_and(|(status, _)| status == StatusCode::OK)
    }

    async fn get<T: serde::de::DeserializeOwned>(&self, url: &str) -> Option<T> {
        let request = self.client.get(url).timeout(CLOUD_TIMEOUT).send();
        let mut response = request.await.ok()?.timeout(CLOUD_TIMEOUT);
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = response.body().limit(MAX_READ_BODY_BYTES).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    async fn post(
        &self,
        url: String,
        body: &impl serde::Serialize,
    ) -> Option<(StatusCode, Vec<u8>)> {
        let request = self
            .client
            .post(url)
            .content_type("application/json")
            .timeout(CLOUD_TIMEOUT)
            .send_body(serde_json::to_vec(body).ok()?);
        let mut response = request.await.ok()?;
        let body = response.body().limit(MAX_WRITE_BODY_BYTES).await.ok()?;
        Some((response.status(), body.to_vec()))
    }
}
