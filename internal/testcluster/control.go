package testcluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// callTimeout limits the duration of one call of Get.
const callTimeout = time.Second

// controlClient calls administrative addresses, on a new connection each time.
var controlClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// StatusError is the error of Get for a response with a status other than 2xx.
type StatusError struct {
	URL    string // without its scheme
	Status int
}

func (e *StatusError) Error() string { return fmt.Sprintf("GET %s: status %d", e.URL, e.Status) }

// Get sends a GET request to an administrative address and decodes the JSON response into result, unless result is nil.
// For a status other than 2xx it returns a *StatusError.
func Get(ctx context.Context, address, path string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	response, err := controlClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		return &StatusError{address + path, response.StatusCode}
	}
	if result == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(result)
}
