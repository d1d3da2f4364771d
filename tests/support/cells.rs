//! Several worlds as cells that lend each other jobs, with the network between them.

use super::{
    BTreeSet, CommitOutcome, Controller, FakeStore, JobRecord, JobSpec, Mutation, Rng, StoreFault,
    Timestamp, Transaction, Transfer, World, digest, occupancy, past_key,
};
use quillbend::spillover::{Archived, CellCall, CellRequest, OfferPlan};
use quillbend_spillover::message::{CellAnswer, Decision, OfferAnswer, Reason, RequestBody};
use quillbend_spillover::settings::SpilloverSettings;

/// Names of the cells.
const NAMES: [&str; 3] = ["east", "north", "west"];

/// What happens to messages from one controller or cell to another cell.
#[derive(Clone, Copy, PartialEq)]
pub enum CellLink {
    Open,
    Disconnected,
    /// Requests arrive, answers are lost.
    LosesResponses,
    /// Requests arrive this many ms late, and nobody waits for the answer.
    Delayed(u64),
}

/// A request that is under way.
struct Request {
    at: u64,
    from: usize,
    node: usize,
    to: (usize, usize),
    call: CellCall,
    sent: Timestamp,
    /// Whether somebody waits for the answer.
    awaited: bool,
}

/// Several cells.
pub struct Cells {
    pub cells: Vec<World>,
    /// How messages of each cell reach each other cell.
    pub cell_links: Vec<Vec<CellLink>>,
    /// Controllers, by cell and place, that reach no other cell.
    pub unreachable_controllers: BTreeSet<(usize, usize)>,
    /// Copies of each request arrive this many ms later.
    pub request_copy_delays_ms: Vec<u64>,
    pub violations: Vec<String>,
    /// Requests between cells that were sent.
    pub sent_request_count: u64,
    requests_in_flight: Vec<Request>,
    last_number: u32,
}

/// The settings of a cell that knows these others.
pub fn spillover_settings(cell: usize, others: &[usize], controllers: usize) -> SpilloverSettings {
    let mut text = format!("<spillover cell=\"{}\">", NAMES[cell]);
    text += "<loan lease-s=\"10\" ask-s=\"1\" silent-s=\"8\"/>";
    text += "<policy start-above-s=\"10\" stop-below-s=\"3\" sustain-s=\"1\" margin-s=\"2\" \
             period-s=\"1\" idle-s=\"4\"/>";
    for &other in others {
        text += &format!("<cell name=\"{}\" worker-lease-s=\"12\">", NAMES[other]);
        for node in 0..controllers {
            text += &format!("<controller>{}</controller>", address(other, node));
        }
        text += "</cell>";
    }
    SpilloverSettings::parse(&(text + "</spillover>"), 37.0).expect("good")
}

/// The address of a controller for other controllers.
pub fn address(cell: usize, node: usize) -> String {
    format!("10.0.{cell}.{node}:8081")
}

/// The cell and the place of a controller.
fn place(address: &str) -> Option<(usize, usize)> {
    let mut parts = address.split(['.', ':']).skip(2);
    Some((parts.next()?.parse().ok()?, parts.next()?.parse().ok()?))
}

/// Whether a transaction lends a job.
pub fn lends(transaction: &Transaction) -> bool {
    let lent = |change: &Mutation| match change {
        Mutation::Put { value, .. } => value
            .read::<JobRecord>()
            .is_ok_and(|job| matches!(job.transfer.as_deref(), Some(Transfer::Lent(_)))),
        Mutation::Delete { .. } => false,
    };
    transaction.mutations.iter().any(lent)
}

impl FakeStore {
    /// Whether a write that lends jobs is still to be carried out.
    pub fn has_delayed_loan_write(&self) -> bool {
        self.delayed_commits
            .iter()
            .any(|(_, transaction)| lends(transaction))
    }
}

