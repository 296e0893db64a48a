package simwire

import (
	"fmt"
	"math"
	"time"

	"github.com/valyala/fastjson"
)

// maxMilliseconds is the maximum duration accepted, about 146 years: half the maximum of time.Duration, so that the sum of
// two durations doesn't overflow.
const maxMilliseconds = math.MaxInt64 / 2e6

// fields reads the values of a message by position, and records the first error in err.
// Its methods return the zero value if the value is absent, null or invalid. An absent or null value is an error,
// except for loadReport and the methods whose names begin with optional.
type fields struct {
	values  []*fastjson.Value
	decoder *Decoder
	err     error
}

// fail records an error for a field unless there is an earlier one.
func (f *fields) fail(field, format string, args ...any) {
	if f.err == nil {
		f.err = &FieldError{field, fmt.Sprintf(format, args...)}
	}
}

// optional returns the value at position i, or nil if it is absent, null or of another type. Another type is an error.
func (f *fields) optional(i int, field string, want fastjson.Type) *fastjson.Value {
	if i >= len(f.values) || f.values[i].Type() == fastjson.TypeNull {
		return nil
	}
	value := f.values[i]
	if value.Type() != want {
		f.fail(field, "want %s, got %s", want, value.Type())
		return nil
	}
	return value
}

// required is like optional, but an absent or null value is an error.
func (f *fields) required(i int, field string, want fastjson.Type) *fastjson.Value {
	value := f.optional(i, field, want)
	if value == nil {
		f.fail(field, "missing")
	}
	return value
}

func (f *fields) text(i int, field string) string {
	return textOf(f.required(i, field, fastjson.TypeString))
}

func (f *fields) optionalText(i int, field string) string {
	return textOf(f.optional(i, field, fastjson.TypeString))
}

// textOf returns the text of a string value, or "" for nil.
func textOf(value *fastjson.Value) string {
	if value == nil {
		return ""
	}
	return string(value.GetStringBytes())
}

// internedText reads a string that occurs repeatedly, without allocating a copy for each occurrence.
func (f *fields) internedText(i int, field string) string {
	return f.decoder.intern(f.required(i, field, fastjson.TypeString))
}

func (f *fields) optionalInternedText(i int, field string) string {
	return f.decoder.intern(f.optional(i, field, fastjson.TypeString))
}

func (f *fields) int(i int, field string) int {
	value := f.required(i, field, fastjson.TypeNumber)
	if value == nil {
		return 0
	}
	number, err := value.Int()
	if err != nil {
		f.fail(field, "want a whole number, got %s", value)
	}
	return number
}

func (f *fields) uint(i int, field string) uint64 {
	value := f.required(i, field, fastjson.TypeNumber)
	if value == nil {
		return 0
	}
	number, err := value.Uint64()
	if err != nil {
		f.fail(field, "want a whole number of 0 or more, got %s", value)
	}
	return number
}

func (f *fields) optionalBool(i int, field string) bool {
	if i >= len(f.values) {
		return false
	}
	switch f.values[i].Type() {
	case fastjson.TypeTrue:
		return true
	case fastjson.TypeFalse, fastjson.TypeNull:
		return false
	}
	f.fail(field, "want a bool, got %s", f.values[i].Type())
	return false
}

// duration reads a duration in milliseconds.
func (f *fields) duration(i int, field string) time.Duration {
	return f.durationOf(f.required(i, field, fastjson.TypeNumber), field)
}

func (f *fields) optionalDuration(i int, field string) time.Duration {
	return f.durationOf(f.optional(i, field, fastjson.TypeNumber), field)
}

func (f *fields) durationOf(value *fastjson.Value, field string) time.Duration {
	if value == nil {
		return 0
	}
	milliseconds := value.GetFloat64()
	if math.IsNaN(milliseconds) || math.Abs(milliseconds) > maxMilliseconds {
		f.fail(field, "out of range: %s", value)
		return 0
	}
	return fromMilliseconds(milliseconds)
}

// fromMilliseconds converts milliseconds to a duration, rounded to microseconds, the resolution of the protocol.
func fromMilliseconds(milliseconds float64) time.Duration {
	return time.Duration(math.Round(milliseconds*1e3)) * time.Microsecond
}

// loadReport reads a server's load report: a number for each of the settings' ReportFields, NaN for null. It returns nil if
// the report is absent, null or not an array.
func (f *fields) loadReport(i int) []float64 {
	value := f.optional(i, "metrics", fastjson.TypeArray)
	if value == nil {
		return nil
	}
	report := make([]float64, 0, len(value.GetArray()))
	for _, element := range value.GetArray() {
		number := math.NaN()
		if element.Type() == fastjson.TypeNumber {
			number = element.GetFloat64()
		} else if element.Type() != fastjson.TypeNull {
			f.fail("metrics", "want numbers, got %s", element.Type())
		}
		report = append(report, number)
	}
	return report
}
