//! The lender's side: the leader lends jobs, recalls them and takes them back.
//!
//! Invariant: a job is not taken back while any of its tasks may be on a machine of the borrower.

use super::load::WaitForecast;
use super::{Batch, Controller, LentLoan};
use crate::clock::Timestamp;
use crate::controller::put;
use crate::controller::writes::WriteIntent;
use crate::names::JobId;
use crate::protocol::{JobStatus, Mutation, Transaction};
use crate::ranges::RangeSet;
use crate::records::Transfer;
use crate::replica::{Job, job_key};
use quillbend_spillover::message::{LoanId, TransferToken};
use quillbend_spillover::policy::{self, Borrower, LoanActivity};
use quillbend_spillover::settings::PolicySettings;
use std::collections::BTreeSet;
use tracing::info;

/// Time for which a returned job is not lent to the same cell again, ms.
const RELEND_DELAY_MS: u64 = 20_000;
/// Bytes by which the value of a lent job grows when it is marked as recalled.
const RECALL_MARK_BYTES: usize = 16;

/// A lent job that can be taken back now.
struct DueReturn {
    job_id: JobId,
    cell: String,
    /// Whether all leases have expired; if false, the job is taken back because the borrower refused it.
    expired: bool,
}

impl Controller {
    /// Records the loans that the replica shows as lent and removes all others.
    pub(super) fn record_lent_loans(&mut self, now: Timestamp) {
        let mut lent_jobs = BTreeSet::new();
        for (job_id, job) in self.replica.transferred_jobs() {
            let Some(transfer) = job.lent_to() else {
                continue;
            };
            if job.status != JobStatus::Pending {
                continue;
            }
            let id = LoanId {
                job: self.replica.names.jobs.name(job_id).to_owned(),
                token: transfer.token,
            };
            lent_jobs.insert(id.job.clone());
            let new_loan = LentLoan::new(id.clone(), now);
            let loan = self
                .spillover
                .lent
                .entry(id.job.clone())
                .or_insert_with(|| new_loan.clone());
            if loan.id.token != id.token {
                *loan = new_loan;
            }
            if transfer.recalled {
                loan.recalled_at.get_or_insert(now);
            }
        }
        self.spillover.lent.retain(|job, _| lent_jobs.contains(job));
        self.spillover
            .relend_not_before
            .retain(|_, until| now < *until);
    }

    /// Plans the leader's next write about transfers: returns first, then cancellations of
    /// borrowed jobs whose loans have ended, recalls and new loans.
    pub(crate) fn plan_transfers(&mut self, now: Timestamp) -> Option<(Transaction, WriteIntent)> {
        if !self.handles_transfers() {
            return None;
        }
        self.plan_returns(now)
            .or_else(|| self.plan_ended_loan_cancellations())
            .or_else(|| self.plan_recalls(now))
            .map(|transaction| (transaction, WriteIntent::default()))
            .or_else(|| self.plan_loans(now))
    }

    /// Takes back loans for which the borrower has recorded a refusal, and loans recalled so long ago that
    /// none of their tasks can be on any machine.
    fn plan_returns(&mut self, now: Timestamp) -> Option<Transaction> {
        let jobs = self.replica.transferred_jobs();
        let due = jobs.filter_map(|(job_id, job)| self.due_return(job_id, job, now));
        let due: Vec<DueReturn> = due.collect();
        let mut batch = self.transfer_batch();
        for due_return in due {
            let DueReturn {
                job_id,
                cell,
                expired,
            } = due_return;
            let name = self.replica.names.jobs.name(job_id).to_owned();
            let Some(mutation) = self.return_mutation(job_id, &RangeSet::new()) else {
                continue;
            };
            if !batch.add(self.precondition(&job_key(&name)), mutation) {
                break;
            }
            info!(job = name, cell, expired, "loan returned");
            self.spillover.counters.expired += u64::from(expired);
            self.spillover.counters.returned += u64::from(!expired);
            let until = now.plus(RELEND_DELAY_MS);
            self.spillover.relend_not_before.insert((name, cell), until);
        }
        batch.finish()
    }

