package testcluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// callTimeout bounds a call of Get.
const callTimeout = time.Second

var controlClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// StatusError is a call that was answered with a status other than 2xx.
type StatusError struct {
	URL    string // without its scheme
	Status int
}

func (e *StatusError) Error() string { return fmt.Sprintf("%s answered %d", e.URL, e.Status) }

// Get calls an administrative address. A JSON response is decoded into result, unless that is nil. A status other than
// 2xx is a *StatusError.
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
