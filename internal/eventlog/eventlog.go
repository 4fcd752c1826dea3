// Package eventlog builds hclog loggers that write one line of key=value pairs per event:
// time, level, component and event, followed by the event's fields. Async decouples the
// process from a slow reader of its log; Bound rate-limits the lines of each event.
package eventlog

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// New returns a logger that writes events of the given level and above to w, with
// fields added to each. The message of each logging call is the event's name.
func New(w io.Writer, level hclog.Level, fields ...any) hclog.Logger {
	return NewBounded(w, level, nil, fields...)
}

// NewBounded is New with a rate limit on the lines of each event. A nil bound means no
// limit.
func NewBounded(w io.Writer, level hclog.Level, bound *Bound, fields ...any) hclog.Logger {
	l := hclog.NewInterceptLogger(&hclog.LoggerOptions{Output: io.Discard, Level: hclog.Off})
	l.RegisterSink(&sink{w: w, level: level, bound: bound})
	return l.With(fields...)
}

// Discard returns a logger that writes nothing.
func Discard() hclog.Logger { return hclog.NewNullLogger() }

// timeFormat is the format of the time field, in UTC.
const timeFormat = "2006-01-02T15:04:05.000Z"

// sink formats and writes events. It implements hclog.SinkAdapter.
type sink struct {
	mu    sync.Mutex // guards w
	w     io.Writer
	level hclog.Level
	bound *Bound // may be nil
}

// Accept implements hclog.SinkAdapter.
func (s *sink) Accept(name string, level hclog.Level, msg string, args ...any) {
	if level < s.level {
		return
	}
	if s.bound != nil {
		allowed, suppressed := s.bound.allow(msg)
		if !allowed {
			return
		}
		for event, count := range suppressed {
			s.write("", hclog.Warn, eventLinesSuppressed, "of", event, "count", count)
		}
	}
	s.write(name, level, msg, args...)
}

// eventLinesSuppressed is the event that reports how many lines of another event were
// suppressed by the rate limit.
const eventLinesSuppressed = "log_lines_left_out"

func (s *sink) write(name string, level hclog.Level, msg string, args ...any) {
	var b strings.Builder
	b.WriteString("time=")
	b.WriteString(time.Now().UTC().Format(timeFormat))
	writePair(&b, "level", level.String())
	if name != "" {
		writePair(&b, "component", name)
	}
	writePair(&b, "event", msg)
	for i := 0; i+1 < len(args); i += 2 {
		writePair(&b, fmt.Sprint(args[i]), args[i+1])
	}
	b.WriteByte('\n')
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = io.WriteString(s.w, b.String())
}

func writePair(b *strings.Builder, key string, value any) {
	b.WriteByte(' ')
	b.WriteString(key)
	b.WriteByte('=')
	text := fmt.Sprint(value)
	if needsQuotes(text) {
		text = strconv.Quote(text)
	}
	b.WriteString(text)
}

// needsQuotes reports whether a value must be quoted to be unambiguous in a line.
func needsQuotes(s string) bool {
	if s == "" {
		return true
	}
	for _, r := range s {
		if r <= ' ' || r == '"' || r == '=' || r == 0x7f || r == '\u2028' {
			return true
		}
	}
	return false
}
