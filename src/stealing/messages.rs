//! Hints and steals: their way from machine to machine, within this controller and to peers.
//!
//! Nothing here may fail when a message is lost, late or repeated: the next round asks again.

use super::pack_steal::{Selection, choose_target};
use crate::clock::Timestamp;
use crate::controller::Controller;
use crate::names::MachineId;
use crate::protocol::StealMessage;
use std::collections::VecDeque;

/// Messages that a controller handles at a time, within itself, for each machine; and to other
/// controllers one for each machine. What is more is dropped: the next round asks again.
const MESSAGES_PER_MACHINE: usize = 4;
/// A small fleet counts as so many machines.
const MIN_MESSAGE_CAPACITY: usize = 500;

impl StealMessage {
    /// The machine that it goes to.
    fn recipient(&self) -> &str {
        match self {
            StealMessage::Hint { to, .. } | StealMessage::Steal { to, .. } => to,
        }
    }
}

impl Controller {
    /// The next hop of a steal: known non-victims are skipped until the cutoff.
    pub(super) fn next_steal(
        &mut self,
        thief: MachineId,
        hops: u32,
        route: &[MachineId],
    ) -> Option<StealMessage> {
        // In a large fleet nobody who has nothing learns of it before hundreds have been asked:
        // hops without end would take the controllers more time than all heartbeats together.
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
        let known = round.candidates(selection);
        let to = choose_target(known, selection, thief, route, &factors, &mut self.rng)?;
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

    /// Carries messages: within this controller at once, to others with the next peer message.
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
            let Some((_, holder)) = self.replica.holder(machine_id) else {
                continue;
            };
            if holder.host == self.me {
                queue.extend(self.handle_steal_message(machine_id, message, now));
            } else {
                self.work_stealing.send(holder.host, message, capacity);
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

    /// A message from a machine that another controller holds.
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

    /// A machine held here gets a message; returns what follows from it.
    fn handle_steal_message(
        &mut self,
        machine_id: MachineId,
        message: StealMessage,
        now: Timestamp,
    ) -> Option<StealMessage> {
        match message {
            StealMessage::Hint { from, .. } => self.steal_from(machine_id, &from),
            StealMessage::Steal {
                thief, hops, route, ..
            } => self.give_or_pass_on(machine_id, &thief, hops, &route, now),
        }
    }

    /// A thief that hears of a victim asks it at once, within its steals.
    fn steal_from(&mut self, thief: MachineId, victim: &str) -> Option<StealMessage> {
        let victim = self.replica.names.machines.get(victim)?;
        if !self.work_stealing.round_mut()?.use_steal(thief) {
            return None;
        }
        Some(StealMessage::Steal {
            to: self.machine_name(victim),
            thief: self.machine_name(thief),
            hops: 0,
            route: Vec::new(),
        })
    }

    /// A victim gives the thief a pack, or passes the steal on to another machine.
    fn give_or_pass_on(
        &mut self,
        victim: MachineId,
        thief: &str,
        hops: u32,
        route: &[String],
        now: Timestamp,
    ) -> Option<StealMessage> {
        let thief = self.replica.names.machines.get(thief)?;
        if self.give_pack(victim, thief, now) {
            return None;
        }
        let names = &self.replica.names.machines;
        let mut asked: Vec<MachineId> = route.iter().filter_map(|name| names.get(name)).collect();
        asked.push(victim);
        self.next_steal(thief, hops + 1, &asked)
    }
}
