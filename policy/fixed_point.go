package policy

import "math"

// fixedPoint is a number in units of 2^-40. Sums of such numbers are exact: adding and later subtracting
// the same number leaves no rounding error behind.
type fixedPoint int64

const fixedUnit = 1 << 40

func toFixedPoint(v float64) fixedPoint { return fixedPoint(math.Round(v * fixedUnit)) }

func (f fixedPoint) float() float64 { return float64(f) / fixedUnit }
