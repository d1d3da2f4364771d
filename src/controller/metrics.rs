//! Counters and the status page, for operators.

use super::Controller;
use crate::clock::Timestamp;
use std::collections::BTreeMap;
use tracing::info;

/// Counters shown to operators.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct Counters {
    /// Heartbeats answered with 200.
    #[serde(rename = "reports")]
    pub heartbeats: u64,
    /// Heartbeats redirected to another controller.
    pub redirects: u64,
    /// Tasks launched.
    pub launches: u64,
    /// Tasks recorded done.
    pub done: u64,
    /// Tasks that failed.
    pub failed: u64,
    /// Tasks put back unbound.
    pub freed: u64,
    /// Tasks that this controller bound as leader.
    pub bound: u64,
    /// Tasks that this controller, as leader, marked to be preempted.
    pub evicted: u64,
    /// Steal messages sent.
    pub steals: u64,
    /// Steal messages passed on to another machine.
    pub hops: u64,
    /// Hint messages sent.
    pub hints: u64,
    /// Packs moved.
    pub packs: u64,
    /// Tasks moved in packs.
    pub stolen_tasks: u64,
    /// Transactions a precondition of which failed.
    pub conflicts: u64,
    /// Transactions without an answer.
    pub unanswered: u64,
    /// Transactions refused for budget or outage.
    pub refused: u64,
    /// Machines presumed dead.
    #[serde(rename = "lost_machines")]
    pub machines_presumed_dead: u64,
}

impl Controller {
    /// Writes the counters to the log.
    pub(super) fn log_metrics(&self) {
        let c = &self.counters;
        info!(
            machines = self.held.len(),
            heartbeats = c.heartbeats,
            redirects = c.redirects,
            launches = c.launches,
            done = c.done,
            failed = c.failed,
            freed = c.freed,
            bound = c.bound,
            evicted = c.evicted,
            steals = c.steals,
            hops = c.hops,
            hints = c.hints,
            packs = c.packs,
            stolen = c.stolen_tasks,
            conflicts = c.conflicts,
            refused = c.refused,
            unanswered = c.unanswered,
            presumed_dead = c.machines_presumed_dead,
            "counters"
        );
    }

    /// A page for operators.
    pub fn status_page(&self, now: Timestamp) -> serde_json::Value {
        let names = &self.replica.names;
        let machines: BTreeMap<&str, serde_json::Value> = self
            .held
            .iter()
            .map(|(m, runtime)| {
                let queue = self.replica.machines.get(&m).map_or(0, |m| m.queue.len());
                let v = serde_json::json!({
                    "token": runtime.fencing_token, "fenced": runtime.fenced, "lost": runtime.presumed_dead, "sick": runtime.quarantined,
                    "silentMs": runtime.heard_at.map(|h| now.since(h)), "tasks": runtime.task_count(),
                    "queue": queue, "load": self.queue_load(m, now),
                });
                (names.machines.name(m), v)
            })
            .collect();
        let mut page = serde_json::json!({
            "host": self.my_name(), "boot": self.membership.incarnation().0, "ready": self.ready(now),
            "authority": self.has_authority(now), "leads": self.leads().map(|l| l.mod_revision),
            "leader": self.replica.leader.map(|l| names.hosts.name(l.host)),
            "ledger": self.replica.revision, "jobs": self.replica.jobs.len(),
            "machines": machines, "counters": self.counters,
            "waiting": self.waiting_jobs(), "versions": self.versions(),
            "format": self.replica.format, "outdated": self.is_outdated(),
            "unreadable": self.replica.unreadable().collect::<Vec<_>>(),
        });
        if let Some(spillover) = self.spillover_page(now) {
            page["spillover"] = spillover;
        }
        page
    }

    /// Each job that waits, with those that it needs and that are not finally done.
    fn waiting_jobs(&self) -> BTreeMap<&str, Vec<&str>> {
        let names = &self.replica.names.jobs;
        let waiting = self.replica.waiting.jobs.keys();
        waiting
            .map(|&job| {
                let open = self.replica.open_predecessors(job);
                (names.name(job), open.map(|p| names.name(p)).collect())
            })
            .collect()
    }

    /// The format that each controller was last seen to write.
    fn versions(&self) -> BTreeMap<&str, u32> {
        let hosts = &self.replica.names.hosts;
        let live_controllers = self.replica.live_controllers.iter();
        let shown = live_controllers.map(|(&host, node)| (hosts.name(host), node.format));
        shown
            .chain([(self.my_name(), self.formats.own())])
            .collect()
    }
}
