package kernel

import (
	"sort"

	"github.com/joomcode/errorx"
)

type registration struct {
	name         string
	dependencies []string
	build        func(k *Kernel) Plugin
}

var registry = map[string]registration{}

// Register adds a plug-in to every kernel that is built later; dependencies are the plug-ins that build looks up.
// It is called from init functions and panics on a name that is already taken.
func Register(name string, dependencies []string, build func(k *Kernel) Plugin) {
	if _, ok := registry[name]; ok {
		panic("kernel: plug-in registered twice: " + name)
	}
	registry[name] = registration{name: name, dependencies: dependencies, build: build}
}

// Names returns the names of all registered plug-ins in alphabetical order.
func Names() []string {
	names := make([]string, 0, len(registry))
	for name := range registry {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// buildOrder sorts the registrations so that each follows those it depends on, with ties in alphabetical order.
func buildOrder() ([]registration, error) {
	var order []registration
	const visiting, done = 1, 2
	marks := map[string]int{}
	var visit func(name string) error
	visit = func(name string) error {
		switch marks[name] {
		case done:
			return nil
		case visiting:
			return errorx.IllegalState.New("plug-in %q depends on itself", name)
		}
		marks[name] = visiting
		r, ok := registry[name]
		if !ok {
			return errorx.IllegalState.New("plug-in %q is not registered", name)
		}
		for _, dependency := range r.dependencies {
			if err := visit(dependency); err != nil {
				return err
			}
		}
		marks[name] = done
		order = append(order, r)
		return nil
	}
	for _, name := range Names() {
		if err := visit(name); err != nil {
			return nil, err
		}
	}
	return order, nil
}