    /// The return of a lent job, or None if it must not be taken back yet.
    fn due_return(&self, job_id: JobId, job: &Job, now: Timestamp) -> Option<DueReturn> {
        let transfer = job.lent_to()?;
        let name = self.replica.names.jobs.name(job_id);
        let loan = self.spillover.lent.get(name)?;
        let expired = loan
            .recalled_at
            .is_some_and(|at| now.since(at) > transfer.terms.tasks_stopped_after_ms());
        let due = job.status == JobStatus::Pending && (loan.refused || expired);
        due.then(|| DueReturn {
            job_id,
            cell: transfer.cell.clone(),
            expired,
        })
    }

    /// An empty batch with the limit on mutations from the settings.
    pub(super) fn transfer_batch(&self) -> Batch {
        Batch::new(self.settings.platform.settings.state.txn_ops)
    }

    /// The mutation that ends a loan, after which this cell runs the job again. `done_elsewhere` are the
    /// tasks that the borrower has done. None if the job is unknown or its value would be too large.
    pub(super) fn return_mutation(
        &self,
        job_id: JobId,
        done_elsewhere: &RangeSet,
    ) -> Option<Mutation> {
        let job = self.replica.jobs.get(&job_id)?;
        let mut done = job.done.clone();
        done.union(done_elsewhere);
        let mut record = job.to_record(Default::default(), JobStatus::Pending);
        record.return_loan(self.replica.done_tasks(done));
        let key = job_key(self.replica.names.jobs.name(job_id));
        let mutation = put(&key, &record, None);
        (mutation.value_bytes() <= self.settings.max_value_bytes()).then_some(mutation)
    }

    /// Recalls loans that the borrower declined or no longer reports on, and loans without bound tasks whose
    /// jobs now fit into this cell.
    fn plan_recalls(&mut self, now: Timestamp) -> Option<Transaction> {
        let settings = &self.spillover.settings;
        let max_silence_ms = (settings.loan.silent_s * 1000.0) as u64;
        let mut free_cpus = match self.spillover.hysteresis.is_lending() {
            true => 0.0,
            false => self.spillover.idle_cpus,
        };
        let mut batch = self.transfer_batch();
        for (job_id, job) in self.replica.transferred_jobs() {
            let Some(transfer) = job.lent_to().filter(|transfer| !transfer.recalled) else {
                continue;
            };
            let name = self.replica.names.jobs.name(job_id);
            let Some(loan) = self.spillover.lent.get(name) else {
                continue;
            };
            if job.status != JobStatus::Pending {
                continue;
            }
            let activity = LoanActivity {
                since_last_report_ms: now.since(loan.last_report_at.unwrap_or(loan.known_since)),
                was_reported: loan.last_report_at.is_some(),
                idle_ms: now.since(loan.last_bound_at.unwrap_or(loan.known_since)),
            };
            let cpus = f64::from(job.spec.task_count) * job.spec.cpus;
            let fits = cpus <= free_cpus;
            let reason = policy::recall_reason(&activity, fits, max_silence_ms, &settings.policy);
            if reason.is_none() && !loan.declined {
                continue;
            }
            let done = self.replica.done_tasks(job.stored_done.clone());
            let mut record = job.to_record(done, JobStatus::Pending);
            if let Some(Transfer::Lent(transfer)) = record.transfer.as_deref_mut() {
                transfer.recalled = true;
            }
            let key = job_key(name);
            if !batch.add(self.precondition(&key), put(&key, &record, None)) {
                break;
            }
            info!(job = name, cell = transfer.cell, ?reason, "recalling loan");
            free_cpus -= cpus;
        }
        let transaction = batch.finish();
        let recalled = transaction
            .as_ref()
            .map_or(0, |write| write.mutations.len());
        self.spillover.counters.recalled += recalled as u64;
        transaction
    }

