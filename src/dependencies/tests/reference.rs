//! Inherited urgency on random graphs, compared with a plain definition.

use super::{job, own};
use crate::dependencies::{DependencyGraph, InheritedUrgency, OwnUrgency};
use crate::protocol::Priority;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// Number of random graphs.
const GRAPHS: u64 = 300;
/// Number of jobs that a graph may contain.
const MAX_JOBS: u32 = 24;
/// Number of changes of each graph.
const CHANGES: usize = 120;

/// The waiting jobs with their own urgency and their predecessors.
type Model = BTreeMap<u32, (OwnUrgency, Vec<u32>)>;

/// The urgency that each job inherits, by definition: the most urgent of what its dependents pass on. Every
/// predecessor has a lower number than its dependents.
fn inherited_urgency(model: &Model) -> BTreeMap<u32, InheritedUrgency> {
    let mut inherited: BTreeMap<u32, InheritedUrgency> = BTreeMap::new();
    for (&dependent, (own, predecessors)) in model.iter().rev() {
        let from_dependents = inherited.get(&dependent);
        let priority = from_dependents.map_or(own.priority, |from| from.priority.min(own.priority));
        let starts = [
            own.due_ms,
            from_dependents.and_then(|from| from.start_by_ms),
        ];
        let done_by_ms = starts.into_iter().flatten().min();
        let start_by_ms = done_by_ms.map(|done_by| done_by - own.duration_ms);
        for &predecessor in predecessors {
            let passed_on = inherited.entry(predecessor).or_insert(InheritedUrgency {
                priority,
                start_by_ms,
            });
            passed_on.priority = passed_on.priority.min(priority);
            let starts = [passed_on.start_by_ms, start_by_ms];
            passed_on.start_by_ms = starts.into_iter().flatten().min();
        }
    }
    inherited
}

fn random_own(rng: &mut SmallRng) -> OwnUrgency {
    let priorities = [
        Priority::Critical,
        Priority::Urgent,
        Priority::Normal,
        Priority::BestEffort,
    ];
    let priority = priorities.into_iter().choose(rng).expect("not empty");
    let due_ms = rng.random_bool(0.4).then(|| rng.random_range(0..5000));
    own(priority, due_ms, 1 << rng.random_range(0..12))
}

/// Adds or removes one job, in the graph and in the model.
fn change(graph: &mut DependencyGraph, model: &mut Model, rng: &mut SmallRng) {
    let number = rng.random_range(1..MAX_JOBS);
    if model.remove(&number).is_some() {
        graph.remove(job(number));
        return;
    }
    let count = rng.random_range(1..=4.min(number)) as usize;
    let predecessors = (0..number).choose_multiple(rng, count);
    let own = random_own(rng);
    model.insert(number, (own, predecessors.clone()));
    let predecessors = predecessors.into_iter().map(job).collect();
    graph.insert(job(number), own, predecessors);
}

#[test]
fn random_graphs_have_the_inherited_urgency_of_the_definition() {
    for seed in 0..GRAPHS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut graph, mut model) = (DependencyGraph::default(), Model::new());
        // Several changes may fall between two queries, as on a controller that applies a watch response.
        let queried = rng.random_range(0.1..1.0);
        for at in 0..CHANGES {
            change(&mut graph, &mut model, &mut rng);
            if !rng.random_bool(queried) && at + 1 < CHANGES {
                continue;
            }
            let expected = inherited_urgency(&model);
            for number in 0..MAX_JOBS {
                assert_eq!(
                    graph.inherited_urgency(job(number)),
                    expected.get(&number).copied(),
                    "seed {seed}, change {at}, job {number}: {model:?}"
                );
            }
        }
    }
}

#[test]
fn values_that_name_each_other_in_a_cycle_do_not_hang_a_query() {
    let mut graph = DependencyGraph::default();
    let cycle = [(1, 3), (2, 1), (3, 2), (4, 3)];
    for (number, predecessor) in cycle {
        let own = own(Priority::Urgent, Some(1000), 10);
        graph.insert(job(number), own, vec![job(predecessor)]);
    }
    let inherited = graph
        .inherited_urgency(job(3))
        .expect("job 4 depends on it");
    assert_eq!(inherited.priority, Priority::Urgent);
    for (number, _) in cycle {
        graph.remove(job(number));
    }
    assert_eq!(graph.inherited_urgency(job(3)), None);
}
