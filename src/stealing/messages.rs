//! Delivery of hints and steal requests between machines, within this controller and to peers.
//!
//! Messages may be lost, delayed or repeated without harm: the next round sends new ones.

use super::pack_steal::{Selection, choose_target};
use crate::clock::Timestamp;
use crate::controller::Controller;
use crate::names::MachineId;
use crate::protocol::StealMessage;
use std::collections::VecDeque;

/// Messages that one delivery handles within this controller, per machine. Messages to other
/// controllers are limited to one per machine. Messages beyond these limits are dropped; the next round
/// sends new ones.
const MESSAGES_PER_MACHINE: usize = 4;
/// Smallest number of machines that the message limits are computed for.
const MIN_MESSAGE_CAPACITY: usize = 500;

impl StealMessage {
    /// Name of the machine that the message is addressed to.
    fn recipient(&self) -> &str {
        match self {
            StealMessage::Hint { to, .. } | StealMessage::Steal { to, .. } => to,
        }
    }
}

impl Controller {
    /// Builds the next hop of a steal. Until the hop cutoff only known victims are candidates;
    /// returns None if the steal ends here.
    pub(super) fn next_steal(
        &mut self,
        thief: MachineId,
        hops: u32,
        route: &[MachineId],
    ) -> Option<StealMessage> {
        // In a large fleet a steal that finds no work could visit hundreds of machines. Without
        // this limit the hops would cost the controllers more time than all heartbeats together.
        if f64::from(hops) > self.settings.options.balance_max_hops {
            return None;
        }
        let factors = self.stealing_factors();
        let round = self.work_stealing.round()?;
        let cutoff = round.machine_count() as f64 * factors.hops;
        let selection = match f64::from(hops) > cutoff {
            true => Selection::Random,
            false => Selection::Constrained,
        };
        let candidates = round.candidates(selection);
        let to = choose_target(candidates, selection, thief, route, &factors, &mut self.rng)?;
        Some(StealMessage::Steal {
            to: self.machine_name(to),
            thief: self.machine_name(thief),
            hops,
            route: route
                .iter()
                .map(|&machine_id| self.machine_name(machine_id))
                .collect(),
        })
    }

    /// Delivers messages: immediately within this controller, to other controllers with the next
    /// peer message.
    pub(super) fn deliver_steal_messages(&mut self, messages: Vec<StealMessage>, now: Timestamp) {
        let mut queue: VecDeque<StealMessage> = messages.into();
        let capacity = self.replica.machines.len().max(MIN_MESSAGE_CAPACITY);
        for _ in 0..MESSAGES_PER_MACHINE * capacity {
            let Some(message) = queue.pop_front() else {
                break;
            };
            self.count_steal_message(&message);
            let recipient = message.recipient();
            let Some(machine_id) = self.replica.names.machines.get(recipient) else {
                continue;
            };
            let Some((_, holder)) = self.replica.block_and_holder(machine_id) else {
                continue;
            };
            if holder.controller == self.own_id {
                queue.extend(self.handle_steal_message(machine_id, message, now));
            } else {
                self.work_stealing
                    .enqueue_outgoing(holder.controller, message, capacity);
            }
        }
    }

    fn count_steal_message(&mut self, message: &StealMessage) {
        match message {
            StealMessage::Hint { .. } => self.counters.hints += 1,
            StealMessage::Steal { hops: 0, .. } => self.counters.steals += 1,
            StealMessage::Steal { .. } => self.counters.hops += 1,
        }
    }

    /// Handles a message from a machine that another controller holds.
    pub(crate) fn on_steal_message(&mut self, message: StealMessage, now: Timestamp) {
        let recipient = message.recipient();
        let Some(machine_id) = self.replica.names.machines.get(recipient) else {
            return;
        };
        if !self.held.contains(machine_id) || !self.has_authority(now) {
            return;
        }
        let replies = self.handle_steal_message(machine_id, message, now);
        self.deliver_steal_messages(replies.into_iter().collect(), now);
    }

    /// Handles a message to a machine that this controller holds; returns the message to send
    /// next, if any.
    fn handle_steal_message(
        &mut self,
        machine_id: MachineId,
        message: StealMessage,
        now: Timestamp,
    ) -> Option<StealMessage> {
        match message {
            StealMessage::Hint { from, .. } => self.steal_request(machine_id, &from),
            StealMessage::Steal {
                thief, hops, route, ..
            } => self.grant_or_forward(machine_id, &thief, hops, &route, now),
        }
    }

    /// Builds the thief's immediate request after a victim's hint, or None if the thief has used
    /// up its steals of this round.
    fn steal_request(&mut self, thief: MachineId, victim: &str) -> Option<StealMessage> {
        let victim = self.replica.names.machines.get(victim)?;
        if !self.work_stealing.round_mut()?.consume_steal(thief) {
            return None;
        }
        Some(StealMessage::Steal {
            to: self.machine_name(victim),
            thief: self.machine_name(thief),
            hops: 0,
            route: Vec::new(),
        })
    }

    /// Grants the thief a pack of the victim's tasks, or returns the steal to be forwarded to
    /// another machine.
    fn grant_or_forward(
        &mut self,
        victim: MachineId,
        thief: &str,
        hops: u32,
        route: &[String],
        now: Timestamp,
    ) -> Option<StealMessage> {
        let thief = self.replica.names.machines.get(thief)?;
        if self.grant_pack(victim, thief, now) {
            return None;
        }
        let names = &self.replica.names.machines;
        let mut visited: Vec<MachineId> = route.iter().filter_map(|name| names.get(name)).collect();
        visited.push(victim);
        self.next_steal(thief, hops + 1, &visited)
    }
}
