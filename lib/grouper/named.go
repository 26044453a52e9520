package grouper

import (
	"context"
	"errors"

	"celerygap.example/lib/annotator"
)

// Named adds the duty's name to its error and reports it; an error that only says that the context ended is none.
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
