package dispatcher

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

// callerIDs are the members of a JSON body that only identify the request; a caller that sends the request again often
// changes them. Names such as order_id are not listed, because they may be content.
var callerIDs = []string{"id", "request_id", "message_id", "idempotency_key", "trace_id", "attempt_id", "sent_at", "timestamp"}

const (
	fingerprintBytes = 16
	maxCanonicalBody = 1 << 20
)

// promptFingerprint returns the fingerprint of a model request. It ignores seed, temperature and length, which a caller
// may change when it sends a crashing request again, although the prompt is what crashes the engine.
func promptFingerprint(model *codec.ModelSpec, prompt string) identifier.Fingerprint {
	return digest([]byte(model.Model), []byte(model.Adapter), []byte(prompt))
}

// plainFingerprints returns the fingerprint of a plain call and its kind, which stays the same when the caller sends the call again
// with new callerIDs. Calls of one kind may be different: what is an id to one service is the content to another.
func plainFingerprints(request connector.PlainRequest) (fingerprint, kind identifier.Fingerprint) {
	canonical := canonicalBody(request.Body)
	kind = digest([]byte(request.Entry), []byte(request.Method), []byte(request.Path), []byte(request.Query), canonical)
	if request.Customer == "" && bytes.Equal(canonical, request.Body) {
		return kind, kind
	}
	return digest([]byte(kind), []byte(request.Customer), request.Body), kind
}

// exactFingerprint returns the fingerprint of a request with its unchanged body, by which the permit owner detects that
// an idempotency key is reused for another request.
func exactFingerprint(request connector.PlainRequest) identifier.Fingerprint {
	return digest([]byte(request.Method), []byte(request.Path), []byte(request.Query), request.Body)
}

func digest(parts ...[]byte) identifier.Fingerprint {
	hash := sha256.New()
	for _, part := range parts {
		// Hashing each part first makes the result depend on where one part ends and the next begins.
		sum := sha256.Sum256(part)
		hash.Write(sum[:])
	}
	return identifier.Fingerprint(hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes]))
}

// canonicalBody returns a JSON object without its callerIDs and with sorted member names. Any other body, and one
// larger than maxCanonicalBody, is returned unchanged.
func canonicalBody(body []byte) []byte {
	var members map[string]json.RawMessage
	if len(body) > maxCanonicalBody || json.Unmarshal(body, &members) != nil || members == nil {
		return body
	}
	for _, name := range callerIDs {
		delete(members, name)
	}
	canonical, err := json.Marshal(members)
	if err != nil {
		return body
	}
	return canonical
}
