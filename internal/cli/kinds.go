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

// kindLine is what one home knows of one kind of work on one server.
type kindLine struct {
	Server    string               `json:"server"`
	Counters  home.KindDump        `json:"counters"`
	Admission admission.KindStatus `json:"admission"`
	Share     float64              `json:"share"` // of the server's used slot time
}

// printKinds prints the kinds of work of the servers that a proxy is home of.
func (e *env) printKinds(address string) error {
	var vars struct {
		Home struct {
			Servers []home.ServerDump `json:"servers"`
		} `json:"home"`
	}
	raw, err := fetch(address, operator.PathMetrics)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, &vars); err != nil {
		return &OperatorError{Address: address, Cause: err}
	}
	var lines []kindLine
	for _, s := range vars.Home.Servers {
		lines = append(lines, kindLines(s)...)
	}
	return e.printTable(lines, []string{
		"SERVER", "KIND", "RANK", "OFFERED", "ADMITTED", "REFUSED", "WAITING", "OLDEST", "RUNNING",
		"SHARE", "FLOOR", "WAIT P99", "P50", "P99",
	}, kindRows(lines))
}

// kindLines joins a server's counters with the state of its queue.
func kindLines(s home.ServerDump) []kindLine {
	counters := map[string]home.KindDump{}
	for _, k := range s.Kinds {
		counters[k.Kind] = k
	}
	used := 0.0
	for _, k := range s.Admission.Kinds {
		used += k.SlotSeconds
	}
	var lines []kindLine
	for _, k := range s.Admission.Kinds {
		line := kindLine{Server: s.Server, Counters: counters[k.Kind], Admission: k}
		if used > 0 {
			line.Share = k.SlotSeconds / used
		}
		lines = append(lines, line)
	}
	return lines
}

func kindRows(lines []kindLine) [][]string {
	millis := func(ms float64) string { return fmt.Sprintf("%.1fms", ms) }
	percent := func(share float64) string { return fmt.Sprintf("%.0f%%", 100*share) }
	rows := make([][]string, 0, len(lines))
	for _, l := range lines {
		c, a := l.Counters, l.Admission
		rows = append(rows, []string{
			l.Server, a.Kind, strconv.Itoa(int(a.Rank)), strconv.FormatUint(c.Offered, 10), strconv.FormatUint(c.Admitted, 10),
			refusals(c), strconv.Itoa(a.Waiting), millis(float64(a.OldestMS)), strconv.Itoa(a.Running),
			percent(l.Share), percent(a.Floor), millis(c.WaitP99), millis(c.P50), millis(c.P99),
		})
	}
	return rows
}

// refusals lists the refusals by cause.
func refusals(c home.KindDump) string {
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

// fetch reads an answer of an operator address.
func fetch(address, path string) ([]byte, error) {
	client := http.Client{Timeout: operatorTimeout}
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return nil, &OperatorError{Address: address, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }() // only read from
	if resp.StatusCode != http.StatusOK {
		return nil, &OperatorError{Address: address, Status: resp.StatusCode}
	}
	var body bytes.Buffer
	if _, err := io.Copy(&body, resp.Body); err != nil {
		return nil, &OperatorError{Address: address, Cause: err}
	}
	return body.Bytes(), nil
}
