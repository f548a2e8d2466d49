//! Guards against cache hits across scopes and against fingerprints that depend on how a prompt ends.

mod common;

use common::scope;
use lw_route::{CacheScope, Fingerprint, fingerprint::BLOCK_BYTES};
use proptest::prelude::*;

fn any_scope() -> impl Strategy<Value = CacheScope> {
    let name = "[a\\x01]{0,2}";
    (name, name, name, proptest::option::of(name), proptest::option::of(name)).prop_map(
        |(workspace, model, model_version, adapter, adapter_version)| CacheScope {
            workspace,
            model,
            model_version,
            adapter,
            adapter_version,
        },
    )
}

proptest! {
    // Failure: a cached prompt of one scope counts as cached, or is reused, in another. The short names of two
    // characters give scopes that differ only in where one field ends and the next begins; \x01 also marks a present
    // field in the salt.
    #[test]
    fn different_scopes_share_no_block(a in any_scope(), b in any_scope(), len in 1_usize..3) {
        prop_assume!(a != b);
        let prompt = vec![7; len * BLOCK_BYTES];
        let (a, b) = (Fingerprint::of(&a, &prompt), Fingerprint::of(&b, &prompt));
        prop_assert!(a.blocks.iter().all(|block| !b.blocks.contains(block)));
    }

    // Failure: the blocks of a longer prompt do not begin with those of its prefix, so cached work is recomputed.
    #[test]
    fn a_longer_prompt_extends_the_blocks(prompt in proptest::collection::vec(any::<u8>(), 0..20_000), cut in 0_usize..20_000) {
        let scope = scope("w", "1", "1");
        let cut = cut.min(prompt.len());
        let long = Fingerprint::of(&scope, &prompt).blocks;
        let short = Fingerprint::of(&scope, &prompt[..cut]).blocks;
        prop_assert_eq!(&long[..short.len()], &short[..]);
    }
}

// Failure: a change early in a prompt leaves later block hashes equal, so blocks of another prefix count as cached.
#[test]
fn a_changed_first_piece_changes_all_hashes() {
    let scope = scope("w", "1", "1");
    let mut prompt = vec![1; 3 * BLOCK_BYTES];
    let before = Fingerprint::of(&scope, &prompt).blocks;
    prompt[0] = 2;
    let after = Fingerprint::of(&scope, &prompt).blocks;
    assert!(before.iter().zip(&after).all(|(a, b)| a != b));
}

// Failure: a name with the byte that marks a present field in the salt gives the salt of another scope.
#[test]
fn field_boundaries_are_part_of_the_salt() {
    let scope_of = |workspace: &str, model: &str, model_version: &str| CacheScope {
        workspace: workspace.into(),
        model: model.into(),
        model_version: model_version.into(),
        ..CacheScope::default()
    };
    assert_ne!(scope_of("a\x01b", "c", "d").salt(), scope_of("a", "b", "c\x01d").salt());
}
