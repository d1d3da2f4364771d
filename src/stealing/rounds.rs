//! Rounds of work stealing: when a round starts and the state that a controller keeps for it.

use super::pack_steal::{Factors, MachineLoad, Pack, Role, Selection, Thresholds};
use crate::clock::Timestamp;
use crate::collections::HashMap;
use crate::controller::{Controller, Effect};
use crate::names::{ControllerId, MachineId};
use crate::protocol::StealMessage;
use crate::replica::Binding;

/// Maximum number of steals that a controller sends at the start of a round, per known victim.
const STEALS_PER_VICTIM: usize = 4;
/// Maximum number of steals that one machine sends at the start of a round.
const MAX_STEALS_PER_THIEF: u32 = 16;

/// A controller's state of work stealing: its current round and outgoing messages. It survives a
/// change of leader, because holders steal work without one.
#[derive(Debug, Default)]
pub(crate) struct WorkStealing {
    round: Option<Round>,
    next_round_at: Timestamp,
    /// Messages to be sent with the next peer message to each controller.
    outbox: Vec<(ControllerId, StealMessage)>,
}

impl WorkStealing {
    /// Whether the next round is due.
    fn is_due(&self, now: Timestamp) -> bool {
        now >= self.next_round_at
    }

    /// The current round; None before the first.
    pub(super) fn round(&self) -> Option<&Round> {
        self.round.as_ref()
    }

    /// The current round for changes; None before the first.
    pub(super) fn round_mut(&mut self) -> Option<&mut Round> {
        self.round.as_mut()
    }

    /// Whether there are messages to send to peers.
    pub(crate) fn has_outgoing(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Takes the messages to send to peers, in the order in which they were enqueued.
    pub(crate) fn take_outgoing(&mut self) -> Vec<(ControllerId, StealMessage)> {
        std::mem::take(&mut self.outbox)
    }

    /// Enqueues a message for a peer, or drops it if `capacity` messages are enqueued already.
    pub(super) fn enqueue_outgoing(
        &mut self,
        controller: ControllerId,
        message: StealMessage,
        capacity: usize,
    ) {
        if self.outbox.len() < capacity {
            self.outbox.push((controller, message));
        }
    }
}

/// A controller's state of one round.
#[derive(Debug, Clone)]
pub(super) struct Round {
    /// Packs that machines held here can still give away.
    packs: HashMap<MachineId, Vec<Pack<Binding>>>,
    /// Steals that machines held here may still start.
    steals: HashMap<MachineId, u32>,
    /// Machines known to be victims, the most loaded first.
    victims: Vec<MachineLoad>,
    /// All machines, the most loaded first, for random selection.
    all: Vec<MachineLoad>,
}

impl Round {
    fn new(loads: &HashMap<MachineId, f64>, thresholds: &Thresholds) -> Self {
        let loads = loads.iter();
        let mut all: Vec<MachineLoad> = loads
            .map(|(&machine_id, &load)| MachineLoad { machine_id, load })
            .collect();
        all.sort_by(|a, b| {
            let most_loaded_first = b.load.total_cmp(&a.load);
            most_loaded_first.then(a.machine_id.cmp(&b.machine_id))
        });
        let victims = all
            .iter()
            .filter(|machine| thresholds.role(machine.load) == Role::Victim);
        Self {
            packs: HashMap::default(),
            steals: HashMap::default(),
            victims: victims.copied().collect(),
            all,
        }
    }

    /// Machines among which a steal chooses its target, the most loaded first.
    pub(super) fn candidates(&self, selection: Selection) -> &[MachineLoad] {
        match selection {
            Selection::Constrained => &self.victims,
            Selection::Random => &self.all,
        }
    }

    /// Number of machines that may give or take tasks in this round.
    pub(super) fn machine_count(&self) -> usize {
        self.all.len()
    }

    /// Consumes one of the steals that a machine may still start; returns false if none is left.
    pub(super) fn consume_steal(&mut self, thief: MachineId) -> bool {
        let left = self.steals.get_mut(&thief).filter(|left| **left > 0);
        let Some(left) = left else { return false };
        *left -= 1;
        true
    }

    /// Takes out the packs that a machine can give away; None if it is no victim here.
    pub(super) fn take_packs(&mut self, victim: MachineId) -> Option<Vec<Pack<Binding>>> {
        self.packs.remove(&victim)
    }

    /// Puts back the packs that a machine can still give away.
    pub(super) fn put_back_packs(&mut self, victim: MachineId, packs: Vec<Pack<Binding>>) {
        self.packs.insert(victim, packs);
    }

    /// Thieves with their number of steals, the least loaded first.
    fn thieves(&self) -> Vec<(MachineId, u32)> {
        let steals = self.steals.iter();
        let mut thieves: Vec<(MachineId, u32)> =
            steals.map(|(&thief, &steals)| (thief, steals)).collect();
        thieves.sort_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(&b.0)));
        thieves
    }
}

