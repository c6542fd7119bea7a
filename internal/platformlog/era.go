package platformlog

// OffsetsPerEra is the number of offsets of an era. A power of ten shows both the era and
// the offset within it in a decimal offset.
//
// A log that comes back from an older copy of itself gives out again the offsets after
// that copy. It then starts a new era, and its clients number the records of era e from
// e*OffsetsPerEra+FirstOffset. So an offset never stands for two records, and whatever
// is remembered by an offset, on any node, compares rightly with what came later. A log
// that never loses records stays in era 0.
const OffsetsPerEra = int64(1_000_000_000_000)

// OffsetInEra returns the offset of a record by its era and its number there.
func OffsetInEra(era, number int64) int64 { return era*OffsetsPerEra + number }

// EraOf returns the era of an offset.
func EraOf(offset int64) int64 { return offset / OffsetsPerEra }

// NumberInEra returns the number of a record within the era of its offset.
func NumberInEra(offset int64) int64 { return offset % OffsetsPerEra }
