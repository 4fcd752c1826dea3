package pgserver

import (
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

type kind int

const (
	kindEmpty kind = iota
	kindSelectValue
	kindSelectAll
	kindCount
	kindInsert
	kindUpsert
	kindUpsertExcluded
	kindUpdate
	kindDelete
	kindSleep
	kindBegin
	kindCommit
	kindRollback
	kindShow
	kindSet
	kindSetTransaction
	kindReset
	kindResetAll
	kindDiscardAll
	kindDeallocate
	kindDeallocateAll
	kindStatus
	kindFence
	kindPromote
	kindFollow
	kindXactID
	kindXactStatus
)

// operand is a literal, or a parameter when param is positive.
type operand struct {
	param   int
	literal string
}

// statement is one parsed statement.
type statement struct {
	kind     kind
	sql      string
	operands []operand
	name     string // setting or prepared statement
	local    bool   // SET LOCAL
	modes    []transactionMode
	params   []uint32 // type OIDs of the parameters
}

type transactionMode string

const (
	modeReadOnly  transactionMode = "read only"
	modeReadWrite transactionMode = "read write"
)

// pattern is a statement of fixed form; ? stands for an operand, @ for a name.
type pattern struct {
	kind  kind
	words []string
	oids  []uint32 // types of the operands; text when shorter
}

func newPattern(k kind, text string, oids ...uint32) pattern {
	return pattern{kind: k, words: strings.Fields(text), oids: oids}
}

const insertText = "insert into kv ( key , value ) values ( ? , ? )"

var patterns = []pattern{
	newPattern(kindSelectValue, "select value from kv where key = ?"),
	newPattern(kindSelectAll, "select key , value from kv order by key"),
	newPattern(kindCount, "select count ( * ) from kv"),
	newPattern(kindInsert, insertText),
	newPattern(kindUpsert, insertText+" on conflict ( key ) do update set value = ?"),
	newPattern(kindUpsertExcluded, insertText+" on conflict ( key ) do update set value = excluded . value"),
	newPattern(kindUpdate, "update kv set value = ? where key = ?"),
	newPattern(kindDelete, "delete from kv where key = ?"),
	newPattern(kindSleep, "select pg_sleep ( ? )", pgtype.Float8OID),
	newPattern(kindCommit, "commit"),
	newPattern(kindCommit, "commit work"),
	newPattern(kindCommit, "commit transaction"),
	newPattern(kindCommit, "end"),
	newPattern(kindCommit, "end transaction"),
	newPattern(kindRollback, "rollback"),
	newPattern(kindRollback, "rollback work"),
	newPattern(kindRollback, "rollback transaction"),
	newPattern(kindRollback, "abort"),
	newPattern(kindShow, "show transaction isolation level"),
	newPattern(kindShow, "show @"),
	newPattern(kindResetAll, "reset all"),
	newPattern(kindReset, "reset @"),
	newPattern(kindDiscardAll, "discard all"),
	newPattern(kindDeallocateAll, "deallocate all"),
	newPattern(kindDeallocateAll, "deallocate prepare all"),
	newPattern(kindDeallocate, "deallocate prepare @"),
	newPattern(kindDeallocate, "deallocate @"),
	newPattern(kindStatus, "select term , fence , role , position , lag_ms , slots , max_connections from group_status ( )"),
	newPattern(kindFence, "select group_fence ( ? )", pgtype.Int8OID),
	newPattern(kindPromote, "select group_promote ( ? )", pgtype.Int8OID),
	newPattern(kindFollow, "select group_follow ( ? , ? )", pgtype.Int8OID, pgtype.TextOID),
	newPattern(kindXactID, "select pg_current_xact_id ( )"),
	newPattern(kindXactStatus, "select pg_xact_status ( ? )", pgtype.TextOID),
}

// parseAll parses a simple query, which may hold several statements. An empty
// query yields none.
func parseAll(sql string) ([]*statement, error) {
	tokens, err := lex(sql)
	if err != nil {
		return nil, err
	}
	var all []*statement
	start := 0
	for len(tokens) > 0 {
		end := 0
		for end < len(tokens) && !tokens[end].is(";") {
			end++
		}
		if end > 0 {
			st, err := parseOne(tokens[:end])
			if err != nil {
				return nil, err
			}
			st.sql = strings.TrimSpace(sql[start:tokens[end-1].end])
			all = append(all, st)
		}
		if end < len(tokens) {
			start = tokens[end].end
			end++
		}
		tokens = tokens[end:]
	}
	return all, nil
}

// parseSingle parses the statement of a Parse message.
func parseSingle(sql string) (*statement, error) {
	all, err := parseAll(sql)
	if err != nil {
		return nil, err
	}
	switch len(all) {
	case 0:
		return &statement{kind: kindEmpty, sql: sql}, nil
	case 1:
		return all[0], nil
	}
	return nil, syntaxError("cannot insert multiple commands into a prepared statement")
}

func parseOne(tokens []token) (*statement, error) {
	for _, p := range patterns {
		if st := p.match(tokens); st != nil {
			return st, nil
		}
	}
	if st, ok := parseBegin(tokens); ok {
		return st, nil
	}
	if st, ok := parseSet(tokens); ok {
		return st, nil
	}
	return nil, syntaxError("at or near " + strconv.Quote(tokens[0].text))
}

// match returns the statement when the tokens have the pattern's form.
func (p pattern) match(tokens []token) *statement {
	st := &statement{kind: p.kind}
	for _, w := range p.words {
		if len(tokens) == 0 {
			return nil
		}
		t := tokens[0]
		used := 1
		switch w {
		case "?":
			if !st.addOperand(t, p.oids) {
				return nil
			}
		case "@":
			if t.kind != tokenWord {
				return nil
			}
			st.name, used = dottedName(tokens)
		default:
			if t.text != w || t.kind != tokenWord && t.kind != tokenPunct {
				return nil
			}
		}
		tokens = tokens[used:]
	}
	if len(tokens) > 0 {
		return nil
	}
	if p.kind == kindShow && st.name == "" {
		st.name = "transaction_isolation"
	}
	return st
}

func (st *statement) addOperand(t token, oids []uint32) bool {
	oid := uint32(pgtype.TextOID)
	if i := len(st.operands); i < len(oids) {
		oid = oids[i]
	}
	switch t.kind {
	case tokenLiteral, tokenNumber:
		st.operands = append(st.operands, operand{literal: t.text})
		return true
	case tokenParam:
		n, err := strconv.Atoi(t.text)
		if err != nil || n < 1 || n > 16 {
			return false
		}
		for len(st.params) < n {
			st.params = append(st.params, pgtype.TextOID)
		}
		st.params[n-1] = oid
		st.operands = append(st.operands, operand{param: n})
		return true
	}
	return false
}

// dottedName reads a name such as egretroad.work and the tokens that it takes.
func dottedName(tokens []token) (string, int) {
	name, used := tokens[0].text, 1
	for used+1 < len(tokens) && tokens[used].text == "." && tokens[used+1].kind == tokenWord {
		name += "." + tokens[used+1].text
		used += 2
	}
	return name, used
}

func words(tokens []token) []string {
	all := make([]string, len(tokens))
	for i, t := range tokens {
		all[i] = t.text
	}
	return all
}

// parseBegin parses BEGIN and START TRANSACTION with their modes.
func parseBegin(tokens []token) (*statement, bool) {
	w := words(tokens)
	switch {
	case len(w) >= 2 && w[0] == "start" && w[1] == "transaction":
		w = w[2:]
	case w[0] == "begin":
		w = w[1:]
		if len(w) > 0 && (w[0] == "work" || w[0] == "transaction") {
			w = w[1:]
		}
	default:
		return nil, false
	}
	modes, ok := parseModes(w)
	return &statement{kind: kindBegin, modes: modes}, ok
}

func parseModes(w []string) ([]transactionMode, bool) {
	var modes []transactionMode
	text := strings.Join(w, " ")
	for text != "" {
		found := false
		for _, m := range []string{
			"read only", "read write", "isolation level read committed", "isolation level read uncommitted",
			"isolation level repeatable read", "isolation level serializable", "not deferrable", "deferrable", ",",
		} {
			if rest, ok := strings.CutPrefix(text, m); ok && (rest == "" || rest[0] == ' ') {
				modes = append(modes, transactionMode(m))
				text = strings.TrimPrefix(rest, " ")
				found = true
				break
			}
		}
		if !found {
			return nil, false
		}
	}
	return modes, true
}

// parseSet parses the forms of SET.
func parseSet(tokens []token) (*statement, bool) {
	if tokens[0].text != "set" || len(tokens) < 3 {
		return nil, false
	}
	w := words(tokens)
	if w[1] == "transaction" {
		modes, ok := parseModes(w[2:])
		return &statement{kind: kindSetTransaction, modes: modes}, ok
	}
	if rest, ok := strings.CutPrefix(strings.Join(w, " "), "set session characteristics as transaction "); ok {
		value := "off"
		if rest == string(modeReadOnly) {
			value = "on"
		}
		st := &statement{kind: kindSet, name: "default_transaction_read_only", operands: []operand{{literal: value}}}
		return st, rest == string(modeReadOnly) || rest == string(modeReadWrite)
	}
	st := &statement{kind: kindSet, local: w[1] == "local"}
	rest := tokens[1:]
	if w[1] == "local" || w[1] == "session" {
		rest = rest[1:]
	}
	if len(rest) == 3 && rest[0].text == "time" && rest[1].text == "zone" {
		st.name = "timezone"
		st.operands = []operand{{literal: rest[2].text}}
		return st, true
	}
	name, used := dottedName(rest)
	if rest[0].kind != tokenWord || len(rest) < used+2 {
		return nil, false
	}
	if eq := rest[used].text; eq != "=" && eq != "to" {
		return nil, false
	}
	value, ok := settingValue(rest[used+1:])
	st.name = name
	st.operands = []operand{{literal: value}}
	return st, ok
}

// settingValue joins a list of values with commas.
func settingValue(tokens []token) (string, bool) {
	var b strings.Builder
	for i, t := range tokens {
		if t.kind == tokenParam {
			return "", false
		}
		if comma := t.is(","); comma != (i%2 == 1) {
			if t.text == "-" && i == 0 && len(tokens) == 2 {
				return "-" + tokens[1].text, true
			}
			return "", false
		}
		b.WriteString(t.text)
		if t.text == "," {
			b.WriteByte(' ')
		}
	}
	return b.String(), len(tokens)%2 == 1
}
