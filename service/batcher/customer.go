package batcher

import (
	"context"
	"errors"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/service/batchkeeper"
	"celerygap.example/service/connector"
)

// CheckCustomer returns connector.ErrNotFound if there is no such job or if it belongs to another customer. The host that a caller
// uses checks this for all its calls, before it serves them itself or passes them on to the owner of the job.
func (d *Driver) CheckCustomer(ctx context.Context, id identifier.BatchID, customer identifier.CustomerName) error {
	owner, err := d.customerOfJob(ctx, id)
	if err != nil {
		return err
	}
	if mayUse(customer, owner) {
		return nil
	}
	d.config.Log.Info(logger.JobOfOtherCustomer).Str("request", string(id)).Str("customer", string(customer)).Str("owner", string(owner)).Send()
	return connector.ErrNotFound
}

// mayUse reports whether a job of one customer is open to another. A job without a customer was stored by a build or under a
// configuration without customers, and is open to all.
func mayUse(customer, owner identifier.CustomerName) bool { return owner == "" || owner == customer }

// customerOfJob returns the customer of a job, or "" if it has none. It reads the store at most once for a job whose head does not
// name a customer, because a build without customers has written the head.
func (d *Driver) customerOfJob(ctx context.Context, id identifier.BatchID) (identifier.CustomerName, error) {
	if owner, ok := d.knownCustomer(id); ok {
		return owner, nil
	}
	head, _, err := d.ownerOf(ctx, id)
	if err != nil {
		return "", err
	}
	owner := head.Customer
	if owner == "" {
		if owner, err = d.config.Keeper.Customer(ctx, id); err != nil {
			return "", err
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.customers) >= maxCachedHeads {
		clear(d.customers)
	}
	d.customers[id] = owner
	return owner, nil
}

func (d *Driver) knownCustomer(id identifier.BatchID) (identifier.CustomerName, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h, ok := d.owned[id]; ok {
		return h.job.Customer, true
	}
	owner, ok := d.customers[id]
	return owner, ok
}

// mayResubmit reports whether a job that this host owns may be submitted again with the customer that the submission names. One
// without a customer came through a build without customers.
func (d *Driver) mayResubmit(job codec.BatchJob) bool {
	owner, _ := d.knownCustomer(job.ID)
	return job.Customer == "" || mayUse(job.Customer, owner)
}

// checkAccepted returns the outcome of a submission that the home of the job has accepted. A home of a build without customers also
// accepts the id of another customer's job, so the customer is read from the store.
func (d *Driver) checkAccepted(ctx context.Context, job codec.BatchJob, reply codec.SubmitReply) (connector.BatchStatus, error) {
	if job.Customer == "" || reply.CustomerChecked {
		return connector.BatchAccepted, nil
	}
	owner, err := d.config.Keeper.Customer(ctx, job.ID)
	switch {
	case err != nil:
		return connector.BatchOutcomeUnknown, err
	case !mayUse(job.Customer, owner):
		return d.refuseTaken(job)
	default:
		return connector.BatchAccepted, nil
	}
}

// refuseTaken logs that a submission uses the id of another customer's job, and returns the outcome.
func (d *Driver) refuseTaken(job codec.BatchJob) (connector.BatchStatus, error) {
	d.config.Log.Info(logger.JobRefused).Str("request", string(job.ID)).Str("customer", string(job.Customer)).
		Str("outcome", string(connector.BatchIDTaken)).Send()
	return connector.BatchIDTaken, batchkeeper.ErrIDTaken
}

func isTaken(err error) bool { return errors.Is(err, batchkeeper.ErrIDTaken) }
