//! How each effect of the controller is carried out: one step an effect.
//!
//! Every step starts a call, and passes its answer to the controller when it comes. Where an answer makes
//! new work due, the step ticks the controller at once. Steps must never wait for one another.

use super::controller_actor::ControllerActor;
use crate::controller::{Effect, WriteKind};
use crate::names::HostId;
use crate::protocol::{PeerMessage, RentRequest, Transaction};
use crate::spillover::CellCall;
use crate::store::{CommitOutcome, LeaseOutcome};
use actix::prelude::*;
use std::time::Duration;

/// Longest wait for the outcome of a transaction; after it the outcome is in doubt.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest wait for the answer of a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Largest answer of a peer, bytes.
const MAX_PEER_BODY_BYTES: usize = 4 << 20;
/// Longest wait for the answer of another cell: it may write several completions or loans first.
const CELL_TIMEOUT: Duration = Duration::from_millis(3000);
/// Largest answer of another cell, bytes.
const MAX_CELL_BODY_BYTES: usize = 4 << 20;

impl ControllerActor {
    /// Starts what the controller asks for.
    pub(super) fn carry_out(&mut self, effect: Effect, ctx: &mut Context<Self>) {
        match effect {
            Effect::NewLease { lease_ms } => self.request_lease(lease_ms, ctx),
            Effect::Renew { lease_id } => self.renew_lease(lease_id, ctx),
            Effect::Commit {
                write_kind,
                transaction,
            } => self.commit(write_kind, transaction, ctx),
            Effect::Peer { host, message } => self.send_to_peer(host, &message, ctx),
            Effect::Catalog => self.read_catalog(ctx),
            Effect::List => self.list_machines(ctx),
            Effect::Archived(jobs) => self.read_final_states(jobs, ctx),
            Effect::Rent(request) => self.rent(request, ctx),
            Effect::Return(machines) => self.return_machines(machines, ctx),
            Effect::Cell(call) => self.call_cell(*call, ctx),
        }
    }

    /// Asks the state service for a lease of this length. It counts from the moment of asking.
    fn request_lease(&self, length_ms: u64, ctx: &mut Context<Self>) {
        let (state, sent_at) = (self.state.clone(), self.now());
        let request = async move { state.lease(length_ms).await };
        ctx.spawn(request.into_actor(self).map(move |answer, actor, ctx| {
            let now = actor.now();
            {
                let mut controller = actor.shared.controller.lock();
                match answer {
                    LeaseOutcome::Held(lease_id) => controller.on_lease(lease_id, sent_at),
                    LeaseOutcome::Expired | LeaseOutcome::Failed => controller.on_lease_failed(now),
                }
            }
            actor.tick(ctx);
        }));
    }

    /// Renews the lease. A renewal counts from the moment of asking.
    fn renew_lease(&self, lease_id: u64, ctx: &mut Context<Self>) {
        let (state, sent_at) = (self.state.clone(), self.now());
        let request = async move { state.renew(lease_id).await };
        ctx.spawn(request.into_actor(self).map(move |answer, actor, _| {
            let now = actor.now();
            let mut controller = actor.shared.controller.lock();
            match answer {
                LeaseOutcome::Held(_) => controller.on_renewed(lease_id, sent_at),
                LeaseOutcome::Expired => controller.on_lease_gone(lease_id, now),
                LeaseOutcome::Failed => controller.on_lease_failed(now),
            }
        }));
    }

    /// Commits a transaction, and wakes the workers that wait for what it wrote.
    fn commit(&self, write_kind: WriteKind, transaction: Transaction, ctx: &mut Context<Self>) {
        let state = self.state.clone();
        let request = async move { state.commit(&transaction, COMMIT_TIMEOUT).await };
        ctx.spawn(request.into_actor(self).map(move |outcome, actor, ctx| {
            let now = actor.now();
            actor
                .shared
                .controller
                .lock()
                .on_commit(write_kind, outcome, now);
            actor.shared.wake();
            if matches!(outcome, CommitOutcome::Done(_)) {
                actor.tick(ctx);
            }
        }));
    }

    /// Sends a message to a peer. It is dropped if the peer's address is not known, or if too many calls
    /// wait for the peer already: the next message says the same and more.
    fn send_to_peer(&self, host: HostId, message: &PeerMessage, ctx: &mut Context<Self>) {
        let host = {
            let controller = self.shared.controller.lock();
            controller.replica.names.hosts.name(host).to_owned()
        };
        let Some(addr) = self.peers.get(&host) else {
            return;
        };
        let Some(peer_call) = self.peer_calls.begin(&host) else {
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
            let mut answer = request.await.ok()?;
            let body = answer.body().limit(MAX_PEER_BODY_BYTES).await.ok()?;
            rmp_serde::from_slice::<PeerMessage>(&body).ok()
        };
        ctx.spawn(call.into_actor(self).map(move |answer, actor, _| {
            drop(peer_call);
            if let Some(message) = answer {
                let now = actor.now();
                actor.shared.controller.lock().on_peer_message(message, now);
            }
        }));
    }

    /// Reads the cloud's catalog of machine types.
    fn read_catalog(&self, ctx: &mut Context<Self>) {
        let request = self.cloud.clone().catalog();
        ctx.spawn(request.into_actor(self).map(|answer, actor, _| {
            if let Some(catalog) = answer {
                actor.shared.controller.lock().on_catalog(catalog);
            }
        }));
    }

    /// Reads the cloud's list of machines.
    fn list_machines(&self, ctx: &mut Context<Self>) {
        let request = self.cloud.clone().list_machines();
        ctx.spawn(request.into_actor(self).map(|answer, actor, _| {
            let now = actor.now();
            actor.shared.controller.lock().on_list(answer, now);
        }));
    }

    /// Reads the final states of jobs from the archive.
    fn read_final_states(&self, jobs: Vec<String>, ctx: &mut Context<Self>) {
        let state = self.state.clone();
        let request = async move { state.final_states(&jobs).await };
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

    /// Rents machines.
    fn rent(&self, request: RentRequest, ctx: &mut Context<Self>) {
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

    /// Returns machines.
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

    /// Asks a controller of another cell. The controller hears of a call without an answer as well.
    fn call_cell(&self, cell_call: CellCall, ctx: &mut Context<Self>) {
        let sent_at = self.now();
        let request = rmp_serde::to_vec_named(&cell_call.request).map(|body| {
            let url = format!("http://{}/cell", cell_call.address);
            let request = self.client.post(url).timeout(CELL_TIMEOUT);
            request.send_body(body)
        });
        let call = async move {
            let mut answer = request.ok()?.await.ok()?;
            let body = answer.body().limit(MAX_CELL_BODY_BYTES).await.ok()?;
            rmp_serde::from_slice(&body).ok()
        };
        ctx.spawn(call.into_actor(self).map(move |answer, actor, _| {
            let now = actor.now();
            let mut controller = actor.shared.controller.lock();
            controller.on_cell_response(&cell_call, answer, sent_at, now);
        }));
    }
}
