//! Renting and returning machines.

use crate::job::Job;
use crate::machine::{allows, Machine, MachineState, Reachability};
use crate::scheduler::{Action, Scheduler};
use corkfield_wire::cloud::{MachineType, RentRequest, MAX_RENT};
use corkfield_wire::JobSpec;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Work is spread over machines so that it would take about this long besides the boot.
const HORIZON_S: f64 = 20.0;
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// An ordinary machine that costs this many times a spot one is dear.
const EXPENSIVE_RATIO: f64 = 2.0;
/// Dear machines go when the cheap ones have this many times their CPUs and suffice for the work.
const MOSTLY: f64 = 4.0;
/// Above this they go in any case: what they add is not worth their price.
const BY_FAR: f64 = 6.0;

/// The part of the keeping time after which machines beyond the likely need are returned.
const SHORT_KEEP: f64 = 0.17;
const LATELY: Duration = Duration::from_secs(180);

/// Machine type, zone, and whether it is a spot machine.
type Offer = (String, String, bool);

/// An offer with its price for each CPU: whether spot machines, their type and zone.
type Priced = (f64, bool, MachineType, String);

pub(crate) struct ScalingState {
    term: u64,
    requests: u64,
    backoff: BTreeMap<Offer, (Instant, u32)>,
    under_way: BTreeMap<String, RentRequest>,
    /// When the most CPUs were asked for at once by a job that is to start soon, and how many.
    lately: (Option<Instant>, f64),
}

impl ScalingState {
    pub fn new(term: u64) -> Self {
        Self {
            term,
            requests: 0,
            backoff: BTreeMap::new(),
            under_way: BTreeMap::new(),
            lately: (None, 0.0),
        }
    }
}

/// Whether tasks of the job may run on such a machine.
fn fits(spec: &JobSpec, kind: &MachineType, zone: &str, spot: bool) -> bool {
    allows(spec, &kind.name, zone, spot)
        && spec.cpus <= kind.cpus
        && spec.gpus <= kind.gpus
        && spec.memory_gb <= kind.memory_gb
}

/// Whether a rental under way brings machines that the job allows.
fn rental_allows(spec: &JobSpec, rental: &RentRequest) -> bool {
    allows(spec, &rental.machine_type, &rental.zone, rental.spot)
}

/// Whether dear machines are not needed beside so many cheap ones.
fn enough_cheap(cheap: f64, expensive: f64, want: f64) -> bool {
    cheap >= BY_FAR * expensive || (cheap >= MOSTLY * expensive && cheap >= want)
}

impl Scheduler {
    /// A rental was answered, or given up without an answer. Machines of a late one turn up
    /// in the list and in reports.
    pub fn rental_answered(
        &mut self,
        request: &RentRequest,
        outcome: Result<Vec<String>, bool>,
        now: Instant,
    ) {
        self.scaling.under_way.remove(&request.request);
        let offer = (request.machine_type.clone(), request.zone.clone(), request.spot);
        match outcome {
            Ok(names) => {
                let short = names.len() < request.count as usize;
                for name in names {
                    let RentRequest { machine_type, zone, spot, .. } = request.clone();
                    let types = &self.cluster.machine_types;
                    self.cluster.machines.entry(name.clone()).or_insert_with(|| {
                        Machine::new(name, machine_type, zone, spot, types, now)
                    });
                }
                if short {
                    self.scaling.backoff.insert(offer, (now + Duration::from_secs(10), 1));
                } else {
                    self.scaling.backoff.remove(&offer);
                }
            }
            Err(no_capacity) => {
                let failures = self.scaling.backoff.get(&offer).map_or(0, |(_, n)| *n) + 1;
                let base = if no_capacity { 5.0 } else { 2.0 };
                let wait = Duration::from_secs_f64(base * 2f64.powi(failures.min(5) as i32 - 1));
                self.scaling.backoff.insert(offer, (now + wait.min(MAX_BACKOFF), failures));
            }
        }
    }

