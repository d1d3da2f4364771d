//! Whether this controller may take a heartbeat in, or which other controller should.

use super::HeldMachine;
use crate::clock::Timestamp;
use crate::controller::{Controller, HeartbeatResponse};
use crate::names::{HostId, MachineId};
use crate::protocol::Heartbeat;
use crate::replica::{FencingToken, Holder};

impl Controller {
    /// The machine that sent a heartbeat, if this controller holds it and may answer; otherwise the refusal
    /// that is sent instead.
    pub(super) fn admit_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        now: Timestamp,
    ) -> Result<HeldMachine, HeartbeatResponse> {
        let Some((machine_id, grant)) = self.grant_of(&heartbeat.machine) else {
            return Err(self.redirect_to_leader(heartbeat, now));
        };
        if !self.is_mine(&grant) {
            return Err(self.redirect_to_holder(heartbeat, &grant, now));
        }
        if let Some(holder) = self.later_holder(machine_id) {
            return Err(self.redirect(Some(holder)));
        }
        if !self.holds(&grant) {
            return Err(HeartbeatResponse::Unavailable);
        }
        if !self.has_authority(now) || heartbeat.token > grant.mod_revision {
            // Without authority, or with a later holder about, an answer would only hold the
            // worker here while its lease runs.
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

    /// A machine by its name, with the grant of its block.
    pub(super) fn grant_of(&self, machine: &str) -> Option<(MachineId, Holder)> {
        let machine_id = self.replica.names.machines.get(machine)?;
        let (_, grant) = self.replica.block_and_holder(machine_id)?;
        Some((machine_id, grant))
    }

    /// The controller to which a peer says that this machine's block was granted since.
    fn later_holder(&self, machine_id: MachineId) -> Option<HostId> {
        let block = self.replica.machines.get(&machine_id)?.block;
        let holder = self.peers.reported_holder(block)?;
        (holder != self.me).then_some(holder)
    }

    /// Nobody holds the machine: the leader is to hear of it.
    fn redirect_to_leader(&mut self, heartbeat: &Heartbeat, now: Timestamp) -> HeartbeatResponse {
        self.held.unowned.note(heartbeat, 0, now);
        let leader = self.replica.leader.map(|leader| leader.controller);
        match leader.filter(|&host| self.is_heard_peer(host, now)) {
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
        self.held.unowned.note(heartbeat, grant.mod_revision, now);
        // A holder that is silent to us is not named: the worker would wait for it in vain.
        let holder = Some(grant.controller).filter(|&host| self.is_heard_peer(host, now));
        self.redirect(holder)
    }

    fn is_heard_peer(&self, host: HostId, now: Timestamp) -> bool {
        host != self.me && self.peers.hears(host, now)
    }

    fn redirect(&mut self, to: Option<HostId>) -> HeartbeatResponse {
        self.counters.redirects += 1;
        let name = to.map(|host| self.replica.names.controllers.name(host).to_owned());
        HeartbeatResponse::Elsewhere(name)
    }
}
