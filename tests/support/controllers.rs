//! The controllers: their lives, and what they ask of the state service, of each other and of the cloud.

use super::{
    BEGIN, CommitOutcome, Controller, Effect, JobRecord, Link, Mutation, Node, Rng, SmallRng,
    StoreFault, Timestamp, Transaction, World, WriteKind, archive_key, catalog, cells, digest,
    position,
};
use quillbend::leadership::RentalOutcome;

impl World {
    /// One of six faults of a controller.
    pub fn inject_fault(&mut self, i: usize, kind: u32, rng: &mut SmallRng) {
        match kind {
            0 => self.crash(i),
            1 => self.links[i].state = StoreFault::Refuses,
            2 if rng.random_bool(0.5) => self.links[i].state = StoreFault::Slow(1500),
            2 => self.links[i].state = StoreFault::Late(rng.random_range(200..8000)),
            3 => self.links[i].peers = false,
            _ => self.links[i].workers = false,
        }
    }

    /// A controller's steady clock. It drifts, but does not jump when a test sets its drift.
    pub fn clock(&self, i: usize) -> Timestamp {
        let passed = (self.now - BEGIN) as f64 * (1.0 + self.drift[i]);
        Timestamp(BEGIN + passed as u64)
    }

    pub fn start(&mut self, i: usize) {
        let mut s = match self.old[i] {
            true => self.old_settings.clone(),
            false => self.settings.clone(),
        };
        let names: Vec<String> = (0..self.controllers.len())
            .map(|n| format!("n{n}"))
            .collect();
        s.platform.host_name = names[i].clone();
        s.platform.peers = names
            .iter()
            .filter(|n| **n != names[i])
            .map(|n| quillbend::settings::PeerAddress {
                host_name: (*n).clone(),
                zone: String::new(),
                endpoint: cells::address(self.cell, position(n).expect("a place")),
            })
            .collect();
        let mut controller = Controller::new(s, self.rng.random());
        if self.old[i] {
            controller.run_as_format(self.old_format);
        }
        let node = Node {
            controller,
            paused_until: 0,
            next_watch: 0,
            loaded: false,
        };
        self.controllers[i] = Some(node);
    }

    pub fn crash(&mut self, i: usize) {
        self.controllers[i] = None;
    }

    pub fn controller(&self, i: usize) -> &Controller {
        &self.controllers[i].as_ref().expect("alive").controller
    }

    pub fn leader(&self) -> Option<usize> {
        self.leader_among(0..self.controllers.len())
    }

