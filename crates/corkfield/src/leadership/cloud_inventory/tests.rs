use super::*;

fn kind(price: f64, spot_price: f64) -> MachineType {
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
fn machine_types_are_stored_anew_for_more_than_spot_prices() {
    assert!(are_equal_except_spot_prices(&[kind(2.0, 0.5)], &[kind(2.0, 0.7)]));
    assert!(!are_equal_except_spot_prices(&[kind(2.0, 0.5)], &[kind(2.5, 0.5)]));
    assert!(!are_equal_except_spot_prices(&[kind(2.0, 0.5)], &[]));
}
