//! Limits on the size of messages between workers and controllers (`PROTOCOL`: a request body, and a line of a
//! response, may have at most 64 KiB), and upper bounds of what messages will occupy.
//!
//! A heartbeat lists all tasks of a machine, also ended ones until they are cleared, and a worker cannot send
//! one that is too long. The machine's tasks are therefore bounded by what their entries may grow to. No bound
//! here may be lower than the size that it bounds.

use crate::protocol::{Command, ExitReason, TaskPhase, TaskStatus};

/// Maximum size of a request body, and of a line of a response to workers or users, bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;
/// Space for everything in a heartbeat except its tasks, bytes: names, numbers and fields that this version does
/// not know.
const HEARTBEAT_BASE_BYTES: usize = 1024;
/// Space for the entries of all tasks in a heartbeat, bytes.
pub const MAX_TASK_ENTRIES_BYTES: usize = MAX_MESSAGE_BYTES - HEARTBEAT_BASE_BYTES;
/// Space for everything in an ack except its commands, bytes: the field names and the longest token.
const ACK_BASE_BYTES: usize = 64;
/// Space for all commands of an ack, bytes.
const MAX_COMMANDS_BYTES: usize = MAX_MESSAGE_BYTES - ACK_BASE_BYTES;

/// An entry of a task that was stopped, in its longest form, without the task's name and its attempt.
const STOPPED_ENTRY: &str = r#"{"leg":"","try":,"status":"ended","cause":"halted","saved":false},"#;
/// Number of colons and commas in [`STOPPED_ENTRY`]; a worker may put white space after each of them.
const ENTRY_SEPARATORS: usize = 10;
/// A launch or clear command without its task's name and attempt; both verbs are shorter than this one.
const COMMAND: &str = r#"{"verb":"launch","leg":"","try":},"#;
/// What a stop command has besides [`COMMAND`]: the field of its grace period, and the longest number.
const GRACE_BYTES: usize = r#","leewayS":"#.len() + 24;

/// White space that a worker puts after each colon and comma of its heartbeats, bytes. 0 for compact JSON.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JsonPadding(usize);

impl JsonPadding {
    /// Measures the padding of a message, rounded up.
    pub fn of(message: &[u8]) -> JsonPadding {
        let (mut white_space, mut separators) = (0, 0_usize);
        for byte in message {
            match byte {
                b' ' | b'\n' | b'\r' | b'\t' => white_space += 1,
                b':' | b',' => separators += 1,
                _ => {}
            }
        }
        JsonPadding(usize::div_ceil(white_space, separators.max(1)))
    }
}

/// Number of digits of a number.
fn digits(number: u64) -> usize {
    number.checked_ilog10().unwrap_or(0) as usize + 1
}

/// Length of a task's name, bytes.
pub fn task_name_bytes(job: &str, number: u32) -> usize {
    job.len() + "/".len() + digits(number.into())
}

/// Size that a task's entry in a heartbeat may grow to until the task has ended and is cleared, bytes.
pub fn largest_entry_bytes(name_bytes: usize, attempt: u64, padding: JsonPadding) -> usize {
    STOPPED_ENTRY.len() + name_bytes + digits(attempt) + ENTRY_SEPARATORS * padding.0
}

/// Size that the entry of a reported task may grow to, bytes. That of an ended task no longer changes.
pub fn reported_entry_bytes(status: &TaskStatus, padding: JsonPadding) -> usize {
    let largest = largest_entry_bytes(status.task.len(), status.attempt, padding);
    match (status.status, status.exit_reason, status.saved) {
        (TaskPhase::Ended, Some(ExitReason::Done), None) => {
            largest - r#""halted","saved":false"#.len() + r#""done""#.len()
        }
        _ => largest,
    }
}

/// Upper bound of a command's size in an ack, bytes.
fn command_bytes(command: &Command) -> usize {
    let (task, attempt, grace_bytes) = match command {
        Command::Launch { task, attempt } | Command::Clear { task, attempt } => (task, attempt, 0),
        Command::Stop { task, attempt, .. } => (task, attempt, GRACE_BYTES),
    };
    COMMAND.len() + task.len() + digits(*attempt) + grace_bytes
}

/// Space that is left in a message, bytes.
#[derive(Debug, Clone, Copy)]
pub struct MessageSpace(usize);

impl MessageSpace {
    /// The space for the commands of an empty ack.
    pub fn for_commands() -> MessageSpace {
        MessageSpace(MAX_COMMANDS_BYTES)
    }

    /// The space in a heartbeat that lists tasks of `used` bytes.
    pub fn for_task_entries(used: usize) -> MessageSpace {
        MessageSpace(MAX_TASK_ENTRIES_BYTES.saturating_sub(used))
    }

    /// Whether there is space for this many bytes.
    pub fn fits(self, bytes: usize) -> bool {
        bytes <= self.0
    }

    /// Uses space for this many bytes, which must fit.
    pub fn take(&mut self, bytes: usize) {
        self.0 = self.0.saturating_sub(bytes);
    }

    /// Whether there is space for a command in an ack.
    pub fn fits_command(self, command: &Command) -> bool {
        self.fits(command_bytes(command))
    }

    /// Uses space for a command in an ack.
    pub fn take_command(&mut self, command: &Command) {
        self.take(command_bytes(command));
    }

    /// Takes commands from the first on while there is space for them.
    pub fn take_commands(&mut self, commands: impl IntoIterator<Item = Command>) -> Vec<Command> {
        let mut taken = Vec::new();
        for command in commands {
            if !self.fits_command(&command) {
                break;
            }
            self.take_command(&command);
            taken.push(command);
        }
        taken
    }
}

#[cfg(test)]
mod tests;
