//! The copy of the cloud's catalog in the store.

use crate::controller::{Controller, put};
use crate::protocol::{MachineType, Transaction};
use crate::replica::CATALOG;

/// Whether two entries say the same, prices aside: these move all the time and are not worth a
/// write.
fn same_but_for_prices(stored: &MachineType, known: &MachineType) -> bool {
    let known = MachineType {
        price: stored.price,
        market_price: stored.market_price,
        ..known.clone()
    };
    *stored == known
}

impl Controller {
    /// Keeps the machine types where a controller finds them that starts while the cloud is
    /// away.
    pub(super) fn plan_catalog(&mut self) -> Option<Transaction> {
        let mut machine_types: Vec<MachineType> = self.machine_types.values().cloned().collect();
        machine_types.sort_by(|a, b| a.name.cmp(&b.name));
        let stored = self.replica.catalog.as_ref();
        let up_to_date = stored.is_some_and(|stored| {
            let mut pairs = stored.iter().zip(&machine_types);
            stored.len() == machine_types.len()
                && pairs.all(|(stored, known)| same_but_for_prices(stored, known))
        });
        if up_to_date {
            return None;
        }
        let value = serde_json::to_string(&machine_types);
        let fits = value.is_ok_and(|value| value.len() <= self.settings.max_value_bytes());
        fits.then(|| Transaction {
            preconditions: Vec::new(),
            mutations: vec![put(CATALOG, &machine_types, None)],
        })
    }
}
