package planfile

import (
	"fmt"
	"slices"
)

// convertPrecedences reads both notations of precedences. These two mean the same, that a precedes b:
// before "a" { after = ["b"] } and after "b" { before = ["a"] }.
func (f *File) convertPrecedences(source *hclFile) error {
	for _, block := range source.Before {
		for _, then := range block.After {
			if err := f.addPrecedence(block.At.Start.Line, block.Name, then); err != nil {
				return err
			}
		}
	}
	for _, block := range source.After {
		for _, first := range block.Before {
			if err := f.addPrecedence(block.At.Start.Line, first, block.Name); err != nil {
				return err
			}
		}
	}
	slices.SortStableFunc(f.Precedences, func(a, b Precedence) int { return a.Line - b.Line })
	return nil
}

func (f *File) addPrecedence(line int, first, then string) error {
	firstIndex, err := f.ruleIndex(line, first)
	if err != nil {
		return err
	}
	thenIndex, err := f.ruleIndex(line, then)
	if err != nil {
		return err
	}
	f.Precedences = append(f.Precedences, Precedence{First: firstIndex, Then: thenIndex, Line: line})
	return nil
}

func (f *File) ruleIndex(line int, name string) (int, error) {
	if i := slices.IndexFunc(f.Rules, func(r Rule) bool { return r.Name == name }); i >= 0 {
		return i, nil
	}
	allowed := []string{"the name of a pin, apart, keep, alone or leave"}
	for _, r := range f.Rules {
		allowed = append(allowed, fmt.Sprintf("%q", r.Name))
	}
	return 0, f.Errorf(line, "no rule is called %q; it may be %s", name, JoinSome(allowed))
}

// visitState is the state of a rule in a depth-first search.
type visitState uint8

const (
	unvisited visitState = iota
	onPath               // on the present path
	visited              // with all its successors; it is on no cycle
)

// cycleSearch is a depth-first search for a cycle of precedences.
type cycleSearch struct {
	file  *File
	state []visitState // by rule
	path  []Precedence
}

// validatePrecedences rejects precedences that form a cycle. The error names their lines.
func (f *File) validatePrecedences() error {
	s := &cycleSearch{file: f, state: make([]visitState, len(f.Rules))}
	for i := range f.Rules {
		if s.state[i] != unvisited {
			continue
		}
		if err := s.visit(i); err != nil {
			return err
		}
	}
	return nil
}

// visit extends the path by the precedences whose first rule is the given one.
func (s *cycleSearch) visit(rule int) error {
	s.state[rule] = onPath
	for _, p := range s.file.Precedences {
		if p.First != rule || s.state[p.Then] == visited {
			continue
		}
		s.path = append(s.path, p)
		if s.state[p.Then] == onPath {
			return s.cycleError(p)
		}
		if err := s.visit(p.Then); err != nil {
			return err
		}
		s.path = s.path[:len(s.path)-1]
	}
	s.state[rule] = visited
	return nil
}

// cycleError describes the cycle that the last precedence of the path closes.
func (s *cycleSearch) cycleError(last Precedence) error {
	begin := slices.IndexFunc(s.path, func(p Precedence) bool { return p.First == last.Then })
	var cycle []string
	for _, p := range s.path[begin:] {
		first, then := s.file.Rules[p.First].Name, s.file.Rules[p.Then].Name
		cycle = append(cycle, fmt.Sprintf("%q before %q (line %d)", first, then, p.Line))
	}
	return s.file.Errorf(last.Line, "the precedences form a cycle: %s", JoinSome(cycle))
}
