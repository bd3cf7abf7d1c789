use super::*;

#[test]
fn direct_orders_are_counted_until_they_end() {
    let in_flight = DirectOrdersInFlight::default();
    let first = in_flight.begin("m-1", 2).expect("room for one");
    let second = in_flight.begin("m-1", 2).expect("room for two");
    assert!(in_flight.begin("m-2", 2).is_none(), "the limit is that of all machines");
    drop(first);
    assert_eq!(in_flight.machines(), HashSet::from([MachineName::from("m-1")]));
    let third = in_flight.begin("m-2", 2).expect("room again");
    drop(second);
    assert_eq!(in_flight.machines(), HashSet::from([MachineName::from("m-2")]));
    drop(third);
    assert!(in_flight.machines().is_empty());
}
