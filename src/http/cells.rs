//! Requests from controllers of other cells: loan offers and reports about loans (spillover).
//!
//! The controller decides on a request, the decision is committed, and only then is the response sent. A
//! decision must never be sent before it is recorded.

use super::peers::message_pack;
use super::responses::refuse;
use super::{ApiState, BodyResult, MAX_PEER_BODY_BYTES, READ_TIMEOUT, WRITE_TIMEOUT};
use crate::protocol::JobSpec;
use crate::replica::archive_key;
use crate::spillover::{ArchivedJob, CellRequest, OfferPlan};
use crate::store::CommitOutcome;
use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, web};
use quillbend_spillover::message::{
    CellResponse, LoanReport, Offer, OfferDecision, OfferResponse, RejectionReason, RequestBody,
};

/// Maximum attempts at deciding an offer; the second attempt follows a read of the archive.
const MAX_OFFER_ATTEMPTS: usize = 2;

/// `POST /cell`: handles a request from another cell, or one relayed by a controller of this cell.
pub(super) async fn cell(
    request: HttpRequest,
    api_state: web::Data<ApiState>,
    body: BodyResult,
) -> HttpResponse {
    let parsed = body
        .ok()
        .filter(|body| body.len() <= MAX_PEER_BODY_BYTES)
        .and_then(|body| rmp_serde::from_slice::<CellRequest>(&body).ok());
    let Some(message) = parsed else {
        return refuse(StatusCode::BAD_REQUEST, "not a message of another cell");
    };
    let source = request.peer_addr().map(|address| address.ip());
    let refused = api_state
        .shared
        .controller
        .lock()
        .refuse_cell_request(&message, source);
    let response = match refused {
        Some(refusal) => refusal,
        None => api_state.handle_request(&message).await,
    };
    message_pack(&response)
}

impl ApiState {
    /// Handles a request that passed `refuse_cell_request`.
    async fn handle_request(&self, request: &CellRequest) -> CellResponse {
        match &request.body {
            RequestBody::Offer(offers) if self.is_acting_leader() => {
                let mut responses = Vec::new();
                for offer in offers {
                    responses.push(OfferResponse {
                        loan: offer.loan.clone(),
                        decision: self.decide_offer(&request.from, offer).await,
                    });
                }
                return CellResponse::Offers(responses);
            }
            RequestBody::Confirm { loans, .. } => self.record_loan_ends(&request.from, loans).await,
            RequestBody::Offer(_) | RequestBody::Status => {}
        }
        let now = self.shared.now();
        self.shared.controller.lock().respond_to_cell(request, now)
    }

    /// Whether this controller is the leader and has authority to act.
    fn is_acting_leader(&self) -> bool {
        let now = self.shared.now();
        let controller = self.shared.controller.lock();
        controller.leads().is_some() && controller.has_authority(now)
    }

    /// Records loan outcomes reported by a borrower. The borrower repeats the report if a write fails.
    async fn record_loan_ends(&self, from: &str, reports: &[LoanReport]) {
        let now = self.shared.now();
        let transactions = self
            .shared
            .controller
            .lock()
            .plan_loan_ends(from, reports, now);
        for transaction in transactions {
            if let CommitOutcome::Done(revision) =
                self.store.commit(&transaction, WRITE_TIMEOUT).await
            {
                self.shared
                    .controller
                    .lock()
                    .on_loan_end(&transaction, revision);
            }
        }
    }

    /// Decides on one offer and records the decision.
    async fn decide_offer(&self, from: &str, offer: &Offer<JobSpec>) -> OfferDecision {
        let mut archived = None;
        for _ in 0..MAX_OFFER_ATTEMPTS {
            let plan = {
                let now = self.shared.now();
                let controller = self.shared.controller.lock();
                controller.plan_offer(from, offer, archived.as_ref(), now)
            };
            let (transaction, decision) = match plan {
                OfferPlan::Respond(decision) => return decision,
                OfferPlan::Write {
                    transaction,
                    decision,
                } => (transaction, decision),
            };
            match self.store.commit(&transaction, WRITE_TIMEOUT).await {
                CommitOutcome::Done(revision) => {
                    let mut controller = self.shared.controller.lock();
                    controller.replica.apply_own_commit(&transaction, revision);
                    controller.on_offer_decided(offer, decision);
                    return decision;
                }
                CommitOutcome::Conflict(_) => archived = self.archived_job(&offer.loan.job).await,
                _ => break,
            }
        }
        OfferDecision::Deferred(RejectionReason::StoreUnavailable)
    }

    /// Reads a job from the archive; `None` if it is missing or cannot be read.
    async fn archived_job(&self, job: &str) -> Option<ArchivedJob> {
        let item = self
            .store
            .read(&archive_key(job), READ_TIMEOUT)
            .await
            .ok()??;
        Some(ArchivedJob {
            record: item.value.decode().ok()?,
            mod_revision: item.mod_revision,
        })
    }
}
