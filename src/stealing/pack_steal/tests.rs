//! Unit tests of PackStealLB.

use super::{Factors, MachineLoad, Role, Selection, Thresholds, choose_target};
use crate::names::{Index, MachineId};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const FACTORS: Factors = Factors {
    tolerance: 0.05,
    pack: 0.4,
    targets: 4,
    hops: 0.25,
};

fn thresholds_of(loads: &[f64]) -> Option<Thresholds> {
    Thresholds::new(loads.iter().sum(), loads.len(), &FACTORS)
}

#[test]
fn roles_depend_on_the_distance_from_the_mean() {
    let thresholds = thresholds_of(&[0.0, 100.0, 200.0]).expect("loads");
    assert_eq!(
        (thresholds.mean, thresholds.epsilon, thresholds.pack),
        (100.0, 5.0, 2.0)
    );
    assert_eq!(thresholds.role(105.0), Role::Victim);
    assert_eq!(thresholds.role(104.9), Role::Balanced);
    assert_eq!(thresholds.role(98.1), Role::Balanced);
    assert_eq!(thresholds.role(98.0), Role::Thief { steals: 1 });
    assert_eq!(thresholds.role(93.0), Role::Thief { steals: 4 });
    let idle = thresholds_of(&[0.0, 0.0]).expect("loads");
    assert_eq!(idle.role(0.0), Role::Balanced, "there is no load to steal");
    assert_eq!(thresholds_of(&[]), None);
}

#[test]
fn packs_contain_the_surplus_above_the_mean() {
    let thresholds = thresholds_of(&[0.0, 200.0]).expect("loads");
    let small: Vec<(u32, f64)> = (0..200).map(|i| (i, 1.0)).collect();
    let packs = thresholds.packs(200.0, &small);
    let moved: f64 = packs.iter().map(|p| p.load).sum();
    assert!((95.0..=100.0).contains(&moved), "{moved}");
    assert!(
        packs
            .iter()
            .all(|p| p.load <= thresholds.pack + thresholds.gamma)
    );
    let big = thresholds.packs(200.0, &[(1, 60.0), (2, 60.0), (3, 30.0)]);
    assert_eq!(big.iter().map(|p| p.tasks.len()).sum::<usize>(), 2);
    assert_eq!(big[0].tasks, [3], "the smallest pack comes first");
}

#[test]
fn steals_target_the_most_loaded_and_after_the_cutoff_any_machine() {
    let all: Vec<MachineLoad> = [9.0, 8.0, 7.0, 6.0, 5.0, 4.0, 3.0, 0.0]
        .into_iter()
        .zip([1, 2, 3, 4, 5, 6, 7, 0].map(MachineId::from_raw))
        .map(|(load, machine_id)| MachineLoad { machine_id, load })
        .collect();
    let thief = MachineId::from_raw(0);
    let mut rng = SmallRng::seed_from_u64(3);
    let mut pick = |selection, route: &[MachineId]| {
        (0..200)
            .filter_map(|_| choose_target(&all, selection, thief, route, &FACTORS, &mut rng))
            .map(|m| m.raw())
            .collect::<std::collections::BTreeSet<_>>()
    };
    assert_eq!(pick(Selection::Constrained, &[]), [1, 2, 3, 4].into());
    assert_eq!(pick(Selection::Random, &[]), [1, 2, 3, 4, 5, 6, 7].into());
    assert_eq!(
        pick(Selection::Constrained, &[MachineId::from_raw(1)]),
        [2, 3, 4, 5].into()
    );
    let all_ids: Vec<_> = all.iter().map(|machine| machine.machine_id).collect();
    assert!(pick(Selection::Random, &all_ids).is_empty());
}
