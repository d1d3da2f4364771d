//! Decides whether this controller may handle a heartbeat, and otherwise to which controller the worker is
//! redirected.

use super::HeldMachine;
use crate::clock::Timestamp;
use crate::controller::{Controller, HeartbeatResponse};
use crate::names::{ControllerId, MachineId};
use crate::protocol::Heartbeat;
use crate::replica::{FencingToken, Holder};

impl Controller {
    /// Returns the machine that sent a heartbeat if this controller holds it and may acknowledge the
    /// heartbeat, otherwise the response that refuses it.
    pub(super) fn admit_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        now: Timestamp,
    ) -> Result<HeldMachine, HeartbeatResponse> {
        let Some((machine_id, grant)) = self.grant_of(&heartbeat.machine) else {
            return Err(self.redirect_to_leader(heartbeat, now));
        };
        if !self.is_own_grant(&grant) {
            return Err(self.redirect_to_holder(heartbeat, &grant, now));
        }
        if let Some(holder) = self.later_holder(machine_id) {
            return Err(self.redirect(Some(holder)));
        }
        if !self.holds(&grant) {
            return Err(HeartbeatResponse::Unavailable);
        }
        if !self.has_authority(now) || heartbeat.token > grant.mod_revision {
            // Without authority, or if the worker's token shows a later grant, an ack would only keep the
            // worker at this controller while its lease runs out.
            return Err(self.redirect(None));
        }
        if self.must_wait_for_confirmation(heartbeat, now) {
            return Err(HeartbeatResponse::Unavailable);
        }
        Ok(HeldMachine {
            machine_id,
            fencing_token: FencingToken(grant.mod_revision),
        })
    }

    /// Looks up a machine by its name, with the grant of its block.
    pub(super) fn grant_of(&self, machine: &str) -> Option<(MachineId, Holder)> {
        let machine_id = self.replica.names.machines.get(machine)?;
        let (_, grant) = self.replica.block_and_holder(machine_id)?;
        Some((machine_id, grant))
    }

    /// The other controller to which the machine's block has since been granted, as reported by a peer.
    fn later_holder(&self, machine_id: MachineId) -> Option<ControllerId> {
        let block = self.replica.machines.get(&machine_id)?.block;
        let holder = self.peers.reported_holder(block)?;
        (holder != self.own_id).then_some(holder)
    }

    /// Redirects the worker of a machine that no controller holds to the leader, and keeps the machine for
    /// the next report to the leader.
    fn redirect_to_leader(&mut self, heartbeat: &Heartbeat, now: Timestamp) -> HeartbeatResponse {
        self.held.unowned.record_heartbeat(heartbeat, 0, now);
        let leader = self.replica.leader.map(|leader| leader.controller);
        match leader.filter(|&controller_id| self.is_reachable_peer(controller_id, now)) {
            Some(leader) => self.redirect(Some(leader)),
            None => {
                self.counters.redirects += 1;
                HeartbeatResponse::Unavailable
            }
        }
    }

    fn redirect_to_holder(
        &mut self,
        heartbeat: &Heartbeat,
        grant: &Holder,
        now: Timestamp,
    ) -> HeartbeatResponse {
        self.held
            .unowned
            .record_heartbeat(heartbeat, grant.mod_revision, now);
        // An unreachable holder is not named, because the worker would wait for it in vain.
        let holder = Some(grant.controller)
            .filter(|&controller_id| self.is_reachable_peer(controller_id, now));
        self.redirect(holder)
    }

    fn is_reachable_peer(&self, controller_id: ControllerId, now: Timestamp) -> bool {
        controller_id != self.own_id && self.peers.is_reachable(controller_id, now)
    }

    fn redirect(&mut self, to: Option<ControllerId>) -> HeartbeatResponse {
        self.counters.redirects += 1;
        let name = to.map(|controller_id| {
            self.replica
                .names
                .controllers
                .name(controller_id)
                .to_owned()
        });
        HeartbeatResponse::Redirect(name)
    }
}
