//! Unit tests of `core`.

/// The types that stories rent.
pub(crate) fn catalog() -> crate::wire::Catalog {
    serde_json::from_str(include_str!("../../tests/support/catalog.json")).expect("good")
}
