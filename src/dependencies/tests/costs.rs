//! What operations on the graph cost, in edges visited, on pipelines of several shapes and sizes.

use super::job;
use super::shapes::Pipeline;
use crate::dependencies::DependencyGraph;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

/// Number of times that an operation may visit each edge.
const MAX_VISITS_PER_EDGE: u64 = 6;
/// Sizes of the pipelines.
const SIZES: [usize; 4] = [10, 20, 40, 80];

/// Runs an operation followed by a query; returns the number of edges visited.
fn edges_visited(graph: &mut DependencyGraph, operation: impl FnOnce(&mut DependencyGraph)) -> u64 {
    let before = graph.edges_visited();
    operation(graph);
    graph.inherited_urgency(job(0));
    graph.edges_visited() - before
}

fn assert_within(pipeline: &Pipeline, operation: &str, visited: u64, edges: u64) {
    pipeline.assert_visits(operation, visited, edges, MAX_VISITS_PER_EDGE);
}

/// Guards against a deadline on the last job of a pipeline stopping all controllers: passing it back visited
/// the pipeline once for each stage whose estimate doubles, and twice as often for each further stage.
#[test]
fn a_deadline_on_the_last_job_visits_each_edge_of_the_pipeline_a_few_times() {
    for pipeline in Pipeline::all(&SIZES) {
        let mut graph = DependencyGraph::default();
        let last = pipeline.jobs.len() - 1;
        pipeline.insert(&mut graph, 0..last);
        graph.inherited_urgency(job(0));
        let visited = edges_visited(&mut graph, |graph| pipeline.insert(graph, [last]));
        assert_within(&pipeline, "deadline", visited, pipeline.edges());
        let visited = edges_visited(&mut graph, |graph| {
            graph.remove(pipeline.jobs[last].job);
        });
        assert_within(&pipeline, "end of the deadline", visited, pipeline.edges());
    }
}

#[test]
fn a_full_read_in_any_order_visits_each_edge_a_few_times() {
    let mut rng = SmallRng::seed_from_u64(1);
    for pipeline in Pipeline::all(&SIZES) {
        let submitted: Vec<usize> = (0..pipeline.jobs.len()).collect();
        let reversed: Vec<usize> = submitted.iter().rev().copied().collect();
        let mut shuffled = submitted.clone();
        shuffled.shuffle(&mut rng);
        for order in [submitted, reversed, shuffled] {
            let mut graph = DependencyGraph::default();
            let visited = edges_visited(&mut graph, |graph| pipeline.insert(graph, order));
            assert_within(&pipeline, "full read", visited, pipeline.edges());
        }
    }
}

#[test]
fn removing_a_whole_pipeline_visits_each_edge_a_few_times() {
    for pipeline in Pipeline::all(&SIZES) {
        let in_order: Vec<usize> = (0..pipeline.jobs.len()).collect();
        let reversed = in_order.iter().rev().copied().collect();
        for order in [in_order, reversed] {
            let mut graph = DependencyGraph::default();
            pipeline.insert(&mut graph, 0..pipeline.jobs.len());
            graph.inherited_urgency(job(0));
            let visited = edges_visited(&mut graph, |graph| {
                for at in order {
                    graph.remove(pipeline.jobs[at].job);
                }
            });
            assert_within(&pipeline, "removal", visited, pipeline.edges());
        }
    }
}

#[test]
fn growing_a_pipeline_job_by_job_visits_the_edges_of_the_new_jobs_only() {
    // Queries after each job, as on the leader. No job changes what earlier ones inherit.
    for pipeline in Pipeline::all(&SIZES) {
        let mut graph = DependencyGraph::default();
        for at in 0..pipeline.jobs.len() - 1 {
            let edges = pipeline.jobs[at].predecessors.len() as u64;
            let visited = edges_visited(&mut graph, |graph| pipeline.insert(graph, [at]));
            assert_within(&pipeline, "growth", visited, edges);
        }
    }
}

#[test]
fn completing_one_of_many_dependents_does_not_visit_the_others() {
    let mut graph = DependencyGraph::default();
    let dependents = 1..1000;
    for n in dependents.clone() {
        super::add(&mut graph, n, &[0]);
    }
    graph.inherited_urgency(job(0));
    for n in dependents {
        let visited = edges_visited(&mut graph, |graph| {
            graph.remove(job(n));
        });
        assert!(visited <= MAX_VISITS_PER_EDGE, "job {n}: {visited} visits");
    }
}

#[test]
fn queries_without_changes_visit_no_edges() {
    let pipeline = Pipeline::doubling(20);
    let mut graph = DependencyGraph::default();
    pipeline.insert(&mut graph, 0..pipeline.jobs.len());
    graph.inherited_urgency(job(0));
    let visited = edges_visited(&mut graph, |graph| {
        for waiting in &pipeline.jobs {
            graph.inherited_urgency(waiting.job);
        }
    });
    assert_eq!(visited, 0);
}
