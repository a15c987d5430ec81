//! Fast mixing of integers, for non-cryptographic hashes.

/// Spreads the bits of `value` over all 64 bits.
pub const fn spread(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Combines two values; the order matters.
pub const fn pair(left: u64, right: u64) -> u64 {
    spread(spread(left) ^ right)
}
