package daemon

import "testing"

// TestVMsThatEnded guards against members that are dropped because the platform's list is late, empty or of someone else.
func TestVMsThatEnded(t *testing.T) {
	const own, other = "10.0.0.1:7070", "10.0.0.2:7070"
	both, alone := []string{own, other}, []string{own}
	tests := []struct {
		name  string
		reads [][]string
		ended bool
	}{
		{"never listed", [][]string{alone, alone, alone}, false},
		{"missing once", [][]string{both, alone}, false},
		{"missing twice", [][]string{both, alone, alone}, true},
		{"back in between", [][]string{both, alone, both, alone}, false},
		{"empty list", [][]string{both, {}, {}, {}}, false},
		{"list of others", [][]string{both, {"10.9.9.9:7070"}, {"10.9.9.9:7070"}}, false},
	}
	for _, test := range tests {
		var watch vmWatch
		for _, read := range test.reads {
			watch.observe(read, own)
		}
		if ended := watch.ended(other); ended != test.ended {
			t.Errorf("%s: ended is %v, expected %v", test.name, ended, test.ended)
		}
	}
}
