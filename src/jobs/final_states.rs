//! Cache of the final states of jobs.
//!
//! Final states never change, so repeated polls of a final job need no read from the key-value store. The
//! cache must never contain a state that is not final.

use crate::protocol::{JobAnswer, JobStatus};
use std::collections::{HashMap, VecDeque};

/// Maximum number of cached answers.
const MAX_ANSWERS: usize = 5000;

/// Cache of final answers that evicts the oldest entry when it is full.
#[derive(Debug, Default)]
pub struct FinalStateCache {
    by_name: HashMap<String, JobAnswer>,
    /// Job names in insertion order.
    order: VecDeque<String>,
}

impl FinalStateCache {
    /// Caches an answer if its state is final.
    pub fn record_if_final(&mut self, answer: &JobAnswer) {
        if !matches!(answer.status, JobStatus::Done | JobStatus::Cancelled) {
            return;
        }
        let name = &answer.name;
        if self.by_name.insert(name.clone(), answer.clone()).is_none() {
            self.order.push_back(name.clone());
        }
        while self.order.len() > MAX_ANSWERS {
            if let Some(oldest) = self.order.pop_front() {
                self.by_name.remove(&oldest);
            }
        }
    }

    /// The cached answer for a job.
    pub fn get(&self, name: &str) -> Option<&JobAnswer> {
        self.by_name.get(name)
    }
}
