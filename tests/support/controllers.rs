//! Simulated controllers: their starts, crashes, pauses and faults, and the execution of their effects.

use super::{
    CommitOutcome, Controller, ControllerProcess, Effect, JobRecord, Link, Mutation, Rng, START_MS,
    SmallRng, StoreFault, Timestamp, Transaction, World, WriteKind, archive_key, catalog, cells,
    controller_index, digest,
};
use quillbend::leadership::RentalOutcome;

impl World {
    /// Injects a fault into a controller or its connections. `kind` is 0 to 4; kind 2 is one of two
    /// store faults at random.
    pub fn inject_fault(&mut self, i: usize, kind: u32, rng: &mut SmallRng) {
        match kind {
            0 => self.crash(i),
            1 => self.links[i].store_fault = StoreFault::RejectsRequests,
            2 if rng.random_bool(0.5) => self.links[i].store_fault = StoreFault::Slow(1500),
            2 => self.links[i].store_fault = StoreFault::DelaysCommits(rng.random_range(200..8000)),
            3 => self.links[i].peers_reachable = false,
            _ => self.links[i].workers_reachable = false,
        }
    }

    /// Time of a controller's monotonic clock, drift included.
    pub fn clock(&self, i: usize) -> Timestamp {
        let passed = (self.now - START_MS) as f64 * (1.0 + self.clock_drift[i]);
        Timestamp(START_MS + passed as u64)
    }

    /// Starts a controller process with an empty replica and a new incarnation.
    pub fn start(&mut self, i: usize) {
        let mut settings = match self.runs_previous_version[i] {
            true => self.previous_settings.clone(),
            false => self.settings.clone(),
        };
        let names: Vec<String> = (0..self.controllers.len())
            .map(|n| format!("n{n}"))
            .collect();
        settings.platform.host_name = names[i].clone();
        settings.platform.peers = names
            .iter()
            .filter(|n| **n != names[i])
            .map(|n| quillbend::settings::PeerAddress {
                host_name: (*n).clone(),
                zone: String::new(),
                endpoint: cells::address(
                    self.cell,
                    controller_index(n).expect("a controller's name"),
                ),
            })
            .collect();
        let mut controller = Controller::new(settings, self.rng.random());
        if self.runs_previous_version[i] {
            controller.run_as_format(self.previous_format);
        }
        let process = ControllerProcess {
            controller,
            paused_until: 0,
            next_watch_at: 0,
            replica_loaded: false,
        };
        self.controllers[i] = Some(process);
    }

    /// Ends a controller process at once.
    pub fn crash(&mut self, i: usize) {
        self.controllers[i] = None;
    }

    pub fn controller(&self, i: usize) -> &Controller {
        &self.controllers[i]
            .as_ref()
            .expect("the controller is running")
            .controller
    }

    /// Index of a controller that considers itself the leader.
    pub fn leader(&self) -> Option<usize> {
        self.leader_among(0..self.controllers.len())
    }

    /// The leader, ignoring a former leader that may not have noticed its replacement.
    pub fn leader_except(&self, former_leader: usize) -> Option<usize> {
        self.leader_among((0..self.controllers.len()).filter(|&i| i != former_leader))
    }

    pub(super) fn leader_among(
        &self,
        mut controllers: impl Iterator<Item = usize>,
    ) -> Option<usize> {
        controllers.find(|&i| {
            self.controllers[i]
                .as_ref()
                .is_some_and(|n| n.controller.leads().is_some())
        })
    }

    /// Whether a controller other than `excluded` holds this machine.
    pub fn is_held_by_other_than(&self, excluded: usize, machine: &str) -> bool {
        let others = (0..self.controllers.len()).filter(|&i| i != excluded);
        self.holder_among(others, machine).is_some()
    }

    /// The controller that holds a machine and has authority over it.
    pub fn holder(&self, machine: &str) -> Option<usize> {
        self.holder_among(0..self.controllers.len(), machine)
    }

    pub(super) fn holder_among(
        &self,
        mut controllers: impl Iterator<Item = usize>,
        machine: &str,
    ) -> Option<usize> {
        controllers.find(|&i| {
            let Some(n) = &self.controllers[i] else {
                return false;
            };
            let replica = &n.controller.replica;
            replica
                .names
                .machines
                .get(machine)
                .and_then(|m| replica.block_and_holder(m))
                .is_some_and(|h| h.1.controller == n.controller.own_id)
                && n.controller.has_authority(self.clock(i))
        })
    }

    /// Starts or ends an outage of the store for all controllers.
    pub fn set_store_outage(&mut self, unavailable: bool) {
        self.store.unavailable = unavailable;
    }

    /// Pauses a controller for `ms`. Requests to it get no response in the meantime.
    pub fn pause(&mut self, i: usize, ms: u64) {
        if let Some(n) = &mut self.controllers[i] {
            n.paused_until = self.now + ms;
        }
    }

