//! A digest of everything that leaves the controllers, byte by byte and in order.
//!
//! A step of a refactoring that only renames or moves leaves the digest of a seeded day as it was.
//! The in-memory world feeds a recorder of its thread at the points where it delivers messages;
//! outside [`record`] there is none, and nothing is serialised. Messages are recorded as they go
//! over the wire, and kinds of message as numbers, so that no name in the sources is part of a digest.

use super::{
    BTreeSet, Controller, Effect, HeartbeatResponse, MachineNames, PeerMessage, Transaction, World,
    jobs,
};
use quillbend_spillover::message::CellResponse;
use serde::Serialize;
use sha2::{Digest, Sha256};
use std::cell::RefCell;
use std::fs::File;
use std::io::{BufWriter, Write};

/// Names the directory into which the messages of each day are written if it is set, one a line, to
/// find the first one that differs: time, cell, controller, kind and length, then the raw bytes.
const TRACE_DIRECTORY: &str = "DIGEST_TRACE";

/// Bytes of a digest that are shown.
const SHOWN_BYTES: usize = 8;

thread_local! {
    static RECORDER: RefCell<Option<Recorder>> = const { RefCell::new(None) };
}

/// Kinds of message. The numbers are part of every digest.
#[derive(Clone, Copy)]
enum Kind {
    Transaction = 1,
    LeaseRequest = 2,
    LeaseRenewal = 3,
    PeerMessage = 4,
    PeerAnswer = 5,
    HeartbeatAnswer = 6,
    UserAnswer = 7,
    RentRequest = 8,
    ReturnRequest = 9,
    CatalogRequest = 10,
    MachineListRequest = 11,
    ArchiveRequest = 12,
    CellRequest = 13,
    CellAnswer = 14,
}

/// When and from which controller a message is sent.
#[derive(Clone, Copy)]
pub struct Origin {
    time_ms: u64,
    cell: usize,
    controller: usize,
}

/// What left the controllers on one day.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    pub messages: u64,
    pub bytes: u64,
    /// The first digits of the digest.
    pub digest: String,
}

/// Takes in the messages of one day.
struct Recorder {
    hasher: Sha256,
    messages: u64,
    bytes: u64,
    trace: Option<BufWriter<File>>,
}

impl Recorder {
    fn new(day: &str) -> Recorder {
        let trace = std::env::var_os(TRACE_DIRECTORY).map(|directory| {
            let path = std::path::Path::new(&directory).join(format!("{day}.trace"));
            BufWriter::new(File::create(path).expect("a file for the trace"))
        });
        Recorder {
            hasher: Sha256::new(),
            messages: 0,
            bytes: 0,
            trace,
        }
    }

    fn take(&mut self, origin: Origin, kind: Kind, message: &[u8]) {
        let head = [
            origin.time_ms,
            origin.cell as u64,
            origin.controller as u64,
            kind as u64,
            message.len() as u64,
        ];
        head.iter()
            .for_each(|number| self.hasher.update(number.to_le_bytes()));
        self.hasher.update(message);
        self.messages += 1;
        self.bytes += message.len() as u64;
        if let Some(trace) = &mut self.trace {
            let line = [format!("{head:?} ").as_bytes(), message, b"\n"].concat();
            trace.write_all(&line).expect("the trace is written");
        }
    }

    fn finish(mut self) -> Summary {
        if let Some(trace) = &mut self.trace {
            trace.flush().expect("the trace is written");
        }
        let digest = self.hasher.finalize();
        let shown = digest.iter().take(SHOWN_BYTES);
        Summary {
            messages: self.messages,
            bytes: self.bytes,
            digest: shown.map(|byte| format!("{byte:02x}")).collect(),
        }
    }
}

/// Plays a day on this thread and sums up what left its controllers; also returns what `play` does.
pub fn record<Played>(day: &str, play: impl FnOnce() -> Played) -> (Summary, Played) {
    RECORDER.set(Some(Recorder::new(day)));
    let played = play();
    let recorder = RECORDER.take().expect("set above");
    (recorder.finish(), played)
}

/// Whether this thread's day is recorded.
fn is_recording() -> bool {
    RECORDER.with_borrow(Option::is_some)
}

fn feed(origin: Origin, kind: Kind, message: &[u8]) {
    RECORDER.with_borrow_mut(|recorder| {
        if let Some(recorder) = recorder {
            recorder.take(origin, kind, message);
        }
    });
}

