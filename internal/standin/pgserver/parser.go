package pgserver

import (
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

type statementKind int

const (
	kindEmpty statementKind = iota
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

// operand is a parameter reference ($1 is param 1), or a literal when param is 0.
type operand struct {
	param   int
	literal string
}

// statement is a parsed SQL statement.
type statement struct {
	kind     statementKind
	sql      string
	operands []operand
	name     string // name of a setting or prepared statement
	local    bool   // SET LOCAL
	modes    []transactionMode
	params   []uint32 // type OIDs of the parameters
}

type transactionMode string

const (
	modeReadOnly  transactionMode = "read only"
	modeReadWrite transactionMode = "read write"
)

// pattern is the fixed token sequence of a supported statement. The token ? matches an
// operand and @ a name.
type pattern struct {
	kind  statementKind
	words []string
	oids  []uint32 // types of the operands; those beyond its length are text
}

func newPattern(k statementKind, text string, oids ...uint32) pattern {
	return pattern{kind: k, words: strings.Fields(text), oids: oids}
}

const insertPattern = "insert into kv ( key , value ) values ( ? , ? )"

var patterns = []pattern{
	newPattern(kindSelectValue, "select value from kv where key = ?"),
	newPattern(kindSelectAll, "select key , value from kv order by key"),
	newPattern(kindCount, "select count ( * ) from kv"),
	newPattern(kindInsert, insertPattern),
	newPattern(kindUpsert, insertPattern+" on conflict ( key ) do update set value = ?"),
	newPattern(kindUpsertExcluded, insertPattern+" on conflict ( key ) do update set value = excluded . value"),
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

// parseStatements parses a query that may contain several statements separated by
// semicolons. An empty query yields none.
func parseStatements(sql string) ([]*statement, error) {
	tokens, err := lex(sql)
	if err != nil {
		return nil, err
	}
	var statements []*statement
	start := 0
	for len(tokens) > 0 {
		end := 0
		for end < len(tokens) && !tokens[end].isPunct(";") {
			end++
		}
		if end > 0 {
			st, err := parseStatement(tokens[:end])
			if err != nil {
				return nil, err
			}
			st.sql = strings.TrimSpace(sql[start:tokens[end-1].end])
			statements = append(statements, st)
		}
		if end < len(tokens) {
			start = tokens[end].end
			end++
		}
		tokens = tokens[end:]
	}
	return statements, nil
}

// parseSingle parses the query of a Parse message, which may contain at most one
// statement.
func parseSingle(sql string) (*statement, error) {
	statements, err := parseStatements(sql)
	if err != nil {
		return nil, err
	}
	switch len(statements) {
	case 0:
		return &statement{kind: kindEmpty, sql: sql}, nil
	case 1:
		return statements[0], nil
	}
	return nil, syntaxError("cannot insert multiple commands into a prepared statement")
}

func parseStatement(tokens []token) (*statement, error) {
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

// match returns the statement if the tokens match the pattern as a whole, or nil.
func (p pattern) match(tokens []token) *statement {
	st := &statement{kind: p.kind}
	for _, word := range p.words {
		if len(tokens) == 0 {
			return nil
		}
		t := tokens[0]
		consumed := 1
		switch word {
		case "?":
			if !st.addOperand(t, p.oids) {
				return nil
			}
		case "@":
			if t.kind != tokenWord {
				return nil
			}
			st.name, consumed = parseQualifiedName(tokens)
		default:
			if t.text != word || t.kind != tokenWord && t.kind != tokenPunct {
				return nil
			}
		}
		tokens = tokens[consumed:]
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

// parseQualifiedName reads a possibly dotted name, such as egretroad.work, from the start
// of tokens. It returns the name and the number of tokens consumed.
func parseQualifiedName(tokens []token) (string, int) {
	name, consumed := tokens[0].text, 1
	for consumed+1 < len(tokens) && tokens[consumed].text == "." && tokens[consumed+1].kind == tokenWord {
		name += "." + tokens[consumed+1].text
		consumed += 2
	}
	return name, consumed
}

func tokenTexts(tokens []token) []string {
	texts := make([]string, len(tokens))
	for i, t := range tokens {
		texts[i] = t.text
	}
	return texts
}

// parseBegin parses BEGIN and START TRANSACTION with their modes.
func parseBegin(tokens []token) (*statement, bool) {
	texts := tokenTexts(tokens)
	switch {
	case len(texts) >= 2 && texts[0] == "start" && texts[1] == "transaction":
		texts = texts[2:]
	case texts[0] == "begin":
		texts = texts[1:]
		if len(texts) > 0 && (texts[0] == "work" || texts[0] == "transaction") {
			texts = texts[1:]
		}
	default:
		return nil, false
	}
	modes, ok := parseModes(texts)
	return &statement{kind: kindBegin, modes: modes}, ok
}

func parseModes(texts []string) ([]transactionMode, bool) {
	var modes []transactionMode
	remaining := strings.Join(texts, " ")
	for remaining != "" {
		matched := false
		for _, m := range []string{
			"read only", "read write", "isolation level read committed", "isolation level read uncommitted",
			"isolation level repeatable read", "isolation level serializable", "not deferrable", "deferrable", ",",
		} {
			if rest, ok := strings.CutPrefix(remaining, m); ok && (rest == "" || rest[0] == ' ') {
				modes = append(modes, transactionMode(m))
				remaining = strings.TrimPrefix(rest, " ")
				matched = true
				break
			}
		}
		if !matched {
			return nil, false
		}
	}
	return modes, true
}

// parseSet parses SET [SESSION | LOCAL] name, SET TIME ZONE, SET TRANSACTION and the
// access modes of SET SESSION CHARACTERISTICS.
func parseSet(tokens []token) (*statement, bool) {
	if tokens[0].text != "set" || len(tokens) < 3 {
		return nil, false
	}
	texts := tokenTexts(tokens)
	if texts[1] == "transaction" {
		modes, ok := parseModes(texts[2:])
		return &statement{kind: kindSetTransaction, modes: modes}, ok
	}
	if rest, ok := strings.CutPrefix(strings.Join(texts, " "), "set session characteristics as transaction "); ok {
		value := "off"
		if rest == string(modeReadOnly) {
			value = "on"
		}
		st := &statement{kind: kindSet, name: "default_transaction_read_only", operands: []operand{{literal: value}}}
		return st, rest == string(modeReadOnly) || rest == string(modeReadWrite)
	}
	st := &statement{kind: kindSet, local: texts[1] == "local"}
	rest := tokens[1:]
	if texts[1] == "local" || texts[1] == "session" {
		rest = rest[1:]
	}
	if len(rest) == 3 && rest[0].text == "time" && rest[1].text == "zone" {
		st.name = "timezone"
		st.operands = []operand{{literal: rest[2].text}}
		return st, true
	}
	name, consumed := parseQualifiedName(rest)
	if rest[0].kind != tokenWord || len(rest) < consumed+2 {
		return nil, false
	}
	if eq := rest[consumed].text; eq != "=" && eq != "to" {
		return nil, false
	}
	value, ok := parseSettingValue(rest[consumed+1:])
	st.name = name
	st.operands = []operand{{literal: value}}
	return st, ok
}

// parseSettingValue parses the value of SET: one value, a negative number, or a list of
// values, which it joins with commas. Parameters are not allowed.
func parseSettingValue(tokens []token) (string, bool) {
	var b strings.Builder
	for i, t := range tokens {
		if t.kind == tokenParam {
			return "", false
		}
		if comma := t.isPunct(","); comma != (i%2 == 1) {
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
