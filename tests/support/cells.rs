//! Simulation of several cells that lend each other jobs, with the network between them.

use super::{
    BTreeSet, CommitOutcome, Controller, FakeStore, JobRecord, JobSpec, Mutation, Rng, StoreFault,
    Timestamp, Transaction, Transfer, World, archive_key, digest, occupancy,
};
use quillbend::spillover::{ArchivedJob, CellCall, CellRequest, OfferPlan};
use quillbend_spillover::message::{
    CellResponse, OfferDecision, OfferResponse, RejectionReason, RequestBody,
};
use quillbend_spillover::settings::SpilloverSettings;

/// Names of the cells, by index.
const CELL_NAMES: [&str; 3] = ["east", "north", "west"];

/// Fault of the network from one cell to another.
#[derive(Clone, Copy, PartialEq)]
pub enum CellLink {
    Open,
    Disconnected,
    /// Requests arrive, but the responses are lost.
    LosesResponses,
    /// Requests arrive this many ms late, after the sender has stopped waiting for the response.
    Delayed(u64),
}

/// A request that is in flight.
struct Request {
    /// Simulated time of its arrival, ms.
    at: u64,
    /// Sending cell.
    from: usize,
    /// Sending controller of that cell.
    sender: usize,
    /// Receiving cell and controller.
    to: (usize, usize),
    call: CellCall,
    sent_at: Timestamp,
    /// Whether the sender still waits for the response.
    awaits_response: bool,
}

/// The simulated cells and their network.
pub struct Cells {
    pub cells: Vec<World>,
    /// Link from each cell to each other cell, by sender and receiver.
    pub cell_links: Vec<Vec<CellLink>>,
    /// Controllers, by cell and index, that exchange no messages with other cells.
    pub unreachable_controllers: BTreeSet<(usize, usize)>,
    /// Delays after which copies of each request arrive, ms.
    pub request_copy_delays_ms: Vec<u64>,
    /// Violated invariants that concern several cells.
    pub violations: Vec<String>,
    /// Number of requests sent between different cells.
    pub sent_request_count: u64,
    requests_in_flight: Vec<Request>,
    last_job_number: u32,
}

/// Spillover settings of a cell with these other cells.
pub fn spillover_settings(cell: usize, others: &[usize], controllers: usize) -> SpilloverSettings {
    let mut text = format!("<spillover cell=\"{}\">", CELL_NAMES[cell]);
    text += "<loan lease-s=\"10\" ask-s=\"1\" silent-s=\"8\"/>";
    text += "<policy start-above-s=\"10\" stop-below-s=\"3\" sustain-s=\"1\" margin-s=\"2\" \
             period-s=\"1\" idle-s=\"4\"/>";
    for &other in others {
        text += &format!(
            "<cell name=\"{}\" worker-lease-s=\"12\">",
            CELL_NAMES[other]
        );
        for i in 0..controllers {
            text += &format!("<controller>{}</controller>", address(other, i));
        }
        text += "</cell>";
    }
    SpilloverSettings::parse(&(text + "</spillover>"), 37.0).expect("valid settings")
}

/// Address of a controller for other controllers.
pub fn address(cell: usize, i: usize) -> String {
    format!("10.0.{cell}.{i}:8081")
}

/// Indexes of the cell and the controller with this address.
fn parse_address(address: &str) -> Option<(usize, usize)> {
    let mut parts = address.split(['.', ':']).skip(2);
    Some((parts.next()?.parse().ok()?, parts.next()?.parse().ok()?))
}

/// Whether a transaction marks a job as lent.
pub fn marks_job_lent(transaction: &Transaction) -> bool {
    let lent = |change: &Mutation| match change {
        Mutation::Put { value, .. } => value
            .decode::<JobRecord>()
            .is_ok_and(|job| matches!(job.transfer.as_deref(), Some(Transfer::Lent(_)))),
        Mutation::Delete { .. } => false,
    };
    transaction.mutations.iter().any(lent)
}

impl FakeStore {
    /// Whether a transaction that marks a job as lent is delayed and not committed yet.
    pub fn has_delayed_loan_write(&self) -> bool {
        self.delayed_commits
            .iter()
            .any(|(_, transaction)| marks_job_lent(transaction))
    }
}

