//! Tests of the protocol's spelling: each JSON text is parsed into its type, and the type must
//! serialize to the same JSON.

use corkfield_wire::cloud::{ListedState, MachineList, MachineNames, MachineTypes, RentRequest};
use corkfield_wire::store::{
    FailedConditions, Item, LeaseAnswer, LeaseRequest, Page, RevisionAnswer, Transaction,
    WatchAnswer,
};
use corkfield_wire::user::{ErrorView, JobKind, JobView};
use corkfield_wire::worker::{
    DirectOrders, ExitCause, HeartbeatReply, Order, Redirect, TaskPhase, TaskStatus,
    WorkerHeartbeat,
};
use corkfield_wire::{
    AgentEpoch, Attempt, ControllerName, JobId, JobSpec, JobStatus, Priority, Revision, TaskId,
    Term,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::{json, Value};

fn read<T: DeserializeOwned>(text: &str) -> T {
    serde_json::from_str(text).unwrap_or_else(|error| panic!("{error} in {text}"))
}

/// Parses the text, serializes the value and requires the same JSON.
fn round_trip<T: Serialize + DeserializeOwned>(text: &str) -> T {
    let message: T = read(text);
    assert_eq!(serde_json::to_value(&message).unwrap(), read::<Value>(text));
    message
}

fn round_trip_strings<T: DeserializeOwned + Serialize>(texts: &[&str]) -> Vec<T> {
    texts.iter().map(|text| round_trip(&format!("\"{text}\""))).collect()
}

#[test]
fn ids_are_parsed_and_formatted_unchanged() {
    for text in ["j-0", "j-000412", "j-12345678901234567890"] {
        assert_eq!(JobId::parse(text).unwrap().to_string(), text);
    }
    for text in ["", "j-", "000412", "j-x", "J-1", "j-1 ", "j--1", "j-123456789012345678901"] {
        assert_eq!(JobId::parse(text), None, "{text}");
    }
    assert!(JobId::parse("j-0") < JobId::parse("j-00"), "ids are ordered by their text");
    assert!(JobId::parse("j-10") < JobId::parse("j-9"));
    let task = TaskId::parse("j-000412/3").unwrap();
    assert_eq!((task.index, task.to_string()), (3, "j-000412/3".to_owned()));
    for text in ["j-000412", "j-000412/", "j-000412/-1", "j-000412/4294967296", "/3"] {
        assert_eq!(TaskId::parse(text), None, "{text}");
    }
}

#[test]
fn submissions_and_responses_keep_their_spelling() {
    let spec: JobSpec = round_trip(
        r#"{"name_id":"j-000412","pool":"train","owner":"vision","shape":"sweep","rank":"urgent",
        "pieces":16,"vcpus":8.0,"accelerators":1.0,"mem_gb":64.0,"bundle":"img-07",
        "image_gb":6.2,"flavours":["g8"],"site":"a","same_place":true,"apart":false,
        "loaners":true,"guess_s":240.0,"snapshot_s":30.0,"flush_s":4.0,"due_s":900.0}"#,
    );
    assert_eq!((spec.class.as_str(), spec.team.as_str()), ("train", "vision"));
    assert_eq!((spec.kind, spec.priority, spec.tasks), (JobKind::Array, Priority::High, 16));
    assert_eq!((spec.cpus, spec.gpus, spec.memory_gb), (8.0, 1.0, 64.0));
    assert_eq!((spec.image.as_str(), spec.image_gb), ("img-07", 6.2));
    assert_eq!((spec.one_zone, spec.spread, spec.spot), (true, false, true));
    assert_eq!(
        (spec.estimate_s, spec.checkpoint_interval_s, spec.checkpoint_save_s),
        (240.0, 30.0, 4.0)
    );
    let view: JobView =
        round_trip(r#"{"name_id":"j-000412","status":"running","done":3,"running":13}"#);
    assert_eq!((view.finished_count, view.running_count), (Some(3), Some(13)));
    round_trip::<JobView>(r#"{"name_id":"j-000412","status":"aborted"}"#);
    round_trip::<ErrorView>(r#"{"error":"no such job"}"#);
    let statuses: Vec<JobStatus> = round_trip_strings(&["pending", "running", "done", "aborted"]);
    assert_eq!(
        statuses,
        [JobStatus::Queued, JobStatus::Running, JobStatus::Done, JobStatus::Cancelled]
    );
    let priorities: Vec<Priority> = round_trip_strings(&["production", "urgent", "normal", "idle"]);
    assert_eq!(priorities, [Priority::Production, Priority::High, Priority::Normal, Priority::Low]);
    assert!(priorities.is_sorted(), "higher priorities compare as less");
}

#[test]
fn spread_jobs_may_have_half_of_their_tasks_in_a_zone() {
    let mut spec: JobSpec = read(
        r#"{"name_id":"j-1","pool":"p","owner":"o","shape":"sweep","rank":"idle","pieces":9,
        "vcpus":1,"accelerators":0,"mem_gb":1,"bundle":"i","image_gb":1,"flavours":null,
        "same_place":false,"apart":true,"loaners":false,"guess_s":1,"snapshot_s":0,"flush_s":0}"#,
    );
    assert_eq!((spec.max_tasks_per_zone(), &spec.types, &spec.deadline_s), (5, &None, &None));
    spec.tasks = 1;
    assert_eq!(spec.max_tasks_per_zone(), 1);
    spec.tasks = 9;
    spec.spread = false;
    assert_eq!(spec.max_tasks_per_zone(), 9);
}

#[test]
fn heartbeats_keep_their_spelling() {
    let heartbeat: WorkerHeartbeat = round_trip(
        r#"{"host":"host-000231","addr":"10.1.0.232:9000","flavour":"g8","site":"a",
        "loaners":true,"tenure":1,"serial":88,"epoch":41,"warning_s":null,
        "pieces":[{"piece":"j-000412/3","try":2,"status":"running"},
        {"piece":"j-000398/0","try":1,"status":"exited","cause":"halted","stored":true}]}"#,
    );
    assert_eq!(
        (heartbeat.agent_epoch, heartbeat.sequence, heartbeat.term),
        (AgentEpoch::new(1), 88, Term::new(41))
    );
    let exited = TaskStatus {
        task: TaskId::parse("j-000398/0").unwrap(),
        attempt: Attempt::new(1),
        phase: TaskPhase::Exited,
        cause: Some(ExitCause::Stopped),
        saved: Some(true),
    };
    assert_eq!(heartbeat.tasks[1], exited);
    let minimal: WorkerHeartbeat =
        read(r#"{"host":"h","addr":"a","flavour":"g8","site":"a","tenure":1,"serial":2}"#);
    assert_eq!(
        (minimal.spot, minimal.term, minimal.interruption_notice_s),
        (false, Term::new(0), None)
    );
    assert!(minimal.tasks.is_empty());
}

#[test]
fn phases_and_causes_keep_their_spelling_and_unknown_ones_are_accepted() {
    let phases: Vec<TaskPhase> = round_trip_strings(&["fetching", "running", "saving", "exited"]);
    assert_eq!(
        phases,
        [TaskPhase::Fetching, TaskPhase::Running, TaskPhase::Saving, TaskPhase::Exited]
    );
    assert_eq!(read::<TaskPhase>("\"paused\""), TaskPhase::Other);
    let causes: Vec<ExitCause> =
        round_trip_strings(&["done", "halted", "error", "no_room", "in_use", "no_such"]);
    assert_eq!(
        causes,
        [
            ExitCause::Done,
            ExitCause::Stopped,
            ExitCause::Error,
            ExitCause::NoRoom,
            ExitCause::OtherAttemptPresent,
            ExitCause::NoSuchTask,
        ]
    );
    assert_eq!(read::<ExitCause>("\"odd\""), ExitCause::Other);
}

#[test]
fn orders_keep_their_spelling() {
    let reply: HeartbeatReply = round_trip(
        r#"{"epoch":41,"orders":[{"verb":"launch","piece":"j-000412/4","try":2},
        {"verb":"kill","piece":"j-000377/1","try":1,"wind_down_s":10.0},
        {"verb":"reap","piece":"j-000398/0","try":1}]}"#,
    );
    assert!(matches!(
        reply.orders[..],
        [Order::Start { .. }, Order::Stop { grace_s: 10.0, .. }, Order::Forget { .. }]
    ));
    let orders: DirectOrders = round_trip(r#"{"epoch":41,"tenure":1,"orders":[]}"#);
    assert_eq!((orders.term, orders.agent_epoch), (Term::new(41), AgentEpoch::new(1)));
    let redirect: Redirect = round_trip(r#"{"upstream":"worker-2"}"#);
    assert_eq!(redirect.report_to, Some(ControllerName::from("worker-2")));
    assert_eq!(round_trip::<Redirect>("{}").report_to, None);
}

#[test]
fn messages_of_the_cloud_keep_their_spelling() {
    let types: MachineTypes = round_trip(
        r#"{"flavours":[{"label":"g8","vcpus":96.0,"accelerators":8.0,"mem_gb":768.0,
        "cache_gb":200.0,"pull_gb_per_s":1.0,"rate":12.0,"low_price":4.5,"boot_s":45.0,
        "sites":["a","b"]}]}"#,
    );
    assert_eq!((types.types[0].price, types.types[0].spot_price), (12.0, 4.5));
    let list: MachineList = round_trip(
        r#"{"hosts":[{"name_id":"host-000231","addr":"10.1.0.232:9000","flavour":"g8",
        "site":"a","loaners":true,"status":"running","age_s":61.5}],"truncated":false}"#,
    );
    assert_eq!((list.machines[0].state, list.has_more), (ListedState::Running, false));
    let states: Vec<ListedState> = round_trip_strings(&["starting", "running", "failed"]);
    assert_eq!(states, [ListedState::Booting, ListedState::Running, ListedState::Failed]);
    assert_eq!(read::<ListedState>("\"odd\""), ListedState::Other);
    let request: RentRequest =
        round_trip(r#"{"booking":"r-17","flavour":"g8","site":"a","loaners":true,"number":12}"#);
    assert_eq!((request.request.as_str(), request.count), ("r-17", 12));
    round_trip::<MachineNames>(r#"{"hosts":["host-000231"]}"#);
}

#[test]
fn messages_of_the_state_service_keep_their_spelling() {
    let item: Item = round_trip(r#"{"k":"a/b","v":{"x":1},"stamp":412,"claim":7}"#);
    assert_eq!((item.version, item.lease), (Revision::new(412), Some(7)));
    let page: Page =
        round_trip(r#"{"items":[{"k":"a","v":null,"stamp":1}],"truncated":true,"generation":431}"#);
    assert_eq!((page.has_more, page.revision), (true, Revision::new(431)));
    let transaction = Transaction::default()
        .when("a/b", Revision::new(0))
        .put("a/b", json!({"x": 1}))
        .put_leased("a/c", json!(2), 7)
        .delete("c/d");
    let expected = json!({
        "when": [{"k": "a/b", "stamp": 0}],
        "then": [{"put": "a/b", "v": {"x": 1}}, {"put": "a/c", "v": 2, "claim": 7}, {"drop": "c/d"}]
    });
    assert_eq!(serde_json::to_value(&transaction).unwrap(), expected);
    assert_eq!(serde_json::from_value::<Transaction>(expected).unwrap(), transaction);
    assert_eq!(round_trip::<RevisionAnswer>(r#"{"generation":432}"#).revision, Revision::new(432));
    round_trip::<FailedConditions>(r#"{"failed":["a/b"],"generation":431}"#);
    assert_eq!(round_trip::<LeaseAnswer>(r#"{"claim":7}"#).lease, 7);
    round_trip::<LeaseRequest>(r#"{"ttl_ms":5000}"#);
    let watch_answer: WatchAnswer = round_trip(
        r#"{"generation":433,"log":[{"put":"c/9","v":{},"stamp":433},{"drop":"c/d","stamp":432}]}"#,
    );
    assert_eq!((watch_answer.revision, watch_answer.events.len()), (Revision::new(433), 2));
}
