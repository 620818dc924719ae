package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
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
	t := &treeParser{text: string(data), line: 1}
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

// treeParser builds nodes from text that has passed checkSyntax. Texts of nodes share
// the memory of the whole text.
type treeParser struct {
	text   string
	offset int
	line   int
	// nodes are allocated in blocks.
	nodes []node
	// members and items hold the elements of the objects and lists being parsed.
	members []member
	items   []*node
}

// nodeBlock is the number of nodes allocated at a time.
const nodeBlock = 256

func (t *treeParser) newNode(kind nodeKind) *node {
	if len(t.nodes) == 0 {
		t.nodes = make([]node, nodeBlock)
	}
	n := &t.nodes[0]
	t.nodes = t.nodes[1:]
	n.kind, n.line = kind, t.line
	return n
}

// next skips white space and returns the byte that follows it, without consuming that.
func (t *treeParser) next() byte {
	for {
		switch c := t.text[t.offset]; c {
		case '\n':
			t.line++
		case ' ', '\t', '\r':
		default:
			return c
		}
		t.offset++
	}
}

// value parses a value.
func (t *treeParser) value(depth int) (*node, *syntaxError) {
	c := t.next()
	if depth > maxDepth {
		return nil, &syntaxError{t.line, fmt.Sprintf("values are nested deeper than %d levels", maxDepth)}
	}
	switch c {
	case '{':
		return t.object(depth)
	case '[':
		return t.list(depth)
	case '"':
		n := t.newNode(stringNode)
		n.text = t.string()
		return n, nil
	}
	return t.literal(), nil
}

// literal parses a number, a boolean or null.
func (t *treeParser) literal() *node {
	length := strings.IndexAny(t.text[t.offset:], " \t\r\n,:]}")
	if length < 0 {
		length = len(t.text) - t.offset
	}
	text := t.text[t.offset : t.offset+length]
	t.offset += length
	var n *node
	switch text {
	case "null":
		n = t.newNode(nullNode)
	case "true", "false":
		n = t.newNode(boolNode)
		n.boolValue = text == "true"
	default:
		n = t.newNode(numberNode)
		n.text = text
	}
	return n
}

// string parses a string.
func (t *treeParser) string() string {
	start := t.offset
	escaped := false
	for t.offset++; t.text[t.offset] != '"'; t.offset++ {
		if t.text[t.offset] == '\\' {
			escaped = true
			t.offset++
		}
	}
	t.offset++
	if !escaped {
		return t.text[start+1 : t.offset-1]
	}
	var decoded string
	// The syntax of the text is valid.
	_ = json.Unmarshal([]byte(t.text[start:t.offset]), &decoded)
	return decoded
}

func (t *treeParser) object(depth int) (*node, *syntaxError) {
	n := t.newNode(objectNode)
	first := len(t.members)
	for t.offset++; t.next() != '}'; {
		if t.text[t.offset] == ',' {
			t.offset++
			t.next()
		}
		m := member{line: t.line, name: t.string()}
		t.next() // the colon
		t.offset++
		var err *syntaxError
		if m.value, err = t.value(depth + 1); err != nil {
			return nil, err
		}
		t.members = append(t.members, m)
	}
	t.offset++
	n.members = slices.Clone(t.members[first:])
	t.members = t.members[:first]
	return n, nil
}

func (t *treeParser) list(depth int) (*node, *syntaxError) {
	n := t.newNode(listNode)
	first := len(t.items)
	for t.offset++; t.next() != ']'; {
		if t.text[t.offset] == ',' {
			t.offset++
		}
		item, err := t.value(depth + 1)
		if err != nil {
			return nil, err
		}
		t.items = append(t.items, item)
	}
	t.offset++
	n.items = slices.Clone(t.items[first:])
	t.items = t.items[:first]
	return n, nil
}

func lineAt(data []byte, offset int) int {
	offset = max(0, min(offset, len(data)))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}

// invalidUTF8 returns the offset of the first byte that is not valid UTF-8, or
// -1 if there is none.
func invalidUTF8(data []byte) int {
	if utf8.Valid(data) {
		return -1
	}
	for offset := 0; offset < len(data); {
		r, size := utf8.DecodeRune(data[offset:])
		if r == utf8.RuneError && size <= 1 {
			return offset
		}
		offset += size
	}
	return -1
}
