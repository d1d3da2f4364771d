//! Messages between controllers: when they are sent, what they contain and how they are handled.
//!
//! A request and its response have the same content. Cancellations and grants are included only for
//! a peer that cannot reach the store.

use crate::clock::Timestamp;
use crate::controller::{Controller, Effect};
use crate::names::{ControllerId, JobId};
use crate::protocol::{FleetSummary, JobStatus, PeerMessage, StealMessage};
use crate::replica::BlockId;

use super::{LONG_MESSAGE_PERIOD, ReportedGrant};

/// Time for which peers are informed that users' writes were rejected for the write budget, ms.
const USERS_REFUSED_REPORT_MS: u64 = 1000;

/// How much a message contains about the sender's machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageLength {
    /// Nothing about the machines.
    Short,
    /// The state of each machine, and the tasks that are running and done.
    Long,
}

/// Sending messages.
impl Controller {
    /// Sends the messages to peers that are due.
    pub(crate) fn tick_peers(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let due = self.peers.take_due_messages(now);
        // Newly started machines are usable only once the leader knows of them.
        let leader = self.replica.leader.map(|leader| leader.controller);
        let urgent_to = leader.filter(|_| due.urgent);
        let mut outbox = self.work_stealing.take_outgoing();
        for to in self.peers.others.clone() {
            let steal_messages = take_messages_to(to, &mut outbox);
            let regular =
                (due.periodic && self.initiates_contact_with(to, now)) || urgent_to == Some(to);
            if regular || !steal_messages.is_empty() {
                let length = match regular {
                    true => self.message_length_for(to),
                    false => MessageLength::Short,
                };
                let mut message = self.peer_message(length, now);
                message.steal_messages = steal_messages;
                self.add_facts_for_peer_without_store(to, &mut message, now);
                out.push(Effect::SendPeerMessage {
                    to,
                    message: Box::new(message),
                });
            }
        }
        self.peers.message_count += u32::from(due.periodic);
    }

    /// Handles a peer's message and returns the response.
    pub fn respond_to_peer(&mut self, message: PeerMessage, now: Timestamp) -> PeerMessage {
        let controller_id = self.replica.names.controllers.get(&message.sender);
        let only_stealing = !message.steal_messages.is_empty();
        self.on_peer_message(message, now);
        let length = match controller_id {
            Some(controller_id) if !only_stealing => self.message_length_for(controller_id),
            _ => MessageLength::Short,
        };
        let mut response = self.peer_message(length, now);
        if let Some(controller_id) = controller_id {
            self.add_facts_for_peer_without_store(controller_id, &mut response, now);
        }
        response
    }

    /// Whether this controller sends requests to a peer, rather than the peer to it. A response
    /// contains the same as a request, so one direction suffices unless the peer is overdue.
    fn initiates_contact_with(&self, controller_id: ControllerId, now: Timestamp) -> bool {
        self.own_name() < self.replica.names.controllers.name(controller_id)
            || self.peers.is_overdue(controller_id, now)
    }

    /// Returns the level of detail for a peer: the leader needs the current state of all machines,
    /// the others only an approximate one.
    fn message_length_for(&self, controller_id: ControllerId) -> MessageLength {
        let leads = self
            .replica
            .leader
            .is_some_and(|leader| leader.controller == controller_id);
        if leads || self.peers.message_count.is_multiple_of(LONG_MESSAGE_PERIOD) {
            MessageLength::Long
        } else {
            MessageLength::Short
        }
    }

    /// Creates a message from this controller.
    pub fn peer_message(&mut self, length: MessageLength, now: Timestamp) -> PeerMessage {
        self.held.unowned.forget_silent(now);
        let fleet = (length == MessageLength::Long).then(|| self.fleet_summary(now));
        let names = &self.replica.names;
        let age_ms = |at: Timestamp| now.since(at);
        let peers = self.peers.states.iter();
        PeerMessage {
            sender: self.own_name().to_owned(),
            incarnation: self.membership.incarnation().0,
            store_available: self.is_store_reachable(now),
            write_budget_exhausted: self
                .writes
                .user_refused_within(USERS_REFUSED_REPORT_MS, now),
            since_last_messages_ms: peers
                .filter_map(|(&controller_id, peer)| {
                    Some((
                        names.controllers.name(controller_id).to_owned(),
                        age_ms(peer.last_message_at?),
                    ))
                })
                .collect(),
            fleet,
            unowned_machines: self.held.unowned.to_report(now),
            steal_messages: Vec::new(),
            run_time_ratios: self
                .held
                .run_time_ratios()
                .map(|(class, ratio)| (names.classes.name(class).to_owned(), ratio))
                .collect(),
            failure_streaks: self
                .held
                .failure_streaks()
                .map(|(job, streak)| {
                    let name = names.jobs.name(job).to_owned();
                    (name, streak.count, age_ms(streak.last))
                })
                .collect(),
            cancelled: Vec::new(),
            grants: Vec::new(),
            format: self.formats.own_format(),
            loans: self.spillover.reported_loans(now),
        }
    }

