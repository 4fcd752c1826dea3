package pgserver

import (
	"maps"
	"strconv"
	"strings"
	"time"
)

const (
	settingReadOnly         = "default_transaction_read_only"
	settingStatementTimeout = "statement_timeout"
	settingIdleInTxn        = "idle_in_transaction_session_timeout"
)

// defaultSettings are the settings that clients may show and set, lowered.
var defaultSettings = map[string]string{
	"application_name":              "",
	"bytea_output":                  "hex",
	"client_encoding":               "UTF8",
	"client_min_messages":           "notice",
	"datestyle":                     "ISO, MDY",
	"default_transaction_isolation": "read committed",
	settingReadOnly:                 "off",
	"extra_float_digits":            "1",
	settingIdleInTxn:                "0",
	"idle_session_timeout":          "0",
	"in_hot_standby":                "off",
	"integer_datetimes":             "on",
	"intervalstyle":                 "postgres",
	"lock_timeout":                  "0",
	"max_identifier_length":         "63",
	"search_path":                   `"$user", public`,
	"server_encoding":               "UTF8",
	"server_version":                "16.4",
	"server_version_num":            "160004",
	"session_authorization":         "standin",
	"standard_conforming_strings":   "on",
	settingStatementTimeout:         "0",
	"synchronous_commit":            "on",
	"tcp_keepalives_idle":           "0",
	"tcp_keepalives_interval":       "0",
	"tcp_keepalives_count":          "0",
	"tcp_user_timeout":              "0",
	"timezone":                      "UTC",
	"transaction_isolation":         "read committed",
	"transaction_read_only":         "off",
}

// reportedSettings are sent to the client as ParameterStatus, by lowered name.
var reportedSettings = map[string]string{
	"application_name":            "application_name",
	"client_encoding":             "client_encoding",
	"datestyle":                   "DateStyle",
	settingReadOnly:               settingReadOnly,
	"in_hot_standby":              "in_hot_standby",
	"integer_datetimes":           "integer_datetimes",
	"intervalstyle":               "IntervalStyle",
	"server_encoding":             "server_encoding",
	"server_version":              "server_version",
	"session_authorization":       "session_authorization",
	"standard_conforming_strings": "standard_conforming_strings",
	"timezone":                    "TimeZone",
}

var fixedSettings = map[string]bool{
	"in_hot_standby": true, "integer_datetimes": true, "max_identifier_length": true, "server_encoding": true,
	"server_version": true, "server_version_num": true, "session_authorization": true,
}

// settings are one session's settings with the rules of SET, SET LOCAL and
// rollback.
type settings struct {
	startup map[string]string // values that RESET returns to
	session map[string]string
	saved   map[string]string // session as of the transaction's first SET
	local   map[string]string // SET LOCAL of the transaction
}

func newSettings() *settings {
	return &settings{startup: map[string]string{}, session: map[string]string{}}
}

func (s *settings) get(name string) (string, error) {
	for _, m := range []map[string]string{s.local, s.session, s.startup, defaultSettings} {
		if v, ok := m[name]; ok {
			return v, nil
		}
	}
	return "", unknownSetting(name)
}

func unknownSetting(name string) error {
	return &sqlError{code: codeUnknownSetting, message: "unrecognized configuration parameter " + strconv.Quote(name)}
}

// check refuses unknown and read-only settings and values of a wrong form.
func (s *settings) check(name, value string) error {
	_, known := defaultSettings[name]
	if !known && !strings.Contains(name, ".") {
		return unknownSetting(name)
	}
	if fixedSettings[name] {
		return &sqlError{code: "55P02", message: "parameter " + strconv.Quote(name) + " cannot be changed"}
	}
	if strings.HasSuffix(name, "_timeout") {
		if _, err := parseTimeout(value); err != nil {
			return err
		}
	}
	return nil
}

// set changes a setting for the session, or for the open transaction.
func (s *settings) set(name, value string, local, inTxn bool) error {
	if err := s.check(name, value); err != nil {
		return err
	}
	if local {
		if inTxn {
			s.setLocal(name, value)
		}
		return nil
	}
	s.save(inTxn)
	s.session[name] = value
	delete(s.local, name)
	return nil
}

func (s *settings) setLocal(name, value string) {
	if s.local == nil {
		s.local = map[string]string{}
	}
	s.local[name] = value
}

func (s *settings) save(inTxn bool) {
	if inTxn && s.saved == nil {
		s.saved = maps.Clone(s.session)
	}
}

func (s *settings) reset(name string, inTxn bool) error {
	if _, err := s.get(name); err != nil {
		return err
	}
	s.save(inTxn)
	delete(s.session, name)
	return nil
}

func (s *settings) resetAll(inTxn bool) {
	s.save(inTxn)
	s.session = map[string]string{}
}

// end applies the end of a transaction.
func (s *settings) end(committed bool) {
	if !committed && s.saved != nil {
		s.session = s.saved
	}
	s.saved = nil
	s.local = nil
}

// timeout returns a setting in milliseconds as a duration; 0 means none.
func (s *settings) timeout(name string) time.Duration {
	value, _ := s.get(name)
	if value == "0" {
		return 0
	}
	d, _ := parseTimeout(value)
	return d
}

func parseTimeout(value string) (time.Duration, error) {
	value = strings.ReplaceAll(value, " ", "")
	if ms, err := strconv.ParseInt(value, 10, 64); err == nil && ms >= 0 {
		return time.Duration(ms) * time.Millisecond, nil
	}
	if d, err := time.ParseDuration(strings.Replace(value, "min", "m", 1)); err == nil && d >= 0 {
		return d, nil
	}
	return 0, &sqlError{code: codeInvalidValue, message: "invalid value for parameter: " + strconv.Quote(value)}
}

func isOn(value string) bool {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1":
		return true
	}
	return false
}