fn json(message: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(message).expect("plain data")
}

/// A message to an address in the form that controllers and cells use among themselves.
fn addressed(address: &str, message: &impl Serialize) -> Vec<u8> {
    let body = rmp_serde::to_vec_named(message).expect("plain data");
    [address.as_bytes(), &[0], &body].concat()
}

/// A controller asks for something, whether or not the request will arrive.
pub(super) fn request(origin: Origin, controller: &Controller, effect: &Effect) {
    if !is_recording() {
        return;
    }
    let (kind, message) = match effect {
        Effect::RequestLease { lease_ms } => (Kind::LeaseRequest, json(lease_ms)),
        Effect::RenewLease { lease_id } => (Kind::LeaseRenewal, json(lease_id)),
        Effect::Commit { transaction, .. } => (Kind::Transaction, json(transaction)),
        Effect::SendPeerMessage { to, message } => {
            let name = controller.replica.names.controllers.name(*to);
            (Kind::PeerMessage, addressed(name, message))
        }
        Effect::ReadCatalog => (Kind::CatalogRequest, Vec::new()),
        Effect::ListMachines => (Kind::MachineListRequest, Vec::new()),
        Effect::ReadArchive(jobs) => (Kind::ArchiveRequest, json(jobs)),
        Effect::RentMachines(rental) => (Kind::RentRequest, json(rental)),
        Effect::ReturnMachines(machines) => {
            let machines = machines.clone();
            (Kind::ReturnRequest, json(&MachineNames { machines }))
        }
        Effect::CallCell(call) => {
            let message = addressed(&call.address, &call.request);
            (Kind::CellRequest, message)
        }
    };
    feed(origin, kind, &message);
}

/// A transaction goes to the state service on behalf of a user or of another cell.
pub(super) fn transaction(origin: Origin, transaction: &Transaction) {
    if is_recording() {
        feed(origin, Kind::Transaction, &json(transaction));
    }
}

/// A controller answers another one.
pub(super) fn peer_answer(origin: Origin, answer: &PeerMessage) {
    if is_recording() {
        feed(origin, Kind::PeerAnswer, &addressed("", answer));
    }
}

/// A controller answers another cell.
pub(super) fn cell_answer(origin: Origin, answer: &CellResponse) {
    if is_recording() {
        feed(origin, Kind::CellAnswer, &addressed("", answer));
    }
}

/// A controller answers a worker's heartbeat: the HTTP status and the body.
pub(super) fn heartbeat_answer(origin: Origin, machine: &str, reply: &HeartbeatResponse) {
    if !is_recording() {
        return;
    }
    let (status, body) = match reply {
        HeartbeatResponse::HeartbeatAck(orders) => (200, json(orders)),
        HeartbeatResponse::Redirect(controller) => (421, json(controller)),
        HeartbeatResponse::Unconfirmed | HeartbeatResponse::Unavailable => (503, Vec::new()),
    };
    let message = [format!("{machine} {status} ").as_bytes(), &body].concat();
    feed(origin, Kind::HeartbeatAnswer, &message);
}

impl World {
    /// Where a message comes from that a controller sends now.
    pub(super) fn origin(&self, controller: usize) -> Origin {
        Origin {
            time_ms: self.now,
            cell: self.cell,
            controller,
        }
    }

    /// Every second each controller is asked for each job, as its users may ask at any time.
    pub(super) fn record_user_answers(&self) {
        if !is_recording() || !self.now.is_multiple_of(1000) {
            return;
        }
        let jobs: BTreeSet<&String> = self.specs.keys().collect();
        for (controller, node) in self.controllers.iter().enumerate() {
            let Some(node) = node else {
                continue;
            };
            let replica = &node.controller.replica;
            for job in &jobs {
                let known = replica.names.jobs.get(job.as_str());
                let Some((index, status)) =
                    known.and_then(|job_id| Some((job_id, replica.job_status(job_id)?)))
                else {
                    continue;
                };
                let done = replica.jobs.get(&index).map_or(0, |job| job.done.len());
                let answer =
                    jobs::job_answer(job, status, done, node.controller.running_task_count(index));
                feed(self.origin(controller), Kind::UserAnswer, &json(&answer));
            }
        }
    }
}
