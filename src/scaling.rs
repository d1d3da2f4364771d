//! Renting and returning: how many machines of which kind. Pure.

use crate::names::{Index, MachineId, MachineTypeId, ZoneId};
use crate::placement::{Needs, Room};

/// A type that can be rented.
#[derive(Debug, Clone)]
pub struct Offer {
    /// Type.
    pub machine_type: MachineTypeId,
    /// Size.
    pub size: Room,
    /// Zones.
    pub zones: Vec<ZoneId>,
    /// Price of an ordinary machine.
    pub price: f64,
    /// Price of a spot machine.
    pub spot_price: f64,
    /// Boot time.
    pub boot_s: f64,
}

/// Work of one job that waits or runs.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Demands of its tasks.
    pub needs: Needs,
    /// Tasks that could run now if there were machines, the team's limit observed.
    pub tasks: f64,
    /// CPU seconds of work left in all.
    pub work: f64,
}

/// A machine of the fleet.
#[derive(Debug, Clone)]
pub struct Rented {
    /// Name.
    pub machine: MachineId,
    /// Type.
    pub machine_type: MachineTypeId,
    /// Zone.
    pub zone: ZoneId,
    /// Spot.
    pub spot: bool,
    /// Size.
    pub size: Room,
    /// Price now.
    pub price: f64,
    /// Seconds without any bound task, none while it has some or boots.
    pub idle_s: Option<f64>,
    /// Seconds since the rental.
    pub held_s: f64,
}

impl Rented {
    /// Price of a CPU.
    fn per_cpu(&self) -> f64 {
        self.price / self.size.cpus.max(1e-6)
    }
}

/// A request to make.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Command {
    /// Type.
    pub machine_type: MachineTypeId,
    /// Zone.
    pub zone: ZoneId,
    /// Spot.
    pub spot: bool,
    /// How many.
    pub number: u32,
}

/// Parameters of a plan.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// Seconds of work a rented CPU should find.
    pub horizon_s: f64,
    /// Seconds of idleness before a return.
    pub idle_s: f64,
    /// Most machines.
    pub most: usize,
    /// Shortest time charged, seconds.
    pub charge_s: f64,
}

/// CPUs that the work at hand is worth: never more than can run at once, and fewer when the
/// work would be over before a machine had paid for its boot.
pub fn wanted(demand: &[Demand], rules: &Rules) -> f64 {
    worth(demand, rules.horizon_s)
}

/// CPUs that the tasks at hand can use at once.
fn runnable(demand: &[Demand]) -> f64 {
    demand.iter().map(|d| d.tasks * d.needs.room.cpus).sum()
}

/// The work that may not run on spot machines.
///
/// Guards against counting spot machines as room for it: the cheap machines sufficed for all that
/// could run, so the ordinary ones were closed and given back, and steps of a chain that may not run
/// elsewhere waited for minutes.
fn lasting_only(demand: &[Demand]) -> Vec<Demand> {
    let lasting = demand.iter().filter(|d| !d.needs.spot);
    lasting.cloned().collect()
}

fn worth(demand: &[Demand], horizon_s: f64) -> f64 {
    let runnable = runnable(demand);
    let work: f64 = demand.iter().map(|d| d.work).sum();
    runnable.min((work / horizon_s).max(runnable.min(4.0)))
}

/// A CPU that costs this much more than the cheapest one is dear.
pub const DEAR: f64 = 1.8;
/// Dear machines are rented only for this many horizons of work.
const DEAR_HORIZONS: f64 = 2.5;

