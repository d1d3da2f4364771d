//! Unit tests of `message_limits`: every bound is compared with what the messages occupy as JSON.

use super::*;
use crate::protocol::{Heartbeat, HeartbeatAck};

const PHASES: [TaskPhase; 6] = [
    TaskPhase::Fetching,
    TaskPhase::Waiting,
    TaskPhase::Running,
    TaskPhase::Flushing,
    TaskPhase::Ended,
    TaskPhase::Unknown,
];
const EXIT_REASONS: [ExitReason; 6] = [
    ExitReason::Done,
    ExitReason::Halted,
    ExitReason::Error,
    ExitReason::Full,
    ExitReason::InUse,
    ExitReason::Unknown,
];
const ATTEMPTS: [u64; 4] = [0, 9, 10, u64::MAX];

/// Every form that the entry of a task may have: `saved` is reported of stopped tasks only.
fn forms(task: &str, attempt: u64) -> Vec<TaskStatus> {
    let form = |status, exit_reason, saved| TaskStatus {
        task: task.into(),
        attempt,
        status,
        exit_reason,
        saved,
    };
    let mut forms: Vec<TaskStatus> = PHASES.map(|phase| form(phase, None, None)).into();
    for reason in EXIT_REASONS {
        forms.push(form(TaskPhase::Ended, Some(reason), None));
    }
    for saved in [true, false] {
        forms.push(form(
            TaskPhase::Ended,
            Some(ExitReason::Halted),
            Some(saved),
        ));
    }
    forms
}

fn json_bytes(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).expect("serializable").len()
}

fn heartbeat(tasks: Vec<TaskStatus>) -> Heartbeat {
    Heartbeat {
        machine: "m-000231".into(),
        endpoint: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        worker_epoch: u64::MAX,
        sequence: u64::MAX,
        token: u64::MAX,
        reclaim_s: Some(0.1 + 0.2),
        tasks,
        padding: JsonPadding::default(),
    }
}

#[test]
fn no_entry_grows_beyond_its_bound() {
    for attempt in ATTEMPTS {
        for number in [0, 9, 99_999] {
            let task = format!("wk-000412/{number}");
            assert_eq!(task_name_bytes("wk-000412", number), task.len());
            let largest = largest_entry_bytes(task.len(), attempt, JsonPadding::default());
            let forms = forms(&task, attempt);
            let sizes = forms.iter().map(|form| json_bytes(form) + 1);
            assert_eq!(sizes.max(), Some(largest), "the bound is exact");
            for form in &forms {
                let bound = reported_entry_bytes(form, JsonPadding::default());
                assert!(json_bytes(form) < bound && bound <= largest, "{form:?}");
            }
        }
    }
}

#[test]
fn padding_after_separators_is_counted() {
    let one = &forms("wk-000412/7", 12)[0];
    let compact = serde_json::to_vec(&heartbeat(vec![one.clone(); 20])).expect("serializable");
    assert_eq!(JsonPadding::of(&compact), JsonPadding::default());
    let spaced = String::from_utf8(compact).expect("UTF-8");
    let spaced = spaced.replace(':', ": ").replace(',', ", ");
    let padding = JsonPadding::of(spaced.as_bytes());
    assert_eq!(padding, JsonPadding(1));
    for form in forms("wk-000412/7", 12) {
        let text = serde_json::to_string(&form).expect("serializable");
        let text = text.replace(':', ": ").replace(',', ", ");
        assert!(text.len() + 2 <= reported_entry_bytes(&form, padding));
    }
}

#[test]
fn everything_but_the_tasks_fits_into_a_heartbeat() {
    assert!(json_bytes(&heartbeat(Vec::new())) < HEARTBEAT_BASE_BYTES / 2);
}

#[test]
fn no_command_is_longer_than_its_bound() {
    for attempt in ATTEMPTS {
        let task = "wk-000412/99999".to_owned();
        let mut commands = vec![
            Command::Launch {
                task: task.clone(),
                attempt,
            },
            Command::Clear {
                task: task.clone(),
                attempt,
            },
        ];
        for grace_s in [0.0, 0.1 + 0.2, 1e9, f64::MAX, f64::MIN_POSITIVE] {
            commands.push(Command::Stop {
                task: task.clone(),
                attempt,
                grace_s,
            });
        }
        for command in commands {
            assert!(
                json_bytes(&command) < command_bytes(&command),
                "{command:?}"
            );
        }
    }
}

#[test]
fn an_ack_with_all_commands_that_fit_is_within_the_limit() {
    let launch = |number: u64| Command::Launch {
        task: format!("wk-000412/{number}"),
        attempt: number,
    };
    let mut space = MessageSpace::for_commands();
    let commands = space.take_commands((0..100_000).map(launch));
    let ack = HeartbeatAck {
        token: u64::MAX,
        commands,
    };
    let bytes = json_bytes(&ack);
    let missing = MAX_MESSAGE_BYTES - bytes;
    assert!(missing < 200, "{missing} bytes are not used");
}
