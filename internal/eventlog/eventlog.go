// Package eventlog builds hclog loggers that write one line of key=value pairs
// for each event: time, level, component, event, then the event's own fields.
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

// New returns a logger that writes events of the given level and above to w.
// The message of each call is the event's name.
func New(w io.Writer, level hclog.Level, fields ...any) hclog.Logger {
	return NewBounded(w, level, nil, fields...)
}

// NewBounded is New with a bound on the lines of each event; nil: none.
func NewBounded(w io.Writer, level hclog.Level, bound *Bound, fields ...any) hclog.Logger {
	l := hclog.NewInterceptLogger(&hclog.LoggerOptions{Output: io.Discard, Level: hclog.Off})
	l.RegisterSink(&sink{w: w, level: level, bound: bound})
	return l.With(fields...)
}

// Discard returns a logger that writes nothing.
func Discard() hclog.Logger { return hclog.NewNullLogger() }

// timeFormat is that of the field time, in UTC.
const timeFormat = "2006-01-02T15:04:05.000Z"

// sink formats events; it implements hclog.SinkAdapter.
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
		allowed, leftOut := s.bound.allow(msg)
		if !allowed {
			return
		}
		for event, count := range leftOut {
			s.write("", hclog.Warn, eventLeftOut, "of", event, "count", count)
		}
	}
	s.write(name, level, msg, args...)
}

// eventLeftOut tells how many lines of an event were left out.
const eventLeftOut = "log_lines_left_out"

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

// needsQuotes reports whether a value would be ambiguous in a key=value line.
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
