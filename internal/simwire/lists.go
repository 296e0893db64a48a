package simwire

import (
	"fmt"

	"github.com/valyala/fastjson"

	"sloerail/policy"
)

// storeList decodes an endpoint list and stores it under its number, by which later messages refer to it.
func (d *Decoder) storeList(f *fields) error {
	number := f.listNumber(0)
	records := f.required(1, "records", fastjson.TypeArray)
	if f.err != nil {
		return f.err
	}
	// Allocate a new slice each time: instances still read the previous one.
	endpoints := make([]policy.Endpoint, 0, len(records.GetArray()))
	for i, record := range records.GetArray() {
		endpoint, err := d.endpoint(record)
		if err != nil {
			return fmt.Errorf("records[%d].%w", i, err)
		}
		endpoints = append(endpoints, endpoint)
	}
	d.lists[number] = storedList{endpoints: endpoints, present: true}
	return nil
}

// listNumber reads the number of a list, from 0 to maxLists-1.
func (f *fields) listNumber(i int) int {
	number := f.int(i, "buffer")
	if f.err == nil && (number < 0 || number >= maxLists) {
		f.fail("buffer", "want 0 to %d, got %d", maxLists-1, number)
		return 0
	}
	return number
}

// endpoint decodes a record of an endpoint list.
func (d *Decoder) endpoint(record *fastjson.Value) (policy.Endpoint, error) {
	if record.Type() != fastjson.TypeArray {
		return policy.Endpoint{}, &FieldError{"entry", "want an array, got " + record.Type().String()}
	}
	f := fields{values: record.GetArray(), decoder: d}
	endpoint := policy.Endpoint{StartedAt: f.optionalDuration(0, "onlineSince"), Weight: 1,
		Kind: f.optionalInternedText(3, "classOfHost"), Zone: f.optionalInternedText(4, "campus"), ID: f.internedText(6, "server")}
	state := f.internedText(1, "availability")
	availability, ok := availabilities[state]
	if !ok {
		f.fail("availability", "unknown state %q", state)
	}
	endpoint.Availability = availability
	if weight := f.optional(2, "weight", fastjson.TypeNumber); weight != nil {
		endpoint.Weight = weight.GetFloat64()
	}
	if cell := f.optional(5, "cluster", fastjson.TypeNumber); cell != nil {
		endpoint.Cell = cell.GetInt64()
	}
	return endpoint, f.err
}

// endpointList decodes the message that passes a stored list to an instance, or tells it that the list is unavailable.
func (d *Decoder) endpointList(f *fields) (policy.EndpointList, error) {
	word := f.internedText(1, "how")
	kind, ok := listKinds[word]
	if f.err == nil && !ok {
		f.fail("how", "unknown kind %q", word)
	}
	if f.err != nil || kind == policy.ListUnavailable {
		return policy.EndpointList{Kind: kind}, f.err
	}
	number := f.listNumber(3)
	if f.err == nil && !d.lists[number].present {
		f.fail("buffer", "list %d was never sent", number)
	}
	return policy.EndpointList{Kind: kind, Endpoints: d.lists[number].endpoints}, f.err
}
