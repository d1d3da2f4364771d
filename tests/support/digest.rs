//! Digest of all messages that the controllers send, byte by byte and in order.
//!
//! A refactoring that only renames or moves code leaves the digest of a seeded scenario unchanged. The
//! simulation passes each message to a thread-local recorder; outside [`record`] there is none, and
//! nothing is serialised. Messages are recorded in their wire format and message kinds as numbers, so
//! that a digest depends on no identifier of the sources.

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

/// Environment variable with a directory for traces. If it is set, the messages of each scenario are
/// written there, one per line, to find the first difference: time, cell, controller, kind and length,
/// then the raw bytes.
const TRACE_DIRECTORY: &str = "DIGEST_TRACE";

/// Number of leading bytes of a digest that are shown.
const SHOWN_BYTES: usize = 8;

thread_local! {
    static RECORDER: RefCell<Option<Recorder>> = const { RefCell::new(None) };
}

/// Kinds of messages. The numbers are part of every digest.
#[derive(Clone, Copy)]
enum MessageKind {
    Transaction = 1,
    LeaseRequest = 2,
    LeaseRenewal = 3,
    PeerMessage = 4,
    PeerResponse = 5,
    HeartbeatResponse = 6,
    UserAnswer = 7,
    RentalRequest = 8,
    ReturnRequest = 9,
    CatalogRequest = 10,
    MachineListRequest = 11,
    ArchiveRequest = 12,
    CellRequest = 13,
    CellResponse = 14,
}

/// Simulated time of a message and the controller that sends it.
#[derive(Clone, Copy)]
pub struct Origin {
    time_ms: u64,
    cell: usize,
    controller: usize,
}

/// Summary of the messages that the controllers sent in one scenario.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    pub messages: u64,
    pub bytes: u64,
    /// First hexadecimal digits of the digest.
    pub digest: String,
}

/// Hashes and counts the messages of one scenario.
struct Recorder {
    hasher: Sha256,
    messages: u64,
    bytes: u64,
    trace: Option<BufWriter<File>>,
}

impl Recorder {
    fn new(scenario: &str) -> Recorder {
        let trace = std::env::var_os(TRACE_DIRECTORY).map(|directory| {
            let path = std::path::Path::new(&directory).join(format!("{scenario}.trace"));
            BufWriter::new(File::create(path).expect("a file for the trace"))
        });
        Recorder {
            hasher: Sha256::new(),
            messages: 0,
            bytes: 0,
            trace,
        }
    }

    fn add(&mut self, origin: Origin, kind: MessageKind, message: &[u8]) {
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

/// Runs a scenario on this thread. Returns the summary of its messages and the result of `run`.
pub fn record<Output>(scenario: &str, run: impl FnOnce() -> Output) -> (Summary, Output) {
    RECORDER.set(Some(Recorder::new(scenario)));
    let output = run();
    let recorder = RECORDER.take().expect("the recorder was set above");
    (recorder.finish(), output)
}

/// Whether this thread records a scenario.
fn is_recording() -> bool {
    RECORDER.with_borrow(Option::is_some)
}

fn record_message(origin: Origin, kind: MessageKind, message: &[u8]) {
    RECORDER.with_borrow_mut(|recorder| {
        if let Some(recorder) = recorder {
            recorder.add(origin, kind, message);
        }
    });
}

fn json(message: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(message).expect("serializable")
}

/// An address followed by a message in the encoding between controllers and cells.
fn addressed(address: &str, message: &impl Serialize) -> Vec<u8> {
    let body = rmp_serde::to_vec_named(message).expect("serializable");
    [address.as_bytes(), &[0], &body].concat()
}

/// Records a request of a controller, whether or not it will arrive.
pub(super) fn request(origin: Origin, controller: &Controller, effect: &Effect) {
    if !is_recording() {
        return;
    }
    let (kind, message) = match effect {
        Effect::RequestLease { lease_ms } => (MessageKind::LeaseRequest, json(lease_ms)),
        Effect::RenewLease { lease_id } => (MessageKind::LeaseRenewal, json(lease_id)),
        Effect::Commit { transaction, .. } => (MessageKind::Transaction, json(transaction)),
        Effect::SendPeerMessage { to, message } => {
            let name = controller.replica.names.controllers.name(*to);
            (MessageKind::PeerMessage, addressed(name, message))
        }
        Effect::ReadCatalog => (MessageKind::CatalogRequest, Vec::new()),
        Effect::ListMachines => (MessageKind::MachineListRequest, Vec::new()),
        Effect::ReadArchive(jobs) => (MessageKind::ArchiveRequest, json(jobs)),
        Effect::RentMachines(rental) => (MessageKind::RentalRequest, json(rental)),
        Effect::ReturnMachines(machines) => {
            let machines = machines.clone();
            (MessageKind::ReturnRequest, json(&MachineNames { machines }))
        }
        Effect::CallCell(call) => {
            let message = addressed(&call.address, &call.request);
            (MessageKind::CellRequest, message)
        }
    };
    record_message(origin, kind, &message);
}

/// Records a transaction on behalf of a user or of another cell.
pub(super) fn transaction(origin: Origin, transaction: &Transaction) {
    if is_recording() {
        record_message(origin, MessageKind::Transaction, &json(transaction));
    }
}

/// Records a controller's response to a peer.
pub(super) fn peer_response(origin: Origin, response: &PeerMessage) {
    if is_recording() {
        record_message(origin, MessageKind::PeerResponse, &addressed("", response));
    }
}

/// Records a controller's response to another cell.
pub(super) fn cell_response(origin: Origin, response: &CellResponse) {
    if is_recording() {
        record_message(origin, MessageKind::CellResponse, &addressed("", response));
    }
}

/// Records a controller's response to a heartbeat: the HTTP status and the body.
pub(super) fn heartbeat_response(origin: Origin, machine: &str, response: &HeartbeatResponse) {
    if !is_recording() {
        return;
    }
    let (status, body) = match response {
        HeartbeatResponse::HeartbeatAck(ack) => (200, json(ack)),
        HeartbeatResponse::Redirect(controller) => (421, json(controller)),
        HeartbeatResponse::Unconfirmed | HeartbeatResponse::Unavailable => (503, Vec::new()),
    };
    let message = [format!("{machine} {status} ").as_bytes(), &body].concat();
    record_message(origin, MessageKind::HeartbeatResponse, &message);
}

impl World {
    /// Origin of a message that a controller sends now.
    pub(super) fn origin(&self, controller: usize) -> Origin {
        Origin {
            time_ms: self.now,
            cell: self.cell,
            controller,
        }
    }

    /// Once a second, records the answer of each controller to a status request for each job.
    pub(super) fn digest_user_answers(&self) {
        if !is_recording() || !self.now.is_multiple_of(1000) {
            return;
        }
        let jobs: BTreeSet<&String> = self.specs.keys().collect();
        for (controller, process) in self.controllers.iter().enumerate() {
            let Some(process) = process else {
                continue;
            };
            let replica = &process.controller.replica;
            for job in &jobs {
                let known = replica.names.jobs.get(job.as_str());
                let Some((index, status)) =
                    known.and_then(|job_id| Some((job_id, replica.job_status(job_id)?)))
                else {
                    continue;
                };
                let done = replica.jobs.get(&index).map_or(0, |job| job.done.len());
                let answer = jobs::job_answer(
                    job,
                    status,
                    done,
                    process.controller.running_task_count(index),
                );
                record_message(
                    self.origin(controller),
                    MessageKind::UserAnswer,
                    &json(&answer),
                );
            }
        }
    }
}
