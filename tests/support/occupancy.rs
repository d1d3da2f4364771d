//! Which machine each task is on, judged from the machines alone.
//!
//! Nothing here knows of queues, tokens or attempts: it shares no code with the scheduler.

use std::collections::HashMap;

/// A task that is on two machines at once.
#[derive(Debug, PartialEq, Eq)]
pub struct DuplicateExecution {
    pub task: String,
    pub machines: [String; 2],
}

/// Finds the first task that is on two machines. `present` lists the tasks that are on a machine now
/// (from when their image is there until they exit, are killed or the machine is gone), each with the
/// machine's name, whether or not anybody can reach that machine.
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
