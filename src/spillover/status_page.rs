//! The section about spillover on the status page for operators.

use super::{CellLink, Controller, Spillover};
use crate::clock::Timestamp;
use serde_json::{Value, json};
use std::collections::BTreeMap;

impl Controller {
    /// The section about spillover; None if spillover is disabled and no loans are left.
    pub(crate) fn spillover_page(&self, now: Timestamp) -> Option<Value> {
        if !self.handles_transfers() {
            return None;
        }
        let spillover = &self.spillover;
        let (lent, borrowed) = self.transfers_page(now);
        Some(json!({
            "cell": spillover.settings.cell, "open": self.transfers_enabled(),
            "lends": spillover.hysteresis.is_lending(), "longestWaitS": spillover.longest_wait_s,
            "cells": spillover.cells_page(now), "lent": lent, "borrowed": borrowed,
            "counters": spillover.counters,
        }))
    }

    /// The lent jobs and the borrowed jobs, each by job name.
    fn transfers_page(&self, now: Timestamp) -> (BTreeMap<&str, Value>, BTreeMap<&str, Value>) {
        let (mut lent, mut borrowed) = (BTreeMap::new(), BTreeMap::new());
        for (job_id, job) in self.replica.transferred_jobs() {
            let name = self.replica.names.jobs.name(job_id);
            if let Some(transfer) = job.lent_to() {
                let known = self.spillover.lent.get(name);
                let since = |at| now.since(at);
                let page = json!({
                    "cell": transfer.cell, "token": transfer.token, "recalled": transfer.recalled,
                    "silentMs": known.and_then(|loan| loan.last_report_at).map(since),
                    "idleMs": known.and_then(|loan| loan.last_bound_at).map(since),
                });
                lent.insert(name, page);
            } else if let Some(transfer) = job.borrowed_from() {
                let permission = format!("{:?}", self.spillover.permission(job, name, now));
                let page = json!({
                    "cell": transfer.cell, "token": transfer.token, "permission": permission,
                });
                borrowed.insert(name, page);
            }
        }
        (lent, borrowed)
    }
}

impl Spillover {
    /// The other cells, by cell name.
    fn cells_page(&self, now: Timestamp) -> BTreeMap<&str, Value> {
        let cells = self.settings.cells.iter().zip(&self.cells);
        cells
            .map(|(cell, link)| (cell.name.as_str(), cell_page(link, now)))
            .collect()
    }
}

fn cell_page(link: &CellLink, now: Timestamp) -> Value {
    let last_answered_sent_at = link.lender.last_answered_sent_at();
    let status = link.status.as_ref().map(|(status, _)| status);
    json!({
        "silentMs": last_answered_sent_at.map(|at| now.since(Timestamp(at))),
        "waitS": status.map(|status| status.wait_s),
        "roomCpus": status.map(|status| status.room_cpus),
    })
}
