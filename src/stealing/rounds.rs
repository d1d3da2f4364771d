//! Rounds of work stealing: when one begins, and what this controller knows in it.

use super::pack_steal::{Factors, Levels, MachineLoad, Pack, Role, Selection};
use crate::clock::Timestamp;
use crate::collections::HashMap;
use crate::controller::{Controller, Effect};
use crate::names::{HostId, MachineId};
use crate::protocol::StealMessage;
use crate::replica::Binding;

/// Steals that a controller sends in a round for each victim that it knows.
const STEALS_PER_VICTIM: usize = 4;
/// Most steals that one machine sends at the beginning of a round.
const MAX_STEALS_PER_THIEF: u32 = 16;

/// The part that a controller plays in work stealing: its round, and messages on their way. It
/// outlives the terms of leaders, for holders need none.
#[derive(Debug, Default)]
pub(crate) struct WorkStealing {
    round: Option<Round>,
    next_round: Timestamp,
    /// Messages that wait for the next message to a peer.
    outbox: Vec<(HostId, StealMessage)>,
}

impl WorkStealing {
    /// Whether a round is due.
    fn is_due(&self, now: Timestamp) -> bool {
        now >= self.next_round
    }

    /// The present round; none before the first.
    pub(super) fn round(&self) -> Option<&Round> {
        self.round.as_ref()
    }

    /// The present round; none before the first.
    pub(super) fn round_mut(&mut self) -> Option<&mut Round> {
        self.round.as_mut()
    }

    /// Whether messages wait for peers.
    pub(crate) fn has_outgoing(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Messages that wait for peers.
    pub(crate) fn take_outgoing(&mut self) -> Vec<(HostId, StealMessage)> {
        std::mem::take(&mut self.outbox)
    }

    /// Keeps a message for a peer; dropped when `capacity` of them wait already.
    pub(super) fn send(&mut self, host: HostId, message: StealMessage, capacity: usize) {
        if self.outbox.len() < capacity {
            self.outbox.push((host, message));
        }
    }
}

/// What a controller knows in a round.
#[derive(Debug, Clone)]
pub(super) struct Round {
    packs: HashMap<MachineId, Vec<Pack<Binding>>>,
    /// Steals that machines held here may still begin.
    steals: HashMap<MachineId, u32>,
    /// Machines known to be heavy, the heaviest first.
    victims: Vec<MachineLoad>,
    /// All machines, the heaviest first, for steals that go anywhere.
    all: Vec<MachineLoad>,
}

impl Round {
    fn new(loads: &HashMap<MachineId, f64>, levels: &Levels) -> Self {
        let loads = loads.iter();
        let mut all: Vec<MachineLoad> = loads
            .map(|(&machine_id, &load)| MachineLoad { machine_id, load })
            .collect();
        all.sort_by(|a, b| {
            let heaviest_first = b.load.total_cmp(&a.load);
            heaviest_first.then(a.machine_id.cmp(&b.machine_id))
        });
        let victims = all
            .iter()
            .filter(|machine| levels.role(machine.load) == Role::Victim);
        Self {
            packs: HashMap::default(),
            steals: HashMap::default(),
            victims: victims.copied().collect(),
            all,
        }
    }

    /// Where steals may go: to known victims, or anywhere.
    pub(super) fn candidates(&self, selection: Selection) -> &[MachineLoad] {
        match selection {
            Selection::Constrained => &self.victims,
            Selection::Random => &self.all,
        }
    }

    /// Machines of the round.
    pub(super) fn machine_count(&self) -> usize {
        self.all.len()
    }

    /// Takes one of the steals that a machine may still begin.
    pub(super) fn use_steal(&mut self, thief: MachineId) -> bool {
        let left = self.steals.get_mut(&thief).filter(|left| **left > 0);
        let Some(left) = left else { return false };
        *left -= 1;
        true
    }

    /// Takes out the packs that a machine has to give.
    pub(super) fn take_packs(&mut self, victim: MachineId) -> Option<Vec<Pack<Binding>>> {
        self.packs.remove(&victim)
    }

    /// Puts back the packs that a machine still has to give.
    pub(super) fn put_back_packs(&mut self, victim: MachineId, packs: Vec<Pack<Binding>>) {
        self.packs.insert(victim, packs);
    }

