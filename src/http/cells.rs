//! Requests of controllers of other cells: offers of loans and reports about them (spillover).
//!
//! Owns the order of things for a request that writes: it is decided by the controller, written, and only then
//! answered. A decision must never be answered before it is recorded.

use super::peers::message_pack;
use super::responses::refuse;
use super::{ApiState, BodyResult, MAX_PEER_BODY_BYTES, READ_TIMEOUT, WRITE_TIMEOUT};
use crate::protocol::JobSpec;
use crate::replica::past_key;
use crate::spillover::{ArchivedJob, CellRequest, OfferPlan};
use crate::store::CommitOutcome;
use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, web};
use quillbend_spillover::message::{
    CellResponse, LoanReport, Offer, OfferDecision, OfferResponse, RejectionReason, RequestBody,
};

/// Tries of an offer: one more after the archive was read.
const OFFER_TRIES: usize = 2;

/// `POST /cell`: takes a request of another cell, or one that a controller of this cell relays.
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
    let answer = match refused {
        Some(refusal) => refusal,
        None => api_state.answer_cell(&message).await,
    };
    message_pack(&answer)
}

impl ApiState {
    /// Answers a request that is not refused.
    async fn answer_cell(&self, request: &CellRequest) -> CellResponse {
        match &request.body {
            RequestBody::Offer(offers) if self.leads() => {
                let mut answers = Vec::new();
                for offer in offers {
                    answers.push(OfferResponse {
                        loan: offer.loan.clone(),
                        decision: self.decide(&request.from, offer).await,
                    });
                }
                return CellResponse::Offers(answers);
            }
            RequestBody::Confirm { loans, .. } => self.end_loans(&request.from, loans).await,
            RequestBody::Offer(_) | RequestBody::Status => {}
        }
        let now = self.shared.now();
        self.shared.controller.lock().respond_to_cell(request, now)
    }

    /// Whether this controller is the leader and may act as such now.
    fn leads(&self) -> bool {
        let now = self.shared.now();
        let controller = self.shared.controller.lock();
        controller.leads().is_some() && controller.has_authority(now)
    }

    /// Records the outcomes of loans that a borrower reports. What fails is reported again.
    async fn end_loans(&self, from: &str, reports: &[LoanReport]) {
        let now = self.shared.now();
        let transactions = self
            .shared
            .controller
            .lock()
            .plan_loan_ends(from, reports, now);
        for transaction in transactions {
            if let CommitOutcome::Done(revision) =
                self.state.commit(&transaction, WRITE_TIMEOUT).await
            {
                self.shared
                    .controller
                    .lock()
                    .on_loan_end(&transaction, revision);
            }
        }
    }

    /// Decides about one offer, and records the decision.
    async fn decide(&self, from: &str, offer: &Offer<JobSpec>) -> OfferDecision {
        let mut archived = None;
        for _ in 0..OFFER_TRIES {
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
            match self.state.commit(&transaction, WRITE_TIMEOUT).await {
                CommitOutcome::Done(revision) => {
                    let mut controller = self.shared.controller.lock();
                    controller.replica.apply_own(&transaction, revision);
                    controller.on_offer_decided(offer, decision);
                    return decision;
                }
                CommitOutcome::Conflict(_) => archived = self.archived_job(&offer.loan.job).await,
                _ => break,
            }
        }
        OfferDecision::Deferred(RejectionReason::StoreUnavailable)
    }

    /// Reads a job that is over from the archive; none if it is not there or cannot be read.
    async fn archived_job(&self, job: &str) -> Option<ArchivedJob> {
        let item = self.state.read(&past_key(job), READ_TIMEOUT).await.ok()??;
        Some(ArchivedJob {
            record: item.value.read().ok()?,
            mod_revision: item.mod_revision,
        })
    }
}
