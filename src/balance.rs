//! PackStealLB over machines' queues, after the paper's section 4 and the values of section 5.
//! Pure: the holder feeds in loads and carries the messages.

use crate::names::MachineIx;
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
    known: &[(MachineIx, f64)],
    far: bool,
    thief: MachineIx,
    route: &[MachineIx],
    f: &Factors,
    rng: &mut impl Rng,
) -> Option<MachineIx> {
    let open = |m: &&(MachineIx, f64)| m.0 != thief && !route.contains(&m.0);
    let most = if far { known.len() } else { f.targets };
    let picks: Vec<&(MachineIx, f64)> = known.iter().filter(open).take(most).collect();
    picks.choose(rng).map(|m| m.0)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::names::Index;
    use rand::SeedableRng;
    use rand::rngs::SmallRng;

    const F: Factors = Factors {
        tolerance: 0.05,
        pack: 0.4,
        targets: 4,
        hops: 0.25,
    };

    fn of(l: &[f64]) -> Option<Levels> {
        Levels::new(l.iter().sum(), l.len(), &F)
    }

    #[test]
    fn roles_follow_the_mean() {
        let levels = of(&[0.0, 100.0, 200.0]).expect("loads");
        assert_eq!(
            (levels.mean, levels.epsilon, levels.pack),
            (100.0, 5.0, 2.0)
        );
        assert_eq!(levels.role(105.0), Role::Victim);
        assert_eq!(levels.role(104.9), Role::Balanced);
        assert_eq!(levels.role(98.1), Role::Balanced);
        assert_eq!(levels.role(98.0), Role::Thief { steals: 1 });
        assert_eq!(levels.role(93.0), Role::Thief { steals: 4 });
        let idle = of(&[0.0, 0.0]).expect("loads");
        assert_eq!(idle.role(0.0), Role::Balanced, "nothing to steal anywhere");
        assert_eq!(of(&[]), None);
    }

    #[test]
    fn packs_hold_the_surplus_and_leave_the_mean() {
        let levels = of(&[0.0, 200.0]).expect("loads");
        let small: Vec<(u32, f64)> = (0..200).map(|i| (i, 1.0)).collect();
        let packs = levels.packs(200.0, &small);
        let moved: f64 = packs.iter().map(|p| p.load).sum();
        assert!((95.0..=100.0).contains(&moved), "{moved}");
        assert!(packs.iter().all(|p| p.load <= levels.pack + levels.gamma));
        let big = levels.packs(200.0, &[(1, 60.0), (2, 60.0), (3, 30.0)]);
        assert_eq!(big.iter().map(|p| p.tasks.len()).sum::<usize>(), 2);
        assert_eq!(big[0].tasks, [3], "the smallest is given first");
    }

    #[test]
    fn steals_go_to_the_heaviest_and_after_the_cutoff_anywhere() {
        let all: Vec<(MachineIx, f64)> = [9.0, 8.0, 7.0, 6.0, 5.0, 4.0, 3.0, 0.0]
            .into_iter()
            .zip([1, 2, 3, 4, 5, 6, 7, 0].map(MachineIx::from_raw))
            .map(|(l, m)| (m, l))
            .collect();
        let me = MachineIx::from_raw(0);
        let mut rng = SmallRng::seed_from_u64(3);
        let mut pick = |far, route: &[MachineIx]| {
            (0..200)
                .filter_map(|_| target(&all, far, me, route, &F, &mut rng))
                .map(|m| m.raw())
                .collect::<std::collections::BTreeSet<_>>()
        };
        assert_eq!(pick(false, &[]), [1, 2, 3, 4].into());
        assert_eq!(pick(true, &[]), [1, 2, 3, 4, 5, 6, 7].into());
        assert_eq!(pick(false, &[MachineIx::from_raw(1)]), [2, 3, 4, 5].into());
        let everyone: Vec<_> = all.iter().map(|m| m.0).collect();
        assert!(pick(true, &everyone).is_empty());
    }
}