impl Cells {
    /// Creates one cell of three controllers for each number of machines. No cell can rent more.
    pub fn new(seed: u64, machines: &[usize]) -> Cells {
        let all: Vec<usize> = (0..machines.len()).collect();
        let worlds = machines.iter().enumerate().map(|(cell, &machines)| {
            let mut world = World::new(seed * 10 + cell as u64, machines);
            world.cell = cell;
            let others: Vec<usize> = all.iter().copied().filter(|&o| o != cell).collect();
            let controllers = world.controllers.len();
            world.settings.spillover = Some(spillover_settings(cell, &others, controllers));
            // Finished jobs leave the watched keys at once.
            world.settings.options.max_final_jobs = 0.0;
            // Idle machines are not returned.
            world.settings.options.fleet_idle_s = 3600.0;
            (0..controllers).for_each(|i| world.start(i));
            world.cloud_has_no_capacity = true;
            world
        });
        let mut cells = Cells {
            cells: worlds.collect(),
            cell_links: vec![vec![CellLink::Open; machines.len()]; machines.len()],
            unreachable_controllers: BTreeSet::new(),
            request_copy_delays_ms: Vec::new(),
            violations: Vec::new(),
            sent_request_count: 0,
            requests_in_flight: Vec::new(),
            last_job_number: 0,
        };
        cells.run(20_000);
        cells
    }

    pub fn now(&self) -> u64 {
        self.cells[0].now
    }

    /// Submits a job to a cell and registers its specification in all cells for their checks.
    pub fn submit(&mut self, cell: usize, tasks: u32) -> String {
        self.last_job_number += 1;
        let spec = self.cells[cell].spec(tasks);
        for world in &mut self.cells {
            world.register_spec(self.last_job_number, &spec);
        }
        self.cells[cell].submit(self.last_job_number, spec)
    }

    pub fn submit_many(&mut self, cell: usize, jobs: usize, tasks: u32) -> Vec<String> {
        (0..jobs).map(|_| self.submit(cell, tasks)).collect()
    }

    /// Advances all cells and their network by `ms`.
    pub fn run(&mut self, ms: u64) {
        let end = self.now() + ms;
        while self.now() < end {
            self.step();
        }
    }

    /// Advances all cells until the condition holds. Fails the test if that takes longer than `ms`.
    pub fn run_until(&mut self, ms: u64, what: &str, mut holds: impl FnMut(&Cells) -> bool) {
        let end = self.now() + ms;
        while !holds(self) {
            assert!(self.now() < end, "condition not reached in time: {what}");
            self.step();
        }
    }

    /// Ends all faults, then asserts that all jobs finish and that no invariant was violated.
    pub fn assert_all_jobs_finish(&mut self, cell: usize, jobs: &[String]) {
        self.heal();
        self.run_until(240_000, "all jobs are done", |c| {
            jobs.iter().all(|job| c.cells[cell].is_done(job))
        });
        self.assert_no_violations();
    }

    /// Ends all faults and starts the controllers that are down.
    pub fn heal(&mut self) {
        self.cells.iter_mut().for_each(World::heal);
        self.cell_links
            .iter_mut()
            .flatten()
            .for_each(|link| *link = CellLink::Open);
        self.unreachable_controllers.clear();
    }

    pub fn assert_no_violations(&self) {
        assert!(self.violations.is_empty(), "{:?}", self.violations);
        self.cells.iter().for_each(World::assert_no_violations);
    }

    /// Whether a cell's store shows a job as lent.
    pub fn is_lent(&self, cell: usize, job: &str) -> bool {
        let lent = |job: JobRecord| matches!(job.transfer.as_deref(), Some(Transfer::Lent(_)));
        self.cells[cell].job_record(job).is_some_and(lent)
    }

    /// Unfinished jobs that a cell has lent.
    pub fn lent_jobs(&self, cell: usize) -> Vec<String> {
        let (items, _) = self.cells[cell].store.list("qb/job/");
        let names = items
            .iter()
            .map(|item| item.key["qb/job/".len()..].to_owned());
        names
            .filter(|job| self.is_lent(cell, job) && self.cells[cell].is_unfinished(job))
            .collect()
    }

    /// Number of task starts of these jobs in a cell.
    pub fn start_count_in(&self, cell: usize, jobs: &[String]) -> usize {
        jobs.iter()
            .map(|job| self.cells[cell].start_count_of(job))
            .sum()
    }

