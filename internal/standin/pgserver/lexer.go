package pgserver

import "strings"

type tokenKind int

const (
	tokenWord tokenKind = iota
	tokenLiteral
	tokenNumber
	tokenParam
	tokenPunct
)

type token struct {
	kind tokenKind
	text string
	end  int // byte offset in the SQL just after the token
}

// isPunct reports whether the token is the given punctuation character.
func (t token) isPunct(punct string) bool { return t.kind == tokenPunct && t.text == punct }

func isWordByte(b byte) bool {
	return b == '_' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || b >= 0x80
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// lex splits SQL into tokens. It converts unquoted words to lower case and skips comments;
// quoted identifiers are words too.
func lex(sql string) ([]token, error) {
	var tokens []token
	for i := 0; i < len(sql); {
		b := sql[i]
		switch {
		case b == ' ' || b == '\t' || b == '\n' || b == '\r':
			i++
		case strings.HasPrefix(sql[i:], "--"):
			end := strings.IndexByte(sql[i:], '\n')
			if end < 0 {
				return tokens, nil
			}
			i += end
		case strings.HasPrefix(sql[i:], "/*"):
			end := strings.Index(sql[i:], "*/")
			if end < 0 {
				return nil, syntaxError("unterminated comment")
			}
			i += end + 2
		case b == '\'':
			text, next, err := lexString(sql, i+1, false)
			if err != nil {
				return nil, err
			}
			tokens = append(tokens, token{tokenLiteral, text, next})
			i = next
		case (b == 'E' || b == 'e') && strings.HasPrefix(sql[i+1:], "'"):
			text, next, err := lexString(sql, i+2, true)
			if err != nil {
				return nil, err
			}
			tokens = append(tokens, token{tokenLiteral, text, next})
			i = next
		case b == '"':
			end := strings.IndexByte(sql[i+1:], '"')
			if end < 0 {
				return nil, syntaxError("unterminated quoted identifier")
			}
			tokens = append(tokens, token{tokenWord, sql[i+1 : i+1+end], i + end + 2})
			i += end + 2
		case b == '$' || isDigit(b):
			start := i
			for i++; i < len(sql) && (isDigit(sql[i]) || b != '$' && sql[i] == '.'); i++ {
			}
			kind, text := tokenNumber, sql[start:i]
			if b == '$' {
				kind, text = tokenParam, sql[start+1:i]
			}
			tokens = append(tokens, token{kind, text, i})
		case isWordByte(b):
			start := i
			for ; i < len(sql) && isWordByte(sql[i]); i++ {
			}
			tokens = append(tokens, token{tokenWord, strings.ToLower(sql[start:i]), i})
		default:
			tokens = append(tokens, token{tokenPunct, sql[i : i+1], i + 1})
			i++
		}
	}
	return tokens, nil
}

// lexString reads a string literal whose content starts at offset i, after the opening
// quote. It returns the content and the offset after the closing quote.
func lexString(sql string, i int, backslashEscapes bool) (string, int, error) {
	var b strings.Builder
	for ; i < len(sql); i++ {
		switch {
		case sql[i] == '\'' && strings.HasPrefix(sql[i+1:], "'"):
			b.WriteByte('\'')
			i++
		case sql[i] == '\'':
			return b.String(), i + 1, nil
		case backslashEscapes && sql[i] == '\\' && i+1 < len(sql):
			i++
			b.WriteByte(sql[i])
		default:
			b.WriteByte(sql[i])
		}
	}
	return "", 0, syntaxError("unterminated quoted string")
}

func syntaxError(detail string) error {
	return &sqlError{code: codeSyntax, message: "syntax error: " + detail}
}
