package applier

import "github.com/coltsfootlane/coltsfootlane/pkg/parser"

// index holds the references between services. With it, a change is checked without
// visiting the services that it does not change.
type index struct {
	// routeOwners maps each route pattern to the name of the service that declares
	// it.
	routeOwners map[string]string
	// dependants counts, for each service, how often other services list it in
	// Dependencies.
	dependants map[string]int
}

func (x index) clone() index {
	return index{
		routeOwners: clone(x.routeOwners),
		dependants:  clone(x.dependants),
	}
}

// addService adds a service. It fails if another service declares one of its route
// patterns.
func (x index) addService(svc parser.Service) error {
	for _, dependency := range svc.Dependencies {
		x.dependants[dependency]++
	}
	for _, r := range svc.Routes {
		for _, c := range r.Patterns() {
			if owner, claimed := x.routeOwners[c]; claimed && owner != svc.Name {
				return validationErrorf(svc.Name, "services %s and %s both route %s", owner, svc.Name, c)
			}
			x.routeOwners[c] = svc.Name
		}
	}
	return nil
}

// removeService removes a service.
func (x index) removeService(svc parser.Service) {
	for _, dependency := range svc.Dependencies {
		x.dependants[dependency]--
		if x.dependants[dependency] == 0 {
			delete(x.dependants, dependency)
		}
	}
	for _, r := range svc.Routes {
		for _, c := range r.Patterns() {
			delete(x.routeOwners, c)
		}
	}
}

// newIndex returns the index of the services.
func newIndex(services []parser.Service) (index, error) {
	x := index{}.clone()
	for _, svc := range services {
		if err := x.addService(svc); err != nil {
			return index{}, err
		}
	}
	return x, nil
}
