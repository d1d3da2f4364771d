//! PackStealLB over machines' queues, after section 4 of the paper with the values of section 5.
//!
//! Pure: the holder supplies the loads and delivers the messages. Callers pass only tasks that may
//! move; nothing here checks that.

use crate::names::MachineId;
use rand::Rng;
use rand::seq::IndexedRandom;

/// Upper bound of a thief's steals, above what any machine sends in a round; keeps the conversion
/// to an integer exact.
const MAX_STEALS: f64 = 1e6;

/// Configured parameters of the algorithm, with the paper's symbols in parentheses.
#[derive(Debug, Clone, Copy)]
pub(super) struct Factors {
    /// Imbalance tolerance as a fraction of the mean load (xi).
    pub(super) tolerance: f64,
    /// Load of a pack as a fraction of the tolerance (delta, the pack narrowing factor).
    pub(super) pack: f64,
    /// Number of victims among which constrained selection chooses (k).
    pub(super) targets: usize,
    /// Hops, as a fraction of the number of machines, after which selection is random
    /// (vsthreshold).
    pub(super) hops: f64,
}

/// The mean load of a round and the thresholds derived from it, in seconds of work per CPU.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Thresholds {
    /// Mean load of all machines.
    pub(super) mean: f64,
    /// Load above the mean at which a machine becomes a victim (epsilon).
    pub(super) epsilon: f64,
    /// Target load of a pack.
    pub(super) pack: f64,
    /// How far a pack may exceed its target load (gamma).
    pub(super) gamma: f64,
}

/// Role of a machine in a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Role {
    /// Overloaded: gives packs away.
    Victim,
    /// Underloaded: sends steal requests.
    Thief {
        /// Number of steals that it may start.
        steals: u32,
    },
    /// Neither victim nor thief.
    Balanced,
}

impl Thresholds {
    /// Computes the thresholds from the sum of all machines' loads and their number; None without
    /// machines.
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

    /// The role of a machine with the given load.
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

    /// Divides a victim's surplus into packs, sorted by load from the smallest. `tasks` are the
    /// movable tasks with their loads, in the order in which they are packed. A task larger than a
    /// pack is a pack of its own.
    pub(super) fn packs<T: Copy>(&self, load: f64, tasks: &[(T, f64)]) -> Vec<Pack<T>> {
        let mut packs: Vec<Pack<T>> = Vec::new();
        let mut current = Pack::default();
        let mut remaining = load;
        for &(task, task_load) in tasks {
            // Equation (4): the remaining load must not fall below the mean.
            if remaining < self.mean + self.epsilon || remaining - task_load < self.mean {
                continue;
            }
            if !current.tasks.is_empty() && current.load + task_load > self.pack + self.gamma {
                packs.push(std::mem::take(&mut current));
            }
            current.tasks.push(task);
            current.load += task_load;
            remaining -= task_load;
            if current.load >= self.pack {
                packs.push(std::mem::take(&mut current));
            }
        }
        if !current.tasks.is_empty() {
            packs.push(current);
        }
        packs.sort_by(|a, b| a.load.total_cmp(&b.load));
        packs
    }
}

/// Tasks that move together in one steal.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Pack<T> {
    /// Its tasks, in the order in which they were packed.
    pub(super) tasks: Vec<T>,
    /// Their load on the victim, seconds of work per CPU.
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

/// Machines among which a steal chooses its next target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Selection {
    /// The most loaded victims.
    Constrained,
    /// All machines, after too many hops (vsthreshold).
    Random,
}

/// Picks the next target of a steal among `candidates`, which are sorted from the most loaded. The
/// thief and the machines on the route, which had no work to give, are excluded.
pub(super) fn choose_target(
    candidates: &[MachineLoad],
    selection: Selection,
    thief: MachineId,
    route: &[MachineId],
    factors: &Factors,
    rng: &mut impl Rng,
) -> Option<MachineId> {
    let is_eligible = |machine: &&MachineLoad| {
        machine.machine_id != thief && !route.contains(&machine.machine_id)
    };
    let max_targets = match selection {
        Selection::Constrained => factors.targets,
        Selection::Random => candidates.len(),
    };
    let targets: Vec<&MachineLoad> = candidates
        .iter()
        .filter(is_eligible)
        .take(max_targets)
        .collect();
    targets.choose(rng).map(|machine| machine.machine_id)
}

#[cfg(test)]
mod tests;
