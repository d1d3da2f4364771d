//! Messages between controllers: when they are sent, what they say, and what is made of them.
//!
//! A message is a request or the answer to one, and says the same in both. Cancellations and grants
//! are passed on only to a peer that the state service does not answer.

use crate::clock::Timestamp;
use crate::controller::{Controller, Effect};
use crate::names::{HostId, JobId};
use crate::protocol::{FleetSummary, JobStatus, PeerMessage, StealMessage};
use crate::replica::BlockId;

use super::{LONG_MESSAGE_EVERY, ReportedGrant};

/// Peers hear for so long that users were refused for the budget of changes, ms.
const SHORT_MS: u64 = 1000;

/// How much a message says of the sender's machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageLength {
    /// Nothing of them.
    Short,
    /// The state of each, and the tasks that run and were done on them.
    Long,
}

/// Sending.
impl Controller {
    /// Sends the messages to peers that are due.
    pub(crate) fn tick_peers(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let due = self.peers.take_due_messages(now);
        // Machines that come up are of use only once the leader knows of them.
        let leader = self.replica.leader.map(|leader| leader.host);
        let urgent_to = leader.filter(|_| due.urgent);
        let mut outbox = self.work_stealing.take_outgoing();
        for host in self.peers.others.clone() {
            let steal_messages = take_messages_to(host, &mut outbox);
            let regular =
                (due.periodic && self.speaks_first_to(host, now)) || urgent_to == Some(host);
            if regular || !steal_messages.is_empty() {
                let length = match regular {
                    true => self.message_length_for(host),
                    false => MessageLength::Short,
                };
                let mut message = self.peer_message(length, now);
                message.steal_messages = steal_messages;
                self.add_facts_for_refused_peer(host, &mut message, now);
                out.push(Effect::Peer {
                    host,
                    message: Box::new(message),
                });
            }
        }
        self.peers.message_count += u32::from(due.periodic);
    }

    /// The answer to a peer's message.
    pub fn respond_to_peer(&mut self, message: PeerMessage, now: Timestamp) -> PeerMessage {
        let host = self.replica.names.hosts.get(&message.host);
        let only_stealing = !message.steal_messages.is_empty();
        self.on_peer_message(message, now);
        let length = match host {
            Some(host) if !only_stealing => self.message_length_for(host),
            _ => MessageLength::Short,
        };
        let mut answer = self.peer_message(length, now);
        if let Some(host) = host {
            self.add_facts_for_refused_peer(host, &mut answer, now);
        }
        answer
    }

    /// Whether this controller sends the request to a peer, and not the peer to it. The answer
    /// says as much as the request, so one of the two suffices, unless the peer is overdue.
    fn speaks_first_to(&self, host: HostId, now: Timestamp) -> bool {
        self.my_name() < self.replica.names.hosts.name(host) || self.peers.is_overdue(host, now)
    }

    /// The leader needs to know all machines well, the others roughly.
    fn message_length_for(&self, host: HostId) -> MessageLength {
        let leads = self
            .replica
            .leader
            .is_some_and(|leader| leader.host == host);
        if leads || self.peers.message_count.is_multiple_of(LONG_MESSAGE_EVERY) {
            MessageLength::Long
        } else {
            MessageLength::Short
        }
    }

    /// A message from this controller.
    pub fn peer_message(&mut self, length: MessageLength, now: Timestamp) -> PeerMessage {
        self.held.unowned.forget_silent(now);
        let fleet = (length == MessageLength::Long).then(|| self.fleet_summary(now));
        let names = &self.replica.names;
        let age_ms = |at: Timestamp| now.since(at);
        let peers = self.peers.states.iter();
        PeerMessage {
            host: self.my_name().to_owned(),
            incarnation: self.membership.incarnation().0,
            state_ok: self.state_ok(now),
            short: self.writes.user_refused_within(SHORT_MS, now),
            heard: peers
                .filter_map(|(&host, peer)| {
                    Some((names.hosts.name(host).to_owned(), age_ms(peer.heard_at?)))
                })
                .collect(),
            fleet,
            unowned_machines: self.held.unowned.to_report(now),
            steal_messages: Vec::new(),
            ratios: self
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
            format: self.formats.own(),
            loans: self.spillover.reported_loans(now),
        }
    }