    pub(super) fn is_paused(&self, i: usize) -> bool {
        let process = self.controllers[i].as_ref();
        process.is_some_and(|p| self.now < p.paused_until)
    }

    /// Connections of a controller, an outage of the store included.
    pub(super) fn link(&self, i: usize) -> Link {
        match self.store.unavailable {
            true => Link {
                store_fault: StoreFault::RejectsRequests,
                watch_hangs: true,
                ..self.links[i]
            },
            false => self.links[i],
        }
    }

    /// Disconnects a controller from the store and its peers, but not from its workers.
    pub fn isolate(&mut self, i: usize) {
        self.links[i].store_fault = StoreFault::RejectsRequests;
        self.links[i].watch_hangs = true;
        self.links[i].peers_reachable = false;
    }

    /// Log span with the controller and the simulated time.
    pub(super) fn log_span(&self, i: usize) -> tracing::Span {
        tracing::debug_span!("controller", i, now = self.now)
    }

    /// Delivers watch events to a controller, then executes its effects. After each commit the controller
    /// ticks again.
    pub(super) fn step_controller(&mut self, i: usize) {
        let Some(mut process) = self.controllers[i].take() else {
            return;
        };
        let _span = self.log_span(i).entered();
        let now = self.clock(i);
        let link = self.link(i);
        let watch_delay_ms = match link.store_fault {
            StoreFault::None | StoreFault::Intermittent => Some(0),
            StoreFault::Slow(ms) => Some(ms),
            _ => None,
        };
        // After a pause, timers fire before the first watch response arrives.
        let has_just_resumed = process.paused_until > 0 && self.now < process.paused_until + 400;
        let due = self.now >= process.next_watch_at && !link.watch_hangs && !has_just_resumed;
        if let Some(delay_ms) = watch_delay_ms.filter(|_| due) {
            if process.replica_loaded {
                let after = process.controller.replica.revision;
                let response = match delay_ms {
                    0 => self.store.events("qb/", after),
                    delay => self
                        .store
                        .events_committed_by("qb/", after, self.now - delay),
                };
                // A delayed response shows the store as of the time when the request was sent.
                let sent = Timestamp(now.0.saturating_sub(delay_ms));
                process.controller.on_watch_response(response, sent, now);
            } else {
                let (items, revision) = self.store.list("qb/");
                process
                    .controller
                    .on_replica_read(items, revision, revision, now, now);
                process.replica_loaded = true;
            }
        }
        let mut effects = process.controller.tick(now, self.now);
        let mut rounds = 0;
        while let Some(effect) = effects.pop() {
            let committed = self.execute_effect(i, &mut process.controller, effect);
            rounds += 1;
            if committed && rounds < 20 {
                effects.extend(process.controller.tick(now, self.now));
            }
        }
        self.controllers[i] = Some(process);
    }

