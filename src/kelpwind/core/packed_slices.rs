//! The serialised form of slots: holders stand in a table once, slots refer to them by number. A
//! snapshot of 200,000 slices would be seven times as large with every holder written out.

use std::collections::HashMap;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::ids::{Holder, Token};
use super::state::{FormerOwner, SliceState};

/// Number of a holder in the table, counted from 1; 0 for none.
type Number = u32;

#[derive(Default, Serialize, Deserialize)]
struct Packed {
    holders: Vec<Holder>,
    /// Holder, token, and token before.
    slots: Vec<(Number, Token, Token)>,
    /// Former owners by slot: slot, holder, token, and token before.
    from: Vec<(u32, Number, Token, Token)>,
}

#[derive(Default)]
struct Table<'a> {
    numbers: HashMap<&'a Holder, Number>,
    holders: Vec<Holder>,
}

impl<'a> Table<'a> {
    fn number(&mut self, holder: &'a Holder) -> Number {
        *self.numbers.entry(holder).or_insert_with(|| {
            self.holders.push(holder.clone());
            self.holders.len() as Number
        })
    }
}

pub(super) fn serialize<S: Serializer>(slots: &[SliceState], s: S) -> Result<S::Ok, S::Error> {
    let mut table = Table::default();
    let mut packed = Packed::default();
    for (i, slot) in slots.iter().enumerate() {
        let holder = slot.holder.as_ref().map_or(0, |h| table.number(h));
        packed.slots.push((holder, slot.token, slot.prev));
        if let Some(former) = &slot.former {
            let number = table.number(&former.holder);
            packed.from.push((i as u32, number, former.token, former.prev));
        }
    }
    packed.holders = table.holders;
    packed.serialize(s)
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<SliceState>, D::Error> {
    let packed = Packed::deserialize(d)?;
    let unknown = || serde::de::Error::custom("a slot names a holder that is not in the table");
    let holder = |number: Number| match number.checked_sub(1) {
        None => Ok(None),
        Some(i) => packed.holders.get(i as usize).cloned().map(Some).ok_or_else(unknown),
    };
    let mut slots = Vec::with_capacity(packed.slots.len());
    for (number, token, prev) in &packed.slots {
        slots.push(SliceState {
            holder: holder(*number)?,
            token: *token,
            prev: *prev,
            former: None,
        });
    }
    for (i, number, token, prev) in &packed.from {
        let slot = slots.get_mut(*i as usize).ok_or_else(unknown)?;
        let former = holder(*number)?.ok_or_else(unknown)?;
        slot.former = Some(FormerOwner { holder: former, token: *token, prev: *prev });
    }
    Ok(slots)
}
