//! PackStealLB over machines' queues, after the paper's section 4 and the values of section 5.
//!
//! Pure: the holder feeds in loads and carries the messages. Nothing here knows whether a task may
//! move; the caller passes movable ones only.

use crate::names::MachineId;
use rand::Rng;
use rand::seq::IndexedRandom;

/// More steals than any machine begins in a round: keeps the conversion to an integer exact.
const MAX_STEALS: f64 = 1e6;

/// The factors of a round.
#[derive(Debug, Clone, Copy)]
pub(super) struct Factors {
    /// Imbalance tolerance (xi).
    pub(super) tolerance: f64,
    /// Pack narrowing factor (delta).
    pub(super) pack: f64,
    /// Targets of constrained selection (k).
    pub(super) targets: usize,
    /// Hops, as a part of the machines, after which selection is random (vsthreshold).
    pub(super) hops: f64,
}

/// What a round knows: the mean and what follows from it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Thresholds {
    /// Mean load.
    pub(super) mean: f64,
    /// Tolerance (epsilon).
    pub(super) epsilon: f64,
    /// Load of a pack.
    pub(super) pack: f64,
    /// Relaxation of a pack's load (gamma).
    pub(super) gamma: f64,
}

/// What a machine is in this round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Role {
    /// Heavy: gives packs away.
    Victim,
    /// Light: asks this often.
    Thief {
        /// Number of steals.
        steals: u32,
    },
    /// Neither.
    Balanced,
}

impl Thresholds {
    /// Computes the levels from the sum of all machines' loads and their number.
    pub(super) fn new(sum: f64, machines: usize, factors: &Factors) -> Option<Thresholds> {
        if machines == 0 {
            return None;
        }
        let mean = sum / machines as f64;
        let epsilon = mean * factors.tolerance;
        let pack = epsilon * factors.pack;
        Some(Thresholds {
            mean,
            epsilon,
            pack,
            gamma: pack * factors.tolerance,
        })
    }

    /// The role that a load gives.
    pub(super) fn role(&self, load: f64) -> Role {
        if self.mean <= 0.0 {
            Role::Balanced
        } else if load >= self.mean + self.epsilon {
            Role::Victim
        } else if load <= self.mean - self.pack {
            let gap = (self.mean - load) / self.pack;
            Role::Thief {
                steals: gap.ceil().min(MAX_STEALS) as u32,
            }
        } else {
            Role::Balanced
        }
    }

    /// Packs up a victim's surplus: `tasks` are the movable ones with their loads, last first
    /// to be moved. A task larger than a pack is a pack of its own.
    pub(super) fn packs<T: Copy>(&self, load: f64, tasks: &[(T, f64)]) -> Vec<Pack<T>> {
        let mut packs: Vec<Pack<T>> = Vec::new();
        let mut open = Pack::default();
        let mut left = load;
        for &(task, task_load) in tasks {
            // Equation (4): what stays is not pressed below the mean.
            if left < self.mean + self.epsilon || left - task_load < self.mean {
                continue;
            }
            if !open.tasks.is_empty() && open.load + task_load > self.pack + self.gamma {
                packs.push(std::mem::take(&mut open));
            }
            open.tasks.push(task);
            open.load += task_load;
            left -= task_load;
            if open.load >= self.pack {
                packs.push(std::mem::take(&mut open));
            }
        }
        if !open.tasks.is_empty() {
            packs.push(open);
        }
        packs.sort_by(|a, b| a.load.total_cmp(&b.load));
        packs
    }
}

/// Tasks that move together.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Pack<T> {
    /// The tasks.
    pub(super) tasks: Vec<T>,
    /// Their load on the victim.
    pub(super) load: f64,
}

impl<T> Default for Pack<T> {
    fn default() -> Self {
        Self {
            tasks: Vec::new(),
            load: 0.0,
        }
    }
}

/// The load of a machine's queue, seconds of work per CPU.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct MachineLoad {
    pub(super) machine_id: MachineId,
    pub(super) load: f64,
}

/// Among which machines a steal chooses its next target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Selection {
    /// Among the most loaded ones.
    Constrained,
    /// Among all, after too many hops (vsthreshold).
    Random,
}

/// Picks where a steal goes next among `known`, which has the heaviest first; never to the thief,
/// nor to machines on the route, which proved to be no victims.
pub(super) fn choose_target(
    known: &[MachineLoad],
    selection: Selection,
    thief: MachineId,
    route: &[MachineId],
    factors: &Factors,
    rng: &mut impl Rng,
) -> Option<MachineId> {
    let is_eligible = |machine: &&MachineLoad| {
        machine.machine_id != thief && !route.contains(&machine.machine_id)
    };
    let most = match selection {
        Selection::Constrained => factors.targets,
        Selection::Random => known.len(),
    };
    let targets: Vec<&MachineLoad> = known.iter().filter(is_eligible).take(most).collect();
    targets.choose(rng).map(|machine| machine.machine_id)
}

#[cfg(test)]
mod tests;