    /// Changes the spillover settings of a cell and restarts all of its controllers.
    pub fn restart_with_settings(
        &mut self,
        cell: usize,
        change: impl FnOnce(&mut SpilloverSettings),
    ) {
        let world = &mut self.cells[cell];
        change(
            world
                .settings
                .spillover
                .as_mut()
                .expect("spillover is enabled"),
        );
        for i in 0..world.controllers.len() {
            world.crash(i);
            world.start(i);
        }
    }

    /// Disconnects a cell from all others, in both directions.
    pub fn disconnect(&mut self, cell: usize) {
        for other in 0..self.cells.len() {
            self.cell_links[cell][other] = CellLink::Disconnected;
            self.cell_links[other][cell] = CellLink::Disconnected;
        }
    }

    pub fn step(&mut self) {
        for cell in 0..self.cells.len() {
            self.cells[cell].step();
            for (sender, call) in std::mem::take(&mut self.cells[cell].outgoing_cell_requests) {
                self.send(cell, sender, call);
            }
        }
        let now = self.now();
        let due = self.requests_in_flight.extract_if(.., |r| r.at <= now);
        for request in due.collect::<Vec<_>>() {
            self.deliver(request);
        }
        self.check_invariants();
    }

    #[expect(
        clippy::needless_pass_by_value,
        reason = "the call is consumed, as by a network"
    )]
    fn send(&mut self, from: usize, sender: usize, call: CellCall) {
        let to = parse_address(&call.address).expect("the address of a simulated controller");
        self.sent_request_count += u64::from(to.0 != from);
        let sent_at = self.cells[from].clock(sender);
        let link = match from == to.0 {
            true => CellLink::Open,
            false => self.cell_links[from][to.0],
        };
        let delay = if let CellLink::Delayed(ms) = link {
            ms
        } else {
            0
        };
        let disconnected = link == CellLink::Disconnected
            || (from != to.0 && self.unreachable_controllers.contains(&(from, sender)));
        let request = |at: u64, awaits_response: bool| Request {
            at,
            from,
            sender,
            to,
            call: call.clone(),
            sent_at,
            awaits_response,
        };
        let now = self.now();
        if disconnected || delay > 0 {
            self.deliver_response(&request(now, true), None);
        } else {
            let awaits_response = link != CellLink::LosesResponses;
            self.requests_in_flight.push(request(now, awaits_response));
            if !awaits_response {
                self.deliver_response(&request(now, true), None);
            }
        }
        let request_copy_delays_ms = self.request_copy_delays_ms.iter().copied();
        let late_arrivals = request_copy_delays_ms
            .chain((delay > 0).then_some(delay))
            .filter(|_| !disconnected);
        let late: Vec<Request> = late_arrivals.map(|ms| request(now + ms, false)).collect();
        self.requests_in_flight.extend(late);
    }

    #[expect(
        clippy::needless_pass_by_value,
        reason = "the request is consumed, as by a network"
    )]
    fn deliver(&mut self, request: Request) {
        let (cell, receiver) = request.to;
        let world = &mut self.cells[cell];
        let unreachable = world.is_paused(receiver)
            || (request.from != cell && self.unreachable_controllers.contains(&(cell, receiver)))
            || world.controllers[receiver].is_none();
        let response =
            (!unreachable).then(|| world.handle_cell_request(receiver, &request.call.request));
        if request.awaits_response {
            self.deliver_response(&request, response);
        }
    }

    fn deliver_response(&mut self, request: &Request, response: Option<CellResponse>) {
        let world = &mut self.cells[request.from];
        let now = world.clock(request.sender);
        let response_arrives = match request.from == request.to.0 {
            true => true,
            false => self.cell_links[request.to.0][request.from] != CellLink::Disconnected,
        };
        if let Some(process) = &mut world.controllers[request.sender] {
            let controller = &mut process.controller;
            controller.on_cell_response(
                &request.call,
                response.filter(|_| response_arrives),
                request.sent_at,
                now,
            );
        }
    }

    /// Checks that no task runs in two cells and that cancelled jobs stop in time in every cell.
    fn check_invariants(&mut self) {
        let names: Vec<Vec<String>> = self
            .cells
            .iter()
            .enumerate()
            .map(|(c, w)| {
                w.workers
                    .iter()
                    .map(|m| format!("{c}:{}", m.machine.name))
                    .collect()
            })
            .collect();
        let present = self.cells.iter().zip(&names).flat_map(|(world, names)| {
            let workers = world.workers.iter().zip(names);
            workers.flat_map(|(worker, name)| {
                let on_machine = worker.tasks.iter().filter(|t| t.is_on_machine());
                on_machine.map(move |t| (t.task.as_str(), name.as_str()))
            })
        });
        if let Some(duplicate) = occupancy::find_duplicate_execution(present) {
            let what = format!("ran_twice: {duplicate:?} at {}", self.now());
            self.violations.push(what);
        }
        for origin in &self.cells {
            for (job, at) in &origin.cancelled_at {
                let is_late = self.now() > at + origin.cancel_limit_ms();
                let still_runs =
                    is_late && self.cells.iter().any(|w| w.running_task_count_of(job) > 0);
                if still_runs {
                    self.violations.push(format!("ran_cancelled: {job}"));
                }
            }
        }
    }
}

