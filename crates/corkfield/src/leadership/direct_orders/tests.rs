use super::*;

#[test]
fn direct_orders_count_as_in_flight_until_their_guard_is_dropped() {
    let in_flight = DirectOrdersInFlight::default();
    let first = in_flight.try_begin("m-1", 2).expect("first request is within the limit");
    let second = in_flight.try_begin("m-1", 2).expect("second request is within the limit");
    assert!(in_flight.try_begin("m-2", 2).is_none(), "limit applies to all machines together");
    drop(first);
    assert_eq!(in_flight.machines(), HashSet::from([MachineName::from("m-1")]));
    let third = in_flight.try_begin("m-2", 2).expect("a dropped guard makes room");
    drop(second);
    assert_eq!(in_flight.machines(), HashSet::from([MachineName::from("m-2")]));
    drop(third);
    assert!(in_flight.machines().is_empty());
}
