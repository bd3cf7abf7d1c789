use super::*;

fn machine_type(price: f64, spot_price: f64) -> MachineType {
    MachineType {
        name: "small".to_owned(),
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 16.0,
        price,
        spot_price,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        boot_s: 30.0,
        zones: vec!["z-1".to_owned()],
    }
}

#[test]
fn changed_spot_prices_alone_do_not_count_as_changed_machine_types() {
    assert!(are_equal_except_spot_prices(&[machine_type(2.0, 0.5)], &[machine_type(2.0, 0.7)]));
    assert!(!are_equal_except_spot_prices(&[machine_type(2.0, 0.5)], &[machine_type(2.5, 0.5)]));
    assert!(!are_equal_except_spot_prices(&[machine_type(2.0, 0.5)], &[]));
}