impl World {
    /// Registers the specification of a job for the checks of a cell that may borrow it.
    pub fn register_spec(&mut self, number: u32, spec: &JobSpec) {
        self.specs.insert(format!("wk-{number:06}"), spec.clone());
    }

    /// Handles a request of another cell like the HTTP handler of a controller.
    pub fn handle_cell_request(&mut self, i: usize, request: &CellRequest) -> CellResponse {
        let now = self.clock(i);
        let mut process = self.controllers[i]
            .take()
            .expect("the controller is running");
        let controller = &mut process.controller;
        let response = match (controller.refuse_cell_request(request, None), &request.body) {
            (Some(refusal), _) => refusal,
            (None, RequestBody::Offer(offers)) if controller.leads().is_some() => {
                let responses = offers.iter().map(|offer| OfferResponse {
                    loan: offer.loan.clone(),
                    decision: self.decide_offer(i, controller, &request.from, offer),
                });
                CellResponse::Offers(responses.collect())
            }
            (None, body) => {
                if let RequestBody::Confirm { loans, .. } = body {
                    for transaction in controller.plan_loan_ends(&request.from, loans, now) {
                        if let CommitOutcome::Done(revision) = self.commit_for_cell(i, &transaction)
                        {
                            controller.on_loan_end(&transaction, revision);
                        }
                    }
                }
                controller.respond_to_cell(request, now)
            }
        };
        self.controllers[i] = Some(process);
        digest::cell_response(self.origin(i), &response);
        response
    }

    fn decide_offer(
        &mut self,
        i: usize,
        controller: &mut Controller,
        from: &str,
        offer: &quillbend_spillover::message::Offer<JobSpec>,
    ) -> OfferDecision {
        let now = self.clock(i);
        let mut archived = None;
        for _ in 0..2 {
            let plan = controller.plan_offer(from, offer, archived.as_ref(), now);
            let (transaction, decision) = match plan {
                OfferPlan::Respond(decision) => return decision,
                OfferPlan::Write {
                    transaction,
                    decision,
                } => (transaction, decision),
            };
            match self.commit_for_cell(i, &transaction) {
                CommitOutcome::Done(revision) => {
                    controller.replica.apply_own_commit(&transaction, revision);
                    return decision;
                }
                CommitOutcome::Conflict(_) => {
                    let key = archive_key(&offer.loan.job);
                    let value = self.store.value(&key);
                    archived = value.map(|v| ArchivedJob {
                        record: serde_json::from_value(v).expect("a valid job record"),
                        mod_revision: self.store.mod_revision(&key),
                    });
                }
                _ => break,
            }
        }
        OfferDecision::Deferred(RejectionReason::StoreUnavailable)
    }

    /// Commits a transaction of a request handler, subject to the controller's store fault.
    fn commit_for_cell(&mut self, i: usize, transaction: &Transaction) -> CommitOutcome {
        digest::transaction(self.origin(i), transaction);
        self.check_transaction_size(i, transaction);
        match self.link(i).store_fault {
            StoreFault::None | StoreFault::Slow(_) => self.store.commit(transaction),
            StoreFault::LosesResponses => {
                self.store.commit(transaction);
                CommitOutcome::Unknown
            }
            StoreFault::DelaysCommits(ms) => {
                self.store
                    .delayed_commits
                    .push((self.now + ms, transaction.clone()));
                CommitOutcome::Unknown
            }
            StoreFault::Intermittent if self.rng.random_bool(0.3) => {
                self.store.commit(transaction);
                CommitOutcome::Unknown
            }
            StoreFault::Intermittent | StoreFault::RejectsRequests => CommitOutcome::Refused,
        }
    }
}
