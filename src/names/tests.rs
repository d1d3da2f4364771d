//! Unit tests of `names`.

use super::*;

#[test]
fn indices_are_dense_and_reused_after_release() {
    let mut names = Interner::<JobId>::default();
    let a = names.intern("wk-1");
    let b = names.intern("wk-2");
    assert_eq!(names.intern("wk-1"), a);
    assert_eq!((a.raw(), b.raw()), (0, 1));
    names.release(a);
    assert_eq!(names.get("wk-1"), None);
    assert_eq!(names.name(a), "");
    assert_eq!(names.intern("wk-3").raw(), 0);
    assert_eq!(names.index_bound(), 2);
}
