package platformfleet

import (
	"bufio"
	"context"
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

// WatchAge returns how long ago the store last answered a watch that serves the VM.
func (v *VM) WatchAge(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.address(statusPort)+"/metrics", nil)
	if err != nil {
		return 0, &VMError{VM: v.Name, Cause: err}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, &VMError{VM: v.Name, Cause: err}
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