    /// The machines that this controller holds, and the tasks that are running and done on them.
    fn fleet_summary(&self, now: Timestamp) -> FleetSummary {
        let jobs = &self.replica.names.jobs;
        FleetSummary {
            machines: self
                .held
                .iter()
                .map(|(machine, runtime)| self.machine_summary(machine, runtime, now))
                .collect(),
            running: self
                .held
                .running_tasks_by_job()
                .map(|(job, count)| (jobs.name(job).to_owned(), count))
                .collect(),
            done: self
                .completions
                .unrecorded_done()
                .into_iter()
                .map(|(job, tasks)| (jobs.name(job).to_owned(), tasks))
                .collect(),
        }
    }

    /// Adds cancellations and grants for a peer that cannot read them from the store.
    ///
    /// A controller that alone cannot reach the store keeps answering its machines until its
    /// authority ends. That is early enough for every cancellation, but it stops all tasks at once;
    /// a controller that learns of a cancellation stops only that job's tasks, and at once. A
    /// controller that learns that its block was granted again redirects the machines to the new
    /// holder before its own authority ends.
    fn add_facts_for_peer_without_store(
        &mut self,
        controller_id: ControllerId,
        message: &mut PeerMessage,
        now: Timestamp,
    ) {
        // Own writes show in the replica before the next watch response is handled.
        let newly_cancelled = std::mem::take(&mut self.replica.changes.cancelled);
        self.record_cancelled(newly_cancelled, now);
        let peer = self.peers.states.get(&controller_id);
        if peer.is_none_or(|peer| peer.store_reachable) {
            return;
        }
        let cancellations = self.peers.recent_cancellations.iter();
        message.cancelled = cancellations.map(|(_, name)| name.clone()).collect();
        let names = &self.replica.names.controllers;
        let grants = self.replica.grants.iter();
        message.grants = grants
            .map(|(block, grant)| {
                let holder = names.name(grant.controller).to_owned();
                (block.0, grant.mod_revision, holder)
            })
            .collect();
    }
}

/// Receiving messages.
impl Controller {
    /// Handles a peer's message, whether it is a request or a response.
    pub fn on_peer_message(&mut self, mut message: PeerMessage, now: Timestamp) {
        let Some(controller_id) = self.replica.names.controllers.get(&message.sender) else {
            return;
        };
        if !self.peers.others.contains(&controller_id) {
            return;
        }
        self.formats.observe(controller_id, message.format, now);
        let own_store_reachable = self.is_store_reachable(now);
        let names = &self.replica.names;
        let peer = self.peers.states.entry(controller_id).or_default();
        peer.update(&mut message, names, own_store_reachable, now);
        self.record_reported_cancellations(&message.cancelled);
        self.record_reported_grants(message.grants);
        self.adopt_run_time_ratios(message.run_time_ratios);
        self.spillover.on_reported_loans(message.loans, now);
        for steal_message in message.steal_messages {
            self.on_steal_message(steal_message, now);
        }
    }

    /// Records cancellations reported by a peer. A cancellation is final, so a second-hand report
    /// suffices.
    fn record_reported_cancellations(&mut self, job_names: &[String]) {
        for name in job_names {
            let Some(job_id) = self.replica.names.jobs.get(name) else {
                continue;
            };
            let job = self.replica.jobs.get(&job_id);
            let pending = job.is_some_and(|job| job.status == JobStatus::Pending);
            if pending && !self.is_borrowed(job_id) {
                self.peers.reported_cancellations.insert(job_id);
            }
        }
    }

    /// Records reported grants that are newer than those by which this controller holds the blocks.
    fn record_reported_grants(&mut self, grants: Vec<(u32, u64, String)>) {
        for (block, fencing_token, holder) in grants {
            let block = BlockId(block);
            let Some(holder) = self.replica.names.controllers.get(&holder) else {
                continue;
            };
            let held = self.replica.grants.get(&block);
            if held.is_some_and(|g| g.controller == self.own_id && g.mod_revision < fencing_token) {
                let reported = ReportedGrant {
                    fencing_token,
                    holder,
                };
                self.peers.reported_grants.insert(block, reported);
            }
        }
    }

    /// Uses peers' run-time ratios until this controller has its own observations.
    fn adopt_run_time_ratios(&mut self, ratios: Vec<(String, f64)>) {
        for (class, ratio) in ratios {
            let class = self.replica.names.classes.intern(&class);
            self.held.adopt_run_time_ratio(class, ratio);
        }
    }

    /// Records cancellations that the replica shows.
    pub(crate) fn record_cancelled(&mut self, jobs: Vec<JobId>, now: Timestamp) {
        for job in jobs {
            self.peers.forget_reported_cancellation(job);
            // A returned loan may be lent again under another fencing token; only its lender can
            // report whether it still exists.
            if self.is_borrowed(job) {
                continue;
            }
            let name = self.replica.names.jobs.name(job).to_owned();
            self.peers.record_cancellation(name, now);
        }
        self.peers.trim_cancellations(now);
    }
}

/// Removes the messages to one peer from the outbox and returns them in order.
fn take_messages_to(
    controller_id: ControllerId,
    outbox: &mut Vec<(ControllerId, StealMessage)>,
) -> Vec<StealMessage> {
    outbox
        .extract_if(.., |(to, _)| *to == controller_id)
        .map(|(_, message)| message)
        .collect()
}
