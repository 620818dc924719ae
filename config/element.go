package config

// Element is a value in the text of a document, or the place of a field that the
// document omits. It is for reports about documents, which name lines and fields.
type Element struct {
	node *node
	line int
	path string
}

// Root returns the outermost object of the document. It parses the text again, because
// a document in force does not keep the lines of its fields.
func (d Document) Root() Element {
	root, syntax := parseTree(d.raw)
	if syntax != nil {
		return Element{line: 1}
	}
	return Element{node: root, line: root.line}
}

// Present reports whether the document contains the element.
func (e Element) Present() bool { return e.node != nil }

// Line returns the line of the element, or for an omitted field the line of the object
// that lacks it.
func (e Element) Line() int { return e.line }

// Path returns the path of the field, such as routes[1].parts[0].weight.
func (e Element) Path() string { return e.path }

// Field returns the field name of an object.
func (e Element) Field(name string) Element {
	field := Element{line: e.line, path: join(e.path, printableName(name))}
	if e.node == nil {
		return field
	}
	for _, m := range e.node.members {
		if m.name == name {
			field.node, field.line = m.value, m.value.line
		}
	}
	return field
}

// Items returns the items of a list.
func (e Element) Items() []Element {
	if e.node == nil {
		return nil
	}
	items := make([]Element, 0, len(e.node.items))
	for i, n := range e.node.items {
		items = append(items, Element{node: n, line: n.line, path: joinIndex(e.path, i)})
	}
	return items
}

// Item returns the item with the given index of a list, or the list if it has no such
// item.
func (e Element) Item(i int) Element {
	if e.node == nil || i >= len(e.node.items) {
		return e
	}
	n := e.node.items[i]
	return Element{node: n, line: n.line, path: joinIndex(e.path, i)}
}

// Text returns the value of a string, or the literal of a number.
func (e Element) Text() string {
	if e.node == nil {
		return ""
	}
	return e.node.text
}
