package config

import "strings"

// LimitsName is the name of the only Limits object.
const LimitsName = "Default"

// maxNameLength, in bytes, keeps store keys and log lines short.
const maxNameLength = 64

// nameExpected describes a valid name in error messages.
const nameExpected = "1 to 64 letters, digits, '-', '_' or '.', starting with a letter or digit"

// Kinds returns all kinds of objects in the order in which tickets list them.
func Kinds() []ObjectKind {
	return []ObjectKind{KindTeam, KindDataCentre, KindService, KindTarget, KindPipeline, KindServiceLevel, KindLimits}
}

// index returns the position of the kind in Kinds, or false for an unknown kind.
func (kind ObjectKind) index() (int, bool) {
	for i, known := range Kinds() {
		if known == kind {
			return i, true
		}
	}
	return 0, false
}

// Known reports whether the kind is one of Kinds.
func (kind ObjectKind) Known() bool {
	_, known := kind.index()
	return known
}

// String returns the kind and name, as in the section names of tickets.
func (ref Ref) String() string { return string(ref.Kind) + " " + ref.Name }

// compare orders references by kind, then by name.
func (ref Ref) compare(other Ref) int {
	index, _ := ref.Kind.index()
	otherIndex, _ := other.Kind.index()
	if index != otherIndex {
		return index - otherIndex
	}
	return strings.Compare(ref.Name, other.Name)
}

// ValidName reports whether the text can name an object or a stage.
//
// The separators of store keys ("/") and pool identifiers ("@") are excluded.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameLength || !isAlphanumeric(name[0]) {
		return false
	}
	for i := range len(name) {
		if !isAlphanumeric(name[i]) && !strings.ContainsRune("-_.", rune(name[i])) {
			return false
		}
	}
	return true
}

func isAlphanumeric(char byte) bool {
	return 'a' <= char && char <= 'z' || 'A' <= char && char <= 'Z' || '0' <= char && char <= '9'
}

var placementNames = [...]string{In: "In", Out: "Out"}

// String returns the name used in tickets.
func (placement Placement) String() string { return nameOf(placementNames[:], int(placement)) }

// ParsePlacement is the inverse of Placement.String; it reports false for any other text.
func ParsePlacement(text string) (Placement, bool) {
	position, found := positionOf(placementNames[:], text)
	return Placement(position), found
}

var serviceKindNames = [...]string{
	Encode: "Encode", Retrieve: "Retrieve", Rerank: "Rerank", Generate: "Generate", Call: "Call",
}

// String returns the name used in tickets.
func (kind ServiceKind) String() string { return nameOf(serviceKindNames[:], int(kind)) }

// ParseServiceKind is the inverse of ServiceKind.String; it reports false for any other text.
func ParseServiceKind(text string) (ServiceKind, bool) {
	position, found := positionOf(serviceKindNames[:], text)
	return ServiceKind(position), found
}

// ServiceKindNames returns the names of all service kinds.
func ServiceKindNames() []string { return append([]string(nil), serviceKindNames[:]...) }

func nameOf(names []string, position int) string {
	if position < 0 || position >= len(names) {
		return "Unknown"
	}
	return names[position]
}

func positionOf(names []string, text string) (int, bool) {
	for position, name := range names {
		if name == text {
			return position, true
		}
	}
	return 0, false
}