    /// Rents what the waiting work needs and returns what it doesn't.
    pub fn scale(&mut self, now: Instant) {
        if self.cluster.machine_types.is_empty() {
            return;
        }
        self.replace_late_boots(now);
        let (wide, spot_wide) = self.wanted_cpus();
        let supply = self.supply(now);
        self.scale_out(wide, spot_wide, supply, now);
        self.scale_out_for_constrained(now);
        self.scale_in_expensive(wide);
        self.scale_in_idle(wide, supply, now);
    }

    /// Once most of the capacity is up at a far lower price, the dear rest is let go: its work
    /// ends, and no new work comes.
    fn scale_in_expensive(&mut self, want: f64) {
        let mut cheap = 0.0;
        let mut expensive = Vec::new();
        let mut expensive_cpus = 0.0;
        for machine in self.cluster.machines.values() {
            let Some(size) = &machine.size else { continue };
            if machine.state() != MachineState::Up || machine.notice || machine.lease_expired() {
                continue;
            }
            if machine.spot {
                cheap += size.cpus;
            } else if size.spot_price > 0.0 && size.price > EXPENSIVE_RATIO * size.spot_price {
                expensive_cpus += size.cpus;
                expensive.push(machine.name.clone());
            }
        }
        // Work that must not run on spot machines needs them.
        let all_spot = self.cluster.jobs.values().all(|job| job.spec().spot);
        let enough = enough_cheap(cheap, expensive_cpus, want);
        if !enough || !all_spot || !self.is_reconciled() {
            return;
        }
        for name in expensive {
            self.drain(&name);
            self.note_machine_event(&name, "returning a dear machine");
        }
    }

    /// CPUs that the unfinished work could use, in all and on spot machines.
    fn wanted_cpus(&self) -> (f64, f64) {
        let mut all = 0.0;
        let mut spot = 0.0;
        for job in self.cluster.jobs.values().filter(|j| j.may_start()) {
            let want = self.wanted_by(job);
            all += want;
            if job.spec().spot {
                spot += want;
            }
        }
        (all, spot)
    }

    fn wanted_by(&self, job: &Job) -> f64 {
        let run_s = job.expected_run_s(self.cluster.run_time_correction(&job.spec().class));
        // Tasks shorter than the horizon can follow one another on the same machine.
        let want = job.demand().cpus * (run_s / HORIZON_S).min(1.0);
        want.max(job.spec().cpus)
    }

    fn supply(&self, now: Instant) -> f64 {
        self.matching_supply(now, |_| true, |_| true)
    }

    /// CPUs of machines that work or are coming, of those that suit.
    fn matching_supply(
        &self,
        now: Instant,
        matches: impl Fn(&Machine) -> bool,
        rental_matches: impl Fn(&RentRequest) -> bool,
    ) -> f64 {
        // A machine that should have reported is probably gone. What that means for its tasks
        // is for S5 to tell; another machine may be asked for meanwhile.
        let silence = self.cluster.config.silence();
        let silent =
            |m: &Machine| m.heard_at.is_some_and(|at| now.saturating_duration_since(at) > silence);
        let working = |m: &&Machine| {
            matches!(m.state(), MachineState::Up | MachineState::Booting)
                && !m.notice
                && !m.lease_expired()
                && m.reachability() != Reachability::Unreachable
                && !silent(m)
                && matches(m)
        };
        let rental_answered: f64 = self
            .cluster
            .machines
            .values()
            .filter(working)
            .filter_map(|m| m.size.as_ref().map(|t| t.cpus))
            .sum();
        let coming: f64 = self
            .scaling
            .under_way
            .values()
            .filter(|r| rental_matches(r))
            .filter_map(|r| {
                let size = self.cluster.machine_types.iter().find(|t| t.name == r.machine_type)?;
                Some(size.cpus * f64::from(r.count))
            })
            .sum();
        rental_answered + coming
    }

