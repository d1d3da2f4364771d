//! Execution of the controller's effects.
//!
//! Each effect starts a request and passes the response to the controller when it arrives. Where a response
//! makes new work due, the controller is ticked at once. Effects must never wait for one another.

use super::controller_actor::ControllerActor;
use crate::controller::{Effect, WriteKind};
use crate::names::ControllerId;
use crate::protocol::{PeerMessage, RentalRequest, Transaction};
use crate::spillover::CellCall;
use crate::store::{CommitOutcome, LeaseOutcome};
use actix::prelude::*;
use std::time::Duration;

/// Timeout of a transaction; after it the outcome is in doubt.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of a request to a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum size of a peer's response, bytes.
const MAX_PEER_BODY_BYTES: usize = 4 << 20;
/// Timeout of a request to another cell, which may have to write several completions or loans first.
const CELL_TIMEOUT: Duration = Duration::from_millis(3000);
/// Maximum size of the response of another cell, bytes.
const MAX_CELL_BODY_BYTES: usize = 4 << 20;

impl ControllerActor {
    /// Starts an effect without waiting for its result.
    pub(super) fn run_effect(&mut self, effect: Effect, ctx: &mut Context<Self>) {
        match effect {
            Effect::RequestLease { lease_ms } => self.request_lease(lease_ms, ctx),
            Effect::RenewLease { lease_id } => self.renew_lease(lease_id, ctx),
            Effect::Commit {
                write_kind,
                transaction,
            } => self.commit(write_kind, transaction, ctx),
            Effect::SendPeerMessage { to, message } => self.send_to_peer(to, &message, ctx),
            Effect::ReadCatalog => self.read_catalog(ctx),
            Effect::ListMachines => self.list_machines(ctx),
            Effect::ReadArchive(jobs) => self.read_final_states(jobs, ctx),
            Effect::RentMachines(request) => self.rent(request, ctx),
            Effect::ReturnMachines(machines) => self.return_machines(machines, ctx),
            Effect::CallCell(call) => self.call_cell(*call, ctx),
        }
    }

    /// Requests a lease of `length_ms` from the key-value store. The lease counts from when the request is sent.
    fn request_lease(&self, length_ms: u64, ctx: &mut Context<Self>) {
        let (store, sent_at) = (self.store.clone(), self.now());
        let request = async move { store.lease(length_ms).await };
        ctx.spawn(request.into_actor(self).map(move |response, actor, ctx| {
            let now = actor.now();
            {
                let mut controller = actor.shared.controller.lock();
                match response {
                    LeaseOutcome::Held(lease_id) => controller.on_lease_granted(lease_id, sent_at),
                    LeaseOutcome::Expired | LeaseOutcome::Failed => controller.on_lease_failed(now),
                }
            }
            actor.tick(ctx);
        }));
    }

    /// Renews the lease. The renewed lease counts from when the request is sent.
    fn renew_lease(&self, lease_id: u64, ctx: &mut Context<Self>) {
        let (store, sent_at) = (self.store.clone(), self.now());
        let request = async move { store.renew(lease_id).await };
        ctx.spawn(request.into_actor(self).map(move |response, actor, _| {
            let now = actor.now();
            let mut controller = actor.shared.controller.lock();
            match response {
                LeaseOutcome::Held(_) => controller.on_lease_renewed(lease_id, sent_at),
                LeaseOutcome::Expired => controller.on_lease_expired(lease_id, now),
                LeaseOutcome::Failed => controller.on_lease_failed(now),
            }
        }));
    }

    /// Commits a transaction, then sends the delayed acks of machines to which it bound tasks.
    fn commit(&self, write_kind: WriteKind, transaction: Transaction, ctx: &mut Context<Self>) {
        let store = self.store.clone();
        let request = async move { store.commit(&transaction, COMMIT_TIMEOUT).await };
        ctx.spawn(request.into_actor(self).map(move |outcome, actor, ctx| {
            let now = actor.now();
            actor
                .shared
                .controller
                .lock()
                .on_commit(write_kind, outcome, now);
            actor.shared.wake_delayed_acks();
            if matches!(outcome, CommitOutcome::Done(_)) {
                actor.tick(ctx);
            }
        }));
    }