    /// Executes an effect of a controller. Returns whether the controller received the confirmation of a
    /// commit.
    #[expect(
        clippy::too_many_lines,
        reason = "one match with an arm for each effect"
    )]
    pub(super) fn execute_effect(
        &mut self,
        i: usize,
        controller: &mut Controller,
        effect: Effect,
    ) -> bool {
        digest::request(self.origin(i), controller, &effect);
        let (now, fault) = (self.clock(i), self.link(i).store_fault);
        let reachable = fault != StoreFault::RejectsRequests;
        match effect {
            Effect::RequestLease { lease_ms } if reachable => {
                controller.on_lease_granted(self.store.grant_lease(lease_ms, self.now), now);
            }
            Effect::RenewLease { lease_id } if reachable => {
                match self.store.leases.get_mut(&lease_id) {
                    Some(l) => {
                        l.1 = self.now + l.0;
                        controller.on_lease_renewed(lease_id, now);
                    }
                    None => controller.on_lease_expired(lease_id, now),
                }
            }
            Effect::RequestLease { .. } | Effect::RenewLease { .. } => {
                controller.on_lease_failed(now)
            }
            Effect::Commit {
                write_kind,
                transaction,
            } => return self.commit(i, controller, write_kind, transaction, fault),
            Effect::SendPeerMessage { to, message } => {
                let name = controller.replica.names.controllers.name(to).to_owned();
                let Some(j) = controller_index(&name).filter(|j| *j < self.controllers.len())
                else {
                    return false;
                };
                let partitioned = self.partition_group[i] != self.partition_group[j];
                if partitioned
                    || self.is_paused(j)
                    || !self.links[i].peers_reachable
                    || !self.links[j].peers_reachable
                {
                    return false;
                }
                for &delay_ms in &self.peer_message_copy_delays_ms {
                    self.delayed_peer_messages
                        .push((self.now + delay_ms, j, (*message).clone()));
                }
                let (peer_clock, origin) = (self.clock(j), self.origin(j));
                if let Some(peer) = self.controllers[j].as_mut() {
                    let response = peer.controller.respond_to_peer(*message, peer_clock);
                    digest::peer_response(origin, &response);
                    controller.on_peer_message(response, now);
                }
            }
            Effect::ReadCatalog if self.cloud_up => controller.on_catalog(catalog()),
            Effect::ReadCatalog => {}
            Effect::ListMachines => {
                let list = self.lagging_cloud_list();
                controller.on_list(self.cloud_up.then_some(list), now);
            }
            Effect::ReadArchive(jobs) => {
                for job in jobs.iter().filter(|_| reachable) {
                    let record = self.store.value(&archive_key(job));
                    let record = record.and_then(|v| serde_json::from_value::<JobRecord>(v).ok());
                    if let Some(record) = record {
                        controller.on_archived(job, record.status);
                    }
                }
            }
            Effect::CallCell(call) => self.outgoing_cell_requests.push((i, *call)),
            Effect::RentMachines(r) => {
                if self.cloud_up && self.cloud_has_no_capacity {
                    controller.on_rented(&r, RentalOutcome::Refused, now);
                    return false;
                }
                if !self.cloud_up {
                    controller.on_rented(&r, RentalOutcome::Unknown, now);
                    return false;
                }
                let names = match self.machines_by_request.get(&r.request_id) {
                    Some(names) => names.clone(),
                    None => (0..r.number.min(4))
                        .map(|_| {
                            let boot_ms = self.boot_delay_ms.unwrap_or(5000);
                            self.add_machine(&r.machine_type, &r.zone, r.spot, boot_ms)
                        })
                        .collect(),
                };
                self.machines_by_request
                    .insert(r.request_id.clone(), names.clone());
                controller.on_rented(&r, RentalOutcome::Rented(names), now);
            }
            Effect::ReturnMachines(machines) => {
                if self.cloud_up {
                    self.workers.retain(|w| !machines.contains(&w.machine.name));
                    self.returned.extend(machines.iter().cloned());
                }
                controller.on_returned(&machines, self.cloud_up, now);
            }
        }
        false
    }

    /// Commits a transaction of a controller, subject to its store fault. Returns whether the controller
    /// received the confirmation.
    pub(super) fn commit(
        &mut self,
        i: usize,
        controller: &mut Controller,
        write_kind: WriteKind,
        transaction: Transaction,
        fault: StoreFault,
    ) -> bool {
        let fault = match (fault, self.rng.random_range(0..6)) {
            (StoreFault::Intermittent, 0) => StoreFault::LosesResponses,
            (StoreFault::Intermittent, 1) => {
                StoreFault::DelaysCommits(self.rng.random_range(100..5000))
            }
            (StoreFault::Intermittent, 2 | 3) => StoreFault::RejectsRequests,
            (StoreFault::Intermittent, _) => StoreFault::None,
            (StoreFault::Slow(_), 0 | 1) => StoreFault::LosesResponses,
            (StoreFault::Slow(_), _) => StoreFault::None,
            (fault, _) => fault,
        };
        self.check_transaction_size(i, &transaction);
        let fault = match self
            .loan_write_delay_ms
            .filter(|_| cells::marks_job_lent(&transaction))
        {
            Some(ms) => StoreFault::DelaysCommits(ms),
            None => fault,
        };
        let outcome = match fault {
            StoreFault::None => self.store.commit(&transaction),
            StoreFault::LosesResponses => {
                self.store.commit(&transaction);
                CommitOutcome::Unknown
            }
            StoreFault::DelaysCommits(ms) => {
                self.store
                    .delayed_commits
                    .push((self.now + ms, transaction));
                CommitOutcome::Unknown
            }
            StoreFault::RejectsRequests | StoreFault::Intermittent | StoreFault::Slow(_) => {
                CommitOutcome::Refused
            }
        };
        controller.on_commit(write_kind, outcome, self.clock(i));
        matches!(outcome, CommitOutcome::Done(_))
    }

    /// Checks that a transaction is within the limits of the store, which would reject it as malformed on
    /// every retry.
    pub(super) fn check_transaction_size(&mut self, i: usize, transaction: &Transaction) {
        let settings = match self.runs_previous_version[i] {
            true => &self.previous_settings,
            false => &self.settings,
        };
        let s = &settings.platform.settings.state;
        let largest = transaction
            .mutations
            .iter()
            .map(Mutation::value_bytes)
            .max();
        let largest = largest.unwrap_or(0);
        let all = serde_json::to_string(transaction)
            .expect("serializable")
            .len();
        if largest as f64 > s.value_kb * 1024.0
            || transaction.mutations.len() > s.txn_ops
            || transaction.preconditions.len() > s.txn_ops * 4
            || all > 64 * 1024
        {
            let (mutations, preconditions) =
                (transaction.mutations.len(), transaction.preconditions.len());
            let what = format!(
                "commit: {largest} of {all} bytes, {mutations} mutations, {preconditions} preconditions"
            );
            self.violations.push(what);
        }
    }
}
