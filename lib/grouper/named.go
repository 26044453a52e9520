package grouper

import (
	"context"
	"errors"

	"celerygap.example/lib/annotator"
)

// Named changes each duty so that it wraps its error with the duty's name and passes it to onFailure.
// An error that wraps context.Canceled counts as a normal end: the duty returns nil.
func Named(duties []Duty, onFailure func(name string, err error)) []Duty {
	for i, duty := range duties {
		duties[i].Run = func(ctx context.Context) error {
			err := duty.Run(ctx)
			if err == nil || errors.Is(err, context.Canceled) {
				return nil
			}
			onFailure(duty.Name, err)
			return annotator.Wrap(annotator.Step("duty "+duty.Name), "self", err)
		}
	}
	return duties
}
