package batchkeeper

import (
	"context"
	"encoding/json"
	"errors"

	"celerygap.example/lib/annotator"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

// ErrIDTaken means that objects of another customer's job are stored under the id; nothing was created.
var ErrIDTaken = errors.New("the id denotes a job of another customer")

// createPart accepts a part that exists already, since a job ID always denotes the same content of one customer. Without the check
// of the customer, a submission that wrote its parts but not its head would pass them to the next customer that chooses the id.
func (k *Keeper) createPart(ctx context.Context, key string, part json.RawMessage, customer identifier.CustomerName) error {
	var err error
	for range maxWriteAttempts {
		_, err = k.store.Put(ctx, key, 0, part)
		if err == nil {
			return nil
		}
		if conflict, exists := connector.AsConflict(err); exists {
			return k.checkPart(ctx, key, conflict.Current, customer)
		}
		if !errors.Is(err, connector.ErrOutcomeUnknown) || !waitRetry(ctx) {
			return err
		}
	}
	return err
}

// checkPart returns ErrIDTaken if a stored part belongs to another customer. object may be incomplete.
func (k *Keeper) checkPart(ctx context.Context, key string, object codec.Object, customer identifier.CustomerName) error {
	if customer == "" {
		return nil
	}
	if object.Version == 0 {
		var err error
		if object, err = k.store.Get(ctx, key); err != nil {
			return err
		}
	}
	stored, err := customerOf(object)
	if err == nil && stored != "" && stored != customer {
		return ErrIDTaken
	}
	return err
}

func customerOf(object codec.Object) (identifier.CustomerName, error) {
	var part struct {
		Customer identifier.CustomerName `json:"customer"`
	}
	err := json.Unmarshal(object.Value, &part)
	return part.Customer, annotator.Wrap("decode batch part", annotator.Peer(object.Key), err)
}

// Customer returns the customer of a job from its first part. A head does not tell if a build without customers has written it.
func (k *Keeper) Customer(ctx context.Context, id identifier.BatchID) (identifier.CustomerName, error) {
	object, err := k.store.Get(ctx, partKey(id, 0))
	if err != nil {
		return "", err
	}
	return customerOf(object)
}
