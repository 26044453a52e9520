package dispatcher

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
)

// callerIDs are members of a JSON body that only name the request; a resend often carries new ones. Names such as
// order_id are not listed, because they may be the content.
var callerIDs = []string{"id", "request_id", "message_id", "idempotency_key", "trace_id", "attempt_id", "sent_at", "timestamp"}

const (
	fingerprintBytes = 16
	maxCanonicalBody = 1 << 20
)

// promptFingerprint ignores seed, temperature and length, which a resend may change without changing what crashes.
func promptFingerprint(model *codec.ModelSpec, prompt string) identifier.Fingerprint {
	return digest([]byte(model.Model), []byte(model.Adapter), []byte(prompt))
}

// plainFingerprint recognises a resend of a call even when its caller chose new ids.
func plainFingerprint(request connector.PlainRequest) identifier.Fingerprint {
	return digest([]byte(request.Entry), []byte(request.Method), []byte(request.Path), []byte(request.Query), canonicalBody(request.Body))
}

// exactFingerprint reports whether an idempotency key is reused for another request.
func exactFingerprint(request connector.PlainRequest) identifier.Fingerprint {
	return digest([]byte(request.Method), []byte(request.Path), []byte(request.Query), request.Body)
}

func digest(parts ...[]byte) identifier.Fingerprint {
	hash := sha256.New()
	for _, part := range parts {
		// The digest of each part keeps the borders of the parts apart.
		sum := sha256.Sum256(part)
		hash.Write(sum[:])
	}
	return identifier.Fingerprint(hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes]))
}

// canonicalBody returns a JSON object without its callerIDs and with sorted names, and any other body as it is.
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