    /// Whether a job may be lent: it is pending and not transferred, none of its tasks is done or in a block, no
    /// newer write to it is known, and no other job depends on it. Bindings in flight must be checked by the
    /// caller.
    pub(super) fn is_lendable(&self, job_id: JobId, job: &Job) -> bool {
        job.status == JobStatus::Pending
            && job.transfer.is_none()
            && job.done.is_empty()
            && job.mod_revision <= self.replica.revision
            && !self.replica.is_referenced(job_id)
            && !self.is_job_final(job_id, job)
            && !self
                .replica
                .is_unreadable(self.replica.names.jobs.name(job_id))
    }

    /// Lends jobs if this cell is saturated and another cell would start them clearly earlier.
    ///
    /// Only the leader binds tasks, so a lendable job can only become bound by the leader's own writes, and
    /// those in flight or in doubt are taken into account.
    fn plan_loans(&mut self, now: Timestamp) -> Option<(Transaction, WriteIntent)> {
        let policy = self.spillover.settings.policy.clone();
        if !self.transfers_enabled()
            || !self.grace_period_over(now)
            || now < self.spillover.next_policy_at
        {
            return None;
        }
        self.spillover.next_policy_at = now.plus((policy.period_s * 1000.0) as u64);
        let forecast = self.wait_forecast(now);
        self.spillover.longest_wait_s = forecast.longest_wait_s();
        self.spillover.idle_cpus = forecast.idle_cpus();
        let longest_wait_s = self.spillover.longest_wait_s;
        let hysteresis = &mut self.spillover.hysteresis;
        let lends = hysteresis.update(longest_wait_s, &policy, now.0);
        if !lends || !self.spillover.settings.lend {
            return None;
        }
        self.lend_chosen_jobs(&forecast, &policy, now)
    }

    /// Plans the write that lends the chosen jobs, those with the longest predicted wait first.
    fn lend_chosen_jobs(
        &mut self,
        forecast: &WaitForecast,
        policy: &PolicySettings,
        now: Timestamp,
    ) -> Option<(Transaction, WriteIntent)> {
        let WaitForecast { jobs, waits_s, .. } = forecast;
        let (cell_indices, borrowers): (Vec<usize>, Vec<Borrower>) = self
            .spillover
            .borrowers_with_recent_status(now)
            .into_iter()
            .unzip();
        let is_excluded = |job: &str, cell: &str| {
            let key = (job.to_owned(), cell.to_owned());
            self.spillover.relend_not_before.contains_key(&key)
        };
        let choices = policy::choose_loans(jobs, waits_s, &borrowers, policy, is_excluded);
        let token = TransferToken(self.replica.latest_revision());
        let (mut batch, mut intent) = (self.transfer_batch(), WriteIntent::default());
        for choice in choices {
            let (job, borrower) = (&jobs[choice.job_index], &borrowers[choice.borrower_index]);
            let cell_index = cell_indices[choice.borrower_index];
            let Some((job_id, mutation)) = self.lend_mutation(&job.name, cell_index, token) else {
                continue;
            };
            if !batch.add(self.precondition(&job_key(&job.name)), mutation) {
                break;
            }
            info!(
                job = job.name,
                cell = borrower.cell,
                wait_s = waits_s[choice.job_index],
                wait_there_s = borrower.status.wait_s,
                "lending job"
            );
            self.spillover.cells[cell_index].promised_cpus += job.cpus();
            intent.lent.push(job_id);
        }
        self.spillover.counters.lent += intent.lent.len() as u64;
        batch.finish().map(|transaction| (transaction, intent))
    }

    /// The mutation that lends a job to the cell at an index in the settings. None if the job is unknown or
    /// its value would be too large.
    fn lend_mutation(
        &self,
        name: &str,
        cell_index: usize,
        token: TransferToken,
    ) -> Option<(JobId, Mutation)> {
        let (job_id, job) = self.replica.job_by_name(name)?;
        let settings = &self.spillover.settings;
        let cell = &settings.cells[cell_index];
        let mut record = job.to_record(Default::default(), JobStatus::Pending);
        record.mark_lent(&cell.name, token, settings.loan_terms(cell));
        let mutation = put(&job_key(name), &record, None);
        // The value must still fit after it is marked as recalled.
        let fits = mutation.value_bytes() + RECALL_MARK_BYTES <= self.settings.max_value_bytes();
        fits.then_some((job_id, mutation))
    }
}
