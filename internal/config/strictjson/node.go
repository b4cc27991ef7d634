package strictjson

// Kind is the JSON kind of a value.
type Kind string

// The kinds of JSON values.
const (
	Null   Kind = "null"
	Bool   Kind = "boolean"
	Number Kind = "number"
	String Kind = "string"
	Array  Kind = "array"
	Object Kind = "object"
)

// Node is a value in a document, with its position.
type Node struct {
	Kind Kind
	// Text is the unescaped value of a String, or the literal of a Null, Bool or
	// Number.
	Text     string
	Members  []Member // of an Object, in the order of the document
	Elements []*Node  // of an Array
	File     string
	Pos      Position
}

// Member is a name and its value in an object.
type Member struct {
	Name  string
	Pos   Position // of the name
	Value *Node
}

// Get returns the value of the member with the given name, or nil.
func (n *Node) Get(name string) *Node {
	for _, m := range n.Members {
		if m.Name == name {
			return m.Value
		}
	}
	return nil
}

// Problem returns a problem with the position of the node.
func (n *Node) Problem(path, message, expected string) Problem {
	return Problem{File: n.File, Position: n.Pos, Path: path, Message: message, Expected: expected}
}
