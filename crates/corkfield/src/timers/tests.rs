use super::*;

#[tokio::test(start_paused = true)]
async fn timers_whose_periods_are_multiples_of_each_other_fire_together() {
    let timers = AlignedTimers::default();
    for offset_ms in [0, 1, 120, 260, 499, 730] {
        tokio::time::sleep(Duration::from_millis(offset_ms)).await;
        let started_at = Instant::now();
        for period in [50, 250, 500, 1000].map(Duration::from_millis) {
            let wait = timers.next_tick(period) - started_at;
            assert!(wait >= period / 2 && wait <= period + period / 2, "{period:?}: {wait:?}");
            let since_start = (started_at + wait - timers.started).as_nanos();
            assert_eq!(since_start % period.as_nanos(), 0, "{period:?}");
        }
    }
}
