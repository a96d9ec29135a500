//! Compact serialisation of slice states: each holder is written once into a table, and slices
//! refer to it by number. With every holder written out, a snapshot of 200,000 slices would be
//! seven times as large.

use std::collections::HashMap;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::ids::{Holder, Token};
use super::state::{FormerOwner, SliceState};

/// Position of a holder in the table, from 1; 0 stands for no holder.
type HolderNumber = u32;

#[derive(Default, Serialize, Deserialize)]
struct PackedSlices {
    /// Table of holders.
    holders: Vec<Holder>,
    /// By slice: owner, token, and previous token.
    #[serde(rename = "slots")]
    slices: Vec<(HolderNumber, Token, Token)>,
    /// Former owners: slice, holder, token, and previous token.
    #[serde(rename = "from")]
    former: Vec<(u32, HolderNumber, Token, Token)>,
}

/// Assigns numbers to holders during serialisation.
#[derive(Default)]
struct HolderTable<'a> {
    numbers: HashMap<&'a Holder, HolderNumber>,
    holders: Vec<Holder>,
}

impl<'a> HolderTable<'a> {
    /// Number of `holder`, which is added to the table if it is not in it yet.
    fn number(&mut self, holder: &'a Holder) -> HolderNumber {
        *self.numbers.entry(holder).or_insert_with(|| {
            self.holders.push(holder.clone());
            self.holders.len() as HolderNumber
        })
    }
}

pub(super) fn serialize<S: Serializer>(slices: &[SliceState], s: S) -> Result<S::Ok, S::Error> {
    let mut table = HolderTable::default();
    let mut packed = PackedSlices::default();
    for (i, slice) in slices.iter().enumerate() {
        let holder = slice.holder.as_ref().map_or(0, |h| table.number(h));
        packed.slices.push((holder, slice.token, slice.prev));
        if let Some(former) = &slice.former {
            let number = table.number(&former.holder);
            packed.former.push((i as u32, number, former.token, former.prev));
        }
    }
    packed.holders = table.holders;
    packed.serialize(s)
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<SliceState>, D::Error> {
    let packed = PackedSlices::deserialize(d)?;
    let invalid = || serde::de::Error::custom("slice data refers to a missing holder or slice");
    let holder = |number: HolderNumber| match number.checked_sub(1) {
        None => Ok(None),
        Some(i) => packed.holders.get(i as usize).cloned().map(Some).ok_or_else(invalid),
    };
    let mut slices = Vec::with_capacity(packed.slices.len());
    for (number, token, prev) in &packed.slices {
        slices.push(SliceState {
            holder: holder(*number)?,
            token: *token,
            prev: *prev,
            former: None,
        });
    }
    for (i, number, token, prev) in &packed.former {
        let slice = slices.get_mut(*i as usize).ok_or_else(invalid)?;
        let former = holder(*number)?.ok_or_else(invalid)?;
        slice.former = Some(FormerOwner { holder: former, token: *token, prev: *prev });
    }
    Ok(slices)
}
