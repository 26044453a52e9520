package annotator

import "fmt"

// Step names the operation that failed.
type Step string

// Peer names the remote party of an operation: an address, a host id or "self".
type Peer string

// Error adds the step that failed and the peer that it involved to the error that caused the failure.
type Error struct {
	Step Step
	Peer Peer
	Err  error
}

// Error formats the step, the peer and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s (peer %s): %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Wrap adds step and peer to a non-nil error and returns nil for nil.
func Wrap(step Step, peer Peer, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, Err: err}
}
