package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"
)

// maxDepth is the maximum nesting depth of the values in a document.
const maxDepth = 16

// nodeKind is the JSON type of a node.
type nodeKind string

const (
	objectNode nodeKind = "object"
	listNode   nodeKind = "list"
	stringNode nodeKind = "string"
	numberNode nodeKind = "number"
	boolNode   nodeKind = "boolean"
	nullNode   nodeKind = "null"
)

// node is one JSON value and the line on which it starts.
type node struct {
	kind      nodeKind
	line      int
	text      string // value of a string, or literal of a number
	boolValue bool   // value of a boolean
	members   []member
	items     []*node
}

// member is one field of an object. The parser accepts duplicate names; the
// reader rejects them, since it can report the path of the field.
type member struct {
	name  string
	line  int
	value *node
}

// syntaxError is the error for a document that is not valid JSON in UTF-8 or is
// nested too deeply.
type syntaxError struct {
	line int
	text string
}

func (e *syntaxError) Error() string { return fmt.Sprintf("line %d: %s", e.line, e.text) }

// parseTree parses data as a single JSON value.
func parseTree(data []byte) (*node, *syntaxError) {
	if offset := invalidUTF8(data); offset >= 0 {
		return nil, &syntaxError{lineAt(data, offset), "text is not valid UTF-8"}
	}
	if err := checkSyntax(data); err != nil {
		return nil, err
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	t := &treeParser{data: data, dec: dec, line: 1}
	return t.value(1)
}

// checkSyntax rejects everything that json.Unmarshal rejects, including text
// after the first value, which a token decoder would leave unread.
func checkSyntax(data []byte) *syntaxError {
	var raw json.RawMessage
	err := json.Unmarshal(data, &raw)
	if err == nil {
		return nil
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return &syntaxError{lineAt(data, int(syntax.Offset)-1), syntax.Error()}
	}
	return &syntaxError{1, err.Error()}
}

// treeParser builds nodes from JSON tokens. The input has passed checkSyntax, so
// a decoder error indicates a bug.
type treeParser struct {
	data   []byte
	dec    *json.Decoder
	offset int
	line   int
}

// next returns the next token and its line. A token never spans lines, because
// JSON strings cannot contain raw line breaks.
func (t *treeParser) next() (json.Token, int, *syntaxError) {
	token, err := t.dec.Token()
	if err != nil {
		return nil, 0, &syntaxError{t.line, err.Error()}
	}
	end := int(t.dec.InputOffset())
	t.line += bytes.Count(t.data[t.offset:end], []byte("\n"))
	t.offset = end
	return token, t.line, nil
}

func (t *treeParser) value(depth int) (*node, *syntaxError) {
	token, line, err := t.next()
	if err != nil {
		return nil, err
	}
	if depth > maxDepth {
		return nil, &syntaxError{line, fmt.Sprintf("values are nested deeper than %d levels", maxDepth)}
	}
	switch v := token.(type) {
	case json.Delim:
		if v == '{' {
			return t.object(line, depth)
		}
		return t.list(line, depth)
	case string:
		return &node{kind: stringNode, line: line, text: v}, nil
	case json.Number:
		return &node{kind: numberNode, line: line, text: v.String()}, nil
	case bool:
		return &node{kind: boolNode, line: line, boolValue: v}, nil
	}
	return &node{kind: nullNode, line: line}, nil
}

func (t *treeParser) object(line, depth int) (*node, *syntaxError) {
	n := &node{kind: objectNode, line: line}
	for t.dec.More() {
		token, nameLine, err := t.next()
		if err != nil {
			return nil, err
		}
		name, _ := token.(string)
		value, err := t.value(depth + 1)
		if err != nil {
			return nil, err
		}
		n.members = append(n.members, member{name: name, line: nameLine, value: value})
	}
	_, _, err := t.next()
	return n, err
}

func (t *treeParser) list(line, depth int) (*node, *syntaxError) {
	n := &node{kind: listNode, line: line}
	for t.dec.More() {
		item, err := t.value(depth + 1)
		if err != nil {
			return nil, err
		}
		n.items = append(n.items, item)
	}
	_, _, err := t.next()
	return n, err
}

func lineAt(data []byte, offset int) int {
	offset = max(0, min(offset, len(data)))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}

// invalidUTF8 returns the offset of the first byte that is not valid UTF-8, or
// -1 if there is none.
func invalidUTF8(data []byte) int {
	for offset := 0; offset < len(data); {
		r, size := utf8.DecodeRune(data[offset:])
		if r == utf8.RuneError && size <= 1 {
			return offset
		}
		offset += size
	}
	return -1
}
