package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"

	"egretroad/internal/admission"
	"egretroad/internal/home"
	"egretroad/internal/operator"
)

// kindStats holds the counters and the queue state of one kind of work on one
// server, as seen by the server's home (the proxy that schedules its work).
type kindStats struct {
	Server    string               `json:"server"`
	Counters  home.KindDump        `json:"counters"`
	Admission admission.KindStatus `json:"admission"`
	Share     float64              `json:"share"` // fraction of the server's used slot time
}

// printKindStats prints the kinds of work of the servers for which a proxy is home.
func (e *env) printKindStats(address string) error {
	var vars struct {
		Home struct {
			Servers []home.ServerDump `json:"servers"`
		} `json:"home"`
	}
	raw, err := fetchFromOperator(address, operator.PathMetrics)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, &vars); err != nil {
		return &OperatorAddressError{Address: address, Cause: err}
	}
	var stats []kindStats
	for _, s := range vars.Home.Servers {
		stats = append(stats, joinKindStats(s)...)
	}
	return e.printTable(stats, []string{
		"SERVER", "KIND", "RANK", "OFFERED", "ADMITTED", "REFUSED", "WAITING", "OLDEST", "RUNNING",
		"SHARE", "FLOOR", "WAIT P99", "P50", "P99",
	}, kindRows(stats))
}

// joinKindStats joins a server's counters with its queue state by kind of work.
func joinKindStats(s home.ServerDump) []kindStats {
	counters := map[string]home.KindDump{}
	for _, k := range s.Kinds {
		counters[k.Kind] = k
	}
	totalSlotSeconds := 0.0
	for _, k := range s.Admission.Kinds {
		totalSlotSeconds += k.SlotSeconds
	}
	var stats []kindStats
	for _, k := range s.Admission.Kinds {
		kind := kindStats{Server: s.Server, Counters: counters[k.Kind], Admission: k}
		if totalSlotSeconds > 0 {
			kind.Share = k.SlotSeconds / totalSlotSeconds
		}
		stats = append(stats, kind)
	}
	return stats
}

func kindRows(stats []kindStats) [][]string {
	formatMillis := func(ms float64) string { return fmt.Sprintf("%.1fms", ms) }
	formatPercent := func(share float64) string { return fmt.Sprintf("%.0f%%", 100*share) }
	rows := make([][]string, 0, len(stats))
	for _, kind := range stats {
		counters, queue := kind.Counters, kind.Admission
		rows = append(rows, []string{
			kind.Server, queue.Kind, strconv.Itoa(int(queue.Rank)), strconv.FormatUint(counters.Offered, 10), strconv.FormatUint(counters.Admitted, 10),
			formatRefusals(counters), strconv.Itoa(queue.Waiting), formatMillis(float64(queue.OldestMS)), strconv.Itoa(queue.Running),
			formatPercent(kind.Share), formatPercent(queue.Floor), formatMillis(counters.WaitP99), formatMillis(counters.P50), formatMillis(counters.P99),
		})
	}
	return rows
}

// formatRefusals formats the number of refused transactions by cause.
func formatRefusals(c home.KindDump) string {
	var parts []string
	for reason, n := range c.Refused {
		parts = append(parts, fmt.Sprintf("%s=%d", reason, n))
	}
	sort.Strings(parts)
	if len(parts) == 0 {
		return "0"
	}
	return strings.Join(parts, " ")
}

// fetchFromOperator returns the body of a GET request to an operator address.
func fetchFromOperator(address, path string) ([]byte, error) {
	client := http.Client{Timeout: operatorTimeout}
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return nil, &OperatorAddressError{Address: address, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }() // nothing was written to it
	if resp.StatusCode != http.StatusOK {
		return nil, &OperatorAddressError{Address: address, Status: resp.StatusCode}
	}
	var body bytes.Buffer
	if _, err := io.Copy(&body, resp.Body); err != nil {
		return nil, &OperatorAddressError{Address: address, Cause: err}
	}
	return body.Bytes(), nil
}
