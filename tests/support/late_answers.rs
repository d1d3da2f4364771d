//! Start commands that reach their machine late, or once more.
//!
//! `PROTOCOL` lets a worker carry out a command from two kinds of messages: the answer to the report that it has
//! in flight, until 4 s after it was sent, and a direct command while token and session match, however late.
//! Controllers send no direct commands. A repeated one is simulated here all the same, to show that the checks
//! notice it.

use super::{Command, Heartbeat, HeartbeatAck, HeartbeatResponse, Rng, World};

/// Time after which a worker drops the answer to a report, ms.
const ANSWER_TIMEOUT_MS: u64 = 4000;
/// Shortest delay of a late answer, ms.
const MIN_DELAY_MS: u64 = 100;

/// Longest delay of a repeated answer or command, in leases of a worker.
const MAX_DELAY_LEASES: u64 = 4;

/// What happens to the answers that launch tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LateLaunches {
    /// They arrive once and at once.
    #[default]
    None,
    /// Some are held up, some are lost and a copy of the report is answered instead, and all come once more as
    /// answers.
    Answers,
    /// All come once more as direct commands.
    DirectCommands,
}

/// How a late message came about.
enum Origin {
    /// The answer itself, held up or repeated.
    Answer(HeartbeatAck),
    /// A copy of the report, which this controller is to answer.
    Copy(usize, Heartbeat),
    /// A direct command with the launches of an answer.
    DirectCommand(HeartbeatAck),
}

/// A message that is still on its way to a worker.
pub(super) struct LateMessage {
    due_at: u64,
    machine: String,
    /// Epoch and sequence number of the report that it answers.
    report: (u64, u64),
    /// When that report was sent.
    sent: u64,
    origin: Origin,
}

impl World {
    /// Delivers the response to the report that a worker sent at `sent`, unless a fault holds it up.
    pub(super) fn deliver_response(&mut self, at: usize, response: HeartbeatResponse, sent: u64) {
        let launches_tasks = |ack: &HeartbeatAck| {
            let mut commands = ack.commands.iter();
            commands.any(|command| matches!(command, Command::Launch { .. }))
        };
        match response {
            HeartbeatResponse::HeartbeatAck(ack)
                if self.late_launches != LateLaunches::None && launches_tasks(&ack) =>
            {
                self.deliver_launches(at, ack, sent);
            }
            response => self.handle_response(at, response, sent),
        }
    }

    /// Delivers an answer that launches tasks, as [`World::late_launches`] says.
    fn deliver_launches(&mut self, at: usize, ack: HeartbeatAck, sent: u64) {
        let lease_ms = (self.settings.platform.settings.workers.lease_s * 1000.0) as u64;
        let much_later = self
            .rng
            .random_range(MIN_DELAY_MS..MAX_DELAY_LEASES * lease_ms);
        let in_time = self.rng.random_range(MIN_DELAY_MS..ANSWER_TIMEOUT_MS);
        if self.late_launches == LateLaunches::DirectCommands {
            let repeated = Origin::DirectCommand(ack.clone());
            self.send_late(at, sent, much_later, repeated);
            self.handle_response(at, HeartbeatResponse::HeartbeatAck(ack), sent);
            return;
        }
        self.send_late(at, sent, much_later, Origin::Answer(ack.clone()));
        match self.rng.random_range(0..4) {
            0 => {
                self.send_late(at, sent, in_time, Origin::Answer(ack));
                self.handle_missing_response(at, sent);
            }
            1 => {
                let controller = self.rng.random_range(0..self.controllers.len());
                let copy = Origin::Copy(controller, self.workers[at].heartbeat());
                self.send_late(at, sent, in_time, copy);
                self.handle_missing_response(at, sent);
            }
            _ => self.handle_response(at, HeartbeatResponse::HeartbeatAck(ack), sent),
        }
    }

    fn send_late(&mut self, at: usize, sent: u64, delay_ms: u64, origin: Origin) {
        let worker = &self.workers[at];
        self.late_messages.push(LateMessage {
            due_at: sent + delay_ms,
            machine: worker.machine.name.clone(),
            report: (worker.worker_epoch, worker.sequence),
            sent,
            origin,
        });
    }

    /// Delivers the late messages that are due.
    pub(super) fn deliver_late_messages(&mut self) {
        let now = self.now;
        let due = self.late_messages.extract_if(.., |late| late.due_at <= now);
        for late in due.collect::<Vec<_>>() {
            let mut workers = self.workers.iter();
            let at = workers.position(|worker| worker.machine.name == late.machine);
            if let Some(at) = at.filter(|&at| !self.workers[at].disconnected) {
                self.deliver_late_message(at, late);
            }
        }
    }

    fn deliver_late_message(&mut self, at: usize, late: LateMessage) {
        let LateMessage { report, sent, .. } = late;
        let ack = match late.origin {
            Origin::DirectCommand(ack) => {
                let worker = &self.workers[at];
                let matches = ack.token >= worker.token && worker.worker_epoch == report.0;
                if matches && !worker.hung {
                    self.late_launches_taken += 1;
                    self.execute_commands(at, ack.commands);
                }
                return;
            }
            Origin::Answer(ack) => HeartbeatResponse::HeartbeatAck(ack),
            Origin::Copy(controller, copy) => self.answer_copy(controller, copy),
        };
        if self.awaits_answer(at, report, sent)
            && let HeartbeatResponse::HeartbeatAck(_) = ack
        {
            self.late_launches_taken += 1;
            tracing::debug!(
                now = self.now,
                machine = late.machine,
                sequence = report.1,
                sent,
                "takes a late answer"
            );
            self.workers[at].silent_until = self.now;
            self.handle_response(at, ack, sent);
        }
    }

    /// The answer of a controller to a copy of a report.
    fn answer_copy(&mut self, i: usize, copy: Heartbeat) -> HeartbeatResponse {
        let clock = self.clock(i);
        let is_reached = !self.is_paused(i) && self.links[i].workers_reachable;
        match self.controllers[i].as_mut().filter(|_| is_reached) {
            Some(process) => process.controller.on_heartbeat(copy, clock),
            None => HeartbeatResponse::Unavailable,
        }
    }

    /// Whether a worker still takes the answer to a report: it is the one in flight, and the wait for it is not
    /// over. A restarted worker numbers its reports from the start, and may take an answer to the report of the
    /// same number from before.
    fn awaits_answer(&self, at: usize, report: (u64, u64), sent: u64) -> bool {
        let worker = &self.workers[at];
        let in_flight = worker
            .unanswered_until
            .is_some_and(|until| self.now <= until);
        in_flight
            && (worker.worker_epoch, worker.sequence) == report
            && self.now <= sent + ANSWER_TIMEOUT_MS
            && !worker.hung
    }
}
