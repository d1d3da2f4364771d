//! PackStealLB over machines' queues, after the paper's section 4 and the values of section 5.
//! Pure: the holder feeds in loads and carries the messages.

use crate::names::MachineId;
use rand::Rng;
use rand::seq::IndexedRandom;

/// The factors of a round.
#[derive(Debug, Clone, Copy)]
pub struct Factors {
    /// Imbalance tolerance (xi).
    pub tolerance: f64,
    /// Pack narrowing factor (delta).
    pub pack: f64,
    /// Targets of constrained selection (k).
    pub targets: usize,
    /// Hops, as a part of the machines, after which selection is random (vsthreshold).
    pub hops: f64,
}

/// What a round knows: the mean and what follows from it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Levels {
    /// Mean load.
    pub mean: f64,
    /// Tolerance (epsilon).
    pub epsilon: f64,
    /// Load of a pack.
    pub pack: f64,
    /// Relaxation of a pack's load (gamma).
    pub gamma: f64,
}

/// What a machine is in this round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
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

impl Levels {
    /// Computes the levels from the sum of all machines' loads and their number.
    pub fn new(sum: f64, machines: usize, f: &Factors) -> Option<Levels> {
        if machines == 0 {
            return None;
        }
        let mean = sum / machines as f64;
        let epsilon = mean * f.tolerance;
        let pack = epsilon * f.pack;
        Some(Levels {
            mean,
            epsilon,
            pack,
            gamma: pack * f.tolerance,
        })
    }

    /// The role that a load gives.
    pub fn role(&self, load: f64) -> Role {
        if self.mean <= 0.0 {
            Role::Balanced
        } else if load >= self.mean + self.epsilon {
            Role::Victim
        } else if load <= self.mean - self.pack {
            let gap = (self.mean - load) / self.pack;
            Role::Thief {
                steals: gap.ceil().min(1e6) as u32,
            }
        } else {
            Role::Balanced
        }
    }

    /// Packs up a victim's surplus: `tasks` are the movable ones with their loads, last first
    /// to be moved. A task larger than a pack is a pack of its own.
    pub fn packs<T: Copy>(&self, load: f64, tasks: &[(T, f64)]) -> Vec<Pack<T>> {
        let mut packs: Vec<Pack<T>> = Vec::new();
        let mut open = Pack::default();
        let mut left = load;
        for &(task, w) in tasks {
            // Equation (4): what stays is not pressed below the mean.
            if left < self.mean + self.epsilon || left - w < self.mean {
                continue;
            }
            if !open.tasks.is_empty() && open.load + w > self.pack + self.gamma {
                packs.push(std::mem::take(&mut open));
            }
            open.tasks.push(task);
            open.load += w;
            left -= w;
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
pub struct Pack<T> {
    /// The tasks.
    pub tasks: Vec<T>,
    /// Their load on the victim.
    pub load: f64,
}

impl<T> Default for Pack<T> {
    fn default() -> Self {
        Self {
            tasks: Vec::new(),
            load: 0.0,
        }
    }
}

/// Picks where a steal goes next: among the most loaded of `known`, which has the heaviest first,
/// or anywhere in it after too many hops; never to the thief, nor to machines that proved to be
/// no victims.
pub fn target(
    known: &[(MachineId, f64)],
    far: bool,
    thief: MachineId,
    route: &[MachineId],
    f: &Factors,
    rng: &mut impl Rng,
) -> Option<MachineId> {
    let open = |m: &&(MachineId, f64)| m.0 != thief && !route.contains(&m.0);
    let most = if far { known.len() } else { f.targets };
    let picks: Vec<&(MachineId, f64)> = known.iter().filter(open).take(most).collect();
    picks.choose(rng).map(|m| m.0)
}

#[cfg(test)]
mod tests;
