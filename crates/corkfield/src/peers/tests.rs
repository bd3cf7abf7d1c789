use super::*;

fn greeting(process: u64, echo: u64, echo_process: u64, vouches: bool) -> Hello {
    Hello {
        node: "q".to_owned(),
        incarnation: String::new(),
        process,
        number: 1,
        echo,
        echo_process,
        vouches,
        leading: false,
        store_ok: false,
        planner: None,
        term: 5,
    }
}

#[tokio::test(start_paused = true)]
async fn a_voucher_counts_from_what_it_echoes_and_for_its_processes_alone() {
    let peers = Peers::default();
    let sent = now();
    assert_eq!(peers.sends("q"), 1);
    tokio::time::advance(Duration::from_secs(9)).await;
    let vouched = |peers: &Peers| peers.heard.borrow()["q"].vouched;
    let hear = |hello: Hello| peers.hear(hello.clone(), peers.echoed(&hello, 7));
    // Held back since before this process, or an answer to nothing that it sent.
    for hello in [greeting(3, 1, 6, true), greeting(3, 2, 7, true), greeting(3, 1, 7, false)] {
        hear(hello);
        assert_eq!(vouched(&peers), None);
    }
    hear(greeting(3, 1, 7, true));
    assert_eq!(vouched(&peers), Some(sent), "however late it comes");
    hear(greeting(3, 1, 7, false));
    assert_eq!(vouched(&peers), Some(sent), "it said so then");
    hear(greeting(4, 1, 7, false));
    assert_eq!(vouched(&peers), None, "another process");
}
