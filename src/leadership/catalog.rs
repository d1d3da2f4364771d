//! Keeps a copy of the cloud's catalog in the store.

use crate::controller::{Controller, put};
use crate::protocol::{MachineType, Transaction};
use crate::replica::CATALOG_KEY;

/// Whether two entries are equal apart from their prices, which change too often to be worth a
/// write.
fn equal_except_prices(stored: &MachineType, known: &MachineType) -> bool {
    let known = MachineType {
        price: stored.price,
        market_price: stored.market_price,
        ..known.clone()
    };
    *stored == known
}

impl Controller {
    /// Plans a write of the machine types, so that a controller can start while the cloud is
    /// unavailable.
    pub(super) fn plan_catalog(&mut self) -> Option<Transaction> {
        let mut machine_types: Vec<MachineType> = self.machine_types.values().cloned().collect();
        machine_types.sort_by(|a, b| a.name.cmp(&b.name));
        let stored = self.replica.catalog.as_ref();
        let up_to_date = stored.is_some_and(|stored| {
            let mut pairs = stored.iter().zip(&machine_types);
            stored.len() == machine_types.len()
                && pairs.all(|(stored, known)| equal_except_prices(stored, known))
        });
        if up_to_date {
            return None;
        }
        let value = serde_json::to_string(&machine_types);
        let fits = value.is_ok_and(|value| value.len() <= self.settings.max_value_bytes());
        fits.then(|| Transaction {
            preconditions: Vec::new(),
            mutations: vec![put(CATALOG_KEY, &machine_types, None)],
        })
    }
}