    /// Sends a message to a peer. The message is dropped if the peer's address is unknown or too many calls
    /// to the peer are in flight; the next message supersedes it.
    fn send_to_peer(&self, peer: ControllerId, message: &PeerMessage, ctx: &mut Context<Self>) {
        let host_name = {
            let controller = self.shared.controller.lock();
            controller.replica.names.controllers.name(peer).to_owned()
        };
        let Some(addr) = self.peers.get(&host_name) else {
            return;
        };
        let Some(call_guard) = self.peer_calls_in_flight.try_start(&host_name) else {
            return;
        };
        let Ok(body) = rmp_serde::to_vec_named(message) else {
            return;
        };
        let request = self
            .client
            .post(format!("http://{addr}/peer"))
            .timeout(PEER_TIMEOUT)
            .send_body(body);
        let call = async move {
            let mut response = request.await.ok()?;
            let body = response.body().limit(MAX_PEER_BODY_BYTES).await.ok()?;
            rmp_serde::from_slice::<PeerMessage>(&body).ok()
        };
        ctx.spawn(call.into_actor(self).map(move |response, actor, _| {
            drop(call_guard);
            if let Some(message) = response {
                let now = actor.now();
                actor.shared.controller.lock().on_peer_message(message, now);
            }
        }));
    }

    /// Reads the cloud's catalog of machine types.
    fn read_catalog(&self, ctx: &mut Context<Self>) {
        let request = self.cloud.clone().catalog();
        ctx.spawn(request.into_actor(self).map(|response, actor, _| {
            if let Some(catalog) = response {
                actor.shared.controller.lock().on_catalog(catalog);
            }
        }));
    }

    /// Reads the cloud's list of machines.
    fn list_machines(&self, ctx: &mut Context<Self>) {
        let request = self.cloud.clone().list_machines();
        ctx.spawn(request.into_actor(self).map(|response, actor, _| {
            let now = actor.now();
            actor.shared.controller.lock().on_list(response, now);
        }));
    }

    /// Reads the final states of jobs from the archive.
    fn read_final_states(&self, jobs: Vec<String>, ctx: &mut Context<Self>) {
        let store = self.store.clone();
        let request = async move { store.archived_statuses(&jobs).await };
        ctx.spawn(request.into_actor(self).map(|found, actor, ctx| {
            {
                let mut controller = actor.shared.controller.lock();
                for (job, status) in &found {
                    controller.on_archived(job, *status);
                }
            }
            if !found.is_empty() {
                actor.tick(ctx);
            }
        }));
    }

    /// Sends a rental request to the cloud.
    fn rent(&self, request: RentalRequest, ctx: &mut Context<Self>) {
        let call = self.cloud.clone().rent(request.clone());
        ctx.spawn(call.into_actor(self).map(move |outcome, actor, ctx| {
            let now = actor.now();
            actor
                .shared
                .controller
                .lock()
                .on_rented(&request, outcome, now);
            actor.tick(ctx);
        }));
    }

    /// Sends a return request to the cloud.
    fn return_machines(&self, machines: Vec<String>, ctx: &mut Context<Self>) {
        let call = self.cloud.clone().return_machines(machines.clone());
        ctx.spawn(call.into_actor(self).map(move |returned, actor, ctx| {
            let now = actor.now();
            actor
                .shared
                .controller
                .lock()
                .on_returned(&machines, returned, now);
            actor.tick(ctx);
        }));
    }

    /// Sends a request to a controller of another cell. A missing response is reported to the controller too.
    fn call_cell(&self, cell_call: CellCall, ctx: &mut Context<Self>) {
        let sent_at = self.now();
        let request = rmp_serde::to_vec_named(&cell_call.request).map(|body| {
            let url = format!("http://{}/cell", cell_call.address);
            let request = self.client.post(url).timeout(CELL_TIMEOUT);
            request.send_body(body)
        });
        let call = async move {
            let mut response = request.ok()?.await.ok()?;
            let body = response.body().limit(MAX_CELL_BODY_BYTES).await.ok()?;
            rmp_serde::from_slice(&body).ok()
        };
        ctx.spawn(call.into_actor(self).map(move |response, actor, _| {
            let now = actor.now();
            let mut controller = actor.shared.controller.lock();
            controller.on_cell_response(&cell_call, response, sent_at, now);
        }));
    }
}
