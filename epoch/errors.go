package epoch

import (
	"errors"

	"kumquathitch.example/kumquathitch"
)

// errorIn returns an error of the store with the revisions and leases of an epoch.
func errorIn(epoch uint64, err error) error {
	var ended *kumquathitch.LeaseEndedError
	if errors.As(err, &ended) {
		return &kumquathitch.LeaseEndedError{Lease: kumquathitch.LeaseInEpoch(epoch, ended.Lease)}
	}
	var conflict *kumquathitch.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	inEpoch := *conflict
	inEpoch.Expected = kumquathitch.RevisionInEpoch(epoch, conflict.Expected)
	inEpoch.Current.Version = kumquathitch.RevisionInEpoch(epoch, conflict.Current.Version)
	return &inEpoch
}