    /// Machines that steal and how often, the lightest first.
    fn thieves(&self) -> Vec<(MachineId, u32)> {
        let steals = self.steals.iter();
        let mut thieves: Vec<(MachineId, u32)> =
            steals.map(|(&thief, &steals)| (thief, steals)).collect();
        thieves.sort_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(&b.0)));
        thieves
    }
}

/// Loads at the beginning of a round.
#[derive(Default)]
struct FleetLoads {
    /// Of machines that may give and take tasks.
    machines: HashMap<MachineId, f64>,
    /// Number and sum of all loads, also of machines that are not named: for the mean.
    count: usize,
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

    /// Begins a round when it is due: publishes totals, takes the mean, packs up and steals.
    pub(crate) fn tick_work_stealing(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        if !self.work_stealing.is_due(now) || !self.catalog_known() {
            return;
        }
        let period_ms = (self.settings.options.balance_period_s * 1000.0) as u64;
        self.work_stealing.next_round = now.plus(period_ms);
        self.publish_loads(now, out);
        let own: Vec<MachineId> = self.held.ids().collect();
        let loads = self.fleet_loads(&own, now);
        let Some(levels) = Levels::new(loads.sum, loads.count, &self.stealing_factors()) else {
            return;
        };
        let mut round = Round::new(&loads.machines, &levels);
        let mut messages = self.assign_roles(&mut round, &own, &loads, &levels);
        // Own machines that have nothing to give are known to be no victims.
        let packs = &round.packs;
        round.victims.retain(|victim| {
            packs.contains_key(&victim.machine_id) || !self.held.contains(victim.machine_id)
        });
        let thieves = round.thieves();
        let most = round.victims.len() * STEALS_PER_VICTIM;
        self.work_stealing.round = Some(round);
        messages.extend(self.first_steals(thieves, most));
        self.deliver_steal_messages(messages, now);
    }

    /// Loads of all machines, those of peers as they published them.
    fn fleet_loads(&self, own: &[MachineId], now: Timestamp) -> FleetLoads {
        let mut loads = FleetLoads::default();
        for (host, totals) in &self.replica.loads {
            if *host == self.me {
                continue;
            }
            loads.count += totals.count;
            loads.sum += totals.sum;
            for (&machine_id, &load) in &totals.machines {
                let holder = self.replica.block_and_holder(machine_id);
                let held = holder.is_some_and(|(_, grant)| grant.controller == *host);
                if held && self.available(machine_id, now) {
                    loads.machines.insert(machine_id, load);
                }
            }
        }
        for &machine_id in own {
            let load = self.queue_load(machine_id, now);
            loads.count += 1;
            loads.sum += load;
            if self.available(machine_id, now) {
                loads.machines.insert(machine_id, load);
            }
        }
        loads
    }

    /// Packs up what the own heavy machines have to give and counts the steals of the light ones.
    /// Returns the hints that victims send.
    fn assign_roles(
        &self,
        round: &mut Round,
        own: &[MachineId],
        loads: &FleetLoads,
        levels: &Levels,
    ) -> Vec<StealMessage> {
        let lightest = round.all.last().copied();
        let mut hints = Vec::new();
        for &machine_id in own {
            let Some(&load) = loads.machines.get(&machine_id) else {
                continue;
            };
            match levels.role(load) {
                Role::Victim => {
                    let packs = levels.packs(load, &self.movable_tasks(machine_id));
                    if packs.is_empty() {
                        continue;
                    }
                    round.packs.insert(machine_id, packs);
                    let lightest = lightest.filter(|lightest| lightest.machine_id != machine_id);
                    if let Some(lightest) = lightest {
                        hints.push(StealMessage::Hint {
                            to: self.machine_name(lightest.machine_id),
                            from: self.machine_name(machine_id),
                            load,
                        });
                    }
                }
                // A machine without free room could start nothing of what it steals.
                Role::Thief { steals } if self.has_free_cpus(machine_id) => {
                    round.steals.insert(machine_id, steals);
                }
                Role::Thief { .. } | Role::Balanced => {}
            }
        }
        hints
    }

    /// The lightest ask first, and no more is asked for than the victims may have to give.
    fn first_steals(&mut self, thieves: Vec<(MachineId, u32)>, most: usize) -> Vec<StealMessage> {
        let mut messages = Vec::new();
        for (thief, steals) in thieves {
            for _ in 0..steals.min(MAX_STEALS_PER_THIEF) {
                let steal = match messages.len() < most {
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
