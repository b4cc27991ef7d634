package fleet

import (
	"fmt"
	"slices"

	"gentiantide.example/gentiantide/internal/infra"
)

// Change is the body of PATCH /fleet. Exactly one of its fields must be set.
type Change struct {
	// Add adds a VM or replaces the one with the same id.
	Add *infra.VM `json:"add,omitempty"`
	// Remove is the id of a VM to remove from the list.
	Remove string `json:"remove,omitempty"`
	// Leaving is the id of a VM to mark as leaving, that is, shutting down.
	Leaving string `json:"leaving,omitempty"`
}

// apply returns a changed copy of the list.
func (c Change) apply(old []infra.VM) ([]infra.VM, error) {
	set := 0
	for _, isSet := range []bool{c.Add != nil, c.Remove != "", c.Leaving != ""} {
		if isSet {
			set++
		}
	}
	if set != 1 {
		return nil, fmt.Errorf("exactly one of add, remove and leaving is required")
	}
	vms := slices.Clone(old)
	if c.Add != nil {
		if err := checkVM(*c.Add); err != nil {
			return nil, err
		}
		vms = slices.DeleteFunc(vms, func(vm infra.VM) bool { return vm.ID == c.Add.ID })
		return append(vms, *c.Add), nil
	}
	i := slices.IndexFunc(vms, func(vm infra.VM) bool { return vm.ID == c.Remove+c.Leaving })
	if i < 0 {
		return nil, fmt.Errorf("no VM with id %q", c.Remove+c.Leaving)
	}
	if c.Leaving != "" {
		vms[i].Leaving = true
		return vms, nil
	}
	return slices.Delete(vms, i, i+1), nil
}

func checkVM(vm infra.VM) error {
	switch {
	case vm.ID == "":
		return fmt.Errorf("VM without an id")
	case vm.Address == "":
		return fmt.Errorf("VM %q has no address", vm.ID)
	case vm.Kind != infra.KindNode && vm.Kind != infra.KindBackend:
		return fmt.Errorf("VM %q has unknown kind %q", vm.ID, vm.Kind)
	}
	return nil
}

func checkVMs(vms []infra.VM) error {
	seen := make(map[string]bool, len(vms))
	for _, vm := range vms {
		if err := checkVM(vm); err != nil {
			return err
		}
		if seen[vm.ID] {
			return fmt.Errorf("VM %q is listed twice", vm.ID)
		}
		seen[vm.ID] = true
	}
	return nil
}
