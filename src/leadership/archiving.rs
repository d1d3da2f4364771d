//! Jobs that are over: recorded as such, and moved out of the watched keys.

use super::*;
use crate::records::JobRecord;

impl Core {
    /// Records the end of jobs whose tasks are all done. Blocks show that first, and what is done
    /// stays done: the job's own key decides between this and a cancellation.
    pub(crate) fn plan_finish(&mut self) -> Option<Txn> {
        let most = self.settings.platform.settings.state.txn_ops;
        let mut txn = Txn::default();
        let mut size = 0;
        let told = self.told_done();
        let none = RangeSet::new();
        let done_of = |ix: JobIx| told.get(&ix).unwrap_or(&none);
        let done_with_told = |ix: JobIx, told: &RangeSet| {
            let job = self.view.jobs.get(&ix);
            let pending = job.filter(|j| j.status == JobStatus::Pending);
            pending.is_some_and(|job| {
                let mut done = job.done.clone();
                done.union(told);
                done.len() >= job.spec.legs
            })
        };
        let by_word = told.iter().filter(|&(&ix, told)| done_with_told(ix, told));
        let mut over: Vec<JobIx> = by_word.map(|(&ix, _)| ix).collect();
        over.extend(self.view.complete());
        // What others wait for goes first.
        over.sort_by_key(|&ix| (!self.view.dependencies.is_needed(ix), ix));
        over.dedup();
        for ix in over.into_iter().take(most) {
            let Some(change) = self.job_change(ix, done_of(ix)) else {
                continue;
            };
            if let Change::Put { put, v, .. } = &change {
                size += v.size() + 100;
                if size > TXN_BYTES {
                    break;
                }
                txn.guards.push(self.guard(put));
            }
            txn.then.push(change);
        }
        (!txn.then.is_empty()).then_some(txn)
    }

    /// Moves jobs that are over out of the watched part, while the budget is not needed for more.
    pub(crate) fn plan_archive(&mut self, now: Ms) -> Option<Txn> {
        if now < self.lead.next_archive || self.refused_lately(now) {
            return None;
        }
        // Each job that leaves costs two changes: those that wait to run come first.
        let pending = self.view.pending();
        let over = self.view.jobs.len() - pending;
        if pending > 0 && over < self.settings.options.jobs_kept as usize {
            return None;
        }
        let most = (self.settings.platform.settings.state.txn_ops / 2).min(4);
        let binding: HashSet<JobIx> = self.binding().map(|b| b.1.task.job).collect();
        // The watch has passed it: no older change can bring the job back after its drop.
        let over = self.view.jobs.iter().filter(|(ix, j)| {
            j.status != JobStatus::Pending
                && j.stamp <= self.view.ledger
                && !self.view.is_mentioned(**ix)
                && self.may_archive(**ix, j)
                && !binding.contains(*ix)
                && !self.view.is_unreadable(self.view.names.jobs.name(**ix))
        });
        let mut over: Vec<(JobIx, String, JobRecord)> = over
            .map(|(&ix, j)| {
                let key = job_key(self.view.names.jobs.name(ix));
                (
                    ix,
                    key,
                    j.record(self.view.done_tasks(j.stored.clone()), j.status),
                )
            })
            .collect();
        over.extend(self.withdrawn_waiting());
        // The more of them there are, the sooner the next turn: jobs that end faster than they
        // leave would fill the memory.
        let crowd = match pending {
            0 => over.len() as u64 / 10,
            _ => over.len() as u64 / 50,
        };
        let wait = 4000 / (1 + crowd);
        self.lead.next_archive = now.plus(wait.max(500));
        if over.is_empty() {
            return None;
        }
        let mut txn = Txn::default();
        let mut size = 0;
        for (ix, key, mut record) in over.into_iter().take(most) {
            record.shorten(self.settings.value_bytes());
            let change = put(&past_key(self.view.names.jobs.name(ix)), &record, None);
            if change.value_bytes() > self.settings.value_bytes() {
                // Written when values could be larger: it stays where it is, for it cannot be
                // written anywhere any more.
                continue;
            }
            size += change.value_bytes();
            if size > TXN_BYTES && !txn.then.is_empty() {
                break;
            }
            txn.guards.push(self.guard(&key));
            txn.then.push(change);
            txn.then.push(Change::Drop { drop: key });
        }
        (!txn.then.is_empty()).then_some(txn)
    }
}
