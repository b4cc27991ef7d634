package strictjson

// Kind is the JSON kind of a value.
type Kind string

// The kinds of values.
const (
	Null   Kind = "null"
	Bool   Kind = "boolean"
	Number Kind = "number"
	String Kind = "string"
	Array  Kind = "array"
	Object Kind = "object"
)

// Node is one value of a document with its position.
type Node struct {
	Kind Kind
	// Text is the unescaped string of a String and the literal of a Null, Bool
	// or Number.
	Text     string
	Members  []Member // of an Object, in the order of the document
	Elements []*Node  // of an Array
	File     string
	Pos      Position
}

// Member is one name and value of an object.
type Member struct {
	Name  string
	Pos   Position // of the name
	Value *Node
}

// Get returns the value of a member, or nil.
func (n *Node) Get(name string) *Node {
	for _, m := range n.Members {
		if m.Name == name {
			return m.Value
		}
	}
	return nil
}

// Problem returns a problem at the node's position.
func (n *Node) Problem(path, message, expected string) Problem {
	return Problem{File: n.File, Position: n.Pos, Path: path, Message: message, Expected: expected}
}
