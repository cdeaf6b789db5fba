//! Arbitrary values of serialisable types, the same for a seed on each machine and in each build.

use std::fmt;

use serde::Deserialize;
use serde::de;
use serde::de::DeserializeSeed;
use serde::de::EnumAccess;
use serde::de::IntoDeserializer;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::VariantAccess;
use serde::de::Visitor;
use serde::de::value::U32Deserializer;

/// Maximum number of elements of a collection.
const MAX_ELEMENTS: u64 = 2;
/// Maximum length of a text.
const MAX_TEXT: u64 = 6;
/// Depth of nesting from which collections and options are empty.
const MAX_DEPTH: u32 = 14;

/// Returns the value of a type for a seed, or `None` if the type admits no such value.
///
/// An enum has the variant `first`, counted from zero, if it is given.
pub fn sample<T: for<'de> Deserialize<'de>>(seed: u64, first: Option<u32>) -> Option<T> {
    let mut samples = Samples { state: seed, depth: 0, first };
    T::deserialize(&mut samples).ok()
}

/// Reason why a type has no value for a seed.
#[derive(Debug)]
pub struct NoSample;

impl fmt::Display for NoSample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no such value")
    }
}

impl std::error::Error for NoSample {}

impl de::Error for NoSample {
    fn custom<T: fmt::Display>(_: T) -> Self {
        Self
    }
}

/// Source of values, which types read as if it were their encoded form.
struct Samples {
    state: u64,
    depth: u32,
    first: Option<u32>,
}

impl Samples {
    /// Returns the next number (SplitMix64).
    fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number of any magnitude.
    fn number(&mut self) -> u64 {
        let shift = self.next() % 64;
        self.next() >> shift
    }

    /// Returns a number of elements.
    fn count(&mut self, max: u64) -> usize {
        let count = self.next() % (max + 1);
        if self.depth > MAX_DEPTH { 0 } else { count as usize }
    }

    fn text(&mut self) -> String {
        let length = self.next() % (MAX_TEXT + 1);
        (0..length).map(|_| char::from(b'a' + (self.next() % 26) as u8)).collect()
    }

    /// Reads a value that is nested in another one.
    fn nested<T>(
        &mut self,
        read: impl FnOnce(&mut Self) -> Result<T, NoSample>,
    ) -> Result<T, NoSample> {
        self.depth += 1;
        let value = read(self);
        self.depth -= 1;
        value
    }
}

/// Elements of a collection or fields of a struct that are left to be read.
struct Elements<'a> {
    samples: &'a mut Samples,
    left: usize,
}

impl<'de> SeqAccess<'de> for Elements<'_> {
    type Error = NoSample;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, NoSample> {
        if self.left == 0 {
            return Ok(None);
        }
        self.left -= 1;
        self.samples.nested(|samples| seed.deserialize(samples)).map(Some)
    }

    fn size_hint(&self) -> Option<usize> {
        Some(self.left)
    }
}

impl<'de> MapAccess<'de> for Elements<'_> {
    type Error = NoSample;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, NoSample> {
        self.next_element_seed(seed)
    }

    fn next_value_seed<V: DeserializeSeed<'de>>(&mut self, seed: V) -> Result<V::Value, NoSample> {
        self.samples.nested(|samples| seed.deserialize(samples))
    }
}

/// Variant of an enum.
struct Variant<'a> {
    samples: &'a mut Samples,
    index: u32,
}

impl<'a, 'de> EnumAccess<'de> for Variant<'a> {
    type Error = NoSample;
    type Variant = &'a mut Samples;

    fn variant_seed<V: DeserializeSeed<'de>>(
        self,
        seed: V,
    ) -> Result<(V::Value, Self::Variant), NoSample> {
        let index: U32Deserializer<NoSample> = self.index.into_deserializer();
        Ok((seed.deserialize(index)?, self.samples))
    }
}

impl<'de> VariantAccess<'de> for &mut Samples {
    type Error = NoSample;

    fn unit_variant(self) -> Result<(), NoSample> {
        Ok(())
    }