    fn scale_out(&mut self, want: f64, spot_want: f64, supply: f64, now: Instant) {
        let missing = want - supply;
        if missing <= 0.0 {
            return;
        }
        let coming = |spot: bool| {
            let working = |m: &&Machine| {
                m.spot == spot
                    && matches!(m.state(), MachineState::Up | MachineState::Booting)
                    && !m.lease_expired()
            };
            let cpus = |m: &Machine| m.size.as_ref().map(|t| t.cpus);
            self.cluster.machines.values().filter(working).filter_map(cpus).sum::<f64>()
        };
        let (cheap, expensive_cpus) = (coming(true), coming(false));
        let spot_unanswered = self.scaling.under_way.values().any(|request| request.spot);
        let mut offers = self.open_offers(now);
        offers.retain(|(_, spot, kind, zone)| {
            let spot = *spot;
            // It would be returned as soon as it is up; or how many spot machines are to be had is
            // not known yet, and an offer that was asked for already is none at the moment.
            let expensive = !spot
                && want <= spot_want
                && kind.spot_price > 0.0
                && kind.price > EXPENSIVE_RATIO * kind.spot_price
                && (spot_unanswered || enough_cheap(cheap, expensive_cpus + kind.cpus, want));
            let useful = if spot { spot_want > 0.0 } else { !expensive };
            useful && self.somebody_fits(kind, zone, spot)
        });
        self.ask_for(missing, offers);
    }

    /// Jobs bound to a zone, to machine types or to ordinary machines find no use in what there
    /// is elsewhere: what the machines that suit them lack is asked for besides.
    fn scale_out_for_constrained(&mut self, now: Instant) {
        type Bounds = (Option<String>, Option<Vec<String>>, bool);
        let mut bound: BTreeMap<Bounds, (f64, JobSpec)> = BTreeMap::new();
        for job in self.cluster.jobs.values().filter(|job| job.may_start() && job.waiting() > 0) {
            let spec = job.spec();
            if spec.zone.is_some() || spec.types.is_some() || !spec.spot {
                let key = (spec.zone.clone(), spec.types.clone(), spec.spot);
                let (want, largest) = bound.entry(key).or_insert_with(|| (0.0, spec.clone()));
                *want += self.wanted_by(job);
                if spec.cpus > largest.cpus {
                    *largest = spec.clone();
                }
            }
        }
        for (want, spec) in bound.into_values() {
            let missing =
                want - self.matching_supply(now, |m| m.allows(&spec), |r| rental_allows(&spec, r));
            if missing <= 0.0 {
                continue;
            }
            let mut offers = self.open_offers(now);
            offers.retain(|(_, spot, kind, zone)| fits(&spec, kind, zone, *spot));
            self.ask_for(missing, offers);
        }
    }

    /// Offers that were not refused lately and are not asked for at the moment.
    fn open_offers(&self, now: Instant) -> Vec<Priced> {
        let mut open = Vec::new();
        for kind in &self.cluster.machine_types {
            for zone in &kind.zones {
                for spot in [true, false] {
                    let offer = (kind.name.clone(), zone.clone(), spot);
                    let waits =
                        self.scaling.backoff.get(&offer).is_some_and(|(until, _)| now < *until);
                    let under_way = self.scaling.under_way.values().any(|r| {
                        (&r.machine_type, &r.zone, r.spot) == (&offer.0, &offer.1, offer.2)
                    });
                    if !waits && !under_way {
                        let price = if spot { kind.spot_price } else { kind.price };
                        let a_cpu = price / kind.cpus.max(0.1);
                        open.push((a_cpu, spot, kind.clone(), zone.clone()));
                    }
                }
            }
        }
        open
    }

