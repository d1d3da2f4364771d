//! Unit tests of stored records.

use super::*;

fn machine(kind: usize, queue: &[(usize, &str, u64)]) -> MachineRecord {
    let binding = |&(job, tasks, attempt): &(usize, &str, u64)| StoredBinding {
        job,
        tasks: tasks.parse().expect("valid ranges"),
        attempt,
    };
    MachineRecord {
        kind,
        cordoned: false,
        queue: queue.iter().map(binding).collect(),
        preempted: Vec::new(),
    }
}

#[test]
fn block_round_trips() {
    let mut block = BlockRecord {
        kinds: vec![("big".into(), "north hall".into(), true)],
        jobs: vec!["wk-000412".into(), "wk-000398".into(), "wk-7".into()],
        first_attempt: 4000,
        ..BlockRecord::default()
    };
    let mut cordoned_machine = machine(0, &[(0, "0-3,9", 0), (2, "99999", 40)]);
    cordoned_machine.cordoned = true;
    cordoned_machine.preempted = cordoned_machine.queue[..1].to_vec();
    block.machines.insert("m-000231".into(), cordoned_machine);
    block.machines.insert("m-000240".into(), machine(11, &[]));
    for unusual_name in ["m 1;x%20 ", "m-é1", "m-è2", ""] {
        block
            .machines
            .insert(unusual_name.into(), machine(0, &[(1, "7", 1)]));
    }
    block
        .done
        .push((1, "0-40,50".parse().expect("valid ranges")));
    let text = serde_json::to_string(&block).expect("block serializes");
    assert!(
        text.contains(" 0x 0:0-3,9@0 2:255r@14 ! 0:0-3,9@0;640 11;"),
        "{text}"
    );
    assert!(text.contains("0wk-000412 6398 37"), "{text}");
    assert_eq!(
        serde_json::from_str::<BlockRecord>(&text).expect("block deserializes"),
        block
    );
    let empty = BlockRecord::default();
    let text = serde_json::to_string(&empty).expect("block serializes");
    assert_eq!(
        serde_json::from_str::<BlockRecord>(&text).expect("block deserializes"),
        empty
    );
}

#[test]
fn malformed_blocks_are_rejected() {
    for text in [
        "0a",
        "0a ",
        "0a x",
        "0a 0 1",
        "0a 0 1:2",
        "0a 0 1:%@2",
        "0a 0  1:2@3",
        "0a 0 ! !",
        "1a 0",
        "é 0",
        ";",
        "0a -1",
        "0a 0 1:3-1@2",
    ] {
        let value = serde_json::json!({ "m": text });
        assert!(
            serde_json::from_value::<BlockRecord>(value).is_err(),
            "{text:?}"
        );
    }
    assert!(serde_json::from_str::<BlockRecord>(r#"{"d":"1"}"#).is_err());
    assert!(serde_json::from_str::<BlockRecord>(r#"{"j":"9x"}"#).is_err());
    for kinds in ["0", "0.", ".0", "0.2", "s.0", "0.1ss", "0.0 "] {
        let value = serde_json::json!({ "n": "0small 0north", "c": kinds });
        assert!(
            serde_json::from_value::<BlockRecord>(value).is_err(),
            "{kinds:?}"
        );
    }
}
