//! Final states of jobs that users were answered with before.
//!
//! Owns a bounded cache of answers that can never change, so that repeated polls of jobs that are over cost
//! the state service nothing. It must never keep an answer that is not final.

use crate::protocol::{JobAnswer, JobStatus};
use std::collections::{HashMap, VecDeque};

/// Final answers kept in memory.
const MAX_ANSWERS: usize = 5000;

/// Final answers; a bounded number of the latest.
#[derive(Debug, Default)]
pub struct FinalStateCache {
    by_name: HashMap<String, JobAnswer>,
    /// Names from the oldest to the latest.
    order: VecDeque<String>,
}

impl FinalStateCache {
    /// Keeps an answer if it is final.
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

    /// The final answer for a job, if it is remembered.
    pub fn get(&self, name: &str) -> Option<&JobAnswer> {
        self.by_name.get(name)
    }
}
