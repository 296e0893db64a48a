package simwire

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/valyala/fastjson"
)

// object reads the keys of a JSON object, and records the first error in err. Unknown keys are ignored, and an absent or
// null key gives the zero value.
type object struct {
	value *fastjson.Value
	path  string // path of the object within the settings, with a trailing dot
	err   *error
}

// get returns the value of a key, or nil if it is absent, null or of none of the wanted types. Another type is an error.
func (o object) get(key string, want ...fastjson.Type) *fastjson.Value {
	value := o.value.Get(key)
	if value == nil || value.Type() == fastjson.TypeNull {
		return nil
	}
	if !slices.Contains(want, value.Type()) {
		o.fail(key, "want %s, got %s", want[0], value.Type())
		return nil
	}
	return value
}

// fail records an error for a key unless there is an earlier one.
func (o object) fail(key, format string, args ...any) {
	if *o.err == nil {
		*o.err = &FieldError{o.path + key, fmt.Sprintf(format, args...)}
	}
}

// object returns the object under a key. It is empty if the key is absent.
func (o object) object(key string) object {
	return object{value: o.get(key, fastjson.TypeObject), path: o.path + key + ".", err: o.err}
}

// forEach calls read for each object of an array. It stops with an error at the first element that is not an object.
func (o object) forEach(key string, read func(object)) {
	value := o.get(key, fastjson.TypeArray)
	if value == nil {
		return
	}
	for i, element := range value.GetArray() {
		path := fmt.Sprintf("%s[%d]", key, i)
		if element.Type() != fastjson.TypeObject {
			o.fail(path, "want object, got %s", element.Type())
			return
		}
		read(object{value: element, path: o.path + path + ".", err: o.err})
	}
}

func (o object) number(key string) float64 {
	if value := o.get(key, fastjson.TypeNumber); value != nil {
		return value.GetFloat64()
	}
	return 0
}

// integer reads a whole number within the range of an int32.
func (o object) integer(key string) int {
	number := o.number(key)
	if number != math.Trunc(number) || math.Abs(number) > math.MaxInt32 {
		o.fail(key, "want a whole number")
		return 0
	}
	return int(number)
}

// duration reads a duration in milliseconds.
func (o object) duration(key string) time.Duration {
	milliseconds := o.number(key)
	if math.Abs(milliseconds) > maxMilliseconds {
		o.fail(key, "out of range")
		return 0
	}
	return fromMilliseconds(milliseconds)
}

func (o object) text(key string) string { return textOf(o.get(key, fastjson.TypeString)) }

// texts reads an array of strings.
func (o object) texts(key string) []string {
	value := o.get(key, fastjson.TypeArray)
	if value == nil {
		return nil
	}
	var texts []string
	for i, element := range value.GetArray() {
		if element.Type() != fastjson.TypeString {
			o.fail(fmt.Sprintf("%s[%d]", key, i), "want string, got %s", element.Type())
			return nil
		}
		texts = append(texts, textOf(element))
	}
	return texts
}

func (o object) bool(key string) bool {
	value := o.get(key, fastjson.TypeTrue, fastjson.TypeFalse)
	return value != nil && value.Type() == fastjson.TypeTrue
}

// enum reads a string and returns its value in a table, where the empty string stands for an absent key.
func enum[T any](o object, key string, table map[string]T) T {
	text := o.text(key)
	constant, ok := table[text]
	if !ok {
		o.fail(key, "unknown word %q", text)
	}
	return constant
}
