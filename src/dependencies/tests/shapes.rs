//! Pipelines of different shapes, in the order in which users submit them.

use super::{job, own};
use crate::dependencies::{DependencyGraph, OwnUrgency};
use crate::names::JobId;
use crate::protocol::Priority;

/// Deadline of the last job of a pipeline, milliseconds since the epoch.
const DUE_MS: i64 = 6_000_000;
/// Duration of a job, ms.
const DURATION_MS: i64 = 100;
/// Number of jobs in a wide stage before the stages of a doubling pipeline.
const STAGE_WIDTH: usize = 8;

/// A waiting job.
#[derive(Debug, Clone)]
pub(crate) struct WaitingJob {
    pub(crate) job: JobId,
    pub(crate) own: OwnUrgency,
    pub(crate) predecessors: Vec<JobId>,
}

/// A pipeline in the order of submission. Its last job alone is urgent and has a deadline.
#[derive(Debug, Clone)]
pub(crate) struct Pipeline {
    pub(crate) name: &'static str,
    pub(crate) jobs: Vec<WaitingJob>,
}

impl Pipeline {
    /// Stages of jobs with these durations. Each job has all jobs of the stage before as predecessors; those
    /// of the first stage have a job that does not wait.
    fn from_stages(name: &'static str, stages: &[Vec<i64>]) -> Self {
        let mut before = vec![job(0)];
        let mut jobs: Vec<WaitingJob> = Vec::new();
        for stage in stages {
            let first = jobs.len();
            for &duration_ms in stage {
                jobs.push(WaitingJob {
                    job: job(jobs.len() as u32 + 1),
                    own: own(Priority::BestEffort, None, duration_ms),
                    predecessors: before.clone(),
                });
            }
            before = jobs[first..].iter().map(|waiting| waiting.job).collect();
        }
        let last = WaitingJob {
            job: job(jobs.len() as u32 + 1),
            own: own(Priority::Urgent, Some(DUE_MS), DURATION_MS),
            predecessors: before,
        };
        jobs.push(last);
        Self { name, jobs }
    }

    /// A chain of jobs.
    pub(crate) fn deep(length: usize) -> Self {
        Self::from_stages("deep", &vec![vec![DURATION_MS]; length])
    }

    /// Three stages of many jobs each.
    pub(crate) fn wide(width: usize) -> Self {
        Self::from_stages("wide", &vec![vec![DURATION_MS; width]; 3])
    }

    /// A few wide stages, then stages of a short job and one that takes twice as long as in the stage before.
    pub(crate) fn doubling(stages: usize) -> Self {
        let mut all = vec![vec![DURATION_MS; STAGE_WIDTH]; 2];
        let duration_ms = |stage: usize| DURATION_MS << stage.min(32);
        all.extend((0..stages).map(|stage| vec![duration_ms(stage), DURATION_MS]));
        Self::from_stages("doubling", &all)
    }

    /// Pipelines of all shapes in these sizes.
    pub(crate) fn all(sizes: &[usize]) -> impl Iterator<Item = Self> + '_ {
        let shapes = [Self::deep, Self::wide, Self::doubling];
        let sized = move |&size: &usize| shapes.map(|shape| shape(size));
        sizes.iter().flat_map(sized)
    }

    /// Asserts that an operation on the pipeline visited each of these edges at most `max_visits` times.
    pub(crate) fn assert_visits(&self, operation: &str, visited: u64, edges: u64, max_visits: u64) {
        let cost = format!(
            "{operation}, {} of {} jobs: {visited} visits of {edges} edges",
            self.name,
            self.jobs.len()
        );
        println!("{cost}");
        assert!(visited <= max_visits * edges, "{cost}");
    }

    /// The number of edges.
    pub(crate) fn edges(&self) -> u64 {
        let jobs = self.jobs.iter();
        jobs.map(|waiting| waiting.predecessors.len() as u64).sum()
    }

    /// Adds these jobs of the pipeline, by position.
    pub(crate) fn insert(
        &self,
        graph: &mut DependencyGraph,
        positions: impl IntoIterator<Item = usize>,
    ) {
        for at in positions {
            let waiting = self.jobs[at].clone();
            graph.insert(waiting.job, waiting.own, waiting.predecessors);
        }
    }
}