    fn newtype_variant_seed<T: DeserializeSeed<'de>>(self, seed: T) -> Result<T::Value, NoSample> {
        self.nested(|samples| seed.deserialize(samples))
    }

    fn tuple_variant<V: Visitor<'de>>(self, len: usize, visitor: V) -> Result<V::Value, NoSample> {
        visitor.visit_seq(Elements { samples: self, left: len })
    }

    fn struct_variant<V: Visitor<'de>>(
        self,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, NoSample> {
        visitor.visit_seq(Elements { samples: self, left: fields.len() })
    }
}

/// Implements the methods that visit a number.
macro_rules! numbers {
    ($($method:ident $visit:ident $number:ty,)*) => {
        $(fn $method<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, NoSample> {
            visitor.$visit(self.number() as $number)
        })*
    };
}

impl<'de> de::Deserializer<'de> for &mut Samples {
    type Error = NoSample;

    numbers! {
        deserialize_i8 visit_i8 i8,
        deserialize_i16 visit_i16 i16,
        deserialize_i32 visit_i32 i32,
        deserialize_i64 visit_i64 i64,
        deserialize_i128 visit_i128 i128,
        deserialize_u8 visit_u8 u8,
        deserialize_u16 visit_u16 u16,
        deserialize_u32 visit_u32 u32,
        deserialize_u64 visit_u64 u64,
        deserialize_u128 visit_u128 u128,
        deserialize_f32 visit_f32 f32,
        deserialize_f64 visit_f64 f64,
    }

    fn deserialize_any<V: Visitor<'de>>(self, _: V) -> Result<V::Value, NoSample> {
        Err(NoSample)
    }

    fn deserialize_bool<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, NoSample> {
        visitor.visit_bool(self.next().is_multiple_of(2))
    }

    fn deserialize_char<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, NoSample> {
        visitor.visit_char(char::from(b'a' + (self.next() % 26) as u8))
    }

    fn deserialize_str<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, NoSample> {
        visitor.visit_string(self.text())
    }

    fn deserialize_string<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, NoSample> {
        visitor.visit_string(self.text())
    }

    fn deserialize_bytes<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, NoSample> {
        visitor.visit_byte_buf(self.text().into_bytes())
    }

    fn deserialize_byte_buf<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, NoSample> {
        visitor.visit_byte_buf(self.text().into_bytes())
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, NoSample> {
        match self.count(1) {
            0 => visitor.visit_none(),
            _ => self.nested(|samples| visitor.visit_some(samples)),
        }
    }

    fn deserialize_unit<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, NoSample> {
        visitor.visit_unit()
    }

    fn deserialize_unit_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        visitor: V,
    ) -> Result<V::Value, NoSample> {
        visitor.visit_unit()
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        visitor: V,
    ) -> Result<V::Value, NoSample> {
        self.nested(|samples| visitor.visit_newtype_struct(samples))
    }

    fn deserialize_seq<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, NoSample> {
        let left = self.count(MAX_ELEMENTS);
        visitor.visit_seq(Elements { samples: self, left })
    }

    fn deserialize_tuple<V: Visitor<'de>>(
        self,
        len: usize,
        visitor: V,
    ) -> Result<V::Value, NoSample> {
        visitor.visit_seq(Elements { samples: self, left: len })
    }

    fn deserialize_tuple_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        len: usize,
        visitor: V,
    ) -> Result<V::Value, NoSample> {
        visitor.visit_seq(Elements { samples: self, left: len })
    }

    fn deserialize_map<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, NoSample> {
        let left = self.count(MAX_ELEMENTS);
        visitor.visit_map(Elements { samples: self, left })
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, NoSample> {
        visitor.visit_seq(Elements { samples: self, left: fields.len() })
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, NoSample> {
        let count = u32::try_from(variants.len()).map_err(|_| NoSample)?;
        let index = match self.first.take() {
            Some(first) if first >= count => return Err(NoSample),
            Some(first) => first,
            None => (self.next() % u64::from(count)) as u32,
        };
        self.nested(|samples| visitor.visit_enum(Variant { samples, index }))
    }

    fn deserialize_identifier<V: Visitor<'de>>(self, _: V) -> Result<V::Value, NoSample> {
        Err(NoSample)
    }

    fn deserialize_ignored_any<V: Visitor<'de>>(self, _: V) -> Result<V::Value, NoSample> {
        Err(NoSample)
    }

    fn is_human_readable(&self) -> bool {
        false
    }
}
