//! Requests of controllers of other cells.

use super::{BODY_BEHIND, Body, Door, READ_WAIT, WRITE_WAIT, refuse, unavailable};
use crate::controller::Outcome;
use crate::protocol::JobSpec;
use crate::replica::past_key;
use crate::spillover::{Archived, CellRequest, OfferPlan};
use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, web};
use quillbend_spillover::message::{
    CellAnswer, Decision, LoanReport, Offer, OfferAnswer, Reason, RequestBody,
};

/// Tries of an offer: one more after the archive was read.
const OFFER_TRIES: usize = 2;

/// Takes a request of another cell, or a relayed one of this cell.
pub(super) async fn cell(request: HttpRequest, door: web::Data<Door>, body: Body) -> HttpResponse {
    let parsed = body
        .ok()
        .filter(|body| body.len() <= BODY_BEHIND)
        .and_then(|body| rmp_serde::from_slice::<CellRequest>(&body).ok());
    let Some(message) = parsed else {
        return refuse(StatusCode::BAD_REQUEST, "not a message of another cell");
    };
    let source = request.peer_addr().map(|address| address.ip());
    let refused = door
        .shared
        .core
        .lock()
        .refuse_cell_request(&message, source);
    let answer = match refused {
        Some(refusal) => refusal,
        None => door.answer_cell(&message).await,
    };
    match rmp_serde::to_vec_named(&answer) {
        Ok(body) => HttpResponse::Ok().body(body),
        Err(_) => unavailable("no answer"),
    }
}

impl Door {
    async fn answer_cell(&self, request: &CellRequest) -> CellAnswer {
        match &request.body {
            RequestBody::Offer(offers) if self.leads() => {
                let mut answers = Vec::new();
                for offer in offers {
                    answers.push(OfferAnswer {
                        loan: offer.loan.clone(),
                        decision: self.decide(&request.from, offer).await,
                    });
                }
                return CellAnswer::Offers(answers);
            }
            RequestBody::Confirm { loans, .. } => self.end_loans(&request.from, loans).await,
            RequestBody::Offer(_) | RequestBody::Status => {}
        }
        let now = self.shared.now();
        self.shared.core.lock().answer_cell(request, now)
    }

    fn leads(&self) -> bool {
        let now = self.shared.now();
        let core = self.shared.core.lock();
        core.leads().is_some() && core.has_authority(now)
    }

    /// Records the ends of loans that a borrower reports. What fails is reported again.
    async fn end_loans(&self, from: &str, reports: &[LoanReport]) {
        let now = self.shared.now();
        let txns = self.shared.core.lock().plan_loan_ends(from, reports, now);
        for txn in txns {
            if let Outcome::Done(ledger) = self.state.commit(&txn, WRITE_WAIT).await {
                self.shared.core.lock().on_loan_end(&txn, ledger);
            }
        }
    }

    /// Decides about one offer, and records the decision.
    async fn decide(&self, from: &str, offer: &Offer<JobSpec>) -> Decision {
        let mut archived = None;
        for _ in 0..OFFER_TRIES {
            let plan = {
                let now = self.shared.now();
                let core = self.shared.core.lock();
                core.plan_offer(from, offer, archived.as_ref(), now)
            };
            let (txn, decision) = match plan {
                OfferPlan::Answer(decision) => return decision,
                OfferPlan::Write { txn, decision } => (txn, decision),
            };
            match self.state.commit(&txn, WRITE_WAIT).await {
                Outcome::Done(ledger) => {
                    let mut core = self.shared.core.lock();
                    core.view.apply_own(&txn, ledger);
                    core.on_offer_decided(offer, decision);
                    return decision;
                }
                Outcome::Conflict(_) => archived = self.archived_job(&offer.loan.job).await,
                _ => break,
            }
        }
        Decision::Later(Reason::State)
    }

    async fn archived_job(&self, job: &str) -> Option<Archived> {
        let item = self.state.read(&past_key(job), READ_WAIT).await.ok()??;
        Some(Archived {
            record: item.v.read().ok()?,
            stamp: item.stamp,
        })
    }
}