/// Loads of the fleet at the start of a round.
#[derive(Default)]
struct FleetLoads {
    /// Loads of the machines that may give and take tasks.
    machines: HashMap<MachineId, f64>,
    /// Number of loads in `sum`.
    count: usize,
    /// Sum of all loads, including machines that peers do not list individually; for the mean.
    sum: f64,
}

impl Controller {
    pub(super) fn stealing_factors(&self) -> Factors {
        let options = &self.settings.options;
        Factors {
            tolerance: options.balance_tolerance,
            pack: options.balance_pack,
            targets: options.balance_targets as usize,
            hops: options.balance_hops,
        }
    }

    /// Starts a round when one is due: publishes this controller's loads, computes the mean load,
    /// prepares packs and sends the first hints and steals.
    pub(crate) fn tick_work_stealing(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if !self.work_stealing.is_due(now) || !self.catalog_known() {
            return;
        }
        let period_ms = (self.settings.options.balance_period_s * 1000.0) as u64;
        self.work_stealing.next_round_at = now.plus(period_ms);
        self.publish_loads(now, out);
        let own: Vec<MachineId> = self.held.ids().collect();
        let loads = self.fleet_loads(&own, now);
        let Some(thresholds) = Thresholds::new(loads.sum, loads.count, &self.stealing_factors())
        else {
            return;
        };
        let mut round = Round::new(&loads.machines, &thresholds);
        let mut messages = self.assign_roles(&mut round, &own, &loads, &thresholds);
        // Machines held here that have no packs are not victims. Which of the peers' machines have
        // packs is not known here.
        let packs = &round.packs;
        round.victims.retain(|victim| {
            packs.contains_key(&victim.machine_id) || !self.held.contains(victim.machine_id)
        });
        let thieves = round.thieves();
        let max_steals = round.victims.len() * STEALS_PER_VICTIM;
        self.work_stealing.round = Some(round);
        messages.extend(self.initial_steals(thieves, max_steals));
        self.deliver_steal_messages(messages, now);
    }

    /// Loads of all machines; those of peers' machines as published.
    fn fleet_loads(&self, own: &[MachineId], now: Timestamp) -> FleetLoads {
        let mut loads = FleetLoads::default();
        for (controller, totals) in &self.replica.loads {
            if *controller == self.own_id {
                continue;
            }
            loads.count += totals.count;
            loads.sum += totals.sum;
            for (&machine_id, &load) in &totals.machines {
                let holder = self.replica.block_and_holder(machine_id);
                let held = holder.is_some_and(|(_, grant)| grant.controller == *controller);
                if held && self.can_take_tasks(machine_id, now) {
                    loads.machines.insert(machine_id, load);
                }
            }
        }
        for &machine_id in own {
            let load = self.queue_load(machine_id, now);
            loads.count += 1;
            loads.sum += load;
            if self.can_take_tasks(machine_id, now) {
                loads.machines.insert(machine_id, load);
            }
        }
        loads
    }

    /// Prepares the packs of own victims and sets the number of steals of own thieves. Returns the
    /// hints that victims send.
    fn assign_roles(
        &self,
        round: &mut Round,
        own: &[MachineId],
        loads: &FleetLoads,
        thresholds: &Thresholds,
    ) -> Vec<StealMessage> {
        let least_loaded = round.all.last().copied();
        let mut hints = Vec::new();
        for &machine_id in own {
            let Some(&load) = loads.machines.get(&machine_id) else {
                continue;
            };
            match thresholds.role(load) {
                Role::Victim => {
                    let packs = thresholds.packs(load, &self.movable_tasks(machine_id));
                    if packs.is_empty() {
                        continue;
                    }
                    round.packs.insert(machine_id, packs);
                    let target = least_loaded.filter(|target| target.machine_id != machine_id);
                    if let Some(target) = target {
                        hints.push(StealMessage::Hint {
                            to: self.machine_name(target.machine_id),
                            from: self.machine_name(machine_id),
                            load,
                        });
                    }
                }
                // A machine without free CPUs could not start the tasks that it steals.
                Role::Thief { steals } if self.has_free_cpus(machine_id) => {
                    round.steals.insert(machine_id, steals);
                }
                Role::Thief { .. } | Role::Balanced => {}
            }
        }
        hints
    }

    /// The steals that start a round, the least loaded thieves first. `max_steals` keeps thieves from
    /// requesting more than the victims may have to give.
    fn initial_steals(
        &mut self,
        thieves: Vec<(MachineId, u32)>,
        max_steals: usize,
    ) -> Vec<StealMessage> {
        let mut messages = Vec::new();
        for (thief, steals) in thieves {
            for _ in 0..steals.min(MAX_STEALS_PER_THIEF) {
                let steal = match messages.len() < max_steals {
                    true => self.next_steal(thief, 0, &[]),
                    false => None,
                };
                let Some(steal) = steal else { break };
                messages.push(steal);
            }
        }
        messages
    }

    pub(super) fn machine_name(&self, machine_id: MachineId) -> String {
        self.replica.names.machines.name(machine_id).to_owned()
    }
}