/// Decides what to rent. `open` says whether type, zone and kind may be asked now.
pub fn rent(
    demand: &[Demand],
    fleet: &[Rented],
    offers: &[Offer],
    rules: &Rules,
    mut open: impl FnMut(MachineTypeId, ZoneId, bool) -> bool,
) -> Vec<Command> {
    let mut out: Vec<Command> = Vec::new();
    let mut count = fleet.len();
    // Kinds are asked in the order of what a CPU costs; a job that cannot use a kind leaves its
    // part of the demand to the next ones.
    let mut kinds: Vec<(f64, &Offer, bool)> = offers
        .iter()
        .flat_map(|o| [(o.spot_price, o, true), (o.price, o, false)])
        .map(|(price, o, spot)| (price / o.size.cpus.max(1e-6), o, spot))
        .collect();
    kinds.sort_by(|a, b| a.0.total_cmp(&b.0));
    let cheapest = kinds.first().map_or(0.0, |k| k.0);
    let mut extra: Vec<(MachineTypeId, ZoneId, bool, Room, u32)> = Vec::new();
    for (per_cpu, offer, spot) in kinds {
        let horizon_s = if per_cpu > cheapest * DEAR {
            rules.horizon_s * DEAR_HORIZONS
        } else {
            rules.horizon_s
        };
        let zones: Vec<ZoneId> = offer
            .zones
            .iter()
            .copied()
            .filter(|&z| open(offer.machine_type, z, spot))
            .collect();
        for (i, &zone) in zones.iter().enumerate() {
            let usable: Vec<Demand> = demand
                .iter()
                .filter(|d| d.needs.suits(offer.machine_type, zone, spot, &offer.size))
                .cloned()
                .collect();
            let want = worth(&usable, horizon_s);
            let useful = |machine_type, zone, spot, size: &Room| {
                usable
                    .iter()
                    .any(|d| d.needs.suits(machine_type, zone, spot, size))
            };
            let mut have: f64 = fleet
                .iter()
                .filter(|m| useful(m.machine_type, m.zone, m.spot, &m.size))
                .map(|m| m.size.cpus)
                .sum();
            have += extra
                .iter()
                .filter(|e| useful(e.0, e.1, e.2, &e.3))
                .map(|e| e.3.cpus * f64::from(e.4))
                .sum::<f64>();
            let (want, have) = match spot {
                true => (want, have),
                false => {
                    let lasting = lasting_only(&usable);
                    let short = worth(&lasting, rules.horizon_s) - ordinary_cpus(fleet, &extra);
                    // Whichever lacks more: room for everything, or for what needs these.
                    (want.max(have + short), have)
                }
            };
            // Spread over the zones that are open: capacity is not published, and a zone that
            // is lost then takes only its part along.
            let missing = (want - have) / (zones.len() - i) as f64;
            // A machine that would stay mostly empty is left to smaller types.
            let number = if want - have >= offer.size.cpus * 0.5 {
                (missing / offer.size.cpus).round().max(1.0) as u32
            } else {
                0
            };
            let number = number
                .min(50)
                .min((rules.most.saturating_sub(count)) as u32);
            if number > 0 {
                count += number as usize;
                extra.push((offer.machine_type, zone, spot, offer.size, number));
                out.push(Command {
                    machine_type: offer.machine_type,
                    zone,
                    spot,
                    number,
                });
            }
        }
    }
    // What nothing rounds up to: the cheapest machine for demand that no machine suits.
    if out.is_empty() {
        for d in demand.iter().filter(|d| d.tasks > 0.0) {
            let served = fleet
                .iter()
                .any(|m| d.needs.suits(m.machine_type, m.zone, m.spot, &m.size));
            if served || count >= rules.most {
                continue;
            }
            let cheapest = offers
                .iter()
                .flat_map(|o| o.zones.iter().map(move |&z| (o, z)))
                .flat_map(|(o, z)| [(o.spot_price, o, z, true), (o.price, o, z, false)])
                .filter(|&(_, o, z, s)| d.needs.suits(o.machine_type, z, s, &o.size))
                .filter(|&(_, o, z, s)| open(o.machine_type, z, s))
                .min_by(|a, b| a.0.total_cmp(&b.0));
            if let Some((_, o, zone, spot)) = cheapest {
                out.push(Command {
                    machine_type: o.machine_type,
                    zone,
                    spot,
                    number: 1,
                });
                break;
            }
        }
    }
    out
}

/// CPUs of the machines that are no spot machines, of the fleet and of what is asked for already.
fn ordinary_cpus(fleet: &[Rented], extra: &[(MachineTypeId, ZoneId, bool, Room, u32)]) -> f64 {
    let there = fleet.iter().filter(|m| !m.spot).map(|m| m.size.cpus);
    let asked = extra.iter().filter(|e| !e.2);
    let asked = asked.map(|e| e.3.cpus * f64::from(e.4));
    there.sum::<f64>() + asked.sum::<f64>()
}

