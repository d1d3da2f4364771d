//! Detects tasks that run on two machines, from the state of the machines alone. Shares no code with the
//! scheduler and ignores queues, fencing tokens and attempts.

use std::collections::HashMap;

/// A task that is on two machines at the same time.
#[derive(Debug, PartialEq, Eq)]
pub struct DuplicateExecution {
    pub task: String,
    pub machines: [String; 2],
}

/// Finds the first task that is on two machines. `present` lists each task that is on a machine now,
/// with the machine's name, whether or not the machine is reachable. A task is on a machine from when
/// its image is fetched until it exits, is killed or the machine disappears.
pub fn find_duplicate_execution<'a>(
    present: impl Iterator<Item = (&'a str, &'a str)>,
) -> Option<DuplicateExecution> {
    let mut machine_of: HashMap<&str, &str> = HashMap::new();
    for (task, machine) in present {
        match machine_of.insert(task, machine) {
            Some(other) if other != machine => {
                return Some(DuplicateExecution {
                    task: task.to_owned(),
                    machines: [other.to_owned(), machine.to_owned()],
                });
            }
            _ => {}
        }
    }
    None
}