impl Cells {
    /// Cells of three controllers each, with so many machines, none of which can rent more.
    pub fn new(seed: u64, machines: &[usize]) -> Cells {
        let all: Vec<usize> = (0..machines.len()).collect();
        let worlds = machines.iter().enumerate().map(|(cell, &machines)| {
            let mut world = World::new(seed * 10 + cell as u64, machines);
            world.cell = cell;
            let others: Vec<usize> = all.iter().copied().filter(|&o| o != cell).collect();
            let controllers = world.controllers.len();
            world.settings.spillover = Some(spillover_settings(cell, &others, controllers));
            // What is over leaves the watched keys at once.
            world.settings.options.jobs_kept = 0.0;
            // What is there stays there.
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
            last_number: 0,
        };
        cells.run(20_000);
        cells
    }

    pub fn now(&self) -> u64 {
        self.cells[0].now
    }

    /// Users of a cell submit a job; its description can be had everywhere.
    pub fn submit(&mut self, cell: usize, tasks: u32) -> String {
        self.last_number += 1;
        let spec = self.cells[cell].spec(tasks);
        for world in &mut self.cells {
            world.register_spec(self.last_number, &spec);
        }
        self.cells[cell].submit(self.last_number, spec)
    }

    pub fn submit_many(&mut self, cell: usize, jobs: usize, tasks: u32) -> Vec<String> {
        (0..jobs).map(|_| self.submit(cell, tasks)).collect()
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now() + ms;
        while self.now() < end {
            self.step();
        }
    }

    pub fn run_until(&mut self, ms: u64, what: &str, mut holds: impl FnMut(&Cells) -> bool) {
        let end = self.now() + ms;
        while !holds(self) {
            assert!(self.now() < end, "never happened: {what}");
            self.step();
        }
    }

    /// Ends all faults; every job is done in the end, and the rules were kept.
    pub fn assert_all_jobs_finish(&mut self, cell: usize, jobs: &[String]) {
        self.heal();
        self.run_until(240_000, "done", |c| {
            jobs.iter().all(|job| c.cells[cell].is_done(job))
        });
        self.assert_no_violations();
    }

    pub fn heal(&mut self) {
        self.cells.iter_mut().for_each(World::heal);
        self.cell_links
            .iter_mut()
            .flatten()
            .for_each(|w| *w = CellLink::Open);
        self.unreachable_controllers.clear();
    }

    pub fn assert_no_violations(&self) {
        assert!(self.violations.is_empty(), "{:?}", self.violations);
        self.cells.iter().for_each(World::assert_no_violations);
    }

    /// Whether a cell's state service shows a job as lent.
    pub fn is_lent(&self, cell: usize, job: &str) -> bool {
        let lent = |job: JobRecord| matches!(job.transfer.as_deref(), Some(Transfer::Lent(_)));
        self.cells[cell].job_record(job).is_some_and(lent)
    }

    /// Jobs that a cell has lent and that are not over.
    pub fn lent_jobs(&self, cell: usize) -> Vec<String> {
        let (items, _) = self.cells[cell].store.list("qb/job/");
        let names = items
            .iter()
            .map(|item| item.key["qb/job/".len()..].to_owned());
        names
            .filter(|job| self.is_lent(cell, job) && self.cells[cell].is_unfinished(job))
            .collect()
    }

    /// How often tasks of these jobs were started in a cell.
    pub fn start_count_in(&self, cell: usize, jobs: &[String]) -> usize {
        jobs.iter()
            .map(|job| self.cells[cell].start_count_of(job))
            .sum()
    }

    /// Restarts all controllers of a cell with other settings.
    pub fn restart_with_settings(
        &mut self,
        cell: usize,
        change: impl FnOnce(&mut SpilloverSettings),
    ) {
        let world = &mut self.cells[cell];
        change(world.settings.spillover.as_mut().expect("turned on"));
        for i in 0..world.controllers.len() {
            world.crash(i);
            world.start(i);
        }
    }

    /// Cuts a cell from all others, in both directions.
    pub fn disconnect(&mut self, cell: usize) {
        for other in 0..self.cells.len() {
            self.cell_links[cell][other] = CellLink::Disconnected;
            self.cell_links[other][cell] = CellLink::Disconnected;
        }
    }

    pub fn step(&mut self) {
        for cell in 0..self.cells.len() {
            self.cells[cell].step();
            for (node, call) in std::mem::take(&mut self.cells[cell].outgoing_cell_requests) {
                self.send(cell, node, call);
            }
        }
        let now = self.now();
        let due = self.requests_in_flight.extract_if(.., |r| r.at <= now);
        for request in due.collect::<Vec<_>>() {
            self.deliver(request);
        }
        self.check();
    }

    #[expect(
        clippy::needless_pass_by_value,
        reason = "a call is handed over, as to a network"
    )]
    fn send(&mut self, from: usize, node: usize, call: CellCall) {
        let to = place(&call.address).expect("an address of ours");
        self.sent_request_count += u64::from(to.0 != from);
        let sent = self.cells[from].clock(node);
        let way = match from == to.0 {
            true => CellLink::Open,
            false => self.cell_links[from][to.0],
        };
        let delay = if let CellLink::Delayed(ms) = way {
            ms
        } else {
            0
        };
        let cut = way == CellLink::Disconnected
            || (from != to.0 && self.unreachable_controllers.contains(&(from, node)));
        let request = |at: u64, awaited: bool| Request {
            at,
            from,
            node,
            to,
            call: call.clone(),
            sent,
            awaited,
        };
        let now = self.now();
        if cut || delay > 0 {
            self.answer(&request(now, true), None);
        } else {
            let awaited = way != CellLink::LosesResponses;
            self.requests_in_flight.push(request(now, awaited));
            if !awaited {
                self.answer(&request(now, true), None);
            }
        }
        let request_copy_delays_ms = self.request_copy_delays_ms.iter().copied();
        let late = request_copy_delays_ms
            .chain((delay > 0).then_some(delay))
            .filter(|_| !cut);
        let late: Vec<Request> = late.map(|ms| request(now + ms, false)).collect();
        self.requests_in_flight.extend(late);
    }

    #[expect(
        clippy::needless_pass_by_value,
        reason = "a request is handed over, as by a network"
    )]
    fn deliver(&mut self, request: Request) {
        let (cell, node) = request.to;
        let world = &mut self.cells[cell];
        let unreachable = world.is_paused(node)
            || (request.from != cell && self.unreachable_controllers.contains(&(cell, node)))
            || world.controllers[node].is_none();
        let answer = (!unreachable).then(|| world.handle_cell_request(node, &request.call.request));
        if request.awaited {
            self.answer(&request, answer);
        }
    }

    fn answer(&mut self, request: &Request, answer: Option<CellAnswer>) {
        let world = &mut self.cells[request.from];
        let now = world.clock(request.node);
        let back = match request.from == request.to.0 {
            true => true,
            false => self.cell_links[request.to.0][request.from] != CellLink::Disconnected,
        };
        if let Some(node) = &mut world.controllers[request.node] {
            let controller = &mut node.controller;
            controller.on_cell_answer(&request.call, answer.filter(|_| back), request.sent, now);
        }
    }

    /// No task is on machines of two cells, and what its user cancelled is gone in time wherever it
    /// ran.
    fn check(&mut self) {
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
                let on = worker.tasks.iter().filter(|t| t.is_on_machine());
                on.map(move |t| (t.task.as_str(), name.as_str()))
            })
        });
        if let Some(double) = occupancy::find_duplicate_execution(present) {
            let what = format!("ran_twice: {double:?} at {}", self.now());
            self.violations.push(what);
        }
        for origin in &self.cells {
            for (job, at) in &origin.cancelled {
                let late = self.now() > at + origin.cancel_limit_ms();
                let runs = late && self.cells.iter().any(|w| w.running_task_count_of(job) > 0);
                if runs {
                    self.violations.push(format!("ran_cancelled: {job}"));
                }
            }
        }
    }
}

