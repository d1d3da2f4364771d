//! Unit tests of `dependencies`.

mod costs;
mod reference;
pub(crate) mod shapes;

use super::{DependencyGraph, OwnUrgency};
use crate::collections::HashSet;
use crate::names::{Index, JobId};
use crate::protocol::Priority;

fn job(n: u32) -> JobId {
    JobId::from_raw(n)
}

fn own(priority: Priority, due_ms: Option<i64>, duration_ms: i64) -> OwnUrgency {
    OwnUrgency {
        priority,
        due_ms,
        duration_ms,
    }
}

/// Adds a job with the lowest priority and no deadline.
fn add(graph: &mut DependencyGraph, n: u32, needs: &[u32]) {
    let needs = needs.iter().copied().map(job).collect();
    graph.insert(job(n), own(Priority::BestEffort, None, 10), needs);
}

/// Direct and indirect dependents of a job, in the order in which they are first visited.
fn transitive_dependents(graph: &DependencyGraph, job: JobId) -> Vec<JobId> {
    let mut found: HashSet<JobId> = HashSet::default();
    let mut all = Vec::new();
    graph.visit_dependents(job, |dependent| {
        let is_new = found.insert(dependent);
        if is_new {
            all.push(dependent);
        }
        is_new
    });
    all
}

#[test]
fn priority_and_deadline_propagate_to_all_predecessors() {
    let mut graph = DependencyGraph::default();
    add(&mut graph, 1, &[0]);
    add(&mut graph, 2, &[1]);
    assert_eq!(
        graph.inherited_urgency(job(0)).unwrap().priority,
        Priority::BestEffort
    );
    graph.insert(job(3), own(Priority::Urgent, Some(1000), 5), vec![job(2)]);
    let start_by = |n| graph.inherited_urgency(job(n)).unwrap().start_by_ms;
    assert_eq!(start_by(2), Some(995));
    assert_eq!(start_by(1), Some(985));
    assert_eq!(start_by(0), Some(975));
    assert_eq!(
        graph.inherited_urgency(job(0)).unwrap().priority,
        Priority::Urgent
    );
    assert_eq!(graph.inherited_urgency(job(3)), None);
}

#[test]
fn insertion_order_does_not_change_inherited_urgency() {
    // A full read of the key-value store returns jobs in the order of their names.
    let edges: [(u32, &[u32]); 4] = [(1, &[0]), (2, &[0]), (3, &[1, 2]), (4, &[3])];
    let mut results = Vec::new();
    for order in [[0, 1, 2, 3], [3, 2, 1, 0], [2, 0, 3, 1]] {
        let mut graph = DependencyGraph::default();
        for at in order {
            let (n, needs) = edges[at];
            let due = (n == 4).then_some(500);
            let needs = needs.iter().copied().map(job).collect();
            graph.insert(
                job(n),
                own(Priority::Normal, due, 100 * i64::from(n)),
                needs,
            );
        }
        results.push(
            (0..4)
                .map(|n| graph.inherited_urgency(job(n)))
                .collect::<Vec<_>>(),
        );
    }
    assert_eq!(results[0], results[1]);
    assert_eq!(results[0], results[2]);
    // The critical path runs through jobs 2, 3 and 4, because 2 takes longer than 1.
    assert_eq!(
        results[0][0].unwrap().start_by_ms,
        Some(500 - 400 - 300 - 200)
    );
}

#[test]
fn a_removed_dependent_no_longer_raises_the_priority() {
    let mut graph = DependencyGraph::default();
    add(&mut graph, 1, &[0]);
    graph.insert(job(2), own(Priority::Critical, Some(50), 1), vec![job(1)]);
    graph.insert(job(3), own(Priority::Normal, Some(90), 1), vec![job(1)]);
    assert_eq!(
        graph.inherited_urgency(job(0)).unwrap().priority,
        Priority::Critical
    );
    assert_eq!(graph.remove(job(2)), [job(1)]);
    let left = graph.inherited_urgency(job(0)).unwrap();
    assert_eq!(
        (left.priority, left.start_by_ms),
        (Priority::Normal, Some(79))
    );
    graph.remove(job(3));
    assert!(!graph.has_dependents(job(1)) && graph.has_dependents(job(0)));
    graph.remove(job(1));
    assert_eq!(graph.inherited_urgency(job(0)), None);
    assert!(!graph.has_dependents(job(0)));
    assert!(graph.remove(job(1)).is_empty());
}

#[test]
fn transitive_dependents_are_listed_once_each() {
    let mut graph = DependencyGraph::default();
    add(&mut graph, 1, &[0]);
    add(&mut graph, 2, &[0]);
    add(&mut graph, 3, &[1, 2]);
    add(&mut graph, 4, &[3]);
    add(&mut graph, 5, &[9]);
    let mut all = transitive_dependents(&graph, job(0));
    all.sort();
    assert_eq!(all, [job(1), job(2), job(3), job(4)]);
    assert!(transitive_dependents(&graph, job(4)).is_empty());
}

#[test]
fn appending_to_a_long_chain_does_not_visit_the_whole_chain() {
    // Each new job is no more urgent than its predecessor, so nothing is propagated further.
    let mut graph = DependencyGraph::default();
    for n in 1..50_000 {
        add(&mut graph, n, &[n - 1]);
    }
    graph.insert(
        job(50_000),
        own(Priority::Urgent, Some(0), 1),
        vec![job(49_999)],
    );
    assert_eq!(
        graph.inherited_urgency(job(0)).unwrap().priority,
        Priority::Urgent
    );
    assert_eq!(transitive_dependents(&graph, job(0)).len(), 50_000);
}