    /// Asks for machines worth so many CPUs, the cheapest offers first.
    fn ask_for(&mut self, mut missing: f64, mut offers: Vec<Priced>) {
        offers.sort_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(std::cmp::Ordering::Equal));
        for n in 0..offers.len() {
            if missing <= 0.0 {
                break;
            }
            let (price, spot, kind, zone) = offers[n].clone();
            // Offers of the same price share the need, all asked for at once: capacity shows
            // only when it is refused, and the cloud takes few requests a second.
            let alike = offers[n..].iter().take_while(|o| (o.0 - price).abs() < 1e-9).count();
            let count = (missing / kind.cpus.max(0.1) / alike as f64).ceil().max(1.0);
            missing -= count * kind.cpus;
            self.scaling.requests += 1;
            let request = RentRequest {
                // Terms are never taken twice, so neither is a name (request names must not be).
                request: format!("r-{}-{}", self.scaling.term, self.scaling.requests),
                machine_type: kind.name.clone(),
                zone,
                spot,
                count: (count as u32).min(MAX_RENT),
            };
            tracing::debug!(?request, "renting");
            self.scaling.under_way.insert(request.request.clone(), request.clone());
            self.actions.push(Action::Rent(request));
        }
    }

    fn somebody_fits(&self, kind: &MachineType, zone: &str, spot: bool) -> bool {
        let waits = |job: &Job| job.may_start() && job.waiting() > 0;
        self.cluster.jobs.values().any(|job| waits(job) && fits(job.spec(), kind, zone, spot))
    }

    /// Machines that take several times their boot time may never come up.
    fn replace_late_boots(&mut self, now: Instant) {
        let mut late = Vec::new();
        for machine in self.cluster.machines.values_mut() {
            let boot_s = machine.size.as_ref().map_or(60.0, |t| t.boot_s);
            let limit = Duration::from_secs_f64(boot_s * 2.5 + 10.0);
            if machine.state() == MachineState::Booting
                && now.saturating_duration_since(machine.rented_at) > limit
            {
                machine.enter(MachineState::Draining);
                late.push(machine.name.clone());
            }
        }
        for name in late {
            self.note_machine_event(&name, "machine didn't come up; returned");
        }
    }

    /// The most CPUs that one job with an early start to reach asked for lately.
    fn headroom(&mut self, now: Instant) -> f64 {
        let soon = |job: &Job| {
            let class = job.spec().class.as_str();
            self.cluster.config.objectives.iter().any(|o| match o.kind.as_str() {
                "wait" => o.class.as_deref() == Some(class),
                "guarantee" => self.cluster.config.teams[job.team].cpus > 0.0,
                _ => false,
            })
        };
        let asked = self.cluster.jobs.values().filter(|j| soon(j)).map(|j| j.demand().cpus);
        let asked = asked.fold(0.0, f64::max);
        let (at, most) = self.scaling.lately;
        if asked >= most || at.is_none_or(|at| now.saturating_duration_since(at) > LATELY) {
            self.scaling.lately = (Some(now), asked);
        }
        self.scaling.lately.1
    }

    fn scale_in_idle(&mut self, want: f64, supply: f64, now: Instant) {
        let keep = self.cluster.config.idle_keep;
        let short = keep.mul_f64(SHORT_KEEP);
        let headroom = self.headroom(now);
        let mut spare = supply - want;
        let mut idle: Vec<(f64, String, f64, bool)> = Vec::new();
        for machine in self.cluster.machines.values_mut() {
            let Some(size) = &machine.size else { continue };
            if machine.state() != MachineState::Up || !machine.tasks.is_empty() {
                machine.idle_since = None;
                continue;
            }
            let since = *machine.idle_since.get_or_insert(now);
            let price = if machine.spot { size.spot_price } else { size.price };
            let slow = machine.is_slow();
            let idle_for = now.saturating_duration_since(since);
            if slow || idle_for >= short {
                let long = slow || idle_for >= keep;
                idle.push((price / size.cpus.max(0.1), machine.name.clone(), size.cpus, long));
            }
        }
        // The dearest go first.
        idle.sort_by(|a, b| b.0.partial_cmp(&a.0).unwrap_or(std::cmp::Ordering::Equal));
        for (_, name, cpus, long) in idle {
            // What jobs that start soon are likely to need is kept for longer.
            if spare < cpus || (!long && spare < cpus + headroom) {
                continue;
            }
            spare -= cpus;
            tracing::debug!(machine = %name, "returning idle machine");
            self.drain(&name);
        }
    }
}