    /// The machines that this controller holds, and the tasks that run and were done on them.
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

    /// Adds, for a peer that the state service does not answer, what it would read there.
    ///
    /// A controller that alone is refused goes on answering its machines while its authority
    /// lasts. Its end is soon enough for every cancellation, but stops all tasks at once; a
    /// controller that learns of a cancellation stops the tasks of that job alone, and right away.
    /// And one that learns that its block was granted again sends the machines to the new holder,
    /// without their waiting for the end of the old authority.
    fn add_facts_for_refused_peer(
        &mut self,
        host: HostId,
        message: &mut PeerMessage,
        now: Timestamp,
    ) {
        // Own writes show in the replica before the next look at what a watch brought.
        let newly_cancelled = std::mem::take(&mut self.replica.changes.cancelled);
        self.note_cancelled(newly_cancelled, now);
        let peer = self.peers.states.get(&host);
        if peer.is_none_or(|peer| peer.state_ok) {
            return;
        }
        let cancellations = self.peers.recent_cancellations.iter();
        message.cancelled = cancellations.map(|(_, name)| name.clone()).collect();
        let hosts = &self.replica.names.hosts;
        let grants = self.replica.grants.iter();
        message.grants = grants
            .map(|(block, grant)| {
                let holder = hosts.name(grant.host).to_owned();
                (block.0, grant.mod_revision, holder)
            })
            .collect();
    }
}

/// Receiving.
impl Controller {
    /// What a peer says, in a request or in the answer to one.
    pub fn on_peer_message(&mut self, mut message: PeerMessage, now: Timestamp) {
        let Some(host) = self.replica.names.hosts.get(&message.host) else {
            return;
        };
        if !self.peers.others.contains(&host) {
            return;
        }
        self.formats.observe(host, message.format, now);
        let state_ok = self.state_ok(now);
        let names = &self.replica.names;
        let peer = self.peers.states.entry(host).or_default();
        peer.update(&mut message, names, state_ok, now);
        self.accept_cancellations(&message.cancelled);
        self.accept_grants(message.grants);
        self.adopt_run_time_ratios(message.ratios);
        self.spillover.on_reported_loans(message.loans, now);
        for steal_message in message.steal_messages {
            self.on_steal_message(steal_message, now);
        }
    }

    /// A cancellation is final, so whoever knows of one may be believed.
    fn accept_cancellations(&mut self, job_names: &[String]) {
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

    /// Notes grants that are newer than those by which this controller holds blocks.
    fn accept_grants(&mut self, grants: Vec<(u32, u64, String)>) {
        for (block, fencing_token, holder) in grants {
            let block = BlockId(block);
            let Some(holder) = self.replica.names.hosts.get(&holder) else {
                continue;
            };
            let held = self.replica.grants.get(&block);
            if held.is_some_and(|g| g.host == self.me && g.mod_revision < fencing_token) {
                let reported = ReportedGrant {
                    fencing_token,
                    holder,
                };
                self.peers.reported_grants.insert(block, reported);
            }
        }
    }

    /// Peers' observations of run times count until there are some of our own.
    fn adopt_run_time_ratios(&mut self, ratios: Vec<(String, f64)>) {
        for (class, ratio) in ratios {
            let class = self.replica.names.classes.intern(&class);
            self.held.adopt_run_time_ratio(class, ratio);
        }
    }

    /// Takes note of cancellations that the replica shows.
    pub(crate) fn note_cancelled(&mut self, jobs: Vec<JobId>, now: Timestamp) {
        for job in jobs {
            self.peers.forget_reported_cancellation(job);
            // A loan that was given up may come again, under another fencing token; whether it
            // stands its lender says.
            if self.is_borrowed(job) {
                continue;
            }
            let name = self.replica.names.jobs.name(job).to_owned();
            self.peers.list_cancellation(name, now);
        }
        self.peers.trim_cancellations(now);
    }
}

/// Takes the messages to one peer out of the outbox, in order.
fn take_messages_to(host: HostId, outbox: &mut Vec<(HostId, StealMessage)>) -> Vec<StealMessage> {
    outbox
        .extract_if(.., |(to, _)| *to == host)
        .map(|(_, message)| message)
        .collect()
}
