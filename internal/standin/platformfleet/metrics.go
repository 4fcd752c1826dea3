package platformfleet

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// metricWatchAge is the time in seconds since the store last answered a watch that serves the
// VM, or since the start of the process.
const metricWatchAge = "egretroad_control_watch_age_seconds"

// MissingMetricError reports that a VM serves no metric of a name.
type MissingMetricError struct{ Name string }

func (e *MissingMetricError) Error() string { return "no metric " + e.Name }

// statusPath requests a path of the VM's status port.
func (v *VM) statusPath(ctx context.Context, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.address(statusPort)+path, nil)
	if err != nil {
		return nil, &VMError{VM: v.Name, Cause: err}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, &VMError{VM: v.Name, Cause: err}
	}
	return response, nil
}

// Watcher returns the name of the VM that this one holds for the first of its data centre to
// watch the store, to which other data centres send updates.
func (v *VM) Watcher(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	response, err := v.statusPath(ctx, "/dump")
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }() // it was read
	var dump struct {
		Control struct {
			Watcher string `json:"watcher"`
		} `json:"control"`
	}
	if err := json.NewDecoder(response.Body).Decode(&dump); err != nil {
		return "", &VMError{VM: v.Name, Cause: err}
	}
	return dump.Control.Watcher, nil
}

// WatchAge returns how long ago the store last answered a watch that serves the VM.
func (v *VM) WatchAge(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	response, err := v.statusPath(ctx, "/metrics")
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }() // it was read
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		value, found := strings.CutPrefix(lines.Text(), metricWatchAge+" ")
		if !found {
			continue
		}
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0, &VMError{VM: v.Name, Cause: err}
		}
		return time.Duration(seconds * float64(time.Second)), nil
	}
	return 0, &VMError{VM: v.Name, Cause: &MissingMetricError{Name: metricWatchAge}}
}
