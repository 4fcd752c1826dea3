// Package config reads the settings of one proxy process: JSON with comments,
// unknown fields refused, every value checked before the process starts.
package config

import (
	"fmt"
	"time"
)

// Duration is a time span, written as a string with a unit such as "200ms".
type Duration time.Duration

// D converts to a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return &DurationError{Text: string(text)}
	}
	*d = Duration(v)
	return nil
}

// DurationError reports a time span without a valid number and unit.
type DurationError struct{ Text string }

func (e *DurationError) Error() string {
	return fmt.Sprintf("%.40q is not a time span; write a number with a unit, such as \"200ms\" or \"5s\"", e.Text)
}

// Settings are the settings of one proxy.
type Settings struct {
	VM       VM       `json:"vm"`
	Callers  Callers  `json:"callers"`
	Peers    Peers    `json:"peers"`
	Platform Platform `json:"platform"`
	Servers  Servers  `json:"servers"`
	Operator Operator `json:"operator"`
	Log      Log      `json:"log"`
	Shutdown Shutdown `json:"shutdown"`
}

// VM says where the process runs.
type VM struct {
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	Address    string `json:"address"` // IP; source of all outgoing connections
}

// Callers configures the PostgreSQL listener.
type Callers struct {
	Listen         string `json:"listen"`    // IP:port
	Advertise      string `json:"advertise"` // IP:port that the platform's list gives; default: listen
	TLS            TLS    `json:"tls"`
	Users          []User `json:"users"`          // empty: any user without a password
	MaxConnections int    `json:"maxConnections"` // callers' connections
	MaxMessage     int    `json:"maxMessageBytes"`
}

// User is a caller that authenticates by SCRAM-SHA-256.
type User struct {
	Name     string `json:"name"`
	Password string `json:"password"`
}

// TLS names PEM files; all empty: no TLS.
type TLS struct {
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	CAFile   string `json:"caFile"` // peers only: checks the other side
}

// Set reports whether TLS is configured.
func (t TLS) Set() bool { return t.CertFile != "" || t.KeyFile != "" || t.CAFile != "" }

// Peers configures the listener for other proxies.
type Peers struct {
	Listen    string   `json:"listen"`    // IP:port
	Advertise string   `json:"advertise"` // IP:port that the platform's list gives; default: listen
	FleetKey  string   `json:"fleetKey"`  // shared by all proxies
	Seeds     []string `json:"seeds"`     // IP:port of proxies to ask when the platform is down at start
	TLS       TLS      `json:"tls"`
}

// Platform configures the client of the object API.
type Platform struct {
	URL            string   `json:"url"`
	Timeout        Duration `json:"timeout"` // of one call
	CallsPerSecond float64  `json:"callsPerSecond"`
}

// Servers configures connections to backend servers.
type Servers struct {
	User     string `json:"user"`
	Password string `json:"password"`
}

// Operator configures the HTTP listener for metrics and state dumps.
type Operator struct {
	Listen string `json:"listen"` // IP:port; loopback unless set otherwise
}

// Log configures the event log.
type Log struct {
	Level string `json:"level"` // trace, debug, info, warn or error
}

// Shutdown configures a graceful stop.
type Shutdown struct {
	DrainTimeout Duration `json:"drainTimeout"` // requests in progress end within it
}

// Defaults returns the settings that hold where a file says nothing.
func Defaults() Settings {
	return Settings{
		Callers:  Callers{MaxConnections: 10_000, MaxMessage: 16 << 20},
		Platform: Platform{Timeout: Duration(2 * time.Second), CallsPerSecond: 20},
		Servers:  Servers{User: "egretroad"},
		Operator: Operator{Listen: "127.0.0.1:0"},
		Log:      Log{Level: "info"},
		Shutdown: Shutdown{DrainTimeout: Duration(30 * time.Second)},
	}
}