impl World {
    /// The description of a job that another cell accepted.
    pub fn register_spec(&mut self, number: u32, spec: &JobSpec) {
        self.specs.insert(format!("wk-{number:06}"), spec.clone());
    }

    /// A controller takes a request of another cell, as its door does.
    pub fn handle_cell_request(&mut self, node: usize, request: &CellRequest) -> CellAnswer {
        let now = self.clock(node);
        let mut taken = self.controllers[node].take().expect("alive");
        let controller = &mut taken.controller;
        let answer = match (controller.refuse_cell_request(request, None), &request.body) {
            (Some(refusal), _) => refusal,
            (None, RequestBody::Offer(offers)) if controller.leads().is_some() => {
                let answers = offers.iter().map(|offer| OfferAnswer {
                    loan: offer.loan.clone(),
                    decision: self.decide(node, controller, &request.from, offer),
                });
                CellAnswer::Offers(answers.collect())
            }
            (None, body) => {
                if let RequestBody::Confirm { loans, .. } = body {
                    for transaction in controller.plan_loan_ends(&request.from, loans, now) {
                        if let CommitOutcome::Done(revision) = self.write(node, &transaction) {
                            controller.on_loan_end(&transaction, revision);
                        }
                    }
                }
                controller.answer_cell(request, now)
            }
        };
        self.controllers[node] = Some(taken);
        digest::cell_answer(self.origin(node), &answer);
        answer
    }

    fn decide(
        &mut self,
        node: usize,
        controller: &mut Controller,
        from: &str,
        offer: &quillbend_spillover::message::Offer<JobSpec>,
    ) -> Decision {
        let now = self.clock(node);
        let mut archived = None;
        for _ in 0..2 {
            let plan = controller.plan_offer(from, offer, archived.as_ref(), now);
            let (transaction, decision) = match plan {
                OfferPlan::Answer(decision) => return decision,
                OfferPlan::Write {
                    transaction,
                    decision,
                } => (transaction, decision),
            };
            match self.write(node, &transaction) {
                CommitOutcome::Done(revision) => {
                    controller.replica.apply_own(&transaction, revision);
                    return decision;
                }
                CommitOutcome::Conflict(_) => {
                    let key = past_key(&offer.loan.job);
                    let value = self.store.value(&key);
                    archived = value.map(|v| Archived {
                        record: serde_json::from_value(v).expect("a job's value"),
                        mod_revision: self.store.mod_revision(&key),
                    });
                }
                _ => break,
            }
        }
        Decision::Later(Reason::State)
    }

    /// Sends a transaction of a controller's door.
    fn write(&mut self, node: usize, transaction: &Transaction) -> CommitOutcome {
        digest::transaction(self.origin(node), transaction);
        self.check_transaction_size(node, transaction);
        match self.link(node).store_fault {
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