/// Decides which idle machines go back: the dearest per CPU first, while what stays suffices.
pub fn give_back(demand: &[Demand], fleet: &[Rented], rules: &Rules) -> Vec<MachineId> {
    let want = wanted(demand, rules);
    let mut have: f64 = fleet.iter().map(|m| m.size.cpus).sum();
    let want_lasting = wanted(&lasting_only(demand), rules);
    let ordinary = fleet.iter().filter(|m| !m.spot);
    let mut have_lasting: f64 = ordinary.map(|m| m.size.cpus).sum();
    let mut idle: Vec<&Rented> = fleet
        .iter()
        .filter(|m| m.idle_s.is_some_and(|i| i >= rules.idle_s) && m.held_s >= rules.charge_s)
        .collect();
    idle.sort_by(|a, b| {
        b.per_cpu()
            .total_cmp(&a.per_cpu())
            .then(a.machine.raw().cmp(&b.machine.raw()))
    });
    let mut out = Vec::new();
    for m in idle {
        let needed = demand.iter().any(|d| {
            d.tasks > 0.0
                && d.needs.suits(m.machine_type, m.zone, m.spot, &m.size)
                && !fleet.iter().any(|o| {
                    o.machine != m.machine
                        && !out.contains(&o.machine)
                        && d.needs.suits(o.machine_type, o.zone, o.spot, &o.size)
                })
        });
        let lasting = if m.spot { 0.0 } else { m.size.cpus };
        let spare_lasting = m.spot || have_lasting - lasting >= want_lasting;
        if !needed && have - m.size.cpus >= want && spare_lasting {
            have -= m.size.cpus;
            have_lasting -= lasting;
            out.push(m.machine);
        }
    }
    out
}

/// Decides which machines take no new tasks because the cheaper and fuller ones suffice for
/// all that could run. Queues empty out there, and the machines can go back.
///
/// Dear machines are closed earlier: as soon as the cheap ones can do what is left within a
/// horizon.
pub fn close(demand: &[Demand], fleet: &[(Rented, f64)], rules: &Rules) -> Vec<MachineId> {
    let mut order: Vec<&(Rented, f64)> = fleet.iter().collect();
    let part = |m: &(Rented, f64)| m.1 / m.0.size.cpus.max(1e-6);
    // Prices within a fifth count as equal: a warm and busy machine is worth more than that.
    let dear = |m: &(Rented, f64)| m.0.per_cpu() * (1.2 - 0.2 * part(m));
    order.sort_by(|a, b| {
        dear(a)
            .total_cmp(&dear(b))
            .then(a.0.machine.raw().cmp(&b.0.machine.raw()))
    });
    let want = runnable(demand) * 1.1 + 2.0;
    let want_dear = worth(demand, rules.horizon_s);
    let mut want_lasting = runnable(&lasting_only(demand));
    let cheapest = fleet.iter().map(|m| m.0.per_cpu());
    let cheapest = cheapest.fold(f64::INFINITY, f64::min);
    let mut have = 0.0;
    let mut kept: Vec<&Rented> = Vec::new();
    let mut out = Vec::new();
    for (m, used) in order {
        let only = demand.iter().any(|d| {
            let suits = |m: &Rented| d.needs.suits(m.machine_type, m.zone, m.spot, &m.size);
            d.tasks > 0.0 && suits(m) && !kept.iter().any(|k| suits(k))
        });
        let dear = m.per_cpu() > cheapest * DEAR;
        let enough = have >= (if dear { want_dear } else { want });
        // Spot machines are no use to tasks that may not run there.
        let lasting = !m.spot && want_lasting > 1e-6;
        if !enough || lasting || only {
            have += m.size.cpus;
            if !m.spot {
                want_lasting -= (m.size.cpus - used).max(0.0);
            }
            kept.push(m);
        } else {
            out.push(m.machine);
        }
    }
    out
}

#[cfg(test)]
mod tests;
