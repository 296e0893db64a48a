package policy

import "math"

// fixedPoint is a number in units of 2^-40. Sums of fixedPoint values are exact: adding and later subtracting
// the same value leaves no rounding error.
type fixedPoint int64

const fixedUnit = 1 << 40

func toFixedPoint(v float64) fixedPoint { return fixedPoint(math.Round(v * fixedUnit)) }

func (f fixedPoint) float() float64 { return float64(f) / fixedUnit }