    /// The controller that leads, one that does not know better aside.
    pub fn leader_but(&self, old: usize) -> Option<usize> {
        self.leader_among((0..self.controllers.len()).filter(|&i| i != old))
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

    /// Whether a controller other than `old` holds a machine.
    pub fn holder_of_all_but(&self, old: usize, machine: &str) -> bool {
        let others = (0..self.controllers.len()).filter(|&i| i != old);
        self.holder_among(others, machine).is_some()
    }

    /// The controller that holds a machine.
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
            let v = &n.controller.replica;
            v.names
                .machines
                .get(machine)
                .and_then(|m| v.block_and_holder(m))
                .is_some_and(|h| h.1.controller == n.controller.own_id)
                && n.controller.has_authority(self.clock(i))
        })
    }

    /// The state service is out for everybody, or is back.
    pub fn outage(&mut self, out: bool) {
        self.state.out = out;
    }

    /// A controller is paused for a while; what is asked of it then has no answer.
    pub fn pause(&mut self, i: usize, ms: u64) {
        if let Some(n) = &mut self.controllers[i] {
            n.paused_until = self.now + ms;
        }
    }

    pub(super) fn paused(&self, i: usize) -> bool {
        let node = self.controllers[i].as_ref();
        node.is_some_and(|n| self.now < n.paused_until)
    }

    /// How a controller reaches the others now.
    pub(super) fn link(&self, i: usize) -> Link {
        match self.state.out {
            true => Link {
                state: StoreFault::Refuses,
                watch_hangs: true,
                ..self.links[i]
            },
            false => self.links[i],
        }
    }

    /// Cuts a controller from the state service and from the others, but not from its workers.
    pub fn isolate(&mut self, i: usize) {
        self.links[i].state = StoreFault::Refuses;
        self.links[i].watch_hangs = true;
        self.links[i].peers = false;
    }

    /// Names the controller and the time in what a traced test logs.
    pub(super) fn span(&self, i: usize) -> tracing::Span {
        tracing::debug_span!("controller", i, now = self.now)
    }

    pub(super) fn play_node(&mut self, i: usize) {
        let Some(mut node) = self.controllers[i].take() else {
            return;
        };
        let _span = self.span(i).entered();
        let now = self.clock(i);
        let link = self.link(i);
        let late = match link.state {
            StoreFault::Good | StoreFault::Intermittent => Some(0),
            StoreFault::Slow(ms) => Some(ms),
            _ => None,
        };
        // After it was paused its timers fire before the first answers are in.
        let waking = node.paused_until > 0 && self.now < node.paused_until + 400;
        let due = self.now >= node.next_watch && !link.watch_hangs && !waking;
        if let Some(late) = late.filter(|_| due) {
            if node.loaded {
                let after = node.controller.replica.revision;
                let list = match late {
                    0 => self.state.events("qb/", after),
                    late => self.state.messages_by("qb/", after, self.now - late),
                };
                // What a late answer shows was current when the watch was opened.
                let sent = Timestamp(now.0.saturating_sub(late));
                node.controller.on_watch_response(list, sent, now);
            } else {
                let (items, revision) = self.state.list("qb/");
                node.controller
                    .on_replica_read(items, revision, revision, now, now);
                node.loaded = true;
            }
        }
        let mut todo = node.controller.tick(now, self.now);
        let mut rounds = 0;
        while let Some(effect) = todo.pop() {
            let done = self.carry_out(i, &mut node.controller, effect);
            rounds += 1;
            if done && rounds < 20 {
                todo.extend(node.controller.tick(now, self.now));
            }
        }
        self.controllers[i] = Some(node);
    }

    #[expect(
        clippy::too_many_lines,
        reason = "one match with an arm for each effect"
    )]
    pub(super) fn carry_out(
        &mut self,
        i: usize,
        controller: &mut Controller,
        effect: Effect,
    ) -> bool {
        digest::request(self.origin(i), controller, &effect);
        let (now, fault) = (self.clock(i), self.link(i).state);
        let reachable = fault != StoreFault::Refuses;
        match effect {
            Effect::RequestLease { lease_ms } if reachable => {
                controller.on_lease_granted(self.state.lease(lease_ms, self.now), now);
            }
            Effect::RenewLease { lease_id } if reachable => {
                match self.state.leases.get_mut(&lease_id) {
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
                let Some(j) = position(&name).filter(|j| *j < self.controllers.len()) else {
                    return false;
                };
                let apart = self.partition_side[i] != self.partition_side[j];
                if apart || self.paused(j) || !self.links[i].peers || !self.links[j].peers {
                    return false;
                }
                for &age in &self.peer_message_copies {
                    self.late_messages
                        .push((self.now + age, j, (*message).clone()));
                }
                let (theirs, origin) = (self.clock(j), self.origin(j));
                if let Some(peer) = self.controllers[j].as_mut() {
                    let answer = peer.controller.respond_to_peer(*message, theirs);
                    digest::peer_answer(origin, &answer);
                    controller.on_peer_message(answer, now);
                }
            }
            Effect::ReadCatalog if self.cloud_up => controller.on_catalog(catalog()),
            Effect::ReadCatalog => {}
            Effect::ListMachines => {
                let list = self.cloud_list();
                controller.on_list(self.cloud_up.then_some(list), now);
            }
            Effect::ReadArchive(jobs) => {
                for job in jobs.iter().filter(|_| reachable) {
                    let record = self.state.value(&archive_key(job));
                    let record = record.and_then(|v| serde_json::from_value::<JobRecord>(v).ok());
                    if let Some(record) = record {
                        controller.on_archived(job, record.status);
                    }
                }
            }
            Effect::CallCell(call) => self.cell_calls.push((i, *call)),
            Effect::RentMachines(r) => {
                if self.cloud_up && self.cloud_has_no_capacity {
                    controller.on_rented(&r, RentalOutcome::Refused, now);
                    return false;
                }
                if !self.cloud_up {
                    controller.on_rented(&r, RentalOutcome::Unknown, now);
                    return false;
                }
                let names = match self.request_counter.get(&r.request_id) {
                    Some(names) => names.clone(),
                    None => (0..r.number.min(4))
                        .map(|_| {
                            let boot_ms = self.slow_boot.unwrap_or(5000);
                            self.machine(&r.machine_type, &r.zone, r.spot, boot_ms)
                        })
                        .collect(),
                };
                self.request_counter
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

    pub(super) fn commit(
        &mut self,
        i: usize,
        controller: &mut Controller,
        write_kind: WriteKind,
        transaction: Transaction,
        fault: StoreFault,
    ) -> bool {
        let fault = match (fault, self.rng.random_range(0..6)) {
            (StoreFault::Intermittent, 0) => StoreFault::LosesAnswers,
            (StoreFault::Intermittent, 1) => StoreFault::Late(self.rng.random_range(100..5000)),
            (StoreFault::Intermittent, 2 | 3) => StoreFault::Refuses,
            (StoreFault::Intermittent, _) => StoreFault::Good,
            (StoreFault::Slow(_), 0 | 1) => StoreFault::LosesAnswers,
            (StoreFault::Slow(_), _) => StoreFault::Good,
            (fault, _) => fault,
        };
        self.check_size(i, &transaction);
        let fault = match self.late_lending.filter(|_| cells::lends(&transaction)) {
            Some(ms) => StoreFault::Late(ms),
            None => fault,
        };
        let outcome = match fault {
            StoreFault::Good => self.state.commit(&transaction),
            StoreFault::LosesAnswers => {
                self.state.commit(&transaction);
                CommitOutcome::Unknown
            }
            StoreFault::Late(ms) => {
                self.state.late.push((self.now + ms, transaction));
                CommitOutcome::Unknown
            }
            StoreFault::Refuses | StoreFault::Intermittent | StoreFault::Slow(_) => {
                CommitOutcome::Refused
            }
        };
        controller.on_commit(write_kind, outcome, self.clock(i));
        matches!(outcome, CommitOutcome::Done(_))
    }

    /// What the service would call malformed would be sent again and again.
    pub(super) fn check_size(&mut self, i: usize, transaction: &Transaction) {
        let settings = match self.old[i] {
            true => &self.old_settings,
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
            .expect("plain data")
            .len();
        if largest as f64 > s.value_kb * 1024.0
            || transaction.mutations.len() > s.txn_ops
            || transaction.preconditions.len() > s.txn_ops * 4
            || all > 64 * 1024
        {
            let (in_flight, preconditions) =
                (transaction.mutations.len(), transaction.preconditions.len());
            let what = format!(
                "commit: {largest} of {all} bytes, {in_flight} changes, {preconditions} conditions"
            );
            self.violations.push(what);
        }
    }
}
